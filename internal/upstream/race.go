package upstream

// This file opens connections to a server that has several addresses, or a Unix
// socket. It owns the tries; core/eyeballs has their order. It must never put a part
// on a connection before its address has answered, nor on two: the tries carry a
// probe each and nothing else, and all but the winner are closed with that.

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"saddleport/internal/core/eyeballs"
	"saddleport/internal/frame"
)

const (
	unixPrefix     = eyeballs.UnixPrefix
	defaultStagger = 250 * time.Millisecond // RFC 8305, section 8
)

// race begins a race for a connection. Under b.mu.
func (b *Pool) race(s *server) {
	r := &race{b: b, s: s, Race: eyeballs.New(s.seen.Order(s.addrs, clock()), b.stagger().Microseconds())}
	r.step()
}

func (b *Pool) stagger() time.Duration {
	if b.Stagger > 0 {
		return b.Stagger
	}
	return defaultStagger
}

// begun is where the clock of the addresses' memory starts.
var begun = time.Now()

func clock() eyeballs.Micros { return time.Since(begun).Microseconds() + 1 }

// race is one race. All of it is under b.mu.
type race struct {
	b *Pool
	s *server
	*eyeballs.Race
	timer *time.Timer
	err   error // of the last try that failed
}

// step begins what is due.
func (r *race) step() {
	b := r.b
	for addr, ok := r.Step(clock()); ok; addr, ok = r.Step(clock()) {
		if b.conns >= b.MaxConns && !b.evict() {
			r.err = errors.New("no descriptor left for a connection")
			r.Failed(addr)
			continue
		}
		b.conns++
		b.Exchange.Counters.Dials.Add(1)
		go r.try(addr)
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	if due := r.Due(); due > 0 {
		r.timer = time.AfterFunc(time.Duration(due-clock())*time.Microsecond, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			r.step()
		})
	}
	if r.Finished && r.s.dialing && r.Winner == "" {
		r.s.dialing = false
		b.failWaiting(r.s, r.err)
	}
}

// try opens a connection and has its address answer a probe.
func (r *race) try(addr string) {
	b := r.b
	nc, answers, err := b.greet(addr)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.conns--
		if !r.Finished { // else it may have been cut short
			r.s.seen.RecordFailure(addr, clock())
			log.Warn("address-failed", "server", r.s.name, "addr", addr, "err", err)
		}
		r.err = err
		r.Failed(addr)
		r.step()
		return
	}
	r.s.seen.RecordSuccess(addr, clock())
	if !r.Connected(addr) {
		b.conns--
		nc.Close()
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	r.s.dialing = false
	if !r.s.at(addr) { // it has moved meanwhile
		b.conns--
		nc.Close()
		b.pump(r.s)
		return
	}
	b.add(r.s, &conn{nc: nc, addr: addr, in: answers})
}

// Reachable tells whether a server answers a probe at any of its addresses. What it
// opens for that counts as a connection, and is closed.
func (b *Pool) Reachable(addrs []string) bool {
	for _, addr := range addrs {
		b.mu.Lock()
		room := b.conns < b.MaxConns*3/4
		if room {
			b.conns++
		}
		b.mu.Unlock()
		if !room {
			return false
		}
		nc, _, err := b.greet(addr)
		if err == nil {
			nc.Close()
		}
		b.mu.Lock()
		b.conns--
		b.mu.Unlock()
		if err == nil {
			return true
		}
	}
	return false
}

// greet opens a connection and waits for the answer to a probe, for the dial time in
// all: an address that accepts and then hangs does not get a part.
func (b *Pool) greet(addr string) (net.Conn, *bufio.Reader, error) {
	until := time.Now().Add(b.dial.Timeout)
	network := "tcp"
	if path, local := strings.CutPrefix(addr, unixPrefix); local {
		network, addr = "unix", path
	}
	nc, err := b.dial.Dial(network, addr)
	if err != nil {
		return nil, nil, err
	}
	fail := func(err error) (net.Conn, *bufio.Reader, error) {
		nc.Close()
		return nil, nil, fmt.Errorf("accepted, but a probe: %w", err)
	}
	nc.SetDeadline(until)
	if _, err := nc.Write(frame.Append(nil, 'P', nil)); err != nil {
		return fail(err)
	}
	in := bufio.NewReader(nc)
	switch letter, _, err := frame.Read(in); {
	case err != nil:
		return fail(err)
	case letter != 'P':
		return fail(fmt.Errorf("answered by %q", letter))
	}
	nc.SetDeadline(time.Time{})
	return nc, in, nil
}
