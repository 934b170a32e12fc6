package downstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// SlowLane keeps callers that read or send slowly to a bounded part of the connections, a
// lane of their own: they may fill that one, and no other caller waits for room. Who is
// slow is told from outside. It must never end a connection that has a request in hand.
type SlowLane struct {
	MaxConns int // connections that all slow callers together may have
	// Observe is told how long a caller's part of a turn took: its request to come in or its
	// answer to go out, whichever was longer. It must not block.
	Observe func(caller string, took time.Duration)

	Rejected atomic.Int64 // connections ended unread, for the lane was full
	mu       sync.Mutex
	apart    map[string]bool
	conns    map[string]int // by caller
	all      int
	in       int // connections in the lane
}

const (
	heldTime = 250 * time.Millisecond // a write that is not over by then is held up by its caller
	laneTime = 10 * time.Second       // for an answer to a slow caller that keeps to its lane: it is told of within that again
)

// mostOfAll is the part of all connections from which a caller is never set apart: it is
// no one caller, or there is nobody to be held up by it.
const mostOfAll = 3 // one in so many

// SetSlow says which callers are slow. One that most of the traffic comes from is left.
func (l *SlowLane) SetSlow(callers map[string]bool) (taken int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apart, l.in = make(map[string]bool, len(callers)), 0
	for name := range callers {
		if n := l.conns[name]; n*mostOfAll > l.all && len(l.conns) < mostOfAll {
			continue
		}
		l.apart[name] = true
		l.in += l.conns[name]
	}
	return len(l.apart)
}

// InUse counts the connections in the lane.
func (l *SlowLane) InUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.in
}

// enter takes a connection; false: it is a slow caller's, and the lane is full.
func (l *SlowLane) enter(c *Conn) bool {
	if l == nil {
		return true
	}
	c.caller, _, _ = net.SplitHostPort(c.nc.RemoteAddr().String())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.apart[c.caller] {
		if l.in >= l.MaxConns {
			l.Rejected.Add(1)
			return false
		}
		l.in++
	}
	if l.conns == nil {
		l.conns = make(map[string]int)
	}
	l.conns[c.caller]++
	l.all++
	return true
}

func (l *SlowLane) leave(c *Conn) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.apart[c.caller] {
		l.in--
	}
	if l.conns[c.caller]--; l.conns[c.caller] <= 0 {
		delete(l.conns, c.caller)
	}
	l.all--
}

func (l *SlowLane) slow(c *Conn) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.apart[c.caller]
}

// crowded tells whether a connection is one too many of the lane's: it ends with its answer.
func (l *SlowLane) crowded(c *Conn) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.in > l.MaxConns && l.apart[c.caller]
}

// within is the time that an answer may take that is held up: in the lane there is time.
func (l *SlowLane) within(c *Conn) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.apart[c.caller] && l.in <= l.MaxConns {
		return laneTime
	}
	return writeTime
}

// took tells of a turn whose answer began to go out then.
func (l *SlowLane) took(c *Conn, begun time.Time) {
	if l != nil && l.Observe != nil {
		l.Observe(c.caller, max(c.inTook, time.Since(begun)))
	}
}
