package chain

import (
	"slices"

	"saddleport/internal/cluster/views"
)

// inFlightEntry is the entry that was forwarded to the successor and is not acknowledged.
type inFlightEntry struct {
	active           bool
	entry            Entry
	firstVersion     uint64 // the version that was in flight when progress was last made
	progressAt       int64
	sentAt           int64
	versionOnlySends int // sends of the version alone since the complete entry was sent
}

func (m *Machine) chainIndex() int { return slices.Index(m.view.Chain, m.self) }

// successor returns the next member of the chain, if there is one.
func (m *Machine) successor() (views.Member, bool) {
	if i := m.chainIndex(); i >= 0 && i+1 < len(m.view.Chain) {
		return m.view.Chain[i+1], true
	}
	return views.Member{}, false
}

func (m *Machine) isSuccessor(x views.Member) bool {
	n, ok := m.successor()
	return ok && n == x
}

func (m *Machine) isPredecessor(x views.Member) bool {
	i := m.chainIndex()
	return i > 0 && m.view.Chain[i-1] == x
}

// forwardEntry sends the stored entry on along the chain; the tail acknowledges it. If the
// successor likely stores it, only its version is sent, and a successor that lacks it says so:
// entries are large, and links and machines may be slow.
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

func (m *Machine) sendInFlight(now int64, likelyStored bool) {
	n, _ := m.successor()
	e := m.inFlight.entry
	m.inFlight.sentAt = now
	body := Forward{Version: e.Version, HistoryDigest: e.HistoryDigest}
	if m.inFlight.versionOnlySends++; !likelyStored || m.inFlight.versionOnlySends >= maxVersionOnlySends {
		body.Entry, m.inFlight.versionOnlySends = &e, 0
	}
	m.send(n, body)
}

// handleForward takes an entry from the predecessor.
func (m *Machine) handleForward(now int64, from views.Member, p Forward) {
	if m.epochIsCurrent() && p.Version < m.stored.Version && !m.mutations.OrderByVersionOnly {
		return // an older one that comes late
	}
	switch {
	case m.inFlight.active && m.inFlight.entry.Matches(p.Version, p.HistoryDigest): // in flight already, and retried from here
	case p.Entry != nil:
		e := *p.Entry
		e.Epoch = m.epoch()
		m.Store(e)
		m.acceptForward(now, false)
	case m.stored.Matches(p.Version, p.HistoryDigest):
		m.acceptForward(now, true)
	default:
		m.send(from, EntryMissing{Version: p.Version})
	}
}

func (m *Machine) acceptForward(now int64, likelyStored bool) {
	m.stampEpoch()
	m.forwardEntry(now, likelyStored)
	m.answerQueries()
}

// markAcknowledged notes that every member from here to the tail stores a version, and informs
// the predecessor.
func (m *Machine) markAcknowledged(now int64, version uint64) {
	if !m.epochIsCurrent() || version > m.stored.Version {
		return // nothing may be acknowledged that this member does not store
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

// retryForward sends the entry in flight again, and suspects a successor that makes no
// progress.
func (m *Machine) retryForward(now int64) {
	n, ok := m.successor()
	if !ok || !m.inFlight.active || m.sealed {
		return
	}
	if now-m.inFlight.sentAt >= m.cfg.RetryInterval {
		m.sendInFlight(now, true)
	}
	if now-m.inFlight.progressAt >= m.cfg.SuspectTimeout {
		m.suspect = Suspect{Member: n, MissingVersion: m.inFlight.firstVersion}
	}
}
