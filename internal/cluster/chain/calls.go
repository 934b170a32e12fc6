package chain

import (
	"fmt"
	"slices"

	"saddleport/internal/cluster/views"
)

// localCall is an update or a read that this process requests of the chain for a caller.
type localCall struct {
	id        string
	entry     *Entry // nil: a read
	since     int64
	sentAt    int64 // 0: to be sent at the next opportunity
	entrySent bool  // the entry was sent to the receiver; repetitions carry its version only
	pendingAt int64 // when the receiver last reported that the call is pending
}

// receiver returns the member that handles the call in view v: the head an update, the tail a read.
func (c localCall) receiver(v views.View) views.Member {
	if c.entry == nil {
		return v.Tail()
	}
	return v.Head()
}

// Put requests that an entry be acknowledged. TakeOutput returns the Result under the returned id.
func (m *Machine) Put(now int64, e Entry) string { return m.startCall(now, &e) }

// Get requests the newest acknowledged entry. TakeOutput returns the Result under the returned id.
func (m *Machine) Get(now int64) string { return m.startCall(now, nil) }

func (m *Machine) startCall(now int64, e *Entry) string {
	m.callSequence++
	id := fmt.Sprintf("%s.%d", m.nonce, m.callSequence)
	if len(m.localCalls) >= maxPending {
		m.results = append(m.results, Result{ID: id, Reason: "too many pending calls"})
		return id
	}
	m.localCalls = append(m.localCalls, localCall{id: id, entry: e, since: now})
	m.sendCalls(now)
	return id
}

// sendCalls sends the calls of this process to the head or the tail: new ones, and those that were
// last sent a retry interval ago.
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

// handleUpdateResponse handles the head's answer to an update.
func (m *Machine) handleUpdateResponse(now int64, response UpdateResponse) {
	if response.Reason != "" {
		m.retryLater(now, response.ID)
		return
	}
	m.finishCall(Result{ID: response.ID, Verdict: response.Verdict})
}

// handleQueryResponse handles the tail's answer to a read.
func (m *Machine) handleQueryResponse(now int64, response QueryResponse) {
	if response.Reason != "" {
		m.retryLater(now, response.ID)
		return
	}
	m.finishCall(Result{ID: response.ID, Entry: response.Entry})
}

// retryLater schedules a call that its receiver has rejected, mostly because of a view change, to be
// sent again after half a retry interval.
func (m *Machine) retryLater(now int64, id string) {
	for i := range m.localCalls {
		if c := &m.localCalls[i]; c.id == id {
			c.sentAt, c.pendingAt, c.entrySent = max(now-m.cfg.RetryInterval/2, 1), now, false
		}
	}
}

// handleRequestPending records that the receiver of a call has it and waits for other members.
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
		return // answered before, or timed out
	}
	m.localCalls = slices.Delete(m.localCalls, i, i+1)
	m.results = append(m.results, r)
}
