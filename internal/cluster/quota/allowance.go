package quota

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// This file distributes allowances. An allowance limits the requests of a caller to all proxies
// together by a rate and a burst. The Lessor leases shares of it to the proxies that receive
// requests of the caller; each proxy (Holder) admits requests by its share alone, without a call
// per request.
//
// All times are microseconds of the caller's monotonic clock.

// Allowance is a limit as the operator configures it.
type Allowance struct {
	Name  string
	Rate  float64 // requests per second, over all proxies
	Burst float64 // maximum burst in requests, over all proxies
}

// LeaseConfig configures the leases of allowances. Times are microseconds.
type LeaseConfig struct {
	Duration      int64   // duration of a lease
	RenewInterval int64   // time after which a proxy with recent requests claims an allowance again
	UnleasedShare float64 // share of each allowance that is never leased but divided equally among all proxies
	MinProxies    int     // minimum number of proxies among which the unleased share is divided
	ExtraWeight   float64 // share of the rate that is added to each proxy's demand when the leased share is divided
	ProxyMemory   int64   // window whose largest number of known proxies counts as the total number; in a longer partition each side may lease the full rate
}

// DefaultLeaseConfig is the configuration used in production.
var DefaultLeaseConfig = LeaseConfig{Duration: 3_000_000, RenewInterval: 1_000_000, UnleasedShare: 0.1, MinProxies: 8, ExtraWeight: 0.05, ProxyMemory: 60_000_000}

// Claim is a proxy's request for a lease.
type Claim struct {
	Name     string  `json:"n"`
	Demand   float64 `json:"a"` // requests per second that the proxy received, admitted or not
	Admitted float64 `json:"s"` // requests admitted since the last claim, for statistics
	Current  float64 `json:"h"` // leased rate that the proxy uses now; the lessor cannot know whether its last grant arrived
}

// Grant is a lease. Its duration starts when the claim was sent.
type Grant struct {
	Name string  `json:"n"`
	Rate float64 `json:"r"`
}

// leaseState is what a lessor knows of the lease of one proxy.
type leaseState struct {
	rate, demand      float64 // requests per second
	expiresAt         int64
	previousRate      float64 // leased rate that the proxy used when it last claimed
	previousExpiresAt int64   // until then the proxy may use previousRate, if the last grant does not reach it
}

// current returns the highest rate that the proxy may be using now.
func (l *leaseState) current(now int64) (rate float64) {
	if now <= l.expiresAt {
		rate = l.rate
	}
	if now <= l.previousExpiresAt {
		rate = max(rate, l.previousRate)
	}
	return rate
}

// Lessor leases shares of allowances. It runs in one process at a time, as a singleton role. It is
// not safe for concurrent use.
type Lessor struct {
	cfg          LeaseConfig
	waitingSince int64 // nothing is granted until a lease's duration after this time
	allowances   map[string]Allowance
	leases       map[string]map[string]*leaseState // by allowance and proxy
	proxyCounts  recentMax                         // numbers of known proxies
	Admitted     map[string]float64                // requests admitted by all proxies since this process took the role over, by allowance
	Demand       map[string]float64                // recent requests per second to all proxies, by allowance
}

const (
	maxAllowances     = 1000
	maxHolders        = 2000 // leases of one allowance
	roundingTolerance = 1e-6 // relative rounding error that sums of rates may have
)

// NewLessor returns the lessor of a process that takes the role over now. proxies is the number of
// proxies that the process has recently known. The previous lessor may have leased everything
// immediately before, so nothing is granted for the duration of a lease.
func NewLessor(now int64, cfg LeaseConfig, proxies int) *Lessor {
	return &Lessor{cfg: cfg, waitingSince: now, proxyCounts: recentMax{{proxies, now}}, allowances: make(map[string]Allowance), leases: make(map[string]map[string]*leaseState),
		Admitted: make(map[string]float64), Demand: make(map[string]float64)}
}

