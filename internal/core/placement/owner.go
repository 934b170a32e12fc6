package placement

// This file models one cell of servers during reshapes: the ranges that the cell stores
// and what it may do with them. A booking is a request that changes one key and must run
// at most once. The emulated servers use it, and so does the
// model checker of the at-most-once argument. The state counts as durable, except for
// Running: a server that crashes restarts with the rest of it. A booking takes effect
// only when it is stored, so one that was running at the crash had no effect.

import (
	"slices"
	"strconv"
)

// Mode is what a cell may do with a range.
type Mode int

// The modes.
const (
	Owned    Mode = iota // accepts reads and bookings
	Fenced               // accepts reads; bookings are rejected and never ran
	Incoming             // receives copies; accepts nothing yet
)

func (m Mode) String() string { return [...]string{"own", "fenced", "incoming"}[m] }

// Piece is a range that a cell stores in one mode.
type Piece struct {
	Range
	Mode    Mode
	Epoch   int64 // since which the piece has been in this mode
	Reshape int64 // the newest reshape that changed the piece
}

// Owner is one cell's state during reshapes. Use NewOwner; the zero value is not usable.
type Owner struct {
	Pieces     []Piece           // sorted by range, without overlaps
	Booked     map[string]string // key to the query whose booking ran
	Running    map[string]string // key to the query whose booking has begun and is not stored yet
	RolledBack map[int64]bool    // reshapes rolled back at this cell: Fence, CopyIn and Activate ignore them
	Epoch      int64             // the newest epoch that the cell knows

	// NoFence disables the fence, for drills that check that the resulting violation of
	// at-most-once execution is detected.
	NoFence bool
}

// NewOwner returns a cell that owns these segments.
func NewOwner(epoch int64, segments ...Segment) *Owner {
	o := &Owner{Booked: make(map[string]string), Running: make(map[string]string), RolledBack: make(map[int64]bool), Epoch: epoch}
	for _, s := range segments {
		o.Pieces = append(o.Pieces, Piece{Range: s.Range, Mode: Owned, Epoch: epoch})
	}
	o.normalize()
	return o
}

// Result is a server's response to a part.
type Result int

// The results.
const (
	Accepted      Result = iota // the request is carried out
	AlreadyBooked               // booking: ran before, so nothing runs now
	NotOwned                    // the cell does not own the range; never ran
	WritesFenced                // booking: the range is fenced for now; never ran
	Conflict                    // booking: another booking of the key is running; never ran
)

// pieceOf returns the piece that contains key, or nil.
func (o *Owner) pieceOf(key string) *Piece {
	for i := range o.Pieces {
		if o.Pieces[i].Contains(key) {
			return &o.Pieces[i]
		}
	}
	return nil
}

// Begin starts the booking of a key for a query. Only Accepted means that it was started.
func (o *Owner) Begin(key, query string) Result {
	p := o.pieceOf(key)
	switch {
	case p == nil || p.Mode == Incoming:
		return NotOwned
	case o.Booked[key] != "":
		return AlreadyBooked
	case p.Mode == Fenced && !o.NoFence:
		return WritesFenced
	case o.Running[key] != "":
		return Conflict
	}
	o.Running[key] = query
	return Accepted
}

// End stores the running booking of a key together with its effect. It has no effect if
// none is running.
func (o *Owner) End(key string) {
	if q := o.Running[key]; q != "" {
		o.Booked[key] = q
		delete(o.Running, key)
	}
}

// Crash loses every booking that was not stored.
func (o *Owner) Crash() { clear(o.Running) }

// CanRead returns Accepted if all of r may be read at this cell, else NotOwned.
func (o *Owner) CanRead(r Range) Result {
	next := r.From
	for _, p := range o.Pieces {
		if p.Mode == Incoming || !p.Contains(next) {
			continue
		}
		if p.To == "" || r.To != "" && p.To >= r.To {
			return Accepted
		}
		next = p.To
	}
	return NotOwned
}

// splitAtBounds splits the pieces that contain a bound of r.
func (o *Owner) splitAtBounds(r Range) {
	for _, bound := range []string{r.From, r.To} {
		for i := range o.Pieces {
			if p := o.Pieces[i]; bound != "" && p.Contains(bound) && p.From != bound {
				left, right := p, p
				left.To, right.From = bound, bound
				o.Pieces = slices.Replace(o.Pieces, i, i+1, left, right)
				break
			}
		}
	}
}

// normalize sorts the pieces and joins adjacent pieces that differ only in their range.
func (o *Owner) normalize() {
	slices.SortFunc(o.Pieces, func(a, b Piece) int {
		switch {
		case a.From < b.From:
			return -1
		case a.From > b.From:
			return 1
		}
		return 0
	})
	var out []Piece
	for _, p := range o.Pieces {
		if n := len(out); n > 0 && out[n-1].To == p.From && p.From != "" && out[n-1].Mode == p.Mode && out[n-1].Epoch == p.Epoch && out[n-1].Reshape == p.Reshape {
			out[n-1].To = p.To
			continue
		}
		out = append(out, p)
	}
	o.Pieces = out
}

