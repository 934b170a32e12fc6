package consensus

import (
	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// compareViews compares the view of a message's sender with the current view. A sender with an
// older view is sent the current one. A sender with a newer view is sent an announcement, which
// it answers with that view. This process can't rely on the members of its own view for that,
// because they may all have been replaced. stored is the viewstamp of the sender's entry.
func (m *Machine) compareViews(now int64, msg envelope.Message, stored views.Viewstamp) {
	switch {
	case msg.Epoch < m.View.Epoch:
		m.sendView(msg.From, stored)
	case msg.Epoch > m.View.Epoch:
		m.send(msg.From, m.View.Epoch, m.announcement(now))
	}
}

// announcement returns the heartbeat of a member, or the Join of a process without a vote.
func (m *Machine) announcement(now int64) envelope.Body {
	if m.IsMember() {
		return m.heartbeat(now)
	}
	return m.join()
}

// sendView sends the current view. stored is the viewstamp of the receiver's entry: if it is older
// than the base of the view, the message also carries the entry.
func (m *Machine) sendView(to views.Member, stored views.Viewstamp) {
	m.send(to, m.View.Epoch, Decide{View: m.View, Entry: m.entryFor(stored, m.View.BaseViewstamp())})
}

// entryFor returns the entry of this process, to send to a process whose entry has the viewstamp
// stored and that needs an entry at least as new as needed. It returns nil if stored is not older
// than needed.
func (m *Machine) entryFor(stored, needed views.Viewstamp) *chain.Entry {
	if !stored.Less(needed) || m.mutations.AdoptWithoutEntry {
		return nil
	}
	e := m.store.Stored().WithoutKnownContent(stored)
	return &e
}

// handleDecide adopts a view that was decided, provided that the entry that the view is based
// on is stored here.
func (m *Machine) handleDecide(now int64, d Decide) {
	if d.View.Epoch <= m.View.Epoch {
		return
	}
	if d.Entry != nil {
		m.store.Store(*d.Entry)
	}
	if m.lacksBaseEntry(d.View) {
		return // the next Heartbeat or Join of this process carries the viewstamp of its older entry, and the answer to it carries the newer entry
	}
	m.adopt(now, d.View)
}

// lacksBaseEntry reports whether the entry stored here is older than the one that view v is
// based on.
func (m *Machine) lacksBaseEntry(v views.View) bool {
	return m.store.Stored().Viewstamp().Less(v.BaseViewstamp()) && !m.mutations.AdoptWithoutEntry
}

// adopt makes v the current view of this process. It discards the ballot, the promise and the
// accepted proposal of this process, and ends the seal of the previous view. The reports against
// members are cleared, but members that are suspected stay so until SuspicionTimeout.
func (m *Machine) adopt(now int64, v views.View) {
	if err := v.Check(); err != nil && !m.mutations.ShortChain {
		panic("invariant: " + err.Error())
	}
	m.View, m.Promised, m.Accepted, m.changed = v, Ballot{}, nil, true
	m.ownBallot, m.changeDueSince, m.adoptedAt, m.sealedAt, m.backoffUntil = nil, 0, now, 0, 0
	m.suspicions.clear()
	m.store.AdoptView(now, v)
}
