package consensus

import "saddleport/internal/cluster/message"

// compareViews hands the view on to one that is behind, and asks one that is ahead for its
// own: those that this process takes for members may all be others by now.
func (m *Machine) compareViews(now int64, msg message.Message, held message.Stamp) {
	switch {
	case msg.Epoch < m.View.Epoch:
		m.tell(msg.From, held)
	case msg.Epoch > m.View.Epoch:
		m.send(msg.From, m.View.Epoch, m.word(now))
	}
}

// word is what this process says of itself.
func (m *Machine) word(now int64) message.Body {
	if m.Member() {
		return m.heartbeat(now)
	}
	return m.join()
}

// tell hands the view on, with the entry that goes with it where that may be lacking.
func (m *Machine) tell(to message.Member, held message.Stamp) {
	m.send(to, m.View.Epoch, message.Decide{View: m.View, Entry: m.bring(held, m.View.BaseStamp())})
}

// bring is what one that holds something of a stamp lacks of what is needed; nil: nothing.
func (m *Machine) bring(held, needed message.Stamp) *message.Entry {
	if !held.Less(needed) || m.breaks.JoinBehind {
		return nil
	}
	e := m.holder.Held().For(held)
	return &e
}

// decided takes a view that was agreed on, if the entry that goes with it is here.
func (m *Machine) decided(now int64, d message.Decide) {
	if d.View.Epoch <= m.View.Epoch {
		return
	}
	if d.Entry != nil {
		m.holder.Keep(*d.Entry)
	}
	if m.lacks(d.View) {
		return // the entry will come once the other side knows that it is lacking
	}
	m.adopt(now, d.View)
}

func (m *Machine) lacks(v message.View) bool {
	return m.holder.Held().Stamp().Less(v.BaseStamp()) && !m.breaks.JoinBehind
}

// adopt puts a view in force here.
func (m *Machine) adopt(now int64, v message.View) {
	if err := v.Check(); err != nil && !m.breaks.ShortChain {
		panic("invariant: " + err.Error())
	}
	m.View, m.Promised, m.Accepted, m.changed = v, message.Ballot{}, nil, true
	m.mine, m.needSince, m.adoptedAt, m.sealedAt, m.yieldUntil = nil, 0, now, 0, 0
	m.suspicions.clear()
	m.holder.Adopt(now, v)
}
