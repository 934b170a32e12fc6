// Package quota owns each proxy's part of what all proxies may spend together without a
// word on a request's way: the slack of the retry budget. It must never let the parts of
// all proxies add up to more than the whole over any window, as long as each of them knows
// at least half of those that live.
package quota

import "math"

// Config is what is shared. Times are microseconds of the caller's clock.
type Config struct {
	Total      float64 // what all may spend together in a window
	Window     int64
	MinProxies int  // proxies taken for granted, however few are known
	FirstStart bool // the whole system starts for the first time: nobody has spent anything
}

const hiddenProxyFactor = 2 // so many proxies may live for each that is known

// Purse is one proxy's part.
type RetryBudget struct {
	cfg     Config
	started int64
	counts  []proxyCount // falling from the first on, newest last
}

type proxyCount struct {
	n  int
	at int64 // when it was last so many
}

// New returns the purse of a process that starts now. Its life before may have spent a
// whole part, of which this one knows nothing: it gets none before a window has passed.
func NewRetryBudget(now int64, cfg Config) *RetryBudget { return &RetryBudget{cfg: cfg, started: now} }

// Part tells what this proxy may spend in any window, in whole units, where so many
// proxies are known, this one included. Where they grow fewer it grows only once a window
// has passed: those that are gone may have spent theirs.
func (p *RetryBudget) Share(now int64, known int) float64 {
	for len(p.counts) > 0 && p.counts[len(p.counts)-1].n <= known {
		p.counts = p.counts[:len(p.counts)-1]
	}
	p.counts = append(p.counts, proxyCount{known, now})
	for len(p.counts) > 1 && now-p.counts[0].at > p.cfg.Window {
		p.counts = p.counts[1:]
	}
	if len(p.counts) > 1 && p.counts[0].at > p.counts[1].at {
		panic("invariant: counts out of order")
	}
	if !p.cfg.FirstStart && now-p.started < p.cfg.Window {
		return 0
	}
	return math.Floor(p.cfg.Total / hiddenProxyFactor / float64(max(p.counts[0].n, p.cfg.MinProxies, 1)))
}
