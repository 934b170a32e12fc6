package chain

import (
	"slices"

	"saddleport/internal/cluster/views"
)

// reader is a read that waits at the tail until most members have said that its view
// stands, and the head has vouched for what is kept.
type pendingQuery struct {
	id        string
	from      views.Member
	since     int64
	sentAt    int64
	confirmed map[views.Member]bool
}

// asked takes a read at the tail.
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

// confirmed takes a member's word that the view stands.
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

// answerReads answers the reads for which most members say that the view stands: had
// another taken over before the read began, most of them would have promised it.
func (m *Machine) answerQueries() {
	if m.view.Tail() != m.self || m.sealed || !m.epochIsCurrent() {
		return
	}
	m.pendingQueries = slices.DeleteFunc(m.pendingQueries, func(r pendingQuery) bool {
		if len(r.confirmed) < m.view.Majority() && !m.mutations.StaleRead {
			return false
		}
		held := m.stored
		m.send(r.from, QueryResponse{ID: r.id, Entry: &held})
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
