package outlier

import (
	"cmp"
	"slices"
)

// Ejected is a member that is ejected.
type Ejected struct {
	Name      string  `json:"n"`
	Shard     string  `json:"s"`
	Ratio     float64 `json:"r"` // its latency as a multiple of its peers' median
	Age       int64   `json:"a"` // microseconds since its ejection, when this was published
	Reporters int     `json:"m"` // proxies whose evidence it was
	Samples   int     `json:"c"`
}

// Assignment is the list of ejected members that the holder of the role publishes under its
// epoch.
type Assignment struct {
	Epoch     uint64    `json:"e"`
	Seq       uint64    `json:"q"` // rises with each publication
	Ejected   []Ejected `json:"p,omitempty"`
	Requested []string  `json:"k,omitempty"` // members on which evidence is asked for, beside the ejected ones
	Publisher string    `json:"b"`
}

// Empty reports whether an assignment names nobody.
func (a Assignment) Empty() bool { return len(a.Ejected)+len(a.Requested) == 0 }

type timedEvidence struct {
	Evidence
	at int64
}

// candidate is a member that some proxy suspects.
type candidate struct {
	name, shard string
	evidence    map[string]timedEvidence // by proxy
	requestedAt int64                    // when evidence was asked for; 0: it was not
	ejectedAt   int64                    // 0: it is not ejected
	lastSlowAt  int64                    // when evidence last spoke for slowness, while it was ejected
	restoredAt  int64                    // when it was last restored; 0: never
	member      Ejected
}

// Aggregator merges the evidence of all proxies. One process at a time holds it; a successor
// starts from what was last published. It is not safe for concurrent use.
type Aggregator struct {
	cfg          Config
	epoch        uint64
	by           string
	seq          uint64
	publishedAt  int64
	candidates   map[string]*candidate
	Ejections    int // so far
	Restorations int // so far
}

const (
	maxCandidates = 2048
	maxReporters  = 512 // proxies whose evidence on one member is kept
	maxRequested  = 64
	maxEjected    = 256
)

// NewAggregator returns the aggregator that a process holds under an epoch. It starts from
// what was last published.
func NewAggregator(now int64, cfg Config, by string, epoch uint64, previous Assignment) *Aggregator {
	c := &Aggregator{cfg: cfg, epoch: epoch, by: by, seq: previous.Seq, candidates: make(map[string]*candidate)}
	for _, m := range previous.Ejected[:min(len(previous.Ejected), maxEjected)] {
		c.candidates[m.Name] = &candidate{name: m.Name, shard: m.Shard, evidence: make(map[string]timedEvidence), ejectedAt: now - m.Age, lastSlowAt: now, member: m}
	}
	return c
}

// AddEvidence takes a proxy's evidence.
func (c *Aggregator) AddEvidence(now int64, from string, list []Evidence) {
	for _, e := range list[:min(len(list), maxReported)] {
		k := c.candidates[e.Name]
		if k == nil {
			if len(c.candidates) >= maxCandidates || e.Name == "" || e.Sketch.h == nil {
				continue
			}
			k = &candidate{name: e.Name, shard: e.Shard, evidence: make(map[string]timedEvidence)}
			c.candidates[e.Name] = k
		}
		if _, known := k.evidence[from]; !known && len(k.evidence) >= maxReporters || e.Sketch.h == nil {
			continue
		}
		k.evidence[from] = timedEvidence{e, now}
	}
}

// merged returns the evidence of all proxies on a member, how many reported, how many of them
// for slowness, and how many members the shard has.
func (c *Aggregator) merged(now int64, k *candidate) (all Sketch, reporters, slow, of int) {
	all = newSketch()
	for from, g := range k.evidence {
		if now-g.at > c.cfg.EvidenceLifetime {
			delete(k.evidence, from)
			continue
		}
		all.Merge(g.Sketch)
		if reporters++; g.Sketch.Score() > 0 {
			slow++
		}
		of = max(of, g.ShardSize)
	}
	return all, reporters, slow, of
}

