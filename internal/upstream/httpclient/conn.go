package httpclient

// This file contains a connection to a server: how a request is written on it, and how the answers that
// arrive on it are matched to the request in flight.

import (
	"bytes"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"saddleport/choice"
	"saddleport/internal/httpwire"
)

// conn is a connection to a server. Its fields are guarded by the mutex of its pool.
type conn struct {
	pool    *Pool
	number  uint64 // distinguishes the connection from all others of the pool
	server  *server
	nc      net.Conn
	reader  *httpwire.Reader
	call    *call // the call of the request in flight; nil: no request is in flight, or its call has ended
	busy    bool  // an answer is pending
	writing bool  // the request is not completely written yet
	// These describe the request in flight.
	fanOut bool
	method string
	id     string // id of the query, which the answer must carry
	sentAt time.Time

	idleSince      time.Time
	keepAliveUntil time.Time // no request is sent after this time, because the server may close the connection; zero: unknown
	closed         bool
	draining       bool // the connection accepts no further request and is closed once it is idle
}

// send writes the request of a call on an idle connection. Attempt.Text is the request as httpserver
// serializes it; send adds the headers with the remaining time and the id of the server.
func (c *conn) send(k *call, now time.Time) {
	a := k.attempt
	at := strings.Index(a.Text, "\r\n\r\n") + 2
	ms := max(a.Deadline.Sub(now).Milliseconds(), 1)
	buf := make([]byte, 0, len(a.Text)+96+len(c.server.ID))
	buf = append(buf, a.Text[:at]...)
	buf = append(buf, "X-Saddleport-Deadline-Ms: "...)
	buf = strconv.AppendInt(buf, ms, 10)
	buf = append(buf, "\r\nX-Saddleport-Target-Instance: "...)
	buf = append(buf, c.server.ID...)
	buf = append(buf, "\r\n"...)
	buf = append(buf, a.Text[at:]...)
	k.conn, c.call, c.busy, c.sentAt, c.fanOut = c, k, true, now, a.FanOut()
	a.ConnNumber = c.number
	c.method, _, _ = strings.Cut(a.Text[:at], " ")
	c.id = a.UpstreamID()
	headSize := bytes.Index(buf, []byte("\r\n\r\n")) + 4
	c.nc.SetWriteDeadline(now.Add(writeTimeout))
	if len(buf) <= directWriteSize {
		n, err := c.nc.Write(buf)
		c.noteWritten(n >= headSize, err)
		return
	}
	c.writing = true
	go func() {
		n, err := c.nc.Write(buf)
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		c.writing = false
		c.noteWritten(n >= headSize, err)
	}()
}

// noteWritten closes a connection on which a request could not be written completely. A server that
// did not receive the complete head cannot have run the request. If the complete head was
// written, it is unknown whether the server ran the request.
func (c *conn) noteWritten(headWritten bool, err error) {
	switch {
	case err == nil:
	case headWritten:
		c.closeWith(choice.ConnectionLost)
	default:
		c.closeWith(choice.NoConnection)
	}
}

// closeWith closes a connection. The call in flight on it, if there is one, ends with the verdict.
func (c *conn) closeWith(v choice.Verdict) {
	if c.closed {
		return
	}
	c.closed = true
	c.nc.Close()
	p, s := c.pool, c.server
	p.conns--
	p.Exchange.Counters.ServerConns.Add(-1)
	s.conns = slices.DeleteFunc(s.conns, func(o *conn) bool { return o == c })
	if c.call != nil {
		if v == choice.ConnectionLost {
			p.Exchange.Counters.Resets.Add(1)
			if p.Mutations.LostIsUnsent {
				v = choice.NoConnection
			}
		}
		p.finish(c.call, v, nil, "")
	}
	if len(s.waiting) > 0 {
		p.openConn(s)
	}
	p.forget(s)
}

