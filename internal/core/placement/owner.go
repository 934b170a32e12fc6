package placement

// Owner is what one cell of servers holds, and what it may do with it: the other
// side of a reshape. The stand-in servers use it, and the model that checks the
// argument. All that it holds counts as stored: a server that dies comes back with
// it, and what ran without having been stored had no effect.

import (
	"slices"
	"strconv"
)

// Mode is what a cell may do with a range.
type Mode int

// The modes.
const (
	Owned    Mode = iota // it reads and books
	Fenced               // it reads; bookings are turned away, and never ran
	Incoming             // copies come in; nothing may be done with them yet
)

func (m Mode) String() string { return [...]string{"own", "fenced", "incoming"}[m] }

// Piece is a range that a cell holds, all of it in one mode.
type Piece struct {
	Range
	Mode    Mode
	Epoch   int64 // from which it holds it so
	Reshape int64 // the newest that touched it
}

// Owner is one cell's state.
type Owner struct {
	Pieces     []Piece           // by range, none overlapping
	Booked     map[string]string // key: the query whose booking ran
	Running    map[string]string // begun and not stored: by key
	RolledBack map[int64]bool    // reshapes that were undone here: their orders count no more
	Epoch      int64             // the newest that it has heard of

	// NoFence leaves the fence out: for drills that must be caught.
	NoFence bool
}

// NewOwner returns a cell that holds these segments.
func NewOwner(epoch int64, segments ...Segment) *Owner {
	o := &Owner{Booked: make(map[string]string), Running: make(map[string]string), RolledBack: make(map[int64]bool), Epoch: epoch}
	for _, s := range segments {
		o.Pieces = append(o.Pieces, Piece{Range: s.Range, Mode: Owned, Epoch: epoch})
	}
	o.normalize()
	return o
}

// Word is what a server says to a part.
type Result int

// The words.
const (
	Accepted      Result = iota // it does what was asked
	AlreadyBooked               // booking: it ran before; nothing runs
	NotOwned                    // it does not hold that: never ran
	WritesFenced                // it holds it and may not book at this moment: never ran
	Conflict                    // booking: another one of that key is running: never ran
)

// piece is the piece that holds a key.
func (o *Owner) pieceOf(key string) *Piece {
	for i := range o.Pieces {
		if o.Pieces[i].Contains(key) {
			return &o.Pieces[i]
		}
	}
	return nil
}

// Begin begins a booking of a key for a query.
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

// End stores a booking that was begun, with its effect, in one.
func (o *Owner) End(key string) {
	if q := o.Running[key]; q != "" {
		o.Booked[key] = q
		delete(o.Running, key)
	}
}

// Crash loses what was not stored.
func (o *Owner) Crash() { clear(o.Running) }

// Reads tells whether all of a range may be read here.
func (o *Owner) CanRead(r Range) Result {
	at := r.From
	for _, p := range o.Pieces {
		if p.Mode == Incoming || !p.Contains(at) {
			continue
		}
		if p.To == "" || r.To != "" && p.To >= r.To {
			return Accepted
		}
		at = p.To
	}
	return NotOwned
}

// cut splits pieces where a range begins and ends.
func (o *Owner) splitAt(r Range) {
	for _, at := range []string{r.From, r.To} {
		for i := range o.Pieces {
			if p := o.Pieces[i]; at != "" && p.Contains(at) && p.From != at {
				left, right := p, p
				left.To, right.From = at, at
				o.Pieces = slices.Replace(o.Pieces, i, i+1, left, right)
				break
			}
		}
	}
}

// tidy puts pieces in order and joins those that are alike.
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

// Idle tells whether no booking runs in a range.
func (o *Owner) Idle(r Range) bool {
	for key := range o.Running {
		if r.Contains(key) {
			return false
		}
	}
	return true
}

// Fence turns bookings in a range away from now on. It tells whether that is so and
// nothing runs there any more: only then is the fence up. An order of a reshape
// that has been undone here, or is past its cut, changes nothing.
func (o *Owner) Fence(reshape int64, r Range) bool {
	if o.RolledBack[reshape] {
		return false
	}
	o.splitAt(r)
	for i := range o.Pieces {
		if p := &o.Pieces[i]; r.Covers(p.Range) && p.Mode == Owned && p.Reshape < reshape {
			p.Mode, p.Reshape = Fenced, reshape
		}
	}
	return o.NoFence || o.Idle(r)
}

// Unfence undoes a reshape at an old owner.
func (o *Owner) Unfence(reshape int64, r Range) {
	o.RolledBack[reshape] = true
	for i := range o.Pieces {
		if p := &o.Pieces[i]; r.Covers(p.Range) && p.Mode == Fenced && p.Reshape == reshape {
			p.Mode = Owned
		}
	}
	o.normalize()
}

// CopyOut is what has been booked in a range. Where it must be the last copy, it is
// none unless the fence of the reshape is up.
func (o *Owner) CopyOut(reshape int64, r Range, last bool) (booked map[string]string, ok bool) {
	if last && !o.NoFence {
		for _, p := range o.Pieces {
			if c, both := p.Range.Intersect(r); both && !c.Empty() && (p.Mode != Fenced || p.Reshape != reshape) {
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

// CopyIn takes a copy. What is known already stays: a copy that comes late brings
// nothing back.
func (o *Owner) CopyIn(reshape int64, r Range, booked map[string]string) {
	if o.RolledBack[reshape] {
		return
	}
	for key, q := range booked {
		if r.Contains(key) && o.Booked[key] == "" {
			o.Booked[key] = q
		}
	}
	held := false
	for _, p := range o.Pieces {
		if _, both := p.Range.Intersect(r); both {
			held = true
		}
	}
	if !held {
		o.Pieces = append(o.Pieces, Piece{Range: r, Mode: Incoming, Reshape: reshape})
		o.normalize()
	}
}

// Activate has the cell accept all in a range from an epoch on. Once is enough: an
// order that comes again, after a later reshape, changes nothing.
func (o *Owner) Activate(reshape int64, r Range, epoch int64) {
	if o.RolledBack[reshape] {
		return
	}
	o.Epoch = max(o.Epoch, epoch)
	o.splitAt(r)
	for i := range o.Pieces {
		if p := &o.Pieces[i]; r.Covers(p.Range) && p.Reshape == reshape && p.Mode != Owned {
			p.Mode, p.Epoch = Owned, epoch
		}
	}
	o.normalize()
}

// Drop drops what a reshape took away from the cell: what it fenced here and did
// not give to this cell again.
func (o *Owner) Drop(reshape int64, r Range, epoch int64) {
	o.Epoch = max(o.Epoch, epoch)
	o.dropPieces(reshape, r, Fenced)
}

// Forget undoes a reshape at a new owner: the copies go.
func (o *Owner) DiscardCopies(reshape int64, r Range) {
	o.RolledBack[reshape] = true
	o.dropPieces(reshape, r, Incoming)
}

// lose drops the pieces that a reshape has in a mode, with what is booked there.
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
