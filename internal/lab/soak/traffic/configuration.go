// Package traffic simulates the environment of the system in a soak: stand-in servers that start and
// leave, an operator that changes the configuration continuously, and clients that use their
// connections until they are closed. Each records its own observations; none reads the system's
// internal state.
package traffic

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	"saddleport/internal/lab/soak/judge"
)

// The services. Each single service has its own servers, so that the server that handles a request
// identifies the configuration that was in force.
const (
	singleServices = 6
	shardServices  = 3
	host           = "soak.example"
	maxAddedRoutes = 24 // added routes in force at a time; the oldest one is withdrawn when another is added
)

func singleService(i int) string { return fmt.Sprint("single-", i%singleServices) }
func shardService(i int) string  { return fmt.Sprint("shard-", i) }

// Services lists all services.
func Services() (all []string) {
	for i := range singleServices {
		all = append(all, singleService(i))
	}
	for i := range shardServices {
		all = append(all, shardService(i))
	}
	return all
}

// The prefixes of every configuration.
const (
	movedPrefix    = "/moved/"    // the service of this route changes
	weightedPrefix = "/weighted/" // weighted services, which change
	writePrefix    = "/write/"    // non-idempotent; the service of this route changes
	fanOutPrefix   = "/gather/"   // fan-out to all shards
)

func addedPrefix(revision int64) string { return fmt.Sprintf("/added-%d/", revision) }

// configuration is a configuration as the operator edits it.
type configuration struct {
	revision  int64
	routes    map[string]judge.Route
	idleMs    int
	added     []string // prefixes of added routes, oldest first
	fillers   int      // number of routes that no client requests
	fillerTag int64    // part of each filler route; a new value changes all of them
}

func firstConfiguration(fillers int) *configuration {
	return &configuration{revision: 1, idleMs: 15_000, fillers: fillers, routes: map[string]judge.Route{
		movedPrefix:    {Services: []string{singleService(0)}, TimeoutMs: 3000},
		weightedPrefix: {Services: []string{singleService(1), singleService(2)}, TimeoutMs: 3000},
		writePrefix:    {Services: []string{singleService(3)}, NonIdempotent: true, TimeoutMs: 3000},
		fanOutPrefix:   {Services: []string{shardService(0), shardService(1), shardService(2)}, Gathered: true, TimeoutMs: 2000},
	}}
}

func (c *configuration) clone() *configuration {
	next := *c
	next.routes = make(map[string]judge.Route, len(c.routes))
	for prefix, route := range c.routes {
		next.routes[prefix] = route
	}
	next.added = slices.Clone(c.added)
	return &next
}

// edit returns the next configuration, which differs in one change.
func (c *configuration) edit(rng *rand.Rand) *configuration {
	next := c.clone()
	next.revision += 1 + rng.Int64N(4)
	switch rng.IntN(8) {
	case 0, 1, 2, 3:
		next.addRoute(rng)
	case 4:
		next.moveRoute(movedPrefix, rng)
	case 5:
		next.moveRoute(writePrefix, rng)
	case 6:
		first := rng.IntN(singleServices)
		next.routes[weightedPrefix] = judge.Route{Services: []string{singleService(first), singleService(first + 1 + rng.IntN(singleServices-2))}, TimeoutMs: 3000}
	case 7:
		next.idleMs = 10_000 + 1000*rng.IntN(10)
		next.fillerTag++
	}
	return next
}

func (c *configuration) addRoute(rng *rand.Rand) {
	prefix := addedPrefix(c.revision)
	c.routes[prefix] = judge.Route{Services: []string{singleService(rng.IntN(singleServices))}, TimeoutMs: 3000}
	c.added = append(c.added, prefix)
	if len(c.added) > maxAddedRoutes {
		delete(c.routes, c.added[0])
		c.added = c.added[1:]
	}
}

