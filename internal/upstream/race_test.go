package upstream

// Servers with several addresses, on loopback sockets: what arrives is counted for
// every part.

import (
	"bufio"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/frame"
	"saddleport/internal/settings"
	"saddleport/internal/source/targets"
)

// stand is a stand-in server at several addresses. Each counts the parts that arrive.
type stand struct {
	t     *testing.T
	mu    sync.Mutex
	parts map[string][]string // by id: the addresses that it came to
	hold  chan struct{}       // nil: parts are answered at once; else once it is closed
	seen  chan string         // where held parts arrived
}

func (s *stand) listen(network, addr string, greet func()) string {
	ln, err := net.Listen(network, addr)
	if err != nil {
		s.t.Skipf("%s %s: %v", network, addr, err)
	}
	s.t.Cleanup(func() { ln.Close() })
	at := ln.Addr().String()
	if network == "unix" {
		at = "unix:" + at
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(at, nc, greet)
		}
	}()
	return at
}

func (s *stand) serve(at string, nc net.Conn, greet func()) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		letter, rest, err := frame.Read(r)
		if err != nil {
			return
		}
		switch letter {
		case 'P':
			if greet == nil { // it has accepted, and hangs
				continue
			}
			greet()
			nc.Write(frame.Append(nil, 'P', []byte("ok")))
		case 'Q':
			parts, _ := frame.ParseParts(rest)
			for _, p := range parts {
				s.mu.Lock()
				s.parts[p.ID] = append(s.parts[p.ID], at)
				hold := s.hold
				s.mu.Unlock()
				if hold != nil {
					s.seen <- at
					<-hold
				}
				nc.Write(frame.Append(nil, 'A', frame.AppendAnswer(nil, frame.Answer{ID: p.ID, Status: "ok", LoadReport: "-", Value: []byte("v")})))
			}
		}
	}
}

// ask sends so many queries of one part through a whole exchange, and wants each
// answered; it returns the addresses that parts came to.
func (s *stand) ask(b *Pool, x *exchange.Exchange, n int) map[string]int {
	s.t.Helper()
	var all sync.WaitGroup
	room := make(chan struct{}, 3) // within the window that a server has at the start
	for i := range n {
		all.Add(1)
		room <- struct{}{}
		x.Submit(&exchange.Query{ID: fmt.Sprintf("%016x", i), Class: "book", Text: "t", ReceivedAt: time.Now(), Timeout: 20 * time.Second,
			Parts: []exchange.Part{{Shard: 0, Weight: 1}}, Done: func(f exchange.Final) {
				if f.Ending != exchange.Answered || !f.Complete {
					s.t.Errorf("query %d ended as %d", i, f.Ending)
				}
				<-room
				all.Done()
			}})
	}
	all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	at := make(map[string]int)
	require.Len(s.t, s.parts, n)
	for id, where := range s.parts {
		require.Len(s.t, where, 1, "part %s arrived at %v", id, where)
		at[where[0]]++
	}
	return at
}

type noList struct{}

func (noList) Watch(bool)               {}
func (noList) Fetch()                   {}
func (noList) Run(stop <-chan struct{}) { <-stop }

func mixer(t *testing.T, addrs []string, stagger time.Duration) (*Pool, *exchange.Exchange) {
	set := settings.Settings{Router: choice.Settings{Cells: 1, Width: 1, Shards: 1, Routers: 1, AttemptCap: 1, Resolution: 1000, DrainGrace: 2_000_000, AskWithin: 10_000_000,
		Classes: []choice.Class{{Name: "book", LatencyTarget: 10_000_000, Deadline: 20_000_000, RequiredShare: 1, MinShare: 1, Value: 1, Effect: choice.Unsafe}}}, DialTimeout: 300_000}
	x, err := exchange.New(1, set)
	require.NoError(t, err)
	b := New(Config{Exchange: x, Settings: set, List: noList{}, Stagger: stagger, MaxConns: 64})
	b.UpdateList(choice.List{Form: choice.Full, Version: 1, Servers: []choice.Server{{ID: "s", State: choice.Ready, Scale: 1}}}, targets.Addrs{"s": addrs})
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { x.Run(b, stop); close(done) }()
	go b.Run(stop)
	t.Cleanup(func() { close(stop); <-done })
	return b, x
}

