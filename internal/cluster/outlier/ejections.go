package outlier

import (
	"cmp"
	"slices"
)

// ActiveEjection is a member that is ejected in one proxy.
type ActiveEjection struct {
	Ejected
	Since     int64
	LocalOnly bool // on this proxy's own evidence
}

// Change is a member that was ejected, was restored, or is much slower or faster by now.
type Change struct {
	ActiveEjection
	Restored, Updated bool
}

// sameRatio is the factor up to which two ratios count as one.
const sameRatio = 1.5 // times another: so far two ratios count as one

// Ejections is what is in force in one proxy: what the aggregator publishes as long as it
// renews it; otherwise what the proxy's own evidence says, by a stricter rule. It is not safe
// for concurrent use.
type Ejections struct {
	cfg        Config
	assignment Assignment
	version    uint64
	assignedAt int64 // when the aggregator was last heard; 0: never
	ejected    map[string]ActiveEjection
}

// NewEjections returns ejections in which nobody is ejected.
func NewEjections(cfg Config) *Ejections {
	return &Ejections{cfg: cfg, ejected: make(map[string]ActiveEjection)}
}

// Observe takes a published assignment under its version, and reports whether it is new.
func (e *Ejections) Observe(now int64, version uint64, a Assignment) bool {
	if version <= e.version {
		return false
	}
	e.version, e.assignment, e.assignedAt = version, a, now
	return true
}

// Assignment returns what was last published, if that is still valid.
func (e *Ejections) Assignment(now int64) (Assignment, bool) {
	if e.assignedAt == 0 || now-e.assignedAt > e.cfg.AssignmentLifetime {
		return Assignment{}, false
	}
	return e.assignment, true
}

// Idle reports that there is nothing to do until something comes in.
func (e *Ejections) Idle(now int64) bool {
	said, counts := e.Assignment(now)
	return len(e.ejected) == 0 && (!counts || said.Empty())
}

// Step brings the ejections in line with what was last published or, if nothing has been for
// long, with the proxy's own evidence. members returns how many members a shard has.
func (e *Ejections) Step(now int64, members func(shard string) int, own ...*Observer) (out []Change) {
	want := make(map[string]ActiveEjection)
	said, counts := e.Assignment(now)
	if counts {
		for _, m := range said.Ejected {
			want[m.Name] = ActiveEjection{Ejected: m, Since: e.assignedAt - m.Age}
		}
	}
	e.addLocal(now, members, own, want)
	for name, a := range e.ejected {
		if _, stays := want[name]; !stays {
			delete(e.ejected, name)
			out = append(out, Change{ActiveEjection: a, Restored: true})
		}
	}
	for name, a := range want {
		was, known := e.ejected[name]
		if known {
			if a.Since = was.Since; a.Ratio < was.Ratio*sameRatio && was.Ratio < a.Ratio*sameRatio {
				a.Ratio = was.Ratio // it is as it was
			}
		}
		if e.ejected[name] = a; !known || a.Ratio != was.Ratio {
			out = append(out, Change{ActiveEjection: a, Updated: known})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// addLocal adds what this proxy's own evidence says and the aggregator has not taken up: one
// member of a shard of which most are not suspected, suspected for long, with a higher score
// than the aggregator would need. It stays for an assignment's lifetime, since its evidence
// dries up.
func (e *Ejections) addLocal(now int64, members func(string) int, own []*Observer, want map[string]ActiveEjection) {
	taken, doubted := make(map[string]bool), make(map[string]int)
	for _, a := range want {
		taken[a.Shard] = true
	}
	for name, a := range e.ejected {
		if a.LocalOnly && !taken[a.Shard] && now-a.Since < e.cfg.AssignmentLifetime {
			want[name], taken[a.Shard] = a, true
		}
	}
	var doubts []LocalView
	for _, w := range own {
		doubts = append(doubts, w.suspects(now)...)
	}
	for _, o := range doubts {
		doubted[o.Shard]++
	}
	for _, o := range doubts {
		n := members(o.Shard)
		if taken[o.Shard] || n < 3 || 2*doubted[o.Shard] > n || o.SuspectedFor < e.cfg.LocalEjectDelay || o.Score < e.cfg.EjectScore*e.cfg.LocalScoreFactor {
			continue
		}
		taken[o.Shard] = true
		want[o.Name] = ActiveEjection{Ejected: Ejected{Name: o.Name, Shard: o.Shard, Ratio: o.Median, Reporters: 1, Samples: o.Samples}, Since: now, LocalOnly: true}
	}
}

// Ratio returns the latency of an ejected member as a multiple of its peers' median; 0: it is
// not ejected.
func (e *Ejections) Ratio(name string) float64 { return e.ejected[name].Ratio }

// All returns the ejected members in the order of their shards and names.
func (e *Ejections) All() []ActiveEjection {
	out := make([]ActiveEjection, 0, len(e.ejected))
	for _, a := range e.ejected {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b ActiveEjection) int {
		return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Name, b.Name))
	})
	return out
}
