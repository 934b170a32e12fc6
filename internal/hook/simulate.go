package hook

// The simulation of one query outside a mixer, for people who write hooks.

import (
	"context"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/hookrule"
	"saddleport/sdk/hookabi"
)

// Step is one call of a hook during a simulation.
type Step struct {
	Point  string
	Part   int // the shard of the current part; -1: none
	Hook   string
	Took   time.Duration
	Answer string // the result as JSON; empty if the call failed
	Fault  string
	Logged []string
}

// Simulate runs a query through all points of a set. Each part is sent once, and is
// answered with the value that the view has for it. It returns the calls and the outcome
// of the query.
func (l *Loader) Simulate(s *Set, q *hookabi.View) ([]Step, string) {
	classes := l.Classes
	if len(classes) == 0 {
		classes = []choice.Class{{Name: q.Class, Effect: choice.Safe, RequiredShare: 1}}
	}
	rules := hookrule.New(classes)
	var steps []Step
	v := *q
	callAt := func(p hookabi.Point, part int) (refusal string) {
		v.Point, v.Part = p, part
		for _, h := range s.Hooks {
			if !h.wants(p, v.Class) {
				continue
			}
			step := Step{Point: p.String(), Part: -1, Hook: h.Name}
			if part >= 0 {
				step.Part = v.Parts[part].Shard
			}
			ctx, cancel := context.WithTimeout(context.Background(), h.Budget)
			start := time.Now()
			r, err := call(ctx, h, &v)
			step.Took = time.Since(start)
			cancel()
			var granted *hookabi.Result
			if err == nil {
				step.Logged = r.Log
				if granted, err = rules.Check(&v, r, h.Name); err != nil {
					err = Faultf(Forbidden, "%v", err)
				}
			}
			if err != nil {
				step.Fault = err.Error()
				if h.OnFailure == "refuse" && p != hookabi.Ended {
					granted = h.refusal()
				}
			} else {
				step.Answer = ResultJSON(r)
			}
			steps = append(steps, step)
			if granted == nil {
				continue
			}
			hookrule.Apply(&v, granted)
			if granted.Refuse {
				return granted.Reason
			}
		}
		return ""
	}
	values := make([]string, len(v.Parts))
	parts := append([]hookabi.PartView(nil), v.Parts...)
	for i := range parts {
		values[i], parts[i].Value, parts[i].Served = parts[i].Value, "", false
	}
	v.Parts = parts
	for _, p := range []hookabi.Point{hookabi.Taken, hookabi.Admission} {
		if reason := callAt(p, -1); reason != "" {
			return steps, "refused: " + reason
		}
	}
	for i := range v.Parts {
		if v.Parts[i].Dropped {
			continue
		}
		if reason := callAt(hookabi.Send, i); reason != "" {
			return steps, "refused or failed: " + reason
		}
		v.Parts[i].Attempts++
	}
	for i := range v.Parts {
		if v.Parts[i].Dropped {
			continue
		}
		v.Parts[i].Served, v.Parts[i].Value = true, values[i]
		reason := callAt(hookabi.Answered, i)
		v.Parts[i].Value = ""
		if reason != "" {
			return steps, "refused or failed: " + reason
		}
	}
	v.Ending, v.Whole, v.Share = "answered", true, 0
	for i := range v.Parts {
		if !v.Parts[i].Dropped {
			v.Parts[i].Value = values[i]
			v.Share += v.Parts[i].Weight
		}
	}
	v.Whole = v.Share >= 1-hookrule.ShareTolerance
	if reason := callAt(hookabi.Answer, -1); reason != "" {
		return steps, "refused or failed: " + reason
	}
	callAt(hookabi.Ended, -1)
	outcome := "answered in part"
	if v.Whole {
		outcome = "answered whole"
	}
	return steps, outcome
}
