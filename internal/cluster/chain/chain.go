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

	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// Config tunes a chain; the times are microseconds of the caller's clock.
type Config struct {
	RetryInterval  int64 // a message of the chain without an answer is sent again
	SuspectTimeout int64 // and its receiver is complained of
	CallTimeout    int64 // a caller is told that there is no answer
}

// Breaks leaves rules out on purpose, so that the checker can show that it finds each.
type Mutations struct {
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
	Verdict Verdict // of an order
	Entry   *Entry  // of a read
	Reason  string  // of a refusal
}

// OK tells whether there is an answer.
func (r Result) OK() bool { return r.Reason == "" }

// Old is a copy that a read found to be older than the reader's.
type StaleReplica struct {
	Member    views.Member
	Viewstamp views.Viewstamp
}

const (
	maxPending          = 256 // calls in each of the lists below
	maxVersionOnlySends = 4   // a member that answers no rank is sent the entry after so many times
)

// Machine is the chain as one member sees it.
type Machine struct {
	cfg       Config
	mutations Mutations
	self      views.Member

	view                views.View
	sealed              bool // another view was promised
	stored              Entry
	entryChanged        bool
	epochChanged        bool
	acknowledgedVersion uint64 // the highest rank known to be acknowledged

	inFlight       inFlightEntry
	pendingUpdates []pendingUpdate // orders, at the head
	pendingQueries []pendingQuery  // at the tail
	localCalls     []localCall     // made here, sent to the head or the tail
	callSequence   uint64
	nonce          string

	outbox        []envelope.Message
	results       []Result
	suspect       Suspect
	staleReplicas []StaleReplica
}

// Suspect is a member that does not move on; the zero one: there is none.
type Suspect struct {
	Member         views.Member
	MissingVersion uint64 // the rank that it has not been seen to hold; 0: it does not answer calls
}

// New returns a chain that knows no view. nonce sets its calls apart from those of its
// earlier lives.
func New(cfg Config, self views.Member, stored Entry, nonce string, mutations Mutations) *Machine {
	return &Machine{cfg: cfg, self: self, stored: stored, nonce: nonce, mutations: mutations}
}

// Held is the entry that is kept here.
func (m *Machine) Stored() Entry { return m.stored }

// Acknowledged is the highest rank known to be acknowledged.
func (m *Machine) Acknowledged() uint64 { return m.acknowledgedVersion }

// Sealed tells whether another view was promised.
func (m *Machine) Sealed() bool { return m.sealed }

// View is the view in force here.
func (m *Machine) View() views.View { return m.view }

// Keep keeps an entry if it is newer than the one that is kept.
func (m *Machine) Store(e Entry) {
	switch {
	case !m.stored.Viewstamp().Less(e.Viewstamp()):
	case !e.ContentOmitted:
		m.stored, m.entryChanged = e, true
	case m.stored.Matches(e.Version, e.HistoryDigest):
		m.stored.Epoch, m.epochChanged = e.Epoch, true
	}
}

// Changed tells whether the entry that is kept has changed since it was last asked, and
// whether only its epoch has.
func (m *Machine) TakeChanges() (entry, stamp bool) {
	entry, stamp = m.entryChanged, m.epochChanged
	m.entryChanged, m.epochChanged = false, false
	return entry, stamp
}

// Adopt takes a view over. The entry that goes with it was kept before.
func (m *Machine) AdoptView(now int64, v views.View) {
	if !m.mutations.JoinBehind && m.stored.Viewstamp().Less(v.BaseViewstamp()) {
		panic(fmt.Sprintf("invariant: %s is in epoch %d and holds %+v below its base %+v", m.self, v.Epoch, m.stored.Viewstamp(), v.BaseViewstamp()))
	}
	m.view, m.sealed, m.inFlight = v, false, inFlightEntry{}
	m.refuseAll("the view has changed")
	if v.Head() == m.self {
		m.stampEpoch()
		m.forwardEntry(now, true) // what the tail may not have
	}
	for i := range m.localCalls {
		m.localCalls[i].sentAt, m.localCalls[i].entrySent = 0, false
	}
}

// epoch is the one under which entries are kept.
func (m *Machine) epoch() uint64 {
	if m.mutations.RankOnly {
		return 0
	}
	return m.view.Epoch
}

// vouch puts the entry that is kept under the epoch in force.
func (m *Machine) stampEpoch() {
	if m.stored.Epoch != m.epoch() {
		m.stored.Epoch, m.epochChanged = m.epoch(), true
	}
}

// vouched tells whether the head of the view in force has vouched for what is kept here.
func (m *Machine) epochIsCurrent() bool { return m.stored.Epoch == m.epoch() }

