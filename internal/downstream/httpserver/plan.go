package httpserver

// This file prepares a configuration for the exchange: it derives the classes of requests from
// the routes and assigns a shard number to each service.

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"saddleport/choice"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/downstream"
)

// Plan is a configuration prepared for serving requests. It is immutable.
type Plan struct {
	Config  *routeconfig.Config
	Classes []choice.Class // sorted by name

	targets map[*routeconfig.Route]*routeTargets
}

// routeTargets are the shards that a route sends to. A route with fan-out sends a part to
// each shard and has one class. Any other route sends each request to one of its services,
// selected at random by weight, and has a class for each service.
type routeTargets struct {
	class      string    // with fan-out: the name of the class
	shards     []int     // shard numbers of the services
	classes    []string  // without fan-out: the name of the class of each service
	cumulative []float64 // without fan-out: cumulative weights of the services, rising to 1
}

// pick returns the index of the service whose interval of cumulative contains x, a number in
// [0, 1).
func (t *routeTargets) pick(x float64) int {
	for i, u := range t.cumulative {
		if x < u {
			return i
		}
	}
	return len(t.cumulative) - 1
}

const milliseconds = 1000 // in choice.Micros

const (
	lateValue             = 0.4               // fraction of its value that an answer after the latency target is taken to earn; configurations do not state it
	defaultTargetFraction = 0.2               // of a route's timeout: the latency target of a route that states none
	maxAttempts           = 8                 // upper bound on the attempts that a route may set
	targetMargin          = 0.08              // of the latency target, subtracted from it: a client measures from before its request arrives until after its response does
	minTargetMargin       = 10 * milliseconds // lower bound on that margin
	halfValuePriority     = 4                 // a class of this priority has half the value of one of priority 0
)

// NewPlan prepares a configuration and assigns numbers to its services. It returns ErrNoShardNumber if
// none is left for a service.
func NewPlan(c *routeconfig.Config, numbers *ShardNumbers) (*Plan, error) {
	p := &Plan{Config: c, targets: make(map[*routeconfig.Route]*routeTargets, len(c.Routes))}
	classes := make(map[string]choice.Class)
	for _, r := range c.Routes {
		targets := &routeTargets{}
		if len(r.FanoutServices) > 0 {
			for _, service := range r.FanoutServices {
				n, err := numbers.forRoute(service, r.Timeout)
				if err != nil {
					return nil, err
				}
				targets.shards = append(targets.shards, n)
			}
			targets.class = classFor(classes, r, r.FanoutServices)
		} else {
			sum := 0.0
			for _, b := range r.Backends {
				sum += b.Weight
			}
			cumulative := 0.0
			for _, b := range r.Backends {
				if b.Weight <= 0 {
					continue
				}
				n, err := numbers.forRoute(b.Service, r.Timeout)
				if err != nil {
					return nil, err
				}
				cumulative += b.Weight / sum
				targets.shards = append(targets.shards, n)
				targets.cumulative = append(targets.cumulative, cumulative)
				targets.classes = append(targets.classes, classFor(classes, r, []string{b.Service}))
			}
		}
		p.targets[r] = targets
	}
	for _, c := range classes {
		p.Classes = append(p.Classes, c)
	}
	slices.SortFunc(p.Classes, func(a, b choice.Class) int { return cmp.Compare(a.Name, b.Name) })
	return p, nil
}

// classFor returns the name of the class of the requests that a route sends to the services,
// and adds the class to classes or updates its deadline. Routes with the same requirements
// and services share a class, and with it the statistics of the class: of hundreds of routes,
// none would see enough requests by itself. The timeout is not part of the name, so a class
// keeps its statistics when the timeout of a route changes.
func classFor(classes map[string]choice.Class, r *routeconfig.Route, services []string) string {
	target := cmp.Or(r.TargetLatency.Microseconds(), choice.Micros(float64(r.Timeout.Microseconds())*defaultTargetFraction))
	sorted := slices.Clone(services)
	slices.Sort(sorted)
	name := fmt.Sprintf("%t|%d|%d|%g|%d|%s", r.Idempotent, target, r.MaxAttempts, r.MinSuccessRatio, r.Priority, strings.Join(sorted, ","))
	c, known := classes[name]
	if !known {
		c = choice.Class{Name: name, LatencyTarget: target - min(max(choice.Micros(targetMargin*float64(target)), minTargetMargin), target/2), Effect: choice.Unsafe, LateValue: lateValue, RequiredShare: 1, MinShare: 1, PartialValue: 1,
			Value: halfValuePriority / float64(halfValuePriority+max(r.Priority, 0)), Attempts: min(r.MaxAttempts, maxAttempts)}
		if r.Idempotent {
			c.Effect = choice.Safe
		}
		if len(r.FanoutServices) > 0 {
			c.MinShare, c.PartialExponent = r.MinSuccessRatio, 2 // the value grows with the square of the answered fraction
		}
	}
	c.Deadline = max(c.Deadline, r.Timeout.Microseconds(), target)
	classes[name] = c
	return name
}

// LimitsFrom converts the limits of a configuration into those of the server side: the idle
// timeout also bounds a connection's first request and the transfer of a body, and the header
// timeout bounds a head.
func LimitsFrom(l routeconfig.Limits) downstream.Limits {
	return downstream.Limits{FirstRequest: l.IdleTimeout, Request: l.HeaderTimeout, Idle: l.IdleTimeout, Body: l.IdleTimeout, MaxHead: l.MaxHeaderBytes, MaxBody: l.MaxBodyBytes}
}
