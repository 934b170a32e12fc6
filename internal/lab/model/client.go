package model

// This file models clients: what they request, how long they wait, and how they retry after a
// rejection. Both drivers use it; only sending a query differs between them.

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Class is a class of requests.
type Class struct {
	Name           string
	Index          int // index in Clients.Classes; part of each request ID
	Arrivals       Arrivals
	Parts          int
	MaxParts       int           // each query has between Parts and MaxParts parts; 0: exactly Parts
	Zipf           *Zipf         // popularity of the shards
	Contiguous     bool          // the shards of a query are consecutive, starting at one that is drawn
	Shards         int           // number of shards in the fleet; used with Contiguous
	Keys           *Zipf         // popularity of the keys that queries are about; nil: queries have no key. Within a class a key always needs the same shards.
	UnequalWeights bool          // parts have unequal weights
	LatencyTarget  time.Duration // an answer within this time earns its full value
	Timeout        time.Duration // over all attempts of a request
	LeaveShare     float64       // share of clients that disconnect before the timeout
	LeaveAfter     *Dist         // when those clients disconnect
	Unsafe         bool
	Value          float64
	RequiredShare  float64
	MinShare       float64
	PartialValue   float64 // a partial answer earns this times its share divided by RequiredShare
	LateValue      float64
}

// Tenant is one of the customers that share the proxies.
type Tenant struct {
	Name   string
	Usage  float64 // its weight in the load, relative to the other tenants
	Quota  float64 // queries per second within its quota; 0: unlimited
	Bursts []Burst // bursts of this tenant alone

	tokens   float64
	filledAt time.Duration
	filled   bool
}

// usageAt returns the tenant's weight in the load at a time.
func (t *Tenant) usageAt(at time.Duration) float64 {
	u := t.Usage
	for _, b := range t.Bursts {
		if at >= b.At && at < b.At+b.For {
			u *= b.Factor
		}
	}
	return u
}

// maxSavedSeconds is the size of a tenant's token bucket, in seconds of its quota.
const maxSavedSeconds = 1.0

