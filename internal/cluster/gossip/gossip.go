// Package gossip owns news: what each process holds of it, what it passes on to whom, and
// how two processes find by digests what one of them lacks. News is a value under a key
// with a rank; of two values of a key the one with the higher rank counts, wherever and
// whenever it comes from. It must never go back to a lower rank, do I/O, or send what the
// other side was seen to hold.
package gossip

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Item is one piece of news.
type Entry struct {
	Key     string          `json:"k"`
	Version uint64          `json:"r"`
	Value   json.RawMessage `json:"b,omitempty"` // nothing: the key is gone
}

// Gone tells whether the news is that the key is gone.
func (i Entry) Deleted() bool { return len(i.Value) == 0 }

// Buckets is the number of parts that a digest has.
const Buckets = 32

// Digest is a sum of what is held, by bucket. Two processes with equal digests hold the
// same keys at the same ranks; what is gone does not count.
type Digest [Buckets]uint64

const (
	maxEntries           = 20_000
	maxInlineValue       = 2048 // a body up to this many bytes travels with its news, others are fetched
	maxPendingPerMessage = 512  // items of one message
	tombstoneLifetime    = 120_000_000
)

type storedEntry struct {
	Entry
	seq           uint64 // when it was learned, in steps of the book
	changedAt     int64  // the same, in microseconds of the caller's clock
	transmitsLeft int    // times that it may still be passed on
	allZones      bool   // to every zone, not only to the own one
}

// Book is what one process holds. It is not safe for concurrent use.
type Store struct {
	entries    map[string]*storedEntry
	seq        uint64
	digest     Digest
	pending    []string // keys that are still passed on
	changeLog  []string // keys by seq, with those that changed since: compacted now and then
	changeSeqs []uint64
}

// NewBook returns a book that holds nothing.
func NewStore() *Store { return &Store{entries: make(map[string]*storedEntry)} }