// Step decides. members returns how many members a shard has, 0 if that is not known, and
// proxies is how many proxies there are. It returns what is to be published, if anything is.
func (c *Aggregator) Step(now int64, proxies int, members func(shard string) int) (Assignment, bool) {
	changed := false
	want := make(map[string][]*candidate) // by shard: those that the evidence is against
	count := make(map[string]int)
	for name, k := range c.candidates {
		all, reporters, slow, of := c.merged(now, k)
		if n := members(k.shard); n > 0 {
			of = n
		}
		count[k.shard] = max(count[k.shard], of)
		score, middle, n := all.Score(), all.Median(), all.Samples()
		agree := c.cfg.EjectScore
		if k.restoredAt != 0 && now-k.restoredAt < c.cfg.ProbationTime {
			agree /= 2
		}
		switch {
		case k.ejectedAt != 0:
			well := n >= c.cfg.MinRestoreSamples && middle <= c.cfg.RestoreRatio
			if score > 0 {
				k.lastSlowAt = now
			}
			if now-k.ejectedAt >= c.cfg.MinEjectionTime && (well || now-max(k.lastSlowAt, k.ejectedAt) > c.cfg.NoEvidenceTimeout) {
				c.restore(now, k)
				changed = true
				continue
			}
			if n >= c.cfg.MinRestoreSamples {
				k.member.Ratio, k.member.Reporters, k.member.Samples = middle, reporters, n
			}
			want[k.shard] = append(want[k.shard], k)
		case reporters == 0:
			if k.requestedAt != 0 {
				k.requestedAt, changed = 0, true
			}
			if k.restoredAt == 0 || now-k.restoredAt >= c.cfg.ProbationTime {
				delete(c.candidates, name)
			}
		case score >= c.cfg.RequestScore && k.requestedAt == 0:
			k.requestedAt, changed = now, true
		case k.requestedAt != 0 && score <= 0 && now-k.requestedAt >= c.cfg.EvidenceDelay:
			k.requestedAt, changed = 0, true
			k.evidence = make(map[string]timedEvidence)
		case k.requestedAt != 0 && now-k.requestedAt >= c.cfg.EvidenceDelay && score >= agree && n >= c.cfg.MinEjectSamples && slow >= min(2, proxies):
			k.member = Ejected{Name: k.name, Shard: k.shard, Ratio: middle, Reporters: reporters, Samples: n}
			want[k.shard] = append(want[k.shard], k)
		}
	}
	for shard, list := range want {
		changed = c.applyShardLimit(now, list, count[shard]) || changed
	}
	some := slices.ContainsFunc(sortedCandidates(c.candidates), func(k *candidate) bool { return k.ejectedAt != 0 || k.requestedAt != 0 })
	if !changed && !(some && now-c.publishedAt >= c.cfg.RenewInterval) {
		return Assignment{}, false
	}
	c.publishedAt = now
	c.seq++
	return c.Assignment(now), true
}

// applyShardLimit ejects the slowest members of a shard as far as its limit allows. If most of
// the shard is slow nobody is ejected: there would be nothing left to use.
func (c *Aggregator) applyShardLimit(now int64, list []*candidate, members int) (changed bool) {
	most := int(float64(members) * c.cfg.MaxEjectedShare)
	mostSlow := 2*len(list) > members
	recentlyEjected := func(k *candidate) int { // it was ejected a moment ago and keeps its place
		if k.ejectedAt != 0 && now-k.ejectedAt < c.cfg.MinEjectionTime {
			return 1
		}
		return 0
	}
	slices.SortFunc(list, func(a, b *candidate) int {
		return cmp.Or(recentlyEjected(b)-recentlyEjected(a), cmp.Compare(b.member.Ratio, a.member.Ratio), cmp.Compare(a.name, b.name))
	})
	for i, k := range list {
		switch in := !mostSlow && i < most; {
		case in && k.ejectedAt == 0:
			k.ejectedAt, k.requestedAt, changed = now, 0, true
			c.Ejections++
		case !in && k.ejectedAt != 0 && recentlyEjected(k) == 0:
			c.restore(now, k)
			changed = true
		}
	}
	return changed
}

func (c *Aggregator) restore(now int64, k *candidate) {
	k.ejectedAt, k.requestedAt, k.restoredAt = 0, 0, now
	k.evidence = make(map[string]timedEvidence)
	c.Restorations++
}

// Assignment returns what the aggregator has decided.
func (c *Aggregator) Assignment(now int64) Assignment {
	a := Assignment{Epoch: c.epoch, Seq: c.seq, Publisher: c.by}
	for _, k := range sortedCandidates(c.candidates) {
		if k.ejectedAt != 0 && len(a.Ejected) < maxEjected {
			m := k.member
			m.Age = now - k.ejectedAt
			a.Ejected = append(a.Ejected, m)
		} else if k.requestedAt != 0 && len(a.Requested) < maxRequested {
			a.Requested = append(a.Requested, k.name)
		}
	}
	return a
}

// sortedCandidates returns the candidates in the order of their names.
func sortedCandidates(cases map[string]*candidate) []*candidate {
	out := make([]*candidate, 0, len(cases))
	for _, k := range cases {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b *candidate) int { return cmp.Compare(a.name, b.name) })
	return out
}

// Report is what one proxy reported of a member.
type Report struct {
	Proxy   string
	Age     int64 // microseconds
	Samples int
	Median  float64
	Score   float64
}

// Reports returns the evidence on a member, by proxy.
func (c *Aggregator) Reports(now int64, name string) (out []Report) {
	k := c.candidates[name]
	if k == nil {
		return nil
	}
	for from, g := range k.evidence {
		out = append(out, Report{from, now - g.at, g.Sketch.Samples(), g.Sketch.Median(), g.Sketch.Score()})
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Proxy, b.Proxy) })
	return out
}
