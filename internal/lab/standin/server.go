// Package standin holds stand-ins, written by this project, for what the system meets
// outside itself by published protocols: servers that hold shards, and clients. They
// listen on loopback addresses alone, record what reached them, and err as they are told.
// They must never know what the system does inside.
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
	Conn                                int // number of the connection, from 1
	Ran                                 bool
}

// Reply is what a server does with a request.
type Reply struct {
	Status      int           // 0: 200
	Body        string        // of a 200
	Signature   string        // "": one of its own
	NoSignature bool          // the stamp is left out
	ID          string        // "": the request's
	NotExecuted bool          // says that it did not run
	NoID        bool          // the request's id is left out
	NoLength    bool          // no length: the answer ends with the connection
	Extra       string        // bytes behind the answer
	Close       bool          // says and does so
	Reset       bool          // the connection ends with no answer
	Truncate    bool          // it ends in the middle of the body
	Before      *Reply        // an answer that goes out first
	HoldUntil   chan struct{} // the answer waits for its close
	StallUntil  chan struct{} // after an early answer nothing is read until its close
	Headers     map[string]string
}

// Server is a stand-in for one life of a server.
type Server struct {
	ID   string
	Addr string
	// Do tells what becomes of the n-th request, from 1; nil: all are answered.
	Handle func(n int, s Seen) Reply
	// Early answers a request before its body is read; nil, or a nil answer: none is.
	RespondEarly func(s Seen) *Reply
	// Window is how many bytes a connection's kernel takes unread; 0: as it likes. It counts for
	// connections that are made from then on.
	ReceiveWindow atomic.Int64

	ln    net.Listener
	mu    sync.Mutex
	seen  []Seen
	conns map[net.Conn]bool
	made  int
	n     atomic.Int64
	wait  sync.WaitGroup
}

// NewServer starts a server on a free port of the loopback address.
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

// Close ends the server and its connections.
func (s *Server) Close() {
	s.ln.Close()
	s.CloseConns()
	s.wait.Wait()
}

// Drop ends all connections.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Seen is what has reached the server so far.
func (s *Server) Seen() []Seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Seen(nil), s.seen...)
}

// Conns counts the connections made so far.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.made
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
		s.made++
		n := s.made
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
			p = s.Handle(int(s.n.Add(1)), seen)
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

// early answers a request whose body has not been read, and notes it as one that did not run.
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
		stamp := p.Signature
		if stamp == "" {
			stamp = "s." + id + "." + attempt
		}
		b = fmt.Appendf(b, "X-Saddleport-Response-Signature: %s\r\n", stamp)
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
