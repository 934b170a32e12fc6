package modelcheck

import (
	"fmt"

	"saddleport/internal/cluster/views"
)

// Time bounds from the users' pages, in virtual time.
const (
	catchUpTime   = 4000 * step // a machine that came back counts as lost until then
	contactTime   = 5000 * step // after the last fault, all healthy machines are in contact by then
	ackTimeout    = 6000 * step // bound for the acknowledgement of an order
	graceTime     = 6000 * step // from the request to stop to the kill
	roundSpan     = 100 * step
	hopsPerRound  = 12
	burstInterval = 50 * step
	maxRecent     = 64
)

// put sends an order to a machine. If probe is not nil, it is set once the order is acknowledged.
func (w *World) put(i int, o order, probe *bool) {
	n := w.nodes[i]
	if !n.up {
		return
	}
	w.logf("put version %d (%s) at %s", o.version, o.raw, n.addr)
	if w.recent = append(w.recent, o); len(w.recent) > maxRecent {
		w.recent = w.recent[1:]
	}
	id, out := n.m.Put(w.now, o.entry())
	w.requests[id] = request{order: o, probe: probe}
	w.enqueue(i, out)
}

// get reads the configuration at a machine. If probe is not nil, it is set once the read succeeds.
func (w *World) get(i int, probe *bool) {
	n := w.nodes[i]
	if !n.up {
		return
	}
	w.logf("get at %s", n.addr)
	id, out := n.m.Get(w.now)
	w.requests[id] = request{read: true, floor: w.acked, probe: probe}
	w.enqueue(i, out)
}

// runFor lets time pass fairly for a span. runUntil does so until done returns true, at most for a
// span.
func (w *World) runFor(span int64) { w.runUntil(span, func() bool { return false }) }

func (w *World) runUntil(span int64, done func() bool) {
	for end := w.now + span; w.now < end && w.broken == nil && !done(); {
		w.round(roundSpan)
	}
}

// round is one step of fair time: a tick, and then the syncs and messages that it causes, for at
// most hopsPerRound hops.
func (w *World) round(span int64) {
	w.tick(span)
	for range hopsPerRound {
		for i, n := range w.nodes {
			for n.up && !n.stalled && len(n.pending) > 0 {
				w.sync(i)
			}
		}
		batch := w.inFlight
		w.inFlight = nil
		for _, m := range batch {
			w.deliver(m.msg)
		}
		if len(batch) == 0 {
			return
		}
	}
}

// healAll ends all cuts and stalls, starts all machines that are down, and starts a successor for
// each machine that is removed.
func (w *World) healAll() {
	clear(w.cuts)
	removed := 0
	for i, n := range w.nodes {
		n.stalled = false
		if n.removed {
			removed++
		}
		if n.disk != nil || i < w.plan.Machines {
			w.start(i)
		}
	}
	for i := w.plan.Machines; i < len(w.nodes) && removed > 0; i++ {
		if !w.nodes[i].removed {
			w.start(i)
		}
		removed--
	}
	w.logf("all faults are healed")
}

// recoverAll heals everything and lets all machines catch up. Afterwards as many machines may be
// lost as at the start.
func (w *World) recoverAll() {
	w.healAll()
	w.runFor(catchUpTime + roundSpan)
	w.unrecovered = 0
	w.logf("all machines have had the time to catch up")
}

// burst sends many orders in fair time, to the machines in turn.
func (w *World) burst(orders int) {
	for range orders {
		w.version++
		w.put(int(w.version)%len(w.nodes), order{w.version, fmt.Sprint(w.version)}, nil)
		w.round(burstInterval)
		if w.broken != nil {
			return
		}
	}
}

// mayLoseDisk reports whether one more machine or disk may be lost: fewer than the tolerated number
// were lost since all machines last caught up, or the loss of all of them is repaired.
func (w *World) mayLoseDisk() bool {
	return w.wipes < w.plan.Wipes && (w.unrecovered < w.plan.Faults || w.repaired())
}

// repaired reports whether no member of the newest view has lost its disk, and all members have
// stored that view.
func (w *World) repaired() bool {
	newest := w.newest()
	for _, m := range newest.Members {
		n := w.nodes[w.index(m.Addr)]
		if n.removed || n.disk == nil || n.disk.State.Self != m || n.disk.State.View.Epoch != newest.Epoch {
			return false
		}
	}
	return w.lost(newest) == 0
}

