package outlier

import (
	"cmp"
	"slices"
)

// Ejected is a member that is ejected.
type Ejected struct {
	Name      string  `json:"n"`
	Shard     string  `json:"s"`
	Ratio     float64 `json:"r"` // latency as a multiple of the peers' median
	Age       int64   `json:"a"` // microseconds from the ejection to the publication
	Reporters int     `json:"m"` // number of proxies that reported evidence
	Samples   int     `json:"c"`
}

// Assignment is the list of ejected members that the holder of the aggregator role publishes under
// its epoch.
type Assignment struct {
	Epoch     uint64    `json:"e"`
	Seq       uint64    `json:"q"` // increases with each publication
	Ejected   []Ejected `json:"p,omitempty"`
	Requested []string  `json:"k,omitempty"` // members for which evidence is requested, in addition to the ejected ones
	Publisher string    `json:"b"`
}

// Empty reports whether the assignment contains no members.
func (a Assignment) Empty() bool { return len(a.Ejected)+len(a.Requested) == 0 }

// timedEvidence is evidence with the time at which it was received.
type timedEvidence struct {
	Evidence
	at int64
}

// candidate is a member that at least one proxy suspects, or that is or was ejected.
type candidate struct {
	name, shard string
	evidence    map[string]timedEvidence // by proxy
	requestedAt int64                    // when evidence was requested; 0: not requested
	ejectedAt   int64                    // 0: not ejected
	lastSlowAt  int64                    // when the evidence last indicated slowness during the ejection
	restoredAt  int64                    // when the member was last restored; 0: never
	ejected     Ejected
}

// Aggregator merges the evidence of all proxies and decides which members are ejected. It runs in one
// process at a time; the next one starts from the last published assignment. It is not safe for
// concurrent use.
type Aggregator struct {
	cfg          Config
	epoch        uint64
	by           string
	seq          uint64
	publishedAt  int64
	candidates   map[string]*candidate
	Ejections    int // number of ejections so far
	Restorations int // number of restorations so far
}

const (
	maxCandidates = 2048
	maxReporters  = 512 // proxies whose evidence on one member is stored
	maxRequested  = 64
	maxEjected    = 256
)

// NewAggregator returns the aggregator of a process that holds the role under an epoch. It starts
// from the last published assignment.
func NewAggregator(now int64, cfg Config, by string, epoch uint64, previous Assignment) *Aggregator {
	agg := &Aggregator{cfg: cfg, epoch: epoch, by: by, seq: previous.Seq, candidates: make(map[string]*candidate)}
	for _, ejected := range previous.Ejected[:min(len(previous.Ejected), maxEjected)] {
		agg.candidates[ejected.Name] = &candidate{name: ejected.Name, shard: ejected.Shard, evidence: make(map[string]timedEvidence), ejectedAt: now - ejected.Age, lastSlowAt: now, ejected: ejected}
	}
	return agg
}

// AddEvidence records the evidence of a proxy, which replaces earlier evidence of the same proxy on the
// same member.
func (agg *Aggregator) AddEvidence(now int64, proxy string, list []Evidence) {
	for _, evidence := range list[:min(len(list), maxReported)] {
		cand := agg.candidates[evidence.Name]
		if cand == nil {
			if len(agg.candidates) >= maxCandidates || evidence.Name == "" || evidence.Sketch.h == nil {
				continue
			}
			cand = &candidate{name: evidence.Name, shard: evidence.Shard, evidence: make(map[string]timedEvidence)}
			agg.candidates[evidence.Name] = cand
		}
		if _, known := cand.evidence[proxy]; !known && len(cand.evidence) >= maxReporters || evidence.Sketch.h == nil {
			continue
		}
		cand.evidence[proxy] = timedEvidence{evidence, now}
	}
}

// merged returns the merged evidence of all proxies on a member, the number of proxies that reported,
// the number of those whose evidence indicates slowness, and the size of the shard.
func (agg *Aggregator) merged(now int64, cand *candidate) (sketch Sketch, reporters, slowReporters, shardSize int) {
	sketch = newSketch()
	for proxy, evidence := range cand.evidence {
		if now-evidence.at > agg.cfg.EvidenceLifetime {
			delete(cand.evidence, proxy)
			continue
		}
		sketch.Merge(evidence.Sketch)
		if reporters++; evidence.Sketch.Score() > 0 {
			slowReporters++
		}
		shardSize = max(shardSize, evidence.ShardSize)
	}
	return sketch, reporters, slowReporters, shardSize
}

