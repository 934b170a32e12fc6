// Package routeconfig holds an operator's configuration: it validates it completely, finds the
// route of a request, and orders configurations by revision. It never edits an operator's
// bytes, accepts anything that cannot be read completely, or goes back to an older revision.
package routeconfig

import (
	"cmp"
	"strings"
	"time"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/paths"
)

// Config is a valid configuration. It must not be changed.
type Config struct {
	Revision int64
	Raw      []byte // as it was sent
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Allowances are a part of the configuration of our own; most have none.
	Allowances []*Allowance // an extension of this project; most configurations have none

	hosts map[string]map[string]*Route // by host and prefix
}

// Route says how the requests of a host below a path prefix are handled. Exactly one of
// Backends and FanoutServices is set.
type Route struct {
	Name, Host, Prefix     string
	Idempotent             bool
	Timeout, TargetLatency time.Duration // TargetLatency is 0 if none is set
	Priority               int
	MaxAttempts            int
	Backends               []Backend
	FanoutServices         []string // the shards of a gathered answer
	ResultLimit            int      // records of a gathered answer
	MinSuccessRatio        float64  // share of the shards below which a gathered answer is no success
}

// Backend is a service and its weight beside the others of its route.
type Backend struct {
	Service string
	Weight  float64
}

// Service is a service that routes name.
type Service struct {
	Name            string
	HealthCheckPath string
	MaxConnections  int
}

