// Package chain replicates the configuration over the control-plane machines by chain
// replication. Each member stores one entry. An update is sent to the head of the agreed view,
// forwarded from member to member, and acknowledged once the tail stores it. Reads are answered
// by the tail.
//
// The package decides which entries are acknowledged, what is sent to which member, and how
// reads are answered. It never changes the membership, acknowledges an entry that the tail has
// not stored durably, or answers a read from a view that may have been replaced.
//
// A Machine is stepped by its caller: it does no I/O and reads no clock. The output that
// TakeOutput returns may be sent only once the changes that TakeChanges reports are durable.
package chain

import (
	"fmt"
	"slices"

	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// Config tunes a chain. Times are microseconds of the caller's clock.
type Config struct {
	RetryInterval  int64 // a message that was not answered is sent again after this time
	SuspectTimeout int64 // a receiver that makes no progress for this time is suspected
	CallTimeout    int64 // a call that was not answered within this time fails
}

// Mutations disable one rule of the protocol each, so that the model checker can show that it
// finds the consequences. In production all are false.
type Mutations struct {
	AckEarly           bool // the head acknowledges an entry that no other member stores
	StaleRead          bool // the tail answers reads without having its view confirmed
	NoSeal             bool // a member continues in its view after it has promised another one
	ShortChain         bool // a chain may be less than a majority of the members
	LostDiskVotes      bool // a machine that has lost its disk still votes as the same member
	IgnoreAccepted     bool // a proposer ignores views that others have accepted
	OrderByVersionOnly bool // entries are ordered by version alone, not by epoch first
	IgnoreDigest       bool // content that differs from the stored one is acknowledged under the same revision
	VoteAtOnce         bool // a new voter is added before the member that it replaces is removed
	LeaveAtOnce        bool // a leaving member ends before others have replaced it
	AdoptWithoutEntry  bool // a view is adopted without the entry that it is based on
}

// Result is the outcome of Put or Get.
type Result struct {
	ID      string
	Verdict Verdict // of an update
	Entry   *Entry  // of a read
	Reason  string  // why there is no answer; empty: there is one
}

// OK reports whether there is an answer.
func (r Result) OK() bool { return r.Reason == "" }

// StaleReplica is a member that, as a read has shown, stores an older entry than the tail.
type StaleReplica struct {
	Member    views.Member
	Viewstamp views.Viewstamp
}

const (
	maxPending          = 256 // maximum length of each list of calls in Machine
	maxVersionOnlySends = 4   // one of this many sends of an entry in flight carries the complete entry, the others its version alone
)

// Machine is one member's part in the chain. It is not safe for concurrent use.
type Machine struct {
	cfg       Config
	mutations Mutations
	self      views.Member

	view                views.View
	sealed              bool // another view was promised; this one is not served any more
	stored              Entry
	entryChanged        bool
	epochChanged        bool
	acknowledgedVersion uint64 // highest version known to be acknowledged

	inFlight       inFlightEntry
	pendingUpdates []pendingUpdate // at the head
	pendingQueries []pendingQuery  // at the tail
	localCalls     []localCall     // of this process, sent to the head or the tail
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
	MissingVersion uint64 // the version that it has not acknowledged; 0: it has not answered calls
}

// New returns a machine without a view. The nonce distinguishes its calls from those that this
// process made before a restart.
func New(cfg Config, self views.Member, stored Entry, nonce string, mutations Mutations) *Machine {
	return &Machine{cfg: cfg, self: self, stored: stored, nonce: nonce, mutations: mutations}
}

// Stored returns the entry that this member stores.
func (m *Machine) Stored() Entry { return m.stored }

// Acknowledged returns the highest version known to be acknowledged.
func (m *Machine) Acknowledged() uint64 { return m.acknowledgedVersion }

// Sealed reports whether this member has promised another view and stopped serving its own.
func (m *Machine) Sealed() bool { return m.sealed }

// View returns the current view of this member.
func (m *Machine) View() views.View { return m.view }

// Store replaces the stored entry by a newer one. An older entry is ignored, and so is one whose
// omitted content is not that of the stored entry.
func (m *Machine) Store(e Entry) {
	switch {
	case !m.stored.Viewstamp().Less(e.Viewstamp()):
	case !e.ContentOmitted:
		m.stored, m.entryChanged = e, true
	case m.stored.Matches(e.Version, e.HistoryDigest):
		m.stored.Epoch, m.epochChanged = e.Epoch, true
	}
}

// TakeChanges reports what has changed since the last call and must be made durable: the complete
// entry, or only its epoch.
func (m *Machine) TakeChanges() (entry, epoch bool) {
	entry, epoch = m.entryChanged, m.epochChanged
	m.entryChanged, m.epochChanged = false, false
	return entry, epoch
}

// AdoptView makes v the current view. The entry that the view is based on must be stored already.
// Pending calls of other members are rejected, and those of this process are sent again.
func (m *Machine) AdoptView(now int64, v views.View) {
	if !m.mutations.AdoptWithoutEntry && m.stored.Viewstamp().Less(v.BaseViewstamp()) {
		panic(fmt.Sprintf("invariant: %s adopts epoch %d with stored entry %+v, which is older than the base %+v", m.self, v.Epoch, m.stored.Viewstamp(), v.BaseViewstamp()))
	}
	m.view, m.sealed, m.inFlight = v, false, inFlightEntry{}
	m.rejectPending("the view has changed")
	if v.Head() == m.self {
		m.stampEpoch()
		m.forwardEntry(now, true) // the tail may not store it yet
	}
	for i := range m.localCalls {
		m.localCalls[i].sentAt, m.localCalls[i].entrySent = 0, false
	}
}

// epoch returns the epoch under which entries are stored: that of the current view.
func (m *Machine) epoch() uint64 {
	if m.mutations.OrderByVersionOnly {
		return 0
	}
	return m.view.Epoch
}

// stampEpoch sets the epoch of the stored entry to the current one.
func (m *Machine) stampEpoch() {
	if m.stored.Epoch != m.epoch() {
		m.stored.Epoch, m.epochChanged = m.epoch(), true
	}
}

// epochIsCurrent reports whether the head of the current view has confirmed the stored entry.
func (m *Machine) epochIsCurrent() bool { return m.stored.Epoch == m.epoch() }

// Seal makes this member stop serving its current view.
func (m *Machine) Seal() { m.sealed = !m.mutations.NoSeal }

// TakeSuspect returns the member that makes no progress, if any, and clears it.
func (m *Machine) TakeSuspect() (Suspect, bool) {
	s := m.suspect
	m.suspect = Suspect{}
	return s, s.Member != views.Member{}
}

// TakeStaleReplicas returns the members that reads have shown to be outdated since the last call.
func (m *Machine) TakeStaleReplicas() []StaleReplica {
	stale := m.staleReplicas
	m.staleReplicas = nil
	return stale
}

// Repair sends a member the entry that is stored here.
func (m *Machine) Repair(to views.Member) {
	m.send(to, Repair{Entry: m.stored})
}

// TakeOutput returns the messages to send and the results of Put and Get since the last call.
// They may be sent only once the changes that TakeChanges reports are durable.
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

// Step handles a message of this package.
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

// Tick repeats messages that were not answered, suspects members that make no progress, and ends
// calls after their timeout.
func (m *Machine) Tick(now int64) {
	m.retryForward(now)
	m.retryConfirmations(now)
	m.expireCalls(now)
	m.sendCalls(now)
}

// rejectPending rejects all pending updates and reads, with a reason.
func (m *Machine) rejectPending(reason string) {
	for _, update := range m.pendingUpdates {
		m.send(update.from, UpdateResponse{ID: update.id, Reason: reason})
	}
	for _, query := range m.pendingQueries {
		m.send(query.from, QueryResponse{ID: query.id, Reason: reason})
	}
	m.pendingUpdates, m.pendingQueries = nil, nil
}

// expireCalls removes calls that have timed out, and suspects the receivers of calls that are not
// answered within SuspectTimeout.
func (m *Machine) expireCalls(now int64) {
	m.pendingUpdates = slices.DeleteFunc(m.pendingUpdates, func(update pendingUpdate) bool { return now-update.since >= m.cfg.CallTimeout })
	m.pendingQueries = slices.DeleteFunc(m.pendingQueries, func(query pendingQuery) bool { return now-query.since >= m.cfg.CallTimeout })
	for _, call := range slices.Clone(m.localCalls) {
		if now-call.since >= m.cfg.CallTimeout {
			m.finishCall(Result{ID: call.id, Reason: "the chain has not answered within the call timeout"})
		} else if call.sentAt != 0 && now-max(call.since, call.pendingAt) >= m.cfg.SuspectTimeout && len(m.view.Chain) > 0 {
			m.suspectMember(call.receiver(m.view))
		}
	}
}

func (m *Machine) suspectMember(x views.Member) {
	if x != m.self {
		m.suspect = Suspect{Member: x}
	}
}
