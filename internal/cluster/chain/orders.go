package chain

import (
	"slices"

	"saddleport/internal/cluster/message"
)

// waiter is an order that waits at the head until what is kept is acknowledged.
type waiter struct {
	id      string
	from    message.Member
	rank    uint64
	verdict message.Verdict
	since   int64
}

// entered takes an order at the head.
func (m *Machine) entered(now int64, from message.Member, order message.Enter) {
	version := message.Version(order.Rank)
	switch {
	case m.view.Head() != m.self || m.sealed:
		m.refuse(from, order.ID, "not the head")
		return
	case order.Entry == nil && version > message.Version(m.held.Rank):
		m.refuse(from, order.ID, "not known here")
		return
	case len(m.waiting) >= mostWaiting:
		m.refuse(from, order.ID, "too many wait")
		return
	}
	if slices.ContainsFunc(m.waiting, func(o waiter) bool { return o.id == order.ID && o.from == from }) {
		m.sayWaiting(from, order.ID)
		return
	}
	if version > message.Version(m.held.Rank) {
		m.Keep(order.Entry.After(m.held, m.epoch()))
	}
	// Whatever is told of an order rests on what is kept, so it waits until that is acknowledged.
	m.waiting = append(m.waiting, waiter{id: order.ID, from: from, rank: m.held.Rank, verdict: m.verdict(order), since: now})
	if m.acked >= m.held.Rank {
		m.answerOrders()
		return
	}
	m.pass(now, m.flight.active && m.flight.entry.Rank == m.held.Rank)
}

// sayWaiting tells a caller that its call is known here and waits for others.
func (m *Machine) sayWaiting(to message.Member, id string) {
	m.send(to, message.Waiting{ID: id})
}

// verdict is what has become of an order, by what is kept.
func (m *Machine) verdict(order message.Enter) message.Verdict {
	version := message.Version(order.Rank)
	if version == message.Version(m.held.Rank) {
		return m.compare(order.Digest, m.held.Digest)
	}
	for _, previous := range m.held.Previous {
		if previous.Version == version {
			return m.compare(order.Digest, previous.Digest)
		}
	}
	return message.Superseded
}

func (m *Machine) compare(sent, taken uint64) message.Verdict {
	if sent == taken || m.breaks.SameNumber {
		return message.Accepted
	}
	return message.Conflict
}

func (m *Machine) refuse(to message.Member, id, why string) {
	m.send(to, message.Entered{ID: id, Why: why})
}

// answerOrders tells those whose order rests on what is acknowledged.
func (m *Machine) answerOrders() {
	m.waiting = slices.DeleteFunc(m.waiting, func(w waiter) bool {
		if w.rank > m.acked {
			return false
		}
		m.send(w.from, message.Entered{ID: w.id, Verdict: w.verdict})
		return true
	})
}
