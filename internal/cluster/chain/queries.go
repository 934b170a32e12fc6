package chain

import (
	"slices"

	"saddleport/internal/cluster/views"
)

// pendingQuery is a read that waits at the tail until a majority has confirmed the view and
// the head has confirmed the stored entry.
type pendingQuery struct {
	id        string
	from      views.Member
	since     int64
	sentAt    int64
	confirmed map[views.Member]bool
}

// handleQueryRequest takes a read at the tail.
func (m *Machine) handleQueryRequest(now int64, from views.Member, read QueryRequest) {
	if m.view.Tail() != m.self || m.sealed || len(m.pendingQueries) >= maxPending {
		m.send(from, QueryResponse{ID: read.ID, Reason: "not the tail"})
		return
	}
	if slices.ContainsFunc(m.pendingQueries, func(o pendingQuery) bool { return o.id == read.ID && o.from == from }) {
		m.sendRequestPending(from, read.ID)
		return
	}
	r := pendingQuery{id: read.ID, from: from, since: now, sentAt: now, confirmed: map[views.Member]bool{m.self: true}}
	m.pendingQueries = append(m.pendingQueries, r)
	if !m.mutations.StaleRead {
		m.requestConfirmations(r)
	}
	m.answerQueries()
}

func (m *Machine) requestConfirmations(r pendingQuery) {
	for _, o := range m.view.Members {
		if o != m.self && !r.confirmed[o] {
			m.send(o, ConfirmView{ID: r.id})
		}
	}
}

// handleViewConfirmed counts a member's confirmation that the view is in force.
func (m *Machine) handleViewConfirmed(from views.Member, epoch uint64, c ViewConfirmed) {
	if epoch != m.view.Epoch || !m.view.Has(from) {
		return
	}
	if c.Viewstamp.Less(m.stored.Viewstamp()) && len(m.staleReplicas) < maxPending {
		m.staleReplicas = append(m.staleReplicas, StaleReplica{from, c.Viewstamp})
	}
	for i := range m.pendingQueries {
		if m.pendingQueries[i].id == c.ID {
			m.pendingQueries[i].confirmed[from] = true
		}
	}
	m.answerQueries()
}

// answerQueries answers the reads whose view a majority has confirmed: had another view
// replaced it before the read began, a majority would have promised that one.
func (m *Machine) answerQueries() {
	if m.view.Tail() != m.self || m.sealed || !m.epochIsCurrent() {
		return
	}
	m.pendingQueries = slices.DeleteFunc(m.pendingQueries, func(r pendingQuery) bool {
		if len(r.confirmed) < m.view.Majority() && !m.mutations.StaleRead {
			return false
		}
		stored := m.stored
		m.send(r.from, QueryResponse{ID: r.id, Entry: &stored})
		return true
	})
}

func (m *Machine) retryConfirmations(now int64) {
	for i := range m.pendingQueries {
		if r := &m.pendingQueries[i]; now-r.sentAt >= m.cfg.RetryInterval {
			r.sentAt = now
			m.requestConfirmations(*r)
		}
	}
}
