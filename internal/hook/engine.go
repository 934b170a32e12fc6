// Package hook loads and runs the hooks that a deployment adds to the mixer: scripts
// and modules that inspect queries and may restrict or annotate them. It owns the
// manifest, the hook sets, the worker pool that hooks run on, their time budgets, and
// the check of their results against the rules. It must never run a hook on the
// exchange's goroutine, let a hook delay a query beyond its budget, apply a result that
// the rules reject, or choose a server.
//
// The engines are subpackages. They depend only on the types of this file.
package hook

import (
	"context"
	"fmt"

	"saddleport/sdk/hookabi"
)

// Kind says how a call of a hook failed.
type Kind string

// The kinds of failures. Busy, Short and Quarantined are not caused by the hook and are
// not counted against it by its circuit breaker.
const (
	Overrun     Kind = "overrun"     // the call exceeded its time or step budget
	Memory      Kind = "memory"      // the call exceeded its memory budget
	Thrown      Kind = "thrown"      // the hook raised an error
	Garbage     Kind = "garbage"     // the result could not be decoded
	Forbidden   Kind = "forbidden"   // the result requests something that no hook may have
	Busy        Kind = "busy"        // no worker or instance was free
	Short       Kind = "short"       // the query had too little time left
	Quarantined Kind = "quarantined" // the hook's circuit breaker is open
)

// causedByHook reports whether the hook itself causes failures of this kind.
func (k Kind) causedByHook() bool { return k != Busy && k != Short && k != Quarantined }

// Fault is the error of a failed call. Message is meant for people. It names the file,
// and the line if it is known, and its length is limited.
type Fault struct {
	Kind    Kind
	Message string
}

func (f *Fault) Error() string { return string(f.Kind) + ": " + f.Message }

// Faultf returns a Fault with a formatted message. A message of more than 300 bytes is
// truncated.
func Faultf(k Kind, format string, args ...any) *Fault {
	message := fmt.Sprintf(format, args...)
	if len(message) > 300 {
		message = message[:300] + "..."
	}
	return &Fault{k, message}
}

// Source is the input of an engine: the contents of a hook's file and the limits of its
// calls.
type Source struct {
	Hook, File string
	Text       []byte
	Points     []hookabi.Point
	Memory     int64 // bytes for each call (Starlark) or each instance (WebAssembly)
	Steps      int   // for each call (Starlark)
	Calls      int   // maximum number of concurrent calls
}

// Engine loads hooks written in one language.
type Engine interface {
	// Load compiles a hook. Code that the hook runs while it is loaded is limited in
	// the same way as a call.
	Load(ctx context.Context, src Source) (Program, error)
}

// Program is a loaded hook. Call may be used by up to Source.Calls goroutines
// concurrently. It returns soon after ctx is done, whatever the hook does, and its error
// is a *Fault. As far as the engine can prevent it, a call leaves no state behind that a
// call for another query could see.
type Program interface {
	Call(ctx context.Context, v *hookabi.View) (*hookabi.Result, error)
	Close()
}
