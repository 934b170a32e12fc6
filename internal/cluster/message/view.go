// Package message holds what core machines agree on and say to one another: members, views,
// entries, ballots, and one type for each message, with their form on the wire and on disk.
// It decides nothing.
package message

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

// Ballot orders proposals.
type Ballot struct {
	Number   uint64 `json:"n"`
	Proposer string `json:"b"`
}

// Less orders ballots.
func (b Ballot) Less(o Ballot) bool {
	return b.Number < o.Number || b.Number == o.Number && b.Proposer < o.Proposer
}

// Proposal is a view under a ballot.
type Proposal struct {
	Ballot Ballot `json:"b"`
	View   View   `json:"v"`
}