// Allowance limits how much one caller may ask of all proxies together. The caller is
// identified by a header with a value, by the routes that are asked, or by both.
type Allowance struct {
	Name          string
	Header, Value string          // "": any
	Routes        map[string]bool // by name; nil: any
	Rate, Burst   float64         // requests a second, and what may be saved up
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// DefaultLimits are the limits where a configuration sets none.
var DefaultLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

const (
	maxRoutes = 20_000
	maxShards = 256

	maxAllowances = 1000
	maxRate       = 1e6
)

// milliseconds reads a duration.
func milliseconds(r paths.Reader) time.Duration {
	ms := r.Number()
	if ms < 0 || ms > 1e9 {
		r.Failf("%v ms is out of bounds", ms)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// revision reads a configuration's number: an integer, not negative, with room for the digest
// bits that order two contents of one number.
func revision(at paths.Reader) int64 {
	n := at.NotString().Int()
	if n < 0 || n > chain.MaxRevision {
		at.Failf("%d is not between 0 and %d", n, int64(chain.MaxRevision))
	}
	return n
}

// Parse validates a configuration completely. The error names the path of what is wrong.
func Parse(raw []byte) (*Config, error) {
	root, err := paths.ParseJSON(raw)
	if err != nil {
		return nil, err
	}
	root.Object()
	c := &Config{Raw: raw, Services: make(map[string]*Service), hosts: make(map[string]map[string]*Route), Limits: DefaultLimits}
	c.Revision = revision(root.At("revision").Required())
	for _, at := range root.At("services").Required().Items() {
		s := &Service{Name: at.Object().At("name").Required().Text(), HealthCheckPath: at.At("health_check_path").Text(),
			MaxConnections: int(at.At("max_connections").Int())}
		if c.Services[s.Name] != nil {
			at.At("name").Failf("%.60q stands twice", s.Name)
		}
		c.Services[s.Name] = s
	}
	routes := root.At("routes").Required().Items()
	if len(routes) > maxRoutes {
		root.At("routes").Failf("%d are more than %d", len(routes), maxRoutes)
	}
	for _, at := range routes {
		if root.Err() != nil {
			break
		}
		c.parseRoute(at)
	}
	c.parseLimits(root.At("limits"))
	c.parseAllowances(root.At("allowances"))
	if err := root.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) parseLimits(at paths.Reader) {
	if !at.Exists() {
		return
	}
	at.Object()
	l := &c.Limits
	l.MaxHeaderBytes = cmp.Or(int(at.At("max_header_bytes").Int()), l.MaxHeaderBytes) // 0 counts as not set
	l.MaxBodyBytes = cmp.Or(int(at.At("max_body_bytes").Int()), l.MaxBodyBytes)
	l.HeaderTimeout = cmp.Or(milliseconds(at.At("header_timeout_ms")), l.HeaderTimeout)
	l.IdleTimeout = cmp.Or(milliseconds(at.At("idle_timeout_ms")), l.IdleTimeout)
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 {
		at.Failf("a bound is below 0")
	}
}

func (c *Config) parseServiceName(at paths.Reader) string {
	name := at.Required().Text()
	if c.Services[name] == nil {
		at.Failf("there is no service %.60q", name)
	}
	return name
}

func (c *Config) parseRoute(at paths.Reader) {
	at.Object()
	r := &Route{Name: at.At("name").Text(), Host: strings.ToLower(at.At("hostname").Required().Text()),
		Prefix: at.At("path_prefix").Required().Text(), Priority: int(at.At("priority").Int()),
		MaxAttempts: max(int(at.At("max_attempts").Int()), 1), ResultLimit: int(at.At("result_limit").Int())}
	r.Idempotent = parseRouteType(at.At("route_type").Required())
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		at.At("path_prefix").Failf("%.60q does not start and end with a slash", r.Prefix)
	}
	if r.Timeout = milliseconds(at.At("timeout_ms").Required()); r.Timeout <= 0 {
		at.At("timeout_ms").Failf("is 0")
	}
	r.TargetLatency = milliseconds(at.At("target_latency_ms"))
	c.parseTarget(at, r)
	c.addRoute(at, r)
}

// parseRouteType reports whether requests of a route may be repeated.
func parseRouteType(at paths.Reader) (idempotent bool) {
	switch kind := at.Text(); kind {
	case "idempotent":
		return true
	case "non_idempotent":
	default:
		at.Failf("%.40q is neither idempotent nor non_idempotent", kind)
	}
	return false
}

// parseTarget reads where the requests of a route go. Exactly one form must be there.
func (c *Config) parseTarget(at paths.Reader, r *Route) {
	targets := 0
	if t := at.At("target_service"); t.Exists() {
		targets++
		r.Backends = []Backend{{Service: c.parseServiceName(t), Weight: 1}}
	}
	if b := at.At("backends"); b.Exists() {
		targets++
		r.Backends = c.parseBackends(b)
	}
	if f := at.At("fanout_services"); f.Exists() {
		targets++
		r.FanoutServices = c.parseShards(f)
		r.MinSuccessRatio = at.At("min_success_ratio").Number()
		if r.MinSuccessRatio < 0 || r.MinSuccessRatio > 1 {
			at.At("min_success_ratio").Failf("%v is no share", r.MinSuccessRatio)
		}
	}
	if targets != 1 {
		at.Failf("%d of target_service, backends and fanout_services are there; one is needed", targets)
	}
}

func (c *Config) parseBackends(list paths.Reader) (backends []Backend) {
	sum := 0.0
	for _, item := range list.Items() {
		name := item.Object().At("service")
		for _, other := range []string{"target_service", "name"} { // the pages give no example
			if !name.Exists() {
				name = item.At(other)
			}
		}
		backend := Backend{Service: c.parseServiceName(name), Weight: item.At("weight").Number()}
		if backend.Weight < 0 {
			item.At("weight").Failf("is below 0")
		}
		sum += backend.Weight
		backends = append(backends, backend)
	}
	if sum <= 0 {
		list.Failf("the weights sum to 0")
	}
	return backends
}

func (c *Config) parseShards(list paths.Reader) (services []string) {
	seen := make(map[string]bool)
	for _, item := range list.Items() {
		name := c.parseServiceName(item)
		if seen[name] {
			item.Failf("%.60q stands twice", name)
		}
		seen[name] = true
		services = append(services, name)
	}
	if len(services) == 0 || len(services) > maxShards {
		list.Failf("%d shards are not within 1 to %d", len(services), maxShards)
	}
	return services
}

// addRoute adds a route whose host and prefix no other route has.
func (c *Config) addRoute(at paths.Reader, r *Route) {
	host := c.hosts[r.Host]
	if host == nil {
		host = make(map[string]*Route)
		c.hosts[r.Host] = host
	}
	if other := host[r.Prefix]; other != nil {
		at.Failf("host %.60q and prefix %.60q are those of %.60q too", r.Host, r.Prefix, other.Name)
	}
	host[r.Prefix] = r
	c.Routes = append(c.Routes, r)
}

// MatchRoute returns the route of a request: of the routes of its host the one with the
// longest prefix that begins the path. It returns nil if there is none.
func (c *Config) MatchRoute(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := c.hosts[host]
	if prefixes == nil {
		prefixes = c.hosts[strings.ToLower(host)]
	}
	for i := len(path) - 1; i >= 0 && prefixes != nil; i-- { // prefixes end with a slash
		if path[i] == '/' {
			if r := prefixes[path[:i+1]]; r != nil {
				return r
			}
		}
	}
	return nil
}

// Newer reports whether c replaces the current configuration, which may be nil.
func (c *Config) Newer(current *Config) bool { return current == nil || c.Revision > current.Revision }

func (c *Config) parseAllowances(at paths.Reader) {
	if !at.Exists() {
		return
	}
	routes := make(map[string]bool, len(c.Routes))
	for _, r := range c.Routes {
		routes[r.Name] = true
	}
	list, seen := at.Items(), make(map[string]bool)
	if len(list) > maxAllowances {
		at.Failf("%d are more than %d", len(list), maxAllowances)
	}
	for _, at := range list {
		a := &Allowance{Name: at.Object().At("name").Required().Text(), Header: at.At("header").Text(),
			Value: at.At("value").Text(), Rate: at.At("rate").Required().Number(), Burst: at.At("burst").Number()}
		switch {
		case seen[a.Name]:
			at.At("name").Failf("%.60q stands twice", a.Name)
		case a.Rate <= 0 || a.Rate > maxRate:
			at.At("rate").Failf("%v is not within 0 to %v requests a second", a.Rate, maxRate)
		case a.Burst < 0 || a.Burst > maxRate:
			at.At("burst").Failf("%v is not within 0 to %v requests", a.Burst, maxRate)
		case (a.Header == "") != (a.Value == ""):
			at.Failf("header and value go together")
		}
		seen[a.Name] = true
		if r := at.At("routes"); r.Exists() {
			a.Routes = make(map[string]bool)
			for _, item := range r.Items() {
				if name := item.Text(); !routes[name] {
					item.Failf("there is no route %.60q", name)
				} else {
					a.Routes[name] = true
				}
			}
		}
		if a.Header == "" && len(a.Routes) == 0 {
			at.Failf("it names neither a header nor routes: whose allowance is it?")
		}
		c.Allowances = append(c.Allowances, a)
	}
}

// MatchAllowance returns the first allowance that a request counts against; nil: none.
func (c *Config) MatchAllowance(r *Route, header func(name string) string) *Allowance {
	for _, a := range c.Allowances {
		if (a.Routes == nil || a.Routes[r.Name]) && (a.Header == "" || header(a.Header) == a.Value) {
			return a
		}
	}
	return nil
}
