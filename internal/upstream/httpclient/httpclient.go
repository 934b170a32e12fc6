// Package httpclient is the client side for servers that speak HTTP/1.1: it owns the
// connections to them, each of which carries one request at a time. It carries out what the
// exchange asks for and reports how each attempt ended. It must never decide which server a
// part goes to, send a part twice, accept bytes as an answer that were not meant for the
// pending request, or let one unresponsive server block another.
package httpclient

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/httpwire"
	"saddleport/internal/transport"
)

const (
	dialTimeout          = 400 * time.Millisecond
	maxDialBackoff       = 2 * time.Second        // the longest pause between dials to a server whose dials fail
	writeTimeout         = 500 * time.Millisecond // a write that takes longer ends its connection
	directWriteSize      = 8 << 10                // bytes that an idle connection accepts without blocking; a longer request is written by its own goroutine
	lateAnswerWait       = 2 * time.Second        // how long after sending a request its connection waits for the answer once the attempt has been cancelled or has ended
	abandonDelay         = 250 * time.Millisecond // how long a server may still answer an idempotent request whose client has left
	idleTimeout          = 30 * time.Second       // a connection that has been idle longer is closed
	nonIdempotentMaxIdle = 3 * time.Second        // a non-idempotent request uses no connection that has been idle longer
	keepAliveMargin      = 700 * time.Millisecond // subtracted from the keep-alive time that a server states, so that the proxy stops using the connection before the server closes it
	sweepInterval        = time.Second
	maxAnswerBody        = 1 << 20  // bytes
	maxAnswerHead        = 16 << 10 // bytes
	readBufferSize       = 2 << 10  // bytes
	maxStrayAnswers      = 2        // answers to other requests that are skipped on one connection; a further one ends the pending call as a server error
)

// Config configures a Pool.
type Config struct {
	Exchange   *exchange.Exchange
	MaxConns   int           // open connections to all servers together
	DrainGrace time.Duration // how long after UpdateServers reported a server as draining a request may still be sent to it
	Mutations  Mutations
}

// Mutations disables rules of this package on purpose, so that a checker can prove that it
// detects the violation of each. All are false in service.
type Mutations struct {
	AnyID        bool // an answer is accepted for the pending request whatever id it carries
	LostIsUnsent bool // a reset or a close counts as proof that a request has not run
	ReuseEarly   bool // a connection is reused before its request is completely written
}

// Server is the state of a server as UpdateServers receives it.
type Server struct {
	ID, Addr string
	Gone     bool // the server has been removed: it gets no further request
	Draining bool // the server is about to end: it gets no further request after Config.DrainGrace
	MaxConns int  // this proxy's share of the connections that the server accepts; 0: unknown
}

// Pool holds the connections to all servers. It implements exchange.Upstream.
type Pool struct {
	Config
	dial *net.Dialer

	mu      sync.Mutex
	servers map[string]*server
	calls   map[*exchange.Attempt]*call
	conns   int // open or being opened

	lastConnNumber uint64
}

type server struct {
	Server
	conns         []*conn   // the one that became idle last is last
	waiting       []*call   // calls without a connection
	dialing       int       // connections being dialed
	dialFailures  int       // failed dials in a row
	dialNotBefore time.Time // without a connection, no dial starts before this time
	drainedAt     time.Time // from this time on no request is sent; zero: the server is not draining
}

// hasSurplus reports whether the server has more connections than it may have, as MaxConns was lowered.
func (s *server) hasSurplus() bool { return s.MaxConns > 0 && len(s.conns)+s.dialing > s.MaxConns }

// drained reports whether the server gets no further request.
func (s *server) drained() bool {
	return s.Gone || !s.drainedAt.IsZero() && !time.Now().Before(s.drainedAt)
}

// longestIdle returns the connection that has been idle longest; nil: none is idle.
func (s *server) longestIdle() *conn {
	for _, c := range s.conns {
		if !c.busy {
			return c
		}
	}
	return nil
}

// idleConnFor returns the connection that became idle last and may carry a call, or nil. It also returns
// idle connections that are to be closed because the server may close them.
func (s *server) idleConnFor(k *call, now time.Time) (usable *conn, expired []*conn) {
	for _, c := range slices.Backward(s.conns) {
		switch {
		case c.busy || c.draining:
		case !c.keepAliveUntil.IsZero() && now.After(c.keepAliveUntil):
			expired = append(expired, c)
		case k.mayUse(c, now):
			return c, expired
		}
	}
	return nil, expired
}

// call is an attempt, with the connection that carries it.
type call struct {
	attempt   *exchange.Attempt
	earlier   []*exchange.Attempt // the earlier attempts of the same part
	server    *server
	conn      *conn // nil: the call waits for a connection
	cancelled bool  // the exchange no longer needs the answer, which still shows the state of the server
	done      bool
}

