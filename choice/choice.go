// Package choice decides for a client that reads many shards for one query. Its interface, the settings,
// events and actions, is in api.go; what it holds is in state.go; every decision and value is in the files
// that the deploy file names under policy, one concern each, opened by its exceptions: what sets each off,
// what it guards against and when it hurts (docs/design.md has more).
//
// The mechanism: the parts of a query go to more shards than it needs where it needs only some, each to a
// replica drawn at random among those with room; the query is answered once enough are in. A window per
// server bounds the parts unanswered there: it grows by one over itself per part served while it is in use,
// and is cut when parts fail, stay away or come late. A query that finds no room, also for the least that
// will do, is refused before any part is sent. Nothing is queued.
package choice

// New returns a router for the settings, or an error that names the setting it can't serve.
func New(seed uint64, set Settings) (*Router, error) {
	if err := check(set); err != nil {
		return nil, err
	}
	r := empty(seed, set)
	for _, c := range set.Classes {
		r.classes[c.Name] = r.newClass(c)
	}
	for _, t := range set.Tenants {
		r.shares[t.Name] = &bucket{rate: t.QuotaPerS / float64(max(set.Routers, 1)), left: 1}
	}
	return r, nil
}

func (r *Router) newClass(c Class) *class {
	aim := float64(c.LatencyTarget)
	return &class{Class: c, n: r.number(), mid: startMiddle * aim, high: startUpper * aim}
}

// Step takes the events of one moment and returns what to do, in order; it holds until the next Step.
func (r *Router) Step(now Micros, events []Event) []Action {
	r.now, r.acts, r.lateBy = now, r.acts[:0], max(now-r.wakeAt, 0)
	if !r.started {
		r.started, r.binAt, r.lateBy = true, r.now, 0
		if r.set.AskDiscovery {
			r.ask()
		}
	}
	for _, ev := range events {
		r.handle(ev)
	}
	r.fireTimers()
	for _, q := range r.fresh {
		if !q.ended {
			r.admit(q)
		}
	}
	r.fresh = r.fresh[:0]
	r.wake()
	return r.acts
}
