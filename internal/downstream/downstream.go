// Package downstream is the server side of the proxy, whatever the protocol: it owns the
// listener and the client connections, their timeouts and when they are closed. What a
// request means is up to the Protocol; each protocol has a folder of its own (platform,
// httpserver). This package must never decide what becomes of a query, close a connection
// whose request is still to be answered, or let one client block another.
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
	writeTimeout     = 5 * time.Second // for a response
	lingerTimeout    = 500 * time.Millisecond
	requestGrace     = 250 * time.Millisecond // a connection without a request is not preferred for eviction before that
	acceptRetryDelay = 10 * time.Millisecond
	slotPollInterval = 20 * time.Millisecond
)

var log = logs.For("front")

// Protocol defines what a request means and what its response looks like.
type Protocol interface {
	// Serve answers one complete request, whose first byte arrived at the given time. It
	// reports whether the connection stays open.
	Serve(c *Conn, q *httpwire.Request, at time.Time) (keep bool)
}

// Config configures the server side.
type Config struct {
	Exchange   *exchange.Exchange
	Protocol   Protocol
	MaxClients int       // open connections at once
	SoftLimit  int       // above so many connections, an idle one is closed whenever another opens or becomes idle; 0: no soft limit
	SlowLane   *SlowLane // nil: slow callers are not kept apart
	Limits     Limits
}

// Limits bounds how long clients may take and how much they may send.
type Limits struct {
	FirstRequest time.Duration // for the first request to arrive completely, from when the connection was accepted
	Request      time.Duration // for a later request to arrive completely, from its first byte on
	Idle         time.Duration // between requests
	Body         time.Duration // for a body to arrive completely, from the end of the head on; 0: FirstRequest and Request cover head and body
	MaxHead      int           // bytes; 0: httpwire.MaxHead
	MaxBody      int           // bytes; 0: httpwire.MaxBody
}

// DefaultLimits are the limits in service. The connection of a client that sends nothing, or
// does not complete its request, must be closed within 3 s; one without a request in progress
// may be closed after 2 s.
var DefaultLimits = Limits{FirstRequest: 2 * time.Second, Request: 2 * time.Second, Idle: 3 * time.Second}

// Server is the server side: a listener and its client connections.
type Server struct {
	Config
	notReady           atomic.Bool
	closeAfterResponse atomic.Bool
	rejecting          atomic.Bool   // every further request is rejected
	expired            chan struct{} // closed when the requests in flight are to end at once
	expireOnce         sync.Once
	limits             atomic.Pointer[Limits]

	mu          sync.Mutex
	conns       map[*Conn]struct{}
	lastQueryAt time.Time
	inFlight    int // connections with a request in flight
	slots       chan struct{}
}

// Conn is a client's connection.
type Conn struct {
	server       *Server
	nc           net.Conn
	reader       *httpwire.Reader
	idleSince    time.Time     // when it began to wait for a request; zero: a request is in flight
	requested    bool          // a complete request has arrived
	queried      bool          // a well-formed query has arrived
	closePending bool          // the read deadline that closes it while it is idle is set
	caller       string        // IP address of the client; only set with a slow lane
	readTook     time.Duration // how long the last request took to arrive
}

// New returns a server side.
func New(cfg Config) *Server {
	s := &Server{Config: cfg, conns: make(map[*Conn]struct{}), slots: make(chan struct{}, cfg.MaxClients), expired: make(chan struct{})}
	s.SetLimits(cfg.Limits)
	return s
}

// SetLimits replaces the limits for requests that begin from now on.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		// Connections beyond MaxClients wait in the accept queue: running out of file
		// descriptors would cost more than their wait does.
		s.acquireSlot()
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			<-s.slots
			log.Warn("accept-failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &Conn{server: s, nc: nc, reader: httpwire.NewReader(nc), idleSince: time.Now()}
		if !s.SlowLane.admit(c) {
			nc.Close() // nothing has been read: the client repeats its request elsewhere
			<-s.slots
			s.mu.Lock()
			s.evict(4) // closes an idle connection of the slow lane, so that the next one is admitted
			s.mu.Unlock()
			continue
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.enforceSoftLimit()
		s.mu.Unlock()
		s.Exchange.Counters.ClientConnsAccepted.Add(1)
		s.Exchange.Counters.ClientConns.Add(1)
		go c.serve()
	}
}

// acquireSlot returns once one more connection may be accepted.
func (s *Server) acquireSlot() {
	select {
	case s.slots <- struct{}{}:
		return
	default:
	}
	for {
		s.mu.Lock()
		s.evict(0)
		s.mu.Unlock()
		select {
		case s.slots <- struct{}{}:
			return
		case <-time.After(slotPollInterval):
		}
	}
}

