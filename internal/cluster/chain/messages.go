package chain

import (
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// Verdict is the outcome of an update.
type Verdict uint8

// The verdicts.
const (
	Undecided        Verdict = iota // the outcome is unknown
	UpdateAccepted                  // the content is in force, or was until a newer revision replaced it
	UpdateSuperseded                // a newer revision is in force; what was accepted under this one is no longer known
	UpdateConflict                  // different content was accepted under the same revision
)

// The messages of chain replication.
type (
	// UpdateRequest asks the head to accept an entry. Without the entry it repeats a request
	// whose entry was sent to the head before.
	UpdateRequest struct {
		ID      string `json:"i"`
		Version uint64 `json:"r"`
		Digest  uint64 `json:"d"`
		Entry   *Entry `json:"n,omitempty"`
	}
	// UpdateResponse answers UpdateRequest.
	UpdateResponse struct {
		ID      string  `json:"i"`
		Verdict Verdict `json:"v"`
		Reason  string  `json:"y,omitempty"` // why the verdict is Undecided
	}
	// Forward sends an entry to the successor in the chain. The entry itself is left out if the
	// successor most likely stores it already.
	Forward struct {
		Version       uint64 `json:"r"`
		HistoryDigest uint64 `json:"l"`
		Entry         *Entry `json:"n,omitempty"`
	}
	// Acknowledge informs the predecessor that every member from the sender to the tail stores
	// a version.
	Acknowledge struct {
		Version uint64 `json:"r"`
	}
	// EntryMissing informs the predecessor that the sender does not store the entry of which
	// only the version was forwarded.
	EntryMissing struct {
		Version uint64 `json:"r"`
	}
	// QueryRequest asks the tail for the newest acknowledged entry.
	QueryRequest struct {
		ID string `json:"i"`
	}
	// QueryResponse answers QueryRequest.
	QueryResponse struct {
		ID     string `json:"i"`
		Entry  *Entry `json:"n,omitempty"`
		Reason string `json:"y,omitempty"` // why there is no entry
	}
	// ConfirmView asks a member whether the sender's view is still its current one.
	ConfirmView struct {
		ID string `json:"i"`
	}
	// ViewConfirmed answers ConfirmView.
	ViewConfirmed struct {
		ID        string          `json:"i"`
		Viewstamp views.Viewstamp `json:"s"` // of the entry that the member stores
	}
	// Repair replaces an entry that was found to be outdated.
	Repair struct {
		Entry Entry `json:"n"`
	}
	// RequestPending informs a caller that its request was received and waits for other members.
	RequestPending struct {
		ID string `json:"i"`
	}
)

// Kind implements envelope.Body.
func (UpdateRequest) Kind() envelope.Kind  { return "enter" }
func (UpdateResponse) Kind() envelope.Kind { return "entered" }
func (Forward) Kind() envelope.Kind        { return "pass" }
func (Acknowledge) Kind() envelope.Kind    { return "ack" }
func (EntryMissing) Kind() envelope.Kind   { return "lacks" }
func (QueryRequest) Kind() envelope.Kind   { return "read" }
func (QueryResponse) Kind() envelope.Kind  { return "read-result" }
func (ConfirmView) Kind() envelope.Kind    { return "confirm" }
func (ViewConfirmed) Kind() envelope.Kind  { return "confirmed" }
func (Repair) Kind() envelope.Kind         { return "repair" }
func (RequestPending) Kind() envelope.Kind { return "waiting" }

// EntryCarrier is a body that may carry an entry. The codec writes the entry's content
// separately from the rest of the message.
type EntryCarrier interface {
	envelope.Body
	AttachedEntry() *Entry                // nil: none
	WithEntry(entry *Entry) envelope.Body // a copy of the body with another entry
}

// ContentOf returns the content of the entry that a body carries; nil if it carries none.
func ContentOf(body envelope.Body) []byte {
	carrier, ok := body.(EntryCarrier)
	if !ok || carrier.AttachedEntry() == nil {
		return nil
	}
	return carrier.AttachedEntry().Content
}

// AttachedEntry implements EntryCarrier.
func (b UpdateRequest) AttachedEntry() *Entry { return b.Entry }

// AttachedEntry implements EntryCarrier.
func (b Forward) AttachedEntry() *Entry { return b.Entry }

// AttachedEntry implements EntryCarrier.
func (b QueryResponse) AttachedEntry() *Entry { return b.Entry }

// AttachedEntry implements EntryCarrier.
func (b Repair) AttachedEntry() *Entry { return &b.Entry }

// WithEntry implements EntryCarrier.
func (b UpdateRequest) WithEntry(entry *Entry) envelope.Body { b.Entry = entry; return b }

// WithEntry implements EntryCarrier.
func (b Forward) WithEntry(entry *Entry) envelope.Body { b.Entry = entry; return b }

// WithEntry implements EntryCarrier.
func (b QueryResponse) WithEntry(entry *Entry) envelope.Body { b.Entry = entry; return b }

// WithEntry implements EntryCarrier.
func (b Repair) WithEntry(entry *Entry) envelope.Body { b.Entry = *entry; return b }
