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
	Role   string
	Epoch  uint64
	Holder string
}

// markBits is the part of an epoch that is a mark of its holder.
const holderHashBits = 32

func newEpoch(term uint64, role, holder string) uint64 {
	return term<<holderHashBits | xxhash.Sum64String(role+"\x00"+holder)&(1<<holderHashBits-1)
}

// Number is what an epoch counts: takeovers of its duty.
func TermOf(epoch uint64) uint64 { return epoch >> holderHashBits }

// Order is the agreed order of processes for a duty: by a hash of both, so that duties are
// spread.
func PreferenceOrder(role string, processes []string) []string {
	out := slices.Clone(processes)
	position := func(p string) uint64 { return xxhash.Sum64String(role + "\x00" + p) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(position(a), position(b)), strings.Compare(a, b)) })
	return out
}

// Machine is the duties as one process sees them. It is not safe for concurrent use.
type Table struct {
	self       string
	claimDelay int64 // microseconds that this one is the first before it claims
	roles      []string
	claims     map[string]Claim
	firstSince map[string]int64 // since when this one is the first of a duty's order
}

// New returns the duties of a process, which claims one once it was the first of its order
// for so long.
func New(self string, claimDelay int64, roles ...string) *Table {
	return &Table{self: self, claimDelay: claimDelay, roles: roles, claims: make(map[string]Claim), firstSince: make(map[string]int64)}
}

// Told takes a claim, its own or another's, and tells whether it is the highest known.
func (m *Table) Observe(c Claim) bool {
	was, known := m.claims[c.Role]
	if known && c.Epoch <= was.Epoch || !slices.Contains(m.roles, c.Role) {
		return false
	}
	m.claims[c.Role] = c
	return true
}

// Holds tells whether this process holds a duty, and under which epoch.
func (m *Table) Holds(role string) (epoch uint64, holds bool) {
	c := m.claims[role]
	return c.Epoch, c.Holder == m.self
}

// Holder is who holds a duty as far as is known.
func (m *Table) Holder(role string) (Claim, bool) {
	c, known := m.claims[role]
	return c, known
}

// Refuses tells whether work under an epoch comes too late: a higher one is known.
func (m *Table) IsStale(role string, epoch uint64) bool { return epoch < m.claims[role].Epoch }

// Tick returns the claims that this process makes now; able tells which processes live
// and may have a duty, this one included.
func (m *Table) Tick(now int64, candidates func(role string) []string) (claims []Claim) {
	for _, role := range m.roles {
		if order := PreferenceOrder(role, candidates(role)); len(order) == 0 || order[0] != m.self {
			delete(m.firstSince, role)
			continue
		}
		if _, holds := m.Holds(role); holds {
			continue
		}
		since, known := m.firstSince[role]
		if !known {
			m.firstSince[role] = now
			since = now
		}
		if now-since < m.claimDelay {
			continue
		}
		c := Claim{Role: role, Epoch: newEpoch(m.claims[role].Epoch>>holderHashBits+1, role, m.self), Holder: m.self}
		m.Observe(c)
		claims = append(claims, c)
	}
	return claims
}
