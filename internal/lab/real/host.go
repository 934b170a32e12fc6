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
	writeTime = 5 * time.Second
	mostQueue = 16384 // frames on their way on one connection
)

// clock is a model's Sched in real time: what it fires holds the lock.
type clock struct {
	begin time.Time
	mu    *sync.Mutex
}

func (c clock) Now() time.Duration { return time.Since(c.begin) }

type alarm struct {
	t       *time.Timer
	stopped bool // under the lock
}

func (a *alarm) Stop() bool {
	was := !a.stopped
	a.stopped = true
	return a.t.Stop() && was
}

func (c clock) After(d time.Duration, f func()) model.Timer {
	a := &alarm{}
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
	r    *run
	i    int
	name string
	site int

	mu    sync.Mutex
	s     *model.Server
	work  map[string]*model.Work // a copy: drawing is not safe for concurrent use
	doors []*door                // one for each mixer, so that its site is known
	mutes int                    // faults that keep the machine away
	ended bool
	all   sync.WaitGroup
}

// door is where one mixer reaches a server.
type door struct {
	h     *host
	mixer int
	site  int
	addr  string
	ln    net.Listener
	mute  []func() // undoes what keeps the door from answering
	cut   bool     // the way is cut: nothing comes up
	conns map[*conn]bool
}

// conn is one connection. What is under way has its own goroutines, so that a
// delay holds nobody up.
type conn struct {
	d    *door
	nc   net.Conn
	in   chan later
	out  chan later
	come map[string]*flight // whose frame has come, whether or not the modelled way lets it through
	jobs map[string]*flight // that the server has
	end  sync.Once
	over chan struct{}
}

type later struct {
	at time.Time
	do func()
}

type flight struct {
	job  model.Job
	seen *judge.Attempt
}

// open has a door listen; an address that it had it has again. Under the lock.
func (d *door) open() error {
	if d.ln != nil || d.h.ended {
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
	d.h.all.Add(1)
	go d.serve(ln)
	return nil
}

// shut has a door refuse; what is open is reset, if it is to.
func (d *door) shut(reset bool) {
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
func (d *door) silence() error {
	d.shut(false)
	addr, err := net.ResolveTCPAddr("tcp", d.addr)
	if err != nil {
		return err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	d.mute = append(d.mute, func() { syscall.Close(fd) })
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
			d.mute = append(d.mute, func() { nc.Close() })
		}
	}
	return nil
}

// speak ends the silence; connections of before are reset.
func (d *door) speak() error {
	for _, undo := range d.mute {
		undo()
	}
	d.mute = nil
	for c := range d.conns {
		c.reset()
	}
	if up, _ := d.h.s.Running(); !up {
		return nil
	}
	return d.open()
}

func (d *door) serve(ln net.Listener) {
	defer d.h.all.Done()
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
		c := &conn{d: d, nc: nc, in: make(chan later, mostQueue), out: make(chan later, mostQueue), jobs: make(map[string]*flight), come: make(map[string]*flight), over: make(chan struct{})}
		h.mu.Lock()
		if d.ln != ln {
			h.mu.Unlock()
			c.reset()
			continue
		}
		d.conns[c] = true
		h.s.Handshake()
		h.all.Add(3)
		h.mu.Unlock()
		go c.read()
		go c.flow(c.in)
		go c.flow(c.out)
	}
}

// reset ends a connection as a process that dies does.
func (c *conn) reset() {
	c.end.Do(func() {
		if tcp, ok := c.nc.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.nc.Close()
		close(c.over)
	})
}

// gone gives up what a connection that has ended left behind.
func (c *conn) gone() {
	h := c.d.h
	c.reset()
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(c.d.conns, c)
	for _, f := range c.come {
		f.seen.Finished(time.Now(), "")
	}
	for _, f := range c.jobs {
		h.s.GiveUp(&f.job)
	}
	c.jobs, c.come = nil, nil
}

// flow lets things happen when they are due, in order.
func (c *conn) flow(ch chan later) {
	defer c.d.h.all.Done()
	for {
		select {
		case <-c.over:
			return
		case l := <-ch:
			if wait := time.Until(l.at); wait > 0 {
				select {
				case <-c.over:
					return
				case <-time.After(wait):
				}
			}
			l.do()
		}
	}
}

// carry has something arrive after the way between two sites; a cut way loses it.
func (c *conn) carry(ch chan later, from, to int, do func()) {
	d, ok := c.d.h.r.delay(from, to)
	if !ok || c.d.h.muted() {
		return
	}
	select {
	case ch <- later{time.Now().Add(d), do}:
	default:
		c.d.h.r.fail("the queue of a connection to %s is full", c.d.h.name)
		c.reset()
	}
}

func (h *host) muted() bool { return h.r.muted[h.i].Load() > 0 }

