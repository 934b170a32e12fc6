package chain

import (
	"slices"

	"saddleport/internal/cluster/views"
)

// pendingQuery is a read that is pending at the tail until a majority of the members has confirmed
// the view and the head has confirmed the stored entry.
type pendingQuery struct {
	id        string
	from      views.Member
	since     int64
	sentAt    int64
	confirmed map[views.Member]bool
}

// handleQueryRequest handles a read. Only the tail accepts it.
func (m *Machine) handleQueryRequest(now int64, from views.Member, read QueryRequest) {
	if m.view.Tail() != m.self || m.sealed || len(m.pendingQueries) >= maxPending {
		m.send(from, QueryResponse{ID: read.ID, Reason: "not the tail"})
		return
	}
	if slices.ContainsFunc(m.pendingQueries, func(pending pendingQuery) bool { return pending.id == read.ID && pending.from == from }) {
		m.sendRequestPending(from, read.ID)
		return
	}
	query := pendingQuery{id: read.ID, from: from, since: now, sentAt: now, confirmed: map[views.Member]bool{m.self: true}}
	m.pendingQueries = append(m.pendingQueries, query)
	if !m.mutations.StaleRead {
		m.requestConfirmations(query)
	}
	m.answerQueries()
}

// requestConfirmations asks the members that have not confirmed the view for a read to do so.
func (m *Machine) requestConfirmations(query pendingQuery) {
	for _, member := range m.view.Members {
		if member != m.self && !query.confirmed[member] {
			m.send(member, ConfirmView{ID: query.id})
		}
	}
}

// handleViewConfirmed counts a member's confirmation of the view, and records the member as stale if
// it stores an older entry.
func (m *Machine) handleViewConfirmed(from views.Member, epoch uint64, confirmation ViewConfirmed) {
	if epoch != m.view.Epoch || !m.view.Has(from) {
		return
	}
	if confirmation.Viewstamp.Less(m.stored.Viewstamp()) && len(m.staleReplicas) < maxPending {
		m.staleReplicas = append(m.staleReplicas, StaleReplica{from, confirmation.Viewstamp})
	}
	for i := range m.pendingQueries {
		if m.pendingQueries[i].id == confirmation.ID {
			m.pendingQueries[i].confirmed[from] = true
		}
	}
	m.answerQueries()
}

// answerQueries answers the reads for which a majority has confirmed the view. If another view had
// replaced it before the read began, a majority would have promised that one and not confirmed.
func (m *Machine) answerQueries() {
	if m.view.Tail() != m.self || m.sealed || !m.epochIsCurrent() {
		return
	}
	m.pendingQueries = slices.DeleteFunc(m.pendingQueries, func(query pendingQuery) bool {
		if len(query.confirmed) < m.view.Majority() && !m.mutations.StaleRead {
			return false
		}
		stored := m.stored
		m.send(query.from, QueryResponse{ID: query.id, Entry: &stored})
		return true
	})
}

// retryConfirmations repeats the requests for confirmation of pending reads after a retry interval.
func (m *Machine) retryConfirmations(now int64) {
	for i := range m.pendingQueries {
		if query := &m.pendingQueries[i]; now-query.sentAt >= m.cfg.RetryInterval {
			query.sentAt = now
			m.requestConfirmations(*query)
		}
	}
}
