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
type Item struct {
	Key  string          `json:"k"`
	Rank uint64          `json:"r"`
	Body json.RawMessage `json:"b,omitempty"` // nothing: the key is gone
}

// Gone tells whether the news is that the key is gone.
func (i Item) Gone() bool { return len(i.Body) == 0 }

// Buckets is the number of parts that a digest has.
const Buckets = 32

// Digest is a sum of what is held, by bucket. Two processes with equal digests hold the
// same keys at the same ranks; what is gone does not count.
type Digest [Buckets]uint64

const (
	mostItems  = 20_000
	smallBody  = 2048 // a body up to this many bytes travels with its news, others are fetched
	mostHot    = 512  // items of one message
	forgetLate = 120_000_000
)

type held struct {
	Item
	seq    uint64 // when it was learned, in steps of the book
	at     int64  // the same, in microseconds of the caller's clock
	passes int    // times that it may still be passed on
	wide   bool   // to every zone, not only to the own one
}

// Book is what one process holds. It is not safe for concurrent use.
type Book struct {
	items map[string]*held
	seq   uint64
	sums  Digest
	hot   []string // keys that are still passed on
	log   []string // keys by seq, with those that changed since: compacted now and then
	seqs  []uint64
}

// NewBook returns a book that holds nothing.
func NewBook() *Book { return &Book{items: make(map[string]*held)} }

