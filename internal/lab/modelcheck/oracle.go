package modelcheck

import (
	"saddleport/internal/cluster/chain"
)

// result judges what a caller was told.
func (w *World) result(r chain.Result) {
	a, known := w.asked[r.ID]
	delete(w.asked, r.ID)
	if !known || !r.OK() {
		return
	}
	if a.probe != nil {
		*a.probe = true
	}
	if a.read {
		w.readResult(a, *r.Entry)
		return
	}
	w.verdict(a.order, r.Verdict)
	w.putResult(a.order)
}

// readResult holds a read to what was acknowledged before it was asked, and to what other
// reads found under the same version.
func (w *World) readResult(a asked, e chain.Entry) {
	w.Seen.Reads++
	version := chain.RevisionOf(e.Version)
	w.note("a read finds version %d: %s", version, e.Content)
	if version < a.floor {
		w.fail("a read found version %d though %d was acknowledged before it was asked", version, a.floor)
	}
	if was, found := w.read[version]; found && was != string(e.Content) {
		w.fail("reads found version %d as %q and as %q", version, was, e.Content)
	}
	w.read[version] = string(e.Content)
}

// putResult holds an acknowledgement to the disks: so many must hold the version that those
// which may yet be lost do not matter.
func (w *World) putResult(o order) {
	w.Seen.Acks++
	w.acked = max(w.acked, o.version)
	w.note("version %d is acknowledged", o.version)
	holders := 0
	for _, n := range w.nodes {
		if n.disk != nil && n.disk.Entry != nil && chain.RevisionOf(n.disk.Entry.Version) >= o.version {
			holders++
		}
	}
	if may := w.plan.Faults - w.lost(w.newest()); holders <= may { // a disk may go between its word and the caller's
		w.fail("version %d is acknowledged and on %d disks; %d more may be lost", o.version, holders, may)
	}
}

// verdict holds what operators are told to one content under one number: an order that was
// confirmed is never refused when it is sent again, and no other one is confirmed.
func (w *World) verdict(o order, v chain.Verdict) {
	was, taken := w.taken[o.version]
	switch {
	case v == chain.UpdateAccepted && taken && was != o.raw:
		w.fail("version %d is confirmed as %q and as %q", o.version, was, o.raw)
	case v == chain.UpdateAccepted:
		w.taken[o.version] = o.raw
	case v == chain.UpdateConflict && taken && was == o.raw:
		w.fail("version %d as %q was confirmed, and is refused when it is sent again", o.version, o.raw)
	}
}
