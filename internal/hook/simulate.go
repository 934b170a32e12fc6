package hook

// This file plays one query through a set outside a mixer, for those who write
// hooks.

import (
	"context"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/hookrule"
	"saddleport/sdk/hookabi"
)

// Step is what one hook did at one point of a trial.
type Step struct {
	Point  string
	Part   int // the shard at hand; -1: none
	Hook   string
	Took   time.Duration
	Answer string // as JSON; empty where it failed
	Fault  string
	Logged []string
}

// Simulate plays a query through all points of a set: its parts are sent once each,
// and served with the values that the view gives them. How it ends is the second
// result.
func (l *Loader) Simulate(s *Set, q *hookabi.View) ([]Step, string) {
	classes := l.Classes
	if len(classes) == 0 {
		classes = []choice.Class{{Name: q.Class, Effect: choice.Safe, RequiredShare: 1}}
	}
	rules := hookrule.New(classes)
	var steps []Step
	v := *q
	at := func(p hookabi.Point, part int) (refused string) {
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
		if why := at(p, -1); why != "" {
			return steps, "refused: " + why
		}
	}
	for i := range v.Parts {
		if v.Parts[i].Dropped {
			continue
		}
		if why := at(hookabi.Send, i); why != "" {
			return steps, "refused or failed: " + why
		}
		v.Parts[i].Attempts++
	}
	for i := range v.Parts {
		if v.Parts[i].Dropped {
			continue
		}
		v.Parts[i].Served, v.Parts[i].Value = true, values[i]
		why := at(hookabi.Answered, i)
		v.Parts[i].Value = ""
		if why != "" {
			return steps, "refused or failed: " + why
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
	if why := at(hookabi.Answer, -1); why != "" {
		return steps, "refused or failed: " + why
	}
	at(hookabi.Ended, -1)
	end := "answered in part"
	if v.Whole {
		end = "answered whole"
	}
	return steps, end
}
