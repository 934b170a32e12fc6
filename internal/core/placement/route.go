package placement

// This file translates the segments that a client requests, by the map that the client
// knows, into parts for servers, by the current map.

import (
	"fmt"
	"slices"
)

// PartRequest is one part as a client requests it: a segment, possibly of an old
// epoch, and optionally only a range of its keys.
type PartRequest struct {
	Segment uint32
	Range   Range   // zero: the segment's full range
	Weight  float64 // share of the query's complete answer
}

// Share is the portion of one request that one target serves.
type Share struct {
	Request int // index of the request in the query
	Range   Range
	Weight  float64 // share of the query's complete answer
}

// Target is one part as it is sent to a cell: an active segment, the requested ranges of it,
// and the requests that they belong to.
type Target struct {
	Segment uint32
	Cell    int
	Shares  []Share // sorted by range, without overlaps
}

// Ranges returns the requested ranges, with adjacent ones joined.
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

// Weight is the target's share of the complete answer.
func (t *Target) Weight() float64 {
	sum := 0.0
	for _, s := range t.Shares {
		sum += s.Weight
	}
	return sum
}

// RouteError is the error for a query that can't be routed. Retryable says that a
// newer map may help.
type RouteError struct {
	Problem   string
	Retryable bool
}

func (e *RouteError) Error() string { return e.Problem }

// Route returns the targets of a query: at most limit, otherwise an error. A request whose segment
// was split yields one target per child that its range touches, with its weight
// divided evenly among them; requests that reach the same segment share one target.
// Two requests for the same keys are an error: each key belongs to one part. Errors are
// of type *RouteError.
func (m *Map) Route(requests []PartRequest, limit int) ([]Target, error) {
	if m.Len() == 0 {
		return nil, &RouteError{"no map of the segments is held yet", true}
	}
	var out []Target
	index := make(map[uint32]int)
	for i, p := range requests {
		r, _, known := m.Range(p.Segment)
		if !known {
			return nil, &RouteError{fmt.Sprintf("segment %d is not known at epoch %d", p.Segment, m.epoch), true}
		}
		if p.Range != (Range{}) {
			if p.Range.Empty() || !r.Covers(p.Range) {
				return nil, &RouteError{fmt.Sprintf("segment %d holds %v, not %v", p.Segment, r, p.Range), false}
			}
			r = p.Range
		}
		segments := m.Overlapping(r)
		if len(out)+len(segments) > limit+len(index) { // cheap check before the exact one below
			return nil, &RouteError{fmt.Sprintf("would bring more than %d parts", limit), false}
		}
		for _, s := range segments {
			common, ok := s.Range.Intersect(r)
			if !ok {
				continue
			}
			t, seen := index[s.ID]
			if !seen {
				if len(out) >= limit {
					return nil, &RouteError{fmt.Sprintf("would bring more than %d parts", limit), false}
				}
				t = len(out)
				index[s.ID] = t
				out = append(out, Target{Segment: s.ID, Cell: s.Cell})
			}
			for _, o := range out[t].Shares {
				if _, overlap := o.Range.Intersect(common); overlap {
					return nil, &RouteError{fmt.Sprintf("segments %d and %d are asked for the same keys", requests[o.Request].Segment, p.Segment), false}
				}
			}
			out[t].Shares = append(out[t].Shares, Share{i, common, p.Weight / float64(len(segments))})
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

// Reroute routes the shares of a target by a newer map than the one that the target was
// routed by. It splits a share whose segment was split since. More than limit targets are
// an error; errors are of type *RouteError.
func (m *Map) Reroute(t *Target, limit int) ([]Target, error) {
	var out []Target
	index := make(map[uint32]int)
	for _, s := range t.Shares {
		segments := m.Overlapping(s.Range)
		if len(segments) == 0 {
			return nil, &RouteError{"no map of the segments is held", true}
		}
		for _, seg := range segments {
			common, ok := seg.Range.Intersect(s.Range)
			if !ok {
				continue
			}
			i, seen := index[seg.ID]
			if !seen {
				if len(out) >= limit {
					return nil, &RouteError{fmt.Sprintf("would bring more than %d parts", limit), false}
				}
				i = len(out)
				index[seg.ID] = i
				out = append(out, Target{Segment: seg.ID, Cell: seg.Cell})
			}
			out[i].Shares = append(out[i].Shares, Share{s.Request, common, s.Weight / float64(len(segments))})
		}
	}
	return out, nil
}
