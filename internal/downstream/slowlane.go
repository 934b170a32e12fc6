package downstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// SlowLane limits callers that read or send slowly to a bounded number of connections. Slow
// callers can then use up only these, and no other caller has to wait for a free connection. A
// caller is a client IP address. The user of this package decides which callers are slow and
// sets them with SetSlow. SlowLane must never close a connection that has a request in flight. A nil
// *SlowLane admits every connection and treats no caller as slow.
type SlowLane struct {
	MaxConns int // connections that all slow callers together may have
	// Observe receives how long the caller took to send a request or to accept its response,
	// whichever was longer. It must not block.
	Observe func(caller string, took time.Duration)

	Rejected      atomic.Int64 // connections closed unread because the lane was full
	mu            sync.Mutex
	slow          map[string]bool // the slow callers
	connsByCaller map[string]int  // open connections by caller
	conns         int             // open connections of all callers
	slowConns     int             // connections in the lane, that is, of slow callers
}

const (
	slowWriteAfter   = 250 * time.Millisecond // a write that has not completed by then is blocked by its caller
	slowWriteTimeout = 10 * time.Second       // for a response to a slow caller while the lane is within its limit; the write is reported to Observe again at its end
)

// exemptDivisor exempts a caller from the slow lane if, when SetSlow is called, the caller has
// more than 1/exemptDivisor of all connections and fewer than exemptDivisor callers are
// connected. Such an address stands for more than one client, or there is no other caller that
// it could block.
const exemptDivisor = 3

// SetSlow replaces the set of slow callers and returns the number of callers in the new set.
// Callers that are exempt (exemptDivisor) are left out of it.
func (l *SlowLane) SetSlow(callers map[string]bool) (size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow, l.slowConns = make(map[string]bool, len(callers)), 0
	for name := range callers {
		if n := l.connsByCaller[name]; n*exemptDivisor > l.conns && len(l.connsByCaller) < exemptDivisor {
			continue
		}
		l.slow[name] = true
		l.slowConns += l.connsByCaller[name]
	}
	return len(l.slow)
}

// InUse returns the number of connections in the lane.
func (l *SlowLane) InUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slowConns
}

// admit counts a new connection. It reports false if the caller is slow and the lane is full.
func (l *SlowLane) admit(c *Conn) bool {
	if l == nil {
		return true
	}
	c.caller, _, _ = net.SplitHostPort(c.nc.RemoteAddr().String())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slow[c.caller] {
		if l.slowConns >= l.MaxConns {
			l.Rejected.Add(1)
			return false
		}
		l.slowConns++
	}
	if l.connsByCaller == nil {
		l.connsByCaller = make(map[string]int)
	}
	l.connsByCaller[c.caller]++
	l.conns++
	return true
}

// release removes a closed connection from the counts.
func (l *SlowLane) release(c *Conn) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slow[c.caller] {
		l.slowConns--
	}
	if l.connsByCaller[c.caller]--; l.connsByCaller[c.caller] <= 0 {
		delete(l.connsByCaller, c.caller)
	}
	l.conns--
}

// isSlow reports whether a connection belongs to a slow caller.
func (l *SlowLane) isSlow(c *Conn) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slow[c.caller]
}

// overLimit reports whether a connection is in the lane while the lane has more than MaxConns
// connections. Such a connection closes after its response.
func (l *SlowLane) overLimit(c *Conn) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slowConns > l.MaxConns && l.slow[c.caller]
}

// writeTimeout returns the timeout of a response whose write is blocked. It is longer in the
// lane, unless the lane is over its limit.
func (l *SlowLane) writeTimeout(c *Conn) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slow[c.caller] && l.slowConns <= l.MaxConns {
		return slowWriteTimeout
	}
	return writeTimeout
}

// observe reports to Observe how long the caller took to send its last request or to accept the
// response whose write began at begun, whichever was longer.
func (l *SlowLane) observe(c *Conn, begun time.Time) {
	if l != nil && l.Observe != nil {
		l.Observe(c.caller, max(c.readTook, time.Since(begun)))
	}
}
