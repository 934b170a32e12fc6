package exchange

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/choice"
	"saddleport/internal/settings"
)

// simulation is an upstream side with simulated servers, which count the executions of
// each query. It runs on a clock that the test advances.
type simulation struct {
	manualLoop
	x          *Exchange
	rng        *rand.Rand
	timers     timers
	servers    map[string]*simServer
	names      []string
	executions map[string]int      // by query id
	running    map[*Attempt]*timer // the timer ends the execution
}

type simServer struct {
	choice.Server
	up, partitioned bool    // a partitioned server loses every second attempt on arrival, at random, and all answers
	slowdown        float64 // factor on the execution time; below 1 counts as 1. Server.Slow above 0 means ejected.
}

func (s *simulation) after(d time.Duration, do func()) *timer {
	t := &timer{at: s.now.Add(d), fire: do}
	heap.Push(&s.timers, t)
	return t
}

// Send implements Upstream. An attempt counts as executed once a server has started it,
// also if the server is killed or partitioned before it has answered.
func (s *simulation) Send(attempts []*Attempt) {
	for _, a := range attempts {
		server := s.servers[a.Server]
		switch {
		case !server.up:
			s.x.AttemptEnded(a, choice.NoConnection, nil, "")
		case s.rng.IntN(60) == 0:
			s.x.AttemptEnded(a, choice.Rejected, nil, "")
		default:
			// The attempt is on the wire, cancelled or not: a server that is up on its arrival executes it.
			s.after(time.Duration(s.rng.IntN(3000))*time.Microsecond, func() {
				if !server.up || server.partitioned && s.rng.IntN(2) == 0 {
					return
				}
				s.executions[a.QueryID()]++
				took := time.Duration((40 + 40*s.rng.ExpFloat64()) * max(server.slowdown, 1) * float64(time.Millisecond))
				s.running[a] = s.after(took, func() {
					delete(s.running, a)
					if server.up && !server.partitioned {
						s.x.AttemptEnded(a, choice.Served, nil, "ok")
					}
				})
			})
		}
	}
}

func (s *simulation) Cancel(a *Attempt, v choice.Verdict) { s.x.AttemptEnded(a, v, nil, "") }
func (s *simulation) Probe(string)                        {}
func (s *simulation) Release(string)                      {}
func (s *simulation) Watch(bool)                          {}
func (s *simulation) Fetch()                              {}

// injectFault injects a random fault into a random server and reports whether the list
// entry of the server changed.
func (s *simulation) injectFault() (listChanged bool) {
	server := s.servers[s.names[s.rng.IntN(len(s.names))]]
	switch s.rng.IntN(6) {
	case 0, 1, 2: // ejected (Slow above 0) or readmitted (Slow 0), with attempts in flight
		if server.Slow = 0; s.rng.IntN(2) == 0 {
			server.Slow = 2 + 10*s.rng.Float64()
		}
		s.x.UpdateServers(choice.List{Form: choice.Delta, Servers: []choice.Server{server.Server}})
		return true
	case 3:
		server.slowdown = 1 + 9*s.rng.Float64()
	case 4: // killed: the attempts in flight are lost; the server restarts after 1 s
		server.up = false
		var lost []*Attempt
		for a := range s.running {
			if a.Server == server.ID {
				lost = append(lost, a)
			}
		}
		slices.SortFunc(lost, func(a, b *Attempt) int { return strings.Compare(a.PartID, b.PartID) }) // map iteration order is random; sorting keeps the run reproducible
		for _, a := range lost {
			s.running[a].fire = func() {}
			delete(s.running, a)
			s.x.AttemptEnded(a, choice.ConnectionLost, nil, "")
		}
		s.after(time.Second, func() { server.up = true })
	case 5:
		server.partitioned = true
		s.after(time.Second, func() { server.partitioned = false })
	}
	return false
}

