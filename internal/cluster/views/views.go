// Package views defines what the control-plane machines agree on: which members vote, in which
// order they form the replication chain, and the viewstamp by which replicated entries are
// ordered. The terms are those of Viewstamped Replication (Oki and Liskov, 1988) and of chain
// replication (van Renesse and Schneider, 2004). The package contains only these types and makes
// no decisions.
package views

import (
	"errors"
	"fmt"
	"slices"
)

// ErrUnsafe is returned for a view that must not be adopted.
var ErrUnsafe = errors.New("unsafe view")

// Member is one disk of the control plane, at an address. A machine that returns with an empty
// disk is another member.
type Member struct {
	Addr   string `json:"a"`
	DiskID string `json:"d"`
}

func (m Member) String() string { return m.Addr + "/" + m.DiskID }

// View is what a majority of the previous view's members has agreed on: which members vote, in
// which order, and which of them form the chain, from head to tail.
type View struct {
	Epoch     uint64   `json:"e"`
	Members   []Member `json:"m"`
	Chain     []Member `json:"c"`
	Base      uint64   `json:"b"`           // version of an entry: every member of this view stores this entry or a newer one
	BaseEpoch uint64   `json:"f,omitempty"` // epoch of the same entry
}

// Majority returns the smallest number of members that is more than half.
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// Has reports whether m is a member.
func (v View) Has(m Member) bool { return slices.Contains(v.Members, m) }

// BaseViewstamp returns the viewstamp of the entry that the view is based on.
func (v View) BaseViewstamp() Viewstamp { return Viewstamp{Epoch: v.BaseEpoch, Version: v.Base} }

// Head returns the first member of the chain; the zero Member if the chain is empty.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail returns the last member of the chain; the zero Member if the chain is empty.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

// Check returns an error that wraps ErrUnsafe if the view is unsafe. The chain must consist of
// members and be more than half of them, so that every acknowledged entry is on the disk of at
// least one member of every majority.
func (v View) Check() error {
	members := make(map[Member]bool)
	for _, m := range v.Members {
		if members[m] {
			return fmt.Errorf("epoch %d: member %s is listed twice: %w", v.Epoch, m, ErrUnsafe)
		}
		members[m] = true
	}
	inChain := make(map[Member]bool)
	for _, m := range v.Chain {
		if !members[m] || inChain[m] {
			return fmt.Errorf("epoch %d: %s is in the chain twice or is not a member: %w", v.Epoch, m, ErrUnsafe)
		}
		inChain[m] = true
	}
	if len(v.Chain) < v.Majority() {
		return fmt.Errorf("epoch %d: a chain of %d is not a majority of %d members: %w", v.Epoch, len(v.Chain), len(v.Members), ErrUnsafe)
	}
	return nil
}

// Viewstamp orders entries: first by the epoch of the view whose head last confirmed them,
// then by version. An entry that the head of an earlier view stored without being able to
// acknowledge it is therefore older than every entry of a later view, even under the same
// revision.
type Viewstamp struct {
	Epoch         uint64 `json:"e"`
	Version       uint64 `json:"r"`
	HistoryDigest uint64 `json:"l,omitempty"` // of the entry; not part of the order
}

// Less reports whether s precedes o.
func (s Viewstamp) Less(o Viewstamp) bool {
	return s.Epoch < o.Epoch || s.Epoch == o.Epoch && s.Version < o.Version
}
