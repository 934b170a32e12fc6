// Package leaf is a stand-in leaf server that speaks the platform's frames on a
// loopback address. It owns its model (cores, work, waiting room) and its faults,
// and tells the judge of every part. It must never make the same value for two
// parts, nor answer what it did not run.
//
// The model: a part waits for one of Cores, first come first served, in a room of
// Room parts, beyond which it is turned away. Its work is lognormal with the
// median Median and the sigma Sigma of the logarithm; the draw depends on the seed
// and the part alone, so two runs of a drill do the same work.
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

const writeTime = 5 * time.Second

// Keeper holds the keys that a server's cell holds. Without one a server holds all.
type KeyOwner interface {
	// Begin is asked as a part is about to run. held is false where the cell may not
	// do it now, at the epoch it has heard of: the part never runs. finish makes the
	// value; where it is not held any more by then, nothing was done.
	Begin(server string, p frame.Part) (finish func() (value string, held bool), epoch int64, held bool)
	Epoch() int64
	// Lost is told of a part that had begun as its server died, and was not finished.
	Lost(p frame.Part)
	// Claim does a part whether or not the cell holds it: a server that lies.
	RunUnowned(server string, p frame.Part) (finish func() (value string, held bool))
}

// Model is how a server works.
type Model struct {
	Owner      KeyOwner
	Cores      int
	QueueLimit int
	Median     time.Duration
	Sigma      float64
	Seed       uint64

	// A server that starts cold does Cold of what it can, and evenly more until all
	// after Warm. Cold 0: it is warm at once.
	SlowStartShare float64
	SlowStartTime  time.Duration
}

// Mode is how a server behaves.
type Mode int

// The modes.
const (
	Healthy         Mode = iota
	Hang                 // takes parts and answers none
	Fail                 // answers err at once; the part may have run
	Busy                 // turns all away
	IgnoreOwnership      // does what it does not hold, where it has a keeper
)

// Server is one stand-in.
type Server struct {
	Name, Addr string

	model Model
	j     *judge.Judge
	ln    net.Listener
	done  chan struct{}
	born  time.Time
	conns sync.WaitGroup

	mu      sync.Mutex
	mode    Mode
	open    map[net.Conn]bool
	running map[*work]bool
	waiting []*work
	busy    int
}

// work is one part that waits or runs.
type work struct {
	c       *conn
	part    frame.Part
	attempt *judge.Attempt
	gone    bool // given up, or its connection has ended
	finish  func() (string, bool)
	timer   *time.Timer
}

type conn struct {
	s  *Server
	nc net.Conn

	mu   sync.Mutex // over writes
	work map[string]*work
}

// Listen starts a server; an empty addr takes any port.
func Listen(name, addr string, m Model, j *judge.Judge) (*Server, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, Addr: ln.Addr().String(), model: m, j: j, ln: ln, done: make(chan struct{}), born: time.Now(), open: make(map[net.Conn]bool), running: make(map[*work]bool)}
	s.conns.Add(1)
	go s.serve()
	return s, nil
}

// Set changes how the server behaves from now on. What runs is finished.
func (s *Server) Set(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Close ends the server as a process that dies: connections are reset.
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
	for nc := range s.open {
		if tcp, ok := nc.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		nc.Close()
	}
	s.mu.Unlock()
	s.conns.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.running { // what a process was doing dies with it
		if w.timer.Stop() && w.finish != nil {
			s.model.Owner.Lost(w.part)
		}
	}
	clear(s.running)
}

func (s *Server) serve() {
	defer s.conns.Done()
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
		s.open[nc] = true
		s.conns.Add(1)
		s.mu.Unlock()
		c := &conn{s: s, nc: nc, work: make(map[string]*work)}
		go func() {
			defer s.conns.Done()
			c.read()
			s.ended(c)
		}()
	}
}

// ended gives up what a connection that has ended left behind.
func (s *Server) ended(c *conn) {
	c.nc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c.nc)
	for _, w := range c.work {
		w.gone = true
		w.attempt.Finished(time.Now(), "")
	}
	c.work = nil
}