// evict closes the connection that has waited longest for a request or for the rest of one,
// so that clients that send nothing do not keep others out. Connections of slow callers go
// first. Next come those that have sent no request for longer than requestGrace, within which
// a first request may still arrive; then those that only asked for the state of this process
// or sent malformed queries; then those that are idle between queries, whose clients can send
// the next query elsewhere. By age alone, clients that send one query and stay connected would
// displace those that go on querying.
//
// Only connections above the given rank are closed: with rank 0 any idle connection, with 1
// none that has just been accepted, with 4 only those of slow callers. s.mu must be locked.
func (s *Server) evict(rank int) {
	var oldest *Conn
	for c := range s.conns {
		if c.idleSince.IsZero() {
			continue
		}
		r := 1
		switch overdue := time.Since(c.idleSince) > requestGrace; {
		case s.SlowLane.isSlow(c):
			r = 5
		case !c.requested && overdue:
			r = 4
		case c.requested && !c.queried:
			r = 3
		case c.queried:
			r = 2
		}
		if r > rank || r == rank && oldest != nil && c.idleSince.Before(oldest.idleSince) {
			oldest, rank = c, r
		}
	}
	if oldest != nil {
		oldest.nc.SetReadDeadline(time.Now())
	}
}

// enforceSoftLimit bounds the number of idle connections. The other side allows only so many
// connections to this process, and clients that send one request and keep their connection
// would use them up: no new client would get through although this process had capacity.
// s.mu must be locked.
func (s *Server) enforceSoftLimit() {
	if s.SoftLimit > 0 && len(s.conns) > s.SoftLimit {
		s.evict(1)
	}
}

// MarkNotReady makes the readiness check fail. Requests are still served, also on open
// connections: their clients may have no other server to go to yet.
func (s *Server) MarkNotReady() { s.notReady.Store(true) }

// CloseAfterResponses makes every response from now on announce that its connection closes.
func (s *Server) CloseAfterResponses() { s.closeAfterResponse.Store(true) }

// RejectRequests rejects each request that is read from now on, because it might not be
// finished before the process ends.
func (s *Server) RejectRequests() {
	s.closeAfterResponse.Store(true)
	s.rejecting.Store(true)
}

// ExpireRequests ends the requests in flight: their clients are answered as if the deadline
// had passed.
func (s *Server) ExpireRequests() { s.expireOnce.Do(func() { close(s.expired) }) }

// Clients returns the number of client connections.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// QuietFor reports whether no query has arrived within the span and no request is in flight.
func (s *Server) QuietFor(span time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight == 0 && time.Since(s.lastQueryAt) >= span
}

// CloseIdle closes idle connections after the delay, within which a request that is on its
// way may still arrive.
func (s *Server) CloseIdle(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.idleSince.IsZero() && !c.closePending {
			c.closePending = true
			c.nc.SetReadDeadline(time.Now().Add(delay))
		}
	}
}

// begin records that a complete request has arrived on the connection. Until then the
// connection may be closed, because the client sends the request again. MarkIdle is its
// counterpart.
func (c *Conn) begin() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.idleSince.IsZero() {
		c.idleSince, c.requested = time.Time{}, true
		c.server.inFlight++
	}
}

// MarkIdle makes the connection wait for its next request. From now on it may be closed.
func (c *Conn) MarkIdle() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.closePending { // otherwise CloseIdle has set the deadline
		c.nc.SetReadDeadline(time.Now().Add(c.server.limits.Load().Idle))
	}
	if c.idleSince.IsZero() {
		c.idleSince = time.Now()
		c.server.inFlight--
		c.server.enforceSoftLimit()
	}
}

// serve reads and answers the requests of a connection, one after another.
func (c *Conn) serve() {
	defer func() {
		c.MarkIdle()
		c.nc.Close()
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
		c.server.SlowLane.release(c)
		c.server.Exchange.Counters.ClientConns.Add(-1)
		<-c.server.slots
	}()
	c.nc.SetReadDeadline(c.idleSince.Add(c.server.limits.Load().FirstRequest)) // nothing else writes idleSince before begin
	for {
		if c.reader.Await() != nil {
			return
		}
		at, limits := time.Now(), c.server.limits.Load()
		c.reader.SetLimits(limits.MaxHead, limits.MaxBody)
		if c.requested || limits.Body > 0 { // otherwise the deadline of the first request is already set
			c.nc.SetReadDeadline(at.Add(limits.Request))
		}
		if c.reader.OnHead = nil; limits.Body > 0 {
			c.reader.OnHead = func() { c.nc.SetReadDeadline(time.Now().Add(limits.Body)) }
		}
		q, err := c.reader.Request(func() error {
			if !c.WriteBytes([]byte("HTTP/1.1 100 Continue\r\n\r\n")) {
				return io.ErrClosedPipe
			}
			return nil
		})
		if err != nil {
			c.readTook = time.Since(at)
			c.reject(err)
			return
		}
		c.readTook = time.Since(at)
		c.begin()
		if !c.server.Protocol.Serve(c, q, at) {
			return
		}
		c.MarkIdle()
	}
}

