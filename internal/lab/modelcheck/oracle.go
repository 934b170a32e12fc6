package modelcheck

import (
	"saddleport/internal/cluster/chain"
)

// checkResult checks the result that a caller received.
func (w *World) checkResult(r chain.Result) {
	a, known := w.requests[r.ID]
	delete(w.requests, r.ID)
	if !known || !r.OK() {
		return
	}
	if a.probe != nil {
		*a.probe = true
	}
	if a.read {
		w.checkRead(a, *r.Entry)
		return
	}
	w.checkVerdict(a.order, r.Verdict)
	w.checkAck(a.order)
}

// checkRead checks that a read is no older than what was acknowledged before it was sent, and that
// it has the same content as other reads of its version.
func (w *World) checkRead(a request, e chain.Entry) {
	w.Stats.Reads++
	version := chain.RevisionOf(e.Version)
	w.logf("a read returns version %d: %s", version, e.Content)
	if version < a.floor {
		w.failf("a read returned version %d although %d was acknowledged before the read was sent", version, a.floor)
	}
	if was, found := w.readContent[version]; found && was != string(e.Content) {
		w.failf("reads returned version %d as %q and as %q", version, was, e.Content)
	}
	w.readContent[version] = string(e.Content)
}

// checkAck checks that an acknowledged version is on more disks than may still be lost.
func (w *World) checkAck(o order) {
	w.Stats.Acks++
	w.acked = max(w.acked, o.version)
	w.logf("version %d is acknowledged", o.version)
	holders := 0
	for _, n := range w.nodes {
		if n.disk != nil && n.disk.Entry != nil && chain.RevisionOf(n.disk.Entry.Version) >= o.version {
			holders++
		}
	}
	if may := w.plan.Faults - w.lost(w.newest()); holders <= may { // a disk may be lost between its own acknowledgement and the one to the caller, so lost disks are taken off
		w.failf("version %d is acknowledged but stored on %d disks only; %d more may be lost", o.version, holders, may)
	}
}

// checkVerdict checks that only one content is confirmed per revision: an order that was confirmed
// is never refused when it is sent again, and no other order of the revision is confirmed.
func (w *World) checkVerdict(o order, v chain.Verdict) {
	was, confirmed := w.confirmed[o.version]
	switch {
	case v == chain.UpdateAccepted && confirmed && was != o.raw:
		w.failf("version %d is confirmed as %q and as %q", o.version, was, o.raw)
	case v == chain.UpdateAccepted:
		w.confirmed[o.version] = o.raw
	case v == chain.UpdateConflict && confirmed && was == o.raw:
		w.failf("version %d as %q was confirmed, but refused when it was sent again", o.version, o.raw)
	}
}
