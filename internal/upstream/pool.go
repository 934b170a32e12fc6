// Package upstream is the client side: it owns the connections to leaf servers, the
// frames on them, and where those servers are. It does
// what the exchange asks and reports how it ended. It must never decide where a
// part goes, send one twice, start anything on a server that has long been said
// to drain, or let one silent server hold up another.
//
// This file holds the leaf connections; race.go opens those to a server that has
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
	writeTime    = time.Second            // a write that takes longer ends its connection
	probeTime    = time.Second            // a probe that takes longer has failed
	connsEach    = 4                      // connections to one server that take calls
	connsSpread  = 2                      // so many are used before one carries two calls at a time
	connsMost    = 12                     // with those that fell silent and still have calls out
	mostUnheard  = 3                      // calls called off in a row with nothing heard, before a connection counts as silent
	drainMargin  = 500 * time.Millisecond // a send must have left so long before the grace is over
	staleFor     = 30 * time.Second       // so long may an answer to a part given up still come
	copyFor      = 2 * time.Second        // so long may a second copy of an answer still come
	sweepEvery   = 500 * time.Millisecond
	dialFallback = 250 * time.Millisecond // where the settings tell no time for it
	dialHoldMost = 2 * time.Second        // the longest a server whose dials fail is not dialed
	idleShare    = 0.9                    // of the servers' idle time: ours is over first
)

var log = logs.For("back")

// Config is what the client side is told at its start.
type Config struct {
	Exchange *exchange.Exchange
	Settings settings.Settings
	List     Lister
	Stagger  time.Duration // between tries of a server's addresses; 0: 250 ms
	MaxConns int           // leaf connections at once, those being opened included
}

// Lister is where the list of servers comes from; what it says comes by Told.
type Lister interface {
	Watch(on bool)
	Fetch()
	Run(stop <-chan struct{})
}

// Pool is the client side. It implements exchange.Leaves.
type Pool struct {
	Config
	dial net.Dialer

	mu      sync.Mutex
	servers map[string]*server
	calls   map[*exchange.Attempt]*call
	conns   int // open or being opened

	// While parts of one moment are placed: where those for a server went so far.
	sending map[*server]*conn
}

type server struct {
	name    string
	addrs   []string  // the first is the one that logs name
	stopAt  time.Time // when nothing may start any more; zero: serving
	conns   []*conn
	waiting []*call // for a connection
	dialing bool
	seen    eyeballs.History // of its addresses, where it has several
	// After a dial failed: no new dial before heldTill; misses in a row set how long.
	heldTill time.Time
	misses   int
}

func (s *server) addr() string {
	if len(s.addrs) == 0 {
		return ""
	}
	return s.addrs[0]
}

// at tells whether the server is said to be at an address.
func (s *server) at(addr string) bool { return slices.Contains(s.addrs, addr) }

type state int

const (
	waiting state = iota // for a connection
	queued               // on a connection, not begun
	writing
	out // its last byte is written
)

// call is one frame that wants an answer: an attempt or, with none, a probe.
type call struct {
	a       *exchange.Attempt
	s       *server
	c       *conn
	state   state
	begun   time.Time
	sentAt  time.Time // when its frame was written
	gaveUp  bool
	verdict choice.Verdict // with gaveUp: how it ends once the server is told
	done    bool
}

type item struct {
	letter byte
	call   *call
}

type conn struct {
	b      *Pool
	s      *server
	nc     net.Conn
	addr   string
	in     *bufio.Reader // nil: nothing has been read yet
	ready  *sync.Cond
	queue  []item
	calls  map[string]*call     // attempts by part id, until ended or given up in writing
	stale  map[string]time.Time // parts ended here, until when an answer to them may still come
	probes []*call              // in the order of their frames
	usedAt time.Time

	heardAt time.Time // the last whole answer
	unheard int       // calls ended in vain since
	silent  bool      // takes no new calls

	closed bool
	spoilt bool // something came on it that is no answer
}

