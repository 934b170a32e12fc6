// Package play plays a scenario's plan on either drive. It owns the choice of drive
// and policy by their names and nothing else.
package play

import (
	"context"
	"crypto/sha256"
	"fmt"
	"hash"
	"time"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/oracle"
	"saddleport/internal/lab/real"
	"saddleport/internal/lab/record"
	"saddleport/internal/lab/scenario"
	"saddleport/internal/lab/virtual"
)

// The drives and the policies.
const (
	Virtual = "virtual"
	Real    = "real"
	Proxy   = "mixer"  // the module that serves
	Oracle  = "oracle" // one that sees every server's true state
	Random  = "random" // any replica that the list names
)

// Options are how a plan is played.
type Options struct {
	Drive    string // empty: Virtual
	Policy   string // empty: Mixer; the real drive has no other
	Program  string
	Logs     string
	Operator string
	KeepRows bool
	Progress func(share float64, remark string)
	Trace    func(at time.Duration, query, text string)
	Digest   *DecisionDigest // virtual drive: folds what was decided; nil: not
}

// Decided folds every event that any mixer's decisions got and every action that
// came of it: two builds with the same digest on a run decided the same throughout.
type DecisionDigest struct {
	Steps, Events, Actions int64
	sum                    hash.Hash
}

// Digest is of all that was decided so far.
func (d *DecisionDigest) Digest() string {
	if d.sum == nil {
		return "-"
	}
	return fmt.Sprintf("%x", d.sum.Sum(nil))[:32]
}

// folded is what decides, with its words folded.
type folded struct {
	exchange.Decider
	mixer int
	d     *DecisionDigest
}

func (f folded) Step(now choice.Micros, events []choice.Event) []choice.Action {
	out := f.Decider.Step(now, events)
	f.d.Steps, f.d.Events, f.d.Actions = f.d.Steps+1, f.d.Events+int64(len(events)), f.d.Actions+int64(len(out))
	fmt.Fprintf(f.d.sum, "%d %d", f.mixer, now)
	for _, e := range events {
		fmt.Fprintf(f.d.sum, " %T%+v", e, e)
	}
	for _, a := range out {
		fmt.Fprintf(f.d.sum, " %T%+v", a, a)
	}
	return out
}

// Play plays a plan.
func Play(ctx context.Context, p *scenario.Plan, opt Options) (*record.Run, error) {
	switch opt.Drive {
	case Real:
		if opt.Policy != "" && opt.Policy != Proxy {
			return nil, fmt.Errorf("policy %s: the real drive plays the program itself", opt.Policy)
		}
		return real.Run(ctx, p, real.Options{Program: opt.Program, Logs: opt.Logs, Operator: opt.Operator,
			Progress: func(s real.Sample) {
				if opt.Progress != nil {
					opt.Progress(s.At.Seconds()/s.Of.Seconds(), fmt.Sprintf("%4.0f answered/s %3.0f refused/s %3.0f failed/s %5.0f parts/s  %d open  %d servers down  %d mixers, %d MiB",
						s.Answered, s.Refused, s.Failed, s.Parts, s.Open, s.Down, s.Mixers, s.RSS>>20))
				}
			}})
	case "", Virtual:
	default:
		return nil, fmt.Errorf("there is no drive %q; there are: %s, %s", opt.Drive, Virtual, Real)
	}
	v := virtual.Options{KeepRows: opt.KeepRows, Trace: opt.Trace, Policy: opt.Policy, Progress: func(at, of time.Duration, events int64) {
		if opt.Progress != nil {
			opt.Progress(at.Seconds()/of.Seconds(), fmt.Sprintf("%.1f million events", float64(events)/1e6))
		}
	}}
	switch opt.Policy {
	case "", Proxy:
	case Oracle:
		v.Decide = oracle.True
	case Random:
		v.Decide = oracle.Blind
	default:
		return nil, fmt.Errorf("there is no policy %q; there are: %s, %s, %s", opt.Policy, Proxy, Oracle, Random)
	}
	if d := opt.Digest; d != nil {
		d.sum = sha256.New()
		decide := v.Decide
		if decide == nil {
			decide = virtual.ProxyDecider
		}
		v.Decide = func(w *virtual.World, mixer, life int, seed uint64, set choice.Settings) (exchange.Decider, error) {
			x, err := decide(w, mixer, life, seed, set)
			return folded{x, mixer, d}, err
		}
	}
	return virtual.Run(ctx, p, v)
}
