package upstream

// A server whose dial failed is not dialed again at once: what comes for it meanwhile
// is told at once that there is no connection. Loopback sockets; a dead address is one
// whose listener was closed, so its dials are refused.

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/internal/exchange"
)

func TestDialHoldDoubles(t *testing.T) {
	d := 250 * time.Millisecond
	require.Equal(t, d, dialHold(d, 1))
	require.Equal(t, 2*d, dialHold(d, 2))
	require.Equal(t, 4*d, dialHold(d, 3))
	require.Equal(t, dialHoldMost, dialHold(d, 4))
	require.Equal(t, dialHoldMost, dialHold(d, 60))
	require.Equal(t, dialHoldMost, dialHold(5*time.Second, 1), "never longer than the most")
}

func TestDeadServerIsNotDialedOverAndOver(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := ln.Addr().String()
	ln.Close()
	_, x := mixer(t, []string{dead}, 0) // dial time 300 ms
	one := func(i int) exchange.Ending {
		done := make(chan exchange.Ending, 1)
		x.Submit(&exchange.Query{ID: fmt.Sprintf("%016x", i), Class: "book", Text: "t", ReceivedAt: time.Now(), Timeout: 5 * time.Second,
			Parts: []exchange.Part{{Shard: 0, Weight: 1}}, Done: func(f exchange.Final) { done <- f.Ending }})
		select {
		case e := <-done:
			return e
		case <-time.After(10 * time.Second):
			t.Fatalf("query %d had no final answer", i)
			return 0
		}
	}
	start := time.Now()
	for i := range 10 {
		require.NotEqual(t, exchange.Answered, one(i))
	}
	if time.Since(start) >= 250*time.Millisecond {
		t.Skip("the machine is too slow to end ten queries within one hold")
	}
	require.EqualValues(t, 1, x.Counters.Dials.Load(), "one dial for ten queries within the hold")
	require.EqualValues(t, 1, x.Counters.DialFails.Load())
	time.Sleep(350 * time.Millisecond) // past the first hold
	one(10)
	require.EqualValues(t, 2, x.Counters.Dials.Load(), "dialed again once the hold is over")
}
