// Package quota owns each proxy's part of what all proxies may spend together without a
// word on a request's way: the slack of the retry budget. It must never let the parts of
// all proxies add up to more than the whole over any window, as long as each of them knows
// at least half of those that live.
package quota

import "math"

// Config is what is shared. Times are microseconds of the caller's clock.
type Config struct {
	Whole  float64 // what all may spend together in a window
	Window int64
	Least  int  // proxies taken for granted, however few are known
	Fresh  bool // the whole system starts for the first time: nobody has spent anything
}

const kept = 2 // so many proxies may live for each that is known

// Purse is one proxy's part.
type Purse struct {
	cfg     Config
	started int64
	known   []count // falling from the first on, newest last
}

type count struct {
	n  int
	at int64 // when it was last so many
}

// New returns the purse of a process that starts now. Its life before may have spent a
// whole part, of which this one knows nothing: it gets none before a window has passed.
func New(now int64, cfg Config) *Purse { return &Purse{cfg: cfg, started: now} }

// Part tells what this proxy may spend in any window, in whole units, where so many
// proxies are known, this one included. Where they grow fewer it grows only once a window
// has passed: those that are gone may have spent theirs.
func (p *Purse) Part(now int64, known int) float64 {
	for len(p.known) > 0 && p.known[len(p.known)-1].n <= known {
		p.known = p.known[:len(p.known)-1]
	}
	p.known = append(p.known, count{known, now})
	for len(p.known) > 1 && now-p.known[0].at > p.cfg.Window {
		p.known = p.known[1:]
	}
	if len(p.known) > 1 && p.known[0].at > p.known[1].at {
		panic("invariant: counts out of order")
	}
	if !p.cfg.Fresh && now-p.started < p.cfg.Window {
		return 0
	}
	return math.Floor(p.cfg.Whole / kept / float64(max(p.known[0].n, p.cfg.Least, 1)))
}