// SetAllowances sets the allowances of a configuration. If an allowance becomes smaller, its leases
// stay valid until they expire.
func (l *Lessor) SetAllowances(list []Allowance) {
	l.allowances = make(map[string]Allowance, len(list))
	for _, allowance := range list[:min(len(list), maxAllowances)] {
		l.allowances[allowance.Name] = allowance
	}
	for name := range l.leases {
		if _, still := l.allowances[name]; !still {
			delete(l.leases, name)
			delete(l.Demand, name)
			delete(l.Admitted, name)
		}
	}
}

// hasMajority reports whether this side of a possible network partition has the majority of the
// proxies that were known recently; otherwise the other side may have a lessor of its own.
func (l *Lessor) hasMajority(now int64, proxies int) bool {
	return 2*proxies > l.proxyCounts.observe(now, l.cfg.ProxyMemory, proxies)
}

// ObserveProxies records the number of known proxies. It must be called periodically and whenever
// that number changes. Without a majority nothing is granted, and neither for the duration of a
// lease afterwards, because leases of the other side of a partition may still be in use.
func (l *Lessor) ObserveProxies(now int64, proxies int) {
	if !l.hasMajority(now, proxies) {
		l.waitingSince = now
	}
}

// HandleClaims returns the grants for the claims of a proxy; proxies is as for ObserveProxies. Claims
// with unknown names or invalid numbers are skipped.
func (l *Lessor) HandleClaims(now int64, proxy string, proxies int, list []Claim) (grants []Grant) {
	l.ObserveProxies(now, proxies)
	for _, claim := range list[:min(len(list), maxAllowances)] {
		allowance, known := l.allowances[claim.Name]
		if !known || math.IsNaN(claim.Demand) || claim.Demand < 0 || claim.Demand > 1e9 || math.IsNaN(claim.Admitted) || claim.Admitted < 0 || claim.Admitted > 1e9 {
			continue
		}
		l.Admitted[claim.Name] += claim.Admitted
		grants = append(grants, Grant{Name: claim.Name, Rate: l.grant(now, proxy, allowance, claim)})
	}
	return grants
}

// grant leases a share of an allowance to a proxy in proportion to its demand, as far as the other
// leases leave a rate available, and returns the leased rate.
func (l *Lessor) grant(now int64, proxy string, allowance Allowance, claim Claim) float64 {
	leases := l.leases[allowance.Name]
	if leases == nil {
		leases = make(map[string]*leaseState)
		l.leases[allowance.Name] = leases
	}
	lease := leases[proxy]
	if lease == nil {
		if len(leases) >= maxHolders {
			return 0
		}
		lease = &leaseState{}
		leases[proxy] = lease
	}
	lease.demand = claim.Demand
	pool := allowance.Rate * (1 - l.cfg.UnleasedShare)
	leasedToOthers, othersWeight, othersDemand := 0.0, 0.0, 0.0
	for holder, other := range leases {
		if holder == proxy {
			continue
		}
		if now > max(other.expiresAt, other.previousExpiresAt) {
			delete(leases, holder)
			continue
		}
		leasedToOthers, othersWeight, othersDemand = leasedToOthers+other.current(now), othersWeight+other.demand+l.cfg.ExtraWeight*allowance.Rate, othersDemand+other.demand
	}
	l.Demand[allowance.Name] = othersDemand + claim.Demand
	lease.previousRate, lease.previousExpiresAt = min(claim.Current, allowance.Rate), lease.expiresAt
	if lease.rate, lease.expiresAt = 0, now; now-l.waitingSince < l.cfg.Duration {
		return 0
	}
	ownWeight := claim.Demand + l.cfg.ExtraWeight*allowance.Rate
	lease.rate = max(min(pool*ownWeight/(ownWeight+othersWeight), pool-leasedToOthers), 0)
	lease.expiresAt = now + l.cfg.Duration
	if lease.rate > 0 && leasedToOthers+lease.rate > pool*(1+roundingTolerance) {
		panic(fmt.Sprintf("invariant violated: %v of allowance %s is leased, but only %v is available", leasedToOthers+lease.rate, allowance.Name, pool))
	}
	return lease.rate
}

