package consensus

import (
	"fmt"
	"slices"

	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// ballotState is the ballot that this process leads.
type ballotState struct {
	ballot         Ballot
	startedAt      int64
	storedAtStart  views.Viewstamp // viewstamp of the proposer's entry
	promises       map[views.Member]Promise
	joinedLearners map[views.Member]views.Viewstamp // learners that answered
	value          *views.View                      // set in the second phase
	accepts        map[views.Member]bool
}

// proposeIfDue starts a ballot if the view should change and it is this member's turn.
func (m *Machine) proposeIfDue(now int64) {
	if !m.viewChangeDue(now) {
		m.changeDueSince = 0
		return
	}
	if m.changeDueSince == 0 {
		m.changeDueSince = max(now, 1)
	}
	if m.ownBallot == nil && now >= m.backoffUntil && now-m.changeDueSince >= m.eligiblePredecessors(now)*m.cfg.ProposerStagger {
		m.propose(now)
	}
}

// viewChangeDue reports whether the view should change: at once after a loss, otherwise once
// it has been in force for a while.
func (m *Machine) viewChangeDue(now int64) bool {
	if !m.IsMember() {
		return false
	}
	target := m.targetView(now, false)
	if target.Check() != nil && !m.mutations.ShortChain {
		return false // too few are fit just now
	}
	same := slices.Equal(target.Members, m.View.Members) && slices.Equal(target.Chain, m.View.Chain)
	return m.chainBroken(now, target) || !same && now-m.adoptedAt >= m.cfg.MinViewAge
}

// chainBroken reports whether the view in force cannot go on.
func (m *Machine) chainBroken(now int64, target views.View) bool {
	if m.sealedAt != 0 && now-m.sealedAt >= m.cfg.BallotTimeout {
		return true // a proposer has left us sealed
	}
	for _, x := range m.View.Chain {
		if !slices.Contains(target.Chain, x) {
			return true
		}
	}
	return false
}

// eligiblePredecessors counts the eligible members that come before this one; each gets its
// turn to propose first.
func (m *Machine) eligiblePredecessors(now int64) int64 {
	n := int64(0)
	for _, x := range m.View.Members {
		if x == m.Self {
			return n
		}
		if m.eligible(now, x) {
			n++
		}
	}
	return n
}

func (m *Machine) propose(now int64) {
	m.changeDueSince = now // if it fails, the next turns come first
	m.highestBallot++
	b := Ballot{Number: m.highestBallot, Proposer: m.Self.String()}
	if b.Less(m.Promised) {
		panic(fmt.Sprintf("invariant: ballot %v is below what was promised, %v", b, m.Promised))
	}
	m.Promised, m.changed = b, true
	m.seal(now)
	stored := m.store.Stored().Viewstamp()
	m.ownBallot = &ballotState{ballot: b, startedAt: now, storedAtStart: stored, joinedLearners: make(map[views.Member]views.Viewstamp),
		promises: map[views.Member]Promise{m.Self: {Ballot: b, Viewstamp: stored, Accepted: m.Accepted}},
		accepts:  make(map[views.Member]bool)}
	for _, to := range m.View.Members {
		m.send(to, m.View.Epoch+1, Prepare{Ballot: b, Viewstamp: stored})
	}
	for _, x := range m.targetView(now, true).Members {
		if !m.View.Has(x) {
			m.prepareLearner(x, b, stored)
		}
	}
	m.startAcceptPhase(now)
}

// prepareLearner asks a learner that is to get a vote whether it is alive, and brings its
// entry up to date.
func (m *Machine) prepareLearner(x views.Member, b Ballot, stored views.Viewstamp) {
	entry := m.entryFor(m.peers.learners[x].viewstamp, stored)
	m.send(x, m.View.Epoch+1, Prepare{Ballot: b, Viewstamp: stored, Joiner: &x, Entry: entry})
}

// answers reports whether a message answers the current ballot.
func (m *Machine) answers(msg envelope.Message, b Ballot) bool {
	return m.ownBallot != nil && msg.Epoch == m.View.Epoch+1 && m.ownBallot.ballot == b
}

// handlePromise counts an answer to the first phase.
func (m *Machine) handlePromise(now int64, msg envelope.Message, p Promise) {
	if !m.answers(msg, p.Ballot) {
		return
	}
	if p.Joiner {
		m.ownBallot.joinedLearners[msg.From] = p.Viewstamp
		m.startAcceptPhase(now)
		return
	}
	if !m.View.Has(msg.From) {
		return
	}
	if p.Entry != nil {
		m.store.Store(*p.Entry)
	}
	if m.ownBallot.value != nil { // it lacks the entry of what it is to accept
		m.sendAccept(msg.From, p.Viewstamp)
		return
	}
	m.ownBallot.promises[msg.From] = p
	m.startAcceptPhase(now)
}

// startAcceptPhase enters the second phase once a majority has promised and the learners that
// are to get a vote have answered: a dead one must not count from its first moment.
func (m *Machine) startAcceptPhase(now int64) {
	p := m.ownBallot
	if p == nil || p.value != nil || len(p.promises) < m.View.Majority() {
		return
	}
	if v, found := m.mostRecentAccepted(); found {
		m.sendAccepts(now, v)
		return
	}
	v := m.targetView(now, true)
	for _, x := range v.Members {
		if _, joined := p.joinedLearners[x]; !joined && !m.View.Has(x) && now-p.startedAt < m.cfg.BallotTimeout/2 {
			return
		}
	}
	base := m.store.Stored().Viewstamp()
	v.Epoch, v.Base, v.BaseEpoch = m.View.Epoch+1, base.Version, base.Epoch
	if err := v.Check(); err != nil && !m.mutations.ShortChain {
		m.ownBallot = nil // too few are fit just now
		return
	}
	m.sendAccepts(now, v)
}

// mostRecentAccepted returns the view under the highest ballot that a promise reports as
// accepted. It may have been decided, so it must be proposed again.
func (m *Machine) mostRecentAccepted() (v views.View, found bool) {
	var best *Proposal
	for _, p := range m.ownBallot.promises {
		if p.Accepted != nil && !m.mutations.IgnoreAccepted && (best == nil || best.Ballot.Less(p.Accepted.Ballot)) {
			best = p.Accepted
		}
	}
	if best == nil {
		return v, false
	}
	return best.View, true
}

// sendAccepts starts the second phase.
func (m *Machine) sendAccepts(now int64, v views.View) {
	p := m.ownBallot
	p.value = &v
	m.Accepted, m.changed = &Proposal{Ballot: p.ballot, View: v}, true
	p.accepts[m.Self] = true
	for _, to := range m.View.Members {
		if x, ok := p.promises[to]; ok {
			m.sendAccept(to, x.Viewstamp)
		} else {
			m.sendAccept(to, m.peers.states[to].viewstamp)
		}
	}
	m.decideIfAccepted(now)
}

func (m *Machine) sendAccept(to views.Member, stored views.Viewstamp) {
	v := *m.ownBallot.value
	body := Accept{Ballot: m.ownBallot.ballot, Viewstamp: m.store.Stored().Viewstamp(), View: v, Entry: m.entryFor(stored, v.BaseViewstamp())}
	m.send(to, v.Epoch, body)
}

// handleAccepted counts an answer to the second phase.
func (m *Machine) handleAccepted(now int64, msg envelope.Message, a Accepted) {
	if m.answers(msg, a.Ballot) && m.View.Has(msg.From) && m.ownBallot.value != nil {
		m.ownBallot.accepts[msg.From] = true
		m.decideIfAccepted(now)
	}
}

// handleNack gives way to a higher ballot.
func (m *Machine) handleNack(now int64, msg envelope.Message, n Nack) {
	if msg.Epoch != m.View.Epoch+1 || !m.View.Has(msg.From) {
		return
	}
	m.highestBallot = max(m.highestBallot, n.Ballot.Number)
	if m.ownBallot != nil && m.ownBallot.ballot.Less(n.Ballot) {
		m.ownBallot = nil
		m.backOff(now)
	}
}

// decideIfAccepted adopts the view once a majority has accepted it, and announces it.
func (m *Machine) decideIfAccepted(now int64) {
	p := m.ownBallot
	if len(p.accepts) < m.View.Majority() {
		return
	}
	previous, v := m.View, *p.value
	m.adopt(now, v)
	for _, to := range previous.Members {
		m.sendView(to, p.lastKnownViewstamp(to, m.peers.states[to].viewstamp, v))
	}
	for _, to := range v.Members {
		if !previous.Has(to) {
			m.sendView(to, p.joinedLearners[to])
		}
	}
}

// lastKnownViewstamp returns what a member stores at least, by its answers in this ballot or
// its last heartbeat.
func (p *ballotState) lastKnownViewstamp(x views.Member, said views.Viewstamp, v views.View) views.Viewstamp {
	if p.accepts[x] {
		return v.BaseViewstamp()
	}
	if promise, ok := p.promises[x]; ok {
		return promise.Viewstamp
	}
	return said
}
