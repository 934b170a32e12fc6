package upstream

// These tests check that a server whose dial has failed is not dialed again at once, and that
// calls to it fail immediately until then. They use loopback sockets. A dead address is one
// whose listener was closed, so dials to it are refused.

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/internal/exchange"
)

func TestDialBackoffDoubles(t *testing.T) {
	d := 250 * time.Millisecond
	require.Equal(t, d, dialBackoff(d, 1))
	require.Equal(t, 2*d, dialBackoff(d, 2))
	require.Equal(t, 4*d, dialBackoff(d, 3))
	require.Equal(t, maxDialBackoff, dialBackoff(d, 4))
	require.Equal(t, maxDialBackoff, dialBackoff(d, 60))
	require.Equal(t, maxDialBackoff, dialBackoff(5*time.Second, 1), "never longer than maxDialBackoff")
}

func TestDeadServerIsNotDialedRepeatedly(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := ln.Addr().String()
	ln.Close()
	_, x := newTestPool(t, []string{dead}, 0) // dial timeout 300 ms
	runQuery := func(i int) exchange.Ending {
		done := make(chan exchange.Ending, 1)
		x.Submit(&exchange.Query{ID: fmt.Sprintf("%016x", i), Class: "book", Text: "t", ReceivedAt: time.Now(), Timeout: 5 * time.Second,
			Parts: []exchange.Part{{Shard: 0, Weight: 1}}, Done: func(f exchange.Final) { done <- f.Ending }})
		select {
		case e := <-done:
			return e
		case <-time.After(10 * time.Second):
			t.Fatalf("query %d did not end", i)
			return 0
		}
	}
	start := time.Now()
	for i := range 10 {
		require.NotEqual(t, exchange.Answered, runQuery(i))
	}
	if time.Since(start) >= 250*time.Millisecond {
		t.Skip("the machine is too slow to end ten queries within one backoff")
	}
	require.EqualValues(t, 1, x.Counters.Dials.Load(), "one dial for ten queries within the backoff")
	require.EqualValues(t, 1, x.Counters.DialFails.Load())
	time.Sleep(350 * time.Millisecond) // past the first backoff
	runQuery(10)
	require.EqualValues(t, 2, x.Counters.Dials.Load(), "dialed again once the backoff is over")
}
