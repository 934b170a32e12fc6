package httpclient

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/standin"
	"saddleport/internal/settings"
)

const (
	testTimeout = 2 * time.Second // of a query
	maxConns    = 2               // to the server
)

// fixture is a pool with an exchange and one server.
type fixture struct {
	exchange *exchange.Exchange
	pool     *Pool
	server   *standin.Server
	queries  int
}

// newFixture starts a pool and a server that replies with do.
func newFixture(do func(n int, seen standin.Seen) standin.Reply) *fixture {
	x, err := exchange.New(1, settings.Settings{MaxInFlight: 100, Router: choice.Settings{ClassesLater: true, Cells: 1, Width: 1,
		MaxPartsPerCall: 1, Resolution: 1000, Cancel: true, ParallelAttempts: true, AttemptCap: 4, Keepalive: 30_000_000, Routers: 1}})
	So(err, ShouldBeNil)
	server, err := standin.NewServer("i-1", do)
	So(err, ShouldBeNil)
	f := &fixture{exchange: x, pool: New(Config{Exchange: x, MaxConns: 10}), server: server}
	stop := make(chan struct{})
	go x.Run(f.pool, stop)
	Reset(func() { close(stop); server.Close() })
	class := choice.Class{Name: "c", LatencyTarget: 500_000, Deadline: testTimeout.Microseconds(), Effect: choice.Unsafe, RequiredShare: 1, MinShare: 1, Attempts: 1}
	x.UpdateClasses([]choice.Class{class})
	f.update(false)
	x.UpdateServers(choice.List{Servers: []choice.Server{{ID: server.ID, Zone: "z", State: choice.Ready, Scale: 100}}})
	return f
}

// update tells the pool, but not the exchange, whether the server is draining.
func (f *fixture) update(draining bool) {
	f.pool.UpdateServers([]Server{{ID: f.server.ID, Addr: f.server.Addr, MaxConns: maxConns, Draining: draining}})
}

// submit sends a query; the result arrives on the channel.
func (f *fixture) submit(nonIdempotent bool) <-chan exchange.Final {
	f.queries++
	done := make(chan exchange.Final, 1)
	id := fmt.Sprint("q", f.queries)
	f.exchange.Submit(&exchange.Query{ID: id, UpstreamID: id, Class: "c", Text: "POST /x HTTP/1.1\r\nContent-Length: 0\r\nX-Saddleport-Attempt-Id: " + id + "\r\n\r\n",
		ReceivedAt: time.Now(), Timeout: testTimeout, NonIdempotent: nonIdempotent, Parts: []exchange.Part{{Weight: 1}},
		Done: func(final exchange.Final) { done <- final }})
	return done
}

// waitFor polls a condition that requires the mutex of the pool, for at most 10 s.
func (f *fixture) waitFor(condition func(s *server) bool) {
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for {
		f.pool.mu.Lock()
		met := condition(f.pool.servers[f.server.ID])
		f.pool.mu.Unlock()
		if met {
			return
		}
		select {
		case <-deadline:
			So("the condition", ShouldEqual, "met within 10 s")
		case <-tick.C:
		}
	}
}

// A call that waits for a connection must be sent at once when one can be had, and never after the server
// has drained.
func TestWaitingCalls(t *testing.T) {
	Convey("A server with as many connections as it may have", t, func() {
		release := make(chan struct{})
		releaseAll := sync.OnceFunc(func() { close(release) })
		Reset(releaseAll)
		f := newFixture(func(n int, _ standin.Seen) standin.Reply {
			if n <= maxConns {
				return standin.Reply{Body: "x", HoldUntil: release}
			}
			return standin.Reply{Body: "x"}
		})
		var first []<-chan exchange.Final
		for range maxConns {
			first = append(first, f.submit(false))
		}
		f.waitFor(func(s *server) bool { return len(s.conns) == maxConns && s.conns[0].busy && s.conns[1].busy })
		finishFirst := func() {
			releaseAll()
			for _, done := range first {
				So((<-done).Ending, ShouldEqual, exchange.Answered)
			}
		}
		// Guards against a non-idempotent request that waits while all connections have been idle for too long
		// to carry it, until the server or the pool closes them.
		Convey("gets a non-idempotent request after a lull", func() {
			finishFirst()
			f.waitFor(func(s *server) bool {
				for _, c := range s.conns {
					c.idleSince = c.idleSince.Add(-2 * nonIdempotentMaxIdle)
				}
				return true
			})
			So((<-f.submit(true)).Ending, ShouldEqual, exchange.Answered)
			f.waitFor(func(s *server) bool { return len(s.conns) <= maxConns })
		})
		// Guards against connections above a limit that has been lowered, which the server resets.
		Convey("closes those above a lowered limit as they become idle", func() {
			f.pool.UpdateServers([]Server{{ID: f.server.ID, Addr: f.server.Addr, MaxConns: maxConns - 1}})
			finishFirst()
			f.waitFor(func(s *server) bool { return len(s.conns) == maxConns-1 })
			So((<-f.submit(false)).Ending, ShouldEqual, exchange.Answered)
		})
		Convey("closes idle ones above a lowered limit at once", func() {
			finishFirst()
			f.waitFor(func(s *server) bool { return len(s.conns) == maxConns && !s.conns[0].busy && !s.conns[1].busy })
			f.pool.UpdateServers([]Server{{ID: f.server.ID, Addr: f.server.Addr, MaxConns: maxConns - 1}})
			f.waitFor(func(s *server) bool { return len(s.conns) == maxConns-1 })
		})
		// Guards against a request that reaches a server long after it began to drain, because it waited until a
		// connection was idle.
		Convey("gets no request that waits until it has drained", func() {
			waiting := f.submit(true)
			f.waitFor(func(s *server) bool { return len(s.waiting) == 1 })
			f.update(true)
			final := <-waiting
			So(final.Ending, ShouldEqual, exchange.Refused)
			So(final.MayHaveRun, ShouldBeFalse)
			So((<-f.submit(true)).Ending, ShouldEqual, exchange.Refused) // the exchange does not know yet that it drains
			finishFirst()
			So(len(f.server.Seen()), ShouldEqual, maxConns)
			f.update(false)
			So((<-f.submit(true)).Ending, ShouldEqual, exchange.Answered)
		})
	})
}
