// Package breaker decides whether a thing that failed may be used again: a
// circuit breaker in the sense of M. Nygard, Release It! (2007), with a memory
// for flapping. It is pure: no I/O, no clock, no goroutine. Times are
// microseconds on the caller's clock, which must not run backwards.
//
//	Closed --(a streak, or a share of a window, of failures)--> Open
//	Open   --(the pause is over)--> Trial: one call at a time
//	Trial  --(Trials in a row succeed)--> Closed;  --(one fails)--> Open
//
// Each opening doubles the pause of the one before, up to MostPause. The pause
// shrinks again by half for each Calm spent closed. So what fails every few
// seconds is let back in ever more seldom, and not at each of its good moments.
package breaker

import "fmt"

// State is what a breaker lets through.
type State int

// The states.
const (
	Closed   State = iota // all calls
	Open                  // none
	HalfOpen              // one at a time
)

func (s State) String() string { return [...]string{"closed", "open", "trial"}[s] }

// Config is when a breaker opens and how long it stays so. Spans are in
// microseconds.
type Config struct {
	MaxFailureStreak int     // so many failures in a row open it
	FailureRatio     float64 // so does this share of failures in the window,
	MinCalls         int     // of so many calls at least
	Window           int64
	MinBackoff       int64
	MaxBackoff       int64
	TrialSuccesses   int   // successes in a row that close it
	CalmPeriod       int64 // spent closed, halves the next pause
}

// Usual is for what is called many times a second.
var Default = Config{MaxFailureStreak: 5, FailureRatio: 0.2, MinCalls: 20, Window: 10e6, MinBackoff: 1e6, MaxBackoff: 60e6, TrialSuccesses: 5, CalmPeriod: 30e6}

const buckets = 10

// Breaker is one breaker. Its zero value is not ready for use: New makes one.
// All its fields can be printed.
type Breaker struct {
	Config
	State         State
	Reason        string // why it last left Closed
	Since         int64  // of the state
	Until         int64  // Open: when trials begin
	Backoff       int64  // the last one; 0: none yet
	FailureStreak int    // failures in a row
	SuccessStreak int    // Trial: successes in a row
	TrialInFlight bool   // Trial: a call is out
	OpenCount     int    // times

	calls, fails [buckets]int
	slot         int64 // the newest bucket's number
}

// New returns a closed breaker.
func New(c Config, now int64) *Breaker { return &Breaker{Config: c, Since: now} }

// Change is a change of state, for the log.
type Change struct {
	From, To State
	Reason   string
}

// Allow tells whether a call may be made now, and whether it is a trial. For
// each true answer there must be one Record or, if the call was not made, one
// Skip.
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

// Skip takes back an Allow whose call was not made.
func (b *Breaker) Skip(trial bool) {
	if trial {
		b.TrialInFlight = false
	}
}

// Record notes how a call ended and returns the change of state that it brought,
// if any. What was let through before the breaker opened and ends later changes
// nothing.
func (b *Breaker) Record(now int64, trial, failed bool, what string) (Change, bool) {
	if trial {
		b.TrialInFlight = false
		if b.State != HalfOpen {
			return Change{}, false
		}
		if failed {
			return b.open(now, "a trial failed: "+what), true
		}
		if b.SuccessStreak++; b.SuccessStreak < b.TrialSuccesses {
			return Change{}, false
		}
		b.State, b.Since, b.FailureStreak = Closed, now, 0
		b.calls, b.fails = [buckets]int{}, [buckets]int{}
		return Change{HalfOpen, Closed, fmt.Sprintf("%d trials in a row succeeded", b.SuccessStreak)}, true
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

// Counts are the calls and failures in the window.
func (b *Breaker) Counts() (calls, fails int) {
	for i := range b.calls {
		calls += b.calls[i]
		fails += b.fails[i]
	}
	return calls, fails
}

// open leaves Closed or Trial for a pause.
func (b *Breaker) open(now int64, reason string) Change {
	from := b.State
	pause := 2 * b.Backoff
	if from == Closed && b.CalmPeriod > 0 {
		for calm := now - b.Since; calm >= b.CalmPeriod && pause > 0; calm -= b.CalmPeriod {
			pause /= 2
		}
	}
	b.Backoff = min(max(pause, b.MinBackoff), b.MaxBackoff)
	b.State, b.Since, b.Until, b.Reason = Open, now, now+b.Backoff, reason
	b.FailureStreak, b.SuccessStreak, b.TrialInFlight = 0, 0, false
	b.OpenCount++
	b.calls, b.fails = [buckets]int{}, [buckets]int{}
	return Change{from, Open, reason}
}

// advance empties the buckets that have left the window and returns the newest.
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
