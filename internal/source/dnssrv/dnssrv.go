// Package dnssrv reads leaf servers from DNS SRV records (RFC 2782): a resolver of
// its own on miekg/dns, since the system's tells neither lifetimes nor what failed.
// It owns the questions that are open, and what answers mean as observations of
// core/membership; core/resolve decides what is believed and whom to ask. It must
// never take a record that nobody asked for, keep more than its bounds, or wait for a
// resolver without an end.
package dnssrv

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"

	"saddleport/internal/core/membership"
	"saddleport/internal/core/resolve"
	"saddleport/internal/logs"
	"saddleport/internal/source/members"
)

// Settings are the operator file's section [dns].
type Settings struct {
	Names      []string      `ini:"names" help:"SRV names, such as _trips._tcp.zarqa.example.org; the first is ranked highest"`
	Resolvers  []string      `ini:"resolvers" help:"host:port each, tried in turn"`
	Cell       string        `ini:"cell" default:"txt" oneof:"txt label" help:"where a target's cell stands: in its TXT record (cell=3), or in a label of its name (c3)"`
	MinTTL     time.Duration `ini:"least-ttl" default:"1s" range:"100ms..1h" help:"a record is believed for so long at least"`
	MaxTTL     time.Duration `ini:"most-ttl" default:"60s" range:"1s..24h" help:"and at most"`
	StaleFor   time.Duration `ini:"stale-for" default:"5m" range:"0s..72h" help:"beyond its lifetime, while no resolver answers (RFC 8767)"`
	Timeout    time.Duration `ini:"timeout" default:"1s" range:"50ms..30s" help:"for one answer"`
	UDPSize    int           `ini:"udp-size" default:"1232" range:"512..4096" help:"the EDNS buffer that is told"`
	MaxTargets int           `ini:"most-targets" default:"2000" range:"1..100000" help:"targets of one name; further ones are not taken"`
	Parallel   int           `ini:"parallel" default:"8" range:"1..256" help:"questions that are out at once"`
}

// Check looks at names and addresses.
func (s *Settings) Check() error {
	for _, n := range s.Names {
		if _, ok := dns.IsDomainName(n); !ok || !strings.HasPrefix(n, "_") {
			return fmt.Errorf("names: %q is no SRV name", n)
		}
	}
	for _, r := range s.Resolvers {
		if _, _, err := net.SplitHostPort(r); err != nil {
			return fmt.Errorf("resolvers: %q is not an address", r)
		}
	}
	if s.MinTTL > s.MaxTTL {
		return fmt.Errorf("least-ttl: %v is above most-ttl, %v", s.MinTTL, s.MaxTTL)
	}
	return nil
}

const (
	pause     = 250 * time.Millisecond
	pauseMost = 5 * time.Second
	beat      = 5 * time.Second // while records live, the source is heard
	mostJunk  = 64              // datagrams that answer nothing, of one wait
	mostAddrs = 8               // of one target
)

var log = logs.For("dns")

// Source is the source. Each name is one in the merge.
type Source struct {
	set Settings
	to  members.Sink
}

// New returns a source that has not asked yet.
func New(set Settings, to members.Sink) *Source { return &Source{set, to} }

// Names implements members.Source.
func (s *Source) Names() []string { return Names(s.set) }

// Names are the sources that these settings make.
func Names(s Settings) []string {
	if len(s.Names) == 1 {
		return []string{"dns"}
	}
	var out []string
	for i := range s.Names {
		out = append(out, "dns."+strconv.Itoa(i+1))
	}
	return out
}

// Run implements members.Source.
func (s *Source) Run(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	for i, name := range s.set.Names {
		z := &zone{s: s, source: s.Names()[i], begin: time.Now(), hosts: make(map[string]*host)}
		z.srv = z.item(dns.Fqdn(strings.ToLower(name)), dns.TypeSRV)
		all.Go(func() { z.run(ctx) })
	}
	<-stop
	cancel()
	all.Wait()
}

// item is one question with what was last answered to it.
type item struct {
	q       *resolve.Question
	name    string
	kind    uint16
	records []dns.RR
	asked   bool // it has been answered, or has failed
}

// host is what is known of a target.
type host struct {
	a, aaaa, txt *item
	named        bool
	called       string // the name that its TXT record gave last
}

// zone is one SRV name. Its loop alone touches it.
type zone struct {
	s      *Source
	source string
	begin  time.Time
	srv    *item
	hosts  map[string]*host
	index  int64
	was    resolve.Status
}

func (z *zone) clock() resolve.Micros { return time.Since(z.begin).Microseconds() + 1 }

