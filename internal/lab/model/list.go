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

	now   []Entry // as it would be told
	lies  map[int]int
	moved map[int]int
	drain map[int]int
	gone  map[int]bool
	extra time.Duration
	mute  int
	held  []Entry // while it is mute
	last  time.Duration
}

// Begin starts a list of so many servers, all serving for long.
func (l *List) Begin(servers int) {
	l.lies, l.drain, l.gone, l.moved = make(map[int]int), make(map[int]int), make(map[int]bool), make(map[int]int)
	for i := range servers {
		l.now = append(l.now, Entry{Server: i, Since: -1})
	}
}

// Whole is the list as it is now.
func (l *List) Entries() []Entry { return l.now }

// Down notes that a process has ended; Up that it runs.
func (l *List) Down(server int) {
	l.Sched.After(l.DetectDelay, func() {
		if l.gone[server] {
			l.put(server)
		}
	})
	l.gone[server] = true
}

// Up notes that a process runs since now.
func (l *List) Up(server int) {
	delete(l.gone, server)
	l.now[server].Since = l.Sched.Now()
	l.put(server)
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
		l.drain[c.Target] += step
		l.put(c.Target)
	case ListOmit:
		l.lies[c.Target] += step
		l.put(c.Target)
	case ListWrongCell:
		l.moved[c.Target] += step
		l.put(c.Target)
	case ListDown, ListEmpty, ListReset, DNSTruncate, DNSJunk:
		if l.OnFault != nil {
			l.OnFault(c)
		}
	case ListLate:
		l.extra += time.Duration(step) * c.Delay
	case ListSilent:
		if l.OnFault != nil {
			if l.OnFault(c); !l.BufferSilent {
				return
			}
		}
		if l.mute += step; l.mute == 0 {
			held := l.held
			l.held = nil
			l.tell(held)
		}
	}
}

// put tells what holds of a server, if that is new.
func (l *List) put(server int) {
	e := Entry{Server: server, Since: l.now[server].Since}
	switch {
	case l.gone[server] && l.KeepsEnded && l.lies[server] == 0:
		e.Status = Unhealthy
	case l.lies[server] > 0 || l.gone[server]:
		e.Status = Deleted
	case l.drain[server] > 0:
		e.Status = Draining
	}
	if l.moved[server] > 0 {
		e.CellShift = 1
	}
	l.now[server] = e
	if l.mute > 0 {
		l.held = append(l.held, e)
		return
	}
	l.tell([]Entry{e})
}

func (l *List) tell(news []Entry) {
	if len(news) == 0 {
		return
	}
	at := l.Sched.Now() + l.Lag + l.extra
	if l.Jitter > 0 {
		at += time.Duration(l.Exponential() * float64(l.Jitter))
	}
	l.last = max(l.last, at) // news never overtakes what came before it
	l.Sched.After(l.last-l.Sched.Now(), func() {
		if l.BufferSilent && l.mute > 0 { // it was on its way as the list fell silent
			l.held = append(l.held, news...)
			return
		}
		l.Publish(news)
	})
}
