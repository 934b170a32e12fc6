package chain

import (
	"slices"

	"saddleport/internal/cluster/message"
)

// reader is a read that waits at the tail until most members have said that its view
// stands, and the head has vouched for what is kept.
type reader struct {
	id        string
	from      message.Member
	since     int64
	sentAt    int64
	confirmed map[message.Member]bool
}

// asked takes a read at the tail.
func (m *Machine) asked(now int64, from message.Member, read message.Read) {
	if m.view.Tail() != m.self || m.sealed || len(m.reads) >= mostWaiting {
		m.send(from, message.ReadResult{ID: read.ID, Why: "not the tail"})
		return
	}
	if slices.ContainsFunc(m.reads, func(o reader) bool { return o.id == read.ID && o.from == from }) {
		m.sayWaiting(from, read.ID)
		return
	}
	r := reader{id: read.ID, from: from, since: now, sentAt: now, confirmed: map[message.Member]bool{m.self: true}}
	m.reads = append(m.reads, r)
	if !m.breaks.StaleRead {
		m.confirm(r)
	}
	m.answerReads()
}

func (m *Machine) confirm(r reader) {
	for _, o := range m.view.Members {
		if o != m.self && !r.confirmed[o] {
			m.send(o, message.Confirm{ID: r.id})
		}
	}
}

// confirmed takes a member's word that the view stands.
func (m *Machine) confirmed(from message.Member, epoch uint64, c message.Confirmed) {
	if epoch != m.view.Epoch || !m.view.Has(from) {
		return
	}
	if c.Stamp.Less(m.held.Stamp()) && len(m.old) < mostWaiting {
		m.old = append(m.old, Old{from, c.Stamp})
	}
	for i := range m.reads {
		if m.reads[i].id == c.ID {
			m.reads[i].confirmed[from] = true
		}
	}
	m.answerReads()
}

// answerReads answers the reads for which most members say that the view stands: had
// another taken over before the read began, most of them would have promised it.
func (m *Machine) answerReads() {
	if m.view.Tail() != m.self || m.sealed || !m.vouched() {
		return
	}
	m.reads = slices.DeleteFunc(m.reads, func(r reader) bool {
		if len(r.confirmed) < m.view.Majority() && !m.breaks.StaleRead {
			return false
		}
		held := m.held
		m.send(r.from, message.ReadResult{ID: r.id, Entry: &held})
		return true
	})
}

func (m *Machine) confirmAgain(now int64) {
	for i := range m.reads {
		if r := &m.reads[i]; now-r.sentAt >= m.cfg.Resend {
			r.sentAt = now
			m.confirm(*r)
		}
	}
}
