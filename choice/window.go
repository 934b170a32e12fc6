package choice

// How many parts may be outstanding at a server, and the latencies that its answers are compared with.
//
//   - windows below one (shrinkWindow, handleOutcome): failures in a large tier; against the load of all
//     routers that each keep one part at a full server; delays learning that a server is healthy again.

// The window per server: additive increase, multiplicative decrease.
const (
	initialWindow = 4.0 // initial size (docs/design.md)
	minWindow     = 1.0 // floor; a tier of more than initialWindow routers has initialWindow/Routers instead
	growMinUse    = 0.5 // grow only if this share of the window is in use (RFC 7661: else nothing is proven)
	shrinkFrom    = 0.6 // share of the latency target: a served part that took longer shrinks the window
	shrinkFactor  = 0.5 // for every bad sign (docs/design.md); a milder cut for late parts showed no gain
)

// Latencies per class: two quantiles, tracked by small steps.
const (
	medianRank, upperRank = 0.5, 0.9

	quantileStep           = 0.06
	defaultOverdueMultiple = 1.5 // of the upper quantile
	defaultOverdueMaxShare = 0.4 // of the latency target: early enough for a hedge to help
	maxPredictionRatio     = 4.0 // how far a prediction may raise or lower a part's expected latency
	fastSamples            = 4   // the first samples move the quantiles by at least 1/(1+samples/this)

	initialMedian, initialUpper = 0.125, 0.25 // quantiles before any answer, as shares of the latency target
)

// addLatency updates the quantiles with one sample; the first samples move them far.
func (c *class) addLatency(latency float64) {
	c.latencySamples++
	step := max(quantileStep, 1/(1+c.latencySamples/fastSamples))
	c.median = trackQuantile(c.median, latency, medianRank, step)
	c.upperQuantile = trackQuantile(c.upperQuantile, latency, upperRank, step)
}

// shrinkWindow cuts the server's window (recordOutcome grows it), unless the attempt was sent before the last
// cut: a burst of bad outcomes counts as one sign, as a round trip does in TCP. A window below
// one makes the router pause after each part (handleOutcome).
func (r *Router) shrinkWindow(a *attempt) {
	if a.sentAt >= a.server.lastShrinkAt {
		a.server.lastShrinkAt = r.now
		a.server.window = max(a.server.window*shrinkFactor,
			min(minWindow, initialWindow/float64(max(r.settings.Routers, 1))))
	}
}
