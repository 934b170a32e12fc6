package scenario

// This file validates the sections against each other and expands a scenario into a plan:
// servers, network, classes and changes.

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"saddleport/internal/exchange"
	"saddleport/internal/inifile"
	"saddleport/internal/lab/model"
)

// Bounds on the size of a run.
const (
	MaxServers = 20_000
	MaxQueries = 50_000_000
	MaxParts   = 400_000_000
)

// decodeScenario decodes and validates the sections of a document.
func decodeScenario(file string, doc *inifile.Doc) (*Scenario, error) {
	s := &Scenario{File: file, doc: doc}
	for _, into := range []any{&s.Proxies, &s.Settings, &s.Network, &s.Clients, &s.Load, &s.List, &s.Members, &s.Levels, &s.Expect} {
		inifile.SetDefaults(into)
	}
	main := Group{Name: "fleet"}
	inifile.SetDefaults(&main)
	sections := make(map[string]*inifile.Section)
	var groups []Group
	for _, sec := range doc.Sections {
		sections[sec.Name] = sec
		var err error
		switch sec.Name {
		case "scenario":
			err = sec.Decode(&s.Main)
		case "mixers":
			err = sec.Decode(&s.Proxies)
		case "settings":
			err = sec.Decode(&s.Settings)
		case "fleet":
			err = sec.Decode(&main)
		case "network":
			err = sec.Decode(&s.Network)
		case "clients":
			err = sec.Decode(&s.Clients)
		case "load":
			if err = sec.Decode(&s.Load); err == nil {
				if _, bad := model.ParseCurve(s.Load.Curve); bad != nil {
					err = sec.Errorf("curve", "%v", bad)
				}
			}
		case "list":
			err = sec.Decode(&s.List)
		case "members":
			if err = sec.Decode(&s.Members); err == nil {
				if bad := s.Members.Check(); bad != nil {
					err = sec.Errorf("", "%v", bad)
				}
			}
		case "levels":
			err = sec.Decode(&s.Levels)
		case "expect":
			err = sec.Decode(&s.Expect)
		default:
			if sec.Label == "" {
				return nil, unknown(sec)
			}
			switch sec.Kind {
			case "group":
				g := Group{Name: sec.Label}
				err = sec.Decode(&g)
				for _, k := range []string{"cells", "width", "shards"} {
					if err == nil && sec.Has(k) {
						err = sec.Errorf(k, "is a key of [fleet] only")
					}
				}
				groups = append(groups, g)
			case "link":
				l := Link{}
				var rest string
				l.From, l.To, _ = strings.Cut(sec.Label, " ")
				if l.To, rest, _ = strings.Cut(l.To, " "); l.To == "" || rest != "" {
					return nil, sec.Errorf("", "the section must be [link SITE SITE]")
				}
				err = sec.Decode(&l)
				s.Links = append(s.Links, l)
			case "class":
				c := Class{Name: sec.Label}
				if err = sec.Decode(&c); err == nil {
					err = c.check(sec)
				}
				s.Classes = append(s.Classes, c)
			case "burst":
				b := Burst{Name: sec.Label}
				err = sec.Decode(&b)
				s.Bursts = append(s.Bursts, b)
			case "tenant":
				n := Tenant{Name: sec.Label}
				err = sec.Decode(&n)
				s.Tenants = append(s.Tenants, n)
			case "level":
				l := exchange.LevelSettings{Name: sec.Label}
				if err = sec.Decode(&l); err == nil {
					if bad := l.Check(nil); bad != nil {
						err = sec.Errorf("give", "%v", bad)
					}
				}
				s.Level = append(s.Level, l)
			case "source":
				o := Source{Name: sec.Label}
				err = sec.Decode(&o)
				s.Sources = append(s.Sources, o)
			case "fault":
				f := Fault{Name: sec.Label}
				err = sec.Decode(&f)
				s.Faults = append(s.Faults, f)
			default:
				return nil, unknown(sec)
			}
		}
		if err != nil {
			return nil, err
		}
	}
	s.Groups = append([]Group{main}, groups...)
	if sections["scenario"] == nil {
		return nil, &inifile.Error{File: file, Problem: "no section [scenario]"}
	}
	if len(s.Classes) == 0 {
		return nil, &inifile.Error{File: file, Problem: "no section [class NAME], so there is no load"}
	}
	if err := s.check(sections); err != nil {
		return nil, err
	}
	_, err := s.Plan(uint64(s.Seed))
	return s, err
}

