package consensus

import (
	"slices"

	"saddleport/internal/cluster/views"
)

// wanted is the view as it should be, made of the one in force. In a hurry nothing waits
// for members that have only just come back.
func (m *Machine) targetView(now int64, skipRejoinDelay bool) views.View {
	members := m.targetVoters(now, m.readyLearners(now))
	return views.View{Epoch: m.View.Epoch, Members: members, Chain: m.chainMembers(now, members, skipRejoinDelay),
		Base: m.View.Base, BaseEpoch: m.View.BaseEpoch}
}

// ready are the learners that may get a vote: they were heard lately, hold what goes with
// the view in force, and do not leave. Late in a ballot, only those that have answered in it
// and hold what the proposer held as it began.
func (m *Machine) readyLearners(now int64) []views.Member {
	learning := m.Learners(now)
	late := m.ownBallot != nil && m.ownBallot.value == nil && now-m.ownBallot.startedAt >= m.cfg.BallotTimeout/2
	return slices.DeleteFunc(learning, func(x views.Member) bool {
		l := m.peers.learners[x]
		if l.leaving || x.Addr == m.Self.Addr {
			return true
		}
		if !late {
			return false
		}
		stamp, joined := m.ownBallot.joinedLearners[x]
		return !joined || stamp.Less(m.ownBallot.storedAtStart) && !m.mutations.JoinBehind
	})
}

// voters are the members as they should be. Their number is odd and stays: whoever comes
// takes another's place.
func (m *Machine) targetVoters(now int64, ready []views.Member) []views.Member {
	members := slices.Clone(m.View.Members)
	if m.mutations.VoteAtOnce {
		return m.votersWithoutSwap(now, members, ready)
	}
	if next, ok := m.replaceVoter(now, members, ready); ok {
		return next
	}
	if next, ok := m.addVoters(members, ready); ok {
		return next
	}
	return m.removeVoters(now, members)
}

// swap gives a learner the vote of a member that is gone or wants to go: first one whose
// machine has come back with another disk, then one that leaves, then one that is silent.
func (m *Machine) replaceVoter(now int64, members, ready []views.Member) ([]views.Member, bool) {
	for _, j := range ready {
		sameAddr := func(x views.Member) bool { return x.Addr == j.Addr }
		if i := slices.IndexFunc(members, sameAddr); i >= 0 {
			return replaced(members, i, j), true
		}
	}
	if len(ready) == 0 {
		return nil, false
	}
	goes := slices.IndexFunc(members, m.isLeaving)
	if goes < 0 {
		goes = m.longestSilent(now, members)
	}
	if goes < 0 {
		return nil, false
	}
	return replaced(members, goes, ready[0]), true
}

// replaced has one member less and another more, at the end: those that have proven
// themselves come first.
func replaced(members []views.Member, i int, by views.Member) []views.Member {
	return append(slices.Delete(slices.Clone(members), i, i+1), by)
}

// longestSilent is the place of the member that was not heard for longest, and is not live.
func (m *Machine) longestSilent(now int64, members []views.Member) int {
	at, longest := -1, int64(0)
	for i, x := range members {
		if s := m.peers.silentFor(now, x); !m.Alive(now, x) && s > longest {
			at, longest = i, s
		}
	}
	return at
}

// grow takes learners in where there are fewer voters than wanted, so many that their
// number is odd.
func (m *Machine) addVoters(members, ready []views.Member) ([]views.Member, bool) {
	more := 2 - len(members)%2
	if len(members)%2 == 0 {
		more = 1
	}
	if len(members)+more > m.cfg.Voters || len(ready) < more {
		return nil, false
	}
	return append(slices.Clone(members), ready[:more]...), true
}

// shrink lets members go where their number is even, or above what is wanted: those that
// are silent first, then the last ones.
func (m *Machine) removeVoters(now int64, members []views.Member) []views.Member {
	less := 0
	switch {
	case len(members)%2 == 0 && len(members) > 0:
		less = 1
	case len(members) > m.cfg.Voters:
		less = 2
	}
	for range less {
		i := m.longestSilent(now, members)
		if i < 0 {
			i = m.lastOther(members)
		}
		members = slices.Delete(members, i, i+1)
	}
	return members
}

func (m *Machine) lastOther(members []views.Member) int {
	for i := len(members) - 1; i > 0; i-- {
		if members[i] != m.Self {
			return i
		}
	}
	return 0
}

// chainOf are the members that form the chain: those that are fit, and were in it before or
// have been live for a while. Of too few, those that are at least live are better than nobody.
func (m *Machine) chainMembers(now int64, members []views.Member, skipRejoinDelay bool) []views.Member {
	var chain []views.Member
	for _, x := range members {
		if m.eligible(now, x) && m.mayJoinChain(now, x, skipRejoinDelay) {
			chain = append(chain, x)
		}
	}
	if len(chain) >= len(members)/2+1 || m.mutations.ShortChain {
		return chain
	}
	chain = nil
	for _, x := range members {
		if m.Alive(now, x) {
			chain = append(chain, x)
		}
	}
	return chain
}

func (m *Machine) mayJoinChain(now int64, x views.Member, skipRejoinDelay bool) bool {
	if !m.View.Has(x) && m.ownBallot != nil { // it would hold up the chain until it had caught up
		return !m.ownBallot.joinedLearners[x].Less(m.store.Stored().Viewstamp())
	}
	return skipRejoinDelay || x == m.Self || slices.Contains(m.View.Chain, x) || m.peers.rejoined(now, x, m.View)
}

// crowd is the rule left out: a newcomer votes beside the one whose place it is to take,
// and the dead one goes when it has been silent for long.
func (m *Machine) votersWithoutSwap(now int64, members, ready []views.Member) []views.Member {
	if len(ready) > 0 {
		return append(members, ready[0])
	}
	if i := m.longestSilent(now, members); i >= 0 && len(members) > m.cfg.Voters && m.peers.silentFor(now, members[i]) > longSilenceFactor*m.cfg.FailureTimeout {
		return slices.Delete(members, i, i+1)
	}
	return members
}

const longSilenceFactor = 11 // times Live, of the rule left out
