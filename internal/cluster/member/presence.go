package member

import "saddleport/internal/cluster/gossip"

// absenceDelay is the time in microseconds after its start during which a process may know no other
// process of a kind before that is reported.
const absenceDelay = 3_000_000

// presence tracks of which kinds other processes are known to be alive. A process cannot report the
// existence of processes that it does not know, so it reports that it knows none of a kind, and when
// it knows one again.
type presence struct {
	startedAt int64
	states    map[string]presenceState
}

type presenceState int

const (
	presenceUnknown presenceState = iota // none has been known so far
	kindPresent
	kindAbsent
)

func newPresence(now int64) presence {
	return presence{startedAt: now, states: make(map[string]presenceState)}
}

// update records how many processes of a kind are known to be alive. It reports a change if they are
// the first of that kind, or if there is none any more or was none for absenceDelay after the start.
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

// reportPresence emits an event for each kind of which the first process became known, or of which
// none is known to be alive.
func (m *Machine) reportPresence(now int64) {
	for _, kind := range []string{gossip.KindAgent, gossip.KindControlPlane} {
		count := len(m.gossiper.Peers(kind))
		if event, changed := m.presence.update(now, kind, count); changed {
			m.emit(Event{Kind: event, ProcessKind: kind, Count: count})
		}
	}
}
