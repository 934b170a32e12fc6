// Package antientropy owns the repair of copies: whoever reads a copy and finds it old has it
// mended, and a sweep that one process does as its duty finds the rest. It owns how often
// one copy is mended and how fast the sweep goes. It must never overwrite newer with older,
// or mend one copy over and over while the first time is still on its way.
package antientropy

import "slices"

// Config tunes repairs; times are microseconds of the caller's clock.
type Config struct {
	Again int64 // a copy is not mended again sooner
	Sweep int64 // between two copies that the sweep looks at
	Most  int   // copies kept in mind
}

// Usual is the configuration for service.
var Usual = Config{Again: 1_000_000, Sweep: 1_000_000, Most: 512}

// Machine is the repairs of one process. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	at    map[string]int64 // when a copy was last mended
	last  string           // the sweep's last copy
	next  int64            // its next look
	stats Stats
}

// Stats counts repairs.
type Stats struct {
	Reads  int // copies found old by a read
	Swept  int // looks of the sweep
	Rounds int // times that the sweep has gone over all
}

// New returns repairs of which none was made.
func New(cfg Config) *Machine { return &Machine{cfg: cfg, at: make(map[string]int64)} }

// Saw takes what a read found of a copy, its rank beside the rank of the reader's own, and
// tells whether the reader is to mend it now.
func (m *Machine) Saw(now int64, copy string, rank, own uint64) bool {
	if rank >= own {
		delete(m.at, copy)
		return false
	}
	if at, known := m.at[copy]; known && now-at < m.cfg.Again {
		return false
	}
	if len(m.at) >= m.cfg.Most {
		m.forget(now)
	}
	if len(m.at) < m.cfg.Most {
		m.at[copy] = now
	}
	m.stats.Reads++
	return true
}

func (m *Machine) forget(now int64) {
	for c, at := range m.at {
		if now-at >= m.cfg.Again {
			delete(m.at, c)
		}
	}
}

// Sweep returns the copy that the sweep looks at now, one after another in their order;
// none where it is not yet time. Copies that come or go meanwhile make it skip none.
func (m *Machine) Sweep(now int64, copies []string) (copy string, due bool) {
	if now < m.next || len(copies) == 0 {
		return "", false
	}
	sorted := slices.Clone(copies)
	slices.Sort(sorted)
	m.next = now + m.cfg.Sweep
	i, found := slices.BinarySearch(sorted, m.last)
	if found {
		i++
	}
	if i >= len(sorted) {
		i = 0
		m.stats.Rounds++
	}
	m.last = sorted[i]
	m.stats.Swept++
	return m.last, true
}

// Stats are the counts so far.
func (m *Machine) Stats() Stats { return m.stats }
