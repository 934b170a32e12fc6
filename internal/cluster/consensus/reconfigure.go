package consensus

import (
	"slices"

	"saddleport/internal/cluster/views"
)

// targetView returns the view as it should be, derived from the one in force.
func (m *Machine) targetView(now int64, skipRejoinDelay bool) views.View {
	members := m.targetVoters(now, m.readyLearners(now))
	return views.View{Epoch: m.View.Epoch, Members: members, Chain: m.chainMembers(now, members, skipRejoinDelay),
		Base: m.View.Base, BaseEpoch: m.View.BaseEpoch}
}

// readyLearners returns the learners that may get a vote: heard recently, not leaving. Late in
// a ballot only those that have answered in it and store what the proposer stored when it
// began.
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
		return !joined || stamp.Less(m.ownBallot.storedAtStart) && !m.mutations.AdoptWithoutEntry
	})
}

// targetVoters returns the voters as they should be. Their number is odd and stays: a new
// voter replaces another.
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

// replaceVoter gives a learner the vote of a member that is gone or leaves: first of one whose
// machine has come back with another disk, then of one that leaves, then of one that is
// silent.
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

// replaced returns the members with one exchanged for another, which comes last: members that
// have proven themselves come first.
func replaced(members []views.Member, i int, by views.Member) []views.Member {
	return append(slices.Delete(slices.Clone(members), i, i+1), by)
}

// longestSilent returns the index of the member that has been silent longest and is not alive;
// -1 if all are.
func (m *Machine) longestSilent(now int64, members []views.Member) int {
	at, longest := -1, int64(0)
	for i, x := range members {
		if s := m.peers.silentFor(now, x); !m.Alive(now, x) && s > longest {
			at, longest = i, s
		}
	}
	return at
}

// addVoters gives learners a vote while there are fewer voters than wanted, as many as make
// their number odd.
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

// removeVoters removes members if their number is even or above what is wanted: silent ones
// first, then the last ones.
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

// lastOther returns the index of the last member that is not this process.
func (m *Machine) lastOther(members []views.Member) int {
	for i := len(members) - 1; i > 0; i-- {
		if members[i] != m.Self {
			return i
		}
	}
	return 0
}

// chainMembers returns the members that form the chain: eligible ones that were in it before
// or have been alive for a while. If these are no majority, all members that are alive.
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

// mayJoinChain reports whether an eligible member may be in the chain of the next view.
func (m *Machine) mayJoinChain(now int64, x views.Member, skipRejoinDelay bool) bool {
	if !m.View.Has(x) && m.ownBallot != nil { // it would hold up the chain until it had caught up
		return !m.ownBallot.joinedLearners[x].Less(m.store.Stored().Viewstamp())
	}
	return skipRejoinDelay || x == m.Self || slices.Contains(m.View.Chain, x) || m.peers.rejoined(now, x, m.View)
}

// votersWithoutSwap is the mutation vote-at-once: a newcomer votes beside the member that it
// replaces, which is removed when it has been silent for long.
func (m *Machine) votersWithoutSwap(now int64, members, ready []views.Member) []views.Member {
	if len(ready) > 0 {
		return append(members, ready[0])
	}
	if i := m.longestSilent(now, members); i >= 0 && len(members) > m.cfg.Voters && m.peers.silentFor(now, members[i]) > longSilenceFactor*m.cfg.FailureTimeout {
		return slices.Delete(members, i, i+1)
	}
	return members
}

// longSilenceFactor counts failure timeouts, for the mutation vote-at-once.
const longSilenceFactor = 11 // times Live, of the rule left out
