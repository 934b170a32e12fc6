// Package leaf is a stand-in leaf server that speaks the platform's frames on a loopback
// address. It models cores, work and a queue, injects faults, and reports every part to the
// judge. It never makes the same value for two parts and never answers a part that it did
// not run.
//
// The model: a part waits for one of Cores, first come first served, in a queue of
// QueueLimit parts, beyond which it is rejected. Its work is lognormal with the median
// Median and the sigma Sigma of the logarithm; the sample depends only on the seed and the
// part, so two runs of a drill do the same work.
package leaf

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"saddleport/internal/frame"
	"saddleport/internal/lab/judge"
)

const writeTimeout = 5 * time.Second

// KeyOwner decides which keys a server's cell owns. A server without one owns all keys.
type KeyOwner interface {
	// Begin is called before a part runs. owned is false if the cell may not run the part at
	// the epoch that it knows: the part never runs. finish makes the value; its owned is
	// false if the cell has lost the keys by then, and the part had no effect.
	Begin(server string, p frame.Part) (finish func() (value string, owned bool), epoch int64, owned bool)
	// Epoch returns the epoch that the cell knows.
	Epoch() int64
	// Lost is called for a part that had begun but not finished when its server died.
	Lost(p frame.Part)
	// RunUnowned runs a part whether or not the cell owns its keys, for a faulty server.
	RunUnowned(server string, p frame.Part) (finish func() (value string, owned bool))
}

// Model configures how a server works.
type Model struct {
	Owner      KeyOwner
	Cores      int
	QueueLimit int
	Median     time.Duration
	Sigma      float64
	Seed       uint64

	// A server starts with SlowStartShare of its capacity, which grows linearly to all of it
	// within SlowStartTime. SlowStartShare 0: full capacity from the start.
	SlowStartShare float64
	SlowStartTime  time.Duration
}

// Mode is the behaviour of a server.
type Mode int

// The modes.
const (
	Healthy         Mode = iota
	Hang                 // accepts parts and answers none
	Fail                 // answers err at once; the part may have run
	Busy                 // rejects all parts
	IgnoreOwnership      // runs parts whose keys it does not own; needs a KeyOwner
)

// Server is one stand-in server.
type Server struct {
	Name, Addr string

	model     Model
	judge     *judge.Judge
	ln        net.Listener
	done      chan struct{}
	started   time.Time
	connGroup sync.WaitGroup

	mu      sync.Mutex
	mode    Mode
	conns   map[net.Conn]bool
	running map[*work]bool
	waiting []*work
	busy    int
}

// work is one part that waits or runs.
type work struct {
	conn    *conn
	part    frame.Part
	attempt *judge.Attempt
	dropped bool // cancelled or rejected, or its connection has ended
	finish  func() (string, bool)
	timer   *time.Timer
}

type conn struct {
	s    *Server
	conn net.Conn

	mu   sync.Mutex // serializes writes
	work map[string]*work
}

// Listen starts a server; with an empty addr on any free port of 127.0.0.1.
func Listen(name, addr string, m Model, j *judge.Judge) (*Server, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, Addr: ln.Addr().String(), model: m, judge: j, ln: ln, done: make(chan struct{}), started: time.Now(), conns: make(map[net.Conn]bool), running: make(map[*work]bool)}
	s.connGroup.Add(1)
	go s.serve()
	return s, nil
}

// Set changes the mode. Parts that already run are finished.
func (s *Server) Set(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Close stops the server as a crash of its process does: connections are reset.
func (s *Server) Close() {
	s.mu.Lock()
	select {
	case <-s.done:
		s.mu.Unlock()
		return
	default:
	}
	close(s.done)
	s.ln.Close()
	for nc := range s.conns {
		if tcp, ok := nc.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		nc.Close()
	}
	s.mu.Unlock()
	s.connGroup.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.running { // a crash ends the running parts
		if w.timer.Stop() && w.finish != nil {
			s.model.Owner.Lost(w.part)
		}
	}
	clear(s.running)
}

func (s *Server) serve() {
	defer s.connGroup.Done()
	for {
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		select {
		case <-s.done:
			nc.Close()
			s.mu.Unlock()
			return
		default:
		}
		s.conns[nc] = true
		s.connGroup.Add(1)
		s.mu.Unlock()
		c := &conn{s: s, conn: nc, work: make(map[string]*work)}
		go func() {
			defer s.connGroup.Done()
			c.read()
			s.connEnded(c)
		}()
	}
}

// connEnded drops the parts of a connection that has ended.
func (s *Server) connEnded(c *conn) {
	c.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.conn)
	for _, w := range c.work {
		w.dropped = true
		w.attempt.Finished(time.Now(), "")
	}
	c.work = nil
}

func (c *conn) read() {
	r := bufio.NewReader(c.conn)
	for {
		frameType, rest, err := frame.Read(r)
		if err != nil {
			return
		}
		switch frameType {
		case 'Q':
			parts, err := frame.ParseParts(rest)
			if err != nil {
				c.write('E', []byte(err.Error()))
				return
			}
			for _, p := range parts {
				c.s.submit(c, p)
			}
		case 'X':
			c.s.cancel(c, string(rest))
		case 'P':
			c.write('P', []byte("ok"))
		case 'L':
			c.write('L', []byte(c.s.report()))
		default:
			c.write('E', []byte("unknown letter"))
			return
		}
	}
}

