package consensus

import "saddleport/internal/cluster/views"

// Ballot orders proposals: by number, then by proposer.
type Ballot struct {
	Number   uint64 `json:"n"`
	Proposer string `json:"b"`
}

// Less reports whether b precedes o.
func (b Ballot) Less(o Ballot) bool {
	return b.Number < o.Number || b.Number == o.Number && b.Proposer < o.Proposer
}

// Proposal is a view that was proposed under a ballot.
type Proposal struct {
	Ballot Ballot     `json:"b"`
	View   views.View `json:"v"`
}
