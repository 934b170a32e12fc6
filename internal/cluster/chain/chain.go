// Package chain owns what the core machines keep: one configuration each, of which the
// newer one counts, passed from the head of an agreed view to its tail. It owns what is
// acknowledged, who is passed what, and reads at the tail. It must never change the
// membership, acknowledge what the tail does not hold on its disk, or answer a read from a
// view that may be over.
//
// A machine here is a value that is stepped: it does no I/O and reads no clock. What it
// returns may go out only once what it keeps is synced.
package chain

import (
	"fmt"
	"slices"

	"saddleport/internal/cluster/message"
)

// Config tunes a chain; the times are microseconds of the caller's clock.
type Config struct {
	Resend int64 // a message of the chain without an answer is sent again
	Stuck  int64 // and its receiver is complained of
	Wait   int64 // a caller is told that there is no answer
}

// Breaks leaves rules out on purpose, so that the checker can show that it finds each.
type Breaks struct {
	AckEarly    bool // the head acknowledges what it alone holds
	StaleRead   bool // the tail does not ask whether its view stands
	NoSeal      bool // a member goes on in a view after it has promised another
	ShortChain  bool // a chain may be less than half of the members
	KeepDisk    bool // a disk that was lost votes on under its old name
	Forget      bool // a proposer passes over what others have accepted
	RankOnly    bool // entries are ordered by their rank alone, not first by their epoch
	SameNumber  bool // whatever comes under a number that is held is acknowledged
	VoteAtOnce  bool // a newcomer votes beside the one that it takes the place of
	LeaveAtOnce bool // a member that is told to stop ends before others have taken its place
	JoinBehind  bool // a view is taken over without the entry that goes with it
}

// Result is what the caller of Put or Get is told.
type Result struct {
	ID      string
	Verdict message.Verdict // of an order
	Entry   *message.Entry  // of a read
	Why     string          // of a refusal
}

// OK tells whether there is an answer.
func (r Result) OK() bool { return r.Why == "" }

// Old is a copy that a read found to be older than the reader's.
type Old struct {
	Member message.Member
	Stamp  message.Stamp
}

const (
	mostWaiting = 256 // calls in each of the lists below
	mostAsked   = 4   // a member that answers no rank is sent the entry after so many times
)

// Machine is the chain as one member sees it.
type Machine struct {
	cfg    Config
	breaks Breaks
	self   message.Member

	view         message.View
	sealed       bool // another view was promised
	held         message.Entry
	entryChanged bool
	stampChanged bool
	acked        uint64 // the highest rank known to be acknowledged

	flight  flight
	waiting []waiter // orders, at the head
	reads   []reader // at the tail
	calls   []call   // made here, sent to the head or the tail
	numbers uint64
	nonce   string

	out     []message.Message
	results []Result
	suspect Suspect
	old     []Old
}

// Suspect is a member that does not move on; the zero one: there is none.
type Suspect struct {
	Member message.Member
	Lacks  uint64 // the rank that it has not been seen to hold; 0: it does not answer calls
}

// New returns a chain that knows no view. nonce sets its calls apart from those of its
// earlier lives.
func New(cfg Config, self message.Member, held message.Entry, nonce string, breaks Breaks) *Machine {
	return &Machine{cfg: cfg, self: self, held: held, nonce: nonce, breaks: breaks}
}

// Held is the entry that is kept here.
func (m *Machine) Held() message.Entry { return m.held }

// Acknowledged is the highest rank known to be acknowledged.
func (m *Machine) Acknowledged() uint64 { return m.acked }

// Sealed tells whether another view was promised.
func (m *Machine) Sealed() bool { return m.sealed }

// View is the view in force here.
func (m *Machine) View() message.View { return m.view }

// Keep keeps an entry if it is newer than the one that is kept.
func (m *Machine) Keep(e message.Entry) {
	switch {
	case !m.held.Stamp().Less(e.Stamp()):
	case !e.Bare:
		m.held, m.entryChanged = e, true
	case m.held.Same(e.Rank, e.Lineage):
		m.held.Epoch, m.stampChanged = e.Epoch, true
	}
}

// Changed tells whether the entry that is kept has changed since it was last asked, and
// whether only its epoch has.
func (m *Machine) Changed() (entry, stamp bool) {
	entry, stamp = m.entryChanged, m.stampChanged
	m.entryChanged, m.stampChanged = false, false
	return entry, stamp
}

// Adopt takes a view over. The entry that goes with it was kept before.
func (m *Machine) Adopt(now int64, v message.View) {
	if !m.breaks.JoinBehind && m.held.Stamp().Less(v.BaseStamp()) {
		panic(fmt.Sprintf("invariant: %s is in epoch %d and holds %+v below its base %+v", m.self, v.Epoch, m.held.Stamp(), v.BaseStamp()))
	}
	m.view, m.sealed, m.flight = v, false, flight{}
	m.refuseAll("the view has changed")
	if v.Head() == m.self {
		m.vouch()
		m.pass(now, true) // what the tail may not have
	}
	for i := range m.calls {
		m.calls[i].sentAt, m.calls[i].whole = 0, false
	}
}

