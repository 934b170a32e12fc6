package consensus

import (
	"cmp"
	"slices"

	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// peerState is what is known about another process from its messages.
type peerState struct {
	lastHeardAt int64 // time of the last message
	aliveSince  int64 // time of the first message since the last gap of FailureTimeout or more
	// As the process reported in its last Heartbeat or Join:
	epoch     uint64          // of its view
	viewstamp views.Viewstamp // of its entry
	hasQuorum bool
	leaving   bool
}

// learnerState is what is known about a process that asks for a vote, from its last Join.
type learnerState struct {
	lastHeardAt int64
	viewstamp   views.Viewstamp
	leaving     bool
}

// peers tracks the other processes by the messages that were received from them.
type peers struct {
	cfg       Config
	startedAt int64
	states    map[views.Member]peerState
	learners  map[views.Member]learnerState
}

// expiryFactor is the number of failure timeouts after which a non-member that was not heard is
// no longer tracked.
const expiryFactor = 4

func newPeers(now int64, cfg Config) peers {
	return peers{cfg: cfg, startedAt: now, states: make(map[views.Member]peerState), learners: make(map[views.Member]learnerState)}
}

// observe records that the sender of a message is alive, and the state that the message reports.
func (p *peers) observe(now int64, msg envelope.Message, v views.View) {
	state, known := p.states[msg.From]
	if !known && !v.Has(msg.From) && len(p.states) >= 2*p.cfg.MaxLearners {
		return // a new non-member is not tracked while 2*MaxLearners processes, members included, are
	}
	if state.lastHeardAt == 0 || now-state.lastHeardAt >= p.cfg.FailureTimeout {
		state.aliveSince = now
	}
	state.lastHeardAt = max(now, 1) // 0 would mean that the process was never heard
	switch body := msg.Body.(type) {
	case Heartbeat:
		state.epoch, state.viewstamp, state.hasQuorum, state.leaving = msg.Epoch, body.Viewstamp, body.HasQuorum, body.Leaving
	case Join:
		state.epoch, state.viewstamp, state.hasQuorum, state.leaving = msg.Epoch, body.Viewstamp, false, body.Leaving
	}
	p.states[msg.From] = state
}

// observeLearner records the Join of a process that asks for a vote. A new learner is ignored
// while MaxLearners are tracked.
func (p *peers) observeLearner(now int64, x views.Member, join Join) {
	if _, known := p.learners[x]; known || len(p.learners) < p.cfg.MaxLearners {
		p.learners[x] = learnerState{max(now, 1), join.Viewstamp, join.Leaving}
	}
}

// recentLearners returns the learners that were heard within the failure timeout, ordered by
// address and disk.
func (p *peers) recentLearners(now int64, v views.View) []views.Member {
	var out []views.Member
	for x, learner := range p.learners {
		if now-learner.lastHeardAt < p.cfg.FailureTimeout && !v.Has(x) {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, compareMembers)
	return out
}

func compareMembers(a, b views.Member) int {
	return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.DiskID, b.DiskID))
}

// timeSinceHeard returns the time since the last message of a process, or since the start of
// this one if that is shorter.
func (p *peers) timeSinceHeard(now int64, x views.Member) int64 {
	return now - max(p.states[x].lastHeardAt, p.startedAt)
}

// recentlyHeard reports whether a process was heard within the failure timeout. Unlike Alive, it
// makes no exception for the time after a start.
func (p *peers) recentlyHeard(now int64, x views.Member) bool {
	state, known := p.states[x]
	return known && now-state.lastHeardAt < p.cfg.FailureTimeout
}

// rejoined reports whether a process has been alive for the rejoin delay and has adopted view v.
func (p *peers) rejoined(now int64, x views.Member, v views.View) bool {
	state := p.states[x]
	return now-state.aliveSince >= p.cfg.RejoinDelay && state.epoch == v.Epoch
}

// expire removes non-members that were not heard for expiryFactor failure timeouts, and learners
// that have become members.
func (p *peers) expire(now int64, v views.View) {
	for x, learner := range p.learners {
		if v.Has(x) || now-learner.lastHeardAt >= expiryFactor*p.cfg.FailureTimeout {
			delete(p.learners, x)
		}
	}
	for x, state := range p.states {
		if !v.Has(x) && now-state.lastHeardAt >= expiryFactor*p.cfg.FailureTimeout {
			delete(p.states, x)
		}
	}
}
