package consensus

import (
	"cmp"
	"slices"

	"saddleport/internal/cluster/message"
)

// heard is what a process last said.
type heard struct {
	at      int64 // its last word
	since   int64 // it is live since then
	epoch   uint64
	stamp   message.Stamp
	inTouch bool // by its own word
	leaving bool
}

// learner is one that is no member and wants to be.
type learner struct {
	at      int64
	stamp   message.Stamp
	leaving bool
}

// peers are the other processes as they were heard of.
type peers struct {
	cfg      Config
	started  int64
	heard    map[message.Member]heard
	learners map[message.Member]learner
}

const forgetAfter = 4 // times Live without a word

func newPeers(now int64, cfg Config) peers {
	return peers{cfg: cfg, started: now, heard: make(map[message.Member]heard), learners: make(map[message.Member]learner)}
}

// hear takes any message as a sign of life.
func (p *peers) hear(now int64, msg message.Message, v message.View) {
	h, known := p.heard[msg.From]
	if !known && !v.Has(msg.From) && len(p.heard) >= 2*p.cfg.Learners {
		return // a stranger too many
	}
	if h.at == 0 || now-h.at >= p.cfg.Live {
		h.since = now
	}
	h.at = max(now, 1)
	switch body := msg.Body.(type) {
	case message.Heartbeat:
		h.epoch, h.stamp, h.inTouch, h.leaving = msg.Epoch, body.Stamp, body.InTouch, body.Leaving
	case message.Join:
		h.epoch, h.stamp, h.inTouch, h.leaving = msg.Epoch, body.Stamp, false, body.Leaving
	}
	p.heard[msg.From] = h
}

// learn notes one that asks to be taken in.
func (p *peers) learn(now int64, x message.Member, j message.Join) {
	if _, known := p.learners[x]; known || len(p.learners) < p.cfg.Learners {
		p.learners[x] = learner{max(now, 1), j.Stamp, j.Leaving}
	}
}

// learning are the learners that were heard lately, in order.
func (p *peers) learning(now int64, v message.View) []message.Member {
	var out []message.Member
	for x, l := range p.learners {
		if now-l.at < p.cfg.Live && !v.Has(x) {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

func compare(a, b message.Member) int {
	return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Disk, b.Disk))
}

// silence is how long nothing was heard of a process, at most since the start.
func (p *peers) silence(now int64, x message.Member) int64 {
	return now - max(p.heard[x].at, p.started)
}

// heardLately is without the time that all are given at the start.
func (p *peers) heardLately(now int64, x message.Member) bool {
	h, known := p.heard[x]
	return known && now-h.at < p.cfg.Live
}

// settled tells whether a process has lived long enough, in a view's epoch.
func (p *peers) settled(now int64, x message.Member, v message.View) bool {
	h := p.heard[x]
	return now-h.since >= p.cfg.Settle && h.epoch == v.Epoch
}

// forget lets go of who is no member and silent.
func (p *peers) forget(now int64, v message.View) {
	for x, l := range p.learners {
		if v.Has(x) || now-l.at >= forgetAfter*p.cfg.Live {
			delete(p.learners, x)
		}
	}
	for x, h := range p.heard {
		if !v.Has(x) && now-h.at >= forgetAfter*p.cfg.Live {
			delete(p.heard, x)
		}
	}
}
