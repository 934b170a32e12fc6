package outlier

import (
	"cmp"
	"slices"
)

// Member is one that is set apart.
type Member struct {
	Name    string  `json:"n"`
	Shard   string  `json:"s"`
	Ratio   float64 `json:"r"` // times its peers' middle
	Age     int64   `json:"a"` // microseconds since it was set apart, when this was said
	Mixers  int     `json:"m"` // whose evidence it was
	Samples int     `json:"c"`
}

// Assignment is who is set apart, as the holder of the duty says under its epoch.
type Assignment struct {
	Epoch uint64   `json:"e"`
	Seq   uint64   `json:"q"` // rises with each word
	Apart []Member `json:"p,omitempty"`
	Asked []string `json:"k,omitempty"` // whose evidence is asked for, beside theirs
	By    string   `json:"b"`
}

// Empty tells whether an assignment says of nobody anything.
func (a Assignment) Empty() bool { return len(a.Apart)+len(a.Asked) == 0 }

type given struct {
	Evidence
	at int64
}

type affair struct {
	name, shard string
	by          map[string]given // evidence by mixer
	askedAt     int64            // 0: not asked for
	apartAt     int64            // 0: not apart
	slowAt      int64            // when evidence last spoke for slowness, while apart
	backAt      int64            // when it last came back; 0: never
	member      Member
}

// Council merges the evidence of all mixers. It is held by one process at a time; who
// follows takes over what is said to be in force. It is not safe for concurrent use.
type Council struct {
	cfg    Config
	epoch  uint64
	by     string
	seq    uint64
	saidAt int64
	cases  map[string]*affair
	Moves  int // into the group so far
	Backs  int // and out of it
}

const (
	mostCases  = 2048
	mostMixers = 512 // whose evidence on one member is held
	mostAsked  = 64
	mostApart  = 256
)

// NewCouncil returns the council that a process holds under an epoch; it begins with what
// was last said to be in force.
func NewCouncil(now int64, cfg Config, by string, epoch uint64, before Assignment) *Council {
	c := &Council{cfg: cfg, epoch: epoch, by: by, seq: before.Seq, cases: make(map[string]*affair)}
	for _, m := range before.Apart[:min(len(before.Apart), mostApart)] {
		c.cases[m.Name] = &affair{name: m.Name, shard: m.Shard, by: make(map[string]given), apartAt: now - m.Age, slowAt: now, member: m}
	}
	return c
}

// Given takes a mixer's evidence.
func (c *Council) Given(now int64, from string, list []Evidence) {
	for _, e := range list[:min(len(list), mostTold)] {
		k := c.cases[e.Name]
		if k == nil {
			if len(c.cases) >= mostCases || e.Name == "" || e.Sketch.h == nil {
				continue
			}
			k = &affair{name: e.Name, shard: e.Shard, by: make(map[string]given)}
			c.cases[e.Name] = k
		}
		if _, known := k.by[from]; !known && len(k.by) >= mostMixers || e.Sketch.h == nil {
			continue
		}
		k.by[from] = given{e, now}
	}
}

// merged is all mixers' evidence on a member; slow, how many of them speak for slowness.
func (c *Council) merged(now int64, k *affair) (all Sketch, mixers, slow, of int) {
	all = newSketch()
	for from, g := range k.by {
		if now-g.at > c.cfg.Fresh {
			delete(k.by, from)
			continue
		}
		all.Merge(g.Sketch)
		if mixers++; g.Sketch.Score() > 0 {
			slow++
		}
		of = max(of, g.Of)
	}
	return all, mixers, slow, of
}

