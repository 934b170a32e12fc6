package model

// Clients: what they ask, how long they wait, and what they do when they are told
// no. The same code asks on both drives; only the sending is the drive's.

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Class is what clients ask for.
type Class struct {
	Name           string
	Index          int // tells its asks from other classes'
	Arrivals       Arrivals
	Parts          int
	MaxParts       int // each query has between Parts and so many; 0: Parts
	Zipf           *Zipf
	Contiguous     bool          // its shards are neighbours, the first one drawn
	Shards         int           // of the fleet, with Row
	Keys           *Zipf         // of what queries concern; nil: they have no key. One key always wants the same shards.
	UnequalWeights bool          // parts have unequal weights
	LatencyTarget  time.Duration // within it an answer earns its full worth
	Timeout        time.Duration // over all tries
	LeaveShare     float64       // share of clients that leave before
	LeaveAfter     *Dist         // when they do
	Unsafe         bool
	Value          float64
	RequiredShare  float64
	MinShare       float64
	PartialValue   float64 // an answer that is not whole earns this times its share over Need
	LateValue      float64
}

// Tenant is one of those who share the mixers.
type Tenant struct {
	Name   string
	Usage  float64 // its part of the load, beside the others'
	Quota  float64 // queries a second within its share; 0: all are
	Bursts []Burst // of its own

	tokens   float64
	filledAt time.Duration
	filled   bool
}

// now is its part of the load at a time.
func (t *Tenant) usageAt(at time.Duration) float64 {
	u := t.Usage
	for _, b := range t.Bursts {
		if at >= b.At && at < b.At+b.For {
			u *= b.Factor
		}
	}
	return u
}

// saved is how many seconds of its quota a tenant may have saved up.
const maxSavedSeconds = 1.0

// within takes a query off what a tenant has left of its share, if that is enough.
func (t *Tenant) takeFromQuota(at time.Duration) bool {
	if t.Quota <= 0 {
		return true
	}
	limit := max(1, t.Quota*maxSavedSeconds)
	if !t.filled { // nothing is used up yet
		t.tokens, t.filled = limit, true
	}
	t.tokens = min(t.tokens+(at-t.filledAt).Seconds()*t.Quota, limit)
	if t.filledAt = at; t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Retry is what clients do after a refusal.
type Retry struct {
	MaxRetries    int           // tries beside the first
	Backoff       time.Duration // before the next, where no advice was given or is heeded
	Jitter        float64       // the pause is stretched by up to this share, at random
	AdviceShare   float64       // share of clients that wait as long as advised
	MarkRetries   bool          // later tries are marked
	AfterFailure  bool          // classes without unsafe parts are asked again after failures too
	BackoffFactor float64       // each pause is this times the one before
	MinTimeLeft   time.Duration // with less time left than this they do not ask again
}

// PartAsk is a part that is asked for.
type PartRequest struct {
	Shard  int
	Weight float64
}

// Ask is what one client wants: one or more tries.
type Request struct {
	ID            string // names its work
	Class         *Class
	Due           time.Duration
	Parts         []PartRequest
	FollowsAdvice bool
	Attempts      int

	Key       string
	Tenant    string
	OverQuota bool    // its tenant asks for more than its share
	Value     float64 // of a whole answer in time

	// How it ended: of the try that earned most.
	Ended    time.Duration
	Outcome  Reply
	Earned   float64 // of Value
	Finished bool

	leaveAt time.Duration
	backoff time.Duration
}

// Try is one query to a mixer.
type Attempt struct {
	Request *Request
	ID      string
	N       int
	IsRetry bool // marked as a later try
	Proxy   int
	At      time.Duration
	Timeout time.Duration

	finished   bool
	leaveTimer Timer
}

// Kind is how a try ended.
type Kind int

// The kinds.
const (
	Answered Kind = iota
	Refused
	Failed
	Lost
	Left
)

// Kinds are their names.
var Kinds = []string{"answered", "refused", "failed", "lost", "left"}

func (k Kind) String() string { return Kinds[k] }

// Reply is what came of a try.
type Reply struct {
	Kind       Kind
	Complete   bool
	Share      float64
	RetryAfter time.Duration
}

// Clients are all clients of a run.
type Clients struct {
	Sched       Sched
	Classes     []*Class
	Retry       Retry
	Seed        uint64
	Length      time.Duration      // of the load
	SelectProxy func(r uint64) int // a mixer that the front deals out; below 0: none is up
	Send        func(*Attempt)     // must not block; Reply ends it
	Disconnect  func(*Attempt)     // the client closes its connection; Reply may still come
	OnFinish    func(*Request)

	Tenants        []*Tenant // in turn by chance; none: queries have no tenant
	OverQuotaValue float64   // of what a query beyond its tenant's share is worth

	InFlight int // asks not over

	rng    *rand.Rand
	counts []int
}

// Begin starts the load.
func (c *Clients) Begin() {
	c.rng = Rand(c.Seed, "clients")
	c.counts = make([]int, len(c.Classes))
	for i, class := range c.Classes {
		class.Index = i
		class.Arrivals.Begin(c.Seed, class.Name)
		c.scheduleNext(class)
	}
}

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

// ask makes an ask. What it is hangs on the seed and its own number within its
// class, not on what came before it.
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

// tenant draws who asks.
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

// shards draws what an ask needs. What has the same key in one class needs the same.
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

// Reply ends a try; only the first call for it counts.
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

// note keeps what earns most.
func (c *Clients) recordBest(t *Attempt, r Reply) {
	a := t.Request
	a.Ended = c.Sched.Now()
	earned := a.Class.ValueShare(r, a.Ended-a.Due)
	if t.N == 0 || earned >= a.Earned {
		a.Outcome, a.Earned = r, earned
	}
}

// Worth is what a reply earns after so long, in shares of the class's value.
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

func (c *Clients) finish(a *Request) {
	if !a.Finished {
		a.Finished = true
		c.InFlight--
		if c.OnFinish != nil {
			c.OnFinish(a)
		}
	}
}
