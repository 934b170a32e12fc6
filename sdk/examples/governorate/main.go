// Command governorate adds a tag to each query and a note to its answer: the governorate that
// the text of the query names ("gov=amman;...").
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
