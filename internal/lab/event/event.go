// Package event is virtual time: a discrete-event loop on one goroutine. It owns
// the order of what happens: by time, and at one time in the order in which it was
// asked for, so that the same calls give the same run on any machine. It must never
// read the machine's clock for an order, start a goroutine, or go on for ever: a
// loop that does not advance, or has more to do than it was allowed, says so.
package event

import (
	"errors"
	"fmt"
	"time"
)

// The bounds of a loop where its maker gives none.
const (
	MaxPerInstant = 20_000_000     // events at one virtual instant
	MaxEvents     = 10_000_000_000 // events in all
)

// ErrStuck is a loop that did so much at one instant that it is taken to stand still.
var ErrStuck = errors.New("virtual time does not advance")

// ErrEndless is a loop that did more than it was allowed in all.
var ErrTooManyEvents = errors.New("more events than allowed")

// Loop is one run of virtual time. It is not safe for concurrent use.
type Loop struct {
	MaxPerInstant, MaxEvents int64
	// Tick, if set, is called every TickEvery events, with the machine's work in
	// between: it may tell of the progress, and ends the run by an error.
	Tick      func() error
	TickEvery int64

	now    time.Duration
	seq    uint64
	heap   []item
	done   int64
	atOnce int64
	free   []*Timer
}

// item is what stands in the heap: what orders it lies in it, so that a comparison
// follows no pointer.
type item struct {
	at  time.Duration
	seq uint64
	t   *Timer
}

// Timer is something that will happen.
type Timer struct {
	fire  func()
	loop  *Loop
	index int // in the heap; below 0: not in it
	kept  bool
}

// Stop takes a timer back and tells whether it was still to fire.
func (t *Timer) Stop() bool {
	if t == nil || t.index < 0 {
		return false
	}
	t.loop.remove(t.index)
	t.fire = nil
	return true
}

// Now is the time since the loop's begin.
func (l *Loop) Now() time.Duration { return l.now }

// Done counts the events that have happened.
func (l *Loop) Executed() int64 { return l.done }

// Pending counts what is still to happen.
func (l *Loop) Pending() int { return len(l.heap) }

// After has fire called once d has passed; d below 0 is 0.
func (l *Loop) After(d time.Duration, fire func()) *Timer {
	return l.at(l.now+max(d, 0), fire, true)
}

// Post is After for what is never taken back: it makes no Timer that outlives it.
func (l *Loop) Post(d time.Duration, fire func()) { l.at(l.now+max(d, 0), fire, false) }

func (l *Loop) at(when time.Duration, fire func(), kept bool) *Timer {
	var t *Timer
	if n := len(l.free); n > 0 {
		t, l.free = l.free[n-1], l.free[:n-1]
	} else {
		t = &Timer{loop: l}
	}
	t.fire, t.kept = fire, kept
	l.seq++
	l.heap = append(l.heap, item{when, l.seq, t})
	l.up(len(l.heap) - 1)
	return t
}

// Run lets happen what is due until the given time, which it is then. It ends early
// when nothing is left.
func (l *Loop) Run(until time.Duration) error {
	atOnce, most := l.MaxPerInstant, l.MaxEvents
	if atOnce <= 0 {
		atOnce = MaxPerInstant
	}
	if most <= 0 {
		most = MaxEvents
	}
	every := l.TickEvery
	if every <= 0 {
		every = 1 << 16
	}
	for len(l.heap) > 0 && l.heap[0].at <= until {
		if at := l.heap[0].at; at > l.now {
			l.now, l.atOnce = at, 0
		}
		if l.atOnce++; l.atOnce > atOnce {
			return fmt.Errorf("%w: %d events at %v", ErrStuck, atOnce, l.now)
		}
		if l.done++; l.done > most {
			return fmt.Errorf("%w: %d by %v", ErrTooManyEvents, most, l.now)
		}
		t := l.heap[0].t
		l.remove(0)
		fire := t.fire
		t.fire = nil
		if !t.kept {
			l.free = append(l.free, t)
		}
		fire()
		if l.Tick != nil && l.done%every == 0 {
			if err := l.Tick(); err != nil {
				return err
			}
		}
	}
	if len(l.heap) > 0 || l.now < until {
		l.now = max(l.now, until)
	}
	return nil
}

// ---- A heap of four children a node: less deep than one of two, and what orders
// it lies side by side.

func (a item) before(b item) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (l *Loop) up(i int) {
	h := l.heap
	x := h[i]
	for i > 0 {
		parent := (i - 1) / 4
		if !x.before(h[parent]) {
			break
		}
		h[i] = h[parent]
		h[i].t.index = i
		i = parent
	}
	h[i] = x
	x.t.index = i
}

func (l *Loop) down(i int) {
	h := l.heap
	x := h[i]
	for {
		least := -1
		for c, end := 4*i+1, min(4*i+5, len(h)); c < end; c++ {
			if least < 0 || h[c].before(h[least]) {
				least = c
			}
		}
		if least < 0 || !h[least].before(x) {
			break
		}
		h[i] = h[least]
		h[i].t.index = i
		i = least
	}
	h[i] = x
	x.t.index = i
}

func (l *Loop) remove(i int) {
	h := l.heap
	last := len(h) - 1
	h[i].t.index = -1
	x := h[last]
	h[last] = item{}
	l.heap = h[:last]
	if i == last {
		return
	}
	h[i] = x
	x.t.index = i
	l.down(i)
	if x.t.index == i {
		l.up(i)
	}
}
