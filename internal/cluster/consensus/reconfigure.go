package consensus

import (
	"slices"

	"saddleport/internal/cluster/views"
)

// targetView returns the view that should follow the current one. Epoch and base are still those
// of the current view, so that Check can be called; startAcceptPhase sets the new ones. With
// skipRejoinDelay, members enter the chain without waiting for Config.RejoinDelay: viewChangeDue
// applies the delay, but a ballot that has been started does not.
func (m *Machine) targetView(now int64, skipRejoinDelay bool) views.View {
	members := m.targetVoters(now, m.readyLearners(now))
	return views.View{Epoch: m.View.Epoch, Members: members, Chain: m.chainMembers(now, members, skipRejoinDelay),
		Base: m.View.Base, BaseEpoch: m.View.BaseEpoch}
}

// readyLearners returns the learners that may get a vote: those that were heard recently and are
// not leaving. A learner at this process's own address is excluded. In the first phase of a ballot, after half its timeout, these are only the
// learners that have answered and store an entry at least as new as the proposer's at the start
// of the ballot.
func (m *Machine) readyLearners(now int64) []views.Member {
	learners := m.Learners(now)
	confirmedOnly := m.ownBallot != nil && m.ownBallot.value == nil && now-m.ownBallot.startedAt >= m.cfg.BallotTimeout/2
	return slices.DeleteFunc(learners, func(x views.Member) bool {
		learner := m.peers.learners[x]
		if learner.leaving || x.Addr == m.Self.Addr {
			return true
		}
		if !confirmedOnly {
			return false
		}
		viewstamp, joined := m.ownBallot.joinedLearners[x]
		return !joined || viewstamp.Less(m.ownBallot.storedAtStart) && !m.mutations.AdoptWithoutEntry
	})
}

// targetVoters returns the members of the target view. A new voter replaces another one if
// possible. Otherwise one learner is added, or an even or too large number of voters is reduced.
func (m *Machine) targetVoters(now int64, ready []views.Member) []views.Member {
	members := slices.Clone(m.View.Members)
	if m.mutations.VoteAtOnce {
		return m.votersWithoutReplacement(now, members, ready)
	}
	if next, ok := m.replaceVoter(now, members, ready); ok {
		return next
	}
	if next, ok := m.addVoters(members, ready); ok {
		return next
	}
	return m.removeVoters(now, members)
}

// replaceVoter gives a learner the vote of another member. The member to replace is, in this order
// of preference, one at whose address there is a learner with another disk, one that is leaving, or the
// one that has been unresponsive for longest. It returns false if there is no learner or none of
// these.
func (m *Machine) replaceVoter(now int64, members, ready []views.Member) ([]views.Member, bool) {
	for _, learner := range ready {
		sameAddr := func(x views.Member) bool { return x.Addr == learner.Addr }
		if i := slices.IndexFunc(members, sameAddr); i >= 0 {
			return replaceMember(members, i, learner), true
		}
	}
	if len(ready) == 0 {
		return nil, false
	}
	outgoing := slices.IndexFunc(members, m.isLeaving)
	if outgoing < 0 {
		outgoing = m.longestUnresponsive(now, members)
	}
	if outgoing < 0 {
		return nil, false
	}
	return replaceMember(members, outgoing, ready[0]), true
}

// replaceMember returns the members without the one at index i and with its replacement. The
// replacement comes last: members of the current view come first, so they get earlier turns to
// propose.
func replaceMember(members []views.Member, i int, replacement views.Member) []views.Member {
	return append(slices.Delete(slices.Clone(members), i, i+1), replacement)
}

// longestUnresponsive returns the index of the member that was not heard for the longest time,
// among those that are not alive; -1 if all are alive.
func (m *Machine) longestUnresponsive(now int64, members []views.Member) int {
	index, longest := -1, int64(0)
	for i, x := range members {
		if s := m.peers.timeSinceHeard(now, x); !m.Alive(now, x) && s > longest {
			index, longest = i, s
		}
	}
	return index
}

// addVoters gives one learner a vote while there are fewer voters than configured. An odd number of
// voters grows only if a second learner is ready, which the next view adds: removeVoters would
// otherwise take the vote away again.
func (m *Machine) addVoters(members, ready []views.Member) ([]views.Member, bool) {
	needed := 1 + len(members)%2
	if len(members)+needed > m.cfg.Voters || len(ready) < needed {
		return nil, false
	}
	return append(slices.Clone(members), ready[0]), true
}

// removeVoters removes one member if the number of members is even, or two if that number is odd
// and above the configured number: unresponsive members first, then the last ones in the order of the view.
func (m *Machine) removeVoters(now int64, members []views.Member) []views.Member {
	surplus := 0
	switch {
	case len(members)%2 == 0 && len(members) > 0:
		surplus = 1
	case len(members) > m.cfg.Voters:
		surplus = 2
	}
	for range surplus {
		i := m.longestUnresponsive(now, members)
		if i < 0 {
			i = m.lastOther(members)
		}
		members = slices.Delete(members, i, i+1)
	}
	return members
}

// lastOther returns the index of the last member that is not this process; 0 if there is none
// after the first.
func (m *Machine) lastOther(members []views.Member) int {
	for i := len(members) - 1; i > 0; i-- {
		if members[i] != m.Self {
			return i
		}
	}
	return 0
}

// chainMembers returns the members that form the chain of the target view: those that are
// eligible and are in the current chain or have been alive for the rejoin delay. If these are
// not a majority, it returns all members that are alive.
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
	// A new voter with an older entry would delay the chain until it has caught up. A learner that
	// has not answered has the zero viewstamp and so counts as one with an older entry.
	if !m.View.Has(x) && m.ownBallot != nil {
		return !m.ownBallot.joinedLearners[x].Less(m.store.Stored().Viewstamp())
	}
	return skipRejoinDelay || x == m.Self || slices.Contains(m.View.Chain, x) || m.peers.rejoined(now, x, m.View)
}

// votersWithoutReplacement implements the mutation VoteAtOnce, which only the model checker
// enables: a new voter is added without
// removing another member. A member above the configured number of voters is removed only after
// it has been unresponsive for removalFactor failure timeouts.
func (m *Machine) votersWithoutReplacement(now int64, members, ready []views.Member) []views.Member {
	if len(ready) > 0 {
		return append(members, ready[0])
	}
	if i := m.longestUnresponsive(now, members); i >= 0 && len(members) > m.cfg.Voters && m.peers.timeSinceHeard(now, members[i]) > removalFactor*m.cfg.FailureTimeout {
		return slices.Delete(members, i, i+1)
	}
	return members
}

// removalFactor, used by the model checker only, is the number of failure timeouts after which the mutation VoteAtOnce removes an
// unresponsive member. The rule that the mutation leaves out used the same factor.
const removalFactor = 11
