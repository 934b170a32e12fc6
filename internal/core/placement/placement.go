// Package placement decides where keys live: a versioned map from ranges of keys to
// segments, and from those to cells of servers. It is pure: no I/O, no clock, no
// goroutine; a Map is never changed once it is made, so it can be read from
// anywhere. Keys are texts in their byte order; a range holds From and all up to To,
// which it does not hold. An empty To is the end of all keys.
//
// The map's rules are those of range-partitioned stores (Bigtable, section 5.1;
// Spanner's directories): the segments in force cover all keys, once each. Each
// change is a new epoch. What a segment held is fixed by its id for ever, so a client
// that names one by an old map can still be understood, for as long as it is kept.
package placement

import (
	"fmt"
	"slices"
	"sort"
)

// The bounds of a map.
const (
	MaxKey      = 128     // bytes of a key
	MaxSegments = 1 << 20 // in force
	MaxRetired  = 1 << 16 // kept for clients with old maps; the oldest are forgotten first
	MaxCells    = 1 << 16
)

// Range is a range of keys.
type Range struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// Below tells whether a key is below the end of a range.
func beforeEnd(key, to string) bool { return to == "" || key < to }

// Holds tells whether a key is in the range.
func (r Range) Contains(key string) bool { return key >= r.From && beforeEnd(key, r.To) }

// Covers tells whether all of o is in r.
func (r Range) Covers(o Range) bool {
	return o.From >= r.From && (r.To == "" || o.To != "" && o.To <= r.To)
}

// Cut is what r and o have in common; ok is false where that is nothing.
func (r Range) Intersect(o Range) (c Range, ok bool) {
	c = Range{max(r.From, o.From), r.To}
	if c.To == "" || o.To != "" && o.To < c.To {
		c.To = o.To
	}
	return c, c.To == "" || c.From < c.To
}

func (r Range) String() string {
	to := r.To
	if to == "" {
		to = "end"
	}
	from := r.From
	if from == "" {
		from = "start"
	}
	return "[" + from + ", " + to + ")"
}

// Empty tells whether a range holds nothing.
func (r Range) Empty() bool { return r.To != "" && r.From >= r.To }

// Segment is a segment in force.
type Segment struct {
	ID uint32 `json:"id"`
	Range
	Cell  int   `json:"cell"`
	Since int64 `json:"since"` // the epoch at which it came, or came to its cell
}

func (s Segment) String() string {
	return fmt.Sprintf("%d %v on cell %d since %d", s.ID, s.Range, s.Cell, s.Since)
}

// Cell is a group of servers that hold the same segments.
type Cell struct {
	ID      int      `json:"cell"`
	Servers []string `json:"servers"`
}

// Update is a whole map, or the changes from one epoch to a later one.
type Update struct {
	Epoch    int64     `json:"epoch"`
	Base     int64     `json:"base"` // the epoch it follows on; 0: it is a whole map
	Segments []Segment `json:"segments"`
	Removed  []uint32  `json:"removed"` // retired; whole: those that the feed still remembers
	Retired  []Segment `json:"retired"` // whole: what they were
	Cells    []Cell    `json:"cells"`   // whole: all; else those that changed
}

// Map is a map at one epoch. A nil *Map knows nothing.
type Map struct {
	epoch        int64
	segments     []Segment          // by From
	starts       overlayMap[string] // by id: where it begins
	cells        map[int][]string
	retired      overlayMap[Range]
	retiredOrder []uint32 // of retired, the oldest first
}

// The ways in which an update is refused.
type (
	// OldError is an update to an epoch that is held already, or was.
	StaleError struct{ Have, Got int64 }
	// GapError is a change that does not follow on what is held: the whole is wanted.
	GapError struct{ Have, Base int64 }
	// BadError is a map that can't be; At names the range or the segment.
	InvalidError struct{ At, Problem string }
)

func (e *StaleError) Error() string {
	return fmt.Sprintf("epoch %d is not newer than %d", e.Got, e.Have)
}
func (e *GapError) Error() string {
	return fmt.Sprintf("follows on epoch %d, and %d is held", e.Base, e.Have)
}
func (e *InvalidError) Error() string { return e.At + ": " + e.Problem }

func invalid(at fmt.Stringer, format string, args ...any) error {
	return &InvalidError{at.String(), fmt.Sprintf(format, args...)}
}

type label string

func (n label) String() string { return string(n) }