func bucket(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

func mark(i Item) uint64 {
	if i.Gone() {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	d.WriteString(i.Key)
	d.WriteString("\x00")
	d.WriteString(strconv.FormatUint(i.Rank, 16))
	return d.Sum64()
}

// Put takes news, and tells whether it was newer than what was held. passes is how many
// times it is to be passed on from here; wide, whether to every zone or to the own one.
func (b *Book) Put(now int64, i Item, passes int, wide bool) bool {
	h := b.items[i.Key]
	if h != nil && i.Rank <= h.Rank {
		return false
	}
	if h == nil {
		if i.Gone() && passes == 0 || len(b.items) >= mostItems {
			return false
		}
		h = &held{}
		b.items[i.Key] = h
	} else {
		b.sums[bucket(i.Key)] ^= mark(h.Item)
	}
	if h.passes == 0 && passes > 0 {
		b.hot = append(b.hot, i.Key)
	}
	b.seq++
	h.Item, h.seq, h.at, h.passes, h.wide = i, b.seq, now, passes, wide
	b.sums[bucket(i.Key)] ^= mark(i)
	b.log, b.seqs = append(b.log, i.Key), append(b.seqs, b.seq)
	if len(b.log) > 2*len(b.items)+64 {
		b.compact()
	}
	return true
}

func (b *Book) compact() {
	at := 0
	for i, key := range b.log {
		if h := b.items[key]; h != nil && h.seq == b.seqs[i] {
			b.log[at], b.seqs[at] = key, b.seqs[i]
			at++
		}
	}
	b.log, b.seqs = b.log[:at], b.seqs[:at]
}

// Get returns what is held under a key.
func (b *Book) Get(key string) (Item, bool) {
	if h := b.items[key]; h != nil {
		return h.Item, true
	}
	return Item{}, false
}

// Seq counts the changes so far.
func (b *Book) Seq() uint64 { return b.seq }

// Since returns what was learned after a count of changes, oldest first.
func (b *Book) Since(seq uint64) []Item {
	from, _ := slices.BinarySearch(b.seqs, seq+1)
	var out []Item
	for i := from; i < len(b.log); i++ {
		if h := b.items[b.log[i]]; h != nil && h.seq == b.seqs[i] {
			out = append(out, h.Item)
		}
	}
	return out
}

// All calls f with all that is held, in the order of keys; f must not change the book.
func (b *Book) All(f func(Item)) {
	keys := make([]string, 0, len(b.items))
	for key := range b.items {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		f(b.items[key].Item)
	}
}

// Each calls f with all that is held, in any order, and when it was learned; f must not
// change the book.
func (b *Book) Each(f func(i Item, at int64)) {
	for _, h := range b.items {
		f(h.Item, h.at)
	}
}

// Drop lets a key go as if it had never been heard of.
func (b *Book) Drop(key string) {
	if h := b.items[key]; h != nil {
		b.sums[bucket(key)] ^= mark(h.Item)
		delete(b.items, key)
	}
}

// Len counts the keys held.
func (b *Book) Len() int { return len(b.items) }

// Message is news for one message. Of what is large only the rank travels, and the other
// side asks for it.
type Message struct {
	Small []Item
	Large []Mark
}

// Empty tells whether there is nothing in a message.
func (m Message) Empty() bool { return len(m.Small)+len(m.Large) == 0 }

func (m *Message) add(i Item) {
	if len(i.Body) > smallBody {
		m.Large = append(m.Large, Mark{i.Key, i.Rank})
	} else {
		m.Small = append(m.Small, i)
	}
}

// Hot returns news to pass on, and counts it as passed once: all of it to the own zone,
// and what is wide to one process of every other. Wide news goes wide once.
func (b *Book) Hot() (near, wide Message) {
	rest := b.hot[:0]
	n := 0
	for _, key := range b.hot {
		h := b.items[key]
		if h == nil || h.passes <= 0 {
			continue
		}
		if n++; n > mostHot {
			rest = append(rest, key)
			continue
		}
		near.add(h.Item)
		if h.wide {
			wide.add(h.Item)
			h.wide = false
		}
		if h.passes--; h.passes > 0 {
			rest = append(rest, key)
		}
	}
	b.hot = rest
	return near, wide
}

// Idle tells whether there is nothing to pass on.
func (b *Book) Idle() bool { return len(b.hot) == 0 }

// Mark is a key with its rank.
type Mark struct {
	Key  string `json:"k"`
	Rank uint64 `json:"r"`
}

// Lacks returns which of the marks name newer news than what is held.
func (b *Book) Lacks(marks []Mark) (want []string) {
	for _, m := range marks {
		if h := b.items[m.Key]; h == nil || h.Rank < m.Rank {
			want = append(want, m.Key)
		}
	}
	return want
}

// Pick returns what is held under keys.
func (b *Book) Pick(keys []string) (out []Item) {
	for _, key := range keys {
		if h := b.items[key]; h != nil {
			out = append(out, h.Item)
		}
	}
	return out
}

// Sums is the digest of what is held.
func (b *Book) Sums() Digest { return b.sums }

// Marks lists what is held in the buckets in which two digests differ.
func (b *Book) Marks(theirs Digest) (marks []Mark, buckets []int) {
	differs := [Buckets]bool{}
	for i := range theirs {
		if differs[i] = theirs[i] != b.sums[i]; differs[i] {
			buckets = append(buckets, i)
		}
	}
	if len(buckets) == 0 {
		return nil, nil
	}
	for key, h := range b.items {
		if differs[bucket(key)] {
			marks = append(marks, Mark{key, h.Rank})
		}
	}
	slices.SortFunc(marks, func(a, b Mark) int { return cmp.Compare(a.Key, b.Key) })
	return marks, buckets
}

// Newer returns what is held in the buckets and newer than, or not among, the marks of
// the other side, and the keys of which the other side has newer.
func (b *Book) Newer(marks []Mark, buckets []int) (news []Item, want []string) {
	told := make(map[string]uint64, len(marks))
	for _, m := range marks {
		told[m.Key] = m.Rank
	}
	in := [Buckets]bool{}
	for _, i := range buckets {
		if i >= 0 && i < Buckets {
			in[i] = true
		}
	}
	for key, h := range b.items {
		if !in[bucket(key)] {
			continue
		}
		rank, known := told[key]
		switch {
		case known && rank > h.Rank:
			want = append(want, key)
		case !known && h.Gone(), known && rank == h.Rank:
		default:
			news = append(news, h.Item)
		}
		delete(told, key)
	}
	for key := range told {
		want = append(want, key)
	}
	slices.SortFunc(news, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	slices.Sort(want)
	return news, want
}

// Forget drops what has long been gone.
func (b *Book) Forget(now int64) {
	for key, h := range b.items {
		if h.Gone() && now-h.at > forgetLate {
			delete(b.items, key)
		}
	}
}
