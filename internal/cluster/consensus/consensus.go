// Package consensus agrees on the views of the control plane: who votes, in which order, and
// which of the voters form the replication chain, under an epoch. The voters of one view agree
// on the next one by Paxos, one instance an epoch: a majority must promise a ballot and a
// majority must accept it.
//
// The package owns who may vote. A machine whose disk was lost comes back as another member
// and votes only once a view includes it, so nothing that was promised can be forgotten into a
// second majority. It never decides what a configuration says, and there are never two views
// of one epoch.
//
// The number of voters is odd and stays so. A process without a vote is a learner: it is sent
// the configuration and waits. It gets a vote in the same agreement that takes another
// member's away, or together with a second learner while there are fewer voters than
// configured.
//
// Each view carries the newest entry that was reported by the majority which promised it, and
// every member of the view stores that entry. A chain is more than half of its voters, so the
// entry is at least as new as anything that was ever acknowledged.
//
// The machine does no I/O and reads no clock. What TakeMessages returns may be sent only once
// the state that TakeChanged reports is durable.
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
	HeartbeatInterval int64 // between two heartbeats
	FailureTimeout    int64 // a member that was silent for longer is not alive
	SuspicionTimeout  int64 // how long a suspected member stays out of the chain
	RejoinDelay       int64 // how long a member must be alive before it enters the chain
	ProposerStagger   int64 // between the turns of the members to propose
	BallotTimeout     int64 // a ballot that is not decided by then has failed
	MinViewAge        int64 // for so long after a view change only a loss causes another
	Voters            int   // wanted number of voters; odd
	MaxLearners       int   // learners that are remembered
}

// State must be durable before any message that was produced with it is sent.
type State struct {
	Self     views.Member `json:"self"`
	View     views.View   `json:"view"`
	Promised Ballot       `json:"promised"` // for the next epoch
	Accepted *Proposal    `json:"accepted,omitempty"`
}

// EntryStore is the part of the chain that an agreement needs.
type EntryStore interface {
	Stored() chain.Entry
	Store(chain.Entry)
	AdoptView(now int64, v views.View)
	Seal()
}

// Machine is the agreement as one process sees it. It is not safe for concurrent use.
type Machine struct {
	State
	cfg       Config
	mutations chain.Mutations
	store     EntryStore
	changed   bool // the state, since it was last asked

	peers           peers
	suspicions      suspicions
	leaving         bool
	adoptedAt       int64 // when the view in force was
	sealedAt        int64
	changeDueSince  int64 // the view is to be changed; 0: it is not
	backoffUntil    int64 // another's ballot is given its time
	ownBallot       *ballotState
	highestBallot   uint64 // ballot number seen
	lastHeartbeatAt int64
	seeds           []string // addresses to ask for a vote
	outbox          []envelope.Message
}

// FirstDiskID names the disks of the machines of the first view.
const FirstDiskID = "0"

// InitialView returns the view that all processes start from when the system starts for
// the first time: an odd number of the machines that the settings name as seeds.
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

// New returns the agreement of a process whose disk holds a state. A process that is no member
// asks the seeds for a vote.
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

// TakeMessages returns the messages to send. They may go out only once the state is durable.
func (m *Machine) TakeMessages() []envelope.Message {
	out := m.outbox
	m.outbox = nil
	return out
}

// IsMember reports whether this process has a vote in the view that it knows.
func (m *Machine) IsMember() bool { return m.View.Has(m.Self) }

// SetSeeds sets further addresses at which to ask for a vote.
func (m *Machine) SetSeeds(addrs []string) { m.seeds = addrs }

// HasQuorum reports whether a majority of the view, this process included, was heard within
// the failure timeout.
func (m *Machine) HasQuorum(now int64) bool {
	n := 0
	for _, x := range m.View.Members {
		if x == m.Self || m.peers.recentlyHeard(now, x) {
			n++
		}
	}
	return m.View.Epoch > 0 && n >= m.View.Majority()
}

// PeersWithQuorum returns the other processes that have recently said that they have a quorum,
// members first.
func (m *Machine) PeersWithQuorum(now int64) (out []views.Member) {
	for _, x := range append(slices.Clone(m.View.Members), m.Learners(now)...) {
		if x != m.Self && m.peers.recentlyHeard(now, x) && m.peers.states[x].hasQuorum && !m.isLeaving(x) {
			out = append(out, x)
		}
	}
	return out
}

