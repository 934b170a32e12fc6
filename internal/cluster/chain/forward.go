package chain

import (
	"slices"

	"saddleport/internal/cluster/views"
)

// inFlightEntry is the entry that was forwarded to the successor and is not yet acknowledged.
type inFlightEntry struct {
	active           bool
	entry            Entry
	firstVersion     uint64 // the version that was in flight when the successor last made progress
	progressAt       int64
	sentAt           int64
	versionOnlySends int // sends since the complete entry was last sent
}

// chainIndex returns the index of this member in the chain; -1 if it is not in it.
func (m *Machine) chainIndex() int { return slices.Index(m.view.Chain, m.self) }

// successor returns the next member of the chain, if there is one.
func (m *Machine) successor() (views.Member, bool) {
	if i := m.chainIndex(); i >= 0 && i+1 < len(m.view.Chain) {
		return m.view.Chain[i+1], true
	}
	return views.Member{}, false
}

func (m *Machine) isSuccessor(x views.Member) bool {
	next, ok := m.successor()
	return ok && next == x
}

func (m *Machine) isPredecessor(x views.Member) bool {
	i := m.chainIndex()
	return i > 0 && m.view.Chain[i-1] == x
}

// forwardEntry forwards the stored entry to the successor; the tail acknowledges it instead. If the
// successor likely stores the entry, only its version is sent, and a successor that does not store
// it answers with EntryMissing: entries are large, and links and machines may be slow.
func (m *Machine) forwardEntry(now int64, likelyStored bool) {
	if _, ok := m.successor(); !ok {
		m.markAcknowledged(now, m.stored.Version)
		return
	}
	if !m.inFlight.active {
		m.inFlight = inFlightEntry{active: true, firstVersion: m.stored.Version, progressAt: now, versionOnlySends: m.inFlight.versionOnlySends}
	}
	m.inFlight.entry = m.stored
	m.sendInFlight(now, likelyStored)
	if m.mutations.AckEarly && m.chainIndex() == 0 {
		m.markAcknowledged(now, m.stored.Version)
	}
}

// sendInFlight sends the entry in flight to the successor, or only its version if the successor
// likely stores it. Every maxVersionOnlySends sends, the complete entry is sent in any case.
func (m *Machine) sendInFlight(now int64, likelyStored bool) {
	next, _ := m.successor()
	e := m.inFlight.entry
	m.inFlight.sentAt = now
	body := Forward{Version: e.Version, HistoryDigest: e.HistoryDigest}
	if m.inFlight.versionOnlySends++; !likelyStored || m.inFlight.versionOnlySends >= maxVersionOnlySends {
		body.Entry, m.inFlight.versionOnlySends = &e, 0
	}
	m.send(next, body)
}

// handleForward handles an entry that the predecessor has forwarded.
func (m *Machine) handleForward(now int64, from views.Member, forward Forward) {
	if m.epochIsCurrent() && forward.Version < m.stored.Version && !m.mutations.OrderByVersionOnly {
		return // a delayed message with an older entry
	}
	switch {
	case m.inFlight.active && m.inFlight.entry.Matches(forward.Version, forward.HistoryDigest): // already in flight; this member repeats it itself
	case forward.Entry != nil:
		e := *forward.Entry
		e.Epoch = m.epoch()
		m.Store(e)
		m.acceptForward(now, false)
	case m.stored.Matches(forward.Version, forward.HistoryDigest):
		m.acceptForward(now, true)
	default:
		m.send(from, EntryMissing{Version: forward.Version})
	}
}

// acceptForward confirms the stored entry under the current epoch and forwards it.
func (m *Machine) acceptForward(now int64, likelyStored bool) {
	m.stampEpoch()
	m.forwardEntry(now, likelyStored)
	m.answerQueries()
}

// markAcknowledged records that every member from this one to the tail stores a version. It informs
// the predecessor or, at the head, answers the updates that wait for the version.
func (m *Machine) markAcknowledged(now int64, version uint64) {
	if !m.epochIsCurrent() || version > m.stored.Version {
		return // a member may acknowledge only an entry that it stores itself
	}
	if version >= m.inFlight.entry.Version {
		m.inFlight = inFlightEntry{versionOnlySends: m.inFlight.versionOnlySends}
	} else if version >= m.inFlight.firstVersion {
		m.inFlight.progressAt, m.inFlight.firstVersion = now, m.inFlight.entry.Version
	}
	m.acknowledgedVersion = max(m.acknowledgedVersion, version)
	if i := m.chainIndex(); i > 0 {
		m.send(m.view.Chain[i-1], Acknowledge{Version: version})
		return
	}
	m.answerUpdates()
}

// retryForward sends the entry in flight again after a retry interval, and suspects a successor
// that makes no progress.
func (m *Machine) retryForward(now int64) {
	next, ok := m.successor()
	if !ok || !m.inFlight.active || m.sealed {
		return
	}
	if now-m.inFlight.sentAt >= m.cfg.RetryInterval {
		m.sendInFlight(now, true)
	}
	if now-m.inFlight.progressAt >= m.cfg.SuspectTimeout {
		m.suspect = Suspect{Member: next, MissingVersion: m.inFlight.firstVersion}
	}
}