func newStand(t *testing.T) *stand { return &stand{t: t, parts: make(map[string][]string)} }

// The nearest first: a Unix socket, then IPv6.
func TestNearestFirst(t *testing.T) {
	s := newStand(t)
	now := func() {}
	v4, v6 := s.listen("tcp4", "127.0.0.1:0", now), s.listen("tcp6", "[::1]:0", now)
	local := s.listen("unix", filepath.Join(t.TempDir(), "s"), now)
	b, x := mixer(t, []string{v4, v6, local}, 10*time.Second)
	require.Equal(t, map[string]int{local: 40}, s.ask(b, x, 40))
}

// An address that accepts and then hangs gets no part; the others do.
func TestHangingAddress(t *testing.T) {
	s := newStand(t)
	hung, well := s.listen("unix", filepath.Join(t.TempDir(), "s"), nil), s.listen("tcp4", "127.0.0.1:0", func() {})
	b, x := mixer(t, []string{well, hung}, 10*time.Millisecond)
	require.Equal(t, map[string]int{well: 40}, s.ask(b, x, 40))
}

// A dead address holds nothing up: the next is tried at once.
func TestDeadAddress(t *testing.T) {
	s := newStand(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := ln.Addr().String()
	ln.Close()
	well := s.listen("tcp4", "127.0.0.1:0", func() {})
	b, x := mixer(t, []string{dead, well}, 10*time.Second)
	require.Equal(t, map[string]int{well: 40}, s.ask(b, x, 40))
}

// The fallback starts just as the first address answers: both answer their probes at
// the same moment, over and over. One wins, and no part comes twice.
func TestBothAnswerAtOnce(t *testing.T) {
	for round := range 10 {
		s := newStand(t)
		var both sync.WaitGroup
		both.Add(2)
		meet := sync.OnceFunc(func() {})
		once := func() func() {
			first := sync.OnceFunc(both.Done)
			return func() { first(); both.Wait(); meet() }
		}
		a, c := s.listen("tcp4", "127.0.0.1:0", once()), s.listen("tcp4", "127.0.0.1:0", once())
		b, x := mixer(t, []string{a, c}, 10*time.Millisecond)
		at := s.ask(b, x, 20)
		require.Equal(t, 20, at[a]+at[c], "round %d", round)
	}
}

// A server that is registered under its name with another address while parts are out:
// what is out is answered where it is, what is new goes to the new address, and each
// arrives once.
func TestMoves(t *testing.T) {
	s := newStand(t)
	one, two := s.listen("tcp4", "127.0.0.1:0", func() {}), s.listen("tcp4", "127.0.0.1:0", func() {})
	b, x := mixer(t, []string{one}, 0)
	s.hold, s.seen = make(chan struct{}), make(chan string, 8)
	finals := make(chan exchange.Final, 8)
	take := func(i int) {
		x.Submit(&exchange.Query{ID: fmt.Sprintf("held%012x", i), Class: "book", Text: "t", ReceivedAt: time.Now(), Timeout: 20 * time.Second,
			Parts: []exchange.Part{{Shard: 0, Weight: 1}}, Done: func(f exchange.Final) { finals <- f }})
	}
	take(0)
	require.Equal(t, one, <-s.seen)
	b.UpdateList(choice.List{Form: choice.Delta, Version: 2, Servers: []choice.Server{{ID: "s", State: choice.Ready, Scale: 1}}}, targets.Addrs{"s": {two}})
	take(1)
	require.Equal(t, two, <-s.seen)
	close(s.hold)
	for range 2 {
		require.Equal(t, exchange.Answered, (<-finals).Ending)
	}
	require.Len(t, s.parts, 2)
	for id, where := range s.parts {
		require.Len(t, where, 1, id)
	}
}
