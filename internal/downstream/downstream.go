// Package downstream is the server side of the proxy, common to all protocols: it owns the
// listener and the client connections, their timeouts and when they are closed. What a
// request means is up to the Protocol; each protocol has a folder of its own (platform,
// httpserver). This package must never decide how a query ends, close a connection whose
// request has not been answered yet, or let one client block another.
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
	writeTimeout     = 5 * time.Second        // for a response
	lingerTimeout    = 500 * time.Millisecond // how long a connection discards incoming bytes after a malformed request
	requestGrace     = 250 * time.Millisecond // how long a new connection may be without a request before evict prefers it
	acceptRetryDelay = 10 * time.Millisecond  // after a failed accept
	slotPollInterval = 20 * time.Millisecond  // between attempts to get a slot while MaxClients connections are open
)

var log = logs.For("front")

// Protocol defines what a request means and what its response looks like.
type Protocol interface {
	// Serve answers one complete request, whose first byte arrived at the given time. It
	// reports whether the connection stays open.
	Serve(c *Conn, q *httpwire.Request, at time.Time) (keep bool)
}

// Config configures a Server.
type Config struct {
	Exchange   *exchange.Exchange
	Protocol   Protocol
	MaxClients int       // open connections at once
	SoftLimit  int       // while more connections than this are open, an idle one is closed whenever another opens or becomes idle; 0: no soft limit
	SlowLane   *SlowLane // nil: slow callers have no limit of their own
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
	inFlight    int           // connections with a request in flight
	slots       chan struct{} // has an element for each open connection and for the next one to accept; at most MaxClients
}

// Conn is a client's connection.
type Conn struct {
	server       *Server
	nc           net.Conn
	reader       *httpwire.Reader
	idleSince    time.Time     // when the connection began to wait for a request; zero: a request is in flight
	requested    bool          // a complete request has arrived
	queried      bool          // a well-formed query has arrived
	closePending bool          // CloseIdle has set the read deadline that closes the connection
	caller       string        // IP address of the client; only set with a slow lane
	readTook     time.Duration // how long the last request took to arrive
}

// New returns a server without connections.
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
		// Connections beyond MaxClients wait in the accept queue of the kernel: running out of
		// file descriptors would cost more than their wait does.
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
			nc.Close() // nothing has been read from the connection, so the client can repeat its request elsewhere
			<-s.slots
			s.mu.Lock()
			s.evict(4) // closes an idle connection of a slow caller, so that the next connection of one is admitted
			s.mu.Unlock()
			continue
		}
		s.register(c)
		go c.serve()
	}
}

// register adds an accepted connection to those that evict and CloseIdle may close. Both do so by a read
// deadline, so the deadline of the first request is set before: set later, it would undo theirs.
func (s *Server) register(c *Conn) {
	c.nc.SetReadDeadline(c.idleSince.Add(s.limits.Load().FirstRequest))
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.enforceSoftLimit()
	s.mu.Unlock()
	s.Exchange.Counters.ClientConnsAccepted.Add(1)
	s.Exchange.Counters.ClientConns.Add(1)
}

// acquireSlot waits until one more connection may be accepted. While all slots are in use, it
// evicts an idle connection every slotPollInterval.
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

// evict closes one connection without a request in flight, so that clients that send nothing do
// not keep others out. It closes a connection of the highest rank, and among those the one that
// has been idle longest:
//
//	5: connections of slow callers
//	4: connections that have sent no request for longer than requestGrace, within which a
//	   first request may still arrive
//	3: connections that only asked for the state of this process or sent malformed queries
//	2: connections that are idle between queries, whose clients can send the next query elsewhere
//	1: connections that have just been accepted
//
// By age alone, clients that send one query and stay connected would displace those that go on
// querying. Only a connection of a higher rank than the parameter rank is closed: with 0 any
// idle connection, with 1 none that has just been accepted, with 4 only those of slow callers.
// s.mu must be locked.
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

// enforceSoftLimit bounds the number of idle connections. The clients' side allows only a limited
// number of connections to this process. Clients that send one request and keep their connection
// would use them up: no new client would get through although this process had capacity.
// s.mu must be locked.
func (s *Server) enforceSoftLimit() {
	if s.SoftLimit > 0 && len(s.conns) > s.SoftLimit {
		s.evict(1)
	}
}

// MarkNotReady makes the readiness check fail. Requests are still served, on open and on new
// connections, because the clients may have no other proxy to go to yet.
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
	if c.WriteText(known.Status, known.Reason+"\n", false); late { // everything that arrived has been read, so nothing need be discarded
		return
	}
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(c.nc, 4*httpwire.MaxBody))
}

// WriteText answers the request that was read last with a plain text, and reports whether the connection
// stays open. The text is left out if the response may not have a body: a client would read it as the
// beginning of the next response.
func (c *Conn) WriteText(status int, text string, keep bool, fields ...httpwire.Field) bool {
	response := httpwire.AppendResponse(nil, status, "text/plain; charset=utf-8", []byte(text), keep, fields...)
	if !httpwire.AllowsBody(c.reader.Method(), status) {
		response = response[:len(response)-len(text)]
	}
	return c.WriteBytes(response) && keep
}

// WriteBytes writes b within the write timeout and reports whether that succeeded. With a slow
// lane, each write is reported to SlowLane.Observe when it ends. A write that blocks longer than
// slowWriteAfter is reported at that time too, and has the timeout of SlowLane.writeTimeout.
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

// Closing reports whether the connection must be closed after its next response
// (CloseAfterResponses).
func (c *Conn) Closing() bool { return c.server.closeAfterResponse.Load() }

// NotReady reports whether the process is shutting down and its readiness check must fail.
func (c *Conn) NotReady() bool { return c.server.notReady.Load() }

// Rejecting reports whether every further request must be rejected (RejectRequests).
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
// The wait ends early when the client leaves or when ExpireRequests is called. The client's next
// request may arrive meanwhile; it is left unread until this one is answered.
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

// await waits for the end of a query and reports whether its client left before that. next
// delivers the result of waiting for the client's next request. RunQuery receives from next
// too, so await puts back what it received.
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
			next = nil // the next request has arrived and stays in the reader; only the query is awaited now
		case <-expired:
			c.server.Exchange.ClientLeft(q)
			if f = <-final; f.Ending == exchange.ClientGone {
				f.Ending = exchange.Expired
			}
			return f, false
		}
	}
}