// Sends bookings, which are not idempotent, while servers are ejected, readmitted, killed
// and partitioned. No booking may be executed twice, be reported as not executed although
// it was or will be, be answered without having been executed, or get two answers.
func TestAtMostOnceExecution(t *testing.T) {
	const bookings, faultInterval = 100_000, 45 // a fault is injected after every 45 bookings
	s := &simulation{manualLoop: manualLoop{time.Now()}, rng: rand.New(rand.NewPCG(1, 36)), servers: make(map[string]*simServer),
		executions: make(map[string]int), running: make(map[*Attempt]*timer)}
	set := settings.Settings{Router: choice.Settings{Cells: 1, Width: 1, Shards: 1, Routers: 1, AttemptCap: 4, Resolution: 1000, MaxPartsPerCall: 1, AskWithin: 10_000_000,
		Cancel: true, ParallelAttempts: true, MaxRetryAfter: 1_000_000,
		Classes: []choice.Class{{Name: "booking", LatencyTarget: 800_000, Deadline: 4_000_000, RequiredShare: 1, MinShare: 1, Value: 1, Effect: choice.Unsafe, LateValue: 0.4}}}}
	router, err := choice.New(1, set.Router)
	require.NoError(t, err)
	s.x, err = NewOn(s, router, 1, set)
	require.NoError(t, err)
	s.x.Attach(s)
	var servers []choice.Server
	for i := range 8 {
		server := &simServer{Server: choice.Server{ID: fmt.Sprint("s", i), State: choice.Ready, Scale: 1}, up: true}
		s.servers[server.ID], s.names = server, append(s.names, server.ID)
		servers = append(servers, server.Server)
	}
	s.x.UpdateServers(choice.List{Form: choice.Cached, Servers: servers})
	finals := make(map[string]Final)
	listChanges, duplicates := 0, 0
	for n := range bookings {
		id := fmt.Sprintf("%08x", n)
		s.x.Submit(&Query{ID: id, Class: "booking", Text: "book", ReceivedAt: s.now, Timeout: 4 * time.Second, NonIdempotent: true, Parts: []Part{{Weight: 1}},
			Done: func(f Final) {
				if _, twice := finals[id]; twice {
					duplicates++
				}
				finals[id] = f
			}})
		if n%faultInterval == 0 && s.injectFault() {
			listChanges++
		}
		s.run(time.Duration(s.rng.IntN(20)) * time.Millisecond)
	}
	s.run(10 * time.Second)
	require.Zero(t, duplicates, "queries with more than one answer")
	require.Len(t, finals, bookings)
	require.Greater(t, listChanges, 1000) // these lower limits ensure that the faults occurred and that each kind of ending was tested
	counts := make(map[string]int)
	for id, f := range finals {
		require.LessOrEqual(t, s.executions[id], 1, "booking %s was executed twice", id)
		switch {
		case f.Ending == Answered:
			counts["answered"]++
			require.Equal(t, 1, s.executions[id], "booking %s was answered but never executed", id)
		case !f.MayHaveRun:
			counts["reported as not executed"]++
			require.Zero(t, s.executions[id], "booking %s was reported as not executed", id)
		default:
			counts["execution unknown"]++
		}
	}
	require.Greater(t, counts["answered"], bookings*2/3)
	require.Greater(t, counts["reported as not executed"], 50)
	require.Greater(t, counts["execution unknown"], 100)
	t.Logf("%d bookings, %d changes of the server list: %v", bookings, listChanges, counts)
}

// run advances the clock by d and processes everything that becomes due.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for {
		for range 3 { // events posted during a Turn are processed in the next; 3 Turns before the last one are enough for the posts that follow each other here
			s.x.Turn()
		}
		next, due := s.x.Turn()
		if !due || next.After(end) {
			next = end
		}
		if len(s.timers) > 0 && s.timers[0].at.Before(next) {
			next = s.timers[0].at
		}
		if next.After(s.now) {
			s.now = next
		}
		for len(s.timers) > 0 && !s.timers[0].at.After(s.now) {
			heap.Pop(&s.timers).(*timer).fire()
		}
		if !s.now.Before(end) {
			s.x.Turn()
			return
		}
	}
}