// Idle reports whether no booking is running in a range.
func (o *Owner) Idle(r Range) bool {
	for key := range o.Running {
		if r.Contains(key) {
			return false
		}
	}
	return true
}

// Fence rejects bookings in a range from now on. It reports whether the fence is
// complete: bookings are rejected and none is running any more. An order of a reshape
// that was rolled back at this cell has no effect, and Fence returns false. A piece that
// this or a later reshape has already changed keeps its mode.
func (o *Owner) Fence(reshape int64, r Range) bool {
	if o.RolledBack[reshape] {
		return false
	}
	o.splitAtBounds(r)
	for i := range o.Pieces {
		if p := &o.Pieces[i]; r.Covers(p.Range) && p.Mode == Owned && p.Reshape < reshape {
			p.Mode, p.Reshape = Fenced, reshape
		}
	}
	return o.NoFence || o.Idle(r)
}

// Unfence rolls a reshape back at an old owner: the pieces that the reshape fenced accept
// bookings again.
func (o *Owner) Unfence(reshape int64, r Range) {
	o.RolledBack[reshape] = true
	for i := range o.Pieces {
		if p := &o.Pieces[i]; r.Covers(p.Range) && p.Mode == Fenced && p.Reshape == reshape {
			p.Mode = Owned
		}
	}
	o.normalize()
}

// CopyOut returns the stored bookings of a range. If last is set (the final copy), ok is
// false unless the fence of the reshape is complete.
func (o *Owner) CopyOut(reshape int64, r Range, last bool) (booked map[string]string, ok bool) {
	if last && !o.NoFence {
		for _, p := range o.Pieces {
			if common, overlap := p.Range.Intersect(r); overlap && !common.Empty() && (p.Mode != Fenced || p.Reshape != reshape) {
				return nil, false
			}
		}
		if !o.Idle(r) {
			return nil, false
		}
	}
	booked = make(map[string]string)
	for key, q := range o.Booked {
		if r.Contains(key) {
			booked[key] = q
		}
	}
	return booked, true
}

// CopyIn stores a copy of a range at a new owner. Bookings that are stored already are
// kept, so a delayed copy cannot restore an old state. If the cell stores no piece of the
// range yet, one is added as Incoming.
func (o *Owner) CopyIn(reshape int64, r Range, booked map[string]string) {
	if o.RolledBack[reshape] {
		return
	}
	for key, q := range booked {
		if r.Contains(key) && o.Booked[key] == "" {
			o.Booked[key] = q
		}
	}
	stored := false
	for _, p := range o.Pieces {
		if _, overlap := p.Range.Intersect(r); overlap {
			stored = true
		}
	}
	if !stored {
		o.Pieces = append(o.Pieces, Piece{Range: r, Mode: Incoming, Reshape: reshape})
		o.normalize()
	}
}

// Activate lets the cell accept everything in a range as of an epoch. It is
// idempotent: an order repeated after a later reshape has no effect.
func (o *Owner) Activate(reshape int64, r Range, epoch int64) {
	if o.RolledBack[reshape] {
		return
	}
	o.Epoch = max(o.Epoch, epoch)
	o.splitAtBounds(r)
	for i := range o.Pieces {
		if p := &o.Pieces[i]; r.Covers(p.Range) && p.Reshape == reshape && p.Mode != Owned {
			p.Mode, p.Epoch = Owned, epoch
		}
	}
	o.normalize()
}

// Drop deletes what a reshape moved away from the cell, as of an epoch: the pieces that
// the reshape fenced here and did not assign to this cell again.
func (o *Owner) Drop(reshape int64, r Range, epoch int64) {
	o.Epoch = max(o.Epoch, epoch)
	o.dropPieces(reshape, r, Fenced)
}

// DiscardCopies rolls a reshape back at a new owner by deleting the copies.
func (o *Owner) DiscardCopies(reshape int64, r Range) {
	o.RolledBack[reshape] = true
	o.dropPieces(reshape, r, Incoming)
}

// dropPieces deletes the pieces of a reshape that are in a mode, with their bookings.
func (o *Owner) dropPieces(reshape int64, r Range, mode Mode) {
	o.Pieces = slices.DeleteFunc(o.Pieces, func(p Piece) bool {
		if !r.Covers(p.Range) || p.Mode != mode || p.Reshape != reshape {
			return false
		}
		for key := range o.Booked {
			if p.Contains(key) {
				delete(o.Booked, key)
			}
		}
		return true
	})
}

func (p Piece) String() string {
	return p.Range.String() + " " + p.Mode.String() + " since " + strconv.FormatInt(p.Epoch, 10) + " by " + strconv.FormatInt(p.Reshape, 10)
}