func (c *conn) write(frameType byte, rest []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.conn.Write(frame.Append(nil, frameType, rest))
}

func (s *Server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("inflight=%d", s.busy+len(s.waiting))
}

// submit runs a part, queues it or rejects it.
func (s *Server) submit(c *conn, p frame.Part) {
	now := time.Now()
	w := &work{conn: c, part: p, attempt: s.judge.Arrived(p.ID, s.Name, now)}
	s.mu.Lock()
	if c.work == nil { // the connection has ended in the meantime
		s.mu.Unlock()
		w.attempt.Finished(now, "")
		return
	}
	status := ""
	switch {
	case c.work[p.ID] != nil:
		status = "err"
	case s.mode == Busy || (s.mode == Healthy || s.mode == IgnoreOwnership) && s.busy >= s.model.Cores && len(s.waiting) >= s.model.QueueLimit:
		status = "busy"
	case s.mode == Fail:
		w.attempt.Ran()
		status = "err"
	default:
		c.work[p.ID] = w
		if s.mode == Hang {
			w.attempt.Ran()
			s.mu.Unlock()
			return
		}
		s.waiting = append(s.waiting, w)
		s.start()
	}
	s.mu.Unlock()
	if status != "" {
		w.attempt.Finished(now, "")
		c.write('A', frame.AppendAnswer(nil, frame.Answer{ID: p.ID, Status: status, LoadReport: "-"}))
	}
}

// start runs queued parts while cores are free. The caller holds s.mu.
func (s *Server) start() {
	select {
	case <-s.done: // the server is closed
		return
	default:
	}
	for s.busy < s.model.Cores && len(s.waiting) > 0 {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		if w.dropped {
			continue
		}
		if owner := s.model.Owner; owner != nil {
			finish, epoch, owned := owner.Begin(s.Name, w.part)
			if !owned && s.mode == IgnoreOwnership {
				finish, owned = owner.RunUnowned(s.Name, w.part), true
			}
			if !owned {
				s.rejectNotOwned(w, epoch)
				continue
			}
			w.finish = finish
		}
		s.busy++
		w.attempt.Ran()
		s.running[w] = true
		w.timer = time.AfterFunc(s.workTime(w.part.ID), func() { s.finish(w) })
	}
}

// workTime returns the time that a part takes, sampled by its id.
func (s *Server) workTime(id string) time.Duration {
	h := fnv.New64a()
	h.Write([]byte(id))
	r := rand.New(rand.NewPCG(s.model.Seed, h.Sum64()))
	duration := float64(s.model.Median) * math.Exp(s.model.Sigma*r.NormFloat64())
	if m := s.model; m.SlowStartShare > 0 && time.Since(s.started) < m.SlowStartTime {
		duration /= m.SlowStartShare + (1-m.SlowStartShare)*float64(time.Since(s.started))/float64(m.SlowStartTime)
	}
	return time.Duration(duration)
}

// rejectNotOwned rejects a part whose keys the cell does not own, with the epoch of the
// cell. The caller holds s.mu.
func (s *Server) rejectNotOwned(w *work, epoch int64) {
	w.dropped = true
	delete(w.conn.work, w.part.ID)
	w.attempt.Finished(time.Now(), "")
	go w.conn.write('A', frame.AppendAnswer(nil, frame.Answer{ID: w.part.ID, Status: "busy", LoadReport: fmt.Sprintf("moved=%d", epoch)}))
}

func (s *Server) finish(w *work) {
	value, owned := Value(s.Name, w.part), true
	if w.finish != nil {
		value, owned = w.finish()
	}
	s.mu.Lock()
	delete(s.running, w)
	if !owned && !w.dropped {
		s.busy--
		w.attempt.NeverRan()
		s.rejectNotOwned(w, s.model.Owner.Epoch())
		s.start()
		s.mu.Unlock()
		return
	}
	s.busy--
	s.start()
	dropped := w.dropped
	if !dropped {
		delete(w.conn.work, w.part.ID)
	}
	s.mu.Unlock()
	if dropped {
		return
	}
	w.attempt.Finished(time.Now(), value)
	w.conn.write('A', frame.AppendAnswer(nil, frame.Answer{ID: w.part.ID, Status: "ok", Score: 1, LoadReport: s.report(), Value: []byte(value)}))
}

// cancel drops a part that the proxy has cancelled; one that already runs is finished, but its
// answer is not sent.
func (s *Server) cancel(c *conn, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := c.work[id]; w != nil {
		w.dropped = true
		delete(c.work, id)
		w.attempt.Finished(time.Now(), "")
	}
}

// Value returns the value that a server makes for a part. It depends on the server, the part
// and its text.
func Value(server string, p frame.Part) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s %d %s", server, p.ID, p.Shard, p.Text)
	return fmt.Sprintf("%s-%016x", server, h.Sum64())
}
