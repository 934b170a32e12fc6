// Package play runs a scenario's plan on the virtual or the real drive. It only selects the
// drive and the policy by name.
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
	Proxy   = "mixer"  // the decisions of the proxy program
	Oracle  = "oracle" // selects by the true state of every server
	Random  = "random" // selects any replica of the list
)

// Options configure how a plan is run.
type Options struct {
	Drive    string // empty: Virtual
	Policy   string // empty: Proxy, the only policy of the real drive
	Program  string
	Logs     string
	Operator string
	KeepRows bool
	Progress func(share float64, remark string)
	Trace    func(at time.Duration, query, text string)
	Digest   *DecisionDigest // virtual drive: gets a digest of the decisions; nil: none
}

// DecisionDigest is a digest of all events that the proxies' deciders received and of all
// actions that they returned. Two builds with the same digest of a run made the same decisions.
type DecisionDigest struct {
	Steps, Events, Actions int64
	sum                    hash.Hash
}

// Digest returns the digest of the decisions so far, or "-" before the run.
func (d *DecisionDigest) Digest() string {
	if d.sum == nil {
		return "-"
	}
	return fmt.Sprintf("%x", d.sum.Sum(nil))[:32]
}

// digestingDecider adds the events and actions of a decider to a digest.
type digestingDecider struct {
	exchange.Decider
	proxy int
	d     *DecisionDigest
}

func (f digestingDecider) Step(now choice.Micros, events []choice.Event) []choice.Action {
	out := f.Decider.Step(now, events)
	f.d.Steps, f.d.Events, f.d.Actions = f.d.Steps+1, f.d.Events+int64(len(events)), f.d.Actions+int64(len(out))
	fmt.Fprintf(f.d.sum, "%d %d", f.proxy, now)
	for _, e := range events {
		fmt.Fprintf(f.d.sum, " %T%+v", e, e)
	}
	for _, a := range out {
		fmt.Fprintf(f.d.sum, " %T%+v", a, a)
	}
	return out
}

// Play runs a plan and returns its record.
func Play(ctx context.Context, p *scenario.Plan, opt Options) (*record.Run, error) {
	switch opt.Drive {
	case Real:
		if opt.Policy != "" && opt.Policy != Proxy {
			return nil, fmt.Errorf("policy %s is not available on the real drive, which runs the proxy program itself", opt.Policy)
		}
		return real.Run(ctx, p, real.Options{Program: opt.Program, Logs: opt.Logs, Operator: opt.Operator,
			Progress: func(s real.Sample) {
				if opt.Progress != nil {
					opt.Progress(s.At.Seconds()/s.Of.Seconds(), fmt.Sprintf("%4.0f answered/s %3.0f refused/s %3.0f failed/s %5.0f parts/s  %d in flight  %d servers down  %d proxies, %d MiB",
						s.Answered, s.Refused, s.Failed, s.Parts, s.Open, s.Down, s.Mixers, s.RSS>>20))
				}
			}})
	case "", Virtual:
	default:
		return nil, fmt.Errorf("unknown drive %q; the drives are: %s, %s", opt.Drive, Virtual, Real)
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
		return nil, fmt.Errorf("unknown policy %q; the policies are: %s, %s, %s", opt.Policy, Proxy, Oracle, Random)
	}
	if d := opt.Digest; d != nil {
		d.sum = sha256.New()
		decide := v.Decide
		if decide == nil {
			decide = virtual.ProxyDecider
		}
		v.Decide = func(w *virtual.World, proxy, incarnation int, seed uint64, set choice.Settings) (exchange.Decider, error) {
			x, err := decide(w, proxy, incarnation, seed, set)
			return digestingDecider{x, proxy, d}, err
		}
	}
	return virtual.Run(ctx, p, v)
}
