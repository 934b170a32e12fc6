package httpserver

// What a configuration means to the exchange: classes, and the numbers of services.

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"saddleport/choice"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/downstream"
)

// Plan is a configuration made ready for requests. It does not change.
type Plan struct {
	Config  *routeconfig.Config
	Classes []choice.Class

	lanes map[*routeconfig.Route]*lane
}

// lane is a route made ready: its shards by number, or the services that it is divided
// over, each with the class of what goes there.
type lane struct {
	class   string
	shards  []int
	classes []string
	upTo    []float64 // rising to 1: the shares of the services
}

func (l *lane) pick(x float64) int {
	for i, u := range l.upTo {
		if x < u {
			return i
		}
	}
	return len(l.upTo) - 1
}

// ShardNumbers numbers services. A number is kept for as long as the process lives; there are
// at most MostShards.
type ShardNumbers struct {
	numbers map[string]int
}

// MaxShards bounds the services that one process can number.
const MaxShards = 4096

// Of returns a service's number.
func (s *ShardNumbers) Of(service string) (int, error) {
	if s.numbers == nil {
		s.numbers = make(map[string]int)
	}
	n, known := s.numbers[service]
	if !known {
		if len(s.numbers) >= MaxShards {
			return 0, fmt.Errorf("more than %d services since the start", MaxShards)
		}
		n = len(s.numbers)
		s.numbers[service] = n
	}
	return n, nil
}

const milliseconds = 1000 // of the decisions' clock

const (
	lateWorth   = 0.4               // of the worth: what an answer after its aim is taken to earn, which nobody tells
	aimOfTime   = 0.2               // of a route's timeout: its aim where none is told
	startCap    = 8                 // attempts at most, whatever a route says
	aimMargin   = 0.08              // of the aim: a client counts from before its request came until after its answer has
	leastMargin = 10 * milliseconds // at least so much
	valueOfRank = 4
)

// NewPlan makes a plan of a configuration.
func NewPlan(c *routeconfig.Config, numbers *ShardNumbers) (*Plan, error) {
	p := &Plan{Config: c, lanes: make(map[*routeconfig.Route]*lane, len(c.Routes))}
	classes := make(map[string]choice.Class)
	for _, r := range c.Routes {
		l := &lane{}
		if len(r.FanoutServices) > 0 {
			for _, service := range r.FanoutServices {
				n, err := numbers.Of(service)
				if err != nil {
					return nil, err
				}
				l.shards = append(l.shards, n)
			}
			l.class = class(classes, r, r.FanoutServices)
		} else {
			sum := 0.0
			for _, b := range r.Backends {
				sum += b.Weight
			}
			at := 0.0
			for _, b := range r.Backends {
				if b.Weight <= 0 {
					continue
				}
				n, err := numbers.Of(b.Service)
				if err != nil {
					return nil, err
				}
				at += b.Weight / sum
				l.shards = append(l.shards, n)
				l.upTo = append(l.upTo, at)
				l.classes = append(l.classes, class(classes, r, []string{b.Service}))
			}
		}
		p.lanes[r] = l
	}
	for _, c := range classes {
		p.Classes = append(p.Classes, c)
	}
	slices.SortFunc(p.Classes, func(a, b choice.Class) int { return cmp.Compare(a.Name, b.Name) })
	return p, nil
}

// class finds the class of what a route sends to services. Routes that ask the same of
// the same services share one, and with it what is learned: of hundreds of routes none
// would see enough by itself. A changed timeout keeps it.
func class(classes map[string]choice.Class, r *routeconfig.Route, services []string) string {
	aim := cmp.Or(r.TargetLatency.Microseconds(), choice.Micros(float64(r.Timeout.Microseconds())*aimOfTime))
	sorted := slices.Clone(services)
	slices.Sort(sorted)
	name := fmt.Sprintf("%t|%d|%d|%g|%d|%s", r.Idempotent, aim, r.MaxAttempts, r.MinSuccessRatio, r.Priority, strings.Join(sorted, ","))
	c, known := classes[name]
	if !known {
		c = choice.Class{Name: name, LatencyTarget: aim - min(max(choice.Micros(aimMargin*float64(aim)), leastMargin), aim/2), Effect: choice.Unsafe, LateValue: lateWorth, RequiredShare: 1, MinShare: 1, PartialValue: 1,
			Value: valueOfRank / float64(valueOfRank+max(r.Priority, 0)), Attempts: min(r.MaxAttempts, startCap)}
		if r.Idempotent {
			c.Effect = choice.Safe
		}
		if len(r.FanoutServices) > 0 {
			c.MinShare, c.PartialExponent = r.MinSuccessRatio, 2 // the worth goes by the square of the share that is in
		}
	}
	c.Deadline = max(c.Deadline, r.Timeout.Microseconds(), aim)
	classes[name] = c
	return name
}

// LimitsFrom is what a configuration's limits mean to the front: a client has the time of a head
// for its head, and as long as it may rest for its body.
func LimitsFrom(l routeconfig.Limits) downstream.Limits {
	return downstream.Limits{FirstRequest: l.IdleTimeout, Request: l.HeaderTimeout, Idle: l.IdleTimeout, Body: l.IdleTimeout, MaxHead: l.MaxHeaderBytes, MaxBody: l.MaxBodyBytes}
}
