// Package event implements virtual time: a discrete-event loop on one goroutine. Events fire
// in order of time, and at the same time in the order in which they were scheduled, so that
// the same calls give the same run on any machine. The loop never reads the machine's clock
// and starts no goroutine. It always ends: it returns an error when time does not advance or
// when it has executed more events than allowed.
package event

import (
	"errors"
	"fmt"
	"time"
)

// The default bounds of a loop.
const (
	MaxPerInstant = 20_000_000     // events at one virtual instant
	MaxEvents     = 10_000_000_000 // events in total
)

// ErrStuck reports more events at one virtual instant than allowed: time does not advance.
var ErrStuck = errors.New("virtual time does not advance")

// ErrTooManyEvents reports more events in total than allowed.
var ErrTooManyEvents = errors.New("more events than allowed")

// Loop is one run of virtual time. It is not safe for concurrent use.
type Loop struct {
	MaxPerInstant, MaxEvents int64
	// Tick, if set, is called after every TickEvery events. It may report progress; an
	// error from it ends the run.
	Tick      func() error
	TickEvery int64

	now       time.Duration
	seq       uint64
	heap      []item
	executed  int64
	atInstant int64    // events executed at now
	free      []*Timer // for reuse by Post
}

// item is an element of the heap. It contains the keys of the order, so that a comparison
// follows no pointer.
type item struct {
	at  time.Duration
	seq uint64
	t   *Timer
}

// Timer is a scheduled event.
type Timer struct {
	fire     func()
	loop     *Loop
	index    int  // in the heap; negative: not in it
	retained bool // the caller has the Timer, so it is not reused
}

// Stop cancels a timer and reports whether it was still pending.
func (t *Timer) Stop() bool {
	if t == nil || t.index < 0 {
		return false
	}
	t.loop.remove(t.index)
	t.fire = nil
	return true
}

// Now returns the virtual time since the start of the loop.
func (l *Loop) Now() time.Duration { return l.now }

// Executed returns the number of events that have fired.
func (l *Loop) Executed() int64 { return l.executed }

// Pending returns the number of scheduled events.
func (l *Loop) Pending() int { return len(l.heap) }

// After schedules fire after d; a negative d counts as 0.
func (l *Loop) After(d time.Duration, fire func()) *Timer {
	return l.at(l.now+max(d, 0), fire, true)
}

// Post is After for an event that is never cancelled: its Timer is reused once it has fired.
func (l *Loop) Post(d time.Duration, fire func()) { l.at(l.now+max(d, 0), fire, false) }

func (l *Loop) at(when time.Duration, fire func(), retained bool) *Timer {
	var t *Timer
	if n := len(l.free); n > 0 {
		t, l.free = l.free[n-1], l.free[:n-1]
	} else {
		t = &Timer{loop: l}
	}
	t.fire, t.retained = fire, retained
	l.seq++
	l.heap = append(l.heap, item{when, l.seq, t})
	l.siftUp(len(l.heap) - 1)
	return t
}

// Run fires the events that are due by the given time and then advances the clock to it. It
// ends early with ErrStuck, ErrTooManyEvents or an error of Tick.
func (l *Loop) Run(until time.Duration) error {
	maxPerInstant, maxEvents := l.MaxPerInstant, l.MaxEvents
	if maxPerInstant <= 0 {
		maxPerInstant = MaxPerInstant
	}
	if maxEvents <= 0 {
		maxEvents = MaxEvents
	}
	tickEvery := l.TickEvery
	if tickEvery <= 0 {
		tickEvery = 1 << 16
	}
	for len(l.heap) > 0 && l.heap[0].at <= until {
		if at := l.heap[0].at; at > l.now {
			l.now, l.atInstant = at, 0
		}
		if l.atInstant++; l.atInstant > maxPerInstant {
			return fmt.Errorf("%w: %d events at %v", ErrStuck, maxPerInstant, l.now)
		}
		if l.executed++; l.executed > maxEvents {
			return fmt.Errorf("%w: %d by %v", ErrTooManyEvents, maxEvents, l.now)
		}
		t := l.heap[0].t
		l.remove(0)
		fire := t.fire
		t.fire = nil
		if !t.retained {
			l.free = append(l.free, t)
		}
		fire()
		if l.Tick != nil && l.executed%tickEvery == 0 {
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

// ---- A heap with four children per node: it is less deep than a binary heap, and the keys
// of siblings are adjacent in memory.

func (a item) less(b item) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (l *Loop) siftUp(i int) {
	h := l.heap
	x := h[i]
	for i > 0 {
		parent := (i - 1) / 4
		if !x.less(h[parent]) {
			break
		}
		h[i] = h[parent]
		h[i].t.index = i
		i = parent
	}
	h[i] = x
	x.t.index = i
}

func (l *Loop) siftDown(i int) {
	h := l.heap
	x := h[i]
	for {
		least := -1
		for c, end := 4*i+1, min(4*i+5, len(h)); c < end; c++ {
			if least < 0 || h[c].less(h[least]) {
				least = c
			}
		}
		if least < 0 || !h[least].less(x) {
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
	l.siftDown(i)
	if x.t.index == i {
		l.siftUp(i)
	}
}
