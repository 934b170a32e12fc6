// Package breaker is a circuit breaker (M. Nygard, Release It!, 2007) that remembers
// flapping: it decides whether a dependency that failed may be called again. It is
// pure: no I/O, no clock, no goroutine. Times are microseconds on the caller's clock,
// which must not run backwards.
//
//	Closed   --(MaxFailureStreak, or FailureRatio in the window)--> Open
//	Open     --(the backoff is over)--> HalfOpen: one call at a time
//	HalfOpen --(TrialSuccesses in a row)--> Closed;  --(one failure)--> Open
//
// Each opening doubles the previous backoff, up to MaxBackoff; each CalmPeriod spent
// closed halves it. A dependency that fails every few seconds is therefore tried less
// and less often, and not whenever it happens to work.
package breaker

import "fmt"

// State says which calls a breaker allows.
type State int

// The states.
const (
	Closed   State = iota // all calls
	Open                  // no calls
	HalfOpen              // one trial call at a time
)

func (s State) String() string { return [...]string{"closed", "open", "trial"}[s] }

// Config says when a breaker opens and how long it stays open. Times are in
// microseconds.
type Config struct {
	MaxFailureStreak int     // this many consecutive failures open it
	FailureRatio     float64 // so does this ratio of failures in the window,
	MinCalls         int     // if the window has at least this many calls
	Window           int64
	MinBackoff       int64
	MaxBackoff       int64
	TrialSuccesses   int   // consecutive successful trials that close it
	CalmPeriod       int64 // time spent closed that halves the next backoff
}

// Default suits a dependency that is called many times a second.
var Default = Config{MaxFailureStreak: 5, FailureRatio: 0.2, MinCalls: 20, Window: 10e6, MinBackoff: 1e6, MaxBackoff: 60e6, TrialSuccesses: 5, CalmPeriod: 30e6}

const buckets = 10

// Breaker is a circuit breaker. Use New; the zero value is not usable. All exported
// fields may be printed.
type Breaker struct {
	Config
	State         State
	Reason        string // why it last left Closed
	Since         int64  // when it entered State
	Until         int64  // Open: when trials start
	Backoff       int64  // the last backoff; 0: none yet
	FailureStreak int    // consecutive failures
	SuccessStreak int    // HalfOpen: consecutive successful trials
	TrialInFlight bool   // HalfOpen: a trial has not ended yet
	OpenCount     int    // how often it has opened

	calls, fails [buckets]int
	slot         int64 // number of the newest bucket
}

// New returns a closed breaker.
func New(c Config, now int64) *Breaker { return &Breaker{Config: c, Since: now} }

// Change is a change of state, with its reason for the log.
type Change struct {
	From, To State
	Reason   string
}

// Allow reports whether a call may be made now, and whether it is a trial. Each allowed
// call must be followed by one Record or, if the call was not made, by one Skip.
func (b *Breaker) Allow(now int64) (ok, trial bool) {
	switch b.State {
	case Closed:
		return true, false
	case Open:
		if now < b.Until {
			return false, false
		}
		b.State, b.Since, b.SuccessStreak, b.TrialInFlight = HalfOpen, now, 0, false
	}
	if b.TrialInFlight {
		return false, false
	}
	b.TrialInFlight = true
	return true, true
}

// Skip revokes an Allow whose call was not made.
func (b *Breaker) Skip(trial bool) {
	if trial {
		b.TrialInFlight = false
	}
}

// Record records the result of a call. It returns the change of state that it caused
// and true if there is one. what describes a failure. Calls that were allowed before
// the breaker opened and end later have no effect.
func (b *Breaker) Record(now int64, trial, failed bool, what string) (Change, bool) {
	if trial {
		b.TrialInFlight = false
		if b.State != HalfOpen {
			return Change{}, false
		}
		if failed {
			return b.open(now, "trial failed: "+what), true
		}
		if b.SuccessStreak++; b.SuccessStreak < b.TrialSuccesses {
			return Change{}, false
		}
		b.State, b.Since, b.FailureStreak = Closed, now, 0
		b.calls, b.fails = [buckets]int{}, [buckets]int{}
		return Change{HalfOpen, Closed, fmt.Sprintf("%d consecutive trials succeeded", b.SuccessStreak)}, true
	}
	if b.State != Closed {
		return Change{}, false
	}
	i := b.advance(now)
	b.calls[i]++
	if !failed {
		b.FailureStreak = 0
		return Change{}, false
	}
	b.fails[i]++
	b.FailureStreak++
	calls, fails := b.Counts()
	switch {
	case b.FailureStreak >= b.MaxFailureStreak:
		return b.open(now, fmt.Sprintf("%d failures in a row: %s", b.FailureStreak, what)), true
	case calls >= b.MinCalls && float64(fails) >= b.FailureRatio*float64(calls):
		return b.open(now, fmt.Sprintf("%d of %d calls failed: %s", fails, calls, what)), true
	}
	return Change{}, false
}

// Counts returns the calls and the failures in the window.
func (b *Breaker) Counts() (calls, fails int) {
	for i := range b.calls {
		calls += b.calls[i]
		fails += b.fails[i]
	}
	return calls, fails
}

// open changes from Closed or HalfOpen to Open.
func (b *Breaker) open(now int64, reason string) Change {
	from := b.State
	backoff := 2 * b.Backoff
	if from == Closed && b.CalmPeriod > 0 {
		for calm := now - b.Since; calm >= b.CalmPeriod && backoff > 0; calm -= b.CalmPeriod {
			backoff /= 2
		}
	}
	b.Backoff = min(max(backoff, b.MinBackoff), b.MaxBackoff)
	b.State, b.Since, b.Until, b.Reason = Open, now, now+b.Backoff, reason
	b.FailureStreak, b.SuccessStreak, b.TrialInFlight = 0, 0, false
	b.OpenCount++
	b.calls, b.fails = [buckets]int{}, [buckets]int{}
	return Change{from, Open, reason}
}

// advance clears the buckets that have left the window and returns the newest bucket.
func (b *Breaker) advance(now int64) int {
	slot := now / max(b.Window/buckets, 1)
	if slot-b.slot >= buckets {
		b.calls, b.fails = [buckets]int{}, [buckets]int{}
	} else {
		for s := b.slot + 1; s <= slot; s++ {
			b.calls[s%buckets], b.fails[s%buckets] = 0, 0
		}
	}
	b.slot = slot
	return int(slot % buckets)
}
