package model

// This file holds faults. They are expanded into a list of changes before the run, so that
// both drivers apply the same ones.

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The faults.
const (
	Die           = "die"          // the process ends: connections are reset, new ones are refused
	Vanish        = "vanish"       // the machine disappears: packets are dropped, nothing is reset
	Hang          = "hang"         // accepts parts and answers none
	Slow          = "slow"         // the server works slower by a factor
	Fail          = "fail"         // answers err at once
	RejectParts   = "busy"         // rejects every part
	Pause         = "pause"        // the process stops: no work and no answers; connections stay open
	Drain         = "drain"        // the list reports the server as draining; it is gone at the end, or serves again
	Release       = "release"      // servers drain, stop and restart, one after the other
	Cut           = "cut"          // a one-way network path between sites drops everything
	ListLate      = "list-late"    // list changes are delayed
	ListOmit      = "list-lie"     // the list omits healthy servers
	ListSilent    = "list-silent"  // the list sends no changes
	ListDown      = "list-down"    // requests for the list fail at once
	ListEmpty     = "list-empty"   // the list is empty
	ListReset     = "list-reset"   // the index of the list starts over
	ListWrongCell = "list-cell"    // the list gives a wrong cell for servers
	DNSTruncate   = "dns-truncate" // answers exceed the size of a datagram
	DNSJunk       = "dns-junk"     // unrelated datagrams precede each answer
	SwitchSources = "sources"      // the proxies' operator file names other sources, and they receive SIGHUP
	KillProxy     = "kill-mixer"
	RestartProxy  = "restart-mixer" // a graceful restart: open queries are finished
)

// FaultKinds lists all faults, for documentation and validation.
var FaultKinds = []string{Die, Vanish, Hang, Slow, Fail, RejectParts, Pause, Drain, Release, Cut, ListLate, ListOmit, ListSilent, ListDown, ListEmpty, ListReset, ListWrongCell, DNSTruncate, DNSJunk, SwitchSources, KillProxy, RestartProxy}

// TargetsProxies reports whether a fault affects proxies.
func TargetsProxies(do string) bool { return do == KillProxy || do == RestartProxy }

// TargetsList reports whether a fault affects a whole list.
func TargetsList(do string) bool {
	switch do {
	case ListLate, ListSilent, ListDown, ListEmpty, ListReset, DNSTruncate, DNSJunk, SwitchSources:
		return true
	}
	return false
}

// ChangesEntry reports whether a fault affects the list entries of single servers.
func ChangesEntry(do string) bool { return do == Drain || do == ListOmit || do == ListWrongCell }

// Fault is one fault of a scenario.
type Fault struct {
	Name      string
	Do        string
	At        time.Duration
	For       time.Duration // 0: until the end of the run
	Every     time.Duration // interval between repetitions, from start to start; 0: once
	Times     int           // maximum number of repetitions; 0: until the end of the run
	Chance    float64       // probability that each repetition happens; above 0
	Targets   []int         // servers or proxies that it can affect
	Share     float64       // share of Targets that is affected, drawn again for each repetition
	Stagger   time.Duration // delay between one affected target and the next
	Class     string        // hang, fail: affected class; "": all
	PartShare float64       // hang, fail: affected share of the parts
	Factor    float64       // slow
	Warm      bool          // die, vanish, release: the server restarts without slow start
	From      int           // cut
	To        int           // cut
	Both      bool          // cut
	Source    string        // list faults: affected source; empty: all
	SwitchTo  []string      // sources: the sources in use during the fault
	Delay     time.Duration // list-late: added delay; release: time from the drain to the end of the process
}

// steps returns the faults that a fault consists of, and the delay of each.
func (f *Fault) steps() ([]*Fault, []time.Duration) {
	if f.Do != Release {
		return []*Fault{f}, []time.Duration{0}
	}
	drain, die := *f, *f
	drain.Do, die.Do = Drain, Die
	return []*Fault{&drain, &die}, []time.Duration{0, f.Delay}
}

// Change is the start or the end of a fault at one target.
type Change struct {
	At     time.Duration
	On     bool
	Target int // server or proxy; -1: none
	*Fault
}

func (c Change) String() string {
	what := c.Do
	if !c.On {
		what = "end of " + c.Do
	}
	return fmt.Sprintf("%s: %s", c.Name, what)
}

// maxChanges bounds the number of changes in a run.
const maxChanges = 1 << 20

// Script expands the faults into the changes of a run of the given length.
func Script(faults []*Fault, seed uint64, length time.Duration) ([]Change, error) {
	var out []Change
	for _, f := range faults {
		r := Rand(seed, "fault", f.Name)
		occurrence := 0
		for at := f.At; at < length; at += f.Every {
			if occurrence++; f.Times > 0 && occurrence > f.Times {
				break
			}
			if occurrence > maxChanges {
				return nil, fmt.Errorf("fault %s: the script has more than %d changes", f.Name, maxChanges)
			}
			hits := r.Float64() < f.Chance
			targets := []int{-1}
			if len(f.Targets) > 0 {
				n := max(int(float64(len(f.Targets))*f.Share+0.5), 1)
				targets = targets[:0]
				for _, i := range r.Perm(len(f.Targets))[:min(n, len(f.Targets))] {
					targets = append(targets, f.Targets[i])
				}
				slices.Sort(targets)
			}
			for i, target := range targets {
				start := at + time.Duration(i)*f.Stagger
				if !hits || start >= length {
					continue
				}
				steps, offsets := f.steps()
				for k, s := range steps {
					out = append(out, Change{At: start + offsets[k], On: true, Target: target, Fault: s})
					if f.For > 0 {
						out = append(out, Change{At: start + max(f.For, offsets[k]), Target: target, Fault: s})
					}
				}
				if len(out) > maxChanges {
					return nil, fmt.Errorf("fault %s: the script has more than %d changes", f.Name, maxChanges)
				}
			}
			if f.Every <= 0 {
				break
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	return out, nil
}

// Apply applies a change to a server. It returns false if the change does not affect servers
// directly; drains are changes of the list.
func (s *Server) Apply(c Change) bool {
	e := &s.Effects
	step := 1
	if !c.On {
		step = -1
	}
	switch c.Do {
	case Die, Vanish:
		e.Dead += step
		if c.On {
			s.Die()
		} else {
			s.Start(!c.Warm)
		}
	case Pause:
		e.Paused += step
	case RejectParts:
		e.Busy += step
	case Slow:
		if e.Slow <= 0 {
			e.Slow = 1
		}
		if c.On {
			e.Slow *= c.Factor
		} else if e.Slow /= c.Factor; e.Slow < 1.0000001 && e.Slow > 0.9999999 {
			e.Slow = 1
		}
	case Hang:
		e.Hang = addShare(e.Hang, c)
	case Fail:
		e.Fail = addShare(e.Fail, c)
	default:
		return false
	}
	s.EffectsChanged()
	return true
}

// addShare adds a fault's share to its class, or removes it. The shares of overlapping faults
// add up.
func addShare(m map[string]float64, c Change) map[string]float64 {
	if m == nil {
		m = make(map[string]float64)
	}
	if c.On {
		m[c.Class] += c.PartShare
	} else if m[c.Class] -= c.PartShare; m[c.Class] < 1e-9 {
		delete(m, c.Class)
	}
	return m
}