// LastHeard returns the viewstamp that a member last reported, and whether the member is
// alive.
func (m *Machine) LastHeard(now int64, x views.Member) (views.Viewstamp, bool) {
	return m.peers.states[x].viewstamp, m.peers.recentlyHeard(now, x)
}

// Learners returns the processes that have recently asked for a vote.
func (m *Machine) Learners(now int64) []views.Member { return m.peers.recentLearners(now, m.View) }

// Alive reports whether a member was heard within the failure timeout. This process always is.
// After a start all members are given that time to be heard.
func (m *Machine) Alive(now int64, x views.Member) bool {
	return x == m.Self || m.peers.silentFor(now, x) < m.cfg.FailureTimeout
}

// eligible reports whether a member may be in the chain.
func (m *Machine) eligible(now int64, x views.Member) bool {
	return m.Alive(now, x) && !m.suspicions.suspected(now, x) && !m.isLeaving(x)
}

func (m *Machine) isLeaving(x views.Member) bool {
	if x == m.Self {
		return m.leaving
	}
	return m.peers.states[x].leaving
}

func (m *Machine) seal(now int64) {
	m.store.Seal()
	m.sealedAt = now
}

func (m *Machine) send(to views.Member, epoch uint64, body envelope.Body) {
	if to != m.Self {
		m.outbox = append(m.outbox, envelope.Message{From: m.Self, To: to, Epoch: epoch, Body: body})
	}
}

// IsConsensusMessage reports whether a body is one of the messages of this package.
func IsConsensusMessage(body envelope.Body) bool { return !chain.IsChainMessage(body) }

// HandleMisaddressed answers a message that was sent to a disk which this machine no longer
// has.
func (m *Machine) HandleMisaddressed(from views.Member) { m.send(from, m.View.Epoch, m.join()) }

func (m *Machine) join() Join {
	return Join{Viewstamp: m.store.Stored().Viewstamp(), Leaving: m.leaving}
}

func (m *Machine) heartbeat(now int64) Heartbeat {
	return Heartbeat{Viewstamp: m.store.Stored().Viewstamp(), HasQuorum: m.HasQuorum(now), Leaving: m.leaving}
}

// ObserveChainMessage takes a message of the chain as a sign of life, and as a hint that its
// sender has an older or newer view.
func (m *Machine) ObserveChainMessage(now int64, msg envelope.Message) {
	m.peers.observe(now, msg, m.View)
	if msg.Epoch > 0 && m.View.Epoch > 0 {
		m.compareViews(now, msg, m.peers.states[msg.From].viewstamp) // a message of the chain does not say
	}
}

// Step handles a message of the agreement.
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

// Tick sends heartbeats, asks for a vote, and proposes a view when it is this member's turn.
func (m *Machine) Tick(now int64) {
	m.suspicions.evaluate(now, m.View)
	m.peers.expire(now, m.View)
	if m.lastHeartbeatAt == 0 || now-m.lastHeartbeatAt >= m.cfg.HeartbeatInterval {
		m.lastHeartbeatAt = max(now, 1)
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
	// Those that this process takes for members may all be gone by now: others know.
	for _, addr := range m.seeds {
		known := func(x views.Member) bool { return x.Addr == addr }
		if addr != m.Self.Addr && !slices.ContainsFunc(m.View.Members, known) {
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

// Describe returns the state of each member as text, for show.
func (m *Machine) Describe(now int64) map[string]string {
	out := make(map[string]string)
	for _, x := range m.View.Members {
		switch {
		case x == m.Self && m.leaving:
			out[x.String()] = "this one, leaving"
		case x == m.Self:
			out[x.String()] = "this one"
		case !m.Alive(now, x):
			out[x.String()] = fmt.Sprintf("silent for %d ms", m.peers.silentFor(now, x)/1000)
		case m.isLeaving(x):
			out[x.String()] = "leaving"
		case !m.eligible(now, x):
			out[x.String()] = "suspected"
		default:
			out[x.String()] = fmt.Sprintf("live, epoch %d", m.peers.states[x].epoch)
		}
	}
	return out
}