// Step decides. members tells how many members a shard has, 0 where that is not known, and
// mixers how many mixers there are. It returns what is to be said, if anything is.
func (c *Council) Step(now int64, mixers int, members func(shard string) int) (Assignment, bool) {
	changed := false
	want := make(map[string][]*affair) // by shard: those that the evidence is against
	count := make(map[string]int)
	for name, k := range c.cases {
		all, told, slow, of := c.merged(now, k)
		if n := members(k.shard); n > 0 {
			of = n
		}
		count[k.shard] = max(count[k.shard], of)
		score, middle, n := all.Score(), all.Middle(), all.Samples()
		agree := c.cfg.Agree
		if k.backAt != 0 && now-k.backAt < c.cfg.Watchful {
			agree /= 2
		}
		switch {
		case k.apartAt != 0:
			well := n >= c.cfg.Enough && middle <= c.cfg.Well
			if score > 0 {
				k.slowAt = now
			}
			if now-k.apartAt >= c.cfg.Stay && (well || now-max(k.slowAt, k.apartAt) > c.cfg.Unheard) {
				c.back(now, k)
				changed = true
				continue
			}
			if n >= c.cfg.Enough {
				k.member.Ratio, k.member.Mixers, k.member.Samples = middle, told, n
			}
			want[k.shard] = append(want[k.shard], k)
		case told == 0:
			if k.askedAt != 0 {
				k.askedAt, changed = 0, true
			}
			if k.backAt == 0 || now-k.backAt >= c.cfg.Watchful {
				delete(c.cases, name)
			}
		case score >= c.cfg.Ask && k.askedAt == 0:
			k.askedAt, changed = now, true
		case k.askedAt != 0 && score <= 0 && now-k.askedAt >= c.cfg.Settle:
			k.askedAt, changed = 0, true
			k.by = make(map[string]given)
		case k.askedAt != 0 && now-k.askedAt >= c.cfg.Settle && score >= agree && n >= c.cfg.Least && slow >= min(2, mixers):
			k.member = Member{Name: k.name, Shard: k.shard, Ratio: middle, Mixers: told, Samples: n}
			want[k.shard] = append(want[k.shard], k)
		}
	}
	for shard, list := range want {
		changed = c.settle(now, list, count[shard]) || changed
	}
	some := slices.ContainsFunc(values(c.cases), func(k *affair) bool { return k.apartAt != 0 || k.askedAt != 0 })
	if !changed && !(some && now-c.saidAt >= c.cfg.Renew) {
		return Assignment{}, false
	}
	c.saidAt = now
	c.seq++
	return c.Says(now), true
}

// settle sets the slowest of a shard apart, as far as may be; where most of it is slow,
// nobody: there is nothing left to go to.
func (c *Council) settle(now int64, list []*affair, members int) (changed bool) {
	most := int(float64(members) * c.cfg.Share)
	whole := 2*len(list) > members
	held := func(k *affair) int { // it was set apart a moment ago, and has its place
		if k.apartAt != 0 && now-k.apartAt < c.cfg.Stay {
			return 1
		}
		return 0
	}
	slices.SortFunc(list, func(a, b *affair) int {
		return cmp.Or(held(b)-held(a), cmp.Compare(b.member.Ratio, a.member.Ratio), cmp.Compare(a.name, b.name))
	})
	for i, k := range list {
		switch in := !whole && i < most; {
		case in && k.apartAt == 0:
			k.apartAt, k.askedAt, changed = now, 0, true
			c.Moves++
		case !in && k.apartAt != 0 && held(k) == 0:
			c.back(now, k)
			changed = true
		}
	}
	return changed
}

func (c *Council) back(now int64, k *affair) {
	k.apartAt, k.askedAt, k.backAt = 0, 0, now
	k.by = make(map[string]given)
	c.Backs++
}

// Says is what the council holds.
func (c *Council) Says(now int64) Assignment {
	a := Assignment{Epoch: c.epoch, Seq: c.seq, By: c.by}
	for _, k := range values(c.cases) {
		if k.apartAt != 0 && len(a.Apart) < mostApart {
			m := k.member
			m.Age = now - k.apartAt
			a.Apart = append(a.Apart, m)
		} else if k.askedAt != 0 && len(a.Asked) < mostAsked {
			a.Asked = append(a.Asked, k.name)
		}
	}
	return a
}

// values are the cases in the order of their names.
func values(cases map[string]*affair) []*affair {
	out := make([]*affair, 0, len(cases))
	for _, k := range cases {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b *affair) int { return cmp.Compare(a.name, b.name) })
	return out
}

// Word is what one mixer told of a member.
type Word struct {
	Mixer   string
	Age     int64 // microseconds
	Samples int
	Middle  float64
	Score   float64
}

// Words are the evidence on a member that the council holds, by mixer.
func (c *Council) Words(now int64, name string) (out []Word) {
	k := c.cases[name]
	if k == nil {
		return nil
	}
	for from, g := range k.by {
		out = append(out, Word{from, now - g.at, g.Sketch.Samples(), g.Sketch.Middle(), g.Sketch.Score()})
	}
	slices.SortFunc(out, func(a, b Word) int { return cmp.Compare(a.Mixer, b.Mixer) })
	return out
}
