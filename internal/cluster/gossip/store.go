// Package gossip spreads versioned entries to all processes. It owns the store (of two values
// of a key the one with the higher version wins), what is passed on to whom, and how two
// processes find by digests which entries one of them lacks (anti-entropy). It never goes back
// to a lower version, does no I/O, and does not send what the other side was seen to store.
package gossip

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Entry is a versioned value. An empty value means that the key was deleted.
type Entry struct {
	Key     string          `json:"k"`
	Version uint64          `json:"r"`
	Value   json.RawMessage `json:"b,omitempty"` // nothing: the key is gone
}

// Deleted reports whether the entry is a tombstone.
func (i Entry) Deleted() bool { return len(i.Value) == 0 }

// Buckets is the number of parts of a digest.
const Buckets = 32

// Digest summarizes a store, by bucket. Two stores with equal digests hold the same keys at
// the same versions; tombstones do not count.
type Digest [Buckets]uint64

const (
	maxEntries           = 20_000
	maxInlineValue       = 2048        // bytes; larger values are advertised by version and fetched
	maxPendingPerMessage = 512         // entries of one message
	tombstoneLifetime    = 120_000_000 // microseconds
)

type storedEntry struct {
	Entry
	seq           uint64 // number of the store's change that brought it
	changedAt     int64  // microseconds of the caller's clock
	transmitsLeft int    // times that it may still be passed on
	allZones      bool   // it is passed on to every zone, not only to this process's own
}

// Store holds the entries of one process. It is not safe for concurrent use.
type Store struct {
	entries    map[string]*storedEntry
	seq        uint64
	digest     Digest
	pending    []string // keys that are still passed on
	changeLog  []string // keys in the order of their changes; outdated ones are compacted now and then
	changeSeqs []uint64
}

// NewStore returns an empty store.
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

// Put stores an entry and reports whether it was newer than the stored one. transmits is
// how many times it is passed on from here; allZones, whether to every zone or only to this
// process's own.
func (s *Store) Put(now int64, i Entry, transmits int, allZones bool) bool {
	h := s.entries[i.Key]
	if h != nil && i.Version <= h.Version {
		return false
	}
	if h == nil {
		if i.Deleted() && transmits == 0 || len(s.entries) >= maxEntries {
			return false
		}
		h = &storedEntry{}
		s.entries[i.Key] = h
	} else {
		s.digest[bucket(i.Key)] ^= entryHash(h.Entry)
	}
	if h.transmitsLeft == 0 && transmits > 0 {
		s.pending = append(s.pending, i.Key)
	}
	s.seq++
	h.Entry, h.seq, h.changedAt, h.transmitsLeft, h.allZones = i, s.seq, now, transmits, allZones
	s.digest[bucket(i.Key)] ^= entryHash(i)
	s.changeLog, s.changeSeqs = append(s.changeLog, i.Key), append(s.changeSeqs, s.seq)
	if len(s.changeLog) > 2*len(s.entries)+64 {
		s.compact()
	}
	return true
}

func (s *Store) compact() {
	at := 0
	for i, key := range s.changeLog {
		if h := s.entries[key]; h != nil && h.seq == s.changeSeqs[i] {
			s.changeLog[at], s.changeSeqs[at] = key, s.changeSeqs[i]
			at++
		}
	}
	s.changeLog, s.changeSeqs = s.changeLog[:at], s.changeSeqs[:at]
}

// Get returns the entry of a key.
func (s *Store) Get(key string) (Entry, bool) {
	if h := s.entries[key]; h != nil {
		return h.Entry, true
	}
	return Entry{}, false
}

// Seq counts the changes of the store.
func (s *Store) Seq() uint64 { return s.seq }

// ChangedSince returns the entries that changed after a count of changes, oldest first.
func (s *Store) ChangedSince(seq uint64) []Entry {
	from, _ := slices.BinarySearch(s.changeSeqs, seq+1)
	var out []Entry
	for i := from; i < len(s.changeLog); i++ {
		if h := s.entries[s.changeLog[i]]; h != nil && h.seq == s.changeSeqs[i] {
			out = append(out, h.Entry)
		}
	}
	return out
}

