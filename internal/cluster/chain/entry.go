package chain

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"
	"unicode/utf8"

	"saddleport/internal/cluster/views"
)

// MarkBits is the number of bits of a rank below its version.
const DigestBits = 16

// MostPrevious is how many earlier orders an entry names.
const MaxPrevious = 64

// MostVersion is the highest version that a rank has room for.
const MaxRevision = 1<<47 - 1

// Version is the version of a rank.
func RevisionOf(version uint64) uint64 { return version >> DigestBits }

// Order is what is remembered of a configuration that was overtaken: its version, and a
// digest that stands for its bytes.
type PastRevision struct {
	Revision uint64 `json:"v"`
	Digest   uint64 `json:"d"`
}

// Entry is a configuration as the core keeps it.
type Entry struct {
	Epoch          uint64         // of the view whose head last vouched for it
	Version        uint64         // the version above, a mark of the bytes below
	Digest         uint64         // of the bytes
	Content        []byte         // as the operator sent it
	Previous       []PastRevision // those before it, the newest last, MostPrevious at most
	HistoryDigest  uint64         // stands for its content and for all orders that were taken before it
	ContentOmitted bool           // there is no content: it is for one that holds the same
}

// NewEntry makes an entry of an operator's bytes.
func NewEntry(revision uint64, content []byte) Entry {
	sum := sha256.Sum256(content)
	digest := binary.BigEndian.Uint64(sum[:])
	return Entry{Version: revision<<DigestBits | digest>>(64-DigestBits), Digest: digest, Content: content}
}

// Stamp is the entry's place in the order of entries.
func (e Entry) Viewstamp() views.Viewstamp {
	return views.Viewstamp{Epoch: e.Epoch, Version: e.Version, HistoryDigest: e.HistoryDigest}
}

// For is the entry as it is told to one that holds something of a stamp: without its content
// if that is the same, for contents are large.
func (e Entry) WithoutKnownContent(stored views.Viewstamp) Entry {
	if e.Matches(stored.Version, stored.HistoryDigest) {
		return Entry{Epoch: e.Epoch, Version: e.Version, HistoryDigest: e.HistoryDigest, ContentOmitted: true}
	}
	return e
}

// Same tells whether an entry has a rank and a lineage. One content may be taken twice, by the
// heads of two views, after different orders: then it is not the same entry.
func (e Entry) Matches(version, historyDigest uint64) bool {
	return e.Version == version && e.HistoryDigest == historyDigest
}

// After is the entry as it follows another one, in an epoch.
func (e Entry) Following(previous Entry, epoch uint64) Entry {
	e.Epoch = epoch
	e.HistoryDigest = digestHistory(previous.HistoryDigest, e.Version, e.Digest)
	e.Previous = slices.Clone(previous.Previous)
	if previous.Version > 0 {
		e.Previous = append(e.Previous, PastRevision{RevisionOf(previous.Version), previous.Digest})
	}
	if extra := len(e.Previous) - MaxPrevious; extra > 0 {
		e.Previous = slices.Delete(e.Previous, 0, extra)
	}
	return e
}

func digestHistory(before, version, digest uint64) uint64 {
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], before)
	binary.BigEndian.PutUint64(b[8:], version)
	binary.BigEndian.PutUint64(b[16:], digest)
	sum := sha256.Sum256(b[:])
	return binary.BigEndian.Uint64(sum[:])
}

// entryForm is how an entry is told and kept: text as text, for base64 hides from those
// who pack it that its lines are alike; what is no text, and what older programs kept, as
// base64.
type entryJSON struct {
	Epoch          uint64         `json:"e,omitempty"`
	Version        uint64         `json:"r"`
	Digest         uint64         `json:"d,omitempty"`
	Text           string         `json:"t,omitempty"`
	Binary         []byte         `json:"w,omitempty"`
	Previous       []PastRevision `json:"p,omitempty"`
	HistoryDigest  uint64         `json:"l,omitempty"`
	ContentOmitted bool           `json:"h,omitempty"`
}

// MarshalJSON keeps every byte.
func (e Entry) MarshalJSON() ([]byte, error) {
	form := entryJSON{Epoch: e.Epoch, Version: e.Version, Digest: e.Digest, Previous: e.Previous, HistoryDigest: e.HistoryDigest, ContentOmitted: e.ContentOmitted}
	if utf8.Valid(e.Content) {
		form.Text = string(e.Content)
	} else {
		form.Binary = e.Content
	}
	return json.Marshal(form)
}

// UnmarshalJSON takes both forms.
func (e *Entry) UnmarshalJSON(text []byte) error {
	var form entryJSON
	if err := json.Unmarshal(text, &form); err != nil {
		return err
	}
	*e = Entry{Epoch: form.Epoch, Version: form.Version, Digest: form.Digest, Content: form.Binary, Previous: form.Previous, HistoryDigest: form.HistoryDigest, ContentOmitted: form.ContentOmitted}
	if form.Text != "" {
		e.Content = []byte(form.Text)
	}
	if e.Digest == 0 && len(e.Content) > 0 { // kept by an older program
		e.Digest = NewEntry(0, e.Content).Digest
	}
	return nil
}
