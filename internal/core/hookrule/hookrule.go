// Package hookrule decides which requests of a hook are granted. It is pure: no I/O,
// no clock. The host checks every result with it, whichever engine ran the hook. A
// result with one request that is not allowed is rejected completely: nothing else in
// a result that breaks a rule can be trusted either.
package hookrule

import (
	"fmt"
	"slices"

	"saddleport/choice"
	"saddleport/sdk/hookabi"
)

// ShareTolerance is the rounding error that is accepted when shares are compared.
const ShareTolerance = 1e-6

// MinTimeLeft is the least time that a hook may leave to a query, in microseconds.
const MinTimeLeft = 1000

// MaxTags limits the tags, and the notes, that all hooks together may set on a query.
const MaxTags = 32

// RejectedError says why a hook's result is rejected.
type RejectedError struct{ Problem string }

func (r *RejectedError) Error() string { return r.Problem }

func rejectf(format string, args ...any) error { return &RejectedError{fmt.Sprintf(format, args...)} }

// claimReasons says for each claim why a hook can't have it.
var claimReasons = map[string]string{
	"id":     "a hook can't affect another query",
	"value":  "only the leaf server sets a value",
	"whole":  "whether an answer is complete depends on its parts alone",
	"server": "a hook can't choose the server",
	"resend": "a hook can't cause another attempt",
	"answer": "a hook can't give the query's answer",
	"status": "the status depends on the outcome of the query alone",
}

// Rules checks the results of hooks against the classes of the deployment.
type Rules struct{ classes map[string]choice.Class }

// New returns the rules for a deployment's classes.
func New(classes []choice.Class) Rules {
	r := Rules{make(map[string]choice.Class, len(classes))}
	for _, c := range classes {
		r.classes[c.Name] = c
	}
	return r
}

// Check checks a hook's result and returns what it grants: the result itself, with a
// reason added if it refuses the query without one. v must be the view that the hook
// was given, updated (Apply) with what earlier hooks of the same point were granted. A
// result that is not allowed gives a RejectedError.
func (r Rules) Check(v *hookabi.View, a *hookabi.Result, hook string) (*hookabi.Result, error) {
	if err := a.Check(); err != nil {
		return nil, rejectf("%v", err)
	}
	if len(a.Claims) > 0 {
		return nil, rejectf("claims %s: %s", a.Claims[0], claimReasons[a.Claims[0]])
	}
	if v.Point == hookabi.Ended {
		if a.Refuse || a.NotWhole || a.Class != "" || a.Left != 0 || len(a.Drop)+len(a.Tags)+len(a.Notes) > 0 {
			return nil, rejectf("the query has ended: nothing can be requested any more")
		}
		return a, nil
	}
	if len(v.Tags)+len(a.Tags) > MaxTags || len(v.Notes)+len(a.Notes) > MaxTags {
		return nil, rejectf("more than %d tags or notes for one query", MaxTags)
	}
	class := r.classes[v.Class]
	if a.Class != "" && a.Class != v.Class {
		to, known := r.classes[a.Class]
		switch {
		case v.Point != hookabi.Taken:
			return nil, rejectf("class: may be changed only at the taken point")
		case !known:
			return nil, rejectf("class %q: unknown class", a.Class)
		case to.Effect < class.Effect:
			return nil, rejectf("class %s: its parts may be repeated, those of %s may not", a.Class, v.Class)
		case to.RequiredShare < class.RequiredShare || to.MinShare < class.MinShare:
			return nil, rejectf("class %s: its required or minimum share is below that of %s", a.Class, v.Class)
		}
		class = to
	}
	if a.Left > 0 {
		switch {
		case v.Point > hookabi.Admission:
			return nil, rejectf("time left: can't be changed after admission")
		case a.Left > v.Left:
			return nil, rejectf("time left: %d us is more than the remaining %d us", a.Left, v.Left)
		case a.Left < MinTimeLeft:
			return nil, rejectf("time left: %d us is below the minimum of %d us", a.Left, MinTimeLeft)
		}
	}
	if len(a.Drop) > 0 {
		if err := r.checkDrop(v, a.Drop, class); err != nil {
			return nil, err
		}
	}
	if a.Refuse && a.Reason == "" {
		granted := *a
		granted.Reason = "by hook " + hook
		a = &granted
	}
	return a, nil
}

// checkDrop checks whether these parts may be dropped: the class must allow an answer
// from what is left, and parts that may have side effects are never dropped.
func (r Rules) checkDrop(v *hookabi.View, shards []int, class choice.Class) error {
	if class.Effect != choice.Safe {
		return rejectf("drop: parts of class %s may have side effects", class.Name)
	}
	total, left := 0.0, 0.0
	dropped := make(map[int]bool, len(shards))
	for _, shard := range shards {
		i := slices.IndexFunc(v.Parts, func(p hookabi.PartView) bool { return p.Shard == shard })
		switch {
		case i < 0:
			return rejectf("drop: the query has no part for shard %d", shard)
		case dropped[shard]:
			return rejectf("drop: shard %d is listed twice", shard)
		case (v.Point == hookabi.Send || v.Point == hookabi.Answered) && i != v.Part:
			return rejectf("drop: only the current part may be dropped, not shard %d", shard)
		}
		dropped[shard] = true
	}
	for _, p := range v.Parts {
		total += p.Weight
		if !dropped[p.Shard] && !p.Dropped && (v.Point != hookabi.Answer || p.Served) {
			left += p.Weight
		}
	}
	if left <= 0 || left < class.MinShare*total-ShareTolerance {
		return rejectf("drop: %.3f of the answer would be left, but class %s requires %.3f", left/total, class.Name, class.MinShare)
	}
	return nil
}

// Apply updates a view with what a hook was granted, for the next hook.
func Apply(v *hookabi.View, a *hookabi.Result) {
	v.Tags = Merge(v.Tags, a.Tags)
	v.Notes = Merge(v.Notes, a.Notes)
	if a.Class != "" {
		v.Class = a.Class
	}
	if a.Left > 0 {
		v.Left = a.Left
	}
	for _, shard := range a.Drop {
		for i := range v.Parts {
			if v.Parts[i].Shard == shard {
				v.Parts[i].Dropped = true
			}
		}
	}
	if a.NotWhole {
		v.Whole = false
	}
}

// Merge returns old with the pairs of update added; a pair of update replaces one of the
// same name. Neither list is modified.
func Merge(old, update []hookabi.Pair) []hookabi.Pair {
	if len(update) == 0 {
		return old
	}
	out := slices.Clone(old)
	for _, p := range update {
		if i := slices.IndexFunc(out, func(o hookabi.Pair) bool { return o.Name == p.Name }); i >= 0 {
			out[i] = p
		} else {
			out = append(out, p)
		}
	}
	return out
}

// SafeToRefuse reports whether a query may still be refused: a refusal promises the
// client that repeating the query does no harm.
func SafeToRefuse(effect choice.Effect, mayHaveRun bool) bool {
	return effect == choice.Safe || !mayHaveRun
}

// MeetsRequiredShare reports whether an answer with this share of the query may be marked
// complete.
func MeetsRequiredShare(class choice.Class, share float64) bool {
	return share >= class.RequiredShare-ShareTolerance
}

// MeetsMinShare reports whether an answer with this share of the query may be given at all.
func MeetsMinShare(class choice.Class, share float64) bool {
	return share > 0 && share >= class.MinShare-ShareTolerance
}