// Epoch is the map's epoch, 0 for none.
func (m *Map) Epoch() int64 {
	if m == nil {
		return 0
	}
	return m.epoch
}

// Len is how many segments are in force.
func (m *Map) Len() int {
	if m == nil {
		return 0
	}
	return len(m.segments)
}

// Segments are those in force, by range. The caller must not change them.
func (m *Map) Segments() []Segment {
	if m == nil {
		return nil
	}
	return m.segments
}

// Servers are those of a cell.
func (m *Map) Servers(cell int) []string {
	if m == nil {
		return nil
	}
	return m.cells[cell]
}

// Cells are how many there are, and Retired how many segments of the past are kept.
func (m *Map) Cells() int   { return len(m.cells) }
func (m *Map) Retired() int { return m.retired.size }

// Apply returns the map after an update. The map itself stays as it is, and so it
// does where the update is refused.
func (m *Map) Apply(u *Update) (*Map, error) {
	if u.Epoch <= m.Epoch() {
		return nil, &StaleError{m.Epoch(), u.Epoch}
	}
	if u.Base != 0 {
		if m == nil || u.Base != m.epoch {
			return nil, &GapError{m.Epoch(), u.Base}
		}
	}
	if err := validate(u); err != nil {
		return nil, err
	}
	n := &Map{epoch: u.Epoch}
	if m != nil {
		n.retiredOrder, n.retired = slices.Clone(m.retiredOrder), m.retired.copy()
	} else {
		n.retired = n.retired.copy()
	}
	if u.Base != 0 && len(u.Cells) == 0 {
		n.cells = m.cells // never written once a map is made
	} else {
		n.cells = make(map[int][]string, len(u.Cells))
		if u.Base != 0 {
			for id, servers := range m.cells {
				n.cells[id] = servers
			}
		}
	}
	for _, c := range u.Cells {
		if len(c.Servers) == 0 {
			delete(n.cells, c.ID)
		} else {
			n.cells[c.ID] = slices.Clone(c.Servers)
		}
	}
	for _, s := range u.Retired {
		n.retire(s.ID, s.Range)
	}
	if u.Base == 0 {
		n.segments = slices.Clone(u.Segments)
		slices.SortFunc(n.segments, byFrom)
		if m != nil { // what is not in force any more is of the past
			now := make(map[uint32]bool, len(u.Segments))
			for _, s := range u.Segments {
				now[s.ID] = true
			}
			for _, s := range m.segments {
				if !now[s.ID] {
					n.retire(s.ID, s.Range)
				}
			}
		}
	} else if err := n.applyDelta(m, u); err != nil {
		return nil, err
	}
	return n, n.verify(m, u)
}

func byFrom(a, b Segment) int {
	switch {
	case a.From < b.From:
		return -1
	case a.From > b.From:
		return 1
	}
	return int(a.ID) - int(b.ID)
}

// check looks at an update by itself.
func validate(u *Update) error {
	if len(u.Segments) > MaxSegments || len(u.Removed) > MaxSegments || len(u.Retired) > MaxRetired || len(u.Cells) > MaxCells {
		return invalid(label("update"), "larger than a map may be")
	}
	seen := make(map[uint32]bool, len(u.Segments))
	for _, s := range u.Segments {
		if seen[s.ID] {
			return invalid(s.Range, "segment %d stands twice", s.ID)
		}
		seen[s.ID] = true
		if s.Empty() {
			return invalid(s.Range, "segment %d holds nothing", s.ID)
		}
		if len(s.From) > MaxKey || len(s.To) > MaxKey {
			return invalid(s.Range, "segment %d: a key of more than %d bytes", s.ID, MaxKey)
		}
	}
	for _, id := range u.Removed {
		if seen[id] && u.Base != 0 {
			return invalid(label("update"), "segment %d comes and goes", id)
		}
	}
	return nil
}

// change takes the segments of m with the update's over them.
func (n *Map) applyDelta(m *Map, u *Update) error {
	gone := make(map[uint32]bool, len(u.Removed)+len(u.Segments))
	for _, id := range u.Removed {
		s, held := m.segmentByID(id)
		if !held {
			return invalid(label("update"), "segment %d goes, and is not held", id)
		}
		gone[id] = true
		n.retire(id, s.Range)
	}
	for _, s := range u.Segments {
		gone[s.ID] = true
	}
	added := slices.Clone(u.Segments)
	slices.SortFunc(added, byFrom)
	n.segments = make([]Segment, 0, len(m.segments)+len(added))
	for _, s := range m.segments { // a merge of two sorted lists
		for len(added) > 0 && byFrom(added[0], s) < 0 {
			n.segments, added = append(n.segments, added[0]), added[1:]
		}
		if !gone[s.ID] {
			n.segments = append(n.segments, s)
		}
	}
	n.segments = append(n.segments, added...)
	return nil
}

