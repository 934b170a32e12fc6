// Command closedclinic refuses bookings while the clinic that the query's text
// names ("clinic=7;...") is closed, and tells when to ask again.
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
		if why, is := closed[clinic]; is {
			guest.Log("refused a booking for clinic " + clinic)
			return guest.Refuse("clinic "+clinic+" is closed: "+why, 2000)
		}
		return nil
	})
}
