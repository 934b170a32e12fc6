// Package standin provides stand-ins, written by this project, for the programs with which the
// system speaks by published protocols: servers of shards, and clients. They listen only on
// loopback addresses, record the requests that reach them and inject the requested faults. They
// never depend on internals of the system.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Seen is one request that reached a server.
type Seen struct {
	Attempt, Method, Target, Host, Body string
	DeadlineMs                          int
	Header                              http.Header
	Conn                                int // number of its connection, from 1
	Ran                                 bool
}

// Reply is the response of a server to a request, with its faults.
type Reply struct {
	Status      int           // 0: 200
	Body        string        // of a 200 response
	Signature   string        // "": the signature of this server
	NoSignature bool          // omits the signature
	ID          string        // "": the request's
	NotExecuted bool          // reports that the request was not executed
	NoID        bool          // omits the request's id
	NoLength    bool          // omits the length: the response ends with the connection
	Extra       string        // bytes after the response
	Close       bool          // announces and closes the connection
	Reset       bool          // resets the connection without a response
	Truncate    bool          // closes the connection in the middle of the body
	Before      *Reply        // a response that is sent first
	HoldUntil   chan struct{} // the response waits until this is closed
	StallUntil  chan struct{} // after an early response nothing is read until this is closed
	Headers     map[string]string
}

// Server is a stand-in for one incarnation of a server.
type Server struct {
	ID   string
	Addr string
	// Handle returns the reply to the n-th request, from 1; nil: all get an empty 200.
	Handle func(n int, s Seen) Reply
	// RespondEarly returns a reply to send before the body of a request is read; nil, or a nil
	// reply: none.
	RespondEarly func(s Seen) *Reply
	// ReceiveWindow is the size of a connection's receive buffer in the kernel, in bytes; 0: the
	// default. It applies to connections that are accepted after it was set.
	ReceiveWindow atomic.Int64

	ln           net.Listener
	mu           sync.Mutex
	seen         []Seen
	conns        map[net.Conn]bool
	connCount    int
	requestCount atomic.Int64
	wait         sync.WaitGroup
}

// NewServer starts a server on a free port of 127.0.0.1.
func NewServer(id string, do func(n int, s Seen) Reply) (*Server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Addr: ln.Addr().String(), Handle: do, ln: ln, conns: make(map[net.Conn]bool)}
	s.wait.Add(1)
	go s.accept()
	return s, nil
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.ln.Close()
	s.CloseConns()
	s.wait.Wait()
}

// CloseConns closes all connections.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Seen returns the requests that have reached the server so far.
func (s *Server) Seen() []Seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Seen(nil), s.seen...)
}

// Conns returns the number of connections accepted so far.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connCount
}

func (s *Server) accept() {
	defer s.wait.Done()
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		if window := s.ReceiveWindow.Load(); window > 0 {
			c.(*net.TCPConn).SetReadBuffer(int(window))
		}
		s.mu.Lock()
		s.conns[c] = true
		s.connCount++
		n := s.connCount
		s.mu.Unlock()
		s.wait.Add(1)
		go s.serve(c, n)
	}
}

func (s *Server) serve(c net.Conn, number int) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.wait.Done()
	}()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		seen := Seen{Attempt: q.Header.Get("X-Saddleport-Attempt-Id"), Method: q.Method, Target: q.RequestURI, Host: q.Host,
			Header: q.Header, Conn: number, Ran: true}
		answered := s.early(c, seen)
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if answered {
			continue
		}
		seen.Body = string(body)
		seen.DeadlineMs, _ = strconv.Atoi(q.Header.Get("X-Saddleport-Deadline-Ms"))
		var p Reply
		if target := q.Header.Get("X-Saddleport-Target-Instance"); target != "" && target != s.ID {
			p, seen.Ran = Reply{Status: 421, Headers: map[string]string{"X-Saddleport-Instance-Id": s.ID}}, false
		} else if s.Handle != nil {
			p = s.Handle(int(s.requestCount.Add(1)), seen)
			seen.Ran = !p.NotExecuted
		}
		s.mu.Lock()
		s.seen = append(s.seen, seen)
		s.mu.Unlock()
		if p.HoldUntil != nil {
			<-p.HoldUntil
		}
		if p.Before != nil {
			c.Write(answer(*p.Before, seen.Attempt, s.ID))
		}
		if p.Reset {
			if t, ok := c.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			return
		}
		b := answer(p, seen.Attempt, s.ID)
		if p.Truncate {
			b = b[:len(b)-len(p.Body)/2-1]
		}
		c.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := c.Write(append(b, p.Extra...)); err != nil || p.Close || p.Truncate || p.NoLength {
			return
		}
	}
}

// early responds to a request whose body has not been read, if RespondEarly returns a reply, and
// records the request. It reports whether it has responded.
func (s *Server) early(c net.Conn, seen Seen) bool {
	if s.RespondEarly == nil {
		return false
	}
	p := s.RespondEarly(seen)
	if p == nil {
		return false
	}
	seen.Ran = !p.NotExecuted
	s.mu.Lock()
	s.seen = append(s.seen, seen)
	s.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	c.Write(answer(*p, seen.Attempt, s.ID))
	if p.StallUntil != nil {
		<-p.StallUntil
	}
	return true
}

func answer(p Reply, attempt, id string) []byte {
	status := p.Status
	if status == 0 {
		status = 200
	}
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if !p.NoLength {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(p.Body))
	}
	if p.ID != "" {
		attempt = p.ID
	}
	if attempt != "" && !p.NoID {
		b = fmt.Appendf(b, "X-Saddleport-Attempt-Id: %s\r\n", attempt)
	}
	if !p.NoSignature && !p.NotExecuted && status != 421 {
		signature := p.Signature
		if signature == "" {
			signature = "s." + id + "." + attempt
		}
		b = fmt.Appendf(b, "X-Saddleport-Response-Signature: %s\r\n", signature)
	}
	if p.NotExecuted {
		b = append(b, "X-Saddleport-Not-Executed: 1\r\n"...)
	}
	for name, value := range p.Headers {
		b = fmt.Appendf(b, "%s: %s\r\n", name, value)
	}
	if p.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(append(b, "\r\n"...), p.Body...)
}
