// Package dnssrv discovers leaf servers from DNS SRV records (RFC 2782). It has its own
// resolver client, based on miekg/dns, because the system resolver reports neither TTLs
// nor the cause of a failure. The package owns the lookups and translates responses into
// observations for core/membership; core/resolve decides which records are valid and which
// resolver is queried next. The package must never accept a record that it did not ask for,
// store more records than its limits allow, or wait for a resolver without a timeout.
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
	Names      []string      `ini:"names" help:"SRV names, such as _trips._tcp.zarqa.example.org; the first has the highest rank"`
	Resolvers  []string      `ini:"resolvers" help:"host:port of each resolver; after a failure the next is used"`
	Cell       string        `ini:"cell" default:"txt" oneof:"txt label" help:"where a target's cell is found: in its TXT record (cell=3), or in a label of its name (c3)"`
	MinTTL     time.Duration `ini:"least-ttl" default:"1s" range:"100ms..1h" help:"minimum time for which a record is valid"`
	MaxTTL     time.Duration `ini:"most-ttl" default:"60s" range:"1s..24h" help:"maximum time for which a record is valid"`
	StaleFor   time.Duration `ini:"stale-for" default:"5m" range:"0s..72h" help:"how long a record is used beyond its TTL while no resolver answers (RFC 8767)"`
	Timeout    time.Duration `ini:"timeout" default:"1s" range:"50ms..30s" help:"timeout of one query"`
	UDPSize    int           `ini:"udp-size" default:"1232" range:"512..4096" help:"the advertised EDNS buffer size"`
	MaxTargets int           `ini:"most-targets" default:"2000" range:"1..100000" help:"limit of targets of one name; further ones are ignored"`
	Parallel   int           `ini:"parallel" default:"8" range:"1..256" help:"limit of queries in flight at once"`
}