// New returns a client side that knows no server yet.
func New(cfg Config) *Pool {
	b := &Pool{Config: cfg, servers: make(map[string]*server), calls: make(map[*exchange.Attempt]*call)}
	b.dial.Timeout = time.Duration(cfg.Settings.DialTimeout) * time.Microsecond
	if b.dial.Timeout <= 0 {
		b.dial.Timeout = dialFallback
	}
	return b
}

// Run keeps the connections and the watch until stop is closed.
func (b *Pool) Run(stop <-chan struct{}) {
	go b.List.Run(stop)
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			b.mu.Lock()
			defer b.mu.Unlock()
			for _, s := range b.servers {
				for _, c := range slices.Clone(s.conns) {
					c.fail(nil)
				}
			}
			return
		case <-tick.C:
			b.sweep()
		}
	}
}

// ---- What the exchange asks for.

// Send starts attempts.
func (b *Pool) Send(attempts []*exchange.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.together()()
	for _, a := range attempts {
		k := &call{a: a, s: b.servers[a.Server], begun: time.Now()}
		b.calls[a] = k
		b.place(k)
	}
}

// Cancel ends the wait for an attempt: at once if its frame has not been begun,
// else once the server has been told.
func (b *Pool) Cancel(a *exchange.Attempt, v choice.Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.calls[a]
	if k == nil || k.gaveUp {
		return
	}
	k.gaveUp, k.verdict = true, v
	switch k.state {
	case waiting, queued:
		if v == choice.NoAnswer { // it was never sent, so it never ran
			v = choice.NotSent
		}
		b.finish(k, v, nil, "")
	case out:
		k.c.push(item{'X', k})
	}
}

// Probe tests a server.
func (b *Pool) Probe(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := &call{s: b.servers[name], begun: time.Now()}
	if k.s == nil {
		b.Exchange.ProbeEnded(name, 0, choice.NotSent, nil)
		return
	}
	b.place(k)
	time.AfterFunc(probeTime, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.finish(k, choice.NoAnswer, nil, "")
	})
}

// Release closes the idle connections to a server.
func (b *Pool) Release(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[name]; s != nil {
		for _, c := range slices.Clone(s.conns) {
			if c.idle() {
				c.fail(nil)
			}
		}
	}
}

// Watch starts or ends the watch on the list.
func (b *Pool) Watch(on bool) { b.List.Watch(on) }

// Fetch asks for the whole list once.
func (b *Pool) Fetch() { b.List.Fetch() }

// ---- The list.

// Failed implements targets.Taker.
func (b *Pool) FetchFailed() {
	b.Exchange.Counters.ListFails.Add(1)
	b.Exchange.UpdateServers(choice.List{Form: choice.Failed})
}

