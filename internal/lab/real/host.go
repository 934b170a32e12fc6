package real

// This file serves an emulated server on loopback sockets. It translates between the
// platform's frames and the server model, with the delays of the modelled network.

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
	maxQueue     = 16384 // frames in transit on one connection, per direction
)

// clock is a model's Sched in real time. Its timers run their functions under mu.
type clock struct {
	start time.Time
	mu    *sync.Mutex
}

func (c clock) Now() time.Duration { return time.Since(c.start) }

type clockTimer struct {
	t       *time.Timer
	stopped bool // guarded by the clock's mu
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

// host is one server. mu guards the model, the endpoints and the connections.
type host struct {
	r     *run
	index int
	name  string
	site  int

	mu          sync.Mutex
	server      *model.Server
	work        map[string]*model.Work // a copy per host: drawing from it is not safe for concurrent use
	endpoints   []*endpoint            // one for each proxy, so that the proxy's site is known
	vanishCount int                    // faults in force that make the machine vanish
	closed      bool
	goroutines  sync.WaitGroup
}

// endpoint is the address at which one proxy reaches a server.
type endpoint struct {
	h           *host
	proxy       int
	site        int
	addr        string
	ln          net.Listener
	undoSilence []func() // ends the state that blackhole set up; nil: the endpoint is not silent
	networkCut  bool     // the modelled network drops everything between the two sites
	conns       map[*conn]bool
}

// conn is one connection. Each direction has a goroutine that delivers delayed frames,
// so that a delay does not block reading.
type conn struct {
	d         *endpoint
	nc        net.Conn
	inbound   chan delayed
	outbound  chan delayed
	arrived   map[string]*pendingPart // by part ID: parts whose frame arrived, even if the modelled network drops it
	accepted  map[string]*pendingPart // by part ID: parts that the server has accepted
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

// listen opens the endpoint's listener, at its previous address if it had one. The
// caller holds host.mu.
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

// stopListening makes the endpoint refuse connections, and with reset it resets the
// open ones.
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

// blackhole makes the endpoint neither answer nor refuse, like a machine that has
// vanished: the listen queue is full, so the system drops further connection requests.
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
	for range 2 { // the system queues some connections despite a backlog of 0
		if nc, err := net.DialTimeout("tcp", d.addr, 50*time.Millisecond); err == nil {
			d.undoSilence = append(d.undoSilence, func() { nc.Close() })
		}
	}
	return nil
}

// restore undoes blackhole: it resets the old connections and listens again if the
// server's process runs.
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

// reset closes the connection with a TCP reset, as when its process crashes.
func (c *conn) reset() {
	c.closeOnce.Do(func() {
		if tcp, ok := c.nc.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.nc.Close()
		close(c.closed)
	})
}

// cleanUp cancels the parts of a connection that has ended.
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
		h.server.Cancel(&f.job)
	}
	c.accepted, c.arrived = nil, nil
}

// deliver runs the entries of ch in order, each when it is due.
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

// schedule queues do to run after the network delay between two sites. If the network
// between them is cut or the server has vanished, it drops do.
func (c *conn) schedule(ch chan delayed, from, to int, do func()) {
	d, ok := c.d.h.r.networkDelay(from, to)
	if !ok || c.d.h.vanished() {
		return
	}
	select {
	case ch <- delayed{time.Now().Add(d), do}:
	default:
		c.d.h.r.recordFault("the frame queue of a connection to %s is full", c.d.h.name)
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
				now, head := time.Now(), n%max(h.r.plan.Settings.MaxPartsPerCall, 1) == 0
				f := &pendingPart{attempt: h.r.j.ArrivedFrom(c.d.proxy, p.ID, h.name, now)}
				if !h.r.plan.HasShard(h.index, p.Shard) {
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

// sendFrame sends a frame after the network delay back to the proxy.
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
		c.sendFrame('E', []byte("unknown class"))
		return
	}
	query, rest, _ := strings.Cut(p.ID, "-")
	_, shard, _ := strings.Cut(rest, ".")
	f.job = model.Job{ID: p.ID, Request: query, Class: class, Shard: p.Shard, Work: work.Of(query, shard), FirstOfCall: head, Key: h.r.partKey(query, shard), OnRun: func(*model.Job) { f.attempt.Ran() },
		Done: func(_ *model.Job, e model.End) { c.finishPart(p, f, e) }}
	if wait := p.TimeoutMS(); wait > 0 {
		f.job.Deadline = at.Add(time.Duration(wait) * time.Millisecond).Sub(h.r.begin)
	}
	c.accepted[p.ID] = f
	h.r.countPart(query)
	h.server.Submit(&f.job)
}

// finishPart answers a part with the model's result. The caller holds host.mu.
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
		h.server.Cancel(&f.job)
	}
}

// applyNetworkState makes the endpoint silent or reachable, as the faults in force
// require. The caller holds host.mu.
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