func (c *conn) read() {
	defer c.d.h.all.Done()
	defer c.gone()
	r := bufio.NewReader(c.nc)
	h := c.d.h
	for {
		letter, rest, err := frame.Read(r)
		if err != nil {
			return
		}
		switch letter {
		case 'Q':
			parts, err := frame.ParseParts(rest)
			if err != nil {
				c.put('E', []byte(err.Error()))
				return
			}
			for n, p := range parts {
				now, head := time.Now(), n%max(h.r.plan.Settings.Bundle, 1) == 0
				f := &flight{seen: h.r.j.ArrivedFrom(c.d.mixer, p.ID, h.name, now)}
				if !h.r.plan.Holds(h.i, p.Shard) {
					h.r.j.Misrouted(p.ID, h.name)
				}
				h.mu.Lock()
				c.come[p.ID] = f
				h.mu.Unlock()
				c.carry(c.in, c.d.site, h.site, func() { c.take(p, f, now, head) })
			}
		case 'X':
			id, now := string(rest), time.Now()
			h.mu.Lock()
			if f := c.come[id]; f != nil {
				f.seen.Finished(now, "")
				delete(c.come, id)
			}
			h.mu.Unlock()
			c.carry(c.in, c.d.site, h.site, func() { c.giveUp(id, now) })
		case 'P':
			c.carry(c.in, c.d.site, h.site, func() { c.put('P', []byte("ok")) })
		case 'L':
			c.carry(c.in, c.d.site, h.site, func() { c.put('L', []byte("-")) })
		default:
			c.put('E', []byte("unknown letter"))
			return
		}
	}
}

// put has a frame go out, after the way back.
func (c *conn) put(letter byte, rest []byte) {
	text := frame.Append(nil, letter, rest)
	c.carry(c.out, c.d.h.site, c.d.site, func() {
		c.nc.SetWriteDeadline(time.Now().Add(writeTime))
		if _, err := c.nc.Write(text); err != nil {
			c.reset()
		}
	})
}

func (c *conn) take(p frame.Part, f *flight, at time.Time, head bool) {
	h := c.d.h
	h.mu.Lock()
	defer h.mu.Unlock()
	up, _ := h.s.Running()
	if c.jobs == nil || !up {
		f.seen.Finished(time.Now(), "")
		return
	}
	if c.jobs[p.ID] != nil {
		f.seen.Finished(time.Now(), "")
		c.put('A', frame.AppendAnswer(nil, frame.Answer{ID: p.ID, Status: "err", LoadReport: "-"}))
		return
	}
	class, _, _ := strings.Cut(p.Text, " ")
	work := h.work[class]
	if work == nil {
		c.put('E', []byte("a class that nobody asks for"))
		return
	}
	ask, rest, _ := strings.Cut(p.ID, "-")
	_, shard, _ := strings.Cut(rest, ".")
	f.job = model.Job{ID: p.ID, Ask: ask, Class: class, Shard: p.Shard, Work: work.Of(ask, shard), Call: head, Key: h.r.key(ask, shard), Ran: func(*model.Job) { f.seen.Ran() },
		Done: func(_ *model.Job, e model.End) { c.done(p, f, e) }}
	if wait := p.TimeoutMS(); wait > 0 {
		f.job.Until = at.Add(time.Duration(wait) * time.Millisecond).Sub(h.r.begin)
	}
	c.jobs[p.ID] = f
	h.r.count(ask)
	h.s.Take(&f.job)
}

// done is the model's word on a part. Under the lock.
func (c *conn) done(p frame.Part, f *flight, e model.End) {
	if c.jobs[p.ID] != f {
		return
	}
	delete(c.jobs, p.ID)
	if c.come[p.ID] == f {
		delete(c.come, p.ID)
	}
	a := frame.Answer{ID: p.ID, Status: []string{"ok", "err", "busy"}[e], LoadReport: "-"}
	if e == model.OK {
		a.Score, a.Value = 1, []byte(c.d.h.name+"/"+p.ID)
	}
	f.seen.Finished(time.Now(), string(a.Value))
	c.put('A', frame.AppendAnswer(nil, a))
}

func (c *conn) giveUp(id string, at time.Time) {
	h := c.d.h
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := c.jobs[id]; f != nil {
		delete(c.jobs, id)
		f.seen.Finished(at, "")
		h.s.GiveUp(&f.job)
	}
}

// way opens or cuts a door's way. Under the lock.
func (d *door) way() error {
	silent := d.h.mutes > 0 || d.cut
	switch {
	case silent && d.mute == nil:
		return d.silence()
	case !silent && d.mute != nil:
		return d.speak()
	}
	return nil
}

func (h *host) close() {
	h.mu.Lock()
	h.ended = true
	for _, d := range h.doors {
		for _, undo := range d.mute {
			undo()
		}
		d.mute = nil
		d.shut(true)
	}
	h.mu.Unlock()
	h.all.Wait()
}
