package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Request is a request that reached a server.
type Request struct {
	ID, Method, Target, Body string
	Deadline                 time.Duration
	ReceivedAt               time.Time
	Number                   int // on its server, from 1
}

// Server is a stand-in for one life of a server: it works on Slots requests at once, queues a few more and
// turns the others away, echoes the id of a request, and sends heartbeats.
type Server struct {
	ID, Service, Zone string
	Slots, Queue      int
	KeepAlive         time.Duration // an idle connection is closed after it; whole seconds
	Work              func(Request) time.Duration
	Body              string
	Quiet             bool // the record leaves out its state, but not what it runs and answers
	// Full reports whether the server turns a request away because other callers fill it; nil: never.
	Full func(Request) bool
	// Extra reports whether an answer is sent a second time, in the place where the next answer of its
	// connection is expected; nil: never.
	Extra func(request Request, status int) bool

	Addr   string
	record *Recorder
	fleet  *Fleet
	ln     net.Listener
	slots  chan struct{}
	stop   chan struct{}

	mu       sync.Mutex
	conns    map[net.Conn]bool
	held     int // requests at work or queued
	count    int
	sequence int
	endpoint string // address for heartbeats; empty: any core machine
	draining bool
	ended    bool
	runs     []Request
}

var beats = &http.Client{Timeout: time.Second}

// StartServer starts a server and its heartbeats.
func (f *Fleet) StartServer(s *Server) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.ln, s.Addr, s.record, s.fleet = ln, ln.Addr().String(), f.Record, f
	s.slots, s.stop, s.conns = make(chan struct{}, s.Slots), make(chan struct{}), make(map[net.Conn]bool)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	go func() {
		for {
			s.Beat()
			select {
			case <-s.stop:
				return
			case <-time.After(time.Duration(f.Bounds.HeartbeatMs) * time.Millisecond):
			}
		}
	}()
	return nil
}

// Beat sends one heartbeat, to the next core machine if one does not acknowledge it, and returns when it
// was acknowledged and by which address; the zero time: not at all.
func (s *Server) Beat() (time.Time, string) {
	s.mu.Lock()
	state, endpoint := "available", s.endpoint
	if s.draining {
		state = "draining"
	}
	s.mu.Unlock()
	for _, addr := range append([]string{endpoint}, s.fleet.Controls()...) {
		if addr == "" {
			continue
		}
		s.mu.Lock()
		s.sequence++
		body, _ := json.Marshal(map[string]any{"target_service": s.Service, "address": s.Addr, "zone": s.Zone, "revision": "v1", "capacity": s.Slots,
			"lifecycle_state": state, "warmup_left_ms": 0, "sequence": s.sequence})
		s.mu.Unlock()
		status, text := call(beats, "POST", "http://"+addr+"/Instances.Heartbeat/"+s.ID, body)
		s.mu.Lock()
		if status != 200 {
			s.endpoint = ""
			s.mu.Unlock()
			continue
		}
		var answer struct {
			Endpoint string `json:"heartbeat_endpoint"`
		}
		if json.Unmarshal(text, &answer) == nil && answer.Endpoint != "" {
			s.endpoint = answer.Endpoint
		} else if s.endpoint == "" {
			s.endpoint = addr
		}
		s.mu.Unlock()
		return time.Now(), addr
	}
	return time.Time{}, ""
}

// Drain makes the server say that it is draining until that is acknowledged, and returns when that was.
func (s *Server) Drain() time.Time {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for {
		if at, addr := s.Beat(); !at.IsZero() {
			s.note("%s: says draining, acknowledged by %s", s.ID, addr)
			return at
		}
	}
}

// Leave deregisters the server and ends it.
func (s *Server) Leave() {
	for _, addr := range s.fleet.Controls() {
		if status, _ := call(beats, "POST", "http://"+addr+"/Instances.Deregister/"+s.ID, nil); status == 200 {
			s.note("%s: says that it is gone, acknowledged by %s", s.ID, addr)
			break
		}
	}
	s.End()
}

// End ends the server: its connections are closed and it sends nothing more.
func (s *Server) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	close(s.stop)
	s.ln.Close()
	for c := range s.conns {
		c.Close()
	}
	s.note("%s: ends", s.ID)
}

// note records the state of the server, unless it is quiet.
func (s *Server) note(format string, args ...any) {
	if !s.Quiet {
		s.record.Printf(format, args...)
	}
}

// Runs returns the requests that the server has begun work on.
func (s *Server) Runs() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request(nil), s.runs...)
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	var extra []byte // an answer that is sent again in the place of the next one
	for {
		if s.KeepAlive > 0 {
			c.SetReadDeadline(time.Now().Add(s.KeepAlive))
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.count++
		ms, _ := strconv.Atoi(r.Header.Get("X-Saddleport-Deadline-Ms"))
		request := Request{ID: r.Header.Get("X-Saddleport-Attempt-Id"), Method: r.Method, Target: r.RequestURI, Body: string(body),
			Deadline: time.Duration(ms) * time.Millisecond, ReceivedAt: time.Now(), Number: s.count}
		s.mu.Unlock()
		if extra != nil {
			s.record.Printf("%s: sends its last answer on this connection once more", s.ID)
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		status := s.run(request, r.Header.Get("X-Saddleport-Target-Instance"))
		answer := s.answer(request, status)
		if _, err := c.Write(answer); err != nil {
			s.record.Printf("%s: answer %d to %s is not taken", s.ID, status, request.ID)
			return
		}
		s.record.Printf("%s: answers %d to %s %s", s.ID, status, request.Method, request.ID)
		if s.Extra != nil && s.Extra(request, status) {
			extra = answer
		}
	}
}

// run works on a request, or turns it away, and returns the status of its answer. 503 and 421 mean that it
// has not run.
func (s *Server) run(request Request, target string) int {
	if target != "" && target != s.ID {
		return 421
	}
	s.mu.Lock()
	if s.held >= s.Slots+s.Queue || s.Full != nil && s.Full(request) {
		s.mu.Unlock()
		return 503
	}
	s.held++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.held--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
	case <-time.After(request.Deadline):
		return 503 // the deadline has passed in the queue
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs = append(s.runs, request)
	s.mu.Unlock()
	s.record.Printf("%s: runs %s %s", s.ID, request.Method, request.ID)
	time.Sleep(s.Work(request))
	return 200
}

func (s *Server) answer(request Request, status int) []byte {
	body := s.Body
	if status != 200 {
		body = ""
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\nX-Saddleport-Attempt-Id: %s\r\n", status, http.StatusText(status), len(body), request.ID)
	if status == 200 {
		text += fmt.Sprintf("X-Saddleport-Response-Signature: %s.%s.%d\r\n", s.ID, request.ID, request.Number)
	} else {
		text += "X-Saddleport-Not-Executed: 1\r\n"
	}
	if s.KeepAlive > 0 {
		text += fmt.Sprintf("Keep-Alive: timeout=%d\r\n", int(s.KeepAlive.Seconds()))
	}
	return []byte(text + "\r\n" + body)
}
