package choice

// How much load a server gets that has just started.
//
//   - slow start (acceptsLoad, startSlowStart): the list shows a recent start; against overloading a server
//     that is warming up; causes rejections if all replicas are new.

import "math"

const (
	slowStartSafety    = 0.7  // of the estimated limit, which one router's best span overestimates
	observedRateDecay  = 0.95 // per OverloadWindow: how fast the load that servers took before is forgotten
	observedRateSigmas = 2.0  // standard deviations off the busiest server's load: part of it is chance
)

// acceptsLoad reports whether a server may be sent a part. It keeps what a server in slow start is sent in
// any OverloadWindow below what it can take: each router accumulates its share of that as tokens, with a
// random number of tokens at the start. While nothing is known, all routers together send one part per
// window.
func (r *Router) acceptsLoad(s *server) bool {
	if s.State != Ready || s.slowStartFrom == 0 {
		return s.State == Ready || s.State == Draining && r.now < s.lastResortUntil
	}
	// The capacity in the middle of the last window counts, so slow start lasts half a window longer.
	age := r.now - s.slowStartFrom - r.settings.OverloadWindow/2
	if age >= r.settings.SlowStart {
		s.slowStartFrom = 0
		return true
	}
	share := r.settings.StartCapacity +
		(1-r.settings.StartCapacity)*float64(max(age, 0))/float64(r.settings.SlowStart)
	rate := slowStartSafety * r.settings.OverloadMultiple * share * r.observedRate * max(s.Scale, 0)
	rate = max(rate, 1e6/float64(r.settings.OverloadWindow)/float64(max(r.settings.Routers, 1)))
	// The parts of one call may be sent at once: else a query of two parts that only this server stores would
	// never fit.
	most := float64(min(r.settings.Width, max(r.settings.MaxPartsPerCall, 1)))
	s.slowStartTokens = min(s.slowStartTokens+rate*float64(r.now-s.slowStartRefilledAt)/1e6, most)
	s.slowStartRefilledAt = r.now
	return s.slowStartTokens >= 1
}

// startSlowStart puts a server into slow start if it started recently.
func (r *Router) startSlowStart(s *server, startedAt Micros) {
	if r.settings.SlowStart > 0 && r.settings.OverloadMultiple > 0 && r.now-startedAt < r.settings.SlowStart {
		s.slowStartFrom, s.slowStartTokens, s.slowStartRefilledAt =
			max(startedAt, 1), r.rng.Float64(), r.now // a start of 0 would mean: not in slow start
		s.window = minWindow // it has to grow from there
	}
}

// updateObservedRate ends a span of OverloadWindow and records the load that servers were seen to take in it.
func (r *Router) updateObservedRate() {
	span := r.now - r.spanStartedAt
	if span < max(r.settings.OverloadWindow, 1) || r.readyServers == 0 {
		return
	}
	sum, best := 0.0, 0.0
	for _, s := range r.servers {
		sum, best, s.servedInSpan = sum+s.servedInSpan,
			max(best, (s.servedInSpan-observedRateSigmas*math.Sqrt(s.servedInSpan))/max(s.Scale, 1)), 0
	}
	r.observedRate, r.spanStartedAt = max(max(sum/float64(r.readyServers), best)/(float64(span)/1e6),
		r.observedRate*observedRateDecay), r.now
}
