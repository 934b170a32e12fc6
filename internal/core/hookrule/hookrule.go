// Package hookrule decides what of a hook's answer is granted. It is pure: no
// I/O, no clock. The host asks it about every answer, whatever engine made it; an
// answer that asks for one thing too many is void as a whole, for a hook that
// lies once has no half of the truth.
package hookrule

import (
	"fmt"
	"slices"

	"saddleport/choice"
	"saddleport/sdk/hookabi"
)

// Slack is how far shares may miss by rounding.
const ShareTolerance = 1e-6

// LeastLeft is the least time that a hook may leave a query, in microseconds.
const MinTimeLeft = 1000

// MaxTags bounds the tags, and the notes, of one query over all its hooks.
const MaxTags = 32

// Refused is an answer that is not granted.
type RejectedError struct{ Problem string }

func (r *RejectedError) Error() string { return r.Problem }

func rejectf(format string, args ...any) error { return &RejectedError{fmt.Sprintf(format, args...)} }

// claims say why each may not be had.
var claimReasons = map[string]string{
	"id":     "another query may not be touched",
	"value":  "a value is the leaf server's alone",
	"whole":  "an answer is whole or not by what is in it",
	"server": "which server is asked is not a hook's to say",
	"resend": "a further attempt is not a hook's to cause",
	"answer": "a query has one answer, and it is not a hook's to give",
	"status": "the status follows from how the query ended",
}

// Rules are the classes of the deployment.
type Rules struct{ classes map[string]choice.Class }

// New returns the rules for the classes.
func New(classes []choice.Class) Rules {
	r := Rules{make(map[string]choice.Class, len(classes))}
	for _, c := range classes {
		r.classes[c.Name] = c
	}
	return r
}

// Check looks at an answer to a view and returns what it grants: the answer
// itself, with a reason where it refuses. The view must be the one that the hook
// was shown, brought up to date with what earlier hooks of the same point were
// granted.
func (r Rules) Check(v *hookabi.View, a *hookabi.Result, hook string) (*hookabi.Result, error) {
	if err := a.Check(); err != nil {
		return nil, rejectf("%v", err)
	}
	if len(a.Claims) > 0 {
		return nil, rejectf("claims %s: %s", a.Claims[0], claimReasons[a.Claims[0]])
	}
	if v.Point == hookabi.Ended {
		if a.Refuse || a.NotWhole || a.Class != "" || a.Left != 0 || len(a.Drop)+len(a.Tags)+len(a.Notes) > 0 {
			return nil, rejectf("the query has ended: there is nothing to ask for")
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
			return nil, rejectf("class: only where the query is taken")
		case !known:
			return nil, rejectf("class %q: there is none of that name", a.Class)
		case to.Effect < class.Effect:
			return nil, rejectf("class %s: its parts may be repeated where those of %s may not", a.Class, v.Class)
		case to.RequiredShare < class.RequiredShare || to.MinShare < class.MinShare:
			return nil, rejectf("class %s: is whole, or served, with less than %s", a.Class, v.Class)
		}
		class = to
	}
	if a.Left > 0 {
		switch {
		case v.Point > hookabi.Admission:
			return nil, rejectf("time left: too late for that")
		case a.Left > v.Left:
			return nil, rejectf("time left: %d us is more than there is (%d us)", a.Left, v.Left)
		case a.Left < MinTimeLeft:
			return nil, rejectf("time left: %d us is less than %d us", a.Left, MinTimeLeft)
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

// drop tells whether an answer without these parts could still be honest: the
// class must allow one from what is left, and nothing unsafe is ever dropped.
func (r Rules) checkDrop(v *hookabi.View, shards []int, class choice.Class) error {
	if class.Effect != choice.Safe {
		return rejectf("drop: parts of %s may have an effect", class.Name)
	}
	total, left := 0.0, 0.0
	gone := make(map[int]bool, len(shards))
	for _, shard := range shards {
		i := slices.IndexFunc(v.Parts, func(p hookabi.PartView) bool { return p.Shard == shard })
		switch {
		case i < 0:
			return rejectf("drop: the query has no part for shard %d", shard)
		case gone[shard]:
			return rejectf("drop: shard %d twice", shard)
		case (v.Point == hookabi.Send || v.Point == hookabi.Answered) && i != v.Part:
			return rejectf("drop: only the part at hand, not shard %d", shard)
		}
		gone[shard] = true
	}
	for _, p := range v.Parts {
		total += p.Weight
		if !gone[p.Shard] && !p.Dropped && (v.Point != hookabi.Answer || p.Served) {
			left += p.Weight
		}
	}
	if left <= 0 || left < class.MinShare*total-ShareTolerance {
		return rejectf("drop: %.3f of the answer would be left, and %s needs %.3f", left/total, class.Name, class.MinShare)
	}
	return nil
}

// Apply brings a view up to date with what has been granted, for the next hook.
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

// Merge returns pairs with later ones in place of earlier ones of their name.
// Neither list is changed.
func Merge(old, now []hookabi.Pair) []hookabi.Pair {
	if len(now) == 0 {
		return old
	}
	out := slices.Clone(old)
	for _, p := range now {
		if i := slices.IndexFunc(out, func(o hookabi.Pair) bool { return o.Name == p.Name }); i >= 0 {
			out[i] = p
		} else {
			out = append(out, p)
		}
	}
	return out
}

// Harmless tells whether a query whose parts may have run, or not, may still be
// refused: a refusal promises that asking again does no harm.
func SafeToRefuse(effect choice.Effect, mayHaveRun bool) bool {
	return effect == choice.Safe || !mayHaveRun
}

// Whole tells whether an answer with this share of the whole query may keep a
// whole mark, and Enough whether it may be given at all.
func MeetsNeed(class choice.Class, share float64) bool {
	return share >= class.RequiredShare-ShareTolerance
}
func MeetsFloor(class choice.Class, share float64) bool {
	return share > 0 && share >= class.MinShare-ShareTolerance
}