func unknown(sec *inifile.Section) error {
	return sec.Errorf("", "unknown section; the sections are include, vary, scenario, mixers, settings, fleet, group NAME, network, link A B, clients, class NAME, load, burst NAME, tenant NAME, list, members, source NAME, levels, level NAME, fault NAME, expect")
}

// check validates the keys of a class.
func (c *Class) check(sec *inifile.Section) error {
	dir := filepath.Dir(sec.File)
	switch {
	case c.MinShare > c.RequiredShare:
		return sec.Errorf("floor", "%v is above need, %v", c.MinShare, c.RequiredShare)
	case c.MaxParts > 0 && c.MaxParts < c.Parts:
		return sec.Errorf("parts-most", "%d is below parts, %d", c.MaxParts, c.Parts)
	case c.LatencyTarget > c.Timeout:
		return sec.Errorf("aim", "%v is above patience, %v", c.LatencyTarget, c.Timeout)
	case strings.ContainsAny(c.Name, " .,/"):
		return sec.Errorf("", "a class name must not contain spaces or any of . , /")
	}
	if _, err := model.ParseDist(c.Work, dir); err != nil {
		return sec.Errorf("work", "%v", err)
	}
	if _, err := model.ParseDist(c.LeaveAfter, dir); err != nil {
		return sec.Errorf("leave", "%v", err)
	}
	return nil
}

// check validates the sections against each other.
func (s *Scenario) check(at map[string]*inifile.Section) error {
	sectionOrMain := func(name string) *inifile.Section {
		if at[name] != nil {
			return at[name]
		}
		return at["scenario"]
	}
	f := &s.Groups[0]
	site := func(sec *inifile.Section, key, name string) error {
		if !slices.Contains(s.Network.Sites, name) {
			return sec.Errorf(key, "%q is not one of the sites: %s", name, strings.Join(s.Network.Sites, ", "))
		}
		return nil
	}
	if len(s.Network.Sites) == 0 {
		return sectionOrMain("network").Errorf("sites", "there must be at least one site")
	}
	if s.Warmup >= s.Length {
		return sectionOrMain("scenario").Errorf("warmup", "%v is not less than the length, %v", s.Warmup, s.Length)
	}
	if f.Width > f.Cells {
		return sectionOrMain("fleet").Errorf("width", "%d is more than the number of cells, %d", f.Width, f.Cells)
	}
	servers := 0
	for i := range s.Groups {
		g := &s.Groups[i]
		servers += f.Cells * g.Replicas
		if g.Site != "" {
			name := "group " + g.Name
			if i == 0 {
				name = "fleet"
			}
			if err := site(at[name], "site", g.Site); err != nil {
				return err
			}
		}
	}
	if servers < 1 || servers > MaxServers {
		return sectionOrMain("fleet").Errorf("replicas", "%d servers in total, not from 1 to %d", servers, MaxServers)
	}
	for _, l := range s.Links {
		for _, name := range []string{l.From, l.To} {
			if err := site(at["link "+l.From+" "+l.To], "", name); err != nil {
				return err
			}
		}
	}
	curve, _ := model.ParseCurve(s.Load.Curve)
	queries, parts := 0.0, 0.0
	for _, c := range s.Classes {
		q := c.Rate * s.Rate * s.Length.Seconds() * curve.Max()
		for _, b := range s.Bursts {
			if b.Class == "" || b.Class == c.Name {
				q *= max(b.Factor*min(b.For.Seconds()/s.Length.Seconds(), 1), 1)
			}
		}
		queries, parts = queries+q, parts+q*float64(max(c.Parts, c.MaxParts))
		if queries > MaxQueries || parts > MaxParts {
			return at["class "+c.Name].Errorf("rate", "up to this class the run has %.3g queries with %.3g parts; the limits are %.0e and %.0e", queries, parts, float64(MaxQueries), float64(MaxParts))
		}
	}
	for _, b := range s.Bursts {
		if b.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == b.Class }) {
			return at["burst "+b.Name].Errorf("class", "there is no class %q", b.Class)
		}
		if b.Tenant != "" && !slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return t.Name == b.Tenant }) {
			return at["burst "+b.Name].Errorf("tenant", "there is no tenant %q", b.Tenant)
		}
		if b.Tenant != "" && b.Class != "" {
			return at["burst "+b.Name].Errorf("class", "must not be set together with tenant")
		}
	}
	for _, o := range s.Sources {
		if !slices.Contains(s.Lists(), o.Name) {
			return at["source "+o.Name].Errorf("", "%s is not one of the sources: %s", o.Name, strings.Join(s.Lists(), ", "))
		}
	}
	for _, x := range s.Faults {
		sec := at["fault "+x.Name]
		if x.Source != "" && !slices.Contains(s.Lists(), x.Source) {
			return sec.Errorf("source", "%s is not one of the sources: %s", x.Source, strings.Join(s.Lists(), ", "))
		}
		if (x.Do == model.DNSTruncate || x.Do == model.DNSJunk) && x.Source != "dns" {
			return sec.Errorf("source", "%s needs the source dns", x.Do)
		}
		if x.Do == model.ListReset && x.Source != "consul" {
			return sec.Errorf("source", "%s needs the source consul", x.Do)
		}
		if x.Do == model.SwitchSources {
			if len(x.SwitchTo) == 0 || len(s.Members.Sources) == 0 {
				return sec.Errorf("to", "must list sources, and [members] sources must be set")
			}
			for _, to := range x.SwitchTo {
				if !slices.Contains(s.Lists(), to) {
					return sec.Errorf("to", "%s is not one of the sources: %s", to, strings.Join(s.Lists(), ", "))
				}
			}
		}
		if x.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == x.Class }) {
			return sec.Errorf("class", "there is no class %q", x.Class)
		}
		if x.At >= s.Length {
			return sec.Errorf("at", "%v is not less than the length, %v", x.At, s.Length)
		}
		if x.Every > 0 && x.For == 0 {
			return sec.Errorf("for", "must be set together with every")
		}
		if x.Do == model.Release && x.For < x.Delay {
			return sec.Errorf("for", "%v ends before the process, which ends %v after the drain", x.For, x.Delay)
		}
		if _, err := s.fault(x, s.specs(1)); err != nil {
			return sec.Errorf("who", "%v", err)
		}
	}
	return nil
}

