package chain

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"
	"unicode/utf8"

	"saddleport/internal/cluster/views"
)

// DigestBits is the number of low bits of a version that are taken from the digest of the content.
// The revision is in the bits above.
const DigestBits = 16

// MaxPrevious is the maximum number of earlier revisions that an entry lists.
const MaxPrevious = 64

// MaxRevision is the highest revision that fits into a version.
const MaxRevision = 1<<47 - 1

// RevisionOf returns the operator's revision number in a version.
func RevisionOf(version uint64) uint64 { return version >> DigestBits }

// PastRevision records a configuration that was replaced: its revision and the digest of its
// content.
type PastRevision struct {
	Revision uint64 `json:"v"`
	Digest   uint64 `json:"d"`
}

// Entry is a configuration as the control plane stores it.
type Entry struct {
	Epoch          uint64         // of the view whose head last confirmed it
	Version        uint64         // the revision in the high bits, bits of the digest in the low ones
	Digest         uint64         // of Content
	Content        []byte         // as the operator sent it
	Previous       []PastRevision // the entries that it replaced, the newest last, at most MaxPrevious
	HistoryDigest  uint64         // of its content and of all entries that it replaced
	ContentOmitted bool           // Content was left out: the receiver stores it already
}

// NewEntry returns the entry of a configuration that an operator has sent.
func NewEntry(revision uint64, content []byte) Entry {
	sum := sha256.Sum256(content)
	digest := binary.BigEndian.Uint64(sum[:])
	return Entry{Version: revision<<DigestBits | digest>>(64-DigestBits), Digest: digest, Content: content}
}

// Viewstamp returns the viewstamp that orders the entry among others.
func (e Entry) Viewstamp() views.Viewstamp {
	return views.Viewstamp{Epoch: e.Epoch, Version: e.Version, HistoryDigest: e.HistoryDigest}
}

// WithoutKnownContent returns the entry as it is sent to a process whose stored entry has the given
// viewstamp: without its content if that process stores the same entry.
func (e Entry) WithoutKnownContent(stored views.Viewstamp) Entry {
	if e.Matches(stored.Version, stored.HistoryDigest) {
		return Entry{Epoch: e.Epoch, Version: e.Version, HistoryDigest: e.HistoryDigest, ContentOmitted: true}
	}
	return e
}

// Matches reports whether the entry has the given version and history digest. The heads of two
// views may accept the same content after different entries; these are then different entries.
func (e Entry) Matches(version, historyDigest uint64) bool {
	return e.Version == version && e.HistoryDigest == historyDigest
}

// Following returns the entry as the one that replaces previous in an epoch.
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

// digestHistory returns the history digest of an entry that follows one whose history digest is
// previous.
func digestHistory(previous, version, digest uint64) uint64 {
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], previous)
	binary.BigEndian.PutUint64(b[8:], version)
	binary.BigEndian.PutUint64(b[16:], digest)
	sum := sha256.Sum256(b[:])
	return binary.BigEndian.Uint64(sum[:])
}

// entryJSON is the form of an entry on disk and on the wire. Content that is valid UTF-8 is written
// as text, so that a compressor can find its repetitions. Other content, and all content that
// earlier releases have stored, is in base64.
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

// MarshalJSON implements json.Marshaler. It preserves every byte of the content.
func (e Entry) MarshalJSON() ([]byte, error) {
	form := entryJSON{Epoch: e.Epoch, Version: e.Version, Digest: e.Digest, Previous: e.Previous, HistoryDigest: e.HistoryDigest, ContentOmitted: e.ContentOmitted}
	if utf8.Valid(e.Content) {
		form.Text = string(e.Content)
	} else {
		form.Binary = e.Content
	}
	return json.Marshal(form)
}

// UnmarshalJSON implements json.Unmarshaler. It reads both forms of the content.
func (e *Entry) UnmarshalJSON(text []byte) error {
	var form entryJSON
	if err := json.Unmarshal(text, &form); err != nil {
		return err
	}
	*e = Entry{Epoch: form.Epoch, Version: form.Version, Digest: form.Digest, Content: form.Binary, Previous: form.Previous, HistoryDigest: form.HistoryDigest, ContentOmitted: form.ContentOmitted}
	if form.Text != "" {
		e.Content = []byte(form.Text)
	}
	if e.Digest == 0 && len(e.Content) > 0 { // stored by an earlier release
		e.Digest = NewEntry(0, e.Content).Digest
	}
	return nil
}