func (n *Map) retire(id uint32, r Range) {
	if _, known := n.retired.get(id); !known {
		n.retiredOrder = append(n.retiredOrder, id)
	}
	n.retired.set(id, r)
	for len(n.retiredOrder) > MaxRetired {
		n.retired.remove(n.retiredOrder[0])
		n.retiredOrder = n.retiredOrder[1:]
	}
}

// verify tells whether the segments cover all keys once, each on a cell that has
// servers, and none under an id that meant something else. Of a change only what it
// brings can have a wrong id or cell, unless cells changed too.
func (n *Map) verify(m *Map, u *Update) error {
	if len(n.segments) == 0 {
		return invalid(Range{}, "no segment holds it")
	}
	if len(n.segments) > MaxSegments {
		return invalid(label("update"), "more than %d segments", MaxSegments)
	}
	at, open := "", true
	for i := range n.segments {
		s := &n.segments[i]
		switch {
		case !open || s.From < at:
			return invalid(Range{s.From, at}, "segments %d and %d both hold it", n.segments[i-1].ID, s.ID)
		case s.From > at:
			return invalid(Range{at, s.From}, "no segment holds it")
		case len(u.Cells) > 0 && len(n.cells[s.Cell]) == 0:
			return invalid(s.Range, "segment %d is on cell %d, which names no server", s.ID, s.Cell)
		}
		at, open = s.To, s.To != ""
	}
	if open {
		return invalid(Range{at, ""}, "no segment holds it")
	}
	for _, s := range u.Segments {
		if len(n.cells[s.Cell]) == 0 {
			return invalid(s.Range, "segment %d is on cell %d, which names no server", s.ID, s.Cell)
		}
		if r, was := n.retired.get(s.ID); was {
			if r != s.Range {
				return invalid(s.Range, "segment %d held %v once", s.ID, r)
			}
			n.retired.remove(s.ID) // a reshape that was taken back
			n.retiredOrder = slices.DeleteFunc(n.retiredOrder, func(id uint32) bool { return id == s.ID })
		}
		if old, held := m.segmentByID(s.ID); held && old.Range != s.Range {
			return invalid(s.Range, "segment %d held %v before", s.ID, old.Range)
		}
	}
	if u.Base == 0 {
		n.starts = overlayMap[string]{base: make(map[uint32]string, len(n.segments)), size: len(n.segments)}
		for _, s := range n.segments {
			n.starts.base[s.ID] = s.From
		}
		return nil
	}
	n.starts = m.starts.copy()
	for _, id := range u.Removed {
		n.starts.remove(id)
	}
	for _, s := range u.Segments {
		n.starts.set(s.ID, s.From)
	}
	return nil
}

// segment finds a segment in force by its id.
func (m *Map) segmentByID(id uint32) (Segment, bool) {
	if m == nil {
		return Segment{}, false
	}
	from, ok := m.starts.get(id)
	if !ok {
		return Segment{}, false
	}
	return m.segments[m.indexOf(from)], true
}

// Lookup finds the segment that holds a key: O(log n).
func (m *Map) Lookup(key string) (Segment, bool) {
	if m.Len() == 0 {
		return Segment{}, false
	}
	return m.segments[m.indexOf(key)], true
}

// at is the index of the segment that holds a key.
func (m *Map) indexOf(key string) int {
	return sort.Search(len(m.segments), func(i int) bool { return m.segments[i].From > key }) - 1
}

// Range is what a segment holds, or held before it was retired.
func (m *Map) Range(id uint32) (r Range, inForce, known bool) {
	if m == nil {
		return r, false, false
	}
	if s, ok := m.segmentByID(id); ok {
		return s.Range, true, true
	}
	r, known = m.retired.get(id)
	return r, false, known
}

// Over are the segments in force that a range touches.
func (m *Map) Overlapping(r Range) []Segment {
	if m.Len() == 0 || r.Empty() {
		return nil
	}
	from := m.indexOf(r.From)
	to := from
	for to < len(m.segments) && beforeEnd(m.segments[to].From, r.To) {
		to++
	}
	return m.segments[from:to]
}
