// Package upstream is the client side of the proxy: it owns the connections to leaf servers,
// the frames on them, and the addresses of those servers. It carries out what the exchange
// asks for and reports how each attempt ended. It must never decide which server a part goes
// to, send a part twice, start anything on a server whose drain grace period is over, or let
// one unresponsive server block another.
//
// This file holds the pool of connections; race.go opens connections to a server that has
// several addresses.
package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"saddleport/choice"
	"saddleport/internal/core/eyeballs"
	"saddleport/internal/exchange"
	"saddleport/internal/frame"
	"saddleport/internal/logs"
	"saddleport/internal/settings"
	"saddleport/internal/source/targets"
)

const (
	writeTimeout          = time.Second            // a write that takes longer ends its connection
	probeTimeout          = time.Second            // a probe that takes longer has failed
	maxLiveConns          = 4                      // connections to one server that accept calls
	spreadConns           = 2                      // while fewer are live, a call that must share a connection opens another one
	maxConnsPerServer     = 12                     // including unresponsive connections that still have calls in flight
	maxUnanswered         = 3                      // calls in a row that ended without an answer before their time, after which a connection may count as unresponsive (noteUnanswered)
	drainMargin           = 500 * time.Millisecond // no call starts on a server within this time before its drain grace period ends
	cancelledAnswerWindow = 30 * time.Second       // how long the answer to a part may still arrive after its cancellation was written
	duplicateAnswerWindow = 2 * time.Second        // how long a duplicate of an answer may still arrive after the first one
	sweepInterval         = 500 * time.Millisecond
	defaultDialTimeout    = 250 * time.Millisecond // if the settings give none
	maxDialBackoff        = 2 * time.Second        // the longest pause between dials to a server whose dials fail
	idleFraction          = 0.9                    // an idle connection is closed after this fraction of the servers' idle timeout, so that the proxy closes it before the server does
)

var log = logs.For("back")

// Config configures a Pool.
type Config struct {
	Exchange *exchange.Exchange
	Settings settings.Settings
	List     Lister        // source of the list of servers
	Stagger  time.Duration // delay between connection attempts to a server's addresses; 0: 250 ms
	MaxConns int           // open leaf connections, including those being opened
}

// Lister is the source of the list of servers. It passes lists to Pool.UpdateList and reports
// calls that failed to Pool.FetchFailed.
type Lister interface {
	Watch(on bool)            // starts or stops watching for changes of the list
	Fetch()                   // requests the complete list once
	Run(stop <-chan struct{}) // calls the source until stop is closed
}

// Pool holds the connections to all leaf servers. It implements exchange.Upstream.
type Pool struct {
	Config
	dial net.Dialer

	mu      sync.Mutex
	servers map[string]*server
	calls   map[*exchange.Attempt]*call
	conns   int // open or being opened

	// While a batch of calls is assigned (batchSends): the connection that was chosen last for
	// the batch's calls to each server. Otherwise nil.
	batchConns map[*server]*conn
}

type server struct {
	name        string
	addrs       []string  // logs name the first one
	drainedAt   time.Time // from this time on no call may start; zero: the server is not draining
	conns       []*conn
	waiting     []*call          // calls without a connection
	dialing     bool             // one connection is being dialed, or a race is in progress
	addrHistory eyeballs.History // which addresses worked and failed, if the server has several
	// After failed dials, no connection is dialed before dialNotBefore.
	dialNotBefore time.Time
	dialFailures  int // failed dials in a row
}

func (s *server) addr() string {
	if len(s.addrs) == 0 {
		return ""
	}
	return s.addrs[0]
}

// hasAddr reports whether addr is one of the server's current addresses.
func (s *server) hasAddr(addr string) bool { return slices.Contains(s.addrs, addr) }

type callState int

const (
	callWaiting callState = iota // the call waits for a connection
	callQueued                   // the call is in the queue of a connection; its frame has not been begun
	callWriting                  // its frame is being written
	callSent                     // its frame has been written completely
)

// call is a frame that expects an answer: an attempt or, with a nil attempt, a probe.
type call struct {
	attempt   *exchange.Attempt
	server    *server
	conn      *conn
	state     callState
	begun     time.Time // when Send or Probe was called
	sentAt    time.Time // when its frame had been written completely
	cancelled bool
	verdict   choice.Verdict // if cancelled: how the call ends once the cancellation is written
	done      bool
}

