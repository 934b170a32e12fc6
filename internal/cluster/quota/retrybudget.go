// Package quota divides limits among proxies without a call per request: the slack of the retry
// budget, a number of retries per window that does not depend on the request rate (RetryBudget),
// and the allowances of callers, which one agent leases (Lessor) and each proxy spends (Holder).
// The shares of all proxies never add up to more than the limit over any window, as long as each
// proxy knows at least half of the live proxies.
package quota

import "math"

// Config configures a retry budget. Times are microseconds of the caller's clock.
type Config struct {
	Total      float64 // retries that all proxies together may spend in a window
	Window     int64
	MinProxies int  // minimum number of proxies to assume, if fewer are known
	FirstStart bool // the system starts for the first time: no proxy has spent anything yet
}

// hiddenProxyFactor is the maximum number of live proxies for each one that is known.
const hiddenProxyFactor = 2

// RetryBudget is one proxy's share of the retry budget. It is not safe for concurrent use.
type RetryBudget struct {
	cfg     Config
	started int64
	counts  recentMax // numbers of known proxies
}

// NewRetryBudget returns the budget of a process that starts now. The process may have spent a full
// share before a restart, so it gets none until one window has passed, unless FirstStart is set.
func NewRetryBudget(now int64, cfg Config) *RetryBudget { return &RetryBudget{cfg: cfg, started: now} }

// Share returns the number of retries, rounded down, that this proxy may spend in any window. known
// is the number of known proxies, including this one. If that number falls, the share grows only
// after one window, because proxies that have left may have spent their shares.
func (b *RetryBudget) Share(now int64, known int) float64 {
	proxies := b.counts.observe(now, b.cfg.Window, known)
	if !b.cfg.FirstStart && now-b.started < b.cfg.Window {
		return 0
	}
	return math.Floor(b.cfg.Total / hiddenProxyFactor / float64(max(proxies, b.cfg.MinProxies, 1)))
}