func (c *conn) read() {
	r := bufio.NewReader(c.nc)
	for {
		letter, rest, err := frame.Read(r)
		if err != nil {
			return
		}
		switch letter {
		case 'Q':
			parts, err := frame.ParseParts(rest)
			if err != nil {
				c.write('E', []byte(err.Error()))
				return
			}
			for _, p := range parts {
				c.s.take(c, p)
			}
		case 'X':
			c.s.giveUp(c, string(rest))
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

func (c *conn) write(letter byte, rest []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(writeTime))
	c.nc.Write(frame.Append(nil, letter, rest))
}

func (s *Server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("inflight=%d", s.busy+len(s.waiting))
}

// take takes a part: it runs, waits, or is turned away.
func (s *Server) take(c *conn, p frame.Part) {
	now := time.Now()
	w := &work{c: c, part: p, attempt: s.j.Arrived(p.ID, s.Name, now)}
	s.mu.Lock()
	if c.work == nil { // the connection has ended meanwhile
		s.mu.Unlock()
		w.attempt.Finished(now, "")
		return
	}
	end := ""
	switch {
	case c.work[p.ID] != nil:
		end = "err"
	case s.mode == Busy || (s.mode == Healthy || s.mode == IgnoreOwnership) && s.busy >= s.model.Cores && len(s.waiting) >= s.model.QueueLimit:
		end = "busy"
	case s.mode == Fail:
		w.attempt.Ran()
		end = "err"
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
	if end != "" {
		w.attempt.Finished(now, "")
		c.write('A', frame.AppendAnswer(nil, frame.Answer{ID: p.ID, Status: end, LoadReport: "-"}))
	}
}

// start runs what waits while cores are free. Under mu.
func (s *Server) start() {
	select {
	case <-s.done: // it is dead
		return
	default:
	}
	for s.busy < s.model.Cores && len(s.waiting) > 0 {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		if w.gone {
			continue
		}
		if k := s.model.Owner; k != nil {
			finish, epoch, held := k.Begin(s.Name, w.part)
			if !held && s.mode == IgnoreOwnership {
				finish, held = k.RunUnowned(s.Name, w.part), true
			}
			if !held {
				s.away(w, epoch)
				continue
			}
			w.finish = finish
		}
		s.busy++
		w.attempt.Ran()
		s.running[w] = true
		w.timer = time.AfterFunc(s.span(w.part.ID), func() { s.finish(w) })
	}
}

// span draws a part's work.
func (s *Server) span(id string) time.Duration {
	h := fnv.New64a()
	h.Write([]byte(id))
	r := rand.New(rand.NewPCG(s.model.Seed, h.Sum64()))
	span := float64(s.model.Median) * math.Exp(s.model.Sigma*r.NormFloat64())
	if m := s.model; m.SlowStartShare > 0 && time.Since(s.born) < m.SlowStartTime {
		span /= m.SlowStartShare + (1-m.SlowStartShare)*float64(time.Since(s.born))/float64(m.SlowStartTime)
	}
	return time.Duration(span)
}

// away turns a part away that is not held here. Under mu.
func (s *Server) away(w *work, epoch int64) {
	w.gone = true
	delete(w.c.work, w.part.ID)
	w.attempt.Finished(time.Now(), "")
	go w.c.write('A', frame.AppendAnswer(nil, frame.Answer{ID: w.part.ID, Status: "busy", LoadReport: fmt.Sprintf("moved=%d", epoch)}))
}

func (s *Server) finish(w *work) {
	value, held := Value(s.Name, w.part), true
	if w.finish != nil {
		value, held = w.finish()
	}
	s.mu.Lock()
	delete(s.running, w)
	if !held && !w.gone {
		s.busy--
		w.attempt.NeverRan()
		s.away(w, s.model.Owner.Epoch())
		s.start()
		s.mu.Unlock()
		return
	}
	s.busy--
	s.start()
	gone := w.gone
	if !gone {
		delete(w.c.work, w.part.ID)
	}
	s.mu.Unlock()
	if gone {
		return
	}
	w.attempt.Finished(time.Now(), value)
	w.c.write('A', frame.AppendAnswer(nil, frame.Answer{ID: w.part.ID, Status: "ok", Score: 1, LoadReport: s.report(), Value: []byte(value)}))
}

// giveUp drops a part that the mixer has given up; one that runs goes on, unheard.
func (s *Server) giveUp(c *conn, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := c.work[id]; w != nil {
		w.gone = true
		delete(c.work, id)
		w.attempt.Finished(time.Now(), "")
	}
}

// Value is what a server makes for a part: it names both, and the text.
func Value(server string, p frame.Part) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s %d %s", server, p.ID, p.Shard, p.Text)
	return fmt.Sprintf("%s-%016x", server, h.Sum64())
}
