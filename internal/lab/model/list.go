package model

// This file models the server list of a discovery service: delayed, in order, and sometimes
// unresponsive or wrong.

import "time"

// Status is a server's status in the list.
type Status int

// The statuses.
const (
	Serving Status = iota
	Draining
	Deleted
	Unhealthy // its health checks are critical
)

// Entry is the list entry of one server.
type Entry struct {
	Server    int
	Status    Status
	Since     time.Duration // when the server last started; below 0: before the run
	CellShift int           // added to its cell, for ListWrongCell
}

// List models a discovery service. It knows which processes run, drain or have ended; the end
// of a process is noticed after DetectDelay.
type List struct {
	Name          string
	KeepsEnded    bool // a process that has ended stays listed, as unhealthy
	ReportsDrains bool // a drain fault without a source is reported by this list too
	Sched         Sched
	Lag           time.Duration // from a change to its publication
	Jitter        time.Duration // mean of an exponential delay added to Lag
	DetectDelay   time.Duration
	Publish       func([]Entry)
	OnFault       func(c Change) // faults of the whole list that its stand-in has to implement; nil: none
	BufferSilent  bool           // pushed lists: changes are buffered while the list is silent, also if OnFault implements the fault
	Exponential   func() float64 // exponentially distributed, mean 1

	entries     []Entry // current entries, by server
	omitted     map[int]int
	wrongCell   map[int]int
	draining    map[int]int
	ended       map[int]bool
	extraLag    time.Duration
	silent      int
	buffered    []Entry // changes made while the list is silent
	lastPublish time.Duration
}

// Begin initializes a list of servers that have all been serving since before the run.
func (l *List) Begin(servers int) {
	l.omitted, l.draining, l.ended, l.wrongCell = make(map[int]int), make(map[int]int), make(map[int]bool), make(map[int]int)
	for i := range servers {
		l.entries = append(l.entries, Entry{Server: i, Since: -1})
	}
}

// Entries returns the current entries.
func (l *List) Entries() []Entry { return l.entries }

// Down records that a process has ended.
func (l *List) Down(server int) {
	l.Sched.After(l.DetectDelay, func() {
		if l.ended[server] {
			l.updateEntry(server)
		}
	})
	l.ended[server] = true
}

// Up records that a process has started.
func (l *List) Up(server int) {
	delete(l.ended, server)
	l.entries[server].Since = l.Sched.Now()
	l.updateEntry(server)
}

// Apply applies a change to the list.
func (l *List) Apply(c Change) {
	if c.Source != "" && c.Source != l.Name || c.Do == Drain && c.Source == "" && !l.ReportsDrains {
		return
	}
	step := 1
	if !c.On {
		step = -1
	}
	switch c.Do {
	case Drain:
		l.draining[c.Target] += step
		l.updateEntry(c.Target)
	case ListOmit:
		l.omitted[c.Target] += step
		l.updateEntry(c.Target)
	case ListWrongCell:
		l.wrongCell[c.Target] += step
		l.updateEntry(c.Target)
	case ListDown, ListEmpty, ListReset, DNSTruncate, DNSJunk:
		if l.OnFault != nil {
			l.OnFault(c)
		}
	case ListLate:
		l.extraLag += time.Duration(step) * c.Delay
	case ListSilent:
		if l.OnFault != nil {
			if l.OnFault(c); !l.BufferSilent {
				return
			}
		}
		if l.silent += step; l.silent == 0 {
			buffered := l.buffered
			l.buffered = nil
			l.publishLater(buffered)
		}
	}
}

// updateEntry recomputes the entry of a server and publishes it.
func (l *List) updateEntry(server int) {
	e := Entry{Server: server, Since: l.entries[server].Since}
	switch {
	case l.ended[server] && l.KeepsEnded && l.omitted[server] == 0:
		e.Status = Unhealthy
	case l.omitted[server] > 0 || l.ended[server]:
		e.Status = Deleted
	case l.draining[server] > 0:
		e.Status = Draining
	}
	if l.wrongCell[server] > 0 {
		e.CellShift = 1
	}
	l.entries[server] = e
	if l.silent > 0 {
		l.buffered = append(l.buffered, e)
		return
	}
	l.publishLater([]Entry{e})
}

// publishLater publishes changes after the lag, and after all earlier changes.
func (l *List) publishLater(changes []Entry) {
	if len(changes) == 0 {
		return
	}
	at := l.Sched.Now() + l.Lag + l.extraLag
	if l.Jitter > 0 {
		at += time.Duration(l.Exponential() * float64(l.Jitter))
	}
	l.lastPublish = max(l.lastPublish, at) // changes are delivered in order
	l.Sched.After(l.lastPublish-l.Sched.Now(), func() {
		if l.BufferSilent && l.silent > 0 { // the change was on its way when the list became silent
			l.buffered = append(l.buffered, changes...)
			return
		}
		l.Publish(changes)
	})
}
