package consensus

import (
	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// The messages of the agreement on views. The phases are those of Paxos.
type (
	// Heartbeat informs the other members that the sender is alive, and of the viewstamp of
	// the entry that it stores.
	Heartbeat struct {
		Viewstamp views.Viewstamp `json:"s"`
		HasQuorum bool            `json:"c,omitempty"` // the sender has recently heard from a majority
		Leaving   bool            `json:"l,omitempty"` // the sender wants to hand over its vote
	}
	// Join asks for a vote. It is sent by a process without a vote, and by HandleMisaddressed.
	Join struct {
		Viewstamp views.Viewstamp `json:"s"`
		Leaving   bool            `json:"l,omitempty"` // the sender is leaving and wants no vote, only the members' view and entry
	}
	// Prepare is the first phase of a ballot.
	Prepare struct {
		Ballot    Ballot          `json:"b"`
		Viewstamp views.Viewstamp `json:"s"`           // of the entry that the proposer stores
		Joiner    *views.Member   `json:"j,omitempty"` // the learner that is to get a vote, and the receiver; nil if the receiver is a member
		Entry     *chain.Entry    `json:"n,omitempty"` // for a learner whose entry is outdated
	}
	// Promise answers Prepare. It may be sent only once the promise is durable. It also answers
	// an Accept whose base entry the sender lacks: the proposer then sends the Accept again with
	// the entry.
	Promise struct {
		Ballot    Ballot          `json:"b"`
		Viewstamp views.Viewstamp `json:"s"`           // of the entry that the sender stores
		Joiner    bool            `json:"j,omitempty"` // the sender is a learner and has no vote
		Accepted  *Proposal       `json:"a,omitempty"` // the proposal that the sender has accepted for this epoch
		Entry     *chain.Entry    `json:"n,omitempty"` // the sender's entry, if it is newer than the proposer's
	}
	// Accept is the second phase of a ballot.
	Accept struct {
		Ballot    Ballot          `json:"b"`
		Viewstamp views.Viewstamp `json:"s"` // of the entry that the proposer stores
		View      views.View      `json:"v"`
		Entry     *chain.Entry    `json:"n,omitempty"` // if the receiver's entry is older than the base of the view
	}
	// Accepted answers Accept. It may be sent only once the acceptance is durable.
	Accepted struct {
		Ballot Ballot `json:"b"`
	}
	// Nack informs a proposer that the sender has promised a higher ballot.
	Nack struct {
		Ballot Ballot `json:"b"` // the higher ballot
	}
	// Decide announces a view that a majority has accepted.
	Decide struct {
		View  views.View   `json:"v"`
		Entry *chain.Entry `json:"n,omitempty"` // if the receiver's entry is older than the base of the view
	}
	// Suspect informs all members that one of them makes no progress.
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
