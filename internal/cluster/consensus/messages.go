package consensus

import (
	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// The messages of the agreement on views. The phases are those of Paxos.
type (
	// Heartbeat informs the other members that the sender is alive and what it stores.
	Heartbeat struct {
		Viewstamp views.Viewstamp `json:"s"`
		HasQuorum bool            `json:"c,omitempty"` // it has recently heard from a majority
		Leaving   bool            `json:"l,omitempty"` // it wants to hand its vote over
	}
	// Join asks for a vote; it comes from a process that is no member.
	Join struct {
		Viewstamp views.Viewstamp `json:"s"`
		Leaving   bool            `json:"l,omitempty"` // it has left and only asks what the members store
	}
	// Prepare is the first phase of a ballot.
	Prepare struct {
		Ballot    Ballot          `json:"b"`
		Viewstamp views.Viewstamp `json:"s"`           // of the entry that the proposer stores
		Joiner    *views.Member   `json:"j,omitempty"` // set for a learner that is to get a vote: the learner itself
		Entry     *chain.Entry    `json:"n,omitempty"` // for a learner whose entry is outdated
	}
	// Promise answers Prepare. It may be sent only once the promise is durable.
	Promise struct {
		Ballot    Ballot          `json:"b"`
		Viewstamp views.Viewstamp `json:"s"`
		Joiner    bool            `json:"j,omitempty"` // the sender is a learner and has no vote
		Accepted  *Proposal       `json:"a,omitempty"` // what the sender has accepted in this epoch
		Entry     *chain.Entry    `json:"n,omitempty"` // if it is newer than the proposer's
	}
	// Accept is the second phase of a ballot.
	Accept struct {
		Ballot    Ballot          `json:"b"`
		Viewstamp views.Viewstamp `json:"s"`
		View      views.View      `json:"v"`
		Entry     *chain.Entry    `json:"n,omitempty"`
	}
	// Accepted answers Accept. It may be sent only once the acceptance is durable.
	Accepted struct {
		Ballot Ballot `json:"b"`
	}
	// Nack informs a proposer that a higher ballot was promised.
	Nack struct {
		Ballot Ballot `json:"b"`
	}
	// Decide announces a view that a majority has accepted.
	Decide struct {
		View  views.View   `json:"v"`
		Entry *chain.Entry `json:"n,omitempty"`
	}
	// Suspect informs all members that one of them does not answer.
	Suspect struct {
		Member views.Member `json:"m"`
	}
)

// Kind implements envelope.Body.
func (Heartbeat) Kind() envelope.Kind { return "heartbeat" }
func (Join) Kind() envelope.Kind      { return "join" }
func (Prepare) Kind() envelope.Kind   { return "prepare" }
func (Promise) Kind() envelope.Kind   { return "promise" }
func (Accept) Kind() envelope.Kind    { return "accept" }
func (Accepted) Kind() envelope.Kind  { return "accepted" }
func (Nack) Kind() envelope.Kind      { return "nack" }
func (Decide) Kind() envelope.Kind    { return "decide" }
func (Suspect) Kind() envelope.Kind   { return "suspect" }

// AttachedEntry implements chain.EntryCarrier.
func (b Prepare) AttachedEntry() *chain.Entry { return b.Entry }

// AttachedEntry implements chain.EntryCarrier.
func (b Promise) AttachedEntry() *chain.Entry { return b.Entry }

// AttachedEntry implements chain.EntryCarrier.
func (b Accept) AttachedEntry() *chain.Entry { return b.Entry }

// AttachedEntry implements chain.EntryCarrier.
func (b Decide) AttachedEntry() *chain.Entry { return b.Entry }

// WithEntry implements chain.EntryCarrier.
func (b Prepare) WithEntry(entry *chain.Entry) envelope.Body { b.Entry = entry; return b }

// WithEntry implements chain.EntryCarrier.
func (b Promise) WithEntry(entry *chain.Entry) envelope.Body { b.Entry = entry; return b }

// WithEntry implements chain.EntryCarrier.
func (b Accept) WithEntry(entry *chain.Entry) envelope.Body { b.Entry = entry; return b }

// WithEntry implements chain.EntryCarrier.
func (b Decide) WithEntry(entry *chain.Entry) envelope.Body { b.Entry = entry; return b }
