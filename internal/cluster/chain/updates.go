package chain

import (
	"slices"

	"saddleport/internal/cluster/views"
)

// pendingUpdate is an update that waits at the head until the stored entry is acknowledged.
type pendingUpdate struct {
	id      string
	from    views.Member
	version uint64
	verdict Verdict
	since   int64
}

// handleUpdateRequest takes an update at the head.
func (m *Machine) handleUpdateRequest(now int64, from views.Member, update UpdateRequest) {
	revision := RevisionOf(update.Version)
	switch {
	case m.view.Head() != m.self || m.sealed:
		m.sendRefusal(from, update.ID, "not the head")
		return
	case update.Entry == nil && revision > RevisionOf(m.stored.Version):
		m.sendRefusal(from, update.ID, "not known here")
		return
	case len(m.pendingUpdates) >= maxPending:
		m.sendRefusal(from, update.ID, "too many wait")
		return
	}
	if slices.ContainsFunc(m.pendingUpdates, func(o pendingUpdate) bool { return o.id == update.ID && o.from == from }) {
		m.sendRequestPending(from, update.ID)
		return
	}
	if revision > RevisionOf(m.stored.Version) {
		m.Store(update.Entry.Following(m.stored, m.epoch()))
	}
	// Every verdict rests on the stored entry, so it waits until that is acknowledged.
	m.pendingUpdates = append(m.pendingUpdates, pendingUpdate{id: update.ID, from: from, version: m.stored.Version, verdict: m.verdict(update), since: now})
	if m.acknowledgedVersion >= m.stored.Version {
		m.answerUpdates()
		return
	}
	m.forwardEntry(now, m.inFlight.active && m.inFlight.entry.Version == m.stored.Version)
}

// sendRequestPending informs a caller that its call is known here and waits for others.
func (m *Machine) sendRequestPending(to views.Member, id string) {
	m.send(to, RequestPending{ID: id})
}

// verdict returns the outcome of an update, judged by what is stored.
func (m *Machine) verdict(update UpdateRequest) Verdict {
	revision := RevisionOf(update.Version)
	if revision == RevisionOf(m.stored.Version) {
		return m.compareDigests(update.Digest, m.stored.Digest)
	}
	for _, previous := range m.stored.Previous {
		if previous.Revision == revision {
			return m.compareDigests(update.Digest, previous.Digest)
		}
	}
	return UpdateSuperseded
}

func (m *Machine) compareDigests(sent, taken uint64) Verdict {
	if sent == taken || m.mutations.IgnoreDigest {
		return UpdateAccepted
	}
	return UpdateConflict
}

func (m *Machine) sendRefusal(to views.Member, id, reason string) {
	m.send(to, UpdateResponse{ID: id, Reason: reason})
}

// answerUpdates answers the updates whose outcome rests on what is acknowledged.
func (m *Machine) answerUpdates() {
	m.pendingUpdates = slices.DeleteFunc(m.pendingUpdates, func(w pendingUpdate) bool {
		if w.version > m.acknowledgedVersion {
			return false
		}
		m.send(w.from, UpdateResponse{ID: w.id, Verdict: w.verdict})
		return true
	})
}
