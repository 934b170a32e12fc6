// Package lease decides which process holds each singleton role. Every process computes the
// same order of all processes for a role. The first process in it that is alive claims the role
// under an epoch above every epoch that it knows, and processes that are asked to act for a role
// reject lower epochs. An epoch never has two holders, and a process does not hold a role for
// which it knows a higher epoch. The package only returns claims; it does not act on them.
package lease

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Claim states that a process holds a role from an epoch on. The low bits of the epoch are a
// hash of role and holder, which distinguishes two claims that were made at the same time.
type Claim struct {
	Role   string
	Epoch  uint64
	Holder string
}

// holderHashBits is the number of low bits of an epoch that are a hash of its role and holder.
const holderHashBits = 32

// newEpoch returns the epoch of a claim: the term in the high bits, the hash in the low ones.
func newEpoch(term uint64, role, holder string) uint64 {
	return term<<holderHashBits | xxhash.Sum64String(role+"\x00"+holder)&(1<<holderHashBits-1)
}

// TermOf returns the term of an epoch: the number of times the role has been claimed.
func TermOf(epoch uint64) uint64 { return epoch >> holderHashBits }

// PreferenceOrder returns the processes in the order in which they are preferred for a role. They are
// sorted by a hash of role and process, so that every process computes the same order and roles are
// spread over processes.
func PreferenceOrder(role string, processes []string) []string {
	out := slices.Clone(processes)
	position := func(p string) uint64 { return xxhash.Sum64String(role + "\x00" + p) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(position(a), position(b)), strings.Compare(a, b)) })
	return out
}

// Table tracks the holders of roles as one process knows them. It is not safe for concurrent use.
type Table struct {
	self       string
	claimDelay int64 // how long this process must be the first of a role's order before it claims the role, in microseconds
	roles      []string
	claims     map[string]Claim // the highest known claim of each role
	firstSince map[string]int64 // by role: since when this process is the first of its order
}

// New returns the table of a process that claims a role once it has been the first of the
// role's order for claimDelay microseconds.
func New(self string, claimDelay int64, roles ...string) *Table {
	return &Table{self: self, claimDelay: claimDelay, roles: roles, claims: make(map[string]Claim), firstSince: make(map[string]int64)}
}

// Observe records a claim of this or another process, and reports whether it is now the highest known
// one. Claims of roles that the table does not know are ignored.
func (t *Table) Observe(c Claim) bool {
	previous, known := t.claims[c.Role]
	if known && c.Epoch <= previous.Epoch || !slices.Contains(t.roles, c.Role) {
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

// Holder returns the highest known claim of a role.
func (t *Table) Holder(role string) (Claim, bool) {
	c, known := t.claims[role]
	return c, known
}

// IsStale reports whether an epoch of a role is outdated because a higher one is known.
func (t *Table) IsStale(role string, epoch uint64) bool { return epoch < t.claims[role].Epoch }

// Tick returns the claims that this process makes now. candidates returns the processes that are
// alive and may hold a role, this one included.
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
