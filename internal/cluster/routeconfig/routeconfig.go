// Package routeconfig parses and completely validates an operator's configuration, matches requests
// to routes, and orders configurations by revision. It never modifies the operator's bytes, never
// accepts a configuration that it cannot read completely, and never replaces a configuration by
// one of an older revision.
package routeconfig

import (
	"cmp"
	"strings"
	"time"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/paths"
)

// Config is a valid configuration. It must not be modified after Parse.
type Config struct {
	Revision int64
	Raw      []byte // the bytes as the operator sent them
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Allowances are an extension of the operator's format; most configurations have none.
	Allowances []*Allowance

	routesByHost map[string]map[string]*Route // by host and prefix
}

// Route describes how requests to a host below a path prefix are handled. Exactly one of Backends
// and FanoutServices is set.
type Route struct {
	Name, Host, Prefix     string
	Idempotent             bool
	Timeout, TargetLatency time.Duration // TargetLatency is 0 if none is set
	Priority               int
	MaxAttempts            int
	Backends               []Backend
	FanoutServices         []string // the services (shards) whose answers are gathered
	ResultLimit            int      // maximum number of records of a gathered answer
	MinSuccessRatio        float64  // minimum share of the shards that must answer for a gathered answer to count as a success
}

// Backend is a service and its weight relative to the other backends of the route.
type Backend struct {
	Service string
	Weight  float64
}

// Service is a service that routes refer to.
type Service struct {
	Name            string
	HealthCheckPath string
	MaxConnections  int
}

// Allowance limits the requests of one caller to all proxies together. The caller is identified by
// the value of a header, by the requested routes, or by both.
type Allowance struct {
	Name          string
	Header, Value string          // empty: any caller
	Routes        map[string]bool // by name; nil: any route
	Rate, Burst   float64         // requests per second, and the largest burst in requests
}

// Limits bound the size of a request and the time that a client may take to send it.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// DefaultLimits are the limits that apply where a configuration sets none.
var DefaultLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// MaxServices is the maximum number of services of a configuration. A proxy can hold more, so that it can also
// hold servers of services that a later configuration names.
const MaxServices = 4000

const (
	maxRoutes = 20_000
	maxShards = 256

	maxAllowances = 1000
	maxRate       = 1e6
)

