package quota

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// An allowance is what a caller may ask of all proxies together: a rate and a burst. The
// Lessor leases shares of it to the proxies that are asked for it; each proxy (Holder) admits
// by its share alone, without a call per request.
//
// All times are microseconds of the caller's steady clock.

// Allowance is a limit as the operator states it.
type Allowance struct {
	Name  string
	Rate  float64 // requests a second, over all proxies
	Burst float64 // requests that may be saved up, over all proxies
}

// LeaseConfig tunes the leases of allowances. Times are microseconds.
type LeaseConfig struct {
	Duration      int64   // of a lease
	RenewInterval int64   // a proxy that is asked for an allowance claims it again after so long
	UnleasedShare float64 // share of each allowance that is never leased: all proxies have equal parts of it
	MinProxies    int     // that the unleased share is divided among, however few are known
	ExtraWeight   float64 // share of the rate that is added to each proxy's demand when the rest is divided
	ProxyMemory   int64   // the largest number of proxies known within so long is taken for the real one
}

// DefaultLeaseConfig is the configuration for service.
var DefaultLeaseConfig = LeaseConfig{Duration: 3_000_000, RenewInterval: 1_000_000, UnleasedShare: 0.1, MinProxies: 8, ExtraWeight: 0.05, ProxyMemory: 60_000_000}

// Claim is a proxy's request for a lease.
type Claim struct {
	Name     string  `json:"n"`
	Demand   float64 `json:"a"` // requests a second that were asked of it, admitted or not
	Admitted float64 `json:"s"` // admitted since the last claim, for statistics
	Current  float64 `json:"h"` // the rate that it uses now: an answer may have been lost
}

// Grant is a lease. It lasts from the moment at which the claim was sent.
type Grant struct {
	Name string  `json:"n"`
	Rate float64 `json:"r"`
}

// The lessor's side.

type leaseState struct {
	rate, asked   float64
	until         int64
	previousRate  float64 // what the proxy used when it last claimed,
	previousUntil int64   // and may still use if the answer does not reach it
}

// current returns what a proxy may use now.
func (l *leaseState) current(now int64) (rate float64) {
	if now <= l.until {
		rate = l.rate
	}
	if now <= l.previousUntil {
		rate = max(rate, l.previousRate)
	}
	return rate
}

// Lessor leases shares of allowances. One process at a time holds it. It is not safe for
// concurrent use.
type Lessor struct {
	cfg         LeaseConfig
	since       int64
	allowances  map[string]Allowance
	leases      map[string]map[string]*leaseState // by allowance and proxy
	proxyCounts recentMax                         // of proxies known
	Admitted    map[string]float64                // over all proxies, since this process holds the role
	Demand      map[string]float64                // a second, over all proxies, recently
}

const (
	maxAllowances = 1000
	maxHolders    = 2000
	roundingSlack = 1e-6 // of a rate: what sums may be off by
)

// NewLessor returns the lessor of a process that takes the role over now and has recently
// known so many proxies, itself included. Its predecessor may have leased everything a moment
// ago: nothing is granted for the duration of a lease.
func NewLessor(now int64, cfg LeaseConfig, proxies int) *Lessor {
	return &Lessor{cfg: cfg, since: now, proxyCounts: recentMax{{proxies, now}}, allowances: make(map[string]Allowance), leases: make(map[string]map[string]*leaseState),
		Admitted: make(map[string]float64), Demand: make(map[string]float64)}
}

// SetAllowances sets the allowances of a configuration. Leases of one that became smaller run
// out.
func (b *Lessor) SetAllowances(list []Allowance) {
	b.allowances = make(map[string]Allowance, len(list))
	for _, s := range list[:min(len(list), maxAllowances)] {
		b.allowances[s.Name] = s
	}
	for name := range b.leases {
		if _, still := b.allowances[name]; !still {
			delete(b.leases, name)
			delete(b.Demand, name)
		}
	}
}

// hasMajority reports whether this side has most of the proxies that were known recently;
// otherwise another side may have a lessor of its own.
func (b *Lessor) hasMajority(now int64, proxies int) bool {
	return 2*proxies > b.proxyCounts.observe(now, b.cfg.ProxyMemory, proxies)
}

// ObserveProxies is to be called periodically and when proxies come or go, with the number
// known, this one included. Without a majority nothing is granted, nor for the duration of a
// lease after: leases of another side may be in use.
func (b *Lessor) ObserveProxies(now int64, proxies int) {
	if !b.hasMajority(now, proxies) {
		b.since = now
	}
}

