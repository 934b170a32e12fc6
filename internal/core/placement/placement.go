// Package placement decides which servers store which keys: a versioned map from
// key ranges to segments, and from segments to cells of servers. It is pure: no I/O,
// no clock, no goroutine. A Map is immutable once built, so any goroutine may read it
// without a lock. Keys are strings in byte order. A range includes From and excludes
// To; an empty To means the end of the key space.
//
// The map follows the rules of range-partitioned stores (Bigtable, section 5.1;
// Spanner's directories): the active segments cover every key exactly once. Each
// change creates a new epoch. The feed is the service that publishes the maps as updates.
// A segment that a change replaces is retired: no longer active, but its range is
// remembered. A segment id always means the same key range, so a
// client that names a segment from an old map is understood for as long as the
// retired segment is remembered.
package placement

import (
	"fmt"
	"slices"
	"sort"
)

// Limits of a map.
const (
	MaxKey      = 128     // bytes of a key
	MaxSegments = 1 << 20 // active segments
	MaxRetired  = 1 << 16 // retired segments kept for clients with old maps; the oldest are dropped first
	MaxCells    = 1 << 16
)

// Range is the half-open key range [From, To).
type Range struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// beforeEnd reports whether key sorts before the end of a range, to.
func beforeEnd(key, to string) bool { return to == "" || key < to }

// Contains reports whether key is in the range.
func (r Range) Contains(key string) bool { return key >= r.From && beforeEnd(key, r.To) }

// Covers reports whether r contains all of o.
func (r Range) Covers(o Range) bool {
	return o.From >= r.From && (r.To == "" || o.To != "" && o.To <= r.To)
}

// Intersect returns the keys that are in both r and o; ok is false if there are none.
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

// Empty reports whether the range contains no key.
func (r Range) Empty() bool { return r.To != "" && r.From >= r.To }

// Segment is an active segment: a key range and the cell that stores it.
type Segment struct {
	ID uint32 `json:"id"`
	Range
	Cell  int   `json:"cell"`
	Since int64 `json:"since"` // the epoch at which the segment was created or moved to its cell
}

func (s Segment) String() string {
	return fmt.Sprintf("%d %v on cell %d since %d", s.ID, s.Range, s.Cell, s.Since)
}

// Cell is a group of servers that store the same segments.
type Cell struct {
	ID      int      `json:"cell"`
	Servers []string `json:"servers"`
}

// Update is a complete map (Base 0) or the changes from epoch Base to Epoch.
type Update struct {
	Epoch    int64     `json:"epoch"`
	Base     int64     `json:"base"` // the epoch that the changes apply to; 0: a complete map
	Segments []Segment `json:"segments"`
	Removed  []uint32  `json:"removed"` // ids of retired segments; complete map: those that the feed still remembers
	Retired  []Segment `json:"retired"` // complete map: the ranges of the retired segments
	Cells    []Cell    `json:"cells"`   // complete map: all cells; otherwise the changed ones
}

// Map is the placement map at one epoch. A nil *Map is an empty map at epoch 0.
type Map struct {
	epoch        int64
	segments     []Segment          // sorted by From
	starts       overlayMap[string] // segment id to the segment's From
	cells        map[int][]string
	retired      overlayMap[Range]
	retiredOrder []uint32 // keys of retired, the oldest first
}

// Errors with which Apply rejects an update.
type (
	// StaleError rejects an update whose epoch is not newer than the map's.
	StaleError struct{ Have, Got int64 }
	// GapError rejects changes that are based on another epoch than the map's; the
	// caller must fetch a complete map.
	GapError struct{ Have, Base int64 }
	// InvalidError rejects a map that breaks a rule. At names the range or the segment.
	InvalidError struct{ At, Problem string }
)

func (e *StaleError) Error() string {
	return fmt.Sprintf("epoch %d is not newer than %d", e.Got, e.Have)
}
func (e *GapError) Error() string {
	return fmt.Sprintf("update is based on epoch %d, but the current epoch is %d", e.Base, e.Have)
}
func (e *InvalidError) Error() string { return e.At + ": " + e.Problem }

func invalid(at fmt.Stringer, format string, args ...any) error {
	return &InvalidError{at.String(), fmt.Sprintf(format, args...)}
}

// label is the At of an InvalidError that does not concern one range.
type label string

func (n label) String() string { return string(n) }

// Epoch returns the map's epoch; 0 for a nil map.
func (m *Map) Epoch() int64 {
	if m == nil {
		return 0
	}
	return m.epoch
}

// Len returns the number of active segments.
func (m *Map) Len() int {
	if m == nil {
		return 0
	}
	return len(m.segments)
}

// Segments returns the active segments, sorted by range. The caller must not modify them.
func (m *Map) Segments() []Segment {
	if m == nil {
		return nil
	}
	return m.segments
}

// Servers returns the names of a cell's servers; nil if the cell is unknown. The caller
// must not modify them.
func (m *Map) Servers(cell int) []string {
	if m == nil {
		return nil
	}
	return m.cells[cell]
}

// Cells returns the number of cells.
func (m *Map) Cells() int { return len(m.cells) }

// Retired returns the number of retired segments that are remembered.
func (m *Map) Retired() int { return m.retired.size }

// Apply returns the map that results from an update. m itself is never modified. An
// error means that the update is rejected: m remains valid, and the returned map must not
// be used. The error is a *StaleError, a *GapError or an *InvalidError.
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
		n.cells = m.cells // shared: cells are never modified once a map is built
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
		if m != nil { // segments that the new map no longer contains are retired
			active := make(map[uint32]bool, len(u.Segments))
			for _, s := range u.Segments {
				active[s.ID] = true
			}
			for _, s := range m.segments {
				if !active[s.ID] {
					n.retire(s.ID, s.Range)
				}
			}
		}
	} else if err := n.applyDelta(m, u); err != nil {
		return nil, err
	}
	return n, n.verify(m, u)
}

