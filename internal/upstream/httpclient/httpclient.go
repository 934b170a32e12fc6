// Package httpclient is the client side for servers that speak HTTP/1.1: it owns the
// connections to them, one request at a time on each. It does what the exchange asks and
// reports how it ended. It must never decide where a part goes, send one twice, take
// bytes for an answer that were not meant for the request that waits, or let one silent
// server hold up another.
package httpclient

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/httpwire"
	"saddleport/internal/transport"
)

const (
	dialTime     = 400 * time.Millisecond // a connection that is not up by then has failed
	dialHoldMost = 2 * time.Second        // the longest a server whose dials fail is not dialed
	writeTime    = 500 * time.Millisecond // a write that takes longer ends its connection
	directWrite  = 8 << 10                // bytes that an idle connection is sure to take at once
	staleTime    = 2 * time.Second        // so long may an answer to a part given up hold its connection
	abandonTime  = 250 * time.Millisecond // so long a server may still answer a client that has left
	idleTime     = 30 * time.Second       // a connection that rests longer is closed
	onceRest     = 3 * time.Second        // a request that can't be repeated takes no connection that rested longer
	idleMargin   = 700 * time.Millisecond // before the time that its server states
	sweepEvery   = time.Second
	mostAnswer   = 1 << 20 // bytes of an answer's body
	mostHead     = 16 << 10
	readBuffer   = 2 << 10
	mostStray    = 2 // answers to other tries passed over on one connection
)

// Config is what the client side is told at its start.
type Config struct {
	Exchange  *exchange.Exchange
	MaxConns  int // connections at once to all servers
	Mutations Mutations
}

// Mutations leaves rules out on purpose, so that a checker can show that it finds each.
type Mutations struct {
	AnyID        bool // an answer is taken for the request that waits, whatever it names
	LostIsUnsent bool // a reset or a close counts as proof that a request has not run
	ReuseEarly   bool // a connection is used again though a request is not yet written whole
}

// Server is what is told of a server.
type Server struct {
	ID, Addr string
	Gone     bool
	MaxConns int // this mixer's part of what the server takes; 0: not told
}

// Pool is the client side. It implements exchange.Leaves.
type Pool struct {
	Config
	dial *net.Dialer

	mu      sync.Mutex
	servers map[string]*server
	calls   map[*exchange.Attempt]*call
	conns   int
}

type server struct {
	Server
	conns    []*conn // the one that rested last is last
	waiting  []*call
	dialing  int
	misses   int
	heldTill time.Time
}

type call struct {
	a    *exchange.Attempt
	s    *server
	c    *conn // nil: it waits for one
	off  bool  // nobody waits for its answer any more, which still says how its server is
	done bool
}

type conn struct {
	b       *Pool
	s       *server
	nc      net.Conn
	r       *httpwire.Reader
	call    *call     // whose answer is awaited; nil: none is, or its part was not answered in time
	busy    bool      // an answer is awaited
	writing bool      // the request is not yet written whole
	gather  bool      // of the request that is out
	method  string    // the same
	id      string    // the same
	sentAt  time.Time // the same
	used    bool      // it has carried an answer
	restAt  time.Time // since when it rests
	until   time.Time // when its server may close it; zero: not told
	closed  bool
	leaving bool // it takes no further request
}

// New returns a client side that knows no server yet.
func New(cfg Config) *Pool {
	return &Pool{Config: cfg, dial: transport.Dialer(dialTime), servers: make(map[string]*server),
		calls: make(map[*exchange.Attempt]*call)}
}

// Run keeps the connections until ctx ends.
func (b *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			b.mu.Lock()
			defer b.mu.Unlock()
			for _, s := range b.servers {
				for _, c := range slices.Clone(s.conns) {
					c.end(choice.ConnectionLost)
				}
			}
			return
		case <-tick.C:
			b.sweep()
		}
	}
}