// newest returns the newest view on any disk.
func (w *World) newest() (v views.View) {
	for _, n := range w.nodes {
		if n.disk != nil && n.disk.State.View.Epoch > v.Epoch {
			v = n.disk.State.View
		}
	}
	return v
}

// lost counts the members of a view whose disk is lost.
func (w *World) lost(v views.View) (n int) {
	for _, m := range v.Members {
		if x := w.nodes[w.index(m.Addr)]; x.removed || x.disk == nil || x.disk.State.Self != m {
			n++
		}
	}
	return n
}

// wipe empties a machine's disk, if one more may be lost.
func (w *World) wipe(i int) {
	n := w.nodes[i]
	if n.disk == nil || !w.mayLoseDisk() {
		return
	}
	w.loseDisk(i)
	w.logf("%s loses its disk", n.addr)
}

func (w *World) loseDisk(i int) {
	w.wipes++
	w.unrecovered++
	w.Stats.Wipes++
	w.crash(i, 0)
	n := w.nodes[i]
	n.disk, n.diskCount = nil, n.diskCount+1
}

// successor returns a machine that has never started, or -1 if there is none.
func (w *World) successor() int {
	for i := w.plan.Machines; i < len(w.nodes); i++ {
		if n := w.nodes[i]; !n.removed && n.disk == nil && n.incarnations == 0 {
			return i
		}
	}
	return -1
}

// replace removes a machine for good, and starts an empty one after a delay.
func (w *World) replace(i int, delay int64) {
	next := w.successor()
	if n := w.nodes[i]; next < 0 || n.removed || n.disk == nil || !w.mayLoseDisk() {
		return
	}
	w.loseDisk(i)
	w.nodes[i].removed = true
	w.Stats.Replaced++
	w.logf("%s is removed for good", w.nodes[i].addr)
	w.runFor(delay)
	w.start(next)
}

// retire starts the new machine first, and then asks the old one to stop. The old one ends once it
// has handed over, or when the grace time is over. If the new one had the time to catch up and the
// old one has handed over, no machine counts as lost.
func (w *World) retire(i int, lead int64) {
	next := w.successor()
	n := w.nodes[i]
	if next < 0 || n.removed || !n.up || !w.mayLoseDisk() {
		return
	}
	w.start(next)
	w.runFor(lead)
	if !n.up || w.broken != nil {
		return
	}
	w.logf("%s is asked to stop", n.addr)
	w.enqueue(i, n.m.StartLeave(w.now))
	w.runUntil(graceTime, func() bool { return n.m.HasLeft(w.now) })
	left, unrecovered := n.m.HasLeft(w.now), w.unrecovered
	w.loseDisk(i)
	n.removed = true
	if left && lead >= catchUpTime {
		w.unrecovered = unrecovered
	}
	w.Stats.Replaced++
	w.logf("%s is removed for good", n.addr)
}

// Settle heals everything and checks liveness: once all machines have had the time to get in
// contact, each of them acknowledges an order and answers a read in time.
func (w *World) Settle() (err error) {
	defer func() {
		if x := recover(); x != nil {
			w.failf("%v", x)
		}
		err = w.broken
	}()
	w.healAll()
	w.runFor(contactTime)
	for i, n := range w.nodes {
		if n.up && w.broken == nil {
			w.checkLiveness(i, n)
		}
	}
	return w.broken
}

func (w *World) checkLiveness(i int, n *node) {
	acked, read := false, false
	w.version++
	w.put(i, order{w.version, fmt.Sprint(w.version)}, &acked)
	w.get(i, &read)
	w.runUntil(ackTimeout, func() bool { return acked && read })
	switch {
	case w.broken != nil:
	case !acked:
		w.failf("no progress: %s acknowledges no order within %d ms after all faults are healed", n.addr, ackTimeout/step)
	case !read:
		w.failf("no progress: %s answers no read within %d ms after all faults are healed; version %d was acknowledged", n.addr, ackTimeout/step, w.acked)
	}
}