// mayUse reports whether an idle connection may carry the call. A connection that has carried an earlier
// attempt of the same part may not: answers carry the id of the query, so a second copy of the answer to
// that attempt could not be distinguished from the answer to this one.
func (k *call) mayUse(c *conn, now time.Time) bool {
	if k.attempt.NonIdempotent() && now.Sub(c.idleSince) > nonIdempotentMaxIdle {
		return false
	}
	return !slices.ContainsFunc(k.earlier, func(a *exchange.Attempt) bool { return a.ConnNumber == c.number })
}

// New returns a pool that knows no server yet.
func New(cfg Config) *Pool {
	return &Pool{Config: cfg, dial: transport.Dialer(dialTimeout), servers: make(map[string]*server),
		calls: make(map[*exchange.Attempt]*call)}
}

// Run maintains the connections until ctx is done.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, s := range p.servers {
				for _, c := range slices.Clone(s.conns) {
					c.closeWith(choice.ConnectionLost)
				}
			}
			return
		case <-tick.C:
			p.sweep()
		}
	}
}

// UpdateServers applies changes of servers. The caller must pass a change to UpdateServers before
// it passes the change to the exchange, so that an attempt finds its server here.
func (p *Pool) UpdateServers(list []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range list {
		s := p.servers[t.ID]
		switch {
		case t.Gone && s == nil:
		case t.Gone:
			s.Gone = true
			for _, c := range slices.Clone(s.conns) {
				if c.draining = true; !c.busy {
					c.closeWith(choice.ConnectionLost)
				}
			}
			p.failWaiting(s, choice.NoConnection)
			p.forget(s)
		case s == nil:
			s = &server{Server: t}
			p.servers[t.ID] = s
			p.updateDrain(s)
		default:
			s.Server = t
			p.updateDrain(s)
			p.closeSurplus(s)
			p.openConn(s) // MaxConns may have grown
		}
	}
}

// closeSurplus closes idle connections above the server's limit. Those in use are closed by release.
func (p *Pool) closeSurplus(s *server) {
	for s.hasSurplus() {
		c := s.longestIdle()
		if c == nil {
			return
		}
		c.closeWith(choice.ConnectionLost)
	}
}

// updateDrain sets drainedAt after an update of a server. The calls that wait for a connection then end:
// none may be sent later, whenever a connection becomes idle.
func (p *Pool) updateDrain(s *server) {
	switch {
	case !s.Draining:
		s.drainedAt = time.Time{}
	case s.drainedAt.IsZero():
		s.drainedAt = time.Now().Add(p.DrainGrace)
		time.AfterFunc(p.DrainGrace, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if s.drained() {
				p.failWaiting(s, choice.NotSent)
			}
		})
	}
}

// forget removes a server that is gone once it has no connection.
func (p *Pool) forget(s *server) {
	if s.Gone && len(s.conns) == 0 && s.dialing == 0 && p.servers[s.ID] == s {
		delete(p.servers, s.ID)
	}
}

// ---- Requests of the exchange.

// Send starts the attempts.
func (p *Pool) Send(attempts []*exchange.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range attempts {
		k := &call{attempt: a, earlier: a.Earlier(), server: p.servers[a.Server]}
		p.calls[a] = k
		p.assign(k)
	}
}

// Cancel cancels an attempt. The connection of the attempt stays busy until the answer arrives,
// because closing it would cost a new connection. If v is Cancelled and the request has been
// sent, the attempt ends with that answer, which distinguishes a server that is only slower than
// another from an unresponsive one. If no answer arrives, the attempt ends at the first sweep
// that comes more than lateAnswerWait after the request was sent. If v is another verdict or the
// request has not been sent, the attempt ends at once.
func (p *Pool) Cancel(a *exchange.Attempt, v choice.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.calls[a]
	if k == nil {
		return
	}
	if v == choice.Cancelled && k.conn != nil {
		k.cancelled = true
		if a.Abandoned() && !a.NonIdempotent() {
			time.AfterFunc(abandonDelay, func() { p.abandon(k) })
		}
		return
	}
	if k.conn == nil && v == choice.NoAnswer { // never sent, so it has not run
		v = choice.NotSent
	}
	p.finish(k, v, nil, "")
}

// abandon closes the connection of an attempt whose client has left and which has not been
// answered since, so that the server need not continue working on it.
func (p *Pool) abandon(k *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !k.done && k.conn.call == k {
		k.conn.closeWith(choice.Cancelled)
	}
}

// Probe implements exchange.Upstream. The routing decisions (package choice) request no probes of
// HTTP servers; a probe that is requested nevertheless ends at once as not sent.
func (p *Pool) Probe(name string) { p.Exchange.ProbeEnded(name, 0, choice.NotSent, nil) }

// Release closes the idle connections to a server.
func (p *Pool) Release(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil {
		for _, c := range slices.Clone(s.conns) {
			if !c.busy {
				c.closeWith(choice.ConnectionLost)
			}
		}
	}
}

