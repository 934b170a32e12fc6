package model

// Faults: a script of what goes wrong, drawn out into a list of changes before the
// run begins, so that both drives play the same one.

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// What a fault does.
const (
	Die           = "die"     // the process ends: connections are reset, new ones refused
	Vanish        = "vanish"  // the machine is gone: nothing is heard, nothing reset
	Hang          = "hang"    // takes parts and answers none
	Slow          = "slow"    // works slower by a factor
	Fail          = "fail"    // answers err at once
	RejectParts   = "busy"    // turns away
	Pause         = "pause"   // stops the world: no work, no answer; connections stay
	Drain         = "drain"   // the list says so; it is gone at the end, or serves on
	Release       = "release" // drains, ends and starts again, one after the other
	Cut           = "cut"     // a way between sites carries nothing
	ListLate      = "list-late"
	ListOmit      = "list-lie"     // the list drops servers that are well
	ListSilent    = "list-silent"  // the list says nothing
	ListDown      = "list-down"    // calls to the list fail at once
	ListEmpty     = "list-empty"   // the list says that there is nobody
	ListReset     = "list-reset"   // its index begins anew
	ListWrongCell = "list-cell"    // the list names another cell for servers
	DNSTruncate   = "dns-truncate" // answers do not fit into a datagram
	DNSJunk       = "dns-junk"     // datagrams that answer nothing come before each answer
	SwitchSources = "sources"      // the mixers' operator file names other sources, and they get SIGHUP
	KillProxy     = "kill-mixer"
	RestartProxy  = "restart-mixer" // as planned: it ends what it has
)

// Kinds of faults, for those who read them.
var FaultKinds = []string{Die, Vanish, Hang, Slow, Fail, RejectParts, Pause, Drain, Release, Cut, ListLate, ListOmit, ListSilent, ListDown, ListEmpty, ListReset, ListWrongCell, DNSTruncate, DNSJunk, SwitchSources, KillProxy, RestartProxy}

// OnMixers tells whether a fault is one of mixers, OnList of the list.
func TargetsProxies(do string) bool { return do == KillProxy || do == RestartProxy }

// OnList tells whether a fault is one of the list as a whole.
func TargetsList(do string) bool {
	switch do {
	case ListLate, ListSilent, ListDown, ListEmpty, ListReset, DNSTruncate, DNSJunk, SwitchSources:
		return true
	}
	return false
}

// ByList tells whether a fault is one of what the list says of servers.
func ChangesEntry(do string) bool { return do == Drain || do == ListOmit || do == ListWrongCell }

// Fault is one fault of a script.
type Fault struct {
	Name      string
	Do        string
	At        time.Duration
	For       time.Duration // 0: to the end
	Every     time.Duration // again and again, from one begin to the next; 0: once
	Times     int           // at most so often; 0: until the end
	Chance    float64       // that each time comes to pass; above 0
	Targets   []int         // servers or mixers it may hit
	Share     float64       // of these, drawn anew each time
	Stagger   time.Duration // between one and the next that it hits
	Class     string        // hang, fail: "" is all
	PartShare float64       // hang, fail: share of the parts
	Factor    float64       // slow
	Warm      bool          // die, vanish, release: back warm
	From      int           // cut
	To        int           // cut
	Both      bool          // cut
	Source    string        // of the list's: which one; empty: all
	SwitchTo  []string      // sources: those in force while it holds
	Delay     time.Duration // list-late: so much later; release: from the drain to the end of the process
}

// steps are the faults that one stands for, with how much later each begins.
func (f *Fault) steps() ([]*Fault, []time.Duration) {
	if f.Do != Release {
		return []*Fault{f}, []time.Duration{0}
	}
	drain, die := *f, *f
	drain.Do, die.Do = Drain, Die
	return []*Fault{&drain, &die}, []time.Duration{0, f.Delay}
}

// Change is one step of a script: a fault takes hold of something, or lets it go.
type Change struct {
	At     time.Duration
	On     bool
	Target int // server or mixer; -1: none
	*Fault
}

func (c Change) String() string {
	what := c.Do
	if !c.On {
		what = "end of " + c.Do
	}
	return fmt.Sprintf("%s: %s", c.Name, what)
}

// mostChanges bounds a script.
const maxChanges = 1 << 20

// Script draws the faults out over a run of that length.
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

// Strike has a change take hold of a server, or let it go. It tells whether the
// change was one of a server's at all; drains are the list's.
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

// hit adds a fault's share to what holds for its class, or takes it back. Shares of
// faults that overlap add up.
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
