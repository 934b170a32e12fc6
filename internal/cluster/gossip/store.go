// Package gossip spreads versioned entries to all processes. It contains the entry store, in
// which the value with the higher version replaces the other one, decides which entries are
// forwarded to which process, and lets two processes find by digests the entries that one of them
// lacks (anti-entropy). It never replaces an entry by one with a lower version, does no I/O, and
// does not send entries that the other process is known to store.
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
	Value   json.RawMessage `json:"b,omitempty"` // empty: the key was deleted
}

// Deleted reports whether the entry is a tombstone.
func (e Entry) Deleted() bool { return len(e.Value) == 0 }

// Buckets is the number of buckets of a digest.
const Buckets = 32

// Digest contains a hash of the entries of a store for each bucket of keys. Two stores with equal
// digests contain the same keys at the same versions; tombstones are not included.
type Digest [Buckets]uint64

const (
	maxEntries           = 20_000
	maxInlineValue       = 2048        // bytes; larger values are advertised by version and fetched
	maxPendingPerMessage = 512         // entries in one message
	tombstoneLifetime    = 120_000_000 // microseconds
)

// storedEntry is an entry together with the state of its dissemination.
type storedEntry struct {
	Entry
	seq           uint64 // sequence number of the change that stored this version
	changedAt     int64  // microseconds of the caller's clock
	transmitsLeft int    // number of messages in which the entry is still to be forwarded
	allZones      bool   // the entry is forwarded to every zone, not only within the zone of this process
}

// Store holds the entries of one process. It is not safe for concurrent use.
type Store struct {
	entries    map[string]*storedEntry
	seq        uint64
	digest     Digest
	pending    []string // keys whose entries are still to be forwarded
	changeLog  []string // keys in the order of their changes; superseded elements are removed by compact
	changeSeqs []uint64 // sequence numbers of the elements of changeLog
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: make(map[string]*storedEntry)} }

