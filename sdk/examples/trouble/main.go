// Command trouble is a misbehaving hook for tests and drills. The first word of the query's
// text says what it does.
package main

import (
	"os"
	"strings"
	"time"

	"saddleport/sdk/guest"
)

func main() {}

// allocated keeps the memory of "bomb" reachable.
var allocated [][]byte

func init() {
	for p := guest.Taken; p <= guest.Ended; p++ {
		guest.Handle(p, handle)
	}
}

func handle(q *guest.Query) *guest.Answer {
	action, arg, _ := strings.Cut(q.Text, " ")
	switch action {
	case "loop":
		for n := 0; ; n++ {
			if n < 0 {
				return nil
			}
		}
	case "throw":
		panic("on purpose")
	case "bomb":
		for {
			allocated = append(allocated, make([]byte, 1<<20))
			allocated[len(allocated)-1][0] = 1
		}
	case "recurse":
		return &guest.Answer{Left: int64(recurse(1))}
	case "exit":
		os.Exit(3)
	case "sleep":
		time.Sleep(time.Hour)
	case "clock":
		return &guest.Answer{Notes: []guest.Pair{{Name: "now", Value: time.Now().UTC().Format(time.RFC3339)}}}
	case "file":
		_, err := os.ReadFile("/etc/hostname")
		if err == nil {
			return &guest.Answer{Notes: []guest.Pair{{Name: "read", Value: "yes"}}}
		}
	case "claim":
		return &guest.Answer{Claims: []string{arg}}
	case "raise":
		return &guest.Answer{Left: q.Left + 1}
	case "tag":
		return &guest.Answer{Tags: []guest.Pair{{Name: "gov", Value: arg}}}
	case "refuse":
		return guest.Refuse(arg, 1500)
	case "long":
		return &guest.Answer{Tags: []guest.Pair{{Name: "x", Value: strings.Repeat("x", 1000)}}}
	}
	return nil
}

// recurse calls itself until the stack is exhausted, or the host stops it.
func recurse(n int) int {
	if n == 0 {
		return 0
	}
	return recurse(n+1) + 1
}
