package placement

// This file turns what a client asks for, by the map that it knows, into what is
// asked of servers, by the map that is held.

import (
	"fmt"
	"slices"
)

// Ask is one part as a client names it: a segment, perhaps of an old epoch, and
// perhaps only a range of its keys.
type PartRequest struct {
	Segment uint32
	Range   Range // zero: all that the segment holds
	Weight  float64
}

// Share is how much of an ask a target answers for.
type Share struct {
	Request int // its index
	Range   Range
	Weight  float64
}

// Target is one part as it goes out: a segment in force, the ranges of it that are
// wanted, and the asks that they answer for.
type Target struct {
	Segment uint32
	Cell    int
	Shares  []Share // by range; no two overlap
}

// Ranges are the ranges wanted, next to each other ones joined.
func (t *Target) Ranges() []Range {
	var out []Range
	for _, s := range t.Shares {
		if n := len(out); n > 0 && out[n-1].To != "" && out[n-1].To == s.Range.From {
			out[n-1].To = s.Range.To
			continue
		}
		out = append(out, s.Range)
	}
	return out
}

// Weight is the share of the whole answer that the target brings.
func (t *Target) Weight() float64 {
	sum := 0.0
	for _, s := range t.Shares {
		sum += s.Weight
	}
	return sum
}

// RouteError is a query that can't be routed. Again tells that a newer map may help.
type RouteError struct {
	Problem   string
	Retryable bool
}

func (e *RouteError) Error() string { return e.Problem }

// Route finds the targets of a query's asks, most of them at most. An ask whose
// segment has split brings a target for each child that its range touches, its
// weight shared evenly among them; asks that reach the same segment share one
// target. Two asks for the same keys are refused: each key is in one part.
func (m *Map) Route(asks []PartRequest, most int) ([]Target, error) {
	if m.Len() == 0 {
		return nil, &RouteError{"no map of the segments is held yet", true}
	}
	var out []Target
	index := make(map[uint32]int)
	for i, a := range asks {
		r, _, known := m.Range(a.Segment)
		if !known {
			return nil, &RouteError{fmt.Sprintf("segment %d is not known at epoch %d", a.Segment, m.epoch), true}
		}
		if a.Range != (Range{}) {
			if a.Range.Empty() || !r.Covers(a.Range) {
				return nil, &RouteError{fmt.Sprintf("segment %d holds %v, not %v", a.Segment, r, a.Range), false}
			}
			r = a.Range
		}
		over := m.Overlapping(r)
		if len(out)+len(over) > most+len(index) { // a cheap bound before the exact one
			return nil, &RouteError{fmt.Sprintf("would bring more than %d parts", most), false}
		}
		for _, s := range over {
			cut, ok := s.Range.Intersect(r)
			if !ok {
				continue
			}
			t, seen := index[s.ID]
			if !seen {
				if len(out) >= most {
					return nil, &RouteError{fmt.Sprintf("would bring more than %d parts", most), false}
				}
				t = len(out)
				index[s.ID] = t
				out = append(out, Target{Segment: s.ID, Cell: s.Cell})
			}
			for _, o := range out[t].Shares {
				if _, both := o.Range.Intersect(cut); both {
					return nil, &RouteError{fmt.Sprintf("segments %d and %d are asked for the same keys", asks[o.Request].Segment, a.Segment), false}
				}
			}
			out[t].Shares = append(out[t].Shares, Share{i, cut, a.Weight / float64(len(over))})
		}
	}
	for i := range out {
		slices.SortFunc(out[i].Shares, func(a, b Share) int {
			switch {
			case a.Range.From < b.Range.From:
				return -1
			case a.Range.From > b.Range.From:
				return 1
			}
			return 0
		})
	}
	return out, nil
}

// Again routes what one target was to bring by a newer map: the same shares, cut
// where segments have split since.
func (m *Map) Reroute(t *Target, most int) ([]Target, error) {
	var out []Target
	index := make(map[uint32]int)
	for _, s := range t.Shares {
		over := m.Overlapping(s.Range)
		if len(over) == 0 {
			return nil, &RouteError{"no map of the segments is held", true}
		}
		for _, seg := range over {
			cut, ok := seg.Range.Intersect(s.Range)
			if !ok {
				continue
			}
			i, seen := index[seg.ID]
			if !seen {
				if len(out) >= most {
					return nil, &RouteError{fmt.Sprintf("would bring more than %d parts", most), false}
				}
				i = len(out)
				index[seg.ID] = i
				out = append(out, Target{Segment: seg.ID, Cell: seg.Cell})
			}
			out[i].Shares = append(out[i].Shares, Share{s.Request, cut, s.Weight / float64(len(over))})
		}
	}
	return out, nil
}