// milliseconds reads a duration in milliseconds.
func milliseconds(reader paths.Reader) time.Duration {
	ms := reader.Number()
	if ms < 0 || ms > 1e9 {
		reader.Failf("%v ms is out of range", ms)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// revision reads a configuration's revision: a non-negative integer of at most chain.MaxRevision,
// which leaves space for the digest bits that order two contents of the same revision.
func revision(reader paths.Reader) int64 {
	n := reader.NotString().Int()
	if n < 0 || n > chain.MaxRevision {
		reader.Failf("%d is not between 0 and %d", n, int64(chain.MaxRevision))
	}
	return n
}

// notNegative reads an optional number that may not be negative; 0: it is not given.
func notNegative(reader paths.Reader) int {
	n := reader.Int()
	if n < 0 {
		reader.Failf("%d is negative", n)
	}
	return int(n)
}

// Parse parses and completely validates a configuration. The error names the path of the invalid
// value.
func Parse(raw []byte) (*Config, error) {
	root, err := paths.ParseJSON(raw)
	if err != nil {
		return nil, err
	}
	root.Object()
	config := &Config{Raw: raw, Services: make(map[string]*Service), routesByHost: make(map[string]map[string]*Route), Limits: DefaultLimits}
	config.Revision = revision(root.At("revision").Required())
	services := root.At("services").Required().Items()
	if len(services) > MaxServices {
		root.At("services").Failf("%d services exceed the maximum of %d", len(services), MaxServices)
	}
	for _, item := range services {
		service := &Service{Name: item.Object().At("name").Required().Text(), HealthCheckPath: item.At("health_check_path").Text(),
			MaxConnections: notNegative(item.At("max_connections"))}
		if config.Services[service.Name] != nil {
			item.At("name").Failf("duplicate service name %.60q", service.Name)
		}
		config.Services[service.Name] = service
	}
	routes := root.At("routes").Required().Items()
	if len(routes) > maxRoutes {
		root.At("routes").Failf("%d routes exceed the maximum of %d", len(routes), maxRoutes)
	}
	for _, item := range routes {
		if root.Err() != nil {
			break
		}
		config.parseRoute(item)
	}
	config.parseLimits(root.At("limits"))
	config.parseAllowances(root.At("allowances"))
	if err := root.Err(); err != nil {
		return nil, err
	}
	return config, nil
}

func (c *Config) parseLimits(reader paths.Reader) {
	if !reader.Exists() {
		return
	}
	reader.Object()
	limits := &c.Limits
	limits.MaxHeaderBytes = cmp.Or(int(reader.At("max_header_bytes").Int()), limits.MaxHeaderBytes) // 0 counts as not set
	limits.MaxBodyBytes = cmp.Or(int(reader.At("max_body_bytes").Int()), limits.MaxBodyBytes)
	limits.HeaderTimeout = cmp.Or(milliseconds(reader.At("header_timeout_ms")), limits.HeaderTimeout)
	limits.IdleTimeout = cmp.Or(milliseconds(reader.At("idle_timeout_ms")), limits.IdleTimeout)
	if limits.MaxHeaderBytes < 0 || limits.MaxBodyBytes < 0 {
		reader.Failf("max_header_bytes and max_body_bytes must not be negative")
	}
}

// parseServiceName reads the name of a service that the configuration defines.
func (c *Config) parseServiceName(reader paths.Reader) string {
	name := reader.Required().Text()
	if c.Services[name] == nil {
		reader.Failf("unknown service %.60q", name)
	}
	return name
}

func (c *Config) parseRoute(reader paths.Reader) {
	reader.Object()
	route := &Route{Name: reader.At("name").Text(), Host: strings.ToLower(reader.At("hostname").Required().Text()),
		Prefix: reader.At("path_prefix").Required().Text(), Priority: int(reader.At("priority").Int()),
		MaxAttempts: max(int(reader.At("max_attempts").Int()), 1), ResultLimit: notNegative(reader.At("result_limit"))}
	route.Idempotent = parseRouteType(reader.At("route_type").Required())
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		reader.At("path_prefix").Failf("%.60q does not start and end with a slash", route.Prefix)
	}
	if route.Timeout = milliseconds(reader.At("timeout_ms").Required()); route.Timeout <= 0 {
		reader.At("timeout_ms").Failf("must be greater than 0")
	}
	route.TargetLatency = milliseconds(reader.At("target_latency_ms"))
	c.parseTarget(reader, route)
	c.addRoute(reader, route)
}

// parseRouteType reports whether requests of a route may be repeated.
func parseRouteType(reader paths.Reader) (idempotent bool) {
	switch routeType := reader.Text(); routeType {
	case "idempotent":
		return true
	case "non_idempotent":
	default:
		reader.Failf("%.40q is neither idempotent nor non_idempotent", routeType)
	}
	return false
}

// parseTarget reads the target of a route, of which exactly one form must be present.
func (c *Config) parseTarget(reader paths.Reader, route *Route) {
	targets := 0
	if target := reader.At("target_service"); target.Exists() {
		targets++
		route.Backends = []Backend{{Service: c.parseServiceName(target), Weight: 1}}
	}
	if backends := reader.At("backends"); backends.Exists() {
		targets++
		route.Backends = c.parseBackends(backends)
	}
	if shards := reader.At("fanout_services"); shards.Exists() {
		targets++
		route.FanoutServices = c.parseShards(shards)
		route.MinSuccessRatio = reader.At("min_success_ratio").Number()
		if route.MinSuccessRatio < 0 || route.MinSuccessRatio > 1 {
			reader.At("min_success_ratio").Failf("%v is not between 0 and 1", route.MinSuccessRatio)
		}
	}
	if targets != 1 {
		reader.Failf("exactly one of target_service, backends and fanout_services is required, but %d are present", targets)
	}
}

func (c *Config) parseBackends(list paths.Reader) (backends []Backend) {
	sum := 0.0
	for _, item := range list.Items() {
		name := item.Object().At("service")
		for _, alternative := range []string{"target_service", "name"} { // the operators' documentation gives no example of a backend
			if !name.Exists() {
				name = item.At(alternative)
			}
		}
		backend := Backend{Service: c.parseServiceName(name), Weight: item.At("weight").Number()}
		if backend.Weight < 0 {
			item.At("weight").Failf("must not be negative")
		}
		sum += backend.Weight
		backends = append(backends, backend)
	}
	if sum <= 0 {
		list.Failf("the weights sum to 0")
	}
	return backends
}

// parseShards reads the list of services of a gathered answer.
func (c *Config) parseShards(list paths.Reader) (services []string) {
	seen := make(map[string]bool)
	for _, item := range list.Items() {
		name := c.parseServiceName(item)
		if seen[name] {
			item.Failf("duplicate service %.60q", name)
		}
		seen[name] = true
		services = append(services, name)
	}
	if len(services) == 0 || len(services) > maxShards {
		list.Failf("the number of shards, %d, is not between 1 and %d", len(services), maxShards)
	}
	return services
}

// addRoute adds a route. Another route with the same host and prefix is an error.
func (c *Config) addRoute(reader paths.Reader, route *Route) {
	routesByPrefix := c.routesByHost[route.Host]
	if routesByPrefix == nil {
		routesByPrefix = make(map[string]*Route)
		c.routesByHost[route.Host] = routesByPrefix
	}
	if other := routesByPrefix[route.Prefix]; other != nil {
		reader.Failf("host %.60q and prefix %.60q are already used by route %.60q", route.Host, route.Prefix, other.Name)
	}
	routesByPrefix[route.Prefix] = route
	c.Routes = append(c.Routes, route)
}

// MatchRoute returns the route of a request: among the routes of its host, the one with the longest
// prefix of the path. A port in host is ignored. MatchRoute returns nil if no route matches.
func (c *Config) MatchRoute(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	routesByPrefix := c.routesByHost[host]
	if routesByPrefix == nil {
		routesByPrefix = c.routesByHost[strings.ToLower(host)]
	}
	for i := len(path) - 1; i >= 0 && routesByPrefix != nil; i-- { // prefixes end with a slash
		if path[i] == '/' {
			if route := routesByPrefix[path[:i+1]]; route != nil {
				return route
			}
		}
	}
	return nil
}

// Newer reports whether c replaces the current configuration, which may be nil: whether its
// revision is higher.
func (c *Config) Newer(current *Config) bool { return current == nil || c.Revision > current.Revision }

func (c *Config) parseAllowances(reader paths.Reader) {
	if !reader.Exists() {
		return
	}
	routes := make(map[string]bool, len(c.Routes))
	for _, route := range c.Routes {
		routes[route.Name] = true
	}
	list, seen := reader.Items(), make(map[string]bool)
	if len(list) > maxAllowances {
		reader.Failf("%d allowances exceed the maximum of %d", len(list), maxAllowances)
	}
	for _, reader := range list {
		allowance := &Allowance{Name: reader.Object().At("name").Required().Text(), Header: reader.At("header").Text(),
			Value: reader.At("value").Text(), Rate: reader.At("rate").Required().Number(), Burst: reader.At("burst").Number()}
		switch {
		case seen[allowance.Name]:
			reader.At("name").Failf("duplicate allowance name %.60q", allowance.Name)
		case allowance.Rate <= 0 || allowance.Rate > maxRate:
			reader.At("rate").Failf("%v is not in the range (0, %v] requests per second", allowance.Rate, maxRate)
		case allowance.Burst < 0 || allowance.Burst > maxRate:
			reader.At("burst").Failf("%v is not in the range [0, %v] requests", allowance.Burst, maxRate)
		case (allowance.Header == "") != (allowance.Value == ""):
			reader.Failf("header and value must be set together")
		}
		seen[allowance.Name] = true
		if routesReader := reader.At("routes"); routesReader.Exists() {
			allowance.Routes = make(map[string]bool)
			for _, item := range routesReader.Items() {
				if name := item.Text(); !routes[name] {
					item.Failf("unknown route %.60q", name)
				} else {
					allowance.Routes[name] = true
				}
			}
		}
		if allowance.Header == "" && len(allowance.Routes) == 0 {
			reader.Failf("an allowance must specify a header or routes to identify the caller")
		}
		c.Allowances = append(c.Allowances, allowance)
	}
}

// MatchAllowance returns the first allowance that applies to a request, or nil if none does.
func (c *Config) MatchAllowance(route *Route, header func(name string) string) *Allowance {
	for _, allowance := range c.Allowances {
		if (allowance.Routes == nil || allowance.Routes[route.Name]) && (allowance.Header == "" || header(allowance.Header) == allowance.Value) {
			return allowance
		}
	}
	return nil
}
