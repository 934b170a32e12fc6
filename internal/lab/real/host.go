package real

// A host puts an emulated server on loopback sockets: the platform's frames on one
// side, the model on the other, and the modelled network in between.

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"saddleport/internal/frame"
	"saddleport/internal/lab/judge"
	"saddleport/internal/lab/model"
)

const (
	writeTimeout = 5 * time.Second
	maxQueue     = 16384 // frames on their way on one connection
)

// clock is a model's Sched in real time: what it fires holds the lock.
type clock struct {
	start time.Time
	mu    *sync.Mutex
}

func (c clock) Now() time.Duration { return time.Since(c.start) }

type clockTimer struct {
	t       *time.Timer
	stopped bool // under the lock
}

func (a *clockTimer) Stop() bool {
	was := !a.stopped
	a.stopped = true
	return a.t.Stop() && was
}

func (c clock) After(d time.Duration, f func()) model.Timer {
	a := &clockTimer{}
	a.t = time.AfterFunc(max(d, 0), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !a.stopped {
			a.stopped = true
			f()
		}
	})
	return a
}

// host is one server. Its mutex holds the model, the doors and the connections.
type host struct {
	r     *run
	index int
	name  string
	site  int

	mu          sync.Mutex
	server      *model.Server
	work        map[string]*model.Work // a copy: drawing is not safe for concurrent use
	endpoints   []*endpoint            // one for each mixer, so that its site is known
	vanishCount int                    // faults that keep the machine away
	closed      bool
	goroutines  sync.WaitGroup
}

// door is where one mixer reaches a server.
type endpoint struct {
	h           *host
	mixer       int
	site        int
	addr        string
	ln          net.Listener
	undoSilence []func() // undoes what keeps the door from answering
	networkCut  bool     // the way is cut: nothing comes up
	conns       map[*conn]bool
}

// conn is one connection. What is under way has its own goroutines, so that a
// delay holds nobody up.
type conn struct {
	d         *endpoint
	nc        net.Conn
	inbound   chan delayed
	outbound  chan delayed
	arrived   map[string]*pendingPart // whose frame has come, whether or not the modelled way lets it through
	accepted  map[string]*pendingPart // that the server has
	closeOnce sync.Once
	closed    chan struct{}
}

type delayed struct {
	at  time.Time
	run func()
}

type pendingPart struct {
	job     model.Job
	attempt *judge.Attempt
}

// open has a door listen; an address that it had it has again. Under the lock.
func (d *endpoint) listen() error {
	if d.ln != nil || d.h.closed {
		return nil
	}
	addr := d.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	d.addr, d.ln = ln.Addr().String(), ln
	d.h.goroutines.Add(1)
	go d.serve(ln)
	return nil
}

// shut has a door refuse; what is open is reset, if it is to.
func (d *endpoint) stopListening(reset bool) {
	if d.ln != nil {
		d.ln.Close()
		d.ln = nil
	}
	if reset {
		for c := range d.conns {
			c.reset()
		}
	}
}

// silence has a door neither answer nor refuse, as a machine that is not there: the
// queue of connections is full, and the system says nothing to more.
func (d *endpoint) blackhole() error {
	d.stopListening(false)
	addr, err := net.ResolveTCPAddr("tcp", d.addr)
	if err != nil {
		return err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	d.undoSilence = append(d.undoSilence, func() { syscall.Close(fd) })
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	for range 2 { // what the system queues though it is told 0
		if nc, err := net.DialTimeout("tcp", d.addr, 50*time.Millisecond); err == nil {
			d.undoSilence = append(d.undoSilence, func() { nc.Close() })
		}
	}
	return nil
}

// speak ends the silence; connections of before are reset.
func (d *endpoint) restore() error {
	for _, undo := range d.undoSilence {
		undo()
	}
	d.undoSilence = nil
	for c := range d.conns {
		c.reset()
	}
	if up, _ := d.h.server.Running(); !up {
		return nil
	}
	return d.listen()
}

func (d *endpoint) serve(ln net.Listener) {
	defer d.h.goroutines.Done()
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		h := d.h
		c := &conn{d: d, nc: nc, inbound: make(chan delayed, maxQueue), outbound: make(chan delayed, maxQueue), accepted: make(map[string]*pendingPart), arrived: make(map[string]*pendingPart), closed: make(chan struct{})}
		h.mu.Lock()
		if d.ln != ln {
			h.mu.Unlock()
			c.reset()
			continue
		}
		d.conns[c] = true
		h.server.Handshake()
		h.goroutines.Add(3)
		h.mu.Unlock()
		go c.read()
		go c.deliver(c.inbound)
		go c.deliver(c.outbound)
	}
}

// reset ends a connection as a process that dies does.
func (c *conn) reset() {
	c.closeOnce.Do(func() {
		if tcp, ok := c.nc.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.nc.Close()
		close(c.closed)
	})
}

// gone gives up what a connection that has ended left behind.
func (c *conn) cleanUp() {
	h := c.d.h
	c.reset()
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(c.d.conns, c)
	for _, f := range c.arrived {
		f.attempt.Finished(time.Now(), "")
	}
	for _, f := range c.accepted {
		h.server.GiveUp(&f.job)
	}
	c.accepted, c.arrived = nil, nil
}

// flow lets things happen when they are due, in order.
func (c *conn) deliver(ch chan delayed) {
	defer c.d.h.goroutines.Done()
	for {
		select {
		case <-c.closed:
			return
		case l := <-ch:
			if wait := time.Until(l.at); wait > 0 {
				select {
				case <-c.closed:
					return
				case <-time.After(wait):
				}
			}
			l.run()
		}
	}
}

