package chain

import (
	"slices"

	"saddleport/internal/cluster/views"
)

// pendingUpdate is an update that is pending at the head until the version is acknowledged.
type pendingUpdate struct {
	id      string
	from    views.Member
	version uint64
	verdict Verdict
	since   int64
}

// handleUpdateRequest handles an update. Only the head accepts it.
func (m *Machine) handleUpdateRequest(now int64, from views.Member, update UpdateRequest) {
	revision := RevisionOf(update.Version)
	switch {
	case m.view.Head() != m.self || m.sealed:
		m.sendRejection(from, update.ID, "not the head")
		return
	case update.Entry == nil && revision > RevisionOf(m.stored.Version):
		m.sendRejection(from, update.ID, "not known here")
		return
	case len(m.pendingUpdates) >= maxPending:
		m.sendRejection(from, update.ID, "too many wait")
		return
	}
	if slices.ContainsFunc(m.pendingUpdates, func(pending pendingUpdate) bool { return pending.id == update.ID && pending.from == from }) {
		m.sendRequestPending(from, update.ID)
		return
	}
	if revision > RevisionOf(m.stored.Version) {
		m.Store(update.Entry.Following(m.stored, m.epoch()))
	}
	// Every verdict depends on the stored entry, so the answer is sent once that is acknowledged.
	m.pendingUpdates = append(m.pendingUpdates, pendingUpdate{id: update.ID, from: from, version: m.stored.Version, verdict: m.verdict(update), since: now})
	if m.acknowledgedVersion >= m.stored.Version {
		m.answerUpdates()
		return
	}
	m.forwardEntry(now, m.inFlight.active && m.inFlight.entry.Version == m.stored.Version)
}

// sendRequestPending informs a caller that its call was received and waits for other members.
func (m *Machine) sendRequestPending(to views.Member, id string) {
	m.send(to, RequestPending{ID: id})
}

// verdict returns the outcome of an update, determined by the stored entry.
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

// compareDigests returns the verdict on content with the digest sent, under a revision whose
// accepted content has the digest accepted.
func (m *Machine) compareDigests(sent, accepted uint64) Verdict {
	if sent == accepted || m.mutations.IgnoreDigest {
		return UpdateAccepted
	}
	return UpdateConflict
}

func (m *Machine) sendRejection(to views.Member, id, reason string) {
	m.send(to, UpdateResponse{ID: id, Reason: reason})
}

// answerUpdates answers the updates whose version is acknowledged.
func (m *Machine) answerUpdates() {
	m.pendingUpdates = slices.DeleteFunc(m.pendingUpdates, func(update pendingUpdate) bool {
		if update.version > m.acknowledgedVersion {
			return false
		}
		m.send(update.from, UpdateResponse{ID: update.id, Verdict: update.verdict})
		return true
	})
}
