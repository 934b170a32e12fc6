package consensus

import (
	"cmp"
	"slices"

	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// heard is what a process last said.
type peerState struct {
	lastHeardAt int64 // its last word
	aliveSince  int64 // it is live since then
	epoch       uint64
	viewstamp   views.Viewstamp
	hasQuorum   bool // by its own word
	leaving     bool
}

// learner is one that is no member and wants to be.
type learnerState struct {
	lastHeardAt int64
	viewstamp   views.Viewstamp
	leaving     bool
}

// peers are the other processes as they were heard of.
type peers struct {
	cfg      Config
	started  int64
	states   map[views.Member]peerState
	learners map[views.Member]learnerState
}

const expiryFactor = 4 // times Live without a word

func newPeers(now int64, cfg Config) peers {
	return peers{cfg: cfg, started: now, states: make(map[views.Member]peerState), learners: make(map[views.Member]learnerState)}
}

// hear takes any message as a sign of life.
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

// learn notes one that asks to be taken in.
func (p *peers) observeLearner(now int64, x views.Member, j Join) {
	if _, known := p.learners[x]; known || len(p.learners) < p.cfg.MaxLearners {
		p.learners[x] = learnerState{max(now, 1), j.Viewstamp, j.Leaving}
	}
}

// learning are the learners that were heard lately, in order.
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

// silence is how long nothing was heard of a process, at most since the start.
func (p *peers) silentFor(now int64, x views.Member) int64 {
	return now - max(p.states[x].lastHeardAt, p.started)
}

// heardLately is without the time that all are given at the start.
func (p *peers) recentlyHeard(now int64, x views.Member) bool {
	h, known := p.states[x]
	return known && now-h.lastHeardAt < p.cfg.FailureTimeout
}

// settled tells whether a process has lived long enough, in a view's epoch.
func (p *peers) rejoined(now int64, x views.Member, v views.View) bool {
	h := p.states[x]
	return now-h.aliveSince >= p.cfg.RejoinDelay && h.epoch == v.Epoch
}

// forget lets go of who is no member and silent.
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