func (c *configuration) moveRoute(prefix string, rng *rand.Rand) {
	route := c.routes[prefix]
	current := slices.Index(Services(), route.Services[0])
	route.Services = []string{singleService(current + 1 + rng.IntN(singleServices-1))}
	c.routes[prefix] = route
}

type routeJSON struct {
	Host            string        `json:"hostname"`
	Prefix          string        `json:"path_prefix"`
	Type            string        `json:"route_type"`
	TimeoutMs       int           `json:"timeout_ms"`
	LatencyTargetMs int           `json:"target_latency_ms"`
	Priority        int           `json:"priority"`
	Service         string        `json:"target_service,omitempty"`
	Backends        []backendJSON `json:"backends,omitempty"`
	Shards          []string      `json:"fanout_services,omitempty"`
	Attempts        int           `json:"max_attempts"`
	Limit           int           `json:"result_limit,omitempty"`
	Ratio           float64       `json:"min_success_ratio,omitempty"`
}

type backendJSON struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

type serviceJSON struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_check_path"`
	MaxConnections int    `json:"max_connections"`
	Protocol       string `json:"protocol"`
}

type configurationJSON struct {
	Revision int64          `json:"revision"`
	Routes   []routeJSON    `json:"routes"`
	Services []serviceJSON  `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// document returns the configuration in the form in which it is sent.
func (c *configuration) document() configurationJSON {
	out := configurationJSON{Revision: c.revision, Limits: map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": c.idleMs}}
	for _, service := range Services() {
		out.Services = append(out.Services, serviceJSON{Name: service, HealthPath: healthPath, MaxConnections: 110, Protocol: "h1"})
	}
	prefixes := make([]string, 0, len(c.routes))
	for prefix := range c.routes {
		prefixes = append(prefixes, prefix)
	}
	slices.Sort(prefixes)
	for _, prefix := range prefixes {
		out.Routes = append(out.Routes, routeOf(prefix, c.routes[prefix]))
	}
	for i := range c.fillers {
		filler := judge.Route{Services: []string{singleService(i)}, TimeoutMs: 1000 + int(c.fillerTag)}
		out.Routes = append(out.Routes, routeOf(fmt.Sprintf("/filler-%d/", i), filler))
	}
	return out
}

func routeOf(prefix string, r judge.Route) routeJSON {
	out := routeJSON{Host: host, Prefix: prefix, Type: "idempotent", TimeoutMs: r.TimeoutMs, LatencyTargetMs: 300, Priority: 1, Attempts: 2}
	switch {
	case r.Gathered:
		out.Shards, out.Limit, out.Ratio = r.Services, judge.ResultLimit, 0.5
	case len(r.Services) > 1:
		for i, service := range r.Services {
			out.Backends = append(out.Backends, backendJSON{service, float64(1 + i)})
		}
	default:
		out.Service = r.Services[0]
	}
	if r.NonIdempotent {
		out.Type = "non_idempotent" // retried only after the first server has reported that it did not execute the request
	}
	return out
}

func (c *configuration) bytes() []byte {
	raw, err := json.Marshal(c.document())
	if err != nil {
		panic(err) // structs of strings and numbers can always be encoded
	}
	return raw
}

// corrupt returns an invalid encoding of a configuration, with its revision.
func (c *configuration) corrupt(rng *rand.Rand) []byte {
	document := c.document()
	switch rng.IntN(5) {
	case 0:
		raw := c.bytes()
		return raw[:len(raw)*2/3]
	case 1:
		document.Routes[0].Service, document.Routes[0].Backends, document.Routes[0].Shards = "no-such-service", nil, nil
	case 2:
		document.Routes = append(document.Routes, document.Routes[0])
	case 3:
		document.Routes[0].TimeoutMs = 0
	case 4:
		document.Routes[0].Service, document.Routes[0].Shards = "", nil
		document.Routes[0].Backends = []backendJSON{{singleService(0), 0}}
	}
	raw, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return raw
}