// epoch is the one under which entries are kept.
func (m *Machine) epoch() uint64 {
	if m.breaks.RankOnly {
		return 0
	}
	return m.view.Epoch
}

// vouch puts the entry that is kept under the epoch in force.
func (m *Machine) vouch() {
	if m.held.Epoch != m.epoch() {
		m.held.Epoch, m.stampChanged = m.epoch(), true
	}
}

// vouched tells whether the head of the view in force has vouched for what is kept here.
func (m *Machine) vouched() bool { return m.held.Epoch == m.epoch() }

// Seal has the member refuse to go on in its view.
func (m *Machine) Seal() { m.sealed = !m.breaks.NoSeal }

// Suspected is the member that does not move on, if any; asking clears it. One that is
// known to hold what it was passed waits for others itself, and is not to blame.
func (m *Machine) Suspected() (Suspect, bool) {
	s := m.suspect
	m.suspect = Suspect{}
	return s, s.Member != message.Member{}
}

// Old returns the copies that reads found old since it was last asked.
func (m *Machine) Old() []Old {
	old := m.old
	m.old = nil
	return old
}

// Repair sends a member the entry that is kept here.
func (m *Machine) Repair(to message.Member) {
	m.send(to, message.Repair{Entry: m.held})
}

// Take returns what is to be sent and told since it was last asked.
func (m *Machine) Take() ([]message.Message, []Result) {
	out, results := m.out, m.results
	m.out, m.results = nil, nil
	return out, results
}

func (m *Machine) send(to message.Member, body message.Body) {
	m.out = append(m.out, message.Message{From: m.self, To: to, Epoch: m.view.Epoch, Body: body})
}

// Speaks tells whether a message is one of the chain's.
func Speaks(body message.Body) bool {
	switch body.(type) {
	case message.Enter, message.Entered, message.Pass, message.Ack, message.Lacks, message.Read, message.ReadResult,
		message.Confirm, message.Confirmed, message.Repair, message.Waiting:
		return true
	}
	return false
}

// Got takes a message of the chain.
func (m *Machine) Got(now int64, msg message.Message) {
	current := msg.Epoch == m.view.Epoch && !m.sealed
	switch body := msg.Body.(type) {
	case message.Enter:
		m.entered(now, msg.From, body)
	case message.Entered:
		m.answered(now, body)
	case message.Pass:
		if current && m.isPrevious(msg.From) {
			m.passed(now, msg.From, body)
		}
	case message.Lacks:
		if current && m.isNext(msg.From) && m.flight.active && m.flight.entry.Rank == body.Rank {
			m.pass(now, false)
		}
	case message.Ack:
		if current && m.isNext(msg.From) {
			m.acknowledged(now, body.Rank)
		}
	case message.Read:
		m.asked(now, msg.From, body)
	case message.Confirm:
		if current && m.view.Has(m.self) {
			m.send(msg.From, message.Confirmed{ID: body.ID, Stamp: m.held.Stamp()})
		}
	case message.Confirmed:
		m.confirmed(msg.From, msg.Epoch, body)
	case message.Repair:
		if m.view.Has(msg.From) {
			m.Keep(body.Entry)
		}
	case message.Waiting:
		m.known(now, body.ID)
	case message.ReadResult:
		m.found(now, body)
	}
}

// Tick sends again what has no answer, complains of who does not move on, and gives up
// what has waited too long.
func (m *Machine) Tick(now int64) {
	m.passAgain(now)
	m.confirmAgain(now)
	m.giveUp(now)
	m.forward(now)
}

func (m *Machine) refuseAll(why string) {
	for _, w := range m.waiting {
		m.send(w.from, message.Entered{ID: w.id, Why: why})
	}
	for _, r := range m.reads {
		m.send(r.from, message.ReadResult{ID: r.id, Why: why})
	}
	m.waiting, m.reads = nil, nil
}

func (m *Machine) giveUp(now int64) {
	m.waiting = slices.DeleteFunc(m.waiting, func(w waiter) bool { return now-w.since >= m.cfg.Wait })
	m.reads = slices.DeleteFunc(m.reads, func(r reader) bool { return now-r.since >= m.cfg.Wait })
	for _, c := range slices.Clone(m.calls) {
		if now-c.since >= m.cfg.Wait {
			m.end(Result{ID: c.id, Why: "no answer from the chain in time"})
		} else if c.sentAt != 0 && now-max(c.since, c.heardAt) >= m.cfg.Stuck && len(m.view.Chain) > 0 {
			m.blame(c.receiver(m.view))
		}
	}
}

func (m *Machine) blame(x message.Member) {
	if x != m.self {
		m.suspect = Suspect{Member: x}
	}
}