// takeFromQuota takes one query from the tenant's token bucket; it returns false if less than
// one token is left.
func (t *Tenant) takeFromQuota(at time.Duration) bool {
	if t.Quota <= 0 {
		return true
	}
	limit := max(1, t.Quota*maxSavedSeconds)
	if !t.filled { // the bucket starts full
		t.tokens, t.filled = limit, true
	}
	t.tokens = min(t.tokens+(at-t.filledAt).Seconds()*t.Quota, limit)
	if t.filledAt = at; t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Retry is how clients retry after a rejection.
type Retry struct {
	MaxRetries    int           // in addition to the first attempt
	Backoff       time.Duration // before the next attempt, if no Retry-After was given or the client ignores it
	Jitter        float64       // a backoff is extended by up to this share, at random
	AdviceShare   float64       // share of clients that wait as long as Retry-After says
	MarkRetries   bool          // retries are marked as such
	AfterFailure  bool          // classes without unsafe parts are retried after failures too
	BackoffFactor float64       // factor from one backoff to the next
	MinTimeLeft   time.Duration // a client with less time left than this does not retry
}

// PartRequest is one part of a request.
type PartRequest struct {
	Shard  int
	Weight float64
}

// Request is what one client wants; it takes one or more attempts.
type Request struct {
	ID            string // the work of its parts is drawn from this name
	Class         *Class
	Due           time.Duration
	Parts         []PartRequest
	FollowsAdvice bool
	Attempts      int

	Key       string
	Tenant    string
	OverQuota bool    // the tenant has exceeded its quota
	Value     float64 // of a complete answer within the latency target

	// The result of the attempt that earned the most.
	Ended    time.Duration
	Outcome  Reply
	Earned   float64 // as a share of Value
	Finished bool

	leaveAt time.Duration
	backoff time.Duration
}

// Attempt is one query sent to a proxy for a request.
type Attempt struct {
	Request *Request
	ID      string
	N       int
	IsRetry bool // marked as a retry
	Proxy   int
	At      time.Duration
	Timeout time.Duration

	finished   bool
	leaveTimer Timer
}

// Kind is how an attempt ended.
type Kind int

// The kinds of ending.
const (
	Answered Kind = iota
	Refused
	Failed
	Lost
	Left
)

// Kinds holds the names of the kinds.
var Kinds = []string{"answered", "refused", "failed", "lost", "left"}

func (k Kind) String() string { return Kinds[k] }

// Reply is the result of an attempt.
type Reply struct {
	Kind       Kind
	Complete   bool
	Share      float64
	RetryAfter time.Duration
}

// Clients models all clients of a run.
type Clients struct {
	Sched       Sched
	Classes     []*Class
	Retry       Retry
	Seed        uint64
	Length      time.Duration      // how long load is generated
	SelectProxy func(r uint64) int // a proxy selected by the load balancer; below 0: none is available
	Send        func(*Attempt)     // sends an attempt; must not block. Reply ends the attempt.
	Disconnect  func(*Attempt)     // the client closes its connection; Reply may still be called
	OnFinish    func(*Request)

	Tenants        []*Tenant // selected at random by usage; empty: queries have no tenant
	OverQuotaValue float64   // value of a query above its tenant's quota, as a share of its normal value

	InFlight int // unfinished requests

	rng    *rand.Rand
	counts []int
}

// Begin starts to generate load.
func (c *Clients) Begin() {
	c.rng = Rand(c.Seed, "clients")
	c.counts = make([]int, len(c.Classes))
	for i, class := range c.Classes {
		class.Index = i
		class.Arrivals.Begin(c.Seed, class.Name)
		c.scheduleNext(class)
	}
}

// scheduleNext schedules the next arrival of a class.
func (c *Clients) scheduleNext(class *Class) {
	at, ok := class.Arrivals.Next(c.Length)
	if !ok {
		return
	}
	c.Sched.After(at-c.Sched.Now(), func() {
		c.newRequest(class, at)
		c.scheduleNext(class)
	})
}

// newRequest creates a request and sends its first attempt. Its properties depend only on the
// seed and on its number within the class, not on earlier requests.
func (c *Clients) newRequest(class *Class, due time.Duration) {
	c.counts[class.Index]++
	a := &Request{ID: strconv.Itoa(class.Index) + "q" + strconv.FormatInt(int64(c.counts[class.Index]), 36), Class: class, Due: due}
	r := Rand(c.Seed, "ask", class.Name, a.ID)
	a.FollowsAdvice = r.Float64() < c.Retry.AdviceShare
	a.Value = class.Value
	if len(c.Tenants) > 0 {
		c.assignTenant(a, r)
	}
	shards := c.selectShards(a, r)
	sum := 0.0
	for _, s := range shards {
		w := 1.0
		if class.UnequalWeights {
			w = 0.5 + r.Float64()
		}
		sum += w
		a.Parts = append(a.Parts, PartRequest{s, w})
	}
	for i := range a.Parts {
		a.Parts[i].Weight /= sum
	}
	a.leaveAt = due + class.Timeout
	if class.LeaveAfter != nil && r.Float64() < class.LeaveShare {
		a.leaveAt = min(a.leaveAt, due+class.LeaveAfter.Draw(r))
	}
	a.backoff = c.Retry.Backoff
	c.InFlight++
	c.attempt(a, r.Uint64())
}

// assignTenant selects the tenant of a request at random, weighted by usage.
func (c *Clients) assignTenant(a *Request, r *rand.Rand) {
	total := 0.0
	for _, t := range c.Tenants {
		total += t.usageAt(a.Due)
	}
	draw := r.Float64() * total
	for i, t := range c.Tenants {
		if draw -= t.usageAt(a.Due); draw < 0 || i == len(c.Tenants)-1 {
			if a.Tenant = t.Name; !t.takeFromQuota(a.Due) {
				a.OverQuota = true
				a.Value *= c.OverQuotaValue
			}
			return
		}
	}
}

// selectShards selects the shards of a request. Requests with the same key in one class need
// the same shards.
func (c *Clients) selectShards(a *Request, r *rand.Rand) []int {
	class := a.Class
	if class.Keys != nil {
		k := strconv.Itoa(class.Keys.Draw(r, 1)[0])
		a.Key = strconv.FormatUint(Mix(c.Seed, "key", k)|1<<60, 16)
		r = Rand(c.Seed, "shards", class.Name, k)
	}
	parts := class.Parts
	if class.MaxParts > parts {
		parts += r.IntN(class.MaxParts - parts + 1)
	}
	if !class.Contiguous {
		return class.Zipf.Draw(r, parts)
	}
	out := make([]int, min(parts, class.Shards))
	first := class.Zipf.Draw(r, 1)[0]
	for i := range out {
		out[i] = (first + i) % class.Shards
	}
	return out
}

// attempt sends a request to a proxy, or finishes the request if its time is over. hash selects
// the proxy.
func (c *Clients) attempt(a *Request, hash uint64) {
	now := c.Sched.Now()
	timeLeft := a.Due + a.Class.Timeout - now
	if a.leaveAt <= now || timeLeft <= 0 {
		c.finish(a)
		return
	}
	t := &Attempt{Request: a, N: a.Attempts, ID: a.ID + "-" + strconv.Itoa(a.Attempts), At: now, Timeout: timeLeft, Proxy: c.SelectProxy(hash)}
	t.IsRetry = c.Retry.MarkRetries && t.N > 0
	a.Attempts++
	if t.Proxy < 0 {
		c.recordBest(t, Reply{Kind: Lost})
		c.retryOrFinish(t, Reply{Kind: Refused})
		return
	}
	if a.leaveAt < a.Due+a.Class.Timeout {
		t.leaveTimer = c.Sched.After(a.leaveAt-now, func() {
			if !t.finished {
				c.Disconnect(t)
			}
		})
	}
	c.Send(t)
}

// Reply ends an attempt; later calls for the same attempt are ignored.
func (c *Clients) Reply(t *Attempt, r Reply) {
	if t.finished {
		return
	}
	t.finished = true
	if t.leaveTimer != nil {
		t.leaveTimer.Stop()
	}
	c.recordBest(t, r)
	switch {
	case r.Kind == Refused, r.Kind == Failed && c.Retry.AfterFailure && !t.Request.Class.Unsafe:
		c.retryOrFinish(t, r)
	default:
		c.finish(t.Request)
	}
}

// recordBest keeps the reply that earns the most.
func (c *Clients) recordBest(t *Attempt, r Reply) {
	a := t.Request
	a.Ended = c.Sched.Now()
	earned := a.Class.ValueShare(r, a.Ended-a.Due)
	if t.N == 0 || earned >= a.Earned {
		a.Outcome, a.Earned = r, earned
	}
}

// ValueShare returns what a reply earns after a given time, as a share of the class's value.
func (c *Class) ValueShare(r Reply, after time.Duration) float64 {
	if r.Kind != Answered || after > c.Timeout {
		return 0
	}
	w := 1.0
	if !r.Complete {
		if r.Share < c.MinShare-1e-6 {
			return 0
		}
		w = min(c.PartialValue*r.Share/c.RequiredShare, 1)
	}
	if after > c.LatencyTarget {
		w *= c.LateValue
	}
	return w
}

// retryOrFinish schedules a retry of a request, or finishes the request if it has no retries or
// too little time left.
func (c *Clients) retryOrFinish(t *Attempt, r Reply) {
	a := t.Request
	hash := Mix(c.Seed, "again", t.ID)
	backoff := a.backoff
	if a.FollowsAdvice && r.RetryAfter > 0 {
		backoff = r.RetryAfter
	}
	backoff += time.Duration(float64(backoff) * c.Retry.Jitter * unit(hash))
	if c.Retry.BackoffFactor > 0 {
		a.backoff = time.Duration(float64(a.backoff) * c.Retry.BackoffFactor)
	}
	timeLeft := a.Due + a.Class.Timeout - c.Sched.Now() - backoff
	if t.N >= c.Retry.MaxRetries || timeLeft < c.Retry.MinTimeLeft || timeLeft <= 0 {
		c.finish(a)
		return
	}
	c.Sched.After(backoff, func() { c.attempt(a, Mix(hash, "mixer")) })
}

// finish ends a request.
func (c *Clients) finish(a *Request) {
	if !a.Finished {
		a.Finished = true
		c.InFlight--
		if c.OnFinish != nil {
			c.OnFinish(a)
		}
	}
}
