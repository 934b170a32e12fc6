// Package choice implements the load balancing decisions of a client that queries many shards at once. The
// interface (settings, events and actions) is in api.go and the state in state.go. All decisions and
// constants are in the files that deploy/balancer.toml lists under policy, one concern each. The head of each
// of them lists its special cases, which deviate from the mechanism below. An entry gives the functions that
// implement the case, the condition that triggers it, what it protects against, and when it does harm or what
// it costs (docs/design.md has more).
//
// The mechanism: if a query needs only some of its parts, more parts are sent than it needs. Each part goes
// to a replica chosen at random among those with free capacity, and the query is answered once enough parts
// are served. A window per server bounds its unanswered parts: it grows by one over its size per part served
// while it is in use, and is cut when parts fail, get no answer or are late. A query is rejected before any
// part is sent if the windows have no capacity for the least weight that is acceptable: Query.Least, or else
// Class.RequiredShare. Nothing is queued.
package choice

// New returns a router for the settings, or an error that names the setting that is out of range.
func New(seed uint64, settings Settings) (*Router, error) {
	if err := validate(settings); err != nil {
		return nil, err
	}
	r := newEmptyRouter(seed, settings)
	for _, c := range settings.Classes {
		r.classes[c.Name] = r.newClass(c)
	}
	for _, t := range settings.Tenants {
		r.quotas[t.Name] = &quotaBucket{rate: t.QuotaPerS / float64(max(settings.Routers, 1)), tokens: 1}
	}
	return r, nil
}

func (r *Router) newClass(c Class) *class {
	target := float64(c.LatencyTarget)
	return &class{Class: c, classIndex: r.assignClassIndex(), median: initialMedian * target,
		upperQuantile: initialUpper * target}
}

// Step handles the events of one moment and returns the actions to take, in order. The returned slice is
// valid until the next call of Step.
func (r *Router) Step(now Micros, events []Event) []Action {
	r.now, r.actions, r.wakeDelay = now, r.actions[:0], max(now-r.wakeAt, 0)
	if !r.started {
		r.started, r.spanStartedAt, r.wakeDelay = true, r.now, 0
		if r.settings.AskDiscovery {
			r.subscribe()
		}
	}
	for _, event := range events {
		r.handle(event)
	}
	r.fireTimers()
	for _, q := range r.newQueries {
		if !q.ended {
			r.admit(q)
		}
	}
	r.newQueries = r.newQueries[:0]
	r.requestWake()
	return r.actions
}