// HandleClaims answers a proxy's claims; proxies is as for ObserveProxies.
func (b *Lessor) HandleClaims(now int64, from string, proxies int, list []Claim) (out []Grant) {
	b.ObserveProxies(now, proxies)
	for _, c := range list[:min(len(list), maxAllowances)] {
		s, known := b.allowances[c.Name]
		if !known || math.IsNaN(c.Demand) || c.Demand < 0 || c.Demand > 1e9 || math.IsNaN(c.Admitted) || c.Admitted < 0 || c.Admitted > 1e9 {
			continue
		}
		b.Admitted[c.Name] += c.Admitted
		out = append(out, Grant{Name: c.Name, Rate: b.grant(now, from, s, c)})
	}
	return out
}

func (b *Lessor) grant(now int64, from string, s Allowance, c Claim) float64 {
	all := b.leases[s.Name]
	if all == nil {
		all = make(map[string]*leaseState)
		b.leases[s.Name] = all
	}
	l := all[from]
	if l == nil {
		if len(all) >= maxHolders {
			return 0
		}
		l = &leaseState{}
		all[from] = l
	}
	l.asked = c.Demand
	pool := s.Rate * (1 - b.cfg.UnleasedShare)
	given, weight, asked := 0.0, 0.0, 0.0 // to the others
	for name, o := range all {
		if name == from {
			continue
		}
		if now > max(o.until, o.previousUntil) {
			delete(all, name)
			continue
		}
		given, weight, asked = given+o.current(now), weight+o.asked+b.cfg.ExtraWeight*s.Rate, asked+o.asked
	}
	b.Demand[s.Name] = asked + c.Demand
	l.previousRate, l.previousUntil = min(c.Current, s.Rate), l.until
	if l.rate, l.until = 0, now; now-b.since < b.cfg.Duration {
		return 0
	}
	mine := c.Demand + b.cfg.ExtraWeight*s.Rate
	l.rate = max(min(pool*mine/(mine+weight), pool-given), 0)
	l.until = now + b.cfg.Duration
	if l.rate > 0 && given+l.rate > pool*(1+roundingSlack) {
		panic(fmt.Sprintf("invariant: %v of %s leased, %v there", given+l.rate, s.Name, pool))
	}
	return l.rate
}

// Leased returns what is leased of an allowance now, and to how many proxies.
func (b *Lessor) Leased(now int64, name string) (sum float64, tills int) {
	for _, l := range b.leases[name] {
		if r := l.current(now); r > 0 {
			sum, tills = sum+r, tills+1
		}
	}
	return sum, tills
}

// The proxy's side.

type bucket struct {
	Allowance
	level   float64 // requests that may be admitted at once
	at      int64
	rate    float64 // leased
	until   int64
	asked   int // since the last claim
	spent   int
	asking  float64 // requests a second, smoothed
	lastAt  int64   // when it was last asked for
	claimAt int64
	counts  Counts
}

// Counts are a proxy's figures of one allowance since its start.
type Counts struct{ Admitted, Rejected int64 }

// Holder admits requests by a proxy's leases. It is not safe for concurrent use.
type Holder struct {
	cfg         LeaseConfig
	proxies     int
	buckets     map[string]*bucket
	lastClaimAt int64 // when anything was last claimed
}

// NewHolder returns the holder of a process that starts with nothing saved up: before a
// restart it may have spent all of it.
func NewHolder(cfg LeaseConfig) *Holder {
	return &Holder{cfg: cfg, proxies: cfg.MinProxies, buckets: make(map[string]*bucket)}
}

// SetAllowances sets the allowances of a configuration; levels and leases of those that stay are
// kept.
func (h *Holder) SetAllowances(now int64, list []Allowance) {
	old := h.buckets
	h.buckets = make(map[string]*bucket, len(list))
	for _, s := range list[:min(len(list), maxAllowances)] {
		x := old[s.Name]
		if x == nil {
			x = &bucket{at: now}
		} else if s.Rate < x.Rate { // its lease was a part of more
			x.rate *= s.Rate / x.Rate
		}
		x.Allowance = s
		h.buckets[s.Name] = x
	}
}

// SetProxies sets how many proxies there are, this one included.
func (h *Holder) SetProxies(n int) { h.proxies = max(n, h.cfg.MinProxies) }

// rateOf returns a proxy's rate now: its part of the unleased share and its lease.
func (h *Holder) rateOf(now int64, x *bucket) float64 {
	r := x.Rate * h.cfg.UnleasedShare / float64(h.proxies)
	if now <= x.until {
		r += x.rate
	}
	return r
}

// maxLevel returns what may be saved up: the rate's share of the burst, one request at least.
func (h *Holder) maxLevel(now int64, x *bucket) float64 {
	return max(x.Burst*h.rateOf(now, x)/x.Rate, 1)
}

