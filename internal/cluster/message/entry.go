package message

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"
	"unicode/utf8"
)

// MarkBits is the number of bits of a rank below its version.
const MarkBits = 16

// MostPrevious is how many earlier orders an entry names.
const MostPrevious = 64

// MostVersion is the highest version that a rank has room for.
const MostVersion = 1<<47 - 1

// Version is the version of a rank.
func Version(rank uint64) uint64 { return rank >> MarkBits }

// Stamp orders entries: first by the epoch of the view whose head last vouched for them,
// then by rank. What a head of an earlier view took and could not have acknowledged is
// thereby older than whatever a later view has, even under the same version.
type Stamp struct {
	Epoch   uint64 `json:"e"`
	Rank    uint64 `json:"r"`
	Lineage uint64 `json:"l,omitempty"` // of the entry; it orders nothing
}

// Less orders stamps.
func (s Stamp) Less(o Stamp) bool {
	return s.Epoch < o.Epoch || s.Epoch == o.Epoch && s.Rank < o.Rank
}

// Order is what is remembered of a configuration that was overtaken: its version, and a
// digest that stands for its bytes.
type Order struct {
	Version uint64 `json:"v"`
	Digest  uint64 `json:"d"`
}

// Entry is a configuration as the core keeps it.
type Entry struct {
	Epoch    uint64  // of the view whose head last vouched for it
	Rank     uint64  // the version above, a mark of the bytes below
	Digest   uint64  // of the bytes
	Raw      []byte  // as the operator sent it
	Previous []Order // those before it, the newest last, MostPrevious at most
	Lineage  uint64  // stands for its content and for all orders that were taken before it
	Bare     bool    // there is no content: it is for one that holds the same
}

// NewEntry makes an entry of an operator's bytes.
func NewEntry(version uint64, raw []byte) Entry {
	sum := sha256.Sum256(raw)
	digest := binary.BigEndian.Uint64(sum[:])
	return Entry{Rank: version<<MarkBits | digest>>(64-MarkBits), Digest: digest, Raw: raw}
}

// Stamp is the entry's place in the order of entries.
func (e Entry) Stamp() Stamp { return Stamp{e.Epoch, e.Rank, e.Lineage} }

// For is the entry as it is told to one that holds something of a stamp: without its content
// if that is the same, for contents are large.
func (e Entry) For(held Stamp) Entry {
	if e.Same(held.Rank, held.Lineage) {
		return Entry{Epoch: e.Epoch, Rank: e.Rank, Lineage: e.Lineage, Bare: true}
	}
	return e
}

// Same tells whether an entry has a rank and a lineage. One content may be taken twice, by the
// heads of two views, after different orders: then it is not the same entry.
func (e Entry) Same(rank, lineage uint64) bool { return e.Rank == rank && e.Lineage == lineage }

// After is the entry as it follows another one, in an epoch.
func (e Entry) After(held Entry, epoch uint64) Entry {
	e.Epoch = epoch
	e.Lineage = lineage(held.Lineage, e.Rank, e.Digest)
	e.Previous = slices.Clone(held.Previous)
	if held.Rank > 0 {
		e.Previous = append(e.Previous, Order{Version(held.Rank), held.Digest})
	}
	if extra := len(e.Previous) - MostPrevious; extra > 0 {
		e.Previous = slices.Delete(e.Previous, 0, extra)
	}
	return e
}

func lineage(before, rank, digest uint64) uint64 {
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], before)
	binary.BigEndian.PutUint64(b[8:], rank)
	binary.BigEndian.PutUint64(b[16:], digest)
	sum := sha256.Sum256(b[:])
	return binary.BigEndian.Uint64(sum[:])
}

// entryForm is how an entry is told and kept: text as text, for base64 hides from those
// who pack it that its lines are alike; what is no text, and what older programs kept, as
// base64.
type entryForm struct {
	Epoch    uint64  `json:"e,omitempty"`
	Rank     uint64  `json:"r"`
	Digest   uint64  `json:"d,omitempty"`
	Text     string  `json:"t,omitempty"`
	Raw      []byte  `json:"w,omitempty"`
	Previous []Order `json:"p,omitempty"`
	Lineage  uint64  `json:"l,omitempty"`
	Bare     bool    `json:"h,omitempty"`
}

// MarshalJSON keeps every byte.
func (e Entry) MarshalJSON() ([]byte, error) {
	form := entryForm{Epoch: e.Epoch, Rank: e.Rank, Digest: e.Digest, Previous: e.Previous, Lineage: e.Lineage, Bare: e.Bare}
	if utf8.Valid(e.Raw) {
		form.Text = string(e.Raw)
	} else {
		form.Raw = e.Raw
	}
	return json.Marshal(form)
}

// UnmarshalJSON takes both forms.
func (e *Entry) UnmarshalJSON(text []byte) error {
	var form entryForm
	if err := json.Unmarshal(text, &form); err != nil {
		return err
	}
	*e = Entry{Epoch: form.Epoch, Rank: form.Rank, Digest: form.Digest, Raw: form.Raw, Previous: form.Previous, Lineage: form.Lineage, Bare: form.Bare}
	if form.Text != "" {
		e.Raw = []byte(form.Text)
	}
	if e.Digest == 0 && len(e.Raw) > 0 { // kept by an older program
		e.Digest = NewEntry(0, e.Raw).Digest
	}
	return nil
}
