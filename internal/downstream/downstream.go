// Package downstream is the server side whatever the protocol: it owns the listener and
// the client connections, their pace and their ends. What a request means is its
// Protocol's, one folder each (platform, gate). It must never decide what becomes of
// a query, end a connection that is owed an answer, or let one client hold up another.
package downstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"saddleport/internal/exchange"
	"saddleport/internal/httpwire"
	"saddleport/internal/logs"
)

const (
	writeTime   = 5 * time.Second // for an answer
	lingerTime  = 500 * time.Millisecond
	silentTime  = 250 * time.Millisecond // a client that has said nothing for so long is the first to make room
	acceptPause = 10 * time.Millisecond
	roomPause   = 20 * time.Millisecond
)

var log = logs.For("front")

// Protocol is what a request means, and how its answer looks.
type Protocol interface {
	// Serve answers one request that came whole, its first byte at the time told, and
	// tells whether the connection goes on.
	Serve(c *Conn, q *httpwire.Request, at time.Time) (keep bool)
}

// Config is what the server side is told at its start.
type Config struct {
	Exchange   *exchange.Exchange
	Protocol   Protocol
	MaxClients int       // connections at once
	SoftLimit  int       // beyond so many, one at rest ends for each that comes or comes to rest; 0: none does
	SlowLane   *SlowLane // nil: all callers are alike
	Limits     Limits
}

// Limits is how long clients may take, and how much they may send.
type Limits struct {
	FirstRequest time.Duration // for a connection's first request, whole, from its start on
	Request      time.Duration // for any later request, from its first byte on
	Idle         time.Duration // between requests
	Body         time.Duration // for a body, once its head has come; 0: the times above are for both
	MaxHead      int           // bytes; 0: httpwire.MaxHead
	MaxBody      int           // bytes; 0: httpwire.MaxBody
}

// DefaultLimits is the pace for service. A client that says nothing, or does not end what
// it says, is owed an end within 3 s; one without an open request may be closed
// after 2 s.
var DefaultLimits = Limits{FirstRequest: 2 * time.Second, Request: 2 * time.Second, Idle: 3 * time.Second}

// Server is the server side.
type Server struct {
	Config
	stopping atomic.Bool   // not ready
	closing  atomic.Bool   // each answer ends its connection
	refusing atomic.Bool   // no further request is taken
	cut      chan struct{} // closed when what is in hand is to end at once
	cutOnce  sync.Once
	pace     atomic.Pointer[Limits]

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	active time.Time // when the last query came
	busy   int       // connections with a request in hand
	room   chan struct{}
}

// Conn is a client's connection.
type Conn struct {
	f       *Server
	nc      net.Conn
	r       *httpwire.Reader
	idleAt  time.Time     // since when it waits for a request; zero: it has one in hand
	asked   bool          // a whole request has come
	queried bool          // so has a query that could be read
	closing bool          // its wait is about to be ended
	caller  string        // whose it is, with lanes
	inTook  time.Duration // that its last request took to come in
}

// New returns a server side.
func New(cfg Config) *Server {
	f := &Server{Config: cfg, conns: make(map[*Conn]struct{}), room: make(chan struct{}, cfg.MaxClients), cut: make(chan struct{})}
	f.SetLimits(cfg.Limits)
	return f
}

// SetLimits has another pace count, for requests that begin from now on.
func (f *Server) SetLimits(p Limits) { f.pace.Store(&p) }