// Leased returns the rate of an allowance that is leased now, and to how many proxies.
func (l *Lessor) Leased(now int64, name string) (sum float64, proxies int) {
	for _, lease := range l.leases[name] {
		if rate := lease.current(now); rate > 0 {
			sum, proxies = sum+rate, proxies+1
		}
	}
	return sum, proxies
}

// bucket is the token bucket of one allowance in one proxy.
type bucket struct {
	Allowance
	tokens         float64 // requests that may be admitted at once
	refilledAt     int64
	leasedRate     float64 // requests per second, until leaseExpiresAt
	leaseExpiresAt int64
	requested      int     // requests since the last claim
	admitted       int     // requests admitted since the last claim
	demand         float64 // requests per second, smoothed
	lastRequestAt  int64   // 0: never
	claimedAt      int64   // when a lease was last claimed; 0: never
	counts         Counts
}

// Counts are the requests of one allowance that a proxy admitted and rejected since its start.
type Counts struct{ Admitted, Rejected int64 }

// Holder admits the requests of one proxy by its leases. It is not safe for concurrent use.
type Holder struct {
	cfg         LeaseConfig
	proxies     int
	buckets     map[string]*bucket
	lastClaimAt int64 // when a lease of any allowance was last claimed
}

// NewHolder returns the holder of a process that starts now. Its token buckets are empty, because the
// process may have used up the burst before a restart.
func NewHolder(cfg LeaseConfig) *Holder {
	return &Holder{cfg: cfg, proxies: cfg.MinProxies, buckets: make(map[string]*bucket)}
}

// SetAllowances sets the allowances of a configuration. Allowances that exist already keep their
// tokens and leases.
func (h *Holder) SetAllowances(now int64, list []Allowance) {
	old := h.buckets
	h.buckets = make(map[string]*bucket, len(list))
	for _, allowance := range list[:min(len(list), maxAllowances)] {
		b := old[allowance.Name]
		if b == nil {
			b = &bucket{refilledAt: now}
		} else if allowance.Rate < b.Rate { // the lease is a share of the former, higher rate
			b.leasedRate *= allowance.Rate / b.Rate
		}
		b.Allowance = allowance
		h.buckets[allowance.Name] = b
	}
}

// SetProxies sets the number of proxies, including this one.
func (h *Holder) SetProxies(n int) { h.proxies = max(n, h.cfg.MinProxies) }

// rateOf returns the current rate of an allowance in this proxy: its part of the unleased share plus
// its lease.
func (h *Holder) rateOf(now int64, b *bucket) float64 {
	rate := b.Rate * h.cfg.UnleasedShare / float64(h.proxies)
	if now <= b.leaseExpiresAt {
		rate += b.leasedRate
	}
	return rate
}

// maxTokens returns the capacity of the bucket: the share of the burst that corresponds to this
// proxy's share of the rate, and at least one request.
func (h *Holder) maxTokens(now int64, b *bucket) float64 {
	return max(b.Burst*h.rateOf(now, b)/b.Rate, 1)
}

// refill adds the tokens that accrued since the last refill.
func (h *Holder) refill(now int64, b *bucket) {
	from := b.refilledAt
	if b.refilledAt = now; now <= from {
		return
	}
	if from < b.leaseExpiresAt && b.leaseExpiresAt < now { // the lease expired in between
		b.tokens += b.leasedRate * float64(b.leaseExpiresAt-from) / 1e6
		b.tokens += b.Rate * h.cfg.UnleasedShare / float64(h.proxies) * float64(now-from) / 1e6
	} else {
		b.tokens += h.rateOf(now, b) * float64(now-from) / 1e6
	}
	b.tokens = min(b.tokens, h.maxTokens(now, b))
}

// Admit charges a request to an allowance and reports whether it is admitted. If not, retryAfter is
// the time in microseconds after which a request may be admitted. A request without a known
// allowance is admitted.
func (h *Holder) Admit(now int64, name string) (ok bool, retryAfter int64) {
	b := h.buckets[name]
	if b == nil {
		return true, 0
	}
	h.refill(now, b)
	b.requested++
	b.lastRequestAt = now
	if b.tokens >= 1 {
		b.tokens--
		b.admitted++
		b.counts.Admitted++
		return true, 0
	}
	b.counts.Rejected++
	return false, int64(math.Ceil((1-b.tokens)/h.rateOf(now, b)*1e6)) + 1
}

