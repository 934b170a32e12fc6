// Package play plays a scenario's plan on either drive. It owns the choice of drive
// and policy by their names and nothing else.
package play

import (
	"context"
	"fmt"
	"time"

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
	Mixer   = "mixer"  // the module that serves
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
	Keep     bool
	Progress func(share float64, remark string)
	Trace    func(at time.Duration, query, text string)
}

// Play plays a plan.
func Play(ctx context.Context, p *scenario.Plan, opt Options) (*record.Run, error) {
	switch opt.Drive {
	case Real:
		if opt.Policy != "" && opt.Policy != Mixer {
			return nil, fmt.Errorf("policy %s: the real drive plays the program itself", opt.Policy)
		}
		return real.Run(ctx, p, real.Options{Program: opt.Program, Logs: opt.Logs, Operator: opt.Operator,
			Progress: func(at, of time.Duration, open, mixers int, rss int64) {
				if opt.Progress != nil {
					opt.Progress(at.Seconds()/of.Seconds(), fmt.Sprintf("%d open  %d mixers  %d MiB", open, mixers, rss>>20))
				}
			}})
	case "", Virtual:
	default:
		return nil, fmt.Errorf("there is no drive %q; there are: %s, %s", opt.Drive, Virtual, Real)
	}
	v := virtual.Options{Keep: opt.Keep, Trace: opt.Trace, Policy: opt.Policy, Progress: func(at, of time.Duration, events int64) {
		if opt.Progress != nil {
			opt.Progress(at.Seconds()/of.Seconds(), fmt.Sprintf("%.1f million events", float64(events)/1e6))
		}
	}}
	switch opt.Policy {
	case "", Mixer:
	case Oracle:
		v.Decide = oracle.True
	case Random:
		v.Decide = oracle.Blind
	default:
		return nil, fmt.Errorf("there is no policy %q; there are: %s, %s, %s", opt.Policy, Mixer, Oracle, Random)
	}
	return virtual.Run(ctx, p, v)
}