// RangeSorted calls f with all entries in the order of their keys. f must not change the
// store.
func (s *Store) RangeSorted(f func(Entry)) {
	keys := make([]string, 0, len(s.entries))
	for key := range s.entries {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		f(s.entries[key].Entry)
	}
}

// Range calls f with all entries in any order, and when each changed. f must not change the
// store.
func (s *Store) Range(f func(i Entry, at int64)) {
	for _, h := range s.entries {
		f(h.Entry, h.changedAt)
	}
}

// Remove drops a key as if it had never been stored.
func (s *Store) Remove(key string) {
	if h := s.entries[key]; h != nil {
		s.digest[bucket(key)] ^= entryHash(h.Entry)
		delete(s.entries, key)
	}
}

// Len counts the keys, tombstones included.
func (s *Store) Len() int { return len(s.entries) }

// Update holds the entries for one message. Large values are advertised by their versions, and
// the receiver asks for them.
type Update struct {
	Inline     []Entry
	Advertised []EntryVersion
}

// Empty reports whether there is nothing in an update.
func (m Update) Empty() bool { return len(m.Inline)+len(m.Advertised) == 0 }

func (m *Update) add(i Entry) {
	if len(i.Value) > maxInlineValue {
		m.Advertised = append(m.Advertised, EntryVersion{i.Key, i.Version})
	} else {
		m.Inline = append(m.Inline, i)
	}
}

// TakePending returns the entries to pass on and counts them as passed on once: all of them
// for this process's own zone, and those for all zones for one process of every other zone. An
// entry goes to the other zones once.
func (s *Store) TakePending() (sameZone, otherZones Update) {
	rest := s.pending[:0]
	n := 0
	for _, key := range s.pending {
		h := s.entries[key]
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
	s.pending = rest
	return sameZone, otherZones
}

// NothingPending reports whether there is nothing to pass on.
func (s *Store) NothingPending() bool { return len(s.pending) == 0 }

// EntryVersion is a key with its version.
type EntryVersion struct {
	Key     string `json:"k"`
	Version uint64 `json:"r"`
}

// Missing returns the keys of which newer versions are named than the store holds.
func (s *Store) Missing(versions []EntryVersion) (want []string) {
	for _, m := range versions {
		if h := s.entries[m.Key]; h == nil || h.Version < m.Version {
			want = append(want, m.Key)
		}
	}
	return want
}

// GetAll returns the entries of keys.
func (s *Store) GetAll(keys []string) (out []Entry) {
	for _, key := range keys {
		if h := s.entries[key]; h != nil {
			out = append(out, h.Entry)
		}
	}
	return out
}

// Digest returns the digest of the store.
func (s *Store) Digest() Digest { return s.digest }

// VersionsWhereDifferent lists the entries in the buckets in which two digests differ.
func (s *Store) VersionsWhereDifferent(theirs Digest) (versions []EntryVersion, buckets []int) {
	differs := [Buckets]bool{}
	for i := range theirs {
		if differs[i] = theirs[i] != s.digest[i]; differs[i] {
			buckets = append(buckets, i)
		}
	}
	if len(buckets) == 0 {
		return nil, nil
	}
	for key, h := range s.entries {
		if differs[bucket(key)] {
			versions = append(versions, EntryVersion{key, h.Version})
		}
	}
	slices.SortFunc(versions, func(a, s EntryVersion) int { return cmp.Compare(a.Key, s.Key) })
	return versions, buckets
}

// Diff compares the store with the versions that another process holds in some buckets. It
// returns the entries of which the store holds the newer version, and the keys of which the
// other process does.
func (s *Store) Diff(versions []EntryVersion, buckets []int) (newer []Entry, want []string) {
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
	for key, h := range s.entries {
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
	slices.SortFunc(newer, func(a, s Entry) int { return cmp.Compare(a.Key, s.Key) })
	slices.Sort(want)
	return newer, want
}

// PurgeTombstones removes keys that were deleted long ago.
func (s *Store) PurgeTombstones(now int64) {
	for key, h := range s.entries {
		if h.Deleted() && now-h.changedAt > tombstoneLifetime {
			delete(s.entries, key)
		}
	}
}
