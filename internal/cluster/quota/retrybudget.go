// Package quota divides limits among proxies without a call per request: the slack of the
// retry budget (RetryBudget), and allowances of callers, which one agent leases (Lessor) and
// each proxy spends (Holder). The shares of all proxies never add up to more than the limit
// over any window, as long as each proxy knows at least half of those that are alive.
package quota

import "math"

// Config tunes a retry budget. Times are microseconds of the caller's clock.
type Config struct {
	Total      float64 // what all proxies may spend together in a window
	Window     int64
	MinProxies int  // proxies that are assumed, however few are known
	FirstStart bool // the system starts for the first time: nobody has spent anything
}

// hiddenProxyFactor is how many proxies may be alive for each one that is known.
const hiddenProxyFactor = 2 // so many proxies may live for each that is known

// RetryBudget is one proxy's share of the retry budget. It is not safe for concurrent use.
type RetryBudget struct {
	cfg     Config
	started int64
	counts  recentMax // of proxies known
}

// NewRetryBudget returns the budget of a process that starts now. Before a restart it may have
// spent a full share, so it gets none before a window has passed.
func NewRetryBudget(now int64, cfg Config) *RetryBudget { return &RetryBudget{cfg: cfg, started: now} }

// Share returns what this proxy may spend in any window, in full units, if so many proxies
// are known, this one included. If they become fewer the share grows only after a window:
// those that are gone may have spent theirs.
func (b *RetryBudget) Share(now int64, known int) float64 {
	proxies := b.counts.observe(now, b.cfg.Window, known)
	if !b.cfg.FirstStart && now-b.started < b.cfg.Window {
		return 0
	}
	return math.Floor(b.cfg.Total / hiddenProxyFactor / float64(max(proxies, b.cfg.MinProxies, 1)))
}
