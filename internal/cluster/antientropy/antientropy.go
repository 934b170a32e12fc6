// Package antientropy limits the repair of outdated replicas. A reader that finds a replica
// outdated repairs it, and a sweep that one process does as a singleton role finds the rest.
// The package owns how often one replica is repaired and how fast the sweep goes. It never
// lets newer data be replaced by older, nor one replica be repaired again while a repair is
// under way.
package antientropy

import "slices"

// Config tunes repairs. Times are microseconds of the caller's clock.
type Config struct {
	RepairInterval int64 // the same replica is not repaired again sooner
	SweepInterval  int64 // between two replicas that the sweep checks
	MaxTracked     int   // replicas that are remembered
}

// DefaultConfig is the configuration for service.
var DefaultConfig = Config{RepairInterval: 1_000_000, SweepInterval: 1_000_000, MaxTracked: 512}

// Repairer schedules the repairs of one process. It is not safe for concurrent use.
type Repairer struct {
	cfg         Config
	repairedAt  map[string]int64 // when a replica was last repaired
	lastSwept   string           // the sweep's last copy
	nextSweepAt int64            // its next look
	stats       Stats
}

// Stats counts repairs.
type Stats struct {
	Repairs int // replicas that a read found outdated
	Swept   int // replicas that the sweep checked
	Rounds  int // times that the sweep has checked all
}

// New returns a repairer that has repaired nothing.
func New(cfg Config) *Repairer { return &Repairer{cfg: cfg, repairedAt: make(map[string]int64)} }

// ShouldRepair takes the version that a read found at a replica beside the reader's own, and
// reports whether the reader is to repair the replica now.
func (r *Repairer) ShouldRepair(now int64, copy string, version, own uint64) bool {
	if version >= own {
		delete(r.repairedAt, copy)
		return false
	}
	if at, known := r.repairedAt[copy]; known && now-at < r.cfg.RepairInterval {
		return false
	}
	if len(r.repairedAt) >= r.cfg.MaxTracked {
		r.expire(now)
	}
	if len(r.repairedAt) < r.cfg.MaxTracked {
		r.repairedAt[copy] = now
	}
	r.stats.Repairs++
	return true
}

func (r *Repairer) expire(now int64) {
	for c, at := range r.repairedAt {
		if now-at >= r.cfg.RepairInterval {
			delete(r.repairedAt, c)
		}
	}
}

// Sweep returns the replica that the sweep checks now, one after another in their order; due
// is false if it is not yet time. Replicas that come or go meanwhile make it skip none.
func (r *Repairer) Sweep(now int64, copies []string) (copy string, due bool) {
	if now < r.nextSweepAt || len(copies) == 0 {
		return "", false
	}
	sorted := slices.Clone(copies)
	slices.Sort(sorted)
	r.nextSweepAt = now + r.cfg.SweepInterval
	i, found := slices.BinarySearch(sorted, r.lastSwept)
	if found {
		i++
	}
	if i >= len(sorted) {
		i = 0
		r.stats.Rounds++
	}
	r.lastSwept = sorted[i]
	r.stats.Swept++
	return r.lastSwept, true
}

// Stats returns the counts so far.
func (r *Repairer) Stats() Stats { return r.stats }