// Serve accepts connections until the listener is closed.
func (f *Server) Serve(ln net.Listener) error {
	for {
		// Connections that find no room wait unaccepted: a descriptor too many
		// would cost more than their wait does.
		f.waitRoom()
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			<-f.room
			log.Warn("accept-failed", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		c := &Conn{f: f, nc: nc, r: httpwire.NewReader(nc), idleAt: time.Now()}
		if !f.SlowLane.enter(c) {
			nc.Close() // unread: its client asks again elsewhere
			<-f.room
			f.mu.Lock()
			f.evict(4) // one of the lane's that rests: the next finds room
			f.mu.Unlock()
			continue
		}
		f.mu.Lock()
		f.conns[c] = struct{}{}
		f.tidy()
		f.mu.Unlock()
		f.Exchange.Counters.ClientConnsAccepted.Add(1)
		f.Exchange.Counters.ClientConns.Add(1)
		go c.serve()
	}
}

// waitRoom returns once one more connection may be had.
func (f *Server) waitRoom() {
	select {
	case f.room <- struct{}{}:
		return
	default:
	}
	for {
		f.mu.Lock()
		f.evict(0)
		f.mu.Unlock()
		select {
		case f.room <- struct{}{}:
			return
		case <-time.After(roomPause):
		}
	}
}

// evict ends the wait of the connection that has waited longest for a request,
// or for the rest of one: a client that says nothing must not keep others out. One
// that never asked goes first, but not before its request can have come; then one
// that only asked for the mixer's state, or nonsense; then one that rests between
// queries, whose client asks again elsewhere. By age alone, clients that ask once and
// stay would drive out those that go on asking.
// Under f.mu; rank 0 is any, 1 none that has just come.
func (f *Server) evict(rank int) {
	var oldest *Conn
	for c := range f.conns {
		if c.idleAt.IsZero() {
			continue
		}
		r := 1
		switch silent := time.Since(c.idleAt) > silentTime; {
		case f.SlowLane.slow(c):
			r = 5
		case !c.asked && silent:
			r = 4
		case c.asked && !c.queried:
			r = 3
		case c.queried:
			r = 2
		}
		if r > rank || r == rank && oldest != nil && c.idleAt.Before(oldest.idleAt) {
			oldest, rank = c, r
		}
	}
	if oldest != nil {
		oldest.nc.SetReadDeadline(time.Now())
	}
}

// tidy keeps few connections at rest. The other side holds only so many to us, and
// clients that ask once and keep their connection use them up: no new client would
// get through, though there was room here. Under f.mu.
func (f *Server) tidy() {
	if f.SoftLimit > 0 && len(f.conns) > f.SoftLimit {
		f.evict(1)
	}
}

// MarkNotReady makes the mixer not ready. It goes on serving, on the connections that are
// open too: their clients may have nowhere else to go yet.
func (f *Server) MarkNotReady() { f.stopping.Store(true) }

// CloseAfterResponses has each answer tell its client that the connection ends.
func (f *Server) CloseAfterResponses() { f.closing.Store(true) }

// RejectRequests has each request that is read from now on turned away: it might not be finished
// any more.
func (f *Server) RejectRequests() {
	f.closing.Store(true)
	f.refusing.Store(true)
}

// ExpireRequests ends what is in hand: its clients are answered as if its time were up.
func (f *Server) ExpireRequests() { f.cutOnce.Do(func() { close(f.cut) }) }

// Clients counts the connections of clients.
func (f *Server) Clients() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// QuietFor tells whether no query has come for so long and nothing is in hand.
func (f *Server) QuietFor(span time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.busy == 0 && time.Since(f.active) >= span
}

// CloseIdle ends the wait on idle connections after a last chance for a request
// that is on its way.
func (f *Server) CloseIdle(chance time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if !c.idleAt.IsZero() && !c.closing {
			c.closing = true
			c.nc.SetReadDeadline(time.Now().Add(chance))
		}
	}
}

// begin and Rest note whether a connection has a whole request in hand. Until it
// has, the connection may be closed: the client sends the request again.
func (c *Conn) begin() {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if !c.idleAt.IsZero() {
		c.idleAt, c.asked = time.Time{}, true
		c.f.busy++
	}
}

// MarkIdle has the connection wait for its next request: from now on it may be closed.
func (c *Conn) MarkIdle() {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if !c.closing { // else its last chance is already running
		c.nc.SetReadDeadline(time.Now().Add(c.f.pace.Load().Idle))
	}
	if c.idleAt.IsZero() {
		c.idleAt = time.Now()
		c.f.busy--
		c.f.tidy()
	}
}

// serve takes the requests of one connection, one after another.
func (c *Conn) serve() {
	defer func() {
		c.MarkIdle()
		c.nc.Close()
		c.f.mu.Lock()
		delete(c.f.conns, c)
		c.f.mu.Unlock()
		c.f.SlowLane.leave(c)
		c.f.Exchange.Counters.ClientConns.Add(-1)
		<-c.f.room
	}()
	c.nc.SetReadDeadline(c.idleAt.Add(c.f.pace.Load().FirstRequest)) // nothing else writes idleAt before begin
	for {
		if c.r.Await() != nil {
			return
		}
		at, pace := time.Now(), c.f.pace.Load()
		c.r.SetLimits(pace.MaxHead, pace.MaxBody)
		if c.asked || pace.Body > 0 { // else the first request has its time already
			c.nc.SetReadDeadline(at.Add(pace.Request))
		}
		if c.r.OnHead = nil; pace.Body > 0 {
			c.r.OnHead = func() { c.nc.SetReadDeadline(time.Now().Add(pace.Body)) }
		}
		q, err := c.r.Request(func() error {
			if !c.WriteBytes([]byte("HTTP/1.1 100 Continue\r\n\r\n")) {
				return io.ErrClosedPipe
			}
			return nil
		})
		if err != nil {
			c.inTook = time.Since(at)
			c.reject(err)
			return
		}
		c.inTook = time.Since(at)
		c.begin()
		if !c.f.Protocol.Serve(c, q, at) {
			return
		}
		c.MarkIdle()
	}
}

