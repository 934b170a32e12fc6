package outlier

import (
	"cmp"
	"slices"
)

// Apart is a member that is set apart in one mixer.
type EjectedHere struct {
	Ejected
	Since     int64
	LocalOnly bool // on this mixer's own evidence
}

// Change is a member that was set apart, came back, or is much slower or faster by now.
type Change struct {
	EjectedHere
	Restored, Known bool
}

const sameRatio = 1.5 // times another: so far two ratios count as one

// Groups is what is in force in one mixer: what the council says, for as long as it goes
// on saying it; without a council, what the mixer's own evidence says, and that more
// carefully. It is not safe for concurrent use.
type Ejections struct {
	cfg        Config
	assignment Assignment
	version    uint64
	assignedAt int64 // when the council was last heard; 0: never
	ejected    map[string]EjectedHere
}

// NewGroups returns groups in which nobody is set apart.
func NewEjections(cfg Config) *Ejections {
	return &Ejections{cfg: cfg, ejected: make(map[string]EjectedHere)}
}

// Told takes the council's word under its rank, and tells whether it is news.
func (g *Ejections) Observe(now int64, version uint64, a Assignment) bool {
	if version <= g.version {
		return false
	}
	g.version, g.assignment, g.assignedAt = version, a, now
	return true
}

// Said is the council's last word, if that still counts.
func (g *Ejections) Assignment(now int64) (Assignment, bool) {
	if g.assignedAt == 0 || now-g.assignedAt > g.cfg.AssignmentLifetime {
		return Assignment{}, false
	}
	return g.assignment, true
}

// Quiet tells that there is nothing to look after until something comes in.
func (g *Ejections) Quiet(now int64) bool {
	said, counts := g.Assignment(now)
	return len(g.ejected) == 0 && (!counts || said.Empty())
}

// Step brings the groups in line with the council's last word or, where none has come for
// long, with the mixer's own evidence. members tells how many members a shard has.
func (g *Ejections) Step(now int64, members func(shard string) int, own ...*Observer) (out []Change) {
	want := make(map[string]EjectedHere)
	said, counts := g.Assignment(now)
	if counts {
		for _, m := range said.Ejected {
			want[m.Name] = EjectedHere{Ejected: m, Since: g.assignedAt - m.Age}
		}
	}
	g.addLocal(now, members, own, want)
	for name, a := range g.ejected {
		if _, stays := want[name]; !stays {
			delete(g.ejected, name)
			out = append(out, Change{EjectedHere: a, Restored: true})
		}
	}
	for name, a := range want {
		was, known := g.ejected[name]
		if known {
			if a.Since = was.Since; a.Ratio < was.Ratio*sameRatio && was.Ratio < a.Ratio*sameRatio {
				a.Ratio = was.Ratio // it is as it was
			}
		}
		if g.ejected[name] = a; !known || a.Ratio != was.Ratio {
			out = append(out, Change{EjectedHere: a, Known: known})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// alone adds what this mixer's own evidence says and the council has not taken up: one of
// a shard of which most are not doubted, doubted for long, with more of a score than the
// council would want. It stays for the time of a lease, for its evidence dries up.
func (g *Ejections) addLocal(now int64, members func(string) int, own []*Observer, want map[string]EjectedHere) {
	taken, doubted := make(map[string]bool), make(map[string]int)
	for _, a := range want {
		taken[a.Shard] = true
	}
	for name, a := range g.ejected {
		if a.LocalOnly && !taken[a.Shard] && now-a.Since < g.cfg.AssignmentLifetime {
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
		if taken[o.Shard] || n < 3 || 2*doubted[o.Shard] > n || o.SuspectedFor < g.cfg.LocalEjectDelay || o.Score < g.cfg.EjectScore*g.cfg.LocalScoreFactor {
			continue
		}
		taken[o.Shard] = true
		want[o.Name] = EjectedHere{Ejected: Ejected{Name: o.Name, Shard: o.Shard, Ratio: o.Middle, Reporters: 1, Samples: o.Samples}, Since: now, LocalOnly: true}
	}
}

// Ratio is how many times its peers' middle a member that is set apart takes; 0: it is not.
func (g *Ejections) Ratio(name string) float64 { return g.ejected[name].Ratio }

// All are those set apart, in the order of their shards and names.
func (g *Ejections) All() []EjectedHere {
	out := make([]EjectedHere, 0, len(g.ejected))
	for _, a := range g.ejected {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b EjectedHere) int { return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Name, b.Name)) })
	return out
}