// Seal has the member refuse to go on in its view.
func (m *Machine) Seal() { m.sealed = !m.mutations.NoSeal }

// Suspected is the member that does not move on, if any; asking clears it. One that is
// known to hold what it was passed waits for others itself, and is not to blame.
func (m *Machine) Suspected() (Suspect, bool) {
	s := m.suspect
	m.suspect = Suspect{}
	return s, s.Member != views.Member{}
}

// Old returns the copies that reads found old since it was last asked.
func (m *Machine) TakeStaleReplicas() []StaleReplica {
	old := m.staleReplicas
	m.staleReplicas = nil
	return old
}

// Repair sends a member the entry that is kept here.
func (m *Machine) Repair(to views.Member) {
	m.send(to, Repair{Entry: m.stored})
}

// Take returns what is to be sent and told since it was last asked.
func (m *Machine) TakeOutput() ([]envelope.Message, []Result) {
	out, results := m.outbox, m.results
	m.outbox, m.results = nil, nil
	return out, results
}

func (m *Machine) send(to views.Member, body envelope.Body) {
	m.outbox = append(m.outbox, envelope.Message{From: m.self, To: to, Epoch: m.view.Epoch, Body: body})
}

// Speaks tells whether a message is one of the chain's.
func IsChainMessage(body envelope.Body) bool {
	switch body.(type) {
	case UpdateRequest, UpdateResponse, Forward, Acknowledge, EntryMissing, QueryRequest, QueryResponse,
		ConfirmView, ViewConfirmed, Repair, RequestPending:
		return true
	}
	return false
}

// Got takes a message of the chain.
func (m *Machine) Step(now int64, msg envelope.Message) {
	current := msg.Epoch == m.view.Epoch && !m.sealed
	switch body := msg.Body.(type) {
	case UpdateRequest:
		m.handleUpdateRequest(now, msg.From, body)
	case UpdateResponse:
		m.handleUpdateResponse(now, body)
	case Forward:
		if current && m.isPredecessor(msg.From) {
			m.handleForward(now, msg.From, body)
		}
	case EntryMissing:
		if current && m.isSuccessor(msg.From) && m.inFlight.active && m.inFlight.entry.Version == body.Version {
			m.forwardEntry(now, false)
		}
	case Acknowledge:
		if current && m.isSuccessor(msg.From) {
			m.markAcknowledged(now, body.Version)
		}
	case QueryRequest:
		m.handleQueryRequest(now, msg.From, body)
	case ConfirmView:
		if current && m.view.Has(m.self) {
			m.send(msg.From, ViewConfirmed{ID: body.ID, Viewstamp: m.stored.Viewstamp()})
		}
	case ViewConfirmed:
		m.handleViewConfirmed(msg.From, msg.Epoch, body)
	case Repair:
		if m.view.Has(msg.From) {
			m.Store(body.Entry)
		}
	case RequestPending:
		m.handleRequestPending(now, body.ID)
	case QueryResponse:
		m.handleQueryResponse(now, body)
	}
}

// Tick sends again what has no answer, complains of who does not move on, and gives up
// what has waited too long.
func (m *Machine) Tick(now int64) {
	m.retryForward(now)
	m.retryConfirmations(now)
	m.expireCalls(now)
	m.sendCalls(now)
}

func (m *Machine) refuseAll(reason string) {
	for _, w := range m.pendingUpdates {
		m.send(w.from, UpdateResponse{ID: w.id, Reason: reason})
	}
	for _, r := range m.pendingQueries {
		m.send(r.from, QueryResponse{ID: r.id, Reason: reason})
	}
	m.pendingUpdates, m.pendingQueries = nil, nil
}

func (m *Machine) expireCalls(now int64) {
	m.pendingUpdates = slices.DeleteFunc(m.pendingUpdates, func(w pendingUpdate) bool { return now-w.since >= m.cfg.CallTimeout })
	m.pendingQueries = slices.DeleteFunc(m.pendingQueries, func(r pendingQuery) bool { return now-r.since >= m.cfg.CallTimeout })
	for _, c := range slices.Clone(m.localCalls) {
		if now-c.since >= m.cfg.CallTimeout {
			m.finishCall(Result{ID: c.id, Reason: "no answer from the chain in time"})
		} else if c.sentAt != 0 && now-max(c.since, c.pendingAt) >= m.cfg.SuspectTimeout && len(m.view.Chain) > 0 {
			m.suspectMember(c.receiver(m.view))
		}
	}
}

func (m *Machine) suspectMember(x views.Member) {
	if x != m.self {
		m.suspect = Suspect{Member: x}
	}
}