// Told implements targets.Taker: it takes a list for the connections and hands it to
// the exchange.
func (b *Pool) UpdateList(list choice.List, addrs targets.Addrs) {
	if list.Form != choice.Cached {
		b.Exchange.Counters.Lists.Add(1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	named := make(map[string]bool, len(list.Servers))
	for _, row := range list.Servers {
		named[row.ID] = true
		s := b.servers[row.ID]
		if s == nil {
			s = &server{name: row.ID}
			b.servers[row.ID] = s
		}
		if a := addrs[row.ID]; len(a) > 0 && a[0] != "" {
			s.addrs = a
		}
		b.mayStart(s, row.State == choice.Ready, list.Since)
	}
	if list.Form != choice.Delta {
		for name, s := range b.servers {
			if !named[name] {
				b.mayStart(s, false, list.Since)
			}
		}
	}
	for name, s := range b.servers { // gone for long, with nothing left
		if s.drained() && !named[name] && len(s.conns) == 0 && len(s.waiting) == 0 && !s.dialing {
			delete(b.servers, name)
		}
	}
	if len(list.Servers) > 0 || list.Form != choice.Delta {
		log.Info("list", "form", int(list.Form), "version", list.Version, "entries", len(list.Servers))
	}
	b.Exchange.UpdateServers(list)
}

// mayStart notes from when on nothing may start on a server; since is how long ago
// the news may have counted as told.
func (b *Pool) mayStart(s *server, ready bool, since choice.Micros) {
	if ready {
		s.stopAt = time.Time{}
	} else if s.stopAt.IsZero() {
		grace := time.Duration(b.Settings.Router.DrainGrace) * time.Microsecond
		s.stopAt = time.Now().Add(max(grace-drainMargin-time.Duration(since)*time.Microsecond, 0))
	}
}

// ---- Under b.mu.

// place finds a call its connection, or has one opened. A connection on which
// the same part was given up is passed over: a late answer to that would be
// taken for this one's.
func (b *Pool) place(k *call) {
	s := k.s
	if s == nil || s.drained() {
		b.finish(k, choice.NotSent, nil, "")
		return
	}
	// The one with the fewest calls: what hangs on a connection that fell silent, or
	// that a spoilt answer ends, should be little, and what is left should tell the
	// decisions that the server is well.
	var best *conn
	live, with := 0, b.sending[s] // parts of one moment keep together, to share a frame
	for _, c := range s.conns {
		if c.silent || !s.at(c.addr) || b.Settings.StreamsPerConn > 0 && len(c.calls) >= b.Settings.StreamsPerConn {
			continue
		}
		live++
		if k.a != nil {
			if _, stale := c.stale[k.a.PartID]; stale || c.calls[k.a.PartID] != nil {
				continue
			}
		}
		if best == nil || c == with || best != with && len(c.calls) < len(best.calls) {
			best = c
		}
	}
	if best != nil {
		if b.sending != nil {
			b.sending[s] = best
		}
		if best != with && len(best.calls) > 0 && live < connsSpread && b.conns < b.MaxConns*3/4 {
			b.open(s) // for the calls to come
		}
		letter := byte('P')
		if b.Settings.PullReports {
			letter = 'L'
		}
		if k.a != nil {
			letter = 'Q'
			best.calls[k.a.PartID] = k
		}
		k.c, k.state = best, queued
		best.push(item{letter, k})
		return
	}
	k.c, k.state = nil, waiting
	s.waiting = append(s.waiting, k)
	b.open(s)
}

func (s *server) drained() bool { return !s.stopAt.IsZero() && !time.Now().Before(s.stopAt) }

// open opens one connection to a server, unless one is being opened or there
// are enough; what waits then waits for room.
func (b *Pool) open(s *server) {
	live := 0
	for _, c := range s.conns {
		if !c.silent {
			live++
		}
	}
	if s.dialing || live >= connsEach || len(s.conns) >= connsMost {
		return
	}
	if live == 0 && time.Now().Before(s.heldTill) {
		// Its last dial failed just now: what waits for it is told at once that there is no
		// connection, rather than after another dial's time (docs/results/standing.md, zone).
		b.noConnection(s)
		return
	}
	if b.conns >= b.MaxConns && !b.evict() {
		if len(s.conns) == 0 {
			b.failWaiting(s, errors.New("no descriptor left for a connection"))
		}
		return
	}
	s.dialing = true
	if len(s.addrs) > 1 || strings.HasPrefix(s.addr(), unixPrefix) {
		b.race(s)
		return
	}
	b.conns++
	b.Exchange.Counters.Dials.Add(1)
	go b.connect(s, s.addr())
}

// evict closes the leaf connection that has idled longest.
func (b *Pool) evict() bool {
	var oldest *conn
	for _, s := range b.servers {
		for _, c := range s.conns {
			if c.idle() && (oldest == nil || c.usedAt.Before(oldest.usedAt)) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.fail(nil)
	}
	return oldest != nil
}

func (b *Pool) failWaiting(s *server, err error) {
	b.Exchange.Counters.DialFails.Add(1)
	log.Warn("dial-failed", "server", s.name, "addr", s.addr(), "waiting", len(s.waiting), "err", err)
	b.noConnection(s)
}

// noConnection ends what waits for a connection to s: it never ran.
func (b *Pool) noConnection(s *server) {
	failed := s.waiting
	s.waiting = nil
	for _, k := range failed {
		b.finish(k, choice.NoConnection, nil, "")
	}
}

func (b *Pool) connect(s *server, addr string) {
	nc, err := b.dial.Dial("tcp", addr)
	b.mu.Lock()
	defer b.mu.Unlock()
	s.dialing = false
	if err != nil || !s.at(addr) {
		b.conns--
		if nc != nil {
			nc.Close()
		}
		if err != nil {
			s.misses++
			s.heldTill = time.Now().Add(dialHold(b.dial.Timeout, s.misses))
			b.failWaiting(s, err)
		} else { // it has moved meanwhile
			b.pump(s)
		}
		return
	}
	s.misses, s.heldTill = 0, time.Time{}
	b.add(s, &conn{nc: nc, addr: addr})
}

// dialHold is how long no new dial goes to a server after misses failed dials in a
// row: the dial time, doubled with each further miss, at most dialHoldMost.
func dialHold(dial time.Duration, misses int) time.Duration {
	hold := dial
	for i := 1; i < misses && hold < dialHoldMost; i++ {
		hold *= 2
	}
	return min(hold, dialHoldMost)
}

// add takes a connection that has come up.
func (b *Pool) add(s *server, c *conn) {
	c.b, c.s, c.ready, c.usedAt, c.heardAt = b, s, sync.NewCond(&b.mu), time.Now(), time.Now()
	c.calls, c.stale = make(map[string]*call), make(map[string]time.Time)
	s.conns = append(s.conns, c)
	b.Exchange.Counters.ServerConns.Add(1)
	go c.write()
	go c.read()
	b.pump(s)
}

// pump places what has waited for a connection.
func (b *Pool) pump(s *server) {
	ready := s.waiting
	s.waiting = nil
	defer b.together()()
	for _, k := range ready {
		b.place(k)
	}
}

// together has what is placed until the end keep together, server by server, where
// calls carry several parts.
func (b *Pool) together() (end func()) {
	if b.sending != nil || b.Settings.Router.MaxPartsPerCall <= 1 {
		return func() {}
	}
	b.sending = make(map[*server]*conn)
	return func() { b.sending = nil }
}

// finish ends a call, once.
func (b *Pool) finish(k *call, v choice.Verdict, load []choice.Reading, value string) {
	if k.done {
		return
	}
	k.done = true
	if k.state == waiting && k.s != nil {
		k.s.waiting = slices.DeleteFunc(k.s.waiting, func(o *call) bool { return o == k })
	}
	if k.a == nil {
		b.Exchange.ProbeEnded(k.s.name, time.Since(k.begun), v, load)
		return
	}
	delete(b.calls, k.a)
	if k.c != nil && k.c.calls[k.a.PartID] == k {
		delete(k.c.calls, k.a.PartID)
		k.c.unanswered(k, v)
	}
	b.Exchange.AttemptEnded(k.a, v, load, value)
	if k.c != nil && len(k.s.waiting) > 0 { // there is room on a connection
		b.pump(k.s)
	}
}

// unanswered notes that a call ended with nothing heard since it went out. A
// connection can fall silent, or stop in the middle of an answer, while its server
// is well and the system says nothing: parts that are put on it again and again
// would all wait in vain, and their server would look dead for ever. It takes no
// new calls, and ends with those that are still out.
func (c *conn) unanswered(k *call, v choice.Verdict) {
	if k.state == out && c.heardAt.Before(k.sentAt) && (v == choice.NoAnswer || v == choice.Cancelled) {
		c.unheard++
		lasting := c.unheard >= mostUnheard && time.Since(c.heardAt) > c.b.dial.Timeout
		// Called off because its query ended is as good as timed out, if it was late.
		late := v == choice.NoAnswer || 2*time.Since(k.sentAt) > k.a.Deadline.Sub(k.sentAt)
		if !c.silent && (late || lasting) {
			c.silent = true
			if len(c.s.addrs) > 1 { // the next connection is tried elsewhere first
				c.s.seen.RecordFailure(c.addr, clock())
			}
			c.b.Exchange.Counters.Unresponsive.Add(1)
			log.Warn("leaf-silent", "server", c.s.name, "addr", c.addr, "parts", len(c.calls))
		}
	}
	if c.silent && !c.closed && c.idle() {
		c.fail(nil)
	}
}

// heard notes that a whole answer has come.
func (c *conn) heard() {
	c.usedAt, c.heardAt, c.unheard = time.Now(), time.Now(), 0
}

// sweep closes what has idled and forgets what can't come any more.
func (b *Pool) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	keep := time.Duration(float64(b.Settings.Router.Keepalive)*idleShare) * time.Microsecond
	for _, s := range b.servers {
		for _, c := range slices.Clone(s.conns) {
			if c.idle() && (!s.at(c.addr) || keep > 0 && time.Since(c.usedAt) > keep) {
				c.fail(nil)
				continue
			}
			for id, until := range c.stale {
				if time.Now().After(until) {
					delete(c.stale, id)
				}
			}
		}
	}
}

func (c *conn) idle() bool { return len(c.calls) == 0 && len(c.queue) == 0 && len(c.probes) == 0 }

func (c *conn) push(i item) {
	c.queue = append(c.queue, i)
	c.ready.Signal()
}

// fail closes a connection and ends what was out on it; err is nil where the
// close is ours. What had not been begun goes to another connection.
func (c *conn) fail(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.nc.Close()
	c.ready.Signal()
	b, s := c.b, c.s
	b.conns--
	b.Exchange.Counters.ServerConns.Add(-1)
	s.conns = slices.DeleteFunc(s.conns, func(o *conn) bool { return o == c })
	var told *spoiltError
	if c.spoilt = errors.As(err, &told); c.spoilt {
		b.Exchange.Counters.MalformedAnswers.Add(1)
	}
	if err != nil && len(c.calls) > 0 {
		b.Exchange.Counters.Resets.Add(1)
		log.Warn("leaf-lost", "server", s.name, "addr", c.addr, "parts", len(c.calls), "err", err)
	}
	var again []*call
	for _, i := range c.queue {
		if i.letter != 'X' && !i.call.done {
			again = append(again, i.call)
		}
	}
	c.queue = nil
	for _, k := range c.calls {
		if k.state == out {
			c.lose(k)
		}
	}
	for _, k := range c.probes {
		b.finish(k, choice.ConnectionLost, nil, "")
	}
	for _, k := range again {
		b.place(k)
	}
}

// lose ends a call whose frame was written whole when its connection ended. If
// we ended it for what the server said, the server erred; neither the process nor
// the way to it is down.
func (c *conn) lose(k *call) {
	v := choice.ConnectionLost
	if c.spoilt {
		v = choice.ServerError
	}
	if k.gaveUp {
		v = k.verdict
	}
	c.b.finish(k, v, nil, "")
}

// ---- The two goroutines of a connection.

func (c *conn) write() {
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		for len(c.queue) == 0 && !c.closed {
			c.ready.Wait()
		}
		if c.closed {
			return
		}
		letter, calls := c.next()
		if len(calls) == 0 {
			continue
		}
		var rest []byte
		for _, k := range calls {
			switch letter {
			case 'Q':
				ms := max((time.Until(k.a.Deadline)+time.Millisecond-1)/time.Millisecond, 1)
				rest = frame.AppendPart(rest, frame.Part{ID: k.a.PartID, Shard: k.a.Shard,
					Options: "d=" + strconv.FormatInt(int64(ms), 10) + k.a.ExtraFields, Text: k.a.Text})
			case 'X':
				rest = append(rest, k.a.PartID...)
			default:
				c.probes = append(c.probes, k)
			}
		}
		c.usedAt = time.Now()
		b.mu.Unlock()
		c.nc.SetWriteDeadline(time.Now().Add(writeTime))
		_, err := c.nc.Write(frame.Append(nil, letter, rest))
		b.mu.Lock()
		for _, k := range calls {
			c.written(letter, k, err)
		}
		if err != nil {
			c.fail(err)
		}
	}
}

// next takes from the queue what makes one frame: one message, or the calls that
// come in a row up to the number that may share one. A server that has long been
// said to drain gets none: they waited too long.
func (c *conn) next() (letter byte, calls []*call) {
	room := 1
	for len(c.queue) > 0 && len(calls) < room && (len(calls) == 0 || c.queue[0].letter == letter) {
		i := c.queue[0]
		c.queue = c.queue[1:]
		switch k := i.call; {
		case k.done:
		case i.letter != 'X' && c.s.drained():
			c.b.finish(k, choice.NotSent, nil, "")
		default:
			if letter = i.letter; letter == 'Q' {
				room = max(c.b.Settings.Router.MaxPartsPerCall, 1)
			}
			if letter != 'X' {
				k.state = writing
			}
			calls = append(calls, k)
		}
	}
	return letter, calls
}

// written notes what has become of a message. One that could not be written
// whole was never handed over, so what it asked for never ran.
func (c *conn) written(letter byte, k *call, err error) {
	switch {
	case err != nil && letter == 'X' || k.done: // fail ends the one, the other has ended
	case err != nil:
		c.b.finish(k, choice.NoConnection, nil, "")
	case letter == 'X':
		c.stale[k.a.PartID] = time.Now().Add(staleFor)
		c.b.finish(k, k.verdict, nil, "")
	case c.closed:
		c.lose(k)
	default:
		k.state, k.sentAt = out, time.Now()
		if k.gaveUp {
			c.push(item{'X', k})
		}
	}
}

func (c *conn) read() {
	r := c.in
	if r == nil {
		r = bufio.NewReader(c.nc)
	}
	for {
		err := c.frame(r)
		if err != nil {
			c.b.mu.Lock()
			c.fail(err)
			c.b.mu.Unlock()
			return
		}
	}
}

// spoiltError is an answer that can't be used. Which part it was for is not to
// be known, nor whether what follows can be read: the connection must end.
type spoiltError struct{ what string }

func (e *spoiltError) Error() string { return "spoilt answer: " + e.what }

func spoilt(format string, args ...any) error { return &spoiltError{fmt.Sprintf(format, args...)} }

// frame reads one frame and does what it says.
func (c *conn) frame(r *bufio.Reader) error {
	letter, rest, err := frame.Read(r)
	var malformed *frame.Error
	if errors.As(err, &malformed) {
		return spoilt("%s", malformed.Problem)
	}
	if err != nil {
		return err
	}
	switch letter {
	case 'A':
		return c.answer(rest)
	case 'P', 'L':
		return c.probed(rest)
	case 'E':
		return fmt.Errorf("refused frame: %.80q", rest)
	default:
		return spoilt("letter %q", letter)
	}
}

var ends = map[string]choice.Verdict{"ok": choice.Served, "err": choice.ServerError, "busy": choice.Rejected}

func (c *conn) answer(rest []byte) error {
	a, err := frame.ParseAnswer(rest)
	if err != nil {
		return spoilt("%v", err)
	}
	v := ends[a.Status]
	if v == choice.Served && (len(a.Value) == 0 || !utf8.Valid(a.Value)) {
		return spoilt("a value of %d bytes that is no text", len(a.Value))
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.heard()
	k := c.calls[a.ID]
	if k == nil || k.state != writing && k.state != out {
		// An answer to a part given up here was on its way, or comes twice. Any other
		// was for a part that is out and would wait for it in vain.
		if _, ended := c.stale[a.ID]; !ended {
			return spoilt("id %.80q of no part", a.ID)
		}
		c.b.Exchange.Counters.LateAnswers.Add(1)
		return nil
	}
	if v != choice.Rejected { // that may be asked again here
		c.stale[a.ID] = time.Now().Add(copyFor)
	}
	c.b.finish(k, v, report(a.LoadReport), string(a.Value))
	return nil
}

func (c *conn) probed(rest []byte) error {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.heard()
	if len(c.probes) == 0 {
		return spoilt("to no probe")
	}
	k := c.probes[0]
	c.probes = c.probes[1:]
	if string(rest) == "err" {
		c.b.finish(k, choice.ServerError, nil, "")
	} else {
		c.b.finish(k, choice.Served, report(string(rest)), "")
	}
	return nil
}

// report reads a load report; what it does not understand is passed over.
func report(s string) []choice.Reading {
	var load []choice.Reading
	for pair := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if f, err := settings.ParseNumber(value); ok && err == nil {
			load = append(load, choice.Reading{Name: name, Value: f})
		}
	}
	return load
}
