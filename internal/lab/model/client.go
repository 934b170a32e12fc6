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
	Name      string
	Index     int // tells its asks from other classes'
	Arrivals  Arrivals
	Parts     int
	Zipf      *Zipf
	Spread    bool          // parts have unequal weights
	Aim       time.Duration // within it an answer earns its full worth
	Patience  time.Duration // over all tries
	Impatient float64       // share of clients that leave before
	Leave     *Dist         // when they do
	Unsafe    bool
	Value     float64
	Need      float64
	Floor     float64
	Partial   float64 // an answer that is not whole earns this times its share over Need
	LateWorth float64
}

// Retry is what clients do after a refusal.
type Retry struct {
	Most   int           // tries beside the first
	Pause  time.Duration // before the next, where no advice was given or is heeded
	Spread float64       // the pause is stretched by up to this share, at random
	Heed   float64       // share of clients that wait as long as advised
	Mark   bool          // later tries are marked
	Failed bool          // classes without unsafe parts are asked again after failures too
	Grow   float64       // each pause is this times the one before
	Least  time.Duration // with less time left than this they do not ask again
}

// PartAsk is a part that is asked for.
type PartAsk struct {
	Shard  int
	Weight float64
}

// Ask is what one client wants: one or more tries.
type Ask struct {
	ID    string // names its work
	Class *Class
	Due   time.Duration
	Parts []PartAsk
	Heeds bool
	Tries int

	// How it ended: of the try that earned most.
	Ended   time.Duration
	Outcome Reply
	Earned  float64 // of Class.Value
	Over    bool

	leaveAt time.Duration
	pause   time.Duration
}

// Try is one query to a mixer.
type Try struct {
	Ask      *Ask
	ID       string
	N        int
	Repeat   bool // marked as a later try
	Mixer    int
	At       time.Duration
	Patience time.Duration

	over  bool
	leave Timer
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
	Whole      bool
	Share      float64
	RetryAfter time.Duration
}

// Clients are all clients of a run.
type Clients struct {
	Sched   Sched
	Classes []*Class
	Retry   Retry
	Seed    uint64
	Length  time.Duration      // of the load
	Pick    func(r uint64) int // a mixer that the front deals out; below 0: none is up
	Send    func(*Try)         // must not block; Reply ends it
	Leave   func(*Try)         // the client closes its connection; Reply may still come
	Over    func(*Ask)

	Open int // asks not over

	r *rand.Rand
	n []int
}

// Begin starts the load.
func (c *Clients) Begin() {
	c.r = Rand(c.Seed, "clients")
	c.n = make([]int, len(c.Classes))
	for i, class := range c.Classes {
		class.Index = i
		class.Arrivals.Begin(c.Seed, class.Name)
		c.arm(class)
	}
}

func (c *Clients) arm(class *Class) {
	at, ok := class.Arrivals.Next(c.Length)
	if !ok {
		return
	}
	c.Sched.After(at-c.Sched.Now(), func() {
		c.ask(class, at)
		c.arm(class)
	})
}

// ask makes an ask. What it is hangs on the seed and its own number within its
// class, not on what came before it.
func (c *Clients) ask(class *Class, due time.Duration) {
	c.n[class.Index]++
	a := &Ask{ID: strconv.Itoa(class.Index) + "q" + strconv.FormatInt(int64(c.n[class.Index]), 36), Class: class, Due: due}
	r := Rand(c.Seed, "ask", class.Name, a.ID)
	a.Heeds = r.Float64() < c.Retry.Heed
	shards := class.Zipf.Draw(r, class.Parts)
	sum := 0.0
	for _, s := range shards {
		w := 1.0
		if class.Spread {
			w = 0.5 + r.Float64()
		}
		sum += w
		a.Parts = append(a.Parts, PartAsk{s, w})
	}
	for i := range a.Parts {
		a.Parts[i].Weight /= sum
	}
	a.leaveAt = due + class.Patience
	if class.Leave != nil && r.Float64() < class.Impatient {
		a.leaveAt = min(a.leaveAt, due+class.Leave.Draw(r))
	}
	a.pause = c.Retry.Pause
	c.Open++
	c.try(a, r.Uint64())
}

func (c *Clients) try(a *Ask, luck uint64) {
	now := c.Sched.Now()
	left := a.Due + a.Class.Patience - now
	if a.leaveAt <= now || left <= 0 {
		c.over(a)
		return
	}
	t := &Try{Ask: a, N: a.Tries, ID: a.ID + "-" + strconv.Itoa(a.Tries), At: now, Patience: left, Mixer: c.Pick(luck)}
	t.Repeat = c.Retry.Mark && t.N > 0
	a.Tries++
	if t.Mixer < 0 {
		c.note(t, Reply{Kind: Lost})
		c.again(t, Reply{Kind: Refused})
		return
	}
	if a.leaveAt < a.Due+a.Class.Patience {
		t.leave = c.Sched.After(a.leaveAt-now, func() {
			if !t.over {
				c.Leave(t)
			}
		})
	}
	c.Send(t)
}

// Reply ends a try; only the first call for it counts.
func (c *Clients) Reply(t *Try, r Reply) {
	if t.over {
		return
	}
	t.over = true
	if t.leave != nil {
		t.leave.Stop()
	}
	c.note(t, r)
	switch {
	case r.Kind == Refused, r.Kind == Failed && c.Retry.Failed && !t.Ask.Class.Unsafe:
		c.again(t, r)
	default:
		c.over(t.Ask)
	}
}

// note keeps what earns most.
func (c *Clients) note(t *Try, r Reply) {
	a := t.Ask
	a.Ended = c.Sched.Now()
	earned := a.Class.Worth(r, a.Ended-a.Due)
	if t.N == 0 || earned >= a.Earned {
		a.Outcome, a.Earned = r, earned
	}
}

// Worth is what a reply earns after so long, in shares of the class's value.
func (c *Class) Worth(r Reply, after time.Duration) float64 {
	if r.Kind != Answered || after > c.Patience {
		return 0
	}
	w := 1.0
	if !r.Whole {
		if r.Share < c.Floor-1e-6 {
			return 0
		}
		w = min(c.Partial*r.Share/c.Need, 1)
	}
	if after > c.Aim {
		w *= c.LateWorth
	}
	return w
}

func (c *Clients) again(t *Try, r Reply) {
	a := t.Ask
	luck := Mix(c.Seed, "again", t.ID)
	pause := a.pause
	if a.Heeds && r.RetryAfter > 0 {
		pause = r.RetryAfter
	}
	pause += time.Duration(float64(pause) * c.Retry.Spread * unit(luck))
	if c.Retry.Grow > 0 {
		a.pause = time.Duration(float64(a.pause) * c.Retry.Grow)
	}
	left := a.Due + a.Class.Patience - c.Sched.Now() - pause
	if t.N >= c.Retry.Most || left < c.Retry.Least || left <= 0 {
		c.over(a)
		return
	}
	c.Sched.After(pause, func() { c.try(a, Mix(luck, "mixer")) })
}

func (c *Clients) over(a *Ask) {
	if !a.Over {
		a.Over = true
		c.Open--
		if c.Over != nil {
			c.Over(a)
		}
	}
}