// reject answers a request that could not be read, unless the connection is gone. After that
// it discards incoming bytes for a moment: if the connection were closed at once, the
// response might be lost.
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
	c.server.Exchange.Counters.MalformedRequests.Add(1)
	log.Warn("bad-request", "peer", c.nc.RemoteAddr(), "status", known.Status, "err", known.Reason)
	if c.WriteText(known.Status, known.Reason+"\n", false); late { // everything that arrived has been read
		return
	}
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(c.nc, 4*httpwire.MaxBody))
}

// WriteText answers with a plain text and reports whether the connection stays open.
func (c *Conn) WriteText(status int, text string, keep bool, fields ...httpwire.Field) bool {
	return c.WriteBytes(httpwire.AppendResponse(nil, status, "text/plain; charset=utf-8", []byte(text), keep, fields...)) && keep
}

// WriteBytes writes b within the write timeout and reports whether that succeeded. With a
// slow lane, a write that blocks longer than slowWriteAfter is reported to SlowLane.Observe
// as soon as that is noticed, and again when the write ends.
func (c *Conn) WriteBytes(b []byte) bool {
	begun, timeout := time.Now(), writeTimeout
	if c.server.SlowLane != nil {
		c.nc.SetWriteDeadline(begun.Add(slowWriteAfter))
		n, err := c.nc.Write(b)
		c.server.SlowLane.observe(c, begun)
		var blocked net.Error
		if err == nil || !errors.As(err, &blocked) || !blocked.Timeout() {
			return err == nil
		}
		b, timeout = b[n:], c.server.SlowLane.writeTimeout(c)
		defer c.server.SlowLane.observe(c, begun)
	}
	c.nc.SetWriteDeadline(begun.Add(timeout))
	_, err := c.nc.Write(b)
	return err == nil
}

// Peer returns the client's address.
func (c *Conn) Peer() net.Addr { return c.nc.RemoteAddr() }

// Closing reports whether each response is to end its connection.
func (c *Conn) Closing() bool { return c.server.closeAfterResponse.Load() }

// NotReady reports whether the process is shutting down and its readiness check must fail.
func (c *Conn) NotReady() bool { return c.server.notReady.Load() }

// Rejecting reports whether every further request is rejected.
func (c *Conn) Rejecting() bool { return c.server.rejecting.Load() }

// NoteActivity records when a query arrived, whether well-formed or not.
func (c *Conn) NoteActivity(at time.Time) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.lastQueryAt = at
}

// NoteQuery records that a well-formed query has arrived on the connection.
func (c *Conn) NoteQuery() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.queried = true
}

// RunQuery submits a query to the exchange, waits for its result and passes that to answer.
// The wait ends early when the client leaves or the requests in flight are expired. The
// client's next request may arrive meanwhile; it is left unread until this one is answered.
// RunQuery reports whether the connection stays open.
func (c *Conn) RunQuery(q *exchange.Query, keep bool, answer func(f exchange.Final, keep bool) bool) bool {
	final := make(chan exchange.Final, 1)
	q.Done = func(f exchange.Final) { final <- f }
	c.nc.SetReadDeadline(time.Time{})
	next := make(chan error, 1)
	c.server.Exchange.Submit(q)
	go func() { next <- c.reader.Await() }()
	f, gone := c.await(q, final, next)
	keep = keep && !c.server.closeAfterResponse.Load() && !c.server.SlowLane.overLimit(c)
	if gone || !answer(f, keep) || !keep {
		c.nc.SetReadDeadline(time.Now()) // ends the goroutine that waits for the next request
		<-next
		return false
	}
	c.MarkIdle()
	return <-next == nil
}

// await waits for the end of a query and reports whether its client left before that.
func (c *Conn) await(q *exchange.Query, final chan exchange.Final, next chan error) (f exchange.Final, gone bool) {
	expired := c.server.expired
	for {
		select {
		case f = <-final:
			return f, false
		case err := <-next:
			next <- nil
			if err != nil {
				c.server.Exchange.ClientLeft(q)
				return <-final, true
			}
			next = nil // the next request has arrived and waits in the reader
		case <-expired:
			c.server.Exchange.ClientLeft(q)
			if f = <-final; f.Ending == exchange.ClientGone {
				f.Ending = exchange.Expired
			}
			return f, false
		}
	}
}
