// Command closedclinic refuses queries for a closed clinic, with advice when to retry. The
// text of the query names the clinic ("clinic=7;...").
package main

import (
	"strings"

	"saddleport/sdk/guest"
)

var closed = map[string]string{"7": "renovation until Sunday", "12": "no staff today"}

func main() {}

func init() {
	guest.Handle(guest.Taken, func(q *guest.Query) *guest.Answer {
		_, rest, ok := strings.Cut(q.Text, "clinic=")
		if !ok {
			return nil
		}
		clinic, _, _ := strings.Cut(rest, ";")
		if reason, isClosed := closed[clinic]; isClosed {
			guest.Log("refused a booking for clinic " + clinic)
			return guest.Refuse("clinic "+clinic+" is closed: "+reason, 2000)
		}
		return nil
	})
}
