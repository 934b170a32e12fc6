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
	Closed State = iota // all calls
	Open                // none
	Trial               // one at a time
)

func (s State) String() string { return [...]string{"closed", "open", "trial"}[s] }

// Config is when a breaker opens and how long it stays so. Spans are in
// microseconds.
type Config struct {
	Streak     int     // so many failures in a row open it
	Share      float64 // so does this share of failures in the window,
	Least      int     // of so many calls at least
	Window     int64
	FirstPause int64
	MostPause  int64
	Trials     int   // successes in a row that close it
	Calm       int64 // spent closed, halves the next pause
}

// Usual is for what is called many times a second.
var Usual = Config{Streak: 5, Share: 0.2, Least: 20, Window: 10e6, FirstPause: 1e6, MostPause: 60e6, Trials: 5, Calm: 30e6}

const buckets = 10

// Breaker is one breaker. Its zero value is not ready for use: New makes one.
// All its fields can be printed.
type Breaker struct {
	Config
	State  State
	Reason string // why it last left Closed
	Since  int64  // of the state
	Until  int64  // Open: when trials begin
	Pause  int64  // the last one; 0: none yet
	Row    int    // failures in a row
	Good   int    // Trial: successes in a row
	Trying bool   // Trial: a call is out
	Opened int    // times

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
		b.State, b.Since, b.Good, b.Trying = Trial, now, 0, false
	}
	if b.Trying {
		return false, false
	}
	b.Trying = true
	return true, true
}

// Skip takes back an Allow whose call was not made.
func (b *Breaker) Skip(trial bool) {
	if trial {
		b.Trying = false
	}
}

// Record notes how a call ended and returns the change of state that it brought,
// if any. What was let through before the breaker opened and ends later changes
// nothing.
func (b *Breaker) Record(now int64, trial, failed bool, what string) (Change, bool) {
	if trial {
		b.Trying = false
		if b.State != Trial {
			return Change{}, false
		}
		if failed {
			return b.open(now, "a trial failed: "+what), true
		}
		if b.Good++; b.Good < b.Trials {
			return Change{}, false
		}
		b.State, b.Since, b.Row = Closed, now, 0
		b.calls, b.fails = [buckets]int{}, [buckets]int{}
		return Change{Trial, Closed, fmt.Sprintf("%d trials in a row succeeded", b.Good)}, true
	}
	if b.State != Closed {
		return Change{}, false
	}
	i := b.advance(now)
	b.calls[i]++
	if !failed {
		b.Row = 0
		return Change{}, false
	}
	b.fails[i]++
	b.Row++
	calls, fails := b.Counts()
	switch {
	case b.Row >= b.Streak:
		return b.open(now, fmt.Sprintf("%d failures in a row: %s", b.Row, what)), true
	case calls >= b.Least && float64(fails) >= b.Share*float64(calls):
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
	pause := 2 * b.Pause
	if from == Closed && b.Calm > 0 {
		for calm := now - b.Since; calm >= b.Calm && pause > 0; calm -= b.Calm {
			pause /= 2
		}
	}
	b.Pause = min(max(pause, b.FirstPause), b.MostPause)
	b.State, b.Since, b.Until, b.Reason = Open, now, now+b.Pause, reason
	b.Row, b.Good, b.Trying = 0, 0, false
	b.Opened++
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