// Plan is a scenario expanded with a seed.
type Plan struct {
	*Scenario
	RunSeed uint64 // the seed of this run; Seed is that of the file
	Servers []model.Spec
	Changes []model.Change
	Classes []*model.Class
	Work    map[string]*model.Work
	Window  [2]time.Duration // requests due within it are counted
}

// NewTenants returns the plan's tenants with full token buckets.
func (p *Plan) NewTenants() (out []*model.Tenant) {
	for _, t := range p.Tenants {
		m := &model.Tenant{Name: t.Name, Usage: t.Usage, Quota: t.Quota}
		for _, b := range p.Bursts {
			if b.Tenant == t.Name {
				m.Bursts = append(m.Bursts, model.Burst{At: b.At, For: b.For, Factor: b.Factor})
			}
		}
		out = append(out, m)
	}
	return out
}

// burstFactor returns the factor by which a burst raises all arrivals: a burst of one tenant
// raises only that tenant's part.
func (s *Scenario) burstFactor(b Burst) float64 {
	if b.Tenant == "" {
		return b.Factor
	}
	own, all := 0.0, 0.0
	for _, t := range s.Tenants {
		if all += t.Usage; t.Name == b.Tenant {
			own = t.Usage
		}
	}
	return 1 + (b.Factor-1)*own/all
}

