package consensus

import "slices"

// StartLeave makes this member hand its vote over. The others take it out of the chain at once
// and give its vote to a learner if there is one. Until then it goes on voting.
func (m *Machine) StartLeave() {
	if !m.leaving {
		m.leaving, m.lastHeartbeatAt = true, 0
	}
}

// HasLeft reports whether this process may end without weakening the control plane: it has no
// vote any more, and a majority is in the view that excludes it.
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

// CannotHandOver reports whether a leaving member finds no learner for its vote and has
// nothing else to hand over.
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
