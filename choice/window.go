package choice

// How many parts may be outstanding at a server, and the latencies that its answers are compared with.
//
//   - windows below one (shrinkWindow, handleOutcome): failures in a large tier; against the load of all
//     routers that each keep one part at a full server; delays learning that a server is healthy again.

// The window per server: additive increase, multiplicative decrease.
const (
	initialWindow = 4.0 // initial size in the design
	minWindow     = 1.0 // floor in the design, which holds while one part per router fits an initial window
	growMinUse    = 0.5 // grow only if this share of the window is in use (RFC 7661: else nothing is proven)
	shrinkFrom    = 0.6 // share of the latency target: a served part that took longer shrinks the window
	shrinkFactor  = 0.5 // halving, as in the design, for every bad sign: milder for late parts gained nothing
)

// Latencies per class: two quantiles, tracked by small steps.
const (
	medianRank, upperRank = 0.5, 0.9

	quantileStep           = 0.06
	defaultOverdueMultiple = 1.5 // of the upper quantile
	defaultOverdueMaxShare = 0.4 // of the latency target: early enough for a hedge to help
	maxPredictionRatio     = 4.0 // how far a prediction may raise or lower a part's expected latency
	fastSamples            = 4   // the first samples move the quantiles far: at least by 1/(1+samples/this)

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
// cut: a burst of bad outcomes counts as one sign, as a round trip does in TCP. A window below one is a
// pause.
func (r *Router) shrinkWindow(a *attempt) {
	if a.sentAt >= a.server.lastShrinkAt {
		a.server.lastShrinkAt = r.now
		a.server.window = max(a.server.window*shrinkFactor,
			min(minWindow, initialWindow/float64(max(r.settings.Routers, 1))))
	}
}
