// Package guest is the SDK for hooks that are written in Go and compiled to WebAssembly:
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
// It implements the module's side of the ABI. If a hook panics, the call fails and the host
// replaces the instance.
package guest

import "saddleport/sdk/hookabi"

// Short names for the types of the view and the result.
type (
	Query  = hookabi.View
	Answer = hookabi.Result
	Pair   = hookabi.Pair
	Part   = hookabi.PartView
	Point  = hookabi.Point
)

// The points at which hooks are called. Reply is hookabi.Answer, since Answer is a type here.
const (
	Taken     = hookabi.Taken
	Admission = hookabi.Admission
	Send      = hookabi.Send
	Answered  = hookabi.Answered
	Reply     = hookabi.Answer
	Ended     = hookabi.Ended
)

var handlers [hookabi.Points]func(*Query) *Answer

// Handle registers the handler of a point. A handler that returns nil requests nothing.
func Handle(p Point, f func(*Query) *Answer) { handlers[p] = f }

// Tag returns the value of a tag of the query, or "" if the query does not have it.
func Tag(q *Query, name string) string {
	for _, t := range q.Tags {
		if t.Name == name {
			return t.Value
		}
	}
	return ""
}

// Refuse returns an answer that refuses the query and advises the client to retry after
// retryAfterMS milliseconds.
func Refuse(reason string, retryAfterMS int64) *Answer {
	return &Answer{Refuse: true, Reason: reason, RetryAfter: retryAfterMS * 1000}
}

//lint:ignore U1000 called only by the exports, which are built for WebAssembly alone

// dispatch decodes a view, calls the handler of the point and encodes its answer. It returns
// nil if there is no handler or if the handler requests nothing.
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
