package member

import "saddleport/internal/cluster/gossip"

// absenceDelay is how long after its start a process may know none of a kind before that is
// reported, in microseconds.
const absenceDelay = 3_000_000

// presence notes of which kinds other processes are known to be alive. What a process cannot
// say by itself is that those which it does not know exist: so the absence of all of a kind is
// reported, and the return of one.
type presence struct {
	startedAt int64
	states    map[string]presenceState
}

type presenceState int

const (
	presenceUnknown presenceState = iota // none was known yet
	kindPresent
	kindAbsent
)

func newPresence(now int64) presence {
	return presence{startedAt: now, states: make(map[string]presenceState)}
}

// update takes how many processes of a kind are known and reports whether that changes anything: the
// first of them, or that there is none any more.
func (p *presence) update(now int64, kind string, count int) (event EventKind, changed bool) {
	state := p.states[kind]
	switch {
	case count > 0 && state != kindPresent:
		p.states[kind] = kindPresent
		return KindPresent, true
	case count == 0 && (state == kindPresent || state == presenceUnknown && now-p.startedAt >= absenceDelay):
		p.states[kind] = kindAbsent
		return KindAbsent, true
	}
	return 0, false
}

// reportPresence emits an event for each kind that was first met, or of which none is left.
func (m *Machine) reportPresence(now int64) {
	for _, kind := range []string{gossip.KindAgent, gossip.KindControlPlane} {
		count := len(m.gossiper.Peers(kind))
		if event, changed := m.presence.update(now, kind, count); changed {
			m.emit(Event{Kind: event, ProcessKind: kind, Count: count})
		}
	}
}