// Plan expands the scenario with a seed.
func (s *Scenario) Plan(seed uint64) (*Plan, error) {
	p := &Plan{Scenario: s, RunSeed: seed, Servers: s.specs(seed), Work: make(map[string]*model.Work), Window: [2]time.Duration{s.Warmup, s.Length}}
	var faults []*model.Fault
	for _, x := range s.Faults {
		f, err := s.fault(x, p.Servers)
		if err != nil {
			return nil, err
		}
		faults = append(faults, f)
	}
	var err error
	if p.Changes, err = model.Script(faults, seed, s.Length); err != nil {
		return nil, &inifile.Error{File: s.File, Problem: err.Error()}
	}
	curve, err := model.ParseCurve(s.Load.Curve)
	if err != nil {
		return nil, err
	}
	for _, c := range s.Classes {
		dir := filepath.Dir(s.File)
		work, err := model.ParseDist(c.Work, dir)
		if err != nil {
			return nil, err
		}
		leave, err := model.ParseDist(c.LeaveAfter, dir)
		if err != nil {
			return nil, err
		}
		m := &model.Class{Name: c.Name, Parts: c.Parts, UnequalWeights: c.UnequalWeights, LatencyTarget: c.LatencyTarget, Timeout: c.Timeout, LeaveShare: c.LeaveShare, LeaveAfter: leave,
			Unsafe: c.Effect != "free", Value: c.Value, RequiredShare: c.RequiredShare, MinShare: c.MinShare, PartialValue: c.PartialValue, LateValue: c.LateValue,
			Zipf: model.NewZipf(s.Groups[0].Shards, c.Zipf, seed), MaxParts: c.MaxParts, Contiguous: c.Contiguous, Shards: s.Groups[0].Shards}
		if c.Keys > 0 {
			m.Keys = model.NewZipf(c.Keys, c.KeyZipf, seed)
		}
		m.Arrivals = model.Arrivals{Rate: c.Rate * s.Rate, Curve: curve}
		for _, b := range s.Bursts {
			if b.Class == "" || b.Class == c.Name {
				m.Arrivals.Bursts = append(m.Arrivals.Bursts, model.Burst{At: b.At, For: b.For, Factor: s.burstFactor(b)})
			}
		}
		if c.Trace != "" {
			if m.Arrivals.Trace, err = model.ReadTrace(filepath.Join(dir, c.Trace)); err != nil {
				return nil, err
			}
		}
		p.Classes = append(p.Classes, m)
		p.Work[c.Name] = &model.Work{Dist: work, QuerySigma: c.Sigma, Seed: seed}
	}
	return p, nil
}

// specs returns the servers, named s-CELL-REPLICA, or NAME-CELL-REPLICA in a group.
func (s *Scenario) specs(seed uint64) []model.Spec {
	var out []model.Spec
	f := s.Groups[0]
	for cell := range f.Cells {
		n := 0
		for _, g := range s.Groups {
			for r := range g.Replicas {
				prefix := "s"
				if g.Name != "fleet" {
					prefix = g.Name
				}
				name := fmt.Sprintf("%s-%d-%d", prefix, cell, r)
				site := g.Site
				if site == "" {
					site = s.Network.Sites[(cell+n)%len(s.Network.Sites)]
				}
				speed := g.Speed * (1 + g.SpeedSpread*(2*model.Uniform(seed, "speed", name)-1))
				out = append(out, model.Spec{Name: name, Site: site, Group: g.Name, Cell: cell, Cores: g.Cores, Speed: speed, Slots: g.Slots,
					QueueLimit: g.QueueLimit, Queue: model.Discipline(g.Queue), Knee: g.Knee, KneeLoss: g.KneeLoss, CancelsRunning: g.CancelsRunning, Handshake: g.Handshake, Seed: seed,
					CallWork: s.Settings.CallWork, KeyCache: model.KeyCache{Gain: g.KeyGain, TTL: g.KeyTTL, MaxKeys: g.MaxKeys},
					SlowStart: model.SlowStart{InitialShare: g.SlowStartShare, WarmupTime: g.SlowStartTime, WarmupParts: g.SlowStartParts, OverloadMultiple: g.OverloadMultiple, OverloadWindow: g.OverloadWindow, Downtime: g.OverloadDowntime}})
				n++
			}
		}
	}
	return out
}