// message is a call in the write queue of a connection, with the type of the frame to write.
type message struct {
	kind byte // 'Q': an attempt; 'X': the cancellation of one; 'P': a probe; 'L': a probe, if the settings set PullReports
	call *call
}

type conn struct {
	pool     *Pool
	server   *server
	nc       net.Conn
	addr     string
	reader   *bufio.Reader // reader that has read the answer to the probe of a race; nil: the connection comes from no race
	wake     *sync.Cond    // signalled when queue or closed changes
	queue    []message
	calls    map[string]*call     // attempts by part id, until they end or their cancellation is written
	ended    map[string]time.Time // by id of a part that ended on this connection: until when an answer to it may still arrive
	probes   []*call              // probes without an answer, in the order of their frames
	lastUsed time.Time            // when a frame was last written or a complete answer last arrived

	lastAnswerAt time.Time // when the last complete answer arrived; before the first one, when the connection was added
	unanswered   int       // calls sent after lastAnswerAt that ended without an answer
	unresponsive bool      // the connection accepts no new calls

	closed    bool
	malformed bool // it was closed because of a malformed answer
}

// New returns a pool that knows no server yet.
func New(cfg Config) *Pool {
	p := &Pool{Config: cfg, servers: make(map[string]*server), calls: make(map[*exchange.Attempt]*call)}
	p.dial.Timeout = time.Duration(cfg.Settings.DialTimeout) * time.Microsecond
	if p.dial.Timeout <= 0 {
		p.dial.Timeout = defaultDialTimeout
	}
	return p
}

// Run maintains the connections and runs the lister until stop is closed.
func (p *Pool) Run(stop <-chan struct{}) {
	go p.List.Run(stop)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, s := range p.servers {
				for _, c := range slices.Clone(s.conns) {
					c.closeWith(nil)
				}
			}
			return
		case <-tick.C:
			p.sweep()
		}
	}
}

// ---- Requests of the exchange.

// Send starts the attempts.
func (p *Pool) Send(attempts []*exchange.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.batchSends()()
	for _, a := range attempts {
		k := &call{attempt: a, server: p.servers[a.Server], begun: time.Now()}
		p.calls[a] = k
		p.assign(k)
	}
}

// Cancel cancels an attempt: at once if its frame has not been begun, otherwise once the
// cancellation has been written to the server.
func (p *Pool) Cancel(a *exchange.Attempt, v choice.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.calls[a]
	if k == nil || k.cancelled {
		return
	}
	k.cancelled, k.verdict = true, v
	switch k.state {
	case callWaiting, callQueued:
		if v == choice.NoAnswer { // never sent, so it has not run
			v = choice.NotSent
		}
		p.finish(k, v, nil, "")
	case callSent:
		k.conn.enqueue(message{'X', k})
	}
}

// Probe sends a probe to a server.
func (p *Pool) Probe(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := &call{server: p.servers[name], begun: time.Now()}
	if k.server == nil {
		p.Exchange.ProbeEnded(name, 0, choice.NotSent, nil)
		return
	}
	p.assign(k)
	time.AfterFunc(probeTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.finish(k, choice.NoAnswer, nil, "")
	})
}

// Release closes the idle connections to a server.
func (p *Pool) Release(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil {
		for _, c := range slices.Clone(s.conns) {
			if c.idle() {
				c.closeWith(nil)
			}
		}
	}
}

// Watch starts or stops watching the list.
func (p *Pool) Watch(on bool) { p.List.Watch(on) }

// Fetch requests the complete list once.
func (p *Pool) Fetch() { p.List.Fetch() }

// ---- The list of servers.

// FetchFailed implements targets.Receiver: it reports to the exchange that a list could not be
// fetched.
func (p *Pool) FetchFailed() {
	p.Exchange.Counters.ListFails.Add(1)
	p.Exchange.UpdateServers(choice.List{Form: choice.Failed})
}