func (h *Holder) refill(now int64, x *bucket) {
	from := x.at
	if x.at = now; now <= from {
		return
	}
	if from < x.until && x.until < now { // the lease ran out on the way
		x.level += x.rate * float64(x.until-from) / 1e6
		x.level += x.Rate * h.cfg.UnleasedShare / float64(h.proxies) * float64(now-from) / 1e6
	} else {
		x.level += h.rateOf(now, x) * float64(now-from) / 1e6
	}
	x.level = min(x.level, h.maxLevel(now, x))
}

// Admit takes a request off an allowance, or returns after how many microseconds one may be
// admitted.
func (h *Holder) Admit(now int64, name string) (ok bool, after int64) {
	x := h.buckets[name]
	if x == nil {
		return true, 0
	}
	h.refill(now, x)
	x.asked++
	x.lastAt = now
	if x.level >= 1 {
		x.level--
		x.spent++
		x.counts.Admitted++
		return true, 0
	}
	x.counts.Rejected++
	return false, int64(math.Ceil((1-x.level)/h.rateOf(now, x)*1e6)) + 1
}

// Due reports whether there is something to claim.
func (h *Holder) Due(now int64) bool {
	for _, x := range h.buckets {
		if h.due(now, x) {
			return true
		}
	}
	return false
}

func (h *Holder) recentlyAsked(now int64, x *bucket) bool {
	return x.lastAt != 0 && now-x.lastAt <= h.cfg.Duration
}

// due reports whether a lease is to be renewed. One that is asked for the first time is
// claimed soon, but not in a call of its own.
func (h *Holder) due(now int64, x *bucket) bool {
	switch {
	case !h.recentlyAsked(now, x):
		return false
	case x.claimAt == 0:
		return h.lastClaimAt == 0 || now-h.lastClaimAt >= h.cfg.RenewInterval/maxEarlyClaims
	}
	return now-x.claimAt >= h.cfg.RenewInterval
}

// maxEarlyClaims bounds the calls for newly asked allowances within a renewal interval.
const maxEarlyClaims = 5 // calls for them at most, within the time between two claims of one part

// TakeClaims returns the claims to send, for the allowances that were asked for recently. If
// one is renewed all are: many allowances cost no more calls than one.
func (h *Holder) TakeClaims(now int64) (out []Claim) {
	renewed := false
	for _, x := range h.buckets {
		renewed = renewed || x.claimAt != 0 && h.due(now, x)
	}
	for name, x := range h.buckets {
		if !h.due(now, x) && !(renewed && h.recentlyAsked(now, x)) {
			continue
		}
		span := float64(max(now-x.claimAt, h.cfg.RenewInterval/maxEarlyClaims)) / 1e6
		if x.claimAt == 0 {
			span = float64(h.cfg.RenewInterval) / 1e6
		}
		if x.asking += (float64(x.asked)/span - x.asking) / 2; x.asked == 0 {
			x.asking = 0 // who asked has gone elsewhere, and what is leased here is wanted there
		}
		c := Claim{Name: name, Demand: math.Round(x.asking*100) / 100, Admitted: float64(x.spent)}
		if now <= x.until {
			c.Current = x.rate
		}
		out = append(out, c)
		x.asked, x.spent, x.claimAt, h.lastClaimAt = 0, 0, now, now
	}
	slices.SortFunc(out, func(a, b Claim) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// HandleGrants takes the answer to claims that were sent at a time.
func (h *Holder) HandleGrants(now, sent int64, list []Grant) {
	for _, g := range list {
		x := h.buckets[g.Name]
		if x == nil || g.Rate < 0 || math.IsNaN(g.Rate) || sent < x.claimAt { // it has claimed anew since
			continue
		}
		h.refill(now, x)
		x.rate, x.until = min(g.Rate, x.Rate), sent+h.cfg.Duration
		x.level = min(x.level, h.maxLevel(now, x))
	}
}

// AllowanceStatus is one allowance as a proxy holds it.
type AllowanceStatus struct {
	Allowance
	Counts
	Rate  float64 // its rate now
	Level float64
	Lease int64 // microseconds left; 0: it has no lease
}

// Status returns all allowances, by name.
func (h *Holder) Status(now int64) (out []AllowanceStatus) {
	for _, x := range h.buckets {
		h.refill(now, x)
		out = append(out, AllowanceStatus{Allowance: x.Allowance, Counts: x.counts, Rate: h.rateOf(now, x), Level: x.level, Lease: max(x.until-now, 0)})
	}
	slices.SortFunc(out, func(a, b AllowanceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