// fault converts a fault and resolves its targets.
func (s *Scenario) fault(x Fault, servers []model.Spec) (*model.Fault, error) {
	f := &model.Fault{Name: x.Name, Do: x.Do, At: x.At, For: x.For, Every: x.Every, Times: x.Times, Chance: x.Chance, Share: x.Share, Stagger: x.Stagger,
		Class: x.Class, PartShare: x.PartShare, Factor: x.Factor, Warm: x.Warm, Both: x.Both, Source: x.Source, SwitchTo: x.SwitchTo, Delay: x.Delay}
	selector := strings.Fields(x.Targets)
	if len(selector) == 0 {
		selector = []string{"all"}
	}
	number := func() int {
		if len(selector) == 2 {
			if n, err := strconv.Atoi(selector[1]); err == nil {
				return n
			}
		}
		return -1
	}
	switch {
	case x.Do == model.Cut:
		if len(selector) != 2 || !slices.Contains(s.Network.Sites, selector[0]) || !slices.Contains(s.Network.Sites, selector[1]) {
			return nil, fmt.Errorf("%q does not name two of the sites: %s", x.Targets, strings.Join(s.Network.Sites, ", "))
		}
		f.From, f.To = slices.Index(s.Network.Sites, selector[0]), slices.Index(s.Network.Sites, selector[1])
	case model.TargetsList(x.Do):
	case model.TargetsProxies(x.Do):
		for i := range s.Proxies.Count {
			if selector[0] == "all" && len(selector) == 1 || selector[0] == "mixer" && number() == i {
				f.Targets = append(f.Targets, i)
			}
		}
		if len(f.Targets) == 0 {
			return nil, fmt.Errorf("%q is neither all nor one of mixer 0 to mixer %d", x.Targets, s.Proxies.Count-1)
		}
	default:
		g := s.Groups[0]
		for i, v := range servers {
			matches := false
			switch {
			case len(selector) == 1:
				matches = selector[0] == "all"
			case len(selector) != 2:
			case selector[0] == "server":
				matches = v.Name == selector[1]
			case selector[0] == "cell":
				matches = v.Cell == number()
			case selector[0] == "shard":
				matches = number() >= 0 && number() < g.Shards && (v.Cell-number()%g.Cells+g.Cells)%g.Cells < g.Width
			case selector[0] == "site":
				matches = v.Site == selector[1]
			case selector[0] == "group":
				matches = v.Group == selector[1]
			}
			if matches {
				f.Targets = append(f.Targets, i)
			}
		}
		if len(f.Targets) == 0 {
			return nil, fmt.Errorf("%q matches no server; use all, server NAME, cell N, shard N, site NAME or group NAME", x.Targets)
		}
	}
	return f, nil
}

// NewNetwork returns the plan's network.
func (p *Plan) NewNetwork() *model.Network {
	n := p.Network
	net := model.NewNetwork(n.Sites, model.Link{Delay: n.Local, Jitter: n.Jitter, Loss: n.Loss}, model.Link{Delay: n.Far, Jitter: n.Jitter, Loss: n.Loss}, p.RunSeed)
	for _, l := range p.Links {
		a, b := net.Site(l.From), net.Site(l.To)
		net.Set(a, b, model.Link{Delay: l.Delay, Jitter: l.Jitter, Loss: l.Loss})
		if l.Both {
			net.Set(b, a, model.Link{Delay: l.Delay, Jitter: l.Jitter, Loss: l.Loss})
		}
	}
	return net
}

// ProxySite returns the site of a proxy.
func (p *Plan) ProxySite(n int) string { return p.Network.Sites[n%len(p.Network.Sites)] }

// Retry returns how clients retry.
func (p *Plan) Retry() model.Retry {
	c := p.Clients
	return model.Retry{MaxRetries: c.Retries, Backoff: c.Backoff, Jitter: c.Jitter, AdviceShare: c.AdviceShare, MarkRetries: c.MarkRetries, AfterFailure: c.RetryAfterFailure, BackoffFactor: c.BackoffFactor, MinTimeLeft: c.MinTimeLeft}
}

// HasShard reports whether a server has a shard.
func (p *Plan) HasShard(server, shard int) bool {
	g := p.Groups[0]
	return ((p.Servers[server].Cell-shard)%g.Cells+g.Cells)%g.Cells < g.Width
}

// Lists returns the names of the sources of the server list: those of [members], or list
// alone.
func (s *Scenario) Lists() []string {
	if len(s.Members.Sources) > 0 {
		return s.Members.Sources
	}
	return []string{"list"}
}

