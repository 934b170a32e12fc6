// Package views holds what the control-plane machines agree on: who the voting members are,
// in which order they form the replication chain, and the viewstamp by which replicated
// entries are ordered. The terms are those of Viewstamped Replication (Oki and Liskov, 1988)
// and of chain replication (van Renesse and Schneider, 2004). The package decides nothing.
package views

import (
	"errors"
	"fmt"
	"slices"
)

// ErrUnsafe is returned for a view that must not be put in force.
var ErrUnsafe = errors.New("unsafe view")

// Member is one disk of the control plane, at an address. A machine that comes back with an
// empty disk is another member.
type Member struct {
	Addr   string `json:"a"`
	DiskID string `json:"d"`
}

func (m Member) String() string { return m.Addr + "/" + m.DiskID }

// View is what a majority of the previous view's voters has agreed on: who votes, in which
// order, and which of them form the chain, from head to tail.
type View struct {
	Epoch     uint64   `json:"e"`
	Members   []Member `json:"m"`
	Chain     []Member `json:"c"`
	Base      uint64   `json:"b"`           // version of an entry: every member of this view stores that one or a newer one
	BaseEpoch uint64   `json:"f,omitempty"` // epoch of the same entry
}

// Majority returns how many members are more than half.
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// Has reports whether m is a member.
func (v View) Has(m Member) bool { return slices.Contains(v.Members, m) }

// BaseViewstamp returns the viewstamp of the entry that the view rests on.
func (v View) BaseViewstamp() Viewstamp { return Viewstamp{Epoch: v.BaseEpoch, Version: v.Base} }

// Head returns the first of the chain; the zero Member if there is no view.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail returns the last of the chain; the zero Member if there is no view.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

// Check returns what makes a view unsafe: the chain must be made of members and be more than
// half of them, so that whatever it acknowledged is on the disk of one member of every
// majority.
func (v View) Check() error {
	seen := make(map[Member]bool)
	for _, m := range v.Members {
		if seen[m] {
			return fmt.Errorf("epoch %d: %s is a member twice: %w", v.Epoch, m, ErrUnsafe)
		}
		seen[m] = true
	}
	in := make(map[Member]bool)
	for _, m := range v.Chain {
		if !seen[m] || in[m] {
			return fmt.Errorf("epoch %d: %s is in the chain and no member, or twice: %w", v.Epoch, m, ErrUnsafe)
		}
		in[m] = true
	}
	if len(v.Chain) < v.Majority() {
		return fmt.Errorf("epoch %d: a chain of %d is not more than half of %d: %w", v.Epoch, len(v.Chain), len(v.Members), ErrUnsafe)
	}
	return nil
}

// Viewstamp orders entries: first by the epoch of the view whose head last confirmed them,
// then by version. An entry that the head of an earlier view stored and could not have
// acknowledged is thereby older than every entry of a later view, even under the same
// revision.
type Viewstamp struct {
	Epoch         uint64 `json:"e"`
	Version       uint64 `json:"r"`
	HistoryDigest uint64 `json:"l,omitempty"` // of the entry; it orders nothing
}

// Less orders viewstamps.
func (s Viewstamp) Less(o Viewstamp) bool {
	return s.Epoch < o.Epoch || s.Epoch == o.Epoch && s.Version < o.Version
}
