package chain

import (
	"fmt"
	"slices"

	"saddleport/internal/cluster/message"
)

// call is an order or a read that was made here, and is sent to the head or the tail.
type call struct {
	id      string
	entry   *message.Entry // nil: a read
	since   int64
	sentAt  int64
	whole   bool  // the receiver was sent the entry: from then on its rank will do
	heardAt int64 // when its receiver was last heard of it: it lives
}

func (c call) receiver(v message.View) message.Member {
	if c.entry == nil {
		return v.Tail()
	}
	return v.Head()
}

// Put asks for an entry to be acknowledged; the Result comes under the id returned.
func (m *Machine) Put(now int64, e message.Entry) string { return m.ask(now, &e) }

// Get asks for the newest acknowledged entry.
func (m *Machine) Get(now int64) string { return m.ask(now, nil) }

func (m *Machine) ask(now int64, e *message.Entry) string {
	m.numbers++
	id := fmt.Sprintf("%s.%d", m.nonce, m.numbers)
	if len(m.calls) >= mostWaiting {
		m.results = append(m.results, Result{ID: id, Why: "too many callers wait"})
		return id
	}
	m.calls = append(m.calls, call{id: id, entry: e, since: now})
	m.forward(now)
	return id
}

// forward sends the calls made here to the head or the tail.
func (m *Machine) forward(now int64) {
	if len(m.view.Chain) == 0 {
		return
	}
	for i := range m.calls {
		c := &m.calls[i]
		if c.sentAt != 0 && now-c.sentAt < m.cfg.Resend {
			continue
		}
		c.sentAt = max(now, 1)
		if c.entry == nil {
			m.send(m.view.Tail(), message.Read{ID: c.id})
			continue
		}
		body := message.Enter{ID: c.id, Rank: c.entry.Rank, Digest: c.entry.Digest}
		if !c.whole {
			body.Entry, c.whole = c.entry, true
		}
		m.send(m.view.Head(), body)
	}
}

// answered takes the head's answer to an order.
func (m *Machine) answered(now int64, a message.Entered) {
	if a.Why != "" {
		m.again(now, a.ID)
		return
	}
	m.end(Result{ID: a.ID, Verdict: a.Verdict})
}

// found takes the tail's answer to a read.
func (m *Machine) found(now int64, f message.ReadResult) {
	if f.Why != "" {
		m.again(now, f.ID)
		return
	}
	m.end(Result{ID: f.ID, Entry: f.Entry})
}

// again has a call that was refused for the view's sake go out once more, a little later.
func (m *Machine) again(now int64, id string) {
	for i := range m.calls {
		if c := &m.calls[i]; c.id == id {
			c.sentAt, c.heardAt, c.whole = max(now-m.cfg.Resend/2, 1), now, false
		}
	}
}

// known notes that a call's receiver has it and waits for others.
func (m *Machine) known(now int64, id string) {
	for i := range m.calls {
		if m.calls[i].id == id {
			m.calls[i].heardAt = now
		}
	}
}

func (m *Machine) end(r Result) {
	i := slices.IndexFunc(m.calls, func(c call) bool { return c.id == r.ID })
	if i < 0 {
		return // it was answered before, or given up
	}
	m.calls = slices.Delete(m.calls, i, i+1)
	m.results = append(m.results, r)
}