// byFrom orders segments by the start of their range, then by id.
func byFrom(a, b Segment) int {
	switch {
	case a.From < b.From:
		return -1
	case a.From > b.From:
		return 1
	}
	return int(a.ID) - int(b.ID)
}

// validate checks an update on its own, without the map that it applies to.
func validate(u *Update) error {
	if len(u.Segments) > MaxSegments || len(u.Removed) > MaxSegments || len(u.Retired) > MaxRetired || len(u.Cells) > MaxCells {
		return invalid(label("update"), "exceeds the limits of a map")
	}
	seen := make(map[uint32]bool, len(u.Segments))
	for _, s := range u.Segments {
		if seen[s.ID] {
			return invalid(s.Range, "segment %d is listed twice", s.ID)
		}
		seen[s.ID] = true
		if s.Empty() {
			return invalid(s.Range, "segment %d has an empty range", s.ID)
		}
		if len(s.From) > MaxKey || len(s.To) > MaxKey {
			return invalid(s.Range, "segment %d: key longer than %d bytes", s.ID, MaxKey)
		}
	}
	for _, id := range u.Removed {
		if seen[id] && u.Base != 0 {
			return invalid(label("update"), "segment %d is both added and removed", id)
		}
	}
	return nil
}

// applyDelta fills n.segments with the segments of m after the changes of the update, and
// retires the removed ones. It does not change cells.
func (n *Map) applyDelta(m *Map, u *Update) error {
	replaced := make(map[uint32]bool, len(u.Removed)+len(u.Segments))
	for _, id := range u.Removed {
		s, active := m.segmentByID(id)
		if !active {
			return invalid(label("update"), "segment %d is removed but not active", id)
		}
		replaced[id] = true
		n.retire(id, s.Range)
	}
	for _, s := range u.Segments {
		replaced[s.ID] = true
	}
	added := slices.Clone(u.Segments)
	slices.SortFunc(added, byFrom)
	n.segments = make([]Segment, 0, len(m.segments)+len(added))
	for _, s := range m.segments { // merges two sorted lists
		for len(added) > 0 && byFrom(added[0], s) < 0 {
			n.segments, added = append(n.segments, added[0]), added[1:]
		}
		if !replaced[s.ID] {
			n.segments = append(n.segments, s)
		}
	}
	n.segments = append(n.segments, added...)
	return nil
}

// retire remembers the range of a segment that is no longer active. Above MaxRetired the
// oldest one is dropped.
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

// verify checks that the segments cover every key exactly once, that each is on a
// cell with servers, and that no id was used for another range before. m is the map that
// the update u was applied to. The cells of all segments are checked only if u changes
// cells; otherwise only the segments in u can have a wrong cell. Only those can have a
// wrong id. verify also fills n.starts, and no longer counts a segment as retired that is
// active again.
func (n *Map) verify(m *Map, u *Update) error {
	if len(n.segments) == 0 {
		return invalid(Range{}, "not covered by any segment")
	}
	if len(n.segments) > MaxSegments {
		return invalid(label("update"), "more than %d segments", MaxSegments)
	}
	next, more := "", true
	for i := range n.segments {
		s := &n.segments[i]
		switch {
		case !more || s.From < next:
			return invalid(Range{s.From, next}, "covered by both segment %d and segment %d", n.segments[i-1].ID, s.ID)
		case s.From > next:
			return invalid(Range{next, s.From}, "not covered by any segment")
		case len(u.Cells) > 0 && len(n.cells[s.Cell]) == 0:
			return invalid(s.Range, "segment %d is on cell %d, which has no servers", s.ID, s.Cell)
		}
		next, more = s.To, s.To != ""
	}
	if more {
		return invalid(Range{next, ""}, "not covered by any segment")
	}
	for _, s := range u.Segments {
		if len(n.cells[s.Cell]) == 0 {
			return invalid(s.Range, "segment %d is on cell %d, which has no servers", s.ID, s.Cell)
		}
		if r, wasRetired := n.retired.get(s.ID); wasRetired {
			if r != s.Range {
				return invalid(s.Range, "segment %d was retired with range %v", s.ID, r)
			}
			n.retired.remove(s.ID) // a reshape was reverted
			n.retiredOrder = slices.DeleteFunc(n.retiredOrder, func(id uint32) bool { return id == s.ID })
		}
		if old, active := m.segmentByID(s.ID); active && old.Range != s.Range {
			return invalid(s.Range, "segment %d already has range %v", s.ID, old.Range)
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

// segmentByID returns the active segment with this id.
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

// Lookup returns the segment that contains key, in O(log n).
func (m *Map) Lookup(key string) (Segment, bool) {
	if m.Len() == 0 {
		return Segment{}, false
	}
	return m.segments[m.indexOf(key)], true
}

// indexOf returns the index of the segment that contains key.
func (m *Map) indexOf(key string) int {
	return sort.Search(len(m.segments), func(i int) bool { return m.segments[i].From > key }) - 1
}

// Range returns the key range of a segment. known is also true for a retired segment that
// is remembered; active is false for it.
func (m *Map) Range(id uint32) (r Range, active, known bool) {
	if m == nil {
		return r, false, false
	}
	if s, ok := m.segmentByID(id); ok {
		return s.Range, true, true
	}
	r, known = m.retired.get(id)
	return r, false, known
}

// Overlapping returns the active segments that intersect r, sorted by range. The caller
// must not modify them.
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