// Told takes news of servers, before the exchange hears of them.
func (b *Pool) UpdateServers(list []Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range list {
		s := b.servers[t.ID]
		switch {
		case t.Gone && s == nil:
		case t.Gone:
			s.Gone = true
			for _, c := range slices.Clone(s.conns) {
				if c.leaving = true; !c.busy {
					c.end(choice.ConnectionLost)
				}
			}
			b.noConnection(s)
			b.forget(s)
		case s == nil:
			b.servers[t.ID] = &server{Server: t}
		default:
			s.Server = t
		}
	}
}

func (b *Pool) forget(s *server) {
	if s.Gone && len(s.conns) == 0 && s.dialing == 0 && b.servers[s.ID] == s {
		delete(b.servers, s.ID)
	}
}

// ---- What the exchange asks for.

// Send starts attempts.
func (b *Pool) Send(attempts []*exchange.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range attempts {
		k := &call{a: a, s: b.servers[a.Server]}
		b.calls[a] = k
		b.place(k)
	}
}

// Cancel ends the wait for an attempt. Its connection stays taken until the answer has
// come: closed, it would cost another one. One that is called off ends with that answer,
// so that a server that is late beside another is told from one that is silent; without
// an answer, within staleTime.
func (b *Pool) Cancel(a *exchange.Attempt, v choice.Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.calls[a]
	if k == nil {
		return
	}
	if v == choice.Cancelled && k.c != nil {
		k.off = true
		if a.Abandoned() && !a.NonIdempotent() {
			time.AfterFunc(abandonTime, func() { b.abandon(k) })
		}
		return
	}
	if k.c == nil && v == choice.NoAnswer { // it was never sent, so it never ran
		v = choice.NotSent
	}
	b.finish(k, v, nil, "")
}

// abandon closes the connection of an attempt whose client has left and which has not been
// answered since: the server need not work on.
func (b *Pool) abandon(k *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !k.done && k.c.call == k {
		k.c.end(choice.Cancelled)
	}
}

// Probe implements exchange.Leaves: the decisions send none here.
func (b *Pool) Probe(name string) { b.Exchange.ProbeEnded(name, 0, choice.NotSent, nil) }

// Release closes the idle connections to a server.
func (b *Pool) Release(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[name]; s != nil {
		for _, c := range slices.Clone(s.conns) {
			if !c.busy {
				c.end(choice.ConnectionLost)
			}
		}
	}
}

// Watch and Fetch implement exchange.Leaves: what there is of servers comes by itself.
func (b *Pool) Watch(bool) {}

// Fetch is as Watch.
func (b *Pool) Fetch() {}

// ---- Under b.mu.

func (b *Pool) place(k *call) {
	s := k.s
	if s == nil || s.Gone {
		b.finish(k, choice.NotSent, nil, "")
		return
	}
	now := time.Now()
	for i := len(s.conns) - 1; i >= 0; i-- {
		c := s.conns[i]
		if c.busy || c.leaving {
			continue
		}
		if !c.until.IsZero() && now.After(c.until) {
			c.end(choice.ConnectionLost)
			continue
		}
		if k.a.NonIdempotent() && now.Sub(c.restAt) > onceRest {
			break // the others have rested longer still
		}
		c.send(k, now)
		return
	}
	s.waiting = append(s.waiting, k)
	b.open(s)
}

// open opens a connection for what waits, unless enough are on their way.
func (b *Pool) open(s *server) {
	if s.dialing >= len(s.waiting) || s.MaxConns > 0 && len(s.conns)+s.dialing >= s.MaxConns {
		return
	}
	if len(s.conns) == 0 && time.Now().Before(s.heldTill) {
		b.noConnection(s)
		return
	}
	if b.conns >= b.MaxConns {
		if len(s.conns) == 0 {
			b.noConnection(s)
		}
		return
	}
	s.dialing++
	b.conns++
	b.Exchange.Counters.Dials.Add(1)
	go b.connect(s, s.Addr)
}