// bucket returns the digest bucket of a key.
func bucket(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// entryHash returns what an entry contributes to the digest; a tombstone contributes nothing.
func entryHash(entry Entry) uint64 {
	if entry.Deleted() {
		return 0
	}
	var hash xxhash.Digest
	hash.Reset()
	hash.WriteString(entry.Key)
	hash.WriteString("\x00")
	hash.WriteString(strconv.FormatUint(entry.Version, 16))
	return hash.Sum64()
}

// Put stores an entry and reports whether it was newer than the stored one. transmits is the
// number of messages in which this process forwards the entry; allZones selects whether it is
// forwarded to every zone or only within the zone of this process. Put rejects a new key if the
// store is full, and a tombstone of an unknown key that is not to be forwarded.
func (s *Store) Put(now int64, entry Entry, transmits int, allZones bool) bool {
	stored := s.entries[entry.Key]
	if stored != nil && entry.Version <= stored.Version {
		return false
	}
	if stored == nil {
		if entry.Deleted() && transmits == 0 || len(s.entries) >= maxEntries {
			return false
		}
		stored = &storedEntry{}
		s.entries[entry.Key] = stored
	} else {
		s.digest[bucket(entry.Key)] ^= entryHash(stored.Entry)
	}
	if stored.transmitsLeft == 0 && transmits > 0 {
		s.pending = append(s.pending, entry.Key)
	}
	s.seq++
	stored.Entry, stored.seq, stored.changedAt, stored.transmitsLeft, stored.allZones = entry, s.seq, now, transmits, allZones
	s.digest[bucket(entry.Key)] ^= entryHash(entry)
	s.changeLog, s.changeSeqs = append(s.changeLog, entry.Key), append(s.changeSeqs, s.seq)
	if len(s.changeLog) > 2*len(s.entries)+64 {
		s.compact()
	}
	return true
}

// compact removes the superseded elements of the change log.
func (s *Store) compact() {
	kept := 0
	for i, key := range s.changeLog {
		if stored := s.entries[key]; stored != nil && stored.seq == s.changeSeqs[i] {
			s.changeLog[kept], s.changeSeqs[kept] = key, s.changeSeqs[i]
			kept++
		}
	}
	s.changeLog, s.changeSeqs = s.changeLog[:kept], s.changeSeqs[:kept]
}

// Get returns the entry of a key.
func (s *Store) Get(key string) (Entry, bool) {
	if stored := s.entries[key]; stored != nil {
		return stored.Entry, true
	}
	return Entry{}, false
}

// Seq returns the number of changes of the store so far.
func (s *Store) Seq() uint64 { return s.seq }

// ChangedSince returns the entries that changed after the sequence number seq, oldest change
// first.
func (s *Store) ChangedSince(seq uint64) []Entry {
	from, _ := slices.BinarySearch(s.changeSeqs, seq+1)
	var entries []Entry
	for i := from; i < len(s.changeLog); i++ {
		if stored := s.entries[s.changeLog[i]]; stored != nil && stored.seq == s.changeSeqs[i] {
			entries = append(entries, stored.Entry)
		}
	}
	return entries
}

// RangeSorted calls f for each entry in the order of the keys. f must not change the store.
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

// Range calls f for each entry, in no particular order, with the time of its last change. f must
// not change the store.
func (s *Store) Range(f func(entry Entry, changedAt int64)) {
	for _, stored := range s.entries {
		f(stored.Entry, stored.changedAt)
	}
}

// Remove removes a key without leaving a tombstone, and no longer forwards its entry.
func (s *Store) Remove(key string) {
	stored := s.entries[key]
	if stored == nil {
		return
	}
	s.digest[bucket(key)] ^= entryHash(stored.Entry)
	delete(s.entries, key)
	if stored.transmitsLeft > 0 {
		s.pending = slices.DeleteFunc(s.pending, func(queued string) bool { return queued == key })
	}
}

// Len returns the number of keys, including tombstones.
func (s *Store) Len() int { return len(s.entries) }

// Update contains the entries for one message. Entries with large values are only advertised by
// their versions; the receiver requests those that it lacks.
type Update struct {
	Inline     []Entry
	Advertised []EntryVersion
}

// Empty reports whether the update contains no entries.
func (u Update) Empty() bool { return len(u.Inline)+len(u.Advertised) == 0 }

func (u *Update) add(entry Entry) {
	if len(entry.Value) > maxInlineValue {
		u.Advertised = append(u.Advertised, EntryVersion{entry.Key, entry.Version})
	} else {
		u.Inline = append(u.Inline, entry)
	}
}

// TakePending returns the entries to forward in the next message and counts one transmission for
// each of them. sameZone contains all of them and is meant for processes of this zone;
// otherZones contains those with allZones set and is meant for one process of every other zone.
// An entry is returned in otherZones only once.
func (s *Store) TakePending() (sameZone, otherZones Update) {
	remaining := s.pending[:0]
	taken := 0
	for _, key := range s.pending {
		stored := s.entries[key]
		if stored == nil || stored.transmitsLeft <= 0 {
			continue
		}
		if taken++; taken > maxPendingPerMessage {
			remaining = append(remaining, key)
			continue
		}
		sameZone.add(stored.Entry)
		if stored.allZones {
			otherZones.add(stored.Entry)
			stored.allZones = false
		}
		if stored.transmitsLeft--; stored.transmitsLeft > 0 {
			remaining = append(remaining, key)
		}
	}
	s.pending = remaining
	return sameZone, otherZones
}

// NothingPending reports whether there are no entries to forward.
func (s *Store) NothingPending() bool { return len(s.pending) == 0 }

// EntryVersion is a key with its version.
type EntryVersion struct {
	Key     string `json:"k"`
	Version uint64 `json:"r"`
}

// Missing returns the keys of those versions that are newer than what the store contains.
func (s *Store) Missing(versions []EntryVersion) (want []string) {
	for _, advertised := range versions {
		if stored := s.entries[advertised.Key]; stored == nil || stored.Version < advertised.Version {
			want = append(want, advertised.Key)
		}
	}
	return want
}

// GetAll returns the entries of the given keys; unknown keys are skipped.
func (s *Store) GetAll(keys []string) (entries []Entry) {
	for _, key := range keys {
		if stored := s.entries[key]; stored != nil {
			entries = append(entries, stored.Entry)
		}
	}
	return entries
}

// Digest returns the digest of the store.
func (s *Store) Digest() Digest { return s.digest }

// VersionsWhereDifferent compares the digest of the store with a remote one. It returns the
// versions of the store's entries in the buckets that differ, ordered by key, and these buckets.
func (s *Store) VersionsWhereDifferent(remote Digest) (versions []EntryVersion, buckets []int) {
	differs := [Buckets]bool{}
	for i := range remote {
		if differs[i] = remote[i] != s.digest[i]; differs[i] {
			buckets = append(buckets, i)
		}
	}
	if len(buckets) == 0 {
		return nil, nil
	}
	for key, stored := range s.entries {
		if differs[bucket(key)] {
			versions = append(versions, EntryVersion{key, stored.Version})
		}
	}
	slices.SortFunc(versions, func(a, b EntryVersion) int { return cmp.Compare(a.Key, b.Key) })
	return versions, buckets
}

// Diff compares the store with the versions that another process stores in the given buckets. It
// returns the entries of which this store has the newer version, and the keys of which the other
// process has the newer version.
func (s *Store) Diff(versions []EntryVersion, buckets []int) (newer []Entry, want []string) {
	remote := make(map[string]uint64, len(versions))
	for _, entry := range versions {
		remote[entry.Key] = entry.Version
	}
	selected := [Buckets]bool{}
	for _, i := range buckets {
		if i >= 0 && i < Buckets {
			selected[i] = true
		}
	}
	for key, stored := range s.entries {
		if !selected[bucket(key)] {
			continue
		}
		version, known := remote[key]
		switch {
		case known && version > stored.Version:
			want = append(want, key)
		case !known && stored.Deleted(), known && version == stored.Version:
		default:
			newer = append(newer, stored.Entry)
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

// PurgeTombstones removes the tombstones that are older than tombstoneLifetime.
func (s *Store) PurgeTombstones(now int64) {
	for key, stored := range s.entries {
		if stored.Deleted() && now-stored.changedAt > tombstoneLifetime {
			s.Remove(key)
		}
	}
}