// reject answers a request that could not be read, where anybody is there to be
// answered, and reads on for a moment: closed at once, the answer might be lost.
func (c *Conn) reject(err error) {
	var known *httpwire.Error
	var timeout net.Error
	late := errors.As(err, &timeout) && timeout.Timeout()
	switch {
	case errors.As(err, &known):
	case late:
		known = &httpwire.Error{Status: 408, Reason: "request took too long"}
	default:
		return
	}
	c.f.Exchange.Counters.MalformedRequests.Add(1)
	log.Warn("bad-request", "peer", c.nc.RemoteAddr(), "status", known.Status, "err", known.Reason)
	if c.WriteText(known.Status, known.Reason+"\n", false); late { // it has all been read
		return
	}
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	io.Copy(io.Discard, io.LimitReader(c.nc, 4*httpwire.MaxBody))
}

// WriteText answers with a text, and tells whether the connection goes on.
func (c *Conn) WriteText(status int, text string, keep bool, fields ...httpwire.Field) bool {
	return c.WriteBytes(httpwire.AppendResponse(nil, status, "text/plain; charset=utf-8", []byte(text), keep, fields...)) && keep
}

// WriteBytes writes bytes within the time that a write may take. With lanes, one that is held up
// is told of as soon as that is seen, and again at its end.
func (c *Conn) WriteBytes(b []byte) bool {
	begun, within := time.Now(), writeTime
	if c.f.SlowLane != nil {
		c.nc.SetWriteDeadline(begun.Add(heldTime))
		n, err := c.nc.Write(b)
		c.f.SlowLane.took(c, begun)
		var held net.Error
		if err == nil || !errors.As(err, &held) || !held.Timeout() {
			return err == nil
		}
		b, within = b[n:], c.f.SlowLane.within(c)
		defer c.f.SlowLane.took(c, begun)
	}
	c.nc.SetWriteDeadline(begun.Add(within))
	_, err := c.nc.Write(b)
	return err == nil
}

// Peer is the client's address.
func (c *Conn) Peer() net.Addr { return c.nc.RemoteAddr() }

// Closing tells whether each answer is to end its connection.
func (c *Conn) Closing() bool { return c.f.closing.Load() }

// NotReady tells whether the mixer is on its way out.
func (c *Conn) NotReady() bool { return c.f.stopping.Load() }

// Rejecting tells whether no further request is taken.
func (c *Conn) Rejecting() bool { return c.f.refusing.Load() }

// NoteActivity notes that a query has come, readable or not.
func (c *Conn) NoteActivity(at time.Time) {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.active = at
}

// NoteQuery notes that the connection has brought a query that could be read.
func (c *Conn) NoteQuery() {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.queried = true
}

// RunQuery hands a query in and waits for its end, the client's, or the process's. A
// client's next request may come meanwhile; it is left unread until this one is answered.
func (c *Conn) RunQuery(q *exchange.Query, keep bool, answer func(f exchange.Final, keep bool) bool) bool {
	final := make(chan exchange.Final, 1)
	q.Done = func(f exchange.Final) { final <- f }
	c.nc.SetReadDeadline(time.Time{})
	next := make(chan error, 1)
	c.f.Exchange.Submit(q)
	go func() { next <- c.r.Await() }()
	f, gone := c.await(q, final, next)
	keep = keep && !c.f.closing.Load() && !c.f.SlowLane.crowded(c)
	if gone || !answer(f, keep) || !keep {
		c.nc.SetReadDeadline(time.Now()) // frees the goroutine that waits for a request
		<-next
		return false
	}
	c.MarkIdle()
	return <-next == nil
}

// await waits for a query's end, and tells whether its client has gone before.
func (c *Conn) await(q *exchange.Query, final chan exchange.Final, next chan error) (f exchange.Final, gone bool) {
	cut := c.f.cut
	for {
		select {
		case f = <-final:
			return f, false
		case err := <-next:
			next <- nil
			if err != nil {
				c.f.Exchange.ClientLeft(q)
				return <-final, true
			}
			next = nil // the next request is there, and waits
		case <-cut:
			c.f.Exchange.ClientLeft(q)
			if f = <-final; f.Ending == exchange.ClientGone {
				f.Ending = exchange.Expired
			}
			return f, false
		}
	}
}
