package chain

import (
	"fmt"
	"slices"

	"saddleport/internal/cluster/views"
)

// localCall is an update or a read that this process makes for a caller.
type localCall struct {
	id        string
	entry     *Entry // nil: a read
	since     int64
	sentAt    int64
	entrySent bool  // the receiver was sent the entry; from then on its version is enough
	pendingAt int64 // when the receiver last said that it waits for others
}

func (c localCall) receiver(v views.View) views.Member {
	if c.entry == nil {
		return v.Tail()
	}
	return v.Head()
}

// Put requests that an entry be acknowledged. The Result comes under the returned id.
func (m *Machine) Put(now int64, e Entry) string { return m.startCall(now, &e) }

// Get requests the newest acknowledged entry. The Result comes under the returned id.
func (m *Machine) Get(now int64) string { return m.startCall(now, nil) }

func (m *Machine) startCall(now int64, e *Entry) string {
	m.callSequence++
	id := fmt.Sprintf("%s.%d", m.nonce, m.callSequence)
	if len(m.localCalls) >= maxPending {
		m.results = append(m.results, Result{ID: id, Reason: "too many callers wait"})
		return id
	}
	m.localCalls = append(m.localCalls, localCall{id: id, entry: e, since: now})
	m.sendCalls(now)
	return id
}

// sendCalls sends this process's calls to the head or the tail.
func (m *Machine) sendCalls(now int64) {
	if len(m.view.Chain) == 0 {
		return
	}
	for i := range m.localCalls {
		c := &m.localCalls[i]
		if c.sentAt != 0 && now-c.sentAt < m.cfg.RetryInterval {
			continue
		}
		c.sentAt = max(now, 1)
		if c.entry == nil {
			m.send(m.view.Tail(), QueryRequest{ID: c.id})
			continue
		}
		body := UpdateRequest{ID: c.id, Version: c.entry.Version, Digest: c.entry.Digest}
		if !c.entrySent {
			body.Entry, c.entrySent = c.entry, true
		}
		m.send(m.view.Head(), body)
	}
}

// handleUpdateResponse takes the head's answer to an update.
func (m *Machine) handleUpdateResponse(now int64, a UpdateResponse) {
	if a.Reason != "" {
		m.retryLater(now, a.ID)
		return
	}
	m.finishCall(Result{ID: a.ID, Verdict: a.Verdict})
}

// handleQueryResponse takes the tail's answer to a read.
func (m *Machine) handleQueryResponse(now int64, f QueryResponse) {
	if f.Reason != "" {
		m.retryLater(now, f.ID)
		return
	}
	m.finishCall(Result{ID: f.ID, Entry: f.Entry})
}

// retryLater sends a call again shortly, after it was refused because of a view change.
func (m *Machine) retryLater(now int64, id string) {
	for i := range m.localCalls {
		if c := &m.localCalls[i]; c.id == id {
			c.sentAt, c.pendingAt, c.entrySent = max(now-m.cfg.RetryInterval/2, 1), now, false
		}
	}
}

// handleRequestPending notes that a call's receiver has it and waits for others.
func (m *Machine) handleRequestPending(now int64, id string) {
	for i := range m.localCalls {
		if m.localCalls[i].id == id {
			m.localCalls[i].pendingAt = now
		}
	}
}

func (m *Machine) finishCall(r Result) {
	i := slices.IndexFunc(m.localCalls, func(c localCall) bool { return c.id == r.ID })
	if i < 0 {
		return // it was answered before, or given up
	}
	m.localCalls = slices.Delete(m.localCalls, i, i+1)
	m.results = append(m.results, r)
}