// Source returns the configuration of a source.
func (s *Scenario) Source(name string) Source {
	if i := slices.IndexFunc(s.Sources, func(o Source) bool { return o.Name == name }); i >= 0 {
		return s.Sources[i]
	}
	o := Source{Name: name}
	inifile.SetDefaults(&o)
	if name == "list" {
		o.Lag, o.Jitter, o.DetectDelay = s.List.Lag, s.List.Jitter, s.List.DetectDelay
	}
	return o
}

// NewLists returns the plan's lists, one for each source; the driver sets Publish and OnFault.
func (p *Plan) NewLists(s func(n int) model.Sched) (out []*model.List) {
	for i, name := range p.Lists() {
		o := p.Source(name)
		l := &model.List{Name: name, KeepsEnded: o.KeepsEnded, ReportsDrains: o.ReportsDrains, Sched: s(i), Lag: o.Lag, Jitter: o.Jitter, DetectDelay: o.DetectDelay, Exponential: model.Rand(p.RunSeed, name).ExpFloat64}
		l.Begin(len(p.Servers))
		out = append(out, l)
	}
	return out
}

// ProxySeed returns the seed of a proxy's decisions in an incarnation.
func (p *Plan) ProxySeed(n, life int) uint64 {
	return model.Mix(p.RunSeed, "mixer", strconv.Itoa(n), strconv.Itoa(life))
}

// ProxySettings returns the proxies' settings in the format of the platform.
func (p *Plan) ProxySettings() ([]byte, error) {
	list := func(f func(Class) any) []any {
		var out []any
		for _, c := range p.Scenario.Classes {
			out = append(out, f(c))
		}
		return out
	}
	us := func(d time.Duration) int64 { return d.Microseconds() }
	g, set := p.Groups[0], p.Settings
	discovery, tenants := "ask", []any{}
	if set.PollInterval > 0 {
		discovery = "push"
	}
	for _, t := range p.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "quota-per-s": t.Quota, "fraction": t.Share})
	}
	return json.Marshal(map[string]any{"balancers": p.Proxies.Count, "discovery": discovery, "resolution": us(set.Resolution), "kinds": []string{"std-2c"}, "tenants": tenants,
		"over-share-worth": p.OverQuotaValue,
		"request-classes": list(func(c Class) any {
			return map[string]any{"name": c.Name, "aim": us(c.LatencyTarget), "deadline": us(c.Timeout), "effect": c.Effect,
				"late-worth": c.LateValue, "memory-span": us(c.DedupWindow), "value": c.Value}
		}),
		"family-info": map[string]any{"bundle-max": set.MaxPartsPerCall, "class-fetch": list(func(Class) any { return 0 }),
			"class-floor": list(func(c Class) any { return c.MinShare }), "need-by-class": list(func(c Class) any { return c.RequiredShare }),
			"partial-earns": list(func(c Class) any { return c.PartialValue }), "places": g.Cells, "slices": g.Shards, "width": g.Width, "per-call-work": us(set.CallWork),
			"warm-keys": g.KeyGain > 0},
		"limits": map[string]any{"cancel": set.Cancel, "dial-timeout": us(set.Dial), "keepalive": us(set.Keepalive), "max-retry-after": us(set.MaxRetryAfter), "most-held": set.MaxInFlight,
			"parallel-tries": set.ParallelAttempts, "probes": true, "retry-after": p.Clients.AdviceShare > 0, "send-cap": set.AttemptCap, "streams-per-conn": 100},
		"report": map[string]any{"fields": []string{"inflight"}, "source": "piggyback"},
		"rules": map[string]any{"answer-slack": 20000, "ask-within": us(set.AskWithin), "cold": us(g.SlowStartTime), "drain-grace": us(set.DrainGrace), "fall": us(g.OverloadWindow),
			"fall-multiple": g.OverloadMultiple, "start-capacity": g.SlowStartShare}})
}

// Servers returns the number of servers.
func (s *Scenario) Servers() (n int) {
	for _, g := range s.Groups {
		n += s.Groups[0].Cells * g.Replicas
	}
	return n
}
