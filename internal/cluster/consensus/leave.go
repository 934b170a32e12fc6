package consensus

import "slices"

// StartLeave makes this member hand over its vote. The other members remove it from the chain
// and give its vote to a learner, if there is one. It continues to vote until a view excludes it.
func (m *Machine) StartLeave() {
	if !m.leaving {
		m.leaving, m.lastHeartbeatAt = true, 0 // the next Tick sends a heartbeat at once
	}
}

// HasLeft reports whether this process may end without weakening the control plane: it has no
// vote any more, and a majority has adopted a view that excludes it.
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
	adopted := 0
	for _, x := range m.View.Members {
		if m.peers.recentlyHeard(now, x) && m.peers.states[x].epoch >= m.View.Epoch {
			adopted++
		}
	}
	return adopted >= m.View.Majority()
}

// CannotHandOver reports whether, as things stand now, waiting does not help a leaving member: no
// learner can take its vote, and it is out of the chain already or must stay in it because fewer than a
// majority of the members are eligible.
func (m *Machine) CannotHandOver(now int64) bool {
	if !m.leaving || !m.IsMember() || len(m.readyLearners(now)) > 0 {
		return false
	}
	eligible := 0
	for _, x := range m.View.Members {
		if m.eligible(now, x) {
			eligible++
		}
	}
	return !slices.Contains(m.View.Chain, m.Self) || eligible < m.View.Majority()
}