// Watch implements exchange.Upstream. It does nothing, because UpdateServers delivers the changes
// of servers unasked.
func (p *Pool) Watch(bool) {}

// Fetch implements exchange.Upstream. It does nothing, like Watch.
func (p *Pool) Fetch() {}

// ---- Helpers that require p.mu.

// assign sends a call on the connection that became idle last. If no idle connection can take the
// call, assign puts it in the waiting queue of the server and opens a connection.
func (p *Pool) assign(k *call) {
	s := k.server
	if s == nil || s.drained() {
		p.finish(k, choice.NotSent, nil, "")
		return
	}
	now := time.Now()
	c, expired := s.idleConnFor(k, now)
	if c != nil {
		c.send(k, now)
	} else {
		s.waiting = append(s.waiting, k)
	}
	for _, c := range expired {
		c.closeWith(choice.ConnectionLost)
	}
	p.openConn(s)
}

// openConn dials a connection for the waiting calls, unless one is being dialed for each of them. If the
// server or the pool has as many connections as it may have, openConn closes the connection to the server
// that has been idle longest: the waiting calls can't use it, and would wait until it is closed. If the
// server has no connection, and its last dial failed recently or the pool has no free connection, the
// waiting calls fail at once.
func (p *Pool) openConn(s *server) {
	if s.dialing >= len(s.waiting) {
		return
	}
	if len(s.conns) == 0 && time.Now().Before(s.dialNotBefore) {
		p.failWaiting(s, choice.NoConnection)
		return
	}
	if p.conns >= p.MaxConns || s.MaxConns > 0 && len(s.conns)+s.dialing >= s.MaxConns {
		if c := s.longestIdle(); c != nil {
			c.closeWith(choice.ConnectionLost) // and calls openConn again
		} else if len(s.conns)+s.dialing == 0 {
			p.failWaiting(s, choice.NoConnection)
		}
		return
	}
	s.dialing++
	p.conns++
	p.Exchange.Counters.Dials.Add(1)
	go p.dialConn(s, s.Addr)
}

// dialConn dials a server at an address, for the calls that wait for a connection.
func (p *Pool) dialConn(s *server, addr string) {
	nc, err := p.dial.Dial("tcp4", addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	s.dialing--
	if err != nil || s.Gone || s.Addr != addr {
		p.conns--
		if err == nil {
			nc.Close()
		} else {
			p.Exchange.Counters.DialFails.Add(1)
			s.dialFailures++
			backoff := dialTimeout
			for i := 1; i < s.dialFailures && backoff < maxDialBackoff; i++ {
				backoff *= 2
			}
			s.dialNotBefore = time.Now().Add(min(backoff, maxDialBackoff))
		}
		p.failWaiting(s, choice.NoConnection)
		p.forget(s)
		return
	}
	s.dialFailures, s.dialNotBefore = 0, time.Time{}
	p.lastConnNumber++
	c := &conn{pool: p, number: p.lastConnNumber, server: s, nc: nc, reader: httpwire.NewReaderSize(nc, readBufferSize, maxAnswerHead, maxAnswerBody), idleSince: time.Now()}
	s.conns = append(s.conns, c)
	p.Exchange.Counters.ServerConns.Add(1)
	go c.readLoop()
	p.assignWaiting(s)
}

// assignWaiting assigns the waiting calls again, for example to a new connection.
func (p *Pool) assignWaiting(s *server) {
	waiting := s.waiting
	s.waiting = nil
	for _, k := range waiting {
		p.assign(k)
	}
}

// failWaiting ends the calls that wait for a connection to s. They have not run.
func (p *Pool) failWaiting(s *server, v choice.Verdict) {
	failed := s.waiting
	s.waiting = nil
	for _, k := range failed {
		p.finish(k, v, nil, "")
	}
}

// finish ends a call and reports its outcome. A call that has ended already stays as it is.
func (p *Pool) finish(k *call, v choice.Verdict, load []choice.Reading, value string) {
	if k.done {
		return
	}
	k.done = true
	delete(p.calls, k.attempt)
	if k.conn == nil && k.server != nil {
		k.server.waiting = slices.DeleteFunc(k.server.waiting, func(o *call) bool { return o == k })
	}
	if k.conn != nil && k.conn.call == k {
		k.conn.call = nil
	}
	p.Exchange.AttemptEnded(k.attempt, v, load, value)
}

// sweep closes connections that wait too long for the answer to a call that was cancelled or has
// ended, and connections that have been idle too long.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, s := range p.servers {
		for _, c := range slices.Clone(s.conns) {
			switch {
			case c.busy && (c.call == nil || c.call.cancelled) && now.Sub(c.sentAt) > lateAnswerWait:
				c.closeWith(choice.Cancelled)
			case !c.busy && (now.Sub(c.idleSince) > idleTimeout || !c.keepAliveUntil.IsZero() && now.After(c.keepAliveUntil)):
				c.closeWith(choice.ConnectionLost)
			}
		}
	}
}