// Step decides which members are ejected and restored. members returns the number of members of a
// shard, 0 if unknown; proxies is the number of proxies. Step returns the assignment to publish, and
// false if there is nothing to publish.
func (agg *Aggregator) Step(now int64, proxies int, members func(shard string) int) (Assignment, bool) {
	changed := false
	qualified := make(map[string][]*candidate) // by shard: members whose evidence suffices for an ejection
	shardSizes := make(map[string]int)
	for name, cand := range agg.candidates {
		sketch, reporters, slowReporters, shardSize := agg.merged(now, cand)
		if size := members(cand.shard); size > 0 {
			shardSize = size
		}
		shardSizes[cand.shard] = max(shardSizes[cand.shard], shardSize)
		score, median, samples := sketch.Score(), sketch.Median(), sketch.Samples()
		ejectScore := agg.cfg.EjectScore
		if cand.restoredAt != 0 && now-cand.restoredAt < agg.cfg.ProbationTime {
			ejectScore /= 2
		}
		switch {
		case cand.ejectedAt != 0:
			recovered := samples >= agg.cfg.MinRestoreSamples && median <= agg.cfg.RestoreRatio
			if score > 0 {
				cand.lastSlowAt = now
			}
			if now-cand.ejectedAt >= agg.cfg.MinEjectionTime && (recovered || now-max(cand.lastSlowAt, cand.ejectedAt) > agg.cfg.NoEvidenceTimeout) {
				agg.restore(now, cand)
				changed = true
				continue
			}
			if samples >= agg.cfg.MinRestoreSamples {
				cand.ejected.Ratio, cand.ejected.Reporters, cand.ejected.Samples = median, reporters, samples
			}
			qualified[cand.shard] = append(qualified[cand.shard], cand)
		case reporters == 0:
			if cand.requestedAt != 0 {
				cand.requestedAt, changed = 0, true
			}
			if cand.restoredAt == 0 || now-cand.restoredAt >= agg.cfg.ProbationTime {
				delete(agg.candidates, name)
			}
		case score >= agg.cfg.RequestScore && cand.requestedAt == 0:
			cand.requestedAt, changed = now, true
		case cand.requestedAt != 0 && score <= 0 && now-cand.requestedAt >= agg.cfg.EvidenceDelay:
			cand.requestedAt, changed = 0, true
			cand.evidence = make(map[string]timedEvidence)
		case cand.requestedAt != 0 && now-cand.requestedAt >= agg.cfg.EvidenceDelay && score >= ejectScore && samples >= agg.cfg.MinEjectSamples && slowReporters >= min(2, proxies):
			cand.ejected = Ejected{Name: cand.name, Shard: cand.shard, Ratio: median, Reporters: reporters, Samples: samples}
			qualified[cand.shard] = append(qualified[cand.shard], cand)
		}
	}
	for shard, candidates := range qualified {
		changed = agg.applyShardLimit(now, candidates, shardSizes[shard]) || changed
	}
	active := slices.ContainsFunc(sortedCandidates(agg.candidates), func(cand *candidate) bool { return cand.ejectedAt != 0 || cand.requestedAt != 0 })
	if !changed && !(active && now-agg.publishedAt >= agg.cfg.RenewInterval) {
		return Assignment{}, false
	}
	agg.publishedAt = now
	agg.seq++
	return agg.Assignment(now), true
}

// applyShardLimit ejects the slowest of the qualified members of a shard, up to MaxEjectedShare of the
// shard, and reports whether anything changed. If the majority of the shard is slow, no member is
// ejected, because too few would be left to serve requests.
func (agg *Aggregator) applyShardLimit(now int64, candidates []*candidate, shardSize int) (changed bool) {
	limit := int(float64(shardSize) * agg.cfg.MaxEjectedShare)
	majoritySlow := 2*len(candidates) > shardSize
	recentlyEjected := func(cand *candidate) int { // 1 if the member was ejected less than MinEjectionTime ago and therefore stays ejected
		if cand.ejectedAt != 0 && now-cand.ejectedAt < agg.cfg.MinEjectionTime {
			return 1
		}
		return 0
	}
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(recentlyEjected(b)-recentlyEjected(a), cmp.Compare(b.ejected.Ratio, a.ejected.Ratio), cmp.Compare(a.name, b.name))
	})
	for i, cand := range candidates {
		switch withinLimit := !majoritySlow && i < limit; {
		case withinLimit && cand.ejectedAt == 0:
			cand.ejectedAt, cand.requestedAt, changed = now, 0, true
			agg.Ejections++
		case !withinLimit && cand.ejectedAt != 0 && recentlyEjected(cand) == 0:
			agg.restore(now, cand)
			changed = true
		}
	}
	return changed
}

// restore ends the ejection of a member and discards the evidence against it.
func (agg *Aggregator) restore(now int64, cand *candidate) {
	cand.ejectedAt, cand.requestedAt, cand.restoredAt = 0, 0, now
	cand.evidence = make(map[string]timedEvidence)
	agg.Restorations++
}

// Assignment returns the current decisions of the aggregator.
func (agg *Aggregator) Assignment(now int64) Assignment {
	assignment := Assignment{Epoch: agg.epoch, Seq: agg.seq, Publisher: agg.by}
	for _, cand := range sortedCandidates(agg.candidates) {
		if cand.ejectedAt != 0 && len(assignment.Ejected) < maxEjected {
			ejected := cand.ejected
			ejected.Age = now - cand.ejectedAt
			assignment.Ejected = append(assignment.Ejected, ejected)
		} else if cand.requestedAt != 0 && len(assignment.Requested) < maxRequested {
			assignment.Requested = append(assignment.Requested, cand.name)
		}
	}
	return assignment
}

// sortedCandidates returns the candidates ordered by name.
func sortedCandidates(candidates map[string]*candidate) []*candidate {
	sorted := make([]*candidate, 0, len(candidates))
	for _, cand := range candidates {
		sorted = append(sorted, cand)
	}
	slices.SortFunc(sorted, func(a, b *candidate) int { return cmp.Compare(a.name, b.name) })
	return sorted
}

// Report is the evidence of one proxy on a member.
type Report struct {
	Proxy   string
	Age     int64 // microseconds since the evidence was received
	Samples int
	Median  float64
	Score   float64
}

// Reports returns the evidence on a member, ordered by proxy.
func (agg *Aggregator) Reports(now int64, name string) (reports []Report) {
	cand := agg.candidates[name]
	if cand == nil {
		return nil
	}
	for proxy, evidence := range cand.evidence {
		reports = append(reports, Report{proxy, now - evidence.at, evidence.Sketch.Samples(), evidence.Sketch.Median(), evidence.Sketch.Score()})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Proxy, b.Proxy) })
	return reports
}
