package consensus

import (
	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// compareViews hands the view on to one that is behind, and asks one that is ahead for its
// own: those that this process takes for members may all be others by now.
func (m *Machine) compareViews(now int64, msg envelope.Message, stored views.Viewstamp) {
	switch {
	case msg.Epoch < m.View.Epoch:
		m.sendView(msg.From, stored)
	case msg.Epoch > m.View.Epoch:
		m.send(msg.From, m.View.Epoch, m.announcement(now))
	}
}

// word is what this process says of itself.
func (m *Machine) announcement(now int64) envelope.Body {
	if m.IsMember() {
		return m.heartbeat(now)
	}
	return m.join()
}

// tell hands the view on, with the entry that goes with it where that may be lacking.
func (m *Machine) sendView(to views.Member, stored views.Viewstamp) {
	m.send(to, m.View.Epoch, Decide{View: m.View, Entry: m.entryFor(stored, m.View.BaseViewstamp())})
}

// bring is what one that holds something of a stamp lacks of what is needed; nil: nothing.
func (m *Machine) entryFor(stored, needed views.Viewstamp) *chain.Entry {
	if !stored.Less(needed) || m.mutations.JoinBehind {
		return nil
	}
	e := m.store.Stored().WithoutKnownContent(stored)
	return &e
}

// decided takes a view that was agreed on, if the entry that goes with it is here.
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

func (m *Machine) missesEntryOf(v views.View) bool {
	return m.store.Stored().Viewstamp().Less(v.BaseViewstamp()) && !m.mutations.JoinBehind
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
