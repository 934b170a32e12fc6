package choice

// How much a server bears that has just started.
//
//   - cold budget (bears, chill): a listed start; against pushing over; refuses if all replicas are new.

import "math"

const (
	coldSafety = 0.7  // of the work a cold server is thought to bear: one router's best span overstates it
	bearFade   = 0.95 // per span of rules.fall: how fast the load that servers bore is forgotten
	bearSure   = 2.0  // spreads taken off what the best server bore: the best of many owes it to chance too
)

// bears keeps what is sent to a cold server in any window of rules.fall under what it can do. Each router
// saves up its share of that, from a random start; where nothing is known, all together one part a window.
func (r *Router) bears(s *server) bool {
	if s.State != Ready || s.coldFrom == 0 {
		return s.State == Ready || s.State == Draining && r.now < s.leaveAt
	}
	age := r.now - s.coldFrom - r.set.OverloadWindow/2 // capacity in the middle of the window counted
	if age >= r.set.SlowStart {
		s.coldFrom = 0
		return true
	}
	share := r.set.StartCapacity + (1-r.set.StartCapacity)*float64(max(age, 0))/float64(r.set.SlowStart)
	rate := coldSafety * r.set.OverloadMultiple * share * r.bearing * max(s.Scale, 0)
	rate = max(rate, 1e6/float64(r.set.OverloadWindow)/float64(max(r.set.Routers, 1)))
	// What one call carries may go at once: else a query of two parts that it alone holds would never fit.
	most := float64(min(r.set.Width, max(r.set.MaxPartsPerCall, 1)))
	s.saved = min(s.saved+rate*float64(r.now-s.savedAt)/1e6, most)
	s.savedAt = r.now
	return s.saved >= 1
}

// chill holds a server as cold from its start on.
func (r *Router) chill(s *server, from Micros) {
	if r.set.SlowStart > 0 && r.set.OverloadMultiple > 0 && r.now-from < r.set.SlowStart {
		s.coldFrom, s.saved, s.savedAt = max(from, 1), r.rng.Float64(), r.now
		s.window = leastWindow // to be earned
	}
}

// roll closes a span of rules.fall and notes what the servers were seen to bear in it.
func (r *Router) roll() {
	span := r.now - r.binAt
	if span < max(r.set.OverloadWindow, 1) || r.ready == 0 {
		return
	}
	sum, best := 0.0, 0.0
	for _, s := range r.servers {
		sum, best, s.bins = sum+s.bins, max(best, (s.bins-bearSure*math.Sqrt(s.bins))/max(s.Scale, 1)), 0
	}
	r.bearing, r.binAt = max(max(sum/float64(r.ready), best)/(float64(span)/1e6), r.bearing*bearFade), r.now
}
