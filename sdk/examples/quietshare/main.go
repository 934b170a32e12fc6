// Command quietshare drops the parts with the least weight, which are of no use to a planner,
// as long as four fifths of the answer remain. The host rejects the request if the class does
// not allow an answer without these parts.
package main

import (
	"slices"

	"saddleport/sdk/guest"
)

const minShare = 0.8

func main() {}

func init() {
	guest.Handle(guest.Admission, func(q *guest.Query) *guest.Answer {
		parts := slices.Clone(q.Parts)
		slices.SortFunc(parts, func(a, b guest.Part) int {
			switch {
			case a.Weight < b.Weight:
				return -1
			case a.Weight > b.Weight:
				return 1
			}
			return a.Shard - b.Shard
		})
		a, left := &guest.Answer{}, 1.0
		for _, p := range parts {
			if left -= p.Weight; left < minShare {
				break
			}
			a.Drop = append(a.Drop, p.Shard)
		}
		return a
	})
	guest.Handle(guest.Reply, func(q *guest.Query) *guest.Answer {
		if q.Whole {
			return nil
		}
		return &guest.Answer{Notes: []guest.Pair{{Name: "partial", Value: "least parts left out"}}}
	})
}
