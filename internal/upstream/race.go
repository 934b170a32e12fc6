package upstream

// This file opens connections to a server that has several addresses, or a Unix socket. It
// makes the connection attempts; core/eyeballs decides their order. It must never put a part
// on a connection before its address has answered a probe, nor put a part on two connections:
// each connection attempt sends one probe and nothing else. The first connection whose probe is
// answered wins; all others are closed.

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

// startRace begins a race between the addresses of a server. p.mu must be locked.
func (p *Pool) startRace(s *server) {
	r := &race{pool: p, server: s, Race: eyeballs.New(s.addrHistory.Order(s.addrs, clock()), p.stagger().Microseconds())}
	r.step()
}

// stagger returns the delay between connection attempts to the addresses of a server.
func (p *Pool) stagger() time.Duration {
	if p.Stagger > 0 {
		return p.Stagger
	}
	return defaultStagger
}

// clockStart is the origin of clock.
var clockStart = time.Now()

// clock returns the time for races and address histories, in microseconds. It is never 0.

func clock() eyeballs.Micros { return time.Since(clockStart).Microseconds() + 1 }

// race is a race between connection attempts to the addresses of one server. pool.mu guards it.
type race struct {
	pool   *Pool
	server *server
	*eyeballs.Race
	timer *time.Timer
	err   error // of the last attempt that failed
}

// step starts the attempts that are due and sets the timer for the next one. If every attempt
// has failed, it ends the calls that wait for the connection. pool.mu must be locked.
func (r *race) step() {
	p := r.pool
	for addr, ok := r.Step(clock()); ok; addr, ok = r.Step(clock()) {
		if p.conns >= p.MaxConns && !p.evictIdle() {
			r.err = errors.New("no descriptor left for a connection")
			r.Failed(addr)
			continue
		}
		p.conns++
		p.Exchange.Counters.Dials.Add(1)
		go r.connect(addr)
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	if due := r.Due(); due > 0 {
		r.timer = time.AfterFunc(time.Duration(due-clock())*time.Microsecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			r.step()
		})
	}
	if r.Finished && r.server.dialing && r.Winner == "" {
		r.server.dialing = false
		p.failWaitingCalls(r.server, r.err)
	}
}

// connect opens a connection to an address, waits for the answer to a probe and records the
// result in the race. It adds the connection to the pool if it has won the race, and closes it
// otherwise.
func (r *race) connect(addr string) {
	p := r.pool
	nc, reader, err := p.dialAndProbe(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.conns--
		if !r.Finished { // after the end of the race, the attempt may have been interrupted: that is no fault of the address
			r.server.addrHistory.RecordFailure(addr, clock())
			log.Warn("address-failed", "server", r.server.name, "addr", addr, "err", err)
		}
		r.err = err
		r.Failed(addr)
		r.step()
		return
	}
	r.server.addrHistory.RecordSuccess(addr, clock())
	if !r.Connected(addr) {
		p.conns--
		nc.Close()
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	r.server.dialing = false
	if !r.server.hasAddr(addr) { // the server's addresses changed during the race
		p.conns--
		nc.Close()
		p.assignWaiting(r.server)
		return
	}
	p.addConn(r.server, &conn{nc: nc, addr: addr, reader: reader})
}

// Reachable reports whether a server answers a probe at any of its addresses. The connections
// that it opens for that count towards MaxConns and are closed afterwards. It reports false
// without dialing if three quarters of MaxConns are in use.
func (p *Pool) Reachable(addrs []string) bool {
	for _, addr := range addrs {
		p.mu.Lock()
		free := p.conns < p.MaxConns*3/4
		if free {
			p.conns++
		}
		p.mu.Unlock()
		if !free {
			return false
		}
		nc, _, err := p.dialAndProbe(addr)
		if err == nil {
			nc.Close()
		}
		p.mu.Lock()
		p.conns--
		p.mu.Unlock()
		if err == nil {
			return true
		}
	}
	return false
}

// dialAndProbe opens a connection and waits for the answer to a probe, both within one dial
// timeout, so that an address that accepts connections but never answers gets no part.
func (p *Pool) dialAndProbe(addr string) (net.Conn, *bufio.Reader, error) {
	until := time.Now().Add(p.dial.Timeout)
	network := "tcp"
	if path, local := strings.CutPrefix(addr, unixPrefix); local {
		network, addr = "unix", path
	}
	nc, err := p.dial.Dial(network, addr)
	if err != nil {
		return nil, nil, err
	}
	fail := func(err error) (net.Conn, *bufio.Reader, error) {
		nc.Close()
		return nil, nil, fmt.Errorf("the address accepted a connection, but its probe failed: %w", err)
	}
	nc.SetDeadline(until)
	if _, err := nc.Write(frame.Append(nil, 'P', nil)); err != nil {
		return fail(err)
	}
	reader := bufio.NewReader(nc)
	switch kind, _, err := frame.Read(reader); {
	case err != nil:
		return fail(err)
	case kind != 'P':
		return fail(fmt.Errorf("the answer has frame type %q", kind))
	}
	nc.SetDeadline(time.Time{})
	return nc, reader, nil
}
