// Package lease decides which process holds each singleton role. Every process computes the
// same order of all processes for a role; the first one that is alive claims it under an epoch
// above all that it has heard of, and whoever works for a role rejects lower epochs. There are
// never two holders under one epoch, and a process does not hold a role of which it knows a
// higher epoch. The package only reports; it does not act.
package lease

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Claim says that a process holds a role from an epoch on. The low bits of the epoch are a
// hash of the holder, which distinguishes two claims that were made at the same time.
type Claim struct {
	Role   string
	Epoch  uint64
	Holder string
}

// holderHashBits is the part of an epoch that is a hash of its holder.
const holderHashBits = 32

func newEpoch(term uint64, role, holder string) uint64 {
	return term<<holderHashBits | xxhash.Sum64String(role+"\x00"+holder)&(1<<holderHashBits-1)
}

// TermOf returns the term of an epoch: how often the role has been taken over.
func TermOf(epoch uint64) uint64 { return epoch >> holderHashBits }

// PreferenceOrder returns the agreed order of processes for a role: by a hash of both, so that
// roles are spread over processes.
func PreferenceOrder(role string, processes []string) []string {
	out := slices.Clone(processes)
	position := func(p string) uint64 { return xxhash.Sum64String(role + "\x00" + p) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(position(a), position(b)), strings.Compare(a, b)) })
	return out
}

// Table is the roles as one process sees them. It is not safe for concurrent use.
type Table struct {
	self       string
	claimDelay int64 // microseconds that this one is the first before it claims
	roles      []string
	claims     map[string]Claim
	firstSince map[string]int64 // since when this one is the first of a duty's order
}

// New returns the table of a process that claims a role once it has been the first of the
// role's order for claimDelay microseconds.
func New(self string, claimDelay int64, roles ...string) *Table {
	return &Table{self: self, claimDelay: claimDelay, roles: roles, claims: make(map[string]Claim), firstSince: make(map[string]int64)}
}

// Observe takes a claim, its own or another's, and reports whether it is the highest known.
func (t *Table) Observe(c Claim) bool {
	was, known := t.claims[c.Role]
	if known && c.Epoch <= was.Epoch || !slices.Contains(t.roles, c.Role) {
		return false
	}
	t.claims[c.Role] = c
	return true
}

// Holds reports whether this process holds a role, and under which epoch.
func (t *Table) Holds(role string) (epoch uint64, holds bool) {
	c := t.claims[role]
	return c.Epoch, c.Holder == t.self
}

// Holder returns the highest claim that is known for a role.
func (t *Table) Holder(role string) (Claim, bool) {
	c, known := t.claims[role]
	return c, known
}

// IsStale reports whether work under an epoch comes too late: a higher one is known.
func (t *Table) IsStale(role string, epoch uint64) bool { return epoch < t.claims[role].Epoch }

// Tick returns the claims that this process makes now. candidates returns the live processes
// that may hold a role, this one included.
func (t *Table) Tick(now int64, candidates func(role string) []string) (claims []Claim) {
	for _, role := range t.roles {
		if order := PreferenceOrder(role, candidates(role)); len(order) == 0 || order[0] != t.self {
			delete(t.firstSince, role)
			continue
		}
		if _, holds := t.Holds(role); holds {
			continue
		}
		since, known := t.firstSince[role]
		if !known {
			t.firstSince[role] = now
			since = now
		}
		if now-since < t.claimDelay {
			continue
		}
		c := Claim{Role: role, Epoch: newEpoch(t.claims[role].Epoch>>holderHashBits+1, role, t.self), Holder: t.self}
		t.Observe(c)
		claims = append(claims, c)
	}
	return claims
}