func (b *Pool) connect(s *server, addr string) {
	nc, err := b.dial.Dial("tcp4", addr)
	b.mu.Lock()
	defer b.mu.Unlock()
	s.dialing--
	if err != nil || s.Gone || s.Addr != addr {
		b.conns--
		if err == nil {
			nc.Close()
		} else {
			b.Exchange.Counters.DialFails.Add(1)
			s.misses++
			hold := dialTime
			for i := 1; i < s.misses && hold < dialHoldMost; i++ {
				hold *= 2
			}
			s.heldTill = time.Now().Add(min(hold, dialHoldMost))
		}
		b.noConnection(s)
		b.forget(s)
		return
	}
	s.misses, s.heldTill = 0, time.Time{}
	c := &conn{b: b, s: s, nc: nc, r: httpwire.NewReaderSize(nc, readBuffer, mostHead, mostAnswer), restAt: time.Now()}
	s.conns = append(s.conns, c)
	b.Exchange.Counters.ServerConns.Add(1)
	go c.read()
	b.pump(s)
}

// pump sends what waits on connections that rest.
func (b *Pool) pump(s *server) {
	waiting := s.waiting
	s.waiting = nil
	for _, k := range waiting {
		b.place(k)
	}
}

func (b *Pool) noConnection(s *server) {
	failed := s.waiting
	s.waiting = nil
	for _, k := range failed {
		b.finish(k, choice.NoConnection, nil, "")
	}
}

// finish ends a call, once.
func (b *Pool) finish(k *call, v choice.Verdict, load []choice.Reading, value string) {
	if k.done {
		return
	}
	k.done = true
	delete(b.calls, k.a)
	if k.c == nil && k.s != nil {
		k.s.waiting = slices.DeleteFunc(k.s.waiting, func(o *call) bool { return o == k })
	}
	if k.c != nil && k.c.call == k {
		k.c.call = nil
	}
	b.Exchange.AttemptEnded(k.a, v, load, value)
}

func (b *Pool) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, s := range b.servers {
		for _, c := range slices.Clone(s.conns) {
			switch {
			case c.busy && (c.call == nil || c.call.off) && now.Sub(c.sentAt) > staleTime:
				c.end(choice.Cancelled)
			case !c.busy && (now.Sub(c.restAt) > idleTime || !c.until.IsZero() && now.After(c.until)):
				c.end(choice.ConnectionLost)
			}
		}
	}
}

// send writes a request on a connection that rests.
func (c *conn) send(k *call, now time.Time) {
	a := k.a
	at := strings.Index(a.Text, "\r\n\r\n") + 2
	ms := max(a.Deadline.Sub(now).Milliseconds(), 1)
	buf := make([]byte, 0, len(a.Text)+96+len(c.s.ID))
	buf = append(buf, a.Text[:at]...)
	buf = append(buf, "X-Saddleport-Deadline-Ms: "...)
	buf = strconv.AppendInt(buf, ms, 10)
	buf = append(buf, "\r\nX-Saddleport-Target-Instance: "...)
	buf = append(buf, c.s.ID...)
	buf = append(buf, "\r\n"...)
	buf = append(buf, a.Text[at:]...)
	k.c, c.call, c.busy, c.sentAt, c.gather = c, k, true, now, a.FanOut()
	c.method, _, _ = strings.Cut(a.Text[:at], " ")
	c.id = a.QueryID()
	head := bytes.Index(buf, []byte("\r\n\r\n")) + 4
	c.nc.SetWriteDeadline(now.Add(writeTime))
	if len(buf) <= directWrite {
		n, err := c.nc.Write(buf)
		c.wrote(n >= head, err)
		return
	}
	c.writing = true
	go func() {
		n, err := c.nc.Write(buf)
		c.b.mu.Lock()
		defer c.b.mu.Unlock()
		c.writing = false
		c.wrote(n >= head, err)
	}()
}

// wrote ends a connection that could not take a request whole. Without its whole head the
// server can't have run it; with it, nothing is known.
func (c *conn) wrote(head bool, err error) {
	switch {
	case err == nil:
	case head:
		c.end(choice.ConnectionLost)
	default:
		c.end(choice.NoConnection)
	}
}

