package placement

// Reshapes: splits, merges and moves, as one state machine. A reshape replaces
// adjacent segments (Sources) by others that cover the same keys (Targets). A move has
// one of each, which differ only in the cell.
//
//	Planned -> Copying -> Fencing -> Cutover -> Retiring -> Done
//	              \__________\-> RollingBack -> Aborted
//
// A reshape that is aborted while it is Planned becomes Aborted at once. The coordinator
// stores Step before it performs what NextAction returns, and every action is idempotent.
// So a coordinator that crashes at any point resumes from what it stored.
//
//	step         old owners             new owners           map
//	Planned      accept everything      have no data yet     old
//	Copying      accept everything      receive copies       old
//	Fencing      accept reads; reject   receive final copy   old
//	             bookings (never ran)
//	Cutover      reject everything      accept everything    new: published once the new owners accept
//	Retiring     delete the data        accept everything    new
//	RollingBack  accept everything      delete the copies    old
//
// At-most-once execution rests on one rule: no new owner accepts a booking before every
// old owner has reported that it is fenced with no booking running, and the final copy
// was made after that. From Cutover on a reshape can't be rolled back: a booking may
// have run at the new owners.

import (
	"fmt"
	"slices"
)

// Step is the progress of a reshape.
type Step int

// The steps.
const (
	Planned Step = iota
	Copying
	Fencing
	Cutover
	Retiring
	Done
	RollingBack
	Aborted
)

func (s Step) String() string {
	return [...]string{"planned", "copying", "fencing", "cut", "retiring", "done", "undoing", "aborted"}[s]
}

// Reshape is one reshape. The coordinator stores all of its fields.
type Reshape struct {
	ID          int64
	Step        Step
	Sources     []Segment
	Targets     []Segment
	Copied      bool // the first copy, made before the fence, is stored at the new owners
	Fenced      bool // the old owners reported that they are fenced and idle
	FinalCopied bool // the final copy, made with the old owners fenced, is stored at the new owners
	Activated   bool // the new owners reported that they accept requests
	Published   bool // the map has been published
	Dropped     bool // the old data, or the copies of a rollback, are deleted
}

// Action is what the coordinator must do next for a reshape.
type Action int

// The actions.
const (
	Nothing   Action = iota
	Copy             // copy the keys to the new owners
	Fence            // fence the old owners and wait until no booking runs there
	CopyFinal        // copy what was booked since the first copy, with the old owners fenced
	Activate         // let the new owners accept requests at the new epoch
	Publish          // publish the map
	Drop             // delete the data at the old owners
	Unfence          // let the old owners accept bookings again and delete the copies
)

func (a Action) String() string {
	return [...]string{"nothing", "copy", "fence", "copy-last", "activate", "publish", "drop", "unfence"}[a]
}

// Plan creates a reshape of the active segments with the ids in sources. It does not
// start it. busy reports whether a segment is in another reshape: each segment is in one
// reshape at a time. The error is an *InvalidError if a source is not active or busy, if
// the sources or the targets have gaps or do not cover the same keys, or if a target is
// on a cell without servers or uses the id of a retired segment or of a segment with
// another range.
func (m *Map) Plan(id int64, sources []uint32, targets []Segment, busy func(uint32) bool) (*Reshape, error) {
	if len(sources) == 0 || len(targets) == 0 {
		return nil, invalid(label("plan"), "nothing to reshape")
	}
	r := &Reshape{ID: id, Targets: slices.Clone(targets)}
	for _, s := range sources {
		active, known := m.segmentByID(s)
		if !known {
			return nil, invalid(label("plan"), "segment %d is not active", s)
		}
		if busy(s) {
			return nil, invalid(active.Range, "segment %d is already being reshaped", s)
		}
		r.Sources = append(r.Sources, active)
	}
	slices.SortFunc(r.Sources, byFrom)
	slices.SortFunc(r.Targets, byFrom)
	for _, list := range [][]Segment{r.Sources, r.Targets} {
		for i := 1; i < len(list); i++ {
			if list[i-1].To == "" || list[i-1].To != list[i].From {
				return nil, invalid(list[i].Range, "is not adjacent to %v", list[i-1].Range)
			}
		}
	}
	first, last := r.Sources[0], r.Sources[len(r.Sources)-1]
	if r.Targets[0].From != first.From || r.Targets[len(r.Targets)-1].To != last.To {
		return nil, invalid(Range{first.From, last.To}, "the new segments do not cover the same keys")
	}
	for _, t := range r.Targets {
		if len(m.cells[t.Cell]) == 0 {
			return nil, invalid(t.Range, "cell %d has no servers", t.Cell)
		}
		if old, active, known := m.Range(t.ID); known && (!active || old != t.Range) {
			return nil, invalid(t.Range, "segment %d already had range %v", t.ID, old)
		}
	}
	return r, nil
}

// NextAction returns the next action, or Nothing if the reshape is not started or is
// finished. The caller must call Completed once the action is done.
func (r *Reshape) NextAction() Action {
	switch r.Step {
	case Copying:
		return Copy
	case Fencing:
		if !r.Fenced {
			return Fence
		}
		return CopyFinal
	case Cutover:
		if !r.Activated {
			return Activate
		}
		return Publish
	case Retiring:
		return Drop
	case RollingBack:
		return Unfence
	}
	return Nothing
}

// Completed records that an action is done and advances the reshape. An action other
// than NextAction is ignored.
func (r *Reshape) Completed(a Action) {
	if a != r.NextAction() {
		return // a repeated acknowledgement of an earlier action
	}
	switch a {
	case Copy:
		r.Copied, r.Step = true, Fencing
	case Fence:
		r.Fenced = true
	case CopyFinal:
		r.FinalCopied, r.Step = true, Cutover
	case Activate:
		r.Activated = true
	case Publish:
		r.Published, r.Step = true, Retiring
	case Drop:
		r.Dropped, r.Step = true, Done
	case Unfence:
		r.Dropped, r.Step = true, Aborted
	}
}

// Start starts a planned reshape. It has no effect on a reshape that was started before.
func (r *Reshape) Start() {
	if r.Step == Planned {
		r.Step = Copying
	}
}

// Abort starts the rollback of a reshape. From Cutover on it returns an error, because a
// booking may already have run at the new owners.
func (r *Reshape) Abort() error {
	switch r.Step {
	case Planned:
		r.Step = Aborted
	case Copying, Fencing:
		r.Step = RollingBack
	case RollingBack, Aborted:
	default:
		return fmt.Errorf("reshape %d is at step %v and can no longer be aborted", r.ID, r.Step)
	}
	return nil
}

// Finished reports whether the reshape is at Done or Aborted: no action remains.
func (r *Reshape) Finished() bool { return r.Step == Done || r.Step == Aborted }

// Update returns the change of the map that the reshape publishes on top of epoch base.
func (r *Reshape) Update(base int64) *Update {
	u := &Update{Base: base, Epoch: base + 1}
	for _, t := range r.Targets {
		t.Since = u.Epoch
		u.Segments = append(u.Segments, t)
	}
	for _, s := range r.Sources {
		if !slices.ContainsFunc(r.Targets, func(t Segment) bool { return t.ID == s.ID }) {
			u.Removed = append(u.Removed, s.ID)
		}
	}
	return u
}
