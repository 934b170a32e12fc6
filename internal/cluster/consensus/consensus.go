// Package consensus agrees on the views of the control plane: who votes, in which order, and
// which of the voters form the replication chain, under an epoch. The voters of one view agree
// on the next one by Paxos, one instance an epoch: a majority must promise a ballot and a
// majority must accept it.
//
// Terms: a process that runs the agreement and stores the configuration on a disk is a
// views.Member, identified by its address and its disk ID. It is a member (voter) if the current
// view includes it, otherwise a learner. An entry (chain.Entry) is a version of the replicated
// configuration; entries are ordered by viewstamp. To seal a view means that a member stops
// serving it, because it has promised a ballot for the next one. A Machine is the state machine
// of one process.
//
// The package alone decides who may vote. A process that has lost its disk returns as another
// member and votes only once a view includes that member: if it voted as before, the promises
// lost with the disk would allow a second, conflicting majority. The package never decides what
// a configuration contains, and an epoch never has two views.
//
// A learner receives the configuration and waits. It gets a vote in the same agreement that
// removes another member's vote, or in addition while there are fewer voters than configured.
// Each such addition is of one learner, and an odd number of voters grows only if two are ready. If the number of voters is even and no learner can
// be added or replace a member, the next view removes one member, so that the number is odd again.
//
// Each view is based on the newest entry that was reported by the majority of the previous
// view's members which promised the ballot. A process adopts a view only once it stores an entry
// at least as new. A chain consists of more than half of the voters, so the base entry is at
// least as new as every entry that was ever acknowledged.
//
// A Machine does no I/O and reads no clock. The messages that TakeMessages returns may be
// sent only once the state whose change TakeChanged reports is durable.
package consensus

