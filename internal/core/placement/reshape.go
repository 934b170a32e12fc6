package placement

// Reshapes: splits, merges and moves, as one machine. A reshape replaces segments
// that lie side by side (Sources) by others that hold the same keys (Targets). A
// move has one of each, the same but for the cell.
//
//	Planned -> Copying -> Fencing -> Cut -> Retiring -> Done
//	   \________\___________\-> Undoing -> Aborted
//
// The coordinator stores Step before it does what Do says; what Do says may be done
// any number of times. So one that dies anywhere goes on from what it stored.
//
//	step      old owners            new owners          map
//	Planned   accept all            know nothing        old
//	Copying   accept all            take copies         old
//	Fencing   reads; turn bookings  take what is left   old
//	          away (never ran)
//	Cut       turn all away         accept all          new: published once they accept
//	Retiring  drop the data         accept all          new
//	Undoing   accept all again      drop the copies     old
//
// The one rule that at-most-once rests on: no new owner accepts a booking before
// every old owner has said that it is fenced and that nothing runs there, and the
// last copy was made after that. From Cut on there is no way back: a booking may
// have run at the new owners.

import (
	"fmt"
	"slices"
)

// Step is how far a reshape has come.
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

// Reshape is one reshape. All of it is to be stored.
type Reshape struct {
	ID          int64
	Step        Step
	Sources     []Segment
	Targets     []Segment
	Copied      bool // a copy is at the new owners
	Fenced      bool // the old owners said that they are fenced and idle
	FinalCopied bool // the copy made after that is at the new owners
	Activated   bool // the new owners said that they accept
	Published   bool // the map has been published
	Dropped     bool // the old data, or the copies, are gone
}

// Doing is what a reshape wants done.
type Action int

// What may be wanted.
const (
	Nothing   Action = iota
	Copy             // copy the keys to the new owners
	Fence            // have the old owners fenced, and wait until nothing runs there
	CopyFinal        // copy what has come since, the old owners being fenced
	Activate         // have the new owners accept at the new epoch
	Publish          // publish the map
	Drop             // drop the data at the old owners
	Unfence          // have the old owners accept again, and drop the copies
)

func (d Action) String() string {
	return [...]string{"nothing", "copy", "fence", "copy-last", "activate", "publish", "drop", "unfence"}[d]
}

// Plan makes a reshape of segments in force. busy are the segments that others are
// reshaping: one segment is in one reshape.
func (m *Map) Plan(id int64, sources []uint32, targets []Segment, busy func(uint32) bool) (*Reshape, error) {
	if len(sources) == 0 || len(targets) == 0 {
		return nil, invalid(label("plan"), "nothing to reshape")
	}
	r := &Reshape{ID: id, Targets: slices.Clone(targets)}
	for _, s := range sources {
		held, known := m.segmentByID(s)
		if !known {
			return nil, invalid(label("plan"), "segment %d is not in force", s)
		}
		if busy(s) {
			return nil, invalid(held.Range, "segment %d is being reshaped", s)
		}
		r.Sources = append(r.Sources, held)
	}
	slices.SortFunc(r.Sources, byFrom)
	slices.SortFunc(r.Targets, byFrom)
	for _, list := range [][]Segment{r.Sources, r.Targets} {
		for i := 1; i < len(list); i++ {
			if list[i-1].To == "" || list[i-1].To != list[i].From {
				return nil, invalid(list[i].Range, "does not lie beside %v", list[i-1].Range)
			}
		}
	}
	first, last := r.Sources[0], r.Sources[len(r.Sources)-1]
	if r.Targets[0].From != first.From || r.Targets[len(r.Targets)-1].To != last.To {
		return nil, invalid(Range{first.From, last.To}, "the new segments do not hold the same keys")
	}
	for _, t := range r.Targets {
		if len(m.cells[t.Cell]) == 0 {
			return nil, invalid(t.Range, "cell %d names no server", t.Cell)
		}
		if old, held, known := m.Range(t.ID); known && (!held || old != t.Range) {
			return nil, invalid(t.Range, "segment %d held %v once", t.ID, old)
		}
	}
	return r, nil
}

// Do is what is wanted next. Told must be told once it is done.
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

// Told notes that something wanted has been done, and takes the next step.
func (r *Reshape) Completed(d Action) {
	if d != r.NextAction() {
		return // an answer to what was asked before: nothing new
	}
	switch d {
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

// Start begins a reshape that was planned.
func (r *Reshape) Start() {
	if r.Step == Planned {
		r.Step = Copying
	}
}

// Abort takes a reshape back, where that is still possible. Once the cut is
// decided, a booking may have run at the new owners.
func (r *Reshape) Abort() error {
	switch r.Step {
	case Planned:
		r.Step = Aborted
	case Copying, Fencing:
		r.Step = RollingBack
	case RollingBack, Aborted:
	default:
		return fmt.Errorf("reshape %d is %v: it can only go on", r.ID, r.Step)
	}
	return nil
}

// Over tells whether nothing is left to do.
func (r *Reshape) Finished() bool { return r.Step == Done || r.Step == Aborted }

// Update is the change of the map that a reshape publishes.
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
