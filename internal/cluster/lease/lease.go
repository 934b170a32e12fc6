// Package lease owns which duty is whose. Every process has the same order of all processes
// for a duty; the first of it that lives takes the duty on, under an epoch above all that
// it has heard of, and whoever does work for a duty refuses epochs below the highest it
// knows. It must never have two holders under one epoch, hold a duty of which a higher
// epoch is known, or act: it only tells.
package lease

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Claim says that a process holds a duty from an epoch on. The epoch's lower bits tell
// claims apart that two made at once, not knowing of one another.
type Claim struct {
	Duty   string
	Epoch  uint64
	Holder string
}

// markBits is the part of an epoch that is a mark of its holder.
const markBits = 32

func epoch(number uint64, duty, holder string) uint64 {
	return number<<markBits | xxhash.Sum64String(duty+"\x00"+holder)&(1<<markBits-1)
}

// Number is what an epoch counts: takeovers of its duty.
func Number(epoch uint64) uint64 { return epoch >> markBits }

// Order is the agreed order of processes for a duty: by a hash of both, so that duties are
// spread.
func Order(duty string, processes []string) []string {
	out := slices.Clone(processes)
	place := func(p string) uint64 { return xxhash.Sum64String(duty + "\x00" + p) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(place(a), place(b)), strings.Compare(a, b)) })
	return out
}

// Machine is the duties as one process sees them. It is not safe for concurrent use.
type Machine struct {
	self   string
	settle int64 // microseconds that this one is the first before it claims
	duties []string
	held   map[string]Claim
	first  map[string]int64 // since when this one is the first of a duty's order
}

// New returns the duties of a process, which claims one once it was the first of its order
// for so long.
func New(self string, settle int64, duties ...string) *Machine {
	return &Machine{self: self, settle: settle, duties: duties, held: make(map[string]Claim), first: make(map[string]int64)}
}

// Told takes a claim, its own or another's, and tells whether it is the highest known.
func (m *Machine) Told(c Claim) bool {
	was, known := m.held[c.Duty]
	if known && c.Epoch <= was.Epoch || !slices.Contains(m.duties, c.Duty) {
		return false
	}
	m.held[c.Duty] = c
	return true
}

// Holds tells whether this process holds a duty, and under which epoch.
func (m *Machine) Holds(duty string) (epoch uint64, holds bool) {
	c := m.held[duty]
	return c.Epoch, c.Holder == m.self
}

// Holder is who holds a duty as far as is known.
func (m *Machine) Holder(duty string) (Claim, bool) {
	c, known := m.held[duty]
	return c, known
}

// Refuses tells whether work under an epoch comes too late: a higher one is known.
func (m *Machine) Refuses(duty string, epoch uint64) bool { return epoch < m.held[duty].Epoch }

// Tick returns the claims that this process makes now; able tells which processes live
// and may have a duty, this one included.
func (m *Machine) Tick(now int64, able func(duty string) []string) (claims []Claim) {
	for _, duty := range m.duties {
		if order := Order(duty, able(duty)); len(order) == 0 || order[0] != m.self {
			delete(m.first, duty)
			continue
		}
		if _, holds := m.Holds(duty); holds {
			continue
		}
		since, known := m.first[duty]
		if !known {
			m.first[duty] = now
			since = now
		}
		if now-since < m.settle {
			continue
		}
		c := Claim{Duty: duty, Epoch: epoch(m.held[duty].Epoch>>markBits+1, duty, m.self), Holder: m.self}
		m.Told(c)
		claims = append(claims, c)
	}
	return claims
}
