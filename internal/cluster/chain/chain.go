// Package chain replicates the configuration over the control-plane machines by chain
// replication. Each member stores one entry; an update enters at the head of the agreed view,
// is forwarded from member to member, and is acknowledged once the tail stores it. Reads are
// answered by the tail.
//
// The package owns what is acknowledged, which member is sent what, and reads. It never
// changes the membership, acknowledges what the tail has not stored durably, or answers a read
// from a view that may have been replaced.
//
// A Machine is stepped by its caller: it does no I/O and reads no clock. What TakeOutput
// returns may go out only once the entry that TakeChanges reports is durable.
package chain

import (
	"fmt"
	"slices"

	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// Config tunes a chain. Times are microseconds of the caller's clock.
type Config struct {
	RetryInterval  int64 // a message without an answer is sent again after this time
	SuspectTimeout int64 // a receiver that makes no progress for so long is suspected
	CallTimeout    int64 // a caller is informed after this time that there is no answer
}

// Mutations leave out one rule each, so that the model checker can show that it finds the
// consequences. In service all are false.
type Mutations struct {
	AckEarly           bool // the head acknowledges what no other member stores
	StaleRead          bool // the tail does not ask whether its view stands
	NoSeal             bool // a member goes on in a view after it has promised another
	ShortChain         bool // a chain may be less than half of the members
	LostDiskVotes      bool // a disk that was lost votes on under its old name
	IgnoreAccepted     bool // a proposer passes over what others have accepted
	OrderByVersionOnly bool // entries are ordered by their version alone, not first by their epoch
	IgnoreDigest       bool // any content under a stored revision is acknowledged
	VoteAtOnce         bool // a newcomer votes beside the one that it takes the place of
	LeaveAtOnce        bool // a member that is asked to stop ends before others have taken its place
	AdoptWithoutEntry  bool // a view is taken over without the entry that goes with it
}

// Result is the outcome of Put or Get.
type Result struct {
	ID      string
	Verdict Verdict // of an order
	Entry   *Entry  // of a read
	Reason  string  // why there is no answer
}

// OK reports whether there is an answer.
func (r Result) OK() bool { return r.Reason == "" }

// StaleReplica is a member that a read found to store an older entry than the reader.
type StaleReplica struct {
	Member    views.Member
	Viewstamp views.Viewstamp
}

const (
	maxPending          = 256 // calls in each of the lists below
	maxVersionOnlySends = 4   // a member that does not answer is sent the complete entry after so many sends of its version alone
)

// Machine is the chain as one member sees it. It is not safe for concurrent use.
type Machine struct {
	cfg       Config
	mutations Mutations
	self      views.Member

	view                views.View
	sealed              bool // another view was promised
	stored              Entry
	entryChanged        bool
	epochChanged        bool
	acknowledgedVersion uint64 // highest version known to be acknowledged

	inFlight       inFlightEntry
	pendingUpdates []pendingUpdate // at the head
	pendingQueries []pendingQuery  // at the tail
	localCalls     []localCall     // made by this process, sent to the head or the tail
	callSequence   uint64
	nonce          string

	outbox        []envelope.Message
	results       []Result
	suspect       Suspect
	staleReplicas []StaleReplica
}

// Suspect is a member that makes no progress. The zero value means none.
type Suspect struct {
	Member         views.Member
	MissingVersion uint64 // the version that it has not acknowledged; 0: it does not answer calls
}

// New returns a chain without a view. The nonce distinguishes its calls from those that this
// machine made before a restart.
func New(cfg Config, self views.Member, stored Entry, nonce string, mutations Mutations) *Machine {
	return &Machine{cfg: cfg, self: self, stored: stored, nonce: nonce, mutations: mutations}
}

// Stored returns the entry that this member stores.
func (m *Machine) Stored() Entry { return m.stored }

// Acknowledged returns the highest version known to be acknowledged.
func (m *Machine) Acknowledged() uint64 { return m.acknowledgedVersion }

// Sealed reports whether this member has promised another view and stopped serving its own.
func (m *Machine) Sealed() bool { return m.sealed }

// View returns the view in force here.
func (m *Machine) View() views.View { return m.view }

// Store replaces the stored entry by a newer one. An older one is ignored.
func (m *Machine) Store(e Entry) {
	switch {
	case !m.stored.Viewstamp().Less(e.Viewstamp()):
	case !e.ContentOmitted:
		m.stored, m.entryChanged = e, true
	case m.stored.Matches(e.Version, e.HistoryDigest):
		m.stored.Epoch, m.epochChanged = e.Epoch, true
	}
}

// TakeChanges reports what has to be made durable since the last call: the complete entry, or
// only its epoch.
func (m *Machine) TakeChanges() (entry, stamp bool) {
	entry, stamp = m.entryChanged, m.epochChanged
	m.entryChanged, m.epochChanged = false, false
	return entry, stamp
}

// AdoptView puts a view in force. The entry that the view rests on must be stored already.
func (m *Machine) AdoptView(now int64, v views.View) {
	if !m.mutations.AdoptWithoutEntry && m.stored.Viewstamp().Less(v.BaseViewstamp()) {
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

// epoch returns the epoch under which entries are stored.
func (m *Machine) epoch() uint64 {
	if m.mutations.OrderByVersionOnly {
		return 0
	}
	return m.view.Epoch
}

// stampEpoch puts the stored entry under the epoch in force.
func (m *Machine) stampEpoch() {
	if m.stored.Epoch != m.epoch() {
		m.stored.Epoch, m.epochChanged = m.epoch(), true
	}
}

// epochIsCurrent reports whether the head of the view in force has confirmed the stored entry.
func (m *Machine) epochIsCurrent() bool { return m.stored.Epoch == m.epoch() }

// Seal makes the member stop serving its view.
func (m *Machine) Seal() { m.sealed = !m.mutations.NoSeal }

// Suspected returns the member that makes no progress, if any, and clears it.
func (m *Machine) Suspected() (Suspect, bool) {
	s := m.suspect
	m.suspect = Suspect{}
	return s, s.Member != views.Member{}
}

// TakeStaleReplicas returns the members that reads found outdated since the last call.
func (m *Machine) TakeStaleReplicas() []StaleReplica {
	old := m.staleReplicas
	m.staleReplicas = nil
	return old
}

// Repair sends a member the entry that is stored here.
func (m *Machine) Repair(to views.Member) {
	m.send(to, Repair{Entry: m.stored})
}

// TakeOutput returns the messages to send and the results of calls since the last call. They
// may go out only once what TakeChanges reports is durable.
func (m *Machine) TakeOutput() ([]envelope.Message, []Result) {
	out, results := m.outbox, m.results
	m.outbox, m.results = nil, nil
	return out, results
}

func (m *Machine) send(to views.Member, body envelope.Body) {
	m.outbox = append(m.outbox, envelope.Message{From: m.self, To: to, Epoch: m.view.Epoch, Body: body})
}

// IsChainMessage reports whether a body is one of the messages of this package.
func IsChainMessage(body envelope.Body) bool {
	switch body.(type) {
	case UpdateRequest, UpdateResponse, Forward, Acknowledge, EntryMissing, QueryRequest, QueryResponse,
		ConfirmView, ViewConfirmed, Repair, RequestPending:
		return true
	}
	return false
}

// Step handles a message of the chain.
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

// Tick retries what has no answer, suspects members without progress, and ends calls that have
// waited too long.
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