import (
	"fmt"
	"slices"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// Config tunes the agreement. Times are microseconds of the caller's clock.
type Config struct {
	HeartbeatInterval int64 // time between two heartbeats
	FailureTimeout    int64 // a member that was not heard for this long is not alive
	SuspicionTimeout  int64 // how long a suspected member is still excluded from the chain once there is no report against it
	RejoinDelay       int64 // how long a member must be alive before it enters the chain of a view
	ProposerStagger   int64 // delay between the members' turns to propose
	BallotTimeout     int64 // a ballot that is not decided after this time has failed
	MinViewAge        int64 // for this long after a view change, only a broken chain causes another change
	Voters            int   // configured number of voters; odd
	MaxLearners       int   // maximum number of learners that are tracked
}

// State is the durable state of a Machine. It must be stored durably before any message that was
// produced with it is sent.
type State struct {
	Self     views.Member `json:"self"`
	View     views.View   `json:"view"`
	Promised Ballot       `json:"promised"` // for the next epoch
	Accepted *Proposal    `json:"accepted,omitempty"`
}

// EntryStore is the part of chain.Machine that the agreement needs.
type EntryStore interface {
	// Stored returns the entry that this process stores.
	Stored() chain.Entry
	// Store replaces the stored entry by a newer one; an older one is ignored.
	Store(chain.Entry)
	// AdoptView makes v the current view, which this process serves from then on if it is in
	// the chain of v. The entry that v is based on must be stored already.
	AdoptView(now int64, v views.View)
	// Seal makes this process stop serving its current view, until the next AdoptView.
	Seal()
}

// Machine is one process's part in the agreement. It is not safe for concurrent use.
type Machine struct {
	State
	cfg       Config
	mutations chain.Mutations // rules that the model checker has disabled; in production none
	store     EntryStore
	changed   bool // whether State has changed since the last call of TakeChanged

	peers           peers
	suspicions      suspicions
	leaving         bool
	adoptedAt       int64        // when the current view was adopted
	sealedAt        int64        // when the current view was last sealed, by any Prepare or Accept that was admitted; 0: not sealed
	changeDueSince  int64        // when a view change became due; 0: none is due
	backoffUntil    int64        // no ballot is started before this time
	ownBallot       *ballotState // the ballot that this process leads; nil: none
	highestBallot   uint64       // highest ballot number seen
	lastHeartbeatAt int64        // 0: no heartbeat yet, or one is due at once
	seeds           []string     // addresses to ask for a vote
	outbox          []envelope.Message
}

// FirstDiskID is the disk ID of every member of the initial view.
const FirstDiskID = "0"

// InitialView returns the view from which all processes start when the system starts for the
// first time. Its members are the seed addresses in the settings, without duplicates; if their
// number is even, the last one in sorted order is left out.
func InitialView(addrs []string) views.View {
	sorted := slices.Clone(addrs)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if n := len(sorted); n > 0 && n%2 == 0 {
		sorted = sorted[:n-1]
	}
	v := views.View{Epoch: 1}
	for _, a := range sorted {
		v.Members = append(v.Members, views.Member{Addr: a, DiskID: FirstDiskID})
	}
	v.Chain = slices.Clone(v.Members)
	return v
}

// New returns the Machine of a process whose disk stores state s. A process that is not a
// member asks the seeds for a vote. If s contains a promise, the view is sealed: a promise stays
// valid over a restart.
func New(now int64, cfg Config, s State, seeds []string, store EntryStore, mutations chain.Mutations) *Machine {
	m := &Machine{State: s, cfg: cfg, store: store, mutations: mutations, seeds: seeds, adoptedAt: now,
		peers: newPeers(now, cfg), suspicions: newSuspicions(cfg)}
	m.highestBallot = s.Promised.Number
	if s.View.Epoch > 0 {
		store.AdoptView(now, s.View)
		if s.Promised != (Ballot{}) {
			m.seal(now)
		}
	}
	return m
}

// TakeChanged reports whether the state has changed since the last call.
func (m *Machine) TakeChanged() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// TakeMessages returns the messages to send since the last call. They may be sent only once the
// state is durable.
func (m *Machine) TakeMessages() []envelope.Message {
	out := m.outbox
	m.outbox = nil
	return out
}

// IsMember reports whether this process has a vote in the current view.
func (m *Machine) IsMember() bool { return m.View.Has(m.Self) }

// SetSeeds sets the addresses that are contacted while this process has no vote or no quorum.
func (m *Machine) SetSeeds(addrs []string) { m.seeds = addrs }

// HasQuorum reports whether a majority of the current view's members was heard within the
// failure timeout. This process counts if it is a member. Without a view there is no quorum.
func (m *Machine) HasQuorum(now int64) bool {
	n := 0
	for _, x := range m.View.Members {
		if x == m.Self || m.peers.recentlyHeard(now, x) {
			n++
		}
	}
	return m.View.Epoch > 0 && n >= m.View.Majority()
}

// PeersWithQuorum returns the other processes that have recently reported a quorum and are not
// leaving, members first.
func (m *Machine) PeersWithQuorum(now int64) (out []views.Member) {
	for _, x := range append(slices.Clone(m.View.Members), m.Learners(now)...) {
		if x != m.Self && m.peers.recentlyHeard(now, x) && m.peers.states[x].hasQuorum && !m.isLeaving(x) {
			out = append(out, x)
		}
	}
	return out
}

// LastHeard returns the viewstamp that a member last reported for its entry, and whether the
// member was heard within the failure timeout. Unlike Alive, it makes no exception for the time
// after a start.
func (m *Machine) LastHeard(now int64, x views.Member) (views.Viewstamp, bool) {
	return m.peers.states[x].viewstamp, m.peers.recentlyHeard(now, x)
}

// Learners returns the non-members that have asked for a vote within the failure timeout.
func (m *Machine) Learners(now int64) []views.Member { return m.peers.recentLearners(now, m.View) }

// Alive reports whether a member was heard within the failure timeout. This process is always
// alive. For one failure timeout after a start, every member is taken to be alive.
func (m *Machine) Alive(now int64, x views.Member) bool {
	return x == m.Self || m.peers.timeSinceHeard(now, x) < m.cfg.FailureTimeout
}

// eligible reports whether a member may be in the chain: it is alive, not suspected and not
// leaving.
func (m *Machine) eligible(now int64, x views.Member) bool {
	return m.Alive(now, x) && !m.suspicions.suspected(now, x) && !m.isLeaving(x)
}

func (m *Machine) isLeaving(x views.Member) bool {
	if x == m.Self {
		return m.leaving
	}
	return m.peers.states[x].leaving
}

// seal makes this process stop serving the current view and records when.
func (m *Machine) seal(now int64) {
	m.store.Seal()
	m.sealedAt = now
}

// send adds a message to the outbox, unless it is for this process itself.
func (m *Machine) send(to views.Member, epoch uint64, body envelope.Body) {
	if to != m.Self {
		m.outbox = append(m.outbox, envelope.Message{From: m.Self, To: to, Epoch: epoch, Body: body})
	}
}

// IsConsensusMessage reports whether a body is one of the messages of this package: every body
// that is not a chain message is.
func IsConsensusMessage(body envelope.Body) bool { return !chain.IsChainMessage(body) }

// HandleMisaddressed answers a message that was addressed to a disk which this process does not
// have, usually one that it has lost. The answer is a Join, whose sender carries the present disk
// ID. It is sent also if this process is a member.
func (m *Machine) HandleMisaddressed(from views.Member) { m.send(from, m.View.Epoch, m.join()) }

func (m *Machine) join() Join {
	return Join{Viewstamp: m.store.Stored().Viewstamp(), Leaving: m.leaving}
}

func (m *Machine) heartbeat(now int64) Heartbeat {
	return Heartbeat{Viewstamp: m.store.Stored().Viewstamp(), HasQuorum: m.HasQuorum(now), Leaving: m.leaving}
}

// ObserveChainMessage records that the sender of a chain message is alive, and compares the
// message's epoch with the current one: the sender may have an older or newer view.
func (m *Machine) ObserveChainMessage(now int64, msg envelope.Message) {
	m.peers.observe(now, msg, m.View)
	if msg.Epoch > 0 && m.View.Epoch > 0 {
		m.compareViews(now, msg, m.peers.states[msg.From].viewstamp) // chain messages carry no viewstamp of the sender's entry
	}
}

// Step handles a message of this package.
func (m *Machine) Step(now int64, msg envelope.Message) {
	if msg.From == m.Self {
		return
	}
	m.peers.observe(now, msg, m.View)
	switch body := msg.Body.(type) {
	case Heartbeat:
		m.compareViews(now, msg, body.Viewstamp)
	case Join:
		m.peers.observeLearner(now, msg.From, body)
		m.compareViews(now, msg, body.Viewstamp)
	case Decide:
		m.handleDecide(now, body)
	case Suspect:
		if m.View.Has(msg.From) && m.View.Has(body.Member) {
			m.suspicions.report(now, msg.From, body.Member)
		}
	case Prepare:
		m.handlePrepare(now, msg, body)
	case Accept:
		m.handleAccept(now, msg, body)
	case Promise:
		m.handlePromise(now, msg, body)
	case Accepted:
		m.handleAccepted(now, msg, body)
	case Nack:
		m.handleNack(now, msg, body)
	}
}

// Tick sends heartbeats, or a Join if this process has no vote, and proposes a view when it is
// this member's turn. It ends a ballot of this process after BallotTimeout, and starts the second
// phase of a ballot that has waited half that time for learners.
func (m *Machine) Tick(now int64) {
	m.suspicions.evaluate(now, m.View)
	m.peers.expire(now, m.View)
	if m.lastHeartbeatAt == 0 || now-m.lastHeartbeatAt >= m.cfg.HeartbeatInterval {
		m.lastHeartbeatAt = max(now, 1) // 0 would mean that a heartbeat is due at once
		m.sendHeartbeats(now)
	}
	if m.ownBallot != nil && now-m.ownBallot.startedAt >= m.cfg.BallotTimeout {
		m.ownBallot = nil
	}
	m.startAcceptPhase(now)
	m.proposeIfDue(now)
}

func (m *Machine) sendHeartbeats(now int64) {
	announcement := m.announcement(now)
	for _, to := range m.View.Members {
		m.send(to, m.View.Epoch, announcement)
	}
	if m.IsMember() {
		for _, to := range m.Learners(now) {
			m.send(to, m.View.Epoch, announcement)
		}
	}
	if m.IsMember() && m.HasQuorum(now) {
		return
	}
	// The members that this process knows may all have been replaced; the seeds may know the
	// current ones.
	for _, addr := range m.seeds {
		hasAddr := func(x views.Member) bool { return x.Addr == addr }
		if addr != m.Self.Addr && !slices.ContainsFunc(m.View.Members, hasAddr) {
			m.send(views.Member{Addr: addr}, m.View.Epoch, announcement)
		}
	}
}

// Suspect reports to all members that one of them makes no progress.
func (m *Machine) Suspect(now int64, x views.Member) {
	if x == m.Self || !m.View.Has(x) {
		return
	}
	m.suspicions.report(now, m.Self, x)
	for _, to := range m.View.Members {
		m.send(to, m.View.Epoch, Suspect{Member: x})
	}
}

// Describe returns the state of each member as text, for the pages that operators read.
func (m *Machine) Describe(now int64) map[string]string {
	out := make(map[string]string)
	for _, x := range m.View.Members {
		switch {
		case x == m.Self && m.leaving:
			out[x.String()] = "this process, leaving"
		case x == m.Self:
			out[x.String()] = "this process"
		case !m.Alive(now, x):
			out[x.String()] = fmt.Sprintf("not heard for %d ms", m.peers.timeSinceHeard(now, x)/1000)
		case m.isLeaving(x):
			out[x.String()] = "leaving"
		case !m.eligible(now, x):
			out[x.String()] = "suspected"
		default:
			out[x.String()] = fmt.Sprintf("alive, epoch %d", m.peers.states[x].epoch)
		}
	}
	return out
}
