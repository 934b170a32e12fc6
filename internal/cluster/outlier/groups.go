package outlier

import (
	"cmp"
	"slices"
)

// Apart is a member that is set apart in one mixer.
type Apart struct {
	Member
	Since int64
	Alone bool // on this mixer's own evidence
}

// Change is a member that was set apart, came back, or is much slower or faster by now.
type Change struct {
	Apart
	Back, Known bool
}

const sameRatio = 1.5 // times another: so far two ratios count as one

// Groups is what is in force in one mixer: what the council says, for as long as it goes
// on saying it; without a council, what the mixer's own evidence says, and that more
// carefully. It is not safe for concurrent use.
type Groups struct {
	cfg    Config
	said   Assignment
	rank   uint64
	saidAt int64 // when the council was last heard; 0: never
	apart  map[string]Apart
}

// NewGroups returns groups in which nobody is set apart.
func NewGroups(cfg Config) *Groups { return &Groups{cfg: cfg, apart: make(map[string]Apart)} }

// Told takes the council's word under its rank, and tells whether it is news.
func (g *Groups) Told(now int64, rank uint64, a Assignment) bool {
	if rank <= g.rank {
		return false
	}
	g.rank, g.said, g.saidAt = rank, a, now
	return true
}

// Said is the council's last word, if that still counts.
func (g *Groups) Said(now int64) (Assignment, bool) {
	if g.saidAt == 0 || now-g.saidAt > g.cfg.Lease {
		return Assignment{}, false
	}
	return g.said, true
}

// Quiet tells that there is nothing to look after until something comes in.
func (g *Groups) Quiet(now int64) bool {
	said, counts := g.Said(now)
	return len(g.apart) == 0 && (!counts || said.Empty())
}

// Step brings the groups in line with the council's last word or, where none has come for
// long, with the mixer's own evidence. members tells how many members a shard has.
func (g *Groups) Step(now int64, members func(shard string) int, own ...*Watch) (out []Change) {
	want := make(map[string]Apart)
	said, counts := g.Said(now)
	if counts {
		for _, m := range said.Apart {
			want[m.Name] = Apart{Member: m, Since: g.saidAt - m.Age}
		}
	}
	g.alone(now, members, own, want)
	for name, a := range g.apart {
		if _, stays := want[name]; !stays {
			delete(g.apart, name)
			out = append(out, Change{Apart: a, Back: true})
		}
	}
	for name, a := range want {
		was, known := g.apart[name]
		if known {
			if a.Since = was.Since; a.Ratio < was.Ratio*sameRatio && was.Ratio < a.Ratio*sameRatio {
				a.Ratio = was.Ratio // it is as it was
			}
		}
		if g.apart[name] = a; !known || a.Ratio != was.Ratio {
			out = append(out, Change{Apart: a, Known: known})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// alone adds what this mixer's own evidence says and the council has not taken up: one of
// a shard of which most are not doubted, doubted for long, with more of a score than the
// council would want. It stays for the time of a lease, for its evidence dries up.
func (g *Groups) alone(now int64, members func(string) int, own []*Watch, want map[string]Apart) {
	taken, doubted := make(map[string]bool), make(map[string]int)
	for _, a := range want {
		taken[a.Shard] = true
	}
	for name, a := range g.apart {
		if a.Alone && !taken[a.Shard] && now-a.Since < g.cfg.Lease {
			want[name], taken[a.Shard] = a, true
		}
	}
	var doubts []Own
	for _, w := range own {
		doubts = append(doubts, w.doubts(now)...)
	}
	for _, o := range doubts {
		doubted[o.Shard]++
	}
	for _, o := range doubts {
		n := members(o.Shard)
		if taken[o.Shard] || n < 3 || 2*doubted[o.Shard] > n || o.Doubted < g.cfg.Alone || o.Score < g.cfg.Agree*g.cfg.Careful {
			continue
		}
		taken[o.Shard] = true
		want[o.Name] = Apart{Member: Member{Name: o.Name, Shard: o.Shard, Ratio: o.Middle, Mixers: 1, Samples: o.Samples}, Since: now, Alone: true}
	}
}

// Ratio is how many times its peers' middle a member that is set apart takes; 0: it is not.
func (g *Groups) Ratio(name string) float64 { return g.apart[name].Ratio }

// All are those set apart, in the order of their shards and names.
func (g *Groups) All() []Apart {
	out := make([]Apart, 0, len(g.apart))
	for _, a := range g.apart {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b Apart) int { return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Name, b.Name)) })
	return out
}
