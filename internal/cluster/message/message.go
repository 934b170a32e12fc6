package message

// Kind names the type of a message's body on the wire.
type Kind string

// Body is what a message says: one of the types below.
type Body interface{ Kind() Kind }

// Message is one message between core machines.
type Message struct {
	From, To Member
	Epoch    uint64 // of the view that it belongs to
	Body     Body
}

// Verdict is what became of an order.
type Verdict uint8

// The verdicts.
const (
	Undecided        Verdict = iota // nothing is known to have become of it
	UpdateAccepted                  // it is in force as it was sent, or was until a newer version came
	UpdateSuperseded                // a newer version is in force; what was under its own number is not known any more
	UpdateConflict                  // other content was taken under its number
)

// The messages of the chain.
type (
	// Enter asks the head to take an order. Without the entry, the head is asked again for
	// one that it was sent before.
	UpdateRequest struct {
		ID      string `json:"i"`
		Version uint64 `json:"r"`
		Digest  uint64 `json:"d"`
		Entry   *Entry `json:"n,omitempty"`
	}
	// Entered answers Enter.
	UpdateResponse struct {
		ID      string  `json:"i"`
		Verdict Verdict `json:"v"`
		Reason  string  `json:"y,omitempty"` // of Refused
	}
	// Pass hands an entry to the next in the chain. Without the entry, the next one most
	// likely holds it.
	Forward struct {
		Version       uint64 `json:"r"`
		HistoryDigest uint64 `json:"l"`
		Entry         *Entry `json:"n,omitempty"`
	}
	// Ack tells the one before that all from here to the tail hold a rank.
	Acknowledge struct {
		Version uint64 `json:"r"`
	}
	// Lacks tells the one before that the entry that was passed by its rank is not here.
	EntryMissing struct {
		Version uint64 `json:"r"`
	}
	// Read asks the tail for the newest acknowledged entry.
	QueryRequest struct {
		ID string `json:"i"`
	}
	// ReadResult answers Read.
	QueryResponse struct {
		ID     string `json:"i"`
		Entry  *Entry `json:"n,omitempty"`
		Reason string `json:"y,omitempty"` // of a refusal
	}
	// Confirm asks a member whether the view is still its own.
	ConfirmView struct {
		ID string `json:"i"`
	}
	// Confirmed says that it is.
	ViewConfirmed struct {
		ID        string    `json:"i"`
		Viewstamp Viewstamp `json:"s"` // of what the member holds
	}
	// Repair brings a copy that was found old up to date.
	Repair struct {
		Entry Entry `json:"n"`
	}
	// Waiting says that a call is known here and waits for others.
	RequestPending struct {
		ID string `json:"i"`
	}
)

// The messages of the agreement.
type (
	// Heartbeat tells the others that a member lives, and what it holds.
	Heartbeat struct {
		Viewstamp Viewstamp `json:"s"`
		HasQuorum bool      `json:"c,omitempty"` // it has heard most members lately
		Leaving   bool      `json:"l,omitempty"`
	}
	// Join asks to be taken in, from one that is no member.
	Join struct {
		Viewstamp Viewstamp `json:"s"`
		Leaving   bool      `json:"l,omitempty"` // it has left and only wants to know what the others hold
	}
	// Prepare begins a ballot.
	Prepare struct {
		Ballot    Ballot    `json:"b"`
		Viewstamp Viewstamp `json:"s"`           // of what the proposer holds
		Joiner    *Member   `json:"j,omitempty"` // to one that is to be taken in: who that is
		Entry     *Entry    `json:"n,omitempty"` // for a joiner that is behind
	}
	// Promise answers Prepare.
	Promise struct {
		Ballot    Ballot    `json:"b"`
		Viewstamp Viewstamp `json:"s"`
		Joiner    bool      `json:"j,omitempty"` // it has no vote
		Accepted  *Proposal `json:"a,omitempty"`
		Entry     *Entry    `json:"n,omitempty"` // newer than what the proposer holds
	}
	// Accept is the second phase of a ballot.
	Accept struct {
		Ballot    Ballot    `json:"b"`
		Viewstamp Viewstamp `json:"s"`
		View      View      `json:"v"`
		Entry     *Entry    `json:"n,omitempty"`
	}
	// AcceptedBallot answers Accept.
	Accepted struct {
		Ballot Ballot `json:"b"`
	}
	// Nack tells a proposer that a higher ballot was promised.
	Nack struct {
		Ballot Ballot `json:"b"`
	}
	// Decide tells a view that was agreed on.
	Decide struct {
		View  View   `json:"v"`
		Entry *Entry `json:"n,omitempty"`
	}
	// Suspect tells all that a member does not answer.
	Suspect struct {
		Member Member `json:"m"`
	}
)

// Kind implements Body.
func (UpdateRequest) Kind() Kind  { return "enter" }
func (UpdateResponse) Kind() Kind { return "entered" }
func (Forward) Kind() Kind        { return "pass" }
func (Acknowledge) Kind() Kind    { return "ack" }
func (EntryMissing) Kind() Kind   { return "lacks" }
func (QueryRequest) Kind() Kind   { return "read" }
func (QueryResponse) Kind() Kind  { return "read-result" }
func (ConfirmView) Kind() Kind    { return "confirm" }
func (ViewConfirmed) Kind() Kind  { return "confirmed" }
func (Repair) Kind() Kind         { return "repair" }
func (RequestPending) Kind() Kind { return "waiting" }
func (Heartbeat) Kind() Kind      { return "heartbeat" }
func (Join) Kind() Kind           { return "join" }
func (Prepare) Kind() Kind        { return "prepare" }
func (Promise) Kind() Kind        { return "promise" }
func (Accept) Kind() Kind         { return "accept" }
func (Accepted) Kind() Kind       { return "accepted" }
func (Nack) Kind() Kind           { return "nack" }
func (Decide) Kind() Kind         { return "decide" }
func (Suspect) Kind() Kind        { return "suspect" }

// Carried is the content that a message brings with it; nil: none.
func ContentOf(body Body) []byte {
	if e := entryOf(body); e != nil {
		return e.Content
	}
	return nil
}

func entryOf(body Body) *Entry {
	switch b := body.(type) {
	case UpdateRequest:
		return b.Entry
	case Forward:
		return b.Entry
	case QueryResponse:
		return b.Entry
	case Repair:
		return &b.Entry
	case Prepare:
		return b.Entry
	case Promise:
		return b.Entry
	case Accept:
		return b.Entry
	case Decide:
		return b.Entry
	}
	return nil
}
