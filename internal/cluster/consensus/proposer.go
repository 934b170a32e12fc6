package consensus

import (
	"fmt"
	"slices"

	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// ballotState is the state of a ballot that this process leads.
type ballotState struct {
	ballot         Ballot
	startedAt      int64
	storedAtStart  views.Viewstamp // viewstamp of the proposer's entry when the ballot was started
	promises       map[views.Member]Promise
	askedLearners  map[views.Member]bool            // the learners that were sent a Prepare
	joinedLearners map[views.Member]views.Viewstamp // the learners that have answered, and the viewstamps of their entries
	value          *views.View                      // the proposed view; nil in the first phase, set in the second
	accepts        map[views.Member]bool            // the members that have accepted value
}

// proposeIfDue starts a ballot if a view change is due and it is this member's turn to propose.
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

// viewChangeDue reports whether the view should change: at once if its chain is broken, or if the
// target view differs from it and it has been adopted for at least MinViewAge. It is never due
// if this process has no vote or if the target view is unsafe (views.View.Check).
func (m *Machine) viewChangeDue(now int64) bool {
	if !m.IsMember() {
		return false
	}
	target := m.targetView(now, false)
	if target.Check() != nil && !m.mutations.ShortChain {
		return false // too few members are eligible at present
	}
	unchanged := slices.Equal(target.Members, m.View.Members) && slices.Equal(target.Chain, m.View.Chain)
	return m.chainBroken(now, target) || !unchanged && now-m.adoptedAt >= m.cfg.MinViewAge
}

// chainBroken reports whether the chain of the current view cannot make progress: this process
// has sealed it, for its own ballot or that of another proposer, and no view was decided within
// BallotTimeout, or one of the members of the chain is not in the chain of the target view.
func (m *Machine) chainBroken(now int64, target views.View) bool {
	if m.sealedAt != 0 && now-m.sealedAt >= m.cfg.BallotTimeout {
		return true // the ballot for which this process sealed the view has not been completed
	}
	for _, x := range m.View.Chain {
		if !slices.Contains(target.Chain, x) {
			return true
		}
	}
	return false
}

// eligiblePredecessors counts the eligible members that precede this one in the view. Each of
// them gets an earlier turn to propose.
func (m *Machine) eligiblePredecessors(now int64) int64 {
	count := int64(0)
	for _, x := range m.View.Members {
		if x == m.Self {
			return count
		}
		if m.eligible(now, x) {
			count++
		}
	}
	return count
}

// propose starts a ballot for the next epoch.
func (m *Machine) propose(now int64) {
	m.changeDueSince = now // if this ballot fails, the members before this one get their turns first
	m.highestBallot++
	b := Ballot{Number: m.highestBallot, Proposer: m.Self.String()}
	if b.Less(m.Promised) {
		panic(fmt.Sprintf("invariant: ballot %v is below the promised ballot %v", b, m.Promised))
	}
	m.Promised, m.changed = b, true
	m.seal(now)
	stored := m.store.Stored().Viewstamp()
	m.ownBallot = &ballotState{ballot: b, startedAt: now, storedAtStart: stored, askedLearners: make(map[views.Member]bool), joinedLearners: make(map[views.Member]views.Viewstamp),
		promises: map[views.Member]Promise{m.Self: {Ballot: b, Viewstamp: stored, Accepted: m.Accepted}},
		accepts:  make(map[views.Member]bool)}
	for _, to := range m.View.Members {
		m.send(to, m.View.Epoch+1, Prepare{Ballot: b, Viewstamp: stored})
	}
	m.prepareLearners(m.targetView(now, true))
	m.startAcceptPhase(now)
}

// prepareLearners asks the learners that are to get a vote in a target view to confirm that they are
// alive, and sends them the stored entry if their own one is older. Each is asked once a ballot.
func (m *Machine) prepareLearners(target views.View) {
	stored := m.store.Stored().Viewstamp()
	for _, x := range target.Members {
		if m.View.Has(x) || m.ownBallot.askedLearners[x] {
			continue
		}
		m.ownBallot.askedLearners[x] = true
		entry := m.entryFor(m.peers.learners[x].viewstamp, stored)
		m.send(x, m.View.Epoch+1, Prepare{Ballot: m.ownBallot.ballot, Viewstamp: stored, Joiner: &x, Entry: entry})
	}
}

// answersOwnBallot reports whether a message answers the ballot that this process leads.
func (m *Machine) answersOwnBallot(msg envelope.Message, b Ballot) bool {
	return m.ownBallot != nil && msg.Epoch == m.View.Epoch+1 && m.ownBallot.ballot == b
}

// handlePromise handles an answer to the first phase.
func (m *Machine) handlePromise(now int64, msg envelope.Message, p Promise) {
	if !m.answersOwnBallot(msg, p.Ballot) {
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
	if m.ownBallot.value != nil { // second phase: the Promise answers an Accept, because the sender lacks the base entry of the view (handleAccept)
		m.sendAccept(msg.From, p.Viewstamp)
		return
	}
	m.ownBallot.promises[msg.From] = p
	m.startAcceptPhase(now)
}

// startAcceptPhase starts the second phase once a majority has promised and each learner that is
// to get a vote has answered. A learner that has not answered after half the ballot timeout gets
// no vote: a failed process must not become a voter.
func (m *Machine) startAcceptPhase(now int64) {
	ballot := m.ownBallot
	if ballot == nil || ballot.value != nil || len(ballot.promises) < m.View.Majority() {
		return
	}
	if v, found := m.mostRecentAccepted(); found {
		m.sendAccepts(now, v)
		return
	}
	// The target view is computed again and may include a learner that appeared after propose.
	v := m.targetView(now, true)
	m.prepareLearners(v)
	for _, x := range v.Members {
		if _, joined := ballot.joinedLearners[x]; !joined && !m.View.Has(x) && now-ballot.startedAt < m.cfg.BallotTimeout/2 {
			return
		}
	}
	base := m.store.Stored().Viewstamp()
	v.Epoch, v.Base, v.BaseEpoch = m.View.Epoch+1, base.Version, base.Epoch
	if err := v.Check(); err != nil && !m.mutations.ShortChain {
		m.ownBallot = nil // too few members are eligible at present
		return
	}
	m.sendAccepts(now, v)
}

// mostRecentAccepted returns the view that the promises report as accepted under the highest
// ballot. That view may have been decided, so it must be proposed again.
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

// sendAccepts starts the second phase with view v, which this process accepts at once.
func (m *Machine) sendAccepts(now int64, v views.View) {
	ballot := m.ownBallot
	ballot.value = &v
	m.Accepted, m.changed = &Proposal{Ballot: ballot.ballot, View: v}, true
	ballot.accepts[m.Self] = true
	for _, to := range m.View.Members {
		if promise, ok := ballot.promises[to]; ok {
			m.sendAccept(to, promise.Viewstamp)
		} else {
			m.sendAccept(to, m.peers.states[to].viewstamp)
		}
	}
	m.decideIfAccepted(now)
}

// sendAccept sends a member the proposed view. stored is the viewstamp of the member's entry: if
// it is older than the base of the view, the message also carries the entry.
func (m *Machine) sendAccept(to views.Member, stored views.Viewstamp) {
	v := *m.ownBallot.value
	body := Accept{Ballot: m.ownBallot.ballot, Viewstamp: m.store.Stored().Viewstamp(), View: v, Entry: m.entryFor(stored, v.BaseViewstamp())}
	m.send(to, v.Epoch, body)
}

// handleAccepted handles an answer to the second phase.
func (m *Machine) handleAccepted(now int64, msg envelope.Message, a Accepted) {
	if m.answersOwnBallot(msg, a.Ballot) && m.View.Has(msg.From) && m.ownBallot.value != nil {
		m.ownBallot.accepts[msg.From] = true
		m.decideIfAccepted(now)
	}
}

// handleNack abandons the ballot of this process if a higher one was promised.
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

// decideIfAccepted adopts the proposed view once a majority has accepted it, and announces it to
// the members of the previous view and of the new one.
func (m *Machine) decideIfAccepted(now int64) {
	ballot := m.ownBallot
	if len(ballot.accepts) < m.View.Majority() {
		return
	}
	previous, v := m.View, *ballot.value
	m.adopt(now, v)
	for _, to := range previous.Members {
		m.sendView(to, ballot.lastKnownViewstamp(to, m.peers.states[to].viewstamp, v))
	}
	for _, to := range v.Members {
		if !previous.Has(to) {
			m.sendView(to, ballot.joinedLearners[to])
		}
	}
}

// lastKnownViewstamp returns a lower bound of the viewstamp of the entry that member x stores: the
// base of v, the proposed view, if x has accepted v; otherwise the viewstamp in the Promise of x;
// otherwise reported, the viewstamp in the last Heartbeat or Join of x.
func (b *ballotState) lastKnownViewstamp(x views.Member, reported views.Viewstamp, v views.View) views.Viewstamp {
	if b.accepts[x] {
		return v.BaseViewstamp()
	}
	if promise, ok := b.promises[x]; ok {
		return promise.Viewstamp
	}
	return reported
}
