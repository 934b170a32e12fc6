package upstream

// These tests run servers with several addresses on loopback sockets and count for every part
// where it arrived.

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

// testServer is a stand-in for a leaf server that listens at several addresses and records the
// parts that arrive at each.
type testServer struct {
	t       *testing.T
	mu      sync.Mutex
	parts   map[string][]string // by id: the addresses where it arrived
	release chan struct{}       // nil: parts are answered at once; otherwise once it is closed
	arrived chan string         // addresses where delayed parts arrived
}

// listen makes the server listen at an address and returns it as a list of servers names it. onProbe
// is called before each probe is answered; if it is nil, probes get no answer.
func (s *testServer) listen(network, addr string, onProbe func()) string {
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
			go s.serve(at, nc, onProbe)
		}
	}()
	return at
}

// serve handles the frames of one connection to the address at.
func (s *testServer) serve(at string, nc net.Conn, onProbe func()) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		kind, rest, err := frame.Read(r)
		if err != nil {
			return
		}
		switch kind {
		case 'P':
			if onProbe == nil { // the address accepts connections but never answers
				continue
			}
			onProbe()
			nc.Write(frame.Append(nil, 'P', []byte("ok")))
		case 'Q':
			parts, _ := frame.ParseParts(rest)
			for _, p := range parts {
				s.mu.Lock()
				s.parts[p.ID] = append(s.parts[p.ID], at)
				release := s.release
				s.mu.Unlock()
				if release != nil {
					s.arrived <- at
					<-release
				}
				nc.Write(frame.Append(nil, 'A', frame.AppendAnswer(nil, frame.Answer{ID: p.ID, Status: "ok", LoadReport: "-", Value: []byte("v")})))
			}
		}
	}
}

// runQueries sends n queries of one part through an exchange and requires that each is answered
// and that each part arrived once. It returns the number of parts by address.
func (s *testServer) runQueries(p *Pool, x *exchange.Exchange, n int) map[string]int {
	s.t.Helper()
	var queries sync.WaitGroup
	slots := make(chan struct{}, 3) // at most 3 queries in flight, which the initial window of a server permits
	for i := range n {
		queries.Add(1)
		slots <- struct{}{}
		x.Submit(&exchange.Query{ID: fmt.Sprintf("%016x", i), Class: "book", Text: "t", ReceivedAt: time.Now(), Timeout: 20 * time.Second,
			Parts: []exchange.Part{{Shard: 0, Weight: 1}}, Done: func(f exchange.Final) {
				if f.Ending != exchange.Answered || !f.Complete {
					s.t.Errorf("query %d ended as %d", i, f.Ending)
				}
				<-slots
				queries.Done()
			}})
	}
	queries.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	partsAt := make(map[string]int)
	require.Len(s.t, s.parts, n)
	for id, addrs := range s.parts {
		require.Len(s.t, addrs, 1, "part %s arrived at %v", id, addrs)
		partsAt[addrs[0]]++
	}
	return partsAt
}

// noList is a Lister that delivers nothing: the tests call UpdateList themselves.
type noList struct{}

func (noList) Watch(bool)               {}
func (noList) Fetch()                   {}
func (noList) Run(stop <-chan struct{}) { <-stop }

// newTestPool returns a running pool and exchange with one server at the given addresses.
func newTestPool(t *testing.T, addrs []string, stagger time.Duration) (*Pool, *exchange.Exchange) {
	set := settings.Settings{Router: choice.Settings{Cells: 1, Width: 1, Shards: 1, Routers: 1, AttemptCap: 1, Resolution: 1000, DrainGrace: 2_000_000, AskWithin: 10_000_000,
		Classes: []choice.Class{{Name: "book", LatencyTarget: 10_000_000, Deadline: 20_000_000, RequiredShare: 1, MinShare: 1, Value: 1, Effect: choice.Unsafe}}}, DialTimeout: 300_000}
	x, err := exchange.New(1, set)
	require.NoError(t, err)
	p := New(Config{Exchange: x, Settings: set, List: noList{}, Stagger: stagger, MaxConns: 64})
	p.UpdateList(choice.List{Form: choice.Full, Version: 1, Servers: []choice.Server{{ID: "s", State: choice.Ready, Scale: 1}}}, targets.Addrs{"s": addrs})
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { x.Run(p, stop); close(done) }()
	go p.Run(stop)
	t.Cleanup(func() { close(stop); <-done })
	return p, x
}

