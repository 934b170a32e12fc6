package outlier

import (
	"cmp"
	"slices"
)

// ActiveEjection is a member whose ejection is in force in one proxy.
type ActiveEjection struct {
	Ejected
	Since     int64
	LocalOnly bool // the ejection is based on this proxy's own evidence only
}

// Change is a change of the ejections in force: a member was ejected, was restored (Restored), or is
// still ejected with a much higher or lower latency ratio (Updated).
type Change struct {
	ActiveEjection
	Restored, Updated bool
}

// sameRatio is the factor within which two latency ratios count as equal.
const sameRatio = 1.5

// Ejections is the set of ejections in force in one proxy. It contains the assignment that the
// aggregator publishes, as long as the aggregator renews it, and ejections by the proxy's own
// evidence, under a stricter rule. It is not safe for concurrent use.
type Ejections struct {
	cfg        Config
	assignment Assignment
	version    uint64
	assignedAt int64 // when an assignment was last received; 0: never
	ejected    map[string]ActiveEjection
}

// NewEjections returns a set without any ejections.
func NewEjections(cfg Config) *Ejections {
	return &Ejections{cfg: cfg, ejected: make(map[string]ActiveEjection)}
}

// Observe stores a published assignment with its version and reports whether it is newer than the
// stored one.
func (e *Ejections) Observe(now int64, version uint64, assignment Assignment) bool {
	if version <= e.version {
		return false
	}
	e.version, e.assignment, e.assignedAt = version, assignment, now
	return true
}

// Assignment returns the last published assignment, and whether it is still valid.
func (e *Ejections) Assignment(now int64) (Assignment, bool) {
	if e.assignedAt == 0 || now-e.assignedAt > e.cfg.AssignmentLifetime {
		return Assignment{}, false
	}
	return e.assignment, true
}

// Idle reports whether there are no ejections in force or to apply. Step then has nothing to do unless a
// member is suspected.
func (e *Ejections) Idle(now int64) bool {
	assignment, valid := e.Assignment(now)
	return len(e.ejected) == 0 && (!valid || assignment.Empty())
}

// Step updates the ejections from the last valid assignment and from the proxy's own evidence, and
// returns what changed, ordered by name. members returns the number of members of a shard.
func (e *Ejections) Step(now int64, members func(shard string) int, observers ...*Observer) (changes []Change) {
	wanted := make(map[string]ActiveEjection)
	assignment, valid := e.Assignment(now)
	if valid {
		for _, ejected := range assignment.Ejected {
			wanted[ejected.Name] = ActiveEjection{Ejected: ejected, Since: e.assignedAt - ejected.Age}
		}
	}
	e.addLocal(now, members, observers, wanted)
	for name, ejection := range e.ejected {
		if _, stillEjected := wanted[name]; !stillEjected {
			delete(e.ejected, name)
			changes = append(changes, Change{ActiveEjection: ejection, Restored: true})
		}
	}
	for name, ejection := range wanted {
		previous, known := e.ejected[name]
		if known {
			if ejection.Since = previous.Since; ejection.Ratio < previous.Ratio*sameRatio && previous.Ratio < ejection.Ratio*sameRatio {
				ejection.Ratio = previous.Ratio // keep the former ratio, so that no change is reported
			}
		}
		if e.ejected[name] = ejection; !known || ejection.Ratio != previous.Ratio {
			changes = append(changes, Change{ActiveEjection: ejection, Updated: known})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// addLocal adds ejections by this proxy's own evidence, on which the aggregator has not acted: at most
// one member of a shard in which no member is ejected and the majority is not suspected. The member
// must have been suspected for LocalEjectDelay, with a higher score than the aggregator requires.
// The ejection lasts for the lifetime of an assignment, because an ejected member receives too few
// requests for new evidence.
func (e *Ejections) addLocal(now int64, members func(string) int, observers []*Observer, wanted map[string]ActiveEjection) {
	shardTaken, suspectsByShard := make(map[string]bool), make(map[string]int)
	for _, ejection := range wanted {
		shardTaken[ejection.Shard] = true
	}
	for name, ejection := range e.ejected {
		if ejection.LocalOnly && !shardTaken[ejection.Shard] && now-ejection.Since < e.cfg.AssignmentLifetime {
			wanted[name], shardTaken[ejection.Shard] = ejection, true
		}
	}
	var suspects []LocalView
	for _, observer := range observers {
		suspects = append(suspects, observer.suspects(now)...)
	}
	for _, suspect := range suspects {
		suspectsByShard[suspect.Shard]++
	}
	for _, suspect := range suspects {
		shardSize := members(suspect.Shard)
		if shardTaken[suspect.Shard] || shardSize < 3 || 2*suspectsByShard[suspect.Shard] > shardSize || suspect.SuspectedFor < e.cfg.LocalEjectDelay || suspect.Score < e.cfg.EjectScore*e.cfg.LocalScoreFactor {
			continue
		}
		shardTaken[suspect.Shard] = true
		wanted[suspect.Name] = ActiveEjection{Ejected: Ejected{Name: suspect.Name, Shard: suspect.Shard, Ratio: suspect.Median, Reporters: 1, Samples: suspect.Samples}, Since: now, LocalOnly: true}
	}
}

// Ratio returns the latency of an ejected member as a multiple of its peers' median, and 0 if the
// member is not ejected.
func (e *Ejections) Ratio(name string) float64 { return e.ejected[name].Ratio }

// All returns the ejected members, ordered by shard and name.
func (e *Ejections) All() []ActiveEjection {
	ejections := make([]ActiveEjection, 0, len(e.ejected))
	for _, a := range e.ejected {
		ejections = append(ejections, a)
	}
	slices.SortFunc(ejections, func(a, b ActiveEjection) int {
		return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Name, b.Name))
	})
	return ejections
}
