package consensus

import "slices"

// Leave has this member go: the others take it out of the chain at once, and give its vote
// to a learner where there is one. Until then it goes on voting.
func (m *Machine) StartLeave() {
	if !m.leaving {
		m.leaving, m.lastHeartbeatAt = true, 0
	}
}

// Left tells whether this process may end without a loss: it has no vote any more, and most
// members are in the view that has none for it, and so hold all that was acknowledged before.
func (m *Machine) HasLeft(now int64) bool {
	if !m.leaving {
		return false
	}
	if m.mutations.LeaveAtOnce {
		return true
	}
	if m.IsMember() || m.View.Epoch == 0 {
		return false
	}
	n := 0
	for _, x := range m.View.Members {
		if m.peers.recentlyHeard(now, x) && m.peers.states[x].epoch >= m.View.Epoch {
			n++
		}
	}
	return n >= m.View.Majority()
}

// Alone tells whether a member that leaves finds nobody to take its vote, and nothing else to
// hand over: it is out of the chain, or no chain can be formed without it.
func (m *Machine) CannotHandOver(now int64) bool {
	if !m.leaving || !m.IsMember() || len(m.readyLearners(now)) > 0 {
		return false
	}
	fit := 0
	for _, x := range m.View.Members {
		if m.eligible(now, x) {
			fit++
		}
	}
	return !slices.Contains(m.View.Chain, m.Self) || fit < m.View.Majority()
}
