// Package antientropy limits the rate at which outdated replicas are repaired. A reader that
// finds an outdated replica repairs it (read repair); a background sweep, which one process runs
// as a singleton role, finds the remaining ones. The package decides how often one replica is
// repaired and how fast the sweep advances. It never lets older data replace newer data, and
// never has a replica repaired again while a repair of it may still be running.
package antientropy

import "slices"

// Config tunes repairs. Times are microseconds of the caller's clock.
type Config struct {
	RepairInterval int64 // minimum time between two repairs of the same replica
	SweepInterval  int64 // time between two replicas that the sweep checks
	MaxTracked     int   // maximum number of replicas whose last repair is remembered
}

// DefaultConfig is the configuration used in production.
var DefaultConfig = Config{RepairInterval: 1_000_000, SweepInterval: 1_000_000, MaxTracked: 512}

// Repairer schedules the repairs of one process. It is not safe for concurrent use.
type Repairer struct {
	cfg         Config
	repairedAt  map[string]int64 // when a replica was last repaired
	lastSwept   string           // the replica that the sweep checked last
	nextSweepAt int64            // when the sweep checks the next replica
	stats       Stats
}

// Stats counts repairs and sweep checks since the start of the process.
type Stats struct {
	Repairs int // repairs of replicas that a read found outdated
	Swept   int // replicas checked by the sweep
	Rounds  int // completed passes of the sweep over all replicas
}

// New returns a repairer without any recorded repairs.
func New(cfg Config) *Repairer { return &Repairer{cfg: cfg, repairedAt: make(map[string]int64)} }

// ShouldRepair compares the version that a read found on a replica with the reader's own version
// and reports whether the reader is to repair the replica now. It returns false if the replica is
// up to date or newer, or if its last repair is less than RepairInterval ago.
func (r *Repairer) ShouldRepair(now int64, replica string, version, own uint64) bool {
	if version >= own {
		delete(r.repairedAt, replica)
		return false
	}
	if at, known := r.repairedAt[replica]; known && now-at < r.cfg.RepairInterval {
		return false
	}
	if len(r.repairedAt) >= r.cfg.MaxTracked {
		r.expire(now)
	}
	if len(r.repairedAt) < r.cfg.MaxTracked {
		r.repairedAt[replica] = now
	}
	r.stats.Repairs++
	return true
}

// expire forgets repairs that no longer delay another one.
func (r *Repairer) expire(now int64) {
	for replica, at := range r.repairedAt {
		if now-at >= r.cfg.RepairInterval {
			delete(r.repairedAt, replica)
		}
	}
}

// Sweep returns the replica to check now, in sorted order from call to call. due is false if
// SweepInterval has not passed since the last check, or if there are no replicas. Replicas that
// are added or removed between calls do not make the sweep skip any other.
func (r *Repairer) Sweep(now int64, replicas []string) (replica string, due bool) {
	if now < r.nextSweepAt || len(replicas) == 0 {
		return "", false
	}
	sorted := slices.Clone(replicas)
	slices.Sort(sorted)
	r.nextSweepAt = now + r.cfg.SweepInterval
	next, found := slices.BinarySearch(sorted, r.lastSwept)
	if found {
		next++
	}
	if next >= len(sorted) {
		next = 0
		r.stats.Rounds++
	}
	r.lastSwept = sorted[next]
	r.stats.Swept++
	return r.lastSwept, true
}

// Stats returns the current counts.
func (r *Repairer) Stats() Stats { return r.stats }
