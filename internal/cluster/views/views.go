// Package views holds what the control-plane machines agree on: who the voting members are,
// in which order they form the replication chain, and the viewstamp by which replicated
// entries are ordered. The terms are those of Viewstamped Replication (Oki and Liskov, 1988)
// and of chain replication (van Renesse and Schneider, 2004). The package decides nothing.
package views

import (
	"fmt"
	"slices"
)

// Member is one disk of the core, at an address. A machine that comes back with an empty
// disk is another member.
type Member struct {
	Addr   string `json:"a"`
	DiskID string `json:"d"`
}

func (m Member) String() string { return m.Addr + "/" + m.DiskID }

// View is what most of the voters of the view before have agreed on: who votes, in which
// order, and which of them form the chain, from head to tail.
type View struct {
	Epoch     uint64   `json:"e"`
	Members   []Member `json:"m"`
	Chain     []Member `json:"c"`
	Base      uint64   `json:"b"`           // rank of an entry: whoever is in this view holds that one or a newer one
	BaseEpoch uint64   `json:"f,omitempty"` // of the same entry
}

// Majority is how many members are more than half.
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// Has tells whether m is a member.
func (v View) Has(m Member) bool { return slices.Contains(v.Members, m) }

// BaseStamp is the stamp of the entry that goes with the view.
func (v View) BaseViewstamp() Viewstamp { return Viewstamp{Epoch: v.BaseEpoch, Version: v.Base} }

// Head is the first of the chain; the zero Member where there is no view.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail is the last of the chain; the zero Member where there is no view.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

// Check holds a view to what makes it safe: the chain is made of members, and is more than
// half of them, so that whatever it acknowledged is on the disk of one in every majority.
func (v View) Check() error {
	seen := make(map[Member]bool)
	for _, m := range v.Members {
		if seen[m] {
			return fmt.Errorf("epoch %d: %s is a member twice", v.Epoch, m)
		}
		seen[m] = true
	}
	in := make(map[Member]bool)
	for _, m := range v.Chain {
		if !seen[m] || in[m] {
			return fmt.Errorf("epoch %d: %s is in the chain and no member, or twice", v.Epoch, m)
		}
		in[m] = true
	}
	if len(v.Chain) < v.Majority() {
		return fmt.Errorf("epoch %d: a chain of %d is not more than half of %d", v.Epoch, len(v.Chain), len(v.Members))
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

// Less orders stamps.
func (s Viewstamp) Less(o Viewstamp) bool {
	return s.Epoch < o.Epoch || s.Epoch == o.Epoch && s.Version < o.Version
}
