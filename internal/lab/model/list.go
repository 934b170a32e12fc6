package model

// The server list as discovery tells it: late, in order, sometimes silent or wrong.

import "time"

// Standing is what the list says of a server.
type Status int

// The standings.
const (
	Serving Status = iota
	Draining
	Deleted
	Unhealthy // its checks are critical
)

// Entry is news of one server.
type Entry struct {
	Server    int
	Status    Status
	Since     time.Duration // its last start; below 0: long ago
	CellShift int           // added to its cell: a lie
}

// List is a discovery service's view. It knows of processes that run, drain or are
// gone; that one has died it notes after Notice.
type List struct {
	Name          string
	KeepsEnded    bool // a process that has ended stays named, as sick
	ReportsDrains bool // drains that are not told to one source by name are told here too
	Sched         Sched
	Lag           time.Duration // until news is told
	Jitter        time.Duration // mean of an exponential added to it
	DetectDelay   time.Duration
	Publish       func([]Entry)
	OnFault       func(c Change) // a fault of the whole list that its stand-in has to show; nil: none does
	BufferSilent  bool           // lists are pushed: nothing is told while it is mute, whatever stands in for it
	Exponential   func() float64 // exponential, mean 1

	entries     []Entry // as it would be told
	omitted     map[int]int
	wrongCell   map[int]int
	draining    map[int]int
	ended       map[int]bool
	extraLag    time.Duration
	silent      int
	buffered    []Entry // while it is mute
	lastPublish time.Duration
}

// Begin starts a list of so many servers, all serving for long.
func (l *List) Begin(servers int) {
	l.omitted, l.draining, l.ended, l.wrongCell = make(map[int]int), make(map[int]int), make(map[int]bool), make(map[int]int)
	for i := range servers {
		l.entries = append(l.entries, Entry{Server: i, Since: -1})
	}
}

// Whole is the list as it is now.
func (l *List) Entries() []Entry { return l.entries }

// Down notes that a process has ended; Up that it runs.
func (l *List) Down(server int) {
	l.Sched.After(l.DetectDelay, func() {
		if l.ended[server] {
			l.updateEntry(server)
		}
	})
	l.ended[server] = true
}

// Up notes that a process runs since now.
func (l *List) Up(server int) {
	delete(l.ended, server)
	l.entries[server].Since = l.Sched.Now()
	l.updateEntry(server)
}

// Strike has a change take hold of the list, or let it go.
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

// put tells what holds of a server, if that is new.
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

func (l *List) publishLater(changes []Entry) {
	if len(changes) == 0 {
		return
	}
	at := l.Sched.Now() + l.Lag + l.extraLag
	if l.Jitter > 0 {
		at += time.Duration(l.Exponential() * float64(l.Jitter))
	}
	l.lastPublish = max(l.lastPublish, at) // news never overtakes what came before it
	l.Sched.After(l.lastPublish-l.Sched.Now(), func() {
		if l.BufferSilent && l.silent > 0 { // it was on its way as the list fell silent
			l.buffered = append(l.buffered, changes...)
			return
		}
		l.Publish(changes)
	})
}