// release makes a connection idle after an answer, or closes it if keep is false, it is draining, or the
// server has more connections than it may have.
// A connection that becomes idle takes the first waiting call that may use it.
func (c *conn) release(keep bool) {
	c.busy, c.call, c.idleSince = false, nil, time.Now()
	if !keep || c.draining || c.server.hasSurplus() {
		c.closeWith(choice.ConnectionLost)
		return
	}
	// The connection goes to the end of the list: the connection that became idle last is used first, so
	// that connections that are not needed reach idleTimeout and are closed.
	if i := slices.Index(c.server.conns, c); i >= 0 {
		c.server.conns = append(slices.Delete(c.server.conns, i, i+1), c)
	}
	waiting := c.server.waiting
	if i := slices.IndexFunc(waiting, func(k *call) bool { return k.mayUse(c, c.idleSince) }); i >= 0 {
		k := waiting[i]
		c.server.waiting = slices.Delete(waiting, i, i+1)
		c.send(k, c.idleSince)
	}
	c.pool.openConn(c.server) // for the calls that may not use this connection
}

// ---- The read goroutine of a connection.

// readLoop handles incoming answers until the connection is closed.
func (c *conn) readLoop() {
	for strayAnswers := 0; ; {
		method, open := c.awaitAnswer()
		if !open {
			return
		}
		response, err := c.reader.ResponseTo(method)
		c.pool.mu.Lock()
		switch {
		case c.closed:
		case err == nil && strayAnswers < maxStrayAnswers && c.isStray(response):
			// This is a second answer to an earlier request, for which no call waits any more.
			// The answer to the pending request may still follow.
			strayAnswers++
			c.draining = true
			c.pool.Exchange.Counters.LateAnswers.Add(1)
		default:
			c.handleAnswer(response, err)
		}
		closed := c.closed
		c.pool.mu.Unlock()
		if closed {
			return
		}
	}
}

// awaitAnswer waits for the first byte of an answer and returns the method of the request in flight. It
// closes the connection, and open is false, if there is none or the connection fails.
func (c *conn) awaitAnswer() (method string, open bool) {
	err := c.reader.Await()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if err == nil && c.busy {
		return c.method, true
	}
	if err == nil { // bytes arrived while no answer was pending
		c.pool.Exchange.Counters.MalformedAnswers.Add(1)
	}
	c.closeWith(choice.ConnectionLost)
	return "", false
}

// isStray reports whether an answer has the id of another request than the one in flight.
func (c *conn) isStray(response *httpwire.Response) bool {
	id := response.Header.Get(headerAttemptID)
	return id != "" && id != c.id && !c.pool.Mutations.AnyID
}

// handleAnswer ends the call in flight with an answer, or with the error of reading it, and releases the
// connection.
func (c *conn) handleAnswer(response *httpwire.Response, err error) {
	// An answer may arrive before the request is completely written. The connection must not
	// be reused then: the server would read the next request as the rest of the body.
	// After a request without an id the connection is not reused either: a second answer to it could not be
	// distinguished from the answer to the next such request.
	keep := err == nil && response.KeepAlive && c.id != "" && c.reader.Buffered() == 0 && (!c.writing || c.pool.Mutations.ReuseEarly)
	verdict, value := choice.ServerError, ""
	var load []choice.Reading
	var malformed *httpwire.Error
	switch {
	case errors.As(err, &malformed):
		c.pool.Exchange.Counters.MalformedAnswers.Add(1)
	case err != nil:
		verdict = choice.ConnectionLost
	default:
		c.keepAliveUntil = keepAliveEnd(response, time.Now())
		id := c.id
		if c.pool.Mutations.AnyID {
			id = response.Header.Get(headerAttemptID)
		}
		verdict, value = evaluate(response, id, c.fanOut)
		load = parseLoad(response.Header.Get(headerLoad))
	}
	if c.call != nil {
		c.pool.finish(c.call, verdict, load, value)
	}
	c.release(keep)
}

// keepAliveEnd returns the time until which the connection may be used according to the Keep-Alive
// header of an answer, less keepAliveMargin. It returns the zero time if the header gives no
// timeout.
func keepAliveEnd(p *httpwire.Response, now time.Time) time.Time {
	for option := range strings.SplitSeq(p.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(option), "=")
		if n, err := strconv.ParseFloat(value, 64); err == nil && strings.EqualFold(name, "timeout") && n >= 0 && n < 1e6 {
			return now.Add(max(time.Duration(n*float64(time.Second))-keepAliveMargin, 0))
		}
	}
	return time.Time{}
}