// Check validates the names, the resolver addresses and the TTL bounds.
func (s *Settings) Check() error {
	for _, n := range s.Names {
		if _, ok := dns.IsDomainName(n); !ok || !strings.HasPrefix(n, "_") {
			return fmt.Errorf("names: %q is not an SRV name", n)
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
	minBackoff     = 250 * time.Millisecond
	maxBackoff     = 5 * time.Second
	reportInterval = 5 * time.Second // an unchanged zone is reported at least this often, so that the source counts as responsive
	maxUnrelated   = 64              // unrelated or malformed datagrams that are skipped while one response is awaited
	maxAddrs       = 8               // addresses used of one target
)

var log = logs.For("dns")

// Source queries the configured SRV names. Each name is a separate source of the merge.
type Source struct {
	settings Settings
	sink     members.Sink
}

// New returns a source that reports to sink. It sends no query before Run.
func New(settings Settings, sink members.Sink) *Source { return &Source{settings, sink} }

// Names implements members.Source.
func (s *Source) Names() []string { return Names(s.settings) }

// Names returns the names of the sources that the settings define: "dns" for a single SRV
// name, else "dns.1", "dns.2" and so on.
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
	var zones sync.WaitGroup
	for i, name := range s.settings.Names {
		z := &zone{src: s, sourceName: s.Names()[i], start: time.Now(), hosts: make(map[string]*host)}
		z.srv = z.newLookup(dns.Fqdn(strings.ToLower(name)), dns.TypeSRV)
		zones.Go(func() { z.run(ctx) })
	}
	<-stop
	cancel()
	zones.Wait()
}

// lookup is one DNS question with the records of its last accepted response.
type lookup struct {
	question   *resolve.Question
	name       string
	recordType uint16
	records    []dns.RR
	attempted  bool // at least one query has been answered or has failed
}

// host holds the lookups of one SRV target.
type host struct {
	a, aaaa, txt *lookup
	listed       bool   // named by the newest SRV response
	txtName      string // the last server name that its TXT record gave
}

// zone is one SRV name with its targets. Only the goroutine of run uses it.
type zone struct {
	src        *Source
	sourceName string
	start      time.Time
	srv        *lookup
	hosts      map[string]*host
	index      int64
	lastStatus resolve.Status
}

func (z *zone) clock() resolve.Micros { return time.Since(z.start).Microseconds() + 1 }

func (z *zone) newLookup(name string, recordType uint16) *lookup {
	settings := z.src.settings
	return &lookup{name: name, recordType: recordType, question: resolve.New(resolve.Settings{Resolvers: len(settings.Resolvers), MinTTL: settings.MinTTL.Microseconds(), MaxTTL: settings.MaxTTL.Microseconds(),
		StaleFor: settings.StaleFor.Microseconds(), Backoff: minBackoff.Microseconds(), MaxBackoff: maxBackoff.Microseconds()})}
}

func (z *zone) run(ctx context.Context) {
	for ctx.Err() == nil {
		srvOutcome := z.queryDue(ctx)
		if ctx.Err() != nil {
			return
		}
		z.report(srvOutcome)
		if wait := z.untilNextDue(); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
	}
}

// lookups returns the SRV lookup and the lookups of all current targets.
func (z *zone) lookups() []*lookup {
	out := []*lookup{z.srv}
	for _, h := range z.hosts {
		out = append(out, h.a, h.aaaa)
		if h.txt != nil {
			out = append(out, h.txt)
		}
	}
	return out
}

// untilNextDue returns the time until the next query, status change or periodic report.
func (z *zone) untilNextDue() time.Duration {
	now := z.clock()
	wakeAt := now + reportInterval.Microseconds()
	for _, l := range z.lookups() {
		next, _ := l.question.Next()
		wakeAt = min(wakeAt, next)
		if changesAt := l.question.NextStatusChange(now); changesAt > 0 {
			wakeAt = min(wakeAt, changesAt+1)
		}
	}
	return max(time.Duration(wakeAt-now)*time.Microsecond, time.Millisecond)
}

// queryDue sends all queries that are due, at most Settings.Parallel at a time, and waits
// for their results. It returns the outcome of the SRV query, or nil if that was not due.
func (z *zone) queryDue(ctx context.Context) (srvOutcome *resolve.Outcome) {
	type reply struct {
		l *lookup
		queryResult
	}
	now := z.clock()
	var due []*lookup
	for _, l := range z.lookups() {
		if next, _ := l.question.Next(); next <= now {
			due = append(due, l)
		}
	}
	slots := make(chan struct{}, z.src.settings.Parallel)
	replies := make(chan reply, len(due))
	for _, l := range due {
		slots <- struct{}{}
		_, query := l.question.Next()
		go func() {
			defer func() { <-slots }()
			replies <- reply{l, z.src.query(ctx, z.src.settings.Resolvers[query.Resolver], query.TCP, l.name, l.recordType)}
		}()
	}
	for range due {
		r := <-replies
		if ctx.Err() != nil {
			continue
		}
		if r.outcome >= resolve.Refused {
			_, query := r.l.question.Next()
			log.Warn("dns-failed", "name", r.l.name, "type", dns.TypeToString[r.l.recordType], "resolver", z.src.settings.Resolvers[query.Resolver], "tcp", query.TCP, "err", r.err)
		}
		r.l.attempted = true
		if r.l.question.RecordResponse(z.clock(), r.outcome, r.ttl.Microseconds()) {
			r.l.records = r.records
		}
		if r.l == z.srv {
			srvOutcome = &r.outcome
			if r.outcome == resolve.Answer {
				z.updateTargets(r.queryResult)
			}
		}
	}
	return srvOutcome
}

// updateTargets replaces the set of targets by those of a new SRV response and stores the
// addresses of its additional section.
func (z *zone) updateTargets(result queryResult) {
	for _, h := range z.hosts {
		h.listed = false
	}
	skipped := 0
	for _, rr := range result.records {
		name := strings.ToLower(rr.(*dns.SRV).Target)
		if name == "." { // "the service is decidedly not available at this domain"
			continue
		}
		h := z.hosts[name]
		if h == nil {
			if len(z.hosts) >= z.src.settings.MaxTargets {
				skipped++
				continue
			}
			h = &host{a: z.newLookup(name, dns.TypeA), aaaa: z.newLookup(name, dns.TypeAAAA)}
			if z.src.settings.Cell == "txt" {
				h.txt = z.newLookup(name, dns.TypeTXT)
			}
			z.hosts[name] = h
		}
		h.listed = true
		for _, l := range []*lookup{h.a, h.aaaa} {
			var records []dns.RR
			ttl := time.Duration(1 << 62)
			for _, rr := range result.extra {
				if rr.Header().Rrtype == l.recordType && strings.EqualFold(rr.Header().Name, name) {
					records = append(records, rr)
					ttl = min(ttl, time.Duration(rr.Header().Ttl)*time.Second)
				}
			}
			if len(records) > 0 {
				l.question.RecordResponse(z.clock(), resolve.Answer, ttl.Microseconds())
				l.records = records
			}
		}
	}
	if skipped > 0 {
		log.Warn("dns-targets", "name", z.srv.name, "skipped", skipped, "most", z.src.settings.MaxTargets)
	}
	for name, h := range z.hosts {
		if !h.listed {
			delete(z.hosts, name)
		}
	}
}

// report passes the current state of the zone to the merge.
func (z *zone) report(srvOutcome *resolve.Outcome) {
	now := z.clock()
	status := z.srv.question.Status(now)
	if status != z.lastStatus {
		log.Info("dns-standing", "name", z.srv.name, "is", status, "was", z.lastStatus)
		z.lastStatus = status
	}
	if status == resolve.Stale || status == resolve.Unknown {
		if srvOutcome != nil && *srvOutcome >= resolve.Refused {
			z.src.sink.Observe(membership.Observation{Source: z.sourceName, Failed: true})
		}
		return
	}
	if status == resolve.Fresh && z.index == 0 && z.firstLookupsPending(now) { // a partial list must not be reported as complete
		return
	}
	z.index++
	observation := membership.Observation{Source: z.sourceName, Index: z.index, Complete: true}
	if status == resolve.Fresh {
		observation.Claims = z.claims(now)
	}
	z.src.sink.Observe(observation)
}

// firstLookupsPending reports whether the first lookups of some target have not finished.
func (z *zone) firstLookupsPending(now resolve.Micros) bool {
	for _, h := range z.hosts {
		if h.txt != nil && !h.txt.attempted || !h.a.attempted && h.a.question.Status(now) == resolve.Unknown {
			return true
		}
	}
	return false
}

// liveRecords returns the records of the last response while they are fresh or stale.
func (l *lookup) liveRecords(now resolve.Micros) []dns.RR {
	if s := l.question.Status(now); s == resolve.Fresh || s == resolve.Stale {
		return l.records
	}
	return nil
}

// claims converts the records into claims about servers. In each cell only the targets
// with the lowest priority number count (RFC 2782).
func (z *zone) claims(now resolve.Micros) []membership.Claim {
	type target struct {
		membership.Claim
		priority, weight uint16
	}
	recordsPerTarget := make(map[string]int)
	for _, rr := range z.srv.records {
		recordsPerTarget[strings.ToLower(rr.(*dns.SRV).Target)]++
	}
	var targets []target
	bestPriority := make(map[int]uint16)
	for _, rr := range z.srv.records {
		r := rr.(*dns.SRV)
		name := strings.ToLower(r.Target)
		h := z.hosts[name]
		if h == nil || h.txt != nil && !h.txt.attempted { // the server's name is not known before the TXT lookup has finished
			continue
		}
		t := target{priority: r.Priority, weight: r.Weight}
		t.Name = strings.TrimSuffix(name, ".")
		if recordsPerTarget[name] > 1 {
			t.Name += ":" + strconv.Itoa(int(r.Port))
		}
		for _, l := range []*lookup{h.aaaa, h.a} {
			for _, rr := range l.liveRecords(now) {
				ip := ""
				switch a := rr.(type) {
				case *dns.A:
					ip = a.A.String()
				case *dns.AAAA:
					ip = a.AAAA.String()
				}
				if ip != "" && len(t.Addresses) < maxAddrs {
					t.Addresses = append(t.Addresses, net.JoinHostPort(ip, strconv.Itoa(int(r.Port))))
				}
			}
		}
		z.readAttributes(now, h, &t.Claim)
		cell := -1
		if t.HasCell {
			cell = t.Cell
		}
		if p, ok := bestPriority[cell]; !ok || r.Priority < p {
			bestPriority[cell] = r.Priority
		}
		targets = append(targets, t)
	}
	weightSums, targetCounts := make(map[int]float64), make(map[int]float64)
	cellKey := func(t target) int {
		if t.HasCell {
			return t.Cell
		}
		return -1
	}
	targets = slices.DeleteFunc(targets, func(t target) bool { return t.priority > bestPriority[cellKey(t)] })
	for _, t := range targets {
		weightSums[cellKey(t)] += float64(t.weight)
		targetCounts[cellKey(t)]++
	}
	var out []membership.Claim
	for _, t := range targets {
		t.Weight = 1
		if sum := weightSums[cellKey(t)]; sum > 0 {
			t.Weight = min(max(float64(t.weight)*targetCounts[cellKey(t)]/sum, 0.1), 10)
		}
		out = append(out, t.Claim)
	}
	return out
}

// readAttributes reads the attributes of a target into a claim: from its TXT record or, with
// the setting cell = label, the cell from its host name.
func (z *zone) readAttributes(now resolve.Micros, h *host, c *membership.Claim) {
	if h.txt == nil {
		for label := range strings.SplitSeq(c.Name, ".") {
			if cell, err := strconv.Atoi(strings.TrimPrefix(label, "c")); err == nil && strings.HasPrefix(label, "c") {
				c.Cell, c.HasCell = cell, true
				return
			}
		}
		return
	}
	target := c.Name
	defer func() {
		if h.txtName != "" && h.txtName != target { // both names identify the server, in case the TXT record is temporarily missing
			c.Name, c.Aliases = h.txtName, []string{target}
		}
	}()
	for _, rr := range h.txt.liveRecords(now) {
		for _, text := range rr.(*dns.TXT).Txt {
			for attribute := range strings.FieldsSeq(text) {
				k, v, _ := strings.Cut(attribute, "=")
				switch k {
				case "cell":
					if cell, err := strconv.Atoi(v); err == nil {
						c.Cell, c.HasCell = cell, true
					}
				case "name":
					if v != "" {
						h.txtName = v
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
