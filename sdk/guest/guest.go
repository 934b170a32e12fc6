// Package guest is the kit for hooks written in Go and built as WebAssembly:
//
//	func main() {}
//
//	func init() {
//		guest.Handle(guest.Taken, func(q *guest.Query) *guest.Answer {
//			return &guest.Answer{Tags: []guest.Pair{{Name: "governorate", Value: "amman"}}}
//		})
//	}
//
//	GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -o hook.wasm
//
// It owns the module's side of the ABI and nothing else. A hook that panics fails
// its call; the host puts a new instance in its place.
package guest

import "saddleport/sdk/hookabi"

// The view and the answer, under short names.
type (
	Query  = hookabi.View
	Answer = hookabi.Result
	Pair   = hookabi.Pair
	Part   = hookabi.PartView
	Point  = hookabi.Point
)

// The points.
const (
	Taken     = hookabi.Taken
	Admission = hookabi.Admission
	Send      = hookabi.Send
	Answered  = hookabi.Answered
	Reply     = hookabi.Answer
	Ended     = hookabi.Ended
)

var handlers [hookabi.Points]func(*Query) *Answer

// Handle says what is to be done at a point. Nil asks for nothing.
func Handle(p Point, f func(*Query) *Answer) { handlers[p] = f }

// Tag returns the value of a query's tag.
func Tag(q *Query, name string) string {
	for _, t := range q.Tags {
		if t.Name == name {
			return t.Value
		}
	}
	return ""
}

// Refuse is an answer that refuses, with advice in milliseconds when to come back.
func Refuse(reason string, retryAfterMS int64) *Answer {
	return &Answer{Refuse: true, Reason: reason, RetryAfter: retryAfterMS * 1000}
}

//lint:ignore U1000 the exports that call it are built for WebAssembly alone

// dispatch reads a view, asks the handler and writes its answer.
func dispatch(p Point, b []byte) []byte {
	if int(p) >= len(handlers) || handlers[p] == nil {
		return nil
	}
	q, err := hookabi.DecodeView(b)
	if err != nil {
		panic("guest: " + err.Error())
	}
	a := handlers[p](q)
	if a == nil {
		return nil
	}
	return hookabi.AppendResult(nil, a)
}