func newTestServer(t *testing.T) *testServer {
	return &testServer{t: t, parts: make(map[string][]string)}
}

// The preferred address family is tried first: a Unix socket, then IPv6.
func TestNearestFirst(t *testing.T) {
	s := newTestServer(t)
	answerAtOnce := func() {}
	v4, v6 := s.listen("tcp4", "127.0.0.1:0", answerAtOnce), s.listen("tcp6", "[::1]:0", answerAtOnce)
	local := s.listen("unix", filepath.Join(t.TempDir(), "s"), answerAtOnce)
	p, x := newTestPool(t, []string{v4, v6, local}, 10*time.Second)
	require.Equal(t, map[string]int{local: 40}, s.runQueries(p, x, 40))
}

// An address that accepts connections and then hangs gets no part. The other addresses do.
func TestHangingAddress(t *testing.T) {
	s := newTestServer(t)
	hanging, healthy := s.listen("unix", filepath.Join(t.TempDir(), "s"), nil), s.listen("tcp4", "127.0.0.1:0", func() {})
	p, x := newTestPool(t, []string{healthy, hanging}, 10*time.Millisecond)
	require.Equal(t, map[string]int{healthy: 40}, s.runQueries(p, x, 40))
}

// A dead address causes no delay: the next one is tried at once.
func TestDeadAddress(t *testing.T) {
	s := newTestServer(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := ln.Addr().String()
	ln.Close()
	healthy := s.listen("tcp4", "127.0.0.1:0", func() {})
	p, x := newTestPool(t, []string{dead, healthy}, 10*time.Second)
	require.Equal(t, map[string]int{healthy: 40}, s.runQueries(p, x, 40))
}

// The second connection attempt starts while the first address is still answering, so that both
// answer their probes at the same moment, in ten rounds. One wins, and no part arrives twice.
func TestBothAnswerAtOnce(t *testing.T) {
	for round := range 10 {
		s := newTestServer(t)
		var both sync.WaitGroup
		both.Add(2)
		synchronized := sync.OnceFunc(func() {})
		waitForBoth := func() func() {
			arrived := sync.OnceFunc(both.Done)
			return func() { arrived(); both.Wait(); synchronized() }
		}
		a, c := s.listen("tcp4", "127.0.0.1:0", waitForBoth()), s.listen("tcp4", "127.0.0.1:0", waitForBoth())
		p, x := newTestPool(t, []string{a, c}, 10*time.Millisecond)
		partsAt := s.runQueries(p, x, 20)
		require.Equal(t, 20, partsAt[a]+partsAt[c], "round %d", round)
	}
}

// A server is registered again under its name with another address while a part is in flight.
// That part is answered at the old address, a new part goes to the new address, and each part
// arrives once.
func TestServerChangesAddress(t *testing.T) {
	s := newTestServer(t)
	first, second := s.listen("tcp4", "127.0.0.1:0", func() {}), s.listen("tcp4", "127.0.0.1:0", func() {})
	p, x := newTestPool(t, []string{first}, 0)
	s.release, s.arrived = make(chan struct{}), make(chan string, 8)
	finals := make(chan exchange.Final, 8)
	submit := func(i int) {
		x.Submit(&exchange.Query{ID: fmt.Sprintf("part%012x", i), Class: "book", Text: "t", ReceivedAt: time.Now(), Timeout: 20 * time.Second,
			Parts: []exchange.Part{{Shard: 0, Weight: 1}}, Done: func(f exchange.Final) { finals <- f }})
	}
	submit(0)
	require.Equal(t, first, <-s.arrived)
	p.UpdateList(choice.List{Form: choice.Delta, Version: 2, Servers: []choice.Server{{ID: "s", State: choice.Ready, Scale: 1}}}, targets.Addrs{"s": {second}})
	submit(1)
	require.Equal(t, second, <-s.arrived)
	close(s.release)
	for range 2 {
		require.Equal(t, exchange.Answered, (<-finals).Ending)
	}
	require.Len(t, s.parts, 2)
	for id, addrs := range s.parts {
		require.Len(t, addrs, 1, id)
	}
}
