// Package antientropy owns the repair of copies: whoever reads a copy and finds it old has it
// mended, and a sweep that one process does as its duty finds the rest. It owns how often
// one copy is mended and how fast the sweep goes. It must never overwrite newer with older,
// or mend one copy over and over while the first time is still on its way.
package antientropy

import "slices"

// Config tunes repairs; times are microseconds of the caller's clock.
type Config struct {
	RepairInterval int64 // a copy is not mended again sooner
	SweepInterval  int64 // between two copies that the sweep looks at
	MaxTracked     int   // copies kept in mind
}

// Usual is the configuration for service.
var DefaultConfig = Config{RepairInterval: 1_000_000, SweepInterval: 1_000_000, MaxTracked: 512}

// Machine is the repairs of one process. It is not safe for concurrent use.
type Repairer struct {
	cfg         Config
	repairedAt  map[string]int64 // when a copy was last mended
	lastSwept   string           // the sweep's last copy
	nextSweepAt int64            // its next look
	stats       Stats
}

// Stats counts repairs.
type Stats struct {
	Repairs int // copies found old by a read
	Swept   int // looks of the sweep
	Rounds  int // times that the sweep has gone over all
}

// New returns repairs of which none was made.
func New(cfg Config) *Repairer { return &Repairer{cfg: cfg, repairedAt: make(map[string]int64)} }

// Saw takes what a read found of a copy, its rank beside the rank of the reader's own, and
// tells whether the reader is to mend it now.
func (m *Repairer) ShouldRepair(now int64, copy string, version, own uint64) bool {
	if version >= own {
		delete(m.repairedAt, copy)
		return false
	}
	if at, known := m.repairedAt[copy]; known && now-at < m.cfg.RepairInterval {
		return false
	}
	if len(m.repairedAt) >= m.cfg.MaxTracked {
		m.expire(now)
	}
	if len(m.repairedAt) < m.cfg.MaxTracked {
		m.repairedAt[copy] = now
	}
	m.stats.Repairs++
	return true
}

func (m *Repairer) expire(now int64) {
	for c, at := range m.repairedAt {
		if now-at >= m.cfg.RepairInterval {
			delete(m.repairedAt, c)
		}
	}
}

// Sweep returns the copy that the sweep looks at now, one after another in their order;
// none where it is not yet time. Copies that come or go meanwhile make it skip none.
func (m *Repairer) Sweep(now int64, copies []string) (copy string, due bool) {
	if now < m.nextSweepAt || len(copies) == 0 {
		return "", false
	}
	sorted := slices.Clone(copies)
	slices.Sort(sorted)
	m.nextSweepAt = now + m.cfg.SweepInterval
	i, found := slices.BinarySearch(sorted, m.lastSwept)
	if found {
		i++
	}
	if i >= len(sorted) {
		i = 0
		m.stats.Rounds++
	}
	m.lastSwept = sorted[i]
	m.stats.Swept++
	return m.lastSwept, true
}

// Stats are the counts so far.
func (m *Repairer) Stats() Stats { return m.stats }