// Due reports whether a lease of any allowance is to be claimed now.
func (h *Holder) Due(now int64) bool {
	for _, b := range h.buckets {
		if h.due(now, b) {
			return true
		}
	}
	return false
}

// recentlyRequested reports whether the last request was received within the duration of a lease.
func (h *Holder) recentlyRequested(now int64, b *bucket) bool {
	return b.lastRequestAt != 0 && now-b.lastRequestAt <= h.cfg.Duration
}

// due reports whether a lease is to be claimed or renewed. An allowance that is requested for the
// first time is claimed early, but the number of such early calls is limited by maxEarlyClaims.
func (h *Holder) due(now int64, b *bucket) bool {
	switch {
	case !h.recentlyRequested(now, b):
		return false
	case b.claimedAt == 0:
		return h.lastClaimAt == 0 || now-h.lastClaimAt >= h.cfg.RenewInterval/maxEarlyClaims
	}
	return now-b.claimedAt >= h.cfg.RenewInterval
}

// maxEarlyClaims is the maximum number of calls for newly requested allowances within a renewal
// interval.
const maxEarlyClaims = 5

// TakeClaims returns the claims to send, for allowances with recent requests. If one lease is renewed,
// all of them are, so that many allowances need no more calls than one.
func (h *Holder) TakeClaims(now int64) (claims []Claim) {
	renewed := false
	for _, b := range h.buckets {
		renewed = renewed || b.claimedAt != 0 && h.due(now, b)
	}
	for name, b := range h.buckets {
		if !h.due(now, b) && !(renewed && h.recentlyRequested(now, b)) {
			continue
		}
		span := float64(max(now-b.claimedAt, h.cfg.RenewInterval/maxEarlyClaims)) / 1e6
		if b.claimedAt == 0 {
			span = float64(h.cfg.RenewInterval) / 1e6
		}
		if b.demand += (float64(b.requested)/span - b.demand) / 2; b.requested == 0 {
			b.demand = 0 // the caller now uses other proxies, which need the rate that is leased here
		}
		claim := Claim{Name: name, Demand: math.Round(b.demand*100) / 100, Admitted: float64(b.admitted)}
		if now <= b.leaseExpiresAt {
			claim.Current = b.leasedRate
		}
		claims = append(claims, claim)
		b.requested, b.admitted, b.claimedAt, h.lastClaimAt = 0, 0, now, now
	}
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Name, b.Name) })
	return claims
}

// HandleGrants applies the grants for claims that were sent at sentAt. A grant is ignored if its
// allowance has been claimed again since.
func (h *Holder) HandleGrants(now, sentAt int64, list []Grant) {
	for _, grant := range list {
		b := h.buckets[grant.Name]
		if b == nil || grant.Rate < 0 || math.IsNaN(grant.Rate) || sentAt < b.claimedAt {
			continue
		}
		h.refill(now, b)
		b.leasedRate, b.leaseExpiresAt = min(grant.Rate, b.Rate), sentAt+h.cfg.Duration
		b.tokens = min(b.tokens, h.maxTokens(now, b))
	}
}

// AllowanceStatus is the state of one allowance in one proxy.
type AllowanceStatus struct {
	Allowance
	Counts
	Rate  float64 // current rate in this proxy, in requests per second
	Level float64 // tokens in the bucket
	Lease int64   // remaining microseconds of the lease; 0: no lease
}

// Status returns the state of all allowances, ordered by name.
func (h *Holder) Status(now int64) (statuses []AllowanceStatus) {
	for _, b := range h.buckets {
		h.refill(now, b)
		statuses = append(statuses, AllowanceStatus{Allowance: b.Allowance, Counts: b.counts, Rate: h.rateOf(now, b), Level: b.tokens, Lease: max(b.leaseExpiresAt-now, 0)})
	}
	slices.SortFunc(statuses, func(a, b AllowanceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}