// end closes a connection; what is out on it ends with the verdict.
func (c *conn) end(v choice.Verdict) {
	if c.closed {
		return
	}
	c.closed = true
	c.nc.Close()
	b, s := c.b, c.s
	b.conns--
	b.Exchange.Counters.ServerConns.Add(-1)
	s.conns = slices.DeleteFunc(s.conns, func(o *conn) bool { return o == c })
	if c.call != nil {
		if v == choice.ConnectionLost {
			b.Exchange.Counters.Resets.Add(1)
			if b.Mutations.LostIsUnsent {
				v = choice.NoConnection
			}
		}
		b.finish(c.call, v, nil, "")
	}
	if len(s.waiting) > 0 {
		b.open(s)
	}
	b.forget(s)
}

// rest has a connection wait for its next request, or ends it.
func (c *conn) rest(keep bool) {
	c.busy, c.call, c.used, c.restAt = false, nil, true, time.Now()
	if !keep || c.leaving {
		c.end(choice.ConnectionLost)
		return
	}
	// Behind the others: the one that rested last is used first, and what is not needed
	// grows old and is closed.
	if i := slices.Index(c.s.conns, c); i >= 0 {
		c.s.conns = append(slices.Delete(c.s.conns, i, i+1), c)
	}
	if len(c.s.waiting) > 0 {
		k := c.s.waiting[0]
		c.s.waiting = c.s.waiting[1:]
		c.send(k, c.restAt)
	}
}

// ---- The goroutine of a connection.

func (c *conn) read() {
	for stray := 0; ; {
		err := c.r.Await()
		c.b.mu.Lock()
		method, busy := c.method, c.busy
		if err == nil && !busy { // bytes that nobody asked for
			c.b.Exchange.Counters.MalformedAnswers.Add(1)
			err = errors.New("stray bytes")
		}
		if err != nil {
			c.end(choice.ConnectionLost)
			c.b.mu.Unlock()
			return
		}
		c.b.mu.Unlock()
		p, err := c.r.ResponseTo(method)
		c.b.mu.Lock()
		if c.closed {
			c.b.mu.Unlock()
			return
		}
		if err == nil && stray < mostStray {
			if id := p.Header.Get(headID); id != "" && id != c.id && !c.b.Mutations.AnyID {
				// A second answer to an earlier request, in the place of this one's, which
				// may still follow. It belongs to nobody.
				stray++
				c.leaving = true
				c.b.Exchange.Counters.LateAnswers.Add(1)
				c.b.mu.Unlock()
				continue
			}
		}
		// An answer may come before the request is written whole: what another one wrote would
		// then stand where the rest of its body is due.
		keep := err == nil && p.KeepAlive && c.r.Buffered() == 0 && (!c.writing || c.b.Mutations.ReuseEarly)
		v, value := choice.ServerError, ""
		var load []choice.Reading
		switch {
		case err != nil:
			var known *httpwire.Error
			if v = choice.ConnectionLost; errors.As(err, &known) {
				v = choice.ServerError
				c.b.Exchange.Counters.MalformedAnswers.Add(1)
			}
		default:
			c.until = lasts(p, time.Now())
			id := c.id
			if c.b.Mutations.AnyID {
				id = p.Header.Get(headID)
			}
			v, value = judge(p, id, c.gather)
			load = report(p.Header.Get(headLoad))
		}
		if c.call != nil {
			c.b.finish(c.call, v, load, value)
		}
		c.rest(keep)
		closed := c.closed
		c.b.mu.Unlock()
		if closed {
			return
		}
	}
}

// lasts tells until when a server said to keep a connection; zero: it did not.
func lasts(p *httpwire.Response, now time.Time) time.Time {
	for option := range strings.SplitSeq(p.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(option), "=")
		if n, err := strconv.ParseFloat(value, 64); err == nil && strings.EqualFold(name, "timeout") && n >= 0 && n < 1e6 {
			return now.Add(max(time.Duration(n*float64(time.Second))-idleMargin, 0))
		}
	}
	return time.Time{}
}
