// Command governorate tags each query with the governorate that its key names
// ("amman:2027-02-01"), and notes it on the answer.
package main

import (
	"strings"

	"saddleport/sdk/guest"
)

func main() {}

func init() {
	guest.Handle(guest.Taken, func(q *guest.Query) *guest.Answer {
		name, _, ok := strings.Cut(q.Key, ":")
		if !ok || name == "" {
			name = "unknown"
		}
		pair := []guest.Pair{{Name: "governorate", Value: name}}
		return &guest.Answer{Tags: pair, Notes: pair}
	})
}
