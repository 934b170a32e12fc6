package consensus

import (
	"cmp"
	"slices"

	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// peerState is what is known of another process.
type peerState struct {
	lastHeardAt int64 // the last message
	aliveSince  int64 // start of the current period without a failure timeout
	epoch       uint64
	viewstamp   views.Viewstamp
	hasQuorum   bool // as it said itself
	leaving     bool
}

// learnerState is what is known of a process that asks for a vote.
type learnerState struct {
	lastHeardAt int64
	viewstamp   views.Viewstamp
	leaving     bool
}

// peers are the other processes as this one has heard from them.
type peers struct {
	cfg      Config
	started  int64
	states   map[views.Member]peerState
	learners map[views.Member]learnerState
}

// failure timeouts
const expiryFactor = 4 // failure timeouts

func newPeers(now int64, cfg Config) peers {
	return peers{cfg: cfg, started: now, states: make(map[views.Member]peerState), learners: make(map[views.Member]learnerState)}
}

// observe takes any message as a sign of life.
func (p *peers) observe(now int64, msg envelope.Message, v views.View) {
	h, known := p.states[msg.From]
	if !known && !v.Has(msg.From) && len(p.states) >= 2*p.cfg.MaxLearners {
		return // a stranger too many
	}
	if h.lastHeardAt == 0 || now-h.lastHeardAt >= p.cfg.FailureTimeout {
		h.aliveSince = now
	}
	h.lastHeardAt = max(now, 1)
	switch body := msg.Body.(type) {
	case Heartbeat:
		h.epoch, h.viewstamp, h.hasQuorum, h.leaving = msg.Epoch, body.Viewstamp, body.HasQuorum, body.Leaving
	case Join:
		h.epoch, h.viewstamp, h.hasQuorum, h.leaving = msg.Epoch, body.Viewstamp, false, body.Leaving
	}
	p.states[msg.From] = h
}

// observeLearner remembers a process that asks for a vote.
func (p *peers) observeLearner(now int64, x views.Member, j Join) {
	if _, known := p.learners[x]; known || len(p.learners) < p.cfg.MaxLearners {
		p.learners[x] = learnerState{max(now, 1), j.Viewstamp, j.Leaving}
	}
}

// recentLearners returns the learners that were heard recently, in order.
func (p *peers) recentLearners(now int64, v views.View) []views.Member {
	var out []views.Member
	for x, l := range p.learners {
		if now-l.lastHeardAt < p.cfg.FailureTimeout && !v.Has(x) {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, compareMembers)
	return out
}

func compareMembers(a, b views.Member) int {
	return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.DiskID, b.DiskID))
}

// silentFor returns how long a process has been silent, at most since the start.
func (p *peers) silentFor(now int64, x views.Member) int64 {
	return now - max(p.states[x].lastHeardAt, p.started)
}

// recentlyHeard is like Alive without the time that all members are given after a start.
func (p *peers) recentlyHeard(now int64, x views.Member) bool {
	h, known := p.states[x]
	return known && now-h.lastHeardAt < p.cfg.FailureTimeout
}

// rejoined reports whether a process has been alive long enough in the epoch of a view.
func (p *peers) rejoined(now int64, x views.Member, v views.View) bool {
	h := p.states[x]
	return now-h.aliveSince >= p.cfg.RejoinDelay && h.epoch == v.Epoch
}

// expire removes processes that are no members and silent.
func (p *peers) expire(now int64, v views.View) {
	for x, l := range p.learners {
		if v.Has(x) || now-l.lastHeardAt >= expiryFactor*p.cfg.FailureTimeout {
			delete(p.learners, x)
		}
	}
	for x, h := range p.states {
		if !v.Has(x) && now-h.lastHeardAt >= expiryFactor*p.cfg.FailureTimeout {
			delete(p.states, x)
		}
	}
}