// carry has something arrive after the way between two sites; a cut way loses it.
func (c *conn) schedule(ch chan delayed, from, to int, do func()) {
	d, ok := c.d.h.r.networkDelay(from, to)
	if !ok || c.d.h.vanished() {
		return
	}
	select {
	case ch <- delayed{time.Now().Add(d), do}:
	default:
		c.d.h.r.recordFault("the queue of a connection to %s is full", c.d.h.name)
		c.reset()
	}
}

func (h *host) vanished() bool { return h.r.vanished[h.index].Load() > 0 }

func (c *conn) read() {
	defer c.d.h.goroutines.Done()
	defer c.cleanUp()
	r := bufio.NewReader(c.nc)
	h := c.d.h
	for {
		frameType, rest, err := frame.Read(r)
		if err != nil {
			return
		}
		switch frameType {
		case 'Q':
			parts, err := frame.ParseParts(rest)
			if err != nil {
				c.sendFrame('E', []byte(err.Error()))
				return
			}
			for n, p := range parts {
				now, head := time.Now(), n%max(h.r.plan.Settings.Bundle, 1) == 0
				f := &pendingPart{attempt: h.r.j.ArrivedFrom(c.d.mixer, p.ID, h.name, now)}
				if !h.r.plan.Holds(h.index, p.Shard) {
					h.r.j.Misrouted(p.ID, h.name)
				}
				h.mu.Lock()
				c.arrived[p.ID] = f
				h.mu.Unlock()
				c.schedule(c.inbound, c.d.site, h.site, func() { c.acceptPart(p, f, now, head) })
			}
		case 'X':
			id, now := string(rest), time.Now()
			h.mu.Lock()
			if f := c.arrived[id]; f != nil {
				f.attempt.Finished(now, "")
				delete(c.arrived, id)
			}
			h.mu.Unlock()
			c.schedule(c.inbound, c.d.site, h.site, func() { c.cancelPart(id, now) })
		case 'P':
			c.schedule(c.inbound, c.d.site, h.site, func() { c.sendFrame('P', []byte("ok")) })
		case 'L':
			c.schedule(c.inbound, c.d.site, h.site, func() { c.sendFrame('L', []byte("-")) })
		default:
			c.sendFrame('E', []byte("unknown letter"))
			return
		}
	}
}

// put has a frame go out, after the way back.
func (c *conn) sendFrame(frameType byte, rest []byte) {
	text := frame.Append(nil, frameType, rest)
	c.schedule(c.outbound, c.d.h.site, c.d.site, func() {
		c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.nc.Write(text); err != nil {
			c.reset()
		}
	})
}

func (c *conn) acceptPart(p frame.Part, f *pendingPart, at time.Time, head bool) {
	h := c.d.h
	h.mu.Lock()
	defer h.mu.Unlock()
	up, _ := h.server.Running()
	if c.accepted == nil || !up {
		f.attempt.Finished(time.Now(), "")
		return
	}
	if c.accepted[p.ID] != nil {
		f.attempt.Finished(time.Now(), "")
		c.sendFrame('A', frame.AppendAnswer(nil, frame.Answer{ID: p.ID, Status: "err", LoadReport: "-"}))
		return
	}
	class, _, _ := strings.Cut(p.Text, " ")
	work := h.work[class]
	if work == nil {
		c.sendFrame('E', []byte("a class that nobody asks for"))
		return
	}
	query, rest, _ := strings.Cut(p.ID, "-")
	_, shard, _ := strings.Cut(rest, ".")
	f.job = model.Job{ID: p.ID, Ask: query, Class: class, Shard: p.Shard, Work: work.Of(query, shard), Call: head, Key: h.r.partKey(query, shard), Ran: func(*model.Job) { f.attempt.Ran() },
		Done: func(_ *model.Job, e model.End) { c.finishPart(p, f, e) }}
	if wait := p.TimeoutMS(); wait > 0 {
		f.job.Until = at.Add(time.Duration(wait) * time.Millisecond).Sub(h.r.begin)
	}
	c.accepted[p.ID] = f
	h.r.countPart(query)
	h.server.Take(&f.job)
}

// done is the model's word on a part. Under the lock.
func (c *conn) finishPart(p frame.Part, f *pendingPart, e model.End) {
	if c.accepted[p.ID] != f {
		return
	}
	delete(c.accepted, p.ID)
	if c.arrived[p.ID] == f {
		delete(c.arrived, p.ID)
	}
	a := frame.Answer{ID: p.ID, Status: []string{"ok", "err", "busy"}[e], LoadReport: "-"}
	if e == model.OK {
		a.Score, a.Value = 1, []byte(c.d.h.name+"/"+p.ID)
	}
	f.attempt.Finished(time.Now(), string(a.Value))
	c.sendFrame('A', frame.AppendAnswer(nil, a))
}

func (c *conn) cancelPart(id string, at time.Time) {
	h := c.d.h
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := c.accepted[id]; f != nil {
		delete(c.accepted, id)
		f.attempt.Finished(at, "")
		h.server.GiveUp(&f.job)
	}
}

// way opens or cuts a door's way. Under the lock.
func (d *endpoint) applyNetworkState() error {
	unreachable := d.h.vanishCount > 0 || d.networkCut
	switch {
	case unreachable && d.undoSilence == nil:
		return d.blackhole()
	case !unreachable && d.undoSilence != nil:
		return d.restore()
	}
	return nil
}

func (h *host) close() {
	h.mu.Lock()
	h.closed = true
	for _, d := range h.endpoints {
		for _, undo := range d.undoSilence {
			undo()
		}
		d.undoSilence = nil
		d.stopListening(true)
	}
	h.mu.Unlock()
	h.goroutines.Wait()
}