func (z *zone) item(name string, kind uint16) *item {
	set := z.s.set
	return &item{name: name, kind: kind, q: resolve.New(resolve.Settings{Resolvers: len(set.Resolvers), MinTTL: set.MinTTL.Microseconds(), MaxTTL: set.MaxTTL.Microseconds(),
		StaleFor: set.StaleFor.Microseconds(), Backoff: pause.Microseconds(), MaxBackoff: pauseMost.Microseconds()})}
}

func (z *zone) run(ctx context.Context) {
	for ctx.Err() == nil {
		asked := z.round(ctx)
		if ctx.Err() != nil {
			return
		}
		z.tell(asked)
		if wait := z.wait(); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
	}
}

// items are all questions that are wanted now.
func (z *zone) items() []*item {
	out := []*item{z.srv}
	for _, h := range z.hosts {
		out = append(out, h.a, h.aaaa)
		if h.txt != nil {
			out = append(out, h.txt)
		}
	}
	return out
}

// wait is how long nothing is to be done.
func (z *zone) wait() time.Duration {
	now := z.clock()
	at := now + beat.Microseconds()
	for _, i := range z.items() {
		next, _ := i.q.Next()
		at = min(at, next)
		if ends := i.q.NextStatusChange(now); ends > 0 {
			at = min(at, ends+1)
		}
	}
	return max(time.Duration(at-now)*time.Microsecond, time.Millisecond)
}

// round asks what is due, so many at once, and tells what became of the SRV question.
func (z *zone) round(ctx context.Context) (srv *resolve.Outcome) {
	type reply struct {
		i *item
		answer
	}
	now := z.clock()
	var due []*item
	for _, i := range z.items() {
		if next, _ := i.q.Next(); next <= now {
			due = append(due, i)
		}
	}
	room := make(chan struct{}, z.s.set.Parallel)
	replies := make(chan reply, len(due))
	for _, i := range due {
		room <- struct{}{}
		_, ask := i.q.Next()
		go func() {
			defer func() { <-room }()
			replies <- reply{i, z.s.ask(ctx, z.s.set.Resolvers[ask.Resolver], ask.TCP, i.name, i.kind)}
		}()
	}
	for range due {
		r := <-replies
		if ctx.Err() != nil {
			continue
		}
		if r.outcome >= resolve.Refused {
			_, ask := r.i.q.Next()
			log.Warn("dns-failed", "name", r.i.name, "type", dns.TypeToString[r.i.kind], "resolver", z.s.set.Resolvers[ask.Resolver], "tcp", ask.TCP, "err", r.err)
		}
		r.i.asked = true
		if r.i.q.RecordResponse(z.clock(), r.outcome, r.ttl.Microseconds()) {
			r.i.records = r.records
		}
		if r.i == z.srv {
			srv = &r.outcome
			if r.outcome == resolve.Answer {
				z.targets(r.answer)
			}
		}
	}
	return srv
}

// targets takes the targets of a new answer, with the addresses that came along.
func (z *zone) targets(a answer) {
	for _, h := range z.hosts {
		h.named = false
	}
	skipped := 0
	for _, rr := range a.records {
		name := strings.ToLower(rr.(*dns.SRV).Target)
		if name == "." { // "the service is decidedly not available at this domain"
			continue
		}
		h := z.hosts[name]
		if h == nil {
			if len(z.hosts) >= z.s.set.MaxTargets {
				skipped++
				continue
			}
			h = &host{a: z.item(name, dns.TypeA), aaaa: z.item(name, dns.TypeAAAA)}
			if z.s.set.Cell == "txt" {
				h.txt = z.item(name, dns.TypeTXT)
			}
			z.hosts[name] = h
		}
		h.named = true
		for _, i := range []*item{h.a, h.aaaa} {
			var got []dns.RR
			ttl := time.Duration(1 << 62)
			for _, e := range a.extra {
				if e.Header().Rrtype == i.kind && strings.EqualFold(e.Header().Name, name) {
					got = append(got, e)
					ttl = min(ttl, time.Duration(e.Header().Ttl)*time.Second)
				}
			}
			if len(got) > 0 {
				i.q.RecordResponse(z.clock(), resolve.Answer, ttl.Microseconds())
				i.records = got
			}
		}
	}
	if skipped > 0 {
		log.Warn("dns-targets", "name", z.srv.name, "skipped", skipped, "most", z.s.set.MaxTargets)
	}
	for name, h := range z.hosts {
		if !h.named {
			delete(z.hosts, name)
		}
	}
}

