package consensus

import (
	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// compareViews sends the view to a process that is behind, and asks one that is ahead for its
// view: all members that this process knows may have been replaced.
func (m *Machine) compareViews(now int64, msg envelope.Message, stored views.Viewstamp) {
	switch {
	case msg.Epoch < m.View.Epoch:
		m.sendView(msg.From, stored)
	case msg.Epoch > m.View.Epoch:
		m.send(msg.From, m.View.Epoch, m.announcement(now))
	}
}

// announcement is the heartbeat of a member, or the request of a process without a vote.
func (m *Machine) announcement(now int64) envelope.Body {
	if m.IsMember() {
		return m.heartbeat(now)
	}
	return m.join()
}

// sendView sends the view, with its entry if the receiver may lack it.
func (m *Machine) sendView(to views.Member, stored views.Viewstamp) {
	m.send(to, m.View.Epoch, Decide{View: m.View, Entry: m.entryFor(stored, m.View.BaseViewstamp())})
}

// entryFor returns the entry that a process lacks which stores one viewstamp and needs
// another; nil if it lacks nothing.
func (m *Machine) entryFor(stored, needed views.Viewstamp) *chain.Entry {
	if !stored.Less(needed) || m.mutations.AdoptWithoutEntry {
		return nil
	}
	e := m.store.Stored().WithoutKnownContent(stored)
	return &e
}

// handleDecide adopts a view that was decided, provided that its entry is stored here.
func (m *Machine) handleDecide(now int64, d Decide) {
	if d.View.Epoch <= m.View.Epoch {
		return
	}
	if d.Entry != nil {
		m.store.Store(*d.Entry)
	}
	if m.missesEntryOf(d.View) {
		return // the entry will come once the other side knows that it is lacking
	}
	m.adopt(now, d.View)
}

// missesEntryOf reports whether the entry that a view rests on is not stored here.
func (m *Machine) missesEntryOf(v views.View) bool {
	return m.store.Stored().Viewstamp().Less(v.BaseViewstamp()) && !m.mutations.AdoptWithoutEntry
}

// adopt puts a view in force here.
func (m *Machine) adopt(now int64, v views.View) {
	if err := v.Check(); err != nil && !m.mutations.ShortChain {
		panic("invariant: " + err.Error())
	}
	m.View, m.Promised, m.Accepted, m.changed = v, Ballot{}, nil, true
	m.ownBallot, m.changeDueSince, m.adoptedAt, m.sealedAt, m.backoffUntil = nil, 0, now, 0, 0
	m.suspicions.clear()
	m.store.AdoptView(now, v)
}