// UpdateList implements targets.Receiver: it updates the addresses and the draining state of
// the servers and passes the list to the exchange. A server that a full list does not name is
// draining.
func (p *Pool) UpdateList(list choice.List, addrs targets.Addrs) {
	if list.Form != choice.Cached {
		p.Exchange.Counters.Lists.Add(1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	named := make(map[string]bool, len(list.Servers))
	for _, row := range list.Servers {
		named[row.ID] = true
		s := p.servers[row.ID]
		if s == nil {
			s = &server{name: row.ID}
			p.servers[row.ID] = s
		}
		if a := addrs[row.ID]; len(a) > 0 && a[0] != "" {
			s.addrs = a
		}
		p.updateDrain(s, row.State == choice.Ready, list.Since)
	}
	if list.Form != choice.Delta {
		for name, s := range p.servers {
			if !named[name] {
				p.updateDrain(s, false, list.Since)
			}
		}
	}
	for name, s := range p.servers { // removed from the list, drained, and without calls or connections
		if s.drained() && !named[name] && len(s.conns) == 0 && len(s.waiting) == 0 && !s.dialing {
			delete(p.servers, name)
		}
	}
	if len(list.Servers) > 0 || list.Form != choice.Delta {
		log.Info("list", "form", int(list.Form), "version", list.Version, "entries", len(list.Servers))
	}
	p.Exchange.UpdateServers(list)
}

// updateDrain sets drainedAt, the time from which no call may start on a server. For a ready
// server it is zero. For any other server it is drainMargin before the end of the drain grace
// period. That period may have begun up to since microseconds ago.
func (p *Pool) updateDrain(s *server, ready bool, since choice.Micros) {
	if ready {
		s.drainedAt = time.Time{}
	} else if s.drainedAt.IsZero() {
		grace := time.Duration(p.Settings.Router.DrainGrace) * time.Microsecond
		s.drainedAt = time.Now().Add(max(grace-drainMargin-time.Duration(since)*time.Microsecond, 0))
	}
}

// ---- Helpers that require p.mu.

// assign assigns a call to a connection. If no connection can take the call, assign puts it in
// the waiting queue of the server and opens a connection. A connection on which the same part
// is in flight or has ended is skipped: a late answer to the earlier call would be taken for
// the answer to this one.
func (p *Pool) assign(k *call) {
	s := k.server
	if s == nil || s.drained() {
		p.finish(k, choice.NotSent, nil, "")
		return
	}
	// The connection with the fewest calls is used. A connection that becomes unresponsive, or is
	// closed because of a malformed answer, then loses few calls, and the answers on the other
	// connections show the routing decisions (package choice) that the server is healthy.
	var best *conn
	live, batched := 0, p.batchConns[s] // parts sent together use one connection, to share a frame
	for _, c := range s.conns {
		if c.unresponsive || !s.hasAddr(c.addr) || p.Settings.StreamsPerConn > 0 && len(c.calls) >= p.Settings.StreamsPerConn {
			continue
		}
		live++
		if k.attempt != nil {
			if _, ended := c.ended[k.attempt.PartID]; ended || c.calls[k.attempt.PartID] != nil {
				continue
			}
		}
		if best == nil || c == batched || best != batched && len(c.calls) < len(best.calls) {
			best = c
		}
	}
	if best != nil {
		if p.batchConns != nil {
			p.batchConns[s] = best
		}
		if best != batched && len(best.calls) > 0 && live < spreadConns && p.conns < p.MaxConns*3/4 {
			// The connection is for later calls. The last quarter of MaxConns is left for
			// servers that have no connection.
			p.openConn(s)
		}
		kind := byte('P')
		if p.Settings.PullReports {
			kind = 'L'
		}
		if k.attempt != nil {
			kind = 'Q'
			best.calls[k.attempt.PartID] = k
		}
		k.conn, k.state = best, callQueued
		best.enqueue(message{kind, k})
		return
	}
	k.conn, k.state = nil, callWaiting
	s.waiting = append(s.waiting, k)
	p.openConn(s)
}

func (s *server) drained() bool { return !s.drainedAt.IsZero() && !time.Now().Before(s.drainedAt) }

// openConn dials a connection to a server, unless one is being dialed or the server has
// maxLiveConns live connections or maxConnsPerServer in all. In these cases the waiting calls
// wait until a connection can take them. If the server has no live connection and its last dial
// failed recently, the waiting calls fail at once. They also fail if the server has no connection,
// MaxConns is reached and no idle connection to any server can be closed.
func (p *Pool) openConn(s *server) {
	live := 0
	for _, c := range s.conns {
		if !c.unresponsive {
			live++
		}
	}
	if s.dialing || live >= maxLiveConns || len(s.conns) >= maxConnsPerServer {
		return
	}
	if live == 0 && time.Now().Before(s.dialNotBefore) {
		// The last dial to the server has just failed. The waiting calls fail at once for lack of
		// a connection, rather than after another dial timeout (docs/results/standing.md, zone).
		p.failUnconnected(s)
		return
	}
	if p.conns >= p.MaxConns && !p.evictIdle() {
		if len(s.conns) == 0 {
			p.failWaitingCalls(s, errors.New("no descriptor left for a connection"))
		}
		return
	}
	s.dialing = true
	if len(s.addrs) > 1 || strings.HasPrefix(s.addr(), unixPrefix) {
		p.startRace(s)
		return
	}
	p.conns++
	p.Exchange.Counters.Dials.Add(1)
	go p.dialConn(s, s.addr())
}

// evictIdle closes the leaf connection that has been idle longest. It reports whether there
// was an idle connection.
func (p *Pool) evictIdle() bool {
	var oldest *conn
	for _, s := range p.servers {
		for _, c := range s.conns {
			if c.idle() && (oldest == nil || c.lastUsed.Before(oldest.lastUsed)) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.closeWith(nil)
	}
	return oldest != nil
}

// failWaitingCalls ends the calls that wait for a connection to s after it could not be opened.
func (p *Pool) failWaitingCalls(s *server, err error) {
	p.Exchange.Counters.DialFails.Add(1)
	log.Warn("dial-failed", "server", s.name, "addr", s.addr(), "waiting", len(s.waiting), "err", err)
	p.failUnconnected(s)
}

// failUnconnected ends the calls that wait for a connection to s. They have not run.
func (p *Pool) failUnconnected(s *server) {
	failed := s.waiting
	s.waiting = nil
	for _, k := range failed {
		p.finish(k, choice.NoConnection, nil, "")
	}
}

// dialConn dials a server at an address, for the calls that wait for a connection.
func (p *Pool) dialConn(s *server, addr string) {
	nc, err := p.dial.Dial("tcp", addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	s.dialing = false
	if err != nil || !s.hasAddr(addr) {
		p.conns--
		if nc != nil {
			nc.Close()
		}
		if err != nil {
			s.dialFailures++
			s.dialNotBefore = time.Now().Add(dialBackoff(p.dial.Timeout, s.dialFailures))
			p.failWaitingCalls(s, err)
		} else { // the server's address changed during the dial
			p.assignWaiting(s)
		}
		return
	}
	s.dialFailures, s.dialNotBefore = 0, time.Time{}
	p.addConn(s, &conn{nc: nc, addr: addr})
}

// dialBackoff returns the pause before the next dial to a server, after a number of failed
// dials in a row: the dial timeout, doubled with each further failure, at most maxDialBackoff.
func dialBackoff(timeout time.Duration, dialFailures int) time.Duration {
	backoff := timeout
	for i := 1; i < dialFailures && backoff < maxDialBackoff; i++ {
		backoff *= 2
	}
	return min(backoff, maxDialBackoff)
}

// addConn starts using a connection that has been established.
func (p *Pool) addConn(s *server, c *conn) {
	c.pool, c.server, c.wake, c.lastUsed, c.lastAnswerAt = p, s, sync.NewCond(&p.mu), time.Now(), time.Now()
	c.calls, c.ended = make(map[string]*call), make(map[string]time.Time)
	s.conns = append(s.conns, c)
	p.Exchange.Counters.ServerConns.Add(1)
	go c.writeLoop()
	go c.readLoop()
	p.assignWaiting(s)
}

// assignWaiting assigns the calls that waited for a connection.
func (p *Pool) assignWaiting(s *server) {
	ready := s.waiting
	s.waiting = nil
	defer p.batchSends()()
	for _, k := range ready {
		p.assign(k)
	}
}

// batchSends begins a batch: until end is called, the calls to a server that are assigned share
// one connection where possible, so that one frame can carry several parts. It does nothing if
// a frame may carry only one part or if a batch is in progress already.
func (p *Pool) batchSends() (end func()) {
	if p.batchConns != nil || p.Settings.Router.MaxPartsPerCall <= 1 {
		return func() {}
	}
	p.batchConns = make(map[*server]*conn)
	return func() { p.batchConns = nil }
}

// finish ends a call and reports its outcome. A call that has ended already stays as it is.
func (p *Pool) finish(k *call, v choice.Verdict, load []choice.Reading, value string) {
	if k.done {
		return
	}
	k.done = true
	if k.state == callWaiting && k.server != nil {
		k.server.waiting = slices.DeleteFunc(k.server.waiting, func(o *call) bool { return o == k })
	}
	if k.attempt == nil {
		p.Exchange.ProbeEnded(k.server.name, time.Since(k.begun), v, load)
		return
	}
	delete(p.calls, k.attempt)
	if k.conn != nil && k.conn.calls[k.attempt.PartID] == k {
		delete(k.conn.calls, k.attempt.PartID)
		k.conn.noteUnanswered(k, v)
	}
	p.Exchange.AttemptEnded(k.attempt, v, load, value)
	if k.conn != nil && len(k.server.waiting) > 0 { // a connection can take another call
		p.assignWaiting(k.server)
	}
}

// noteUnanswered is called when an attempt ends with verdict v. It counts the attempts that timed
// out or were cancelled although no answer at all has arrived on the connection since they were
// sent. The connection counts as unresponsive after one such attempt that timed out, or after
// maxUnanswered of them if the last answer on it is older than the dial timeout.
//
// A connection can become unresponsive, or stop in the middle of an answer, while its server is
// healthy and the operating system reports no error: every part sent on it would wait in vain,
// and the server would look dead for ever. An unresponsive connection accepts no new calls and
// is closed once the calls in flight on it have ended.
func (c *conn) noteUnanswered(k *call, v choice.Verdict) {
	if k.state == callSent && c.lastAnswerAt.Before(k.sentAt) && (v == choice.NoAnswer || v == choice.Cancelled) {
		c.unanswered++
		lasting := c.unanswered >= maxUnanswered && time.Since(c.lastAnswerAt) > c.pool.dial.Timeout
		// An attempt may be cancelled only because its query ended. It counts as timed out too if
		// more than half of the time from its sending to its deadline had passed.
		late := v == choice.NoAnswer || 2*time.Since(k.sentAt) > k.attempt.Deadline.Sub(k.sentAt)
		if !c.unresponsive && (late || lasting) {
			c.unresponsive = true
			if len(c.server.addrs) > 1 { // the next connection is dialed to another address first
				c.server.addrHistory.RecordFailure(c.addr, clock())
			}
			c.pool.Exchange.Counters.Unresponsive.Add(1)
			log.Warn("leaf-silent", "server", c.server.name, "addr", c.addr, "parts", len(c.calls))
		}
	}
	if c.unresponsive && !c.closed && c.idle() {
		c.closeWith(nil)
	}
}

// noteAnswer records that a complete answer has arrived.
func (c *conn) noteAnswer() {
	c.lastUsed, c.lastAnswerAt, c.unanswered = time.Now(), time.Now(), 0
}

// sweep closes connections that have been idle too long, closes idle connections to addresses
// that their server no longer has, and forgets ended parts whose answers can no longer arrive.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := time.Duration(float64(p.Settings.Router.Keepalive)*idleFraction) * time.Microsecond
	for _, s := range p.servers {
		for _, c := range slices.Clone(s.conns) {
			if c.idle() && (!s.hasAddr(c.addr) || keep > 0 && time.Since(c.lastUsed) > keep) {
				c.closeWith(nil)
				continue
			}
			for id, until := range c.ended {
				if time.Now().After(until) {
					delete(c.ended, id)
				}
			}
		}
	}
}

func (c *conn) idle() bool { return len(c.calls) == 0 && len(c.queue) == 0 && len(c.probes) == 0 }

func (c *conn) enqueue(m message) {
	c.queue = append(c.queue, m)
	c.wake.Signal()
}

// closeWith closes a connection and ends the calls in flight on it. err is nil if the proxy chose
// to close the connection. Calls whose frame has not been begun are assigned to another
// connection. An attempt whose frame is being written is ended by noteWritten.
func (c *conn) closeWith(err error) {
	if c.closed {
		return
	}
	c.closed = true
	p, s := c.pool, c.server
	p.conns--
	p.Exchange.Counters.ServerConns.Add(-1)
	s.conns = slices.DeleteFunc(s.conns, func(o *conn) bool { return o == c })
	var cause *malformedError
	if c.malformed = errors.As(err, &cause); c.malformed {
		p.Exchange.Counters.MalformedAnswers.Add(1)
	}
	if err != nil && len(c.calls) > 0 {
		p.Exchange.Counters.Resets.Add(1)
		log.Warn("leaf-lost", "server", s.name, "addr", c.addr, "parts", len(c.calls), "err", err)
	}
	c.nc.Close() // after the counters: who sees the connection closed also finds it counted
	c.wake.Signal()
	var unsent []*call
	for _, m := range c.queue {
		if m.kind != 'X' && !m.call.done {
			unsent = append(unsent, m.call)
		}
	}
	c.queue = nil
	for _, k := range c.calls {
		if k.state == callSent {
			c.finishLost(k)
		}
	}
	for _, k := range c.probes {
		p.finish(k, choice.ConnectionLost, nil, "")
	}
	for _, k := range unsent {
		p.assign(k)
	}
}

// finishLost ends a call whose frame was completely written when its connection was closed. If
// the connection was closed because of a malformed answer, the verdict is a server error:
// neither the server process nor the network path to it is down.
func (c *conn) finishLost(k *call) {
	v := choice.ConnectionLost
	if c.malformed {
		v = choice.ServerError
	}
	if k.cancelled {
		v = k.verdict
	}
	c.pool.finish(k, v, nil, "")
}

// ---- The write and read goroutines of a connection.

// writeLoop writes queued messages until the connection is closed.
func (c *conn) writeLoop() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		for len(c.queue) == 0 && !c.closed {
			c.wake.Wait()
		}
		if c.closed {
			return
		}
		kind, calls := c.nextFrame()
		if len(calls) == 0 {
			continue
		}
		var rest []byte
		for _, k := range calls {
			switch kind {
			case 'Q':
				ms := max((time.Until(k.attempt.Deadline)+time.Millisecond-1)/time.Millisecond, 1)
				rest = frame.AppendPart(rest, frame.Part{ID: k.attempt.PartID, Shard: k.attempt.Shard,
					Options: "d=" + strconv.FormatInt(int64(ms), 10) + k.attempt.ExtraFields, Text: k.attempt.Text})
			case 'X':
				rest = append(rest, k.attempt.PartID...)
			default:
				c.probes = append(c.probes, k)
			}
		}
		c.lastUsed = time.Now()
		p.mu.Unlock()
		c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := c.nc.Write(frame.Append(nil, kind, rest))
		p.mu.Lock()
		for _, k := range calls {
			c.noteWritten(kind, k, err)
		}
		if err != nil {
			c.closeWith(err)
		}
	}
}

// nextFrame removes the messages of one frame from the queue: one message, or consecutive
// attempts up to the number of parts that a frame may carry. If the server's drainedAt has
// passed meanwhile, the attempts and probes end as not sent. calls is empty if nothing is left
// to write.
func (c *conn) nextFrame() (kind byte, calls []*call) {
	maxCalls := 1
	for len(c.queue) > 0 && len(calls) < maxCalls && (len(calls) == 0 || c.queue[0].kind == kind) {
		m := c.queue[0]
		c.queue = c.queue[1:]
		switch k := m.call; {
		case k.done:
		case m.kind != 'X' && c.server.drained():
			c.pool.finish(k, choice.NotSent, nil, "")
		default:
			if kind = m.kind; kind == 'Q' {
				maxCalls = max(c.pool.Settings.Router.MaxPartsPerCall, 1)
			}
			if kind != 'X' {
				k.state = callWriting
			}
			calls = append(calls, k)
		}
	}
	return kind, calls
}

// noteWritten records the outcome of writing a message. If an attempt was not written
// completely, the server cannot have read it, so it has not run.
func (c *conn) noteWritten(kind byte, k *call, err error) {
	switch {
	case err != nil && kind == 'X' || k.done: // closeWith ends a call whose cancellation was not written; for a call that has ended there is nothing to do
	case err != nil:
		c.pool.finish(k, choice.NoConnection, nil, "")
	case kind == 'X':
		c.ended[k.attempt.PartID] = time.Now().Add(cancelledAnswerWindow)
		c.pool.finish(k, k.verdict, nil, "")
	case c.closed:
		c.finishLost(k)
	default:
		k.state, k.sentAt = callSent, time.Now()
		if k.cancelled {
			c.enqueue(message{'X', k})
		}
	}
}

// readLoop handles incoming frames until the connection fails.
func (c *conn) readLoop() {
	r := c.reader
	if r == nil {
		r = bufio.NewReader(c.nc)
	}
	for {
		err := c.handleFrame(r)
		if err != nil {
			c.pool.mu.Lock()
			c.closeWith(err)
			c.pool.mu.Unlock()
			return
		}
	}
}

// malformedError reports an answer that cannot be used. It is unknown which part the answer was
// for and whether the bytes after it can be parsed, so the connection must be closed.
type malformedError struct{ what string }

func (e *malformedError) Error() string { return "malformed answer: " + e.what }

func malformedf(format string, args ...any) error {
	return &malformedError{fmt.Sprintf(format, args...)}
}

// handleFrame reads and handles one frame.
func (c *conn) handleFrame(r *bufio.Reader) error {
	kind, rest, err := frame.Read(r)
	var frameErr *frame.Error
	if errors.As(err, &frameErr) {
		return malformedf("%s", frameErr.Problem)
	}
	if err != nil {
		return err
	}
	switch kind {
	case 'A':
		return c.handleAnswer(rest)
	case 'P', 'L':
		return c.handleProbe(rest)
	case 'E':
		return fmt.Errorf("refused frame: %.80q", rest)
	default:
		return malformedf("unknown frame type %q", kind)
	}
}

// verdicts maps the status in an answer to the verdict on the attempt.
var verdicts = map[string]choice.Verdict{"ok": choice.Served, "err": choice.ServerError, "busy": choice.Rejected}

// handleAnswer handles the answer to an attempt.
func (c *conn) handleAnswer(rest []byte) error {
	a, err := frame.ParseAnswer(rest)
	if err != nil {
		return malformedf("%v", err)
	}
	v := verdicts[a.Status]
	if v == choice.Served && (len(a.Value) == 0 || !utf8.Valid(a.Value)) {
		return malformedf("the value of %d bytes is empty or not UTF-8", len(a.Value))
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.noteAnswer()
	k := c.calls[a.ID]
	if k == nil || k.state != callWriting && k.state != callSent {
		// An answer to a part that was cancelled on this connection may have been under way, and
		// an answer may be duplicated. Any other answer was meant for a part in flight, which
		// would wait for it in vain.
		if _, ended := c.ended[a.ID]; !ended {
			return malformedf("no part has the id %.80q", a.ID)
		}
		c.pool.Exchange.Counters.LateAnswers.Add(1)
		return nil
	}
	if v != choice.Rejected { // a rejected part may be sent again on this connection
		c.ended[a.ID] = time.Now().Add(duplicateAnswerWindow)
	}
	c.pool.finish(k, v, parseLoad(a.LoadReport), string(a.Value))
	return nil
}

// handleProbe handles an answer to a probe. Probes carry no id, so the answer is taken for that to
// the oldest unanswered probe.
func (c *conn) handleProbe(rest []byte) error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.noteAnswer()
	if len(c.probes) == 0 {
		return malformedf("there is no probe to answer")
	}
	k := c.probes[0]
	c.probes = c.probes[1:]
	if string(rest) == "err" {
		c.pool.finish(k, choice.ServerError, nil, "")
	} else {
		c.pool.finish(k, choice.Served, parseLoad(string(rest)), "")
	}
	return nil
}

// parseLoad parses a load report: pairs NAME=NUMBER. Pairs that are malformed are ignored.
func parseLoad(s string) []choice.Reading {
	var load []choice.Reading
	for pair := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if f, err := settings.ParseNumber(value); ok && err == nil {
			load = append(load, choice.Reading{Name: name, Value: f})
		}
	}
	return load
}