// tell tells the merge what is believed now.
func (z *zone) tell(srv *resolve.Outcome) {
	now := z.clock()
	s := z.srv.q.Status(now)
	if s != z.was {
		log.Info("dns-standing", "name", z.srv.name, "is", s, "was", z.was)
		z.was = s
	}
	if s == resolve.Stale || s == resolve.Unknown {
		if srv != nil && *srv >= resolve.Refused {
			z.s.to.Observe(membership.Observation{Source: z.source, Failed: true})
		}
		return
	}
	if s == resolve.Fresh && z.index == 0 && z.early(now) { // nothing half is told as the whole
		return
	}
	z.index++
	o := membership.Observation{Source: z.source, Index: z.index, Complete: true}
	if s == resolve.Fresh {
		o.Claims = z.claims(now)
	}
	z.s.to.Observe(o)
}

// early tells whether first look-ups of targets are still out.
func (z *zone) early(now resolve.Micros) bool {
	for _, h := range z.hosts {
		if h.txt != nil && !h.txt.asked || !h.a.asked && h.a.q.Status(now) == resolve.Unknown {
			return true
		}
	}
	return false
}

// believed are the records of a question that still count.
func (i *item) believed(now resolve.Micros) []dns.RR {
	if s := i.q.Status(now); s == resolve.Fresh || s == resolve.Stale {
		return i.records
	}
	return nil
}

// claims are what the records say of servers: of each cell those of the lowest
// priority number alone (RFC 2782).
func (z *zone) claims(now resolve.Micros) []membership.Claim {
	type target struct {
		membership.Claim
		priority, weight uint16
	}
	ports := make(map[string]int)
	for _, rr := range z.srv.records {
		ports[strings.ToLower(rr.(*dns.SRV).Target)]++
	}
	var all []target
	best := make(map[int]uint16)
	for _, rr := range z.srv.records {
		r := rr.(*dns.SRV)
		name := strings.ToLower(r.Target)
		h := z.hosts[name]
		if h == nil || h.txt != nil && !h.txt.asked { // its name is not known yet
			continue
		}
		t := target{priority: r.Priority, weight: r.Weight}
		t.Name = strings.TrimSuffix(name, ".")
		if ports[name] > 1 {
			t.Name += ":" + strconv.Itoa(int(r.Port))
		}
		for _, i := range []*item{h.aaaa, h.a} {
			for _, rr := range i.believed(now) {
				ip := ""
				switch a := rr.(type) {
				case *dns.A:
					ip = a.A.String()
				case *dns.AAAA:
					ip = a.AAAA.String()
				}
				if ip != "" && len(t.Addresses) < mostAddrs {
					t.Addresses = append(t.Addresses, net.JoinHostPort(ip, strconv.Itoa(int(r.Port))))
				}
			}
		}
		z.describe(now, h, &t.Claim)
		cell := -1
		if t.HasCell {
			cell = t.Cell
		}
		if p, ok := best[cell]; !ok || r.Priority < p {
			best[cell] = r.Priority
		}
		all = append(all, t)
	}
	sums, counts := make(map[int]float64), make(map[int]float64)
	key := func(t target) int {
		if t.HasCell {
			return t.Cell
		}
		return -1
	}
	all = slices.DeleteFunc(all, func(t target) bool { return t.priority > best[key(t)] })
	for _, t := range all {
		sums[key(t)] += float64(t.weight)
		counts[key(t)]++
	}
	var out []membership.Claim
	for _, t := range all {
		t.Weight = 1
		if sum := sums[key(t)]; sum > 0 {
			t.Weight = min(max(float64(t.weight)*counts[key(t)]/sum, 0.1), 10)
		}
		out = append(out, t.Claim)
	}
	return out
}

// describe reads what a target says of itself: in its TXT record, or in its name.
func (z *zone) describe(now resolve.Micros, h *host, c *membership.Claim) {
	if h.txt == nil {
		for label := range strings.SplitSeq(c.Name, ".") {
			if n, err := strconv.Atoi(strings.TrimPrefix(label, "c")); err == nil && strings.HasPrefix(label, "c") {
				c.Cell, c.HasCell = n, true
				return
			}
		}
		return
	}
	target := c.Name
	defer func() {
		if h.called != "" && h.called != target { // known by both, should the record be gone for a while
			c.Name, c.Aliases = h.called, []string{target}
		}
	}()
	for _, rr := range h.txt.believed(now) {
		for _, text := range rr.(*dns.TXT).Txt {
			for word := range strings.FieldsSeq(text) {
				k, v, _ := strings.Cut(word, "=")
				switch k {
				case "cell":
					if n, err := strconv.Atoi(v); err == nil {
						c.Cell, c.HasCell = n, true
					}
				case "name":
					if v != "" {
						h.called = v
					}
				case "site":
					c.Site = v
				case "kind":
					c.Kind = v
				case "state":
					c.Drain = v == "draining"
				case "since_ms":
					if ms, err := strconv.ParseInt(v, 10, 64); err == nil && ms > 0 && ms < 1<<50 {
						c.Since = ms * 1000
					}
				}
			}
		}
	}
}