func bucket(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

func entryHash(i Entry) uint64 {
	if i.Deleted() {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	d.WriteString(i.Key)
	d.WriteString("\x00")
	d.WriteString(strconv.FormatUint(i.Version, 16))
	return d.Sum64()
}

// Put takes news, and tells whether it was newer than what was held. passes is how many
// times it is to be passed on from here; wide, whether to every zone or to the own one.
func (b *Store) Put(now int64, i Entry, transmits int, allZones bool) bool {
	h := b.entries[i.Key]
	if h != nil && i.Version <= h.Version {
		return false
	}
	if h == nil {
		if i.Deleted() && transmits == 0 || len(b.entries) >= maxEntries {
			return false
		}
		h = &storedEntry{}
		b.entries[i.Key] = h
	} else {
		b.digest[bucket(i.Key)] ^= entryHash(h.Entry)
	}
	if h.transmitsLeft == 0 && transmits > 0 {
		b.pending = append(b.pending, i.Key)
	}
	b.seq++
	h.Entry, h.seq, h.changedAt, h.transmitsLeft, h.allZones = i, b.seq, now, transmits, allZones
	b.digest[bucket(i.Key)] ^= entryHash(i)
	b.changeLog, b.changeSeqs = append(b.changeLog, i.Key), append(b.changeSeqs, b.seq)
	if len(b.changeLog) > 2*len(b.entries)+64 {
		b.compact()
	}
	return true
}

func (b *Store) compact() {
	at := 0
	for i, key := range b.changeLog {
		if h := b.entries[key]; h != nil && h.seq == b.changeSeqs[i] {
			b.changeLog[at], b.changeSeqs[at] = key, b.changeSeqs[i]
			at++
		}
	}
	b.changeLog, b.changeSeqs = b.changeLog[:at], b.changeSeqs[:at]
}

// Get returns what is held under a key.
func (b *Store) Get(key string) (Entry, bool) {
	if h := b.entries[key]; h != nil {
		return h.Entry, true
	}
	return Entry{}, false
}

// Seq counts the changes so far.
func (b *Store) Seq() uint64 { return b.seq }

// Since returns what was learned after a count of changes, oldest first.
func (b *Store) ChangedSince(seq uint64) []Entry {
	from, _ := slices.BinarySearch(b.changeSeqs, seq+1)
	var out []Entry
	for i := from; i < len(b.changeLog); i++ {
		if h := b.entries[b.changeLog[i]]; h != nil && h.seq == b.changeSeqs[i] {
			out = append(out, h.Entry)
		}
	}
	return out
}

// All calls f with all that is held, in the order of keys; f must not change the book.
func (b *Store) RangeSorted(f func(Entry)) {
	keys := make([]string, 0, len(b.entries))
	for key := range b.entries {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		f(b.entries[key].Entry)
	}
}

// Each calls f with all that is held, in any order, and when it was learned; f must not
// change the book.
func (b *Store) Range(f func(i Entry, at int64)) {
	for _, h := range b.entries {
		f(h.Entry, h.changedAt)
	}
}

// Drop lets a key go as if it had never been heard of.
func (b *Store) Remove(key string) {
	if h := b.entries[key]; h != nil {
		b.digest[bucket(key)] ^= entryHash(h.Entry)
		delete(b.entries, key)
	}
}

// Len counts the keys held.
func (b *Store) Len() int { return len(b.entries) }

// Message is news for one message. Of what is large only the rank travels, and the other
// side asks for it.
type Update struct {
	Inline     []Entry
	Advertised []EntryVersion
}

// Empty tells whether there is nothing in a message.
func (m Update) Empty() bool { return len(m.Inline)+len(m.Advertised) == 0 }

func (m *Update) add(i Entry) {
	if len(i.Value) > maxInlineValue {
		m.Advertised = append(m.Advertised, EntryVersion{i.Key, i.Version})
	} else {
		m.Inline = append(m.Inline, i)
	}
}

// Hot returns news to pass on, and counts it as passed once: all of it to the own zone,
// and what is wide to one process of every other. Wide news goes wide once.
func (b *Store) TakePending() (sameZone, otherZones Update) {
	rest := b.pending[:0]
	n := 0
	for _, key := range b.pending {
		h := b.entries[key]
		if h == nil || h.transmitsLeft <= 0 {
			continue
		}
		if n++; n > maxPendingPerMessage {
			rest = append(rest, key)
			continue
		}
		sameZone.add(h.Entry)
		if h.allZones {
			otherZones.add(h.Entry)
			h.allZones = false
		}
		if h.transmitsLeft--; h.transmitsLeft > 0 {
			rest = append(rest, key)
		}
	}
	b.pending = rest
	return sameZone, otherZones
}

// Idle tells whether there is nothing to pass on.
func (b *Store) NothingPending() bool { return len(b.pending) == 0 }

// Mark is a key with its rank.
type EntryVersion struct {
	Key     string `json:"k"`
	Version uint64 `json:"r"`
}

// Lacks returns which of the marks name newer news than what is held.
func (b *Store) Missing(versions []EntryVersion) (want []string) {
	for _, m := range versions {
		if h := b.entries[m.Key]; h == nil || h.Version < m.Version {
			want = append(want, m.Key)
		}
	}
	return want
}

// Pick returns what is held under keys.
func (b *Store) GetAll(keys []string) (out []Entry) {
	for _, key := range keys {
		if h := b.entries[key]; h != nil {
			out = append(out, h.Entry)
		}
	}
	return out
}

// Sums is the digest of what is held.
func (b *Store) Digest() Digest { return b.digest }

// Marks lists what is held in the buckets in which two digests differ.
func (b *Store) VersionsWhereDifferent(theirs Digest) (versions []EntryVersion, buckets []int) {
	differs := [Buckets]bool{}
	for i := range theirs {
		if differs[i] = theirs[i] != b.digest[i]; differs[i] {
			buckets = append(buckets, i)
		}
	}
	if len(buckets) == 0 {
		return nil, nil
	}
	for key, h := range b.entries {
		if differs[bucket(key)] {
			versions = append(versions, EntryVersion{key, h.Version})
		}
	}
	slices.SortFunc(versions, func(a, b EntryVersion) int { return cmp.Compare(a.Key, b.Key) })
	return versions, buckets
}

// Newer returns what is held in the buckets and newer than, or not among, the marks of
// the other side, and the keys of which the other side has newer.
func (b *Store) Diff(versions []EntryVersion, buckets []int) (newer []Entry, want []string) {
	remote := make(map[string]uint64, len(versions))
	for _, m := range versions {
		remote[m.Key] = m.Version
	}
	selected := [Buckets]bool{}
	for _, i := range buckets {
		if i >= 0 && i < Buckets {
			selected[i] = true
		}
	}
	for key, h := range b.entries {
		if !selected[bucket(key)] {
			continue
		}
		version, known := remote[key]
		switch {
		case known && version > h.Version:
			want = append(want, key)
		case !known && h.Deleted(), known && version == h.Version:
		default:
			newer = append(newer, h.Entry)
		}
		delete(remote, key)
	}
	for key := range remote {
		want = append(want, key)
	}
	slices.SortFunc(newer, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	slices.Sort(want)
	return newer, want
}

// Forget drops what has long been gone.
func (b *Store) PurgeTombstones(now int64) {
	for key, h := range b.entries {
		if h.Deleted() && now-h.changedAt > tombstoneLifetime {
			delete(b.entries, key)
		}
	}
}
