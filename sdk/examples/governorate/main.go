// Command governorate tags each query with the governorate that its text names
// ("gov=amman;..."), and notes it on the answer.
package main

import (
	"strings"

	"saddleport/sdk/guest"
)

func main() {}

func init() {
	guest.Handle(guest.Taken, func(q *guest.Query) *guest.Answer {
		name := "unknown"
		if _, rest, ok := strings.Cut(q.Text, "gov="); ok {
			name, _, _ = strings.Cut(rest, ";")
		}
		pair := []guest.Pair{{Name: "governorate", Value: name}}
		return &guest.Answer{Tags: pair, Notes: pair}
	})
}
