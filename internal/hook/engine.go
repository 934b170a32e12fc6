// Package hook is the host of a hospital's own hooks. It owns the manifest, the
// sets, the pool that hooks run on, their budgets, and what is granted of what
// they say. It must never run a hook on the exchange's goroutine, let one hook
// cost a query more than its budget, believe an answer that the rules do not
// grant, or choose a server.
//
// Engines are in packages of their own, beside this one, and know only this file.
package hook

import (
	"context"
	"fmt"

	"saddleport/sdk/hookabi"
)

// Kind says how a call failed.
type Kind string

// The kinds. Busy, Short and Quarantined are not the hook's doing, and no
// evidence against it.
const (
	Overrun     Kind = "overrun"     // more time or steps than its budget
	Memory      Kind = "memory"      // more memory than its budget
	Thrown      Kind = "thrown"      // an error of its own
	Garbage     Kind = "garbage"     // an answer that can't be read
	Forbidden   Kind = "forbidden"   // an answer that asks for what no hook may have
	Busy        Kind = "busy"        // no worker or instance was free
	Short       Kind = "short"       // the query had too little time left
	Quarantined Kind = "quarantined" // its breaker is open
)

// own tells whether a kind is the hook's own doing.
func (k Kind) own() bool { return k != Busy && k != Short && k != Quarantined }

// Fault is a call that failed. What is for people, with file and line where there
// is one; it is bounded.
type Fault struct {
	Kind Kind
	What string
}

func (f *Fault) Error() string { return string(f.Kind) + ": " + f.What }

// Faultf makes a fault.
func Faultf(k Kind, format string, args ...any) *Fault {
	what := fmt.Sprintf(format, args...)
	if len(what) > 300 {
		what = what[:300] + "..."
	}
	return &Fault{k, what}
}

// Source is what an engine loads: a file's text, and what its calls may use.
type Source struct {
	Hook, File string
	Text       []byte
	Points     []hookabi.Point
	Memory     int64 // bytes: Starlark a call, WebAssembly an instance
	Steps      int   // Starlark a call
	Calls      int   // at once, at most
}

// Engine loads hooks of one kind.
type Engine interface {
	// Load compiles a hook. What it runs meanwhile is bounded like a call.
	Load(ctx context.Context, src Source) (Program, error)
}

// Program is a hook that has been loaded. Call may be made from Source.Calls
// goroutines at once. It returns soon after ctx is done, whatever the hook does;
// its error is a *Fault. A call leaves nothing behind that another query's call
// could see where the engine can help it.
type Program interface {
	Call(ctx context.Context, v *hookabi.View) (*hookabi.Result, error)
	Close()
}
