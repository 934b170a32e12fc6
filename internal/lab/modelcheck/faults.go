package modelcheck

import (
	"fmt"

	"saddleport/internal/cluster/views"
)

// Times of the users' pages, virtual.
const (
	catchUp    = 4000 * step // a machine that came back counts as lost for so long
	contact    = 5000 * step // after the last disturbance all calm machines are in touch
	ackTimeout = 6000 * step // an order is acknowledged within it
	grace      = 6000 * step // from the order to stop to the kill
	fairRound  = 100 * step
	hopsARound = 12
	burstRound = 50 * step
	mostResent = 64
)

// put sends an order to a machine.
func (w *World) put(i int, o order, probe *bool) {
	n := w.nodes[i]
	if !n.up {
		return
	}
	w.note("put version %d (%s) at %s", o.version, o.raw, n.addr)
	if w.sent = append(w.sent, o); len(w.sent) > mostResent {
		w.sent = w.sent[1:]
	}
	id, out := n.m.Put(w.now, o.entry())
	w.asked[id] = asked{order: o, probe: probe}
	w.took(i, out)
}

// get reads the configuration at a machine.
func (w *World) get(i int, probe *bool) {
	n := w.nodes[i]
	if !n.up {
		return
	}
	w.note("get at %s", n.addr)
	id, out := n.m.Get(w.now)
	w.asked[id] = asked{read: true, floor: w.acked, probe: probe}
	w.took(i, out)
}

// play lets time pass fairly for a span, or until done tells that it is enough.
func (w *World) play(span int64) { w.playUntil(span, func() bool { return false }) }

func (w *World) playUntil(span int64, done func() bool) {
	for end := w.now + span; w.now < end && w.broken == nil && !done(); {
		w.round(fairRound)
	}
}

// round is one step of fair time: a tick, and the messages and syncs that it brings about.
func (w *World) round(span int64) {
	w.tick(span)
	for range hopsARound {
		for i, n := range w.nodes {
			for n.up && !n.stalled && len(n.pending) > 0 {
				w.sync(i)
			}
		}
		mail := w.mail
		w.mail = nil
		for _, m := range mail {
			w.deliver(m.msg)
		}
		if len(mail) == 0 {
			return
		}
	}
}

// heal ends all cuts and stalls, starts what is down, and sees that each machine that is
// gone for good has a successor.
func (w *World) heal() {
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
	w.note("all is healed")
}

// calm heals everything and gives it the time to catch up. After it as many machines may be
// lost as at the start.
func (w *World) calm() {
	w.heal()
	w.play(catchUp + fairRound)
	w.open = 0
	w.note("all have had the time to catch up")
}

// burst sends many orders in fair time, and has each machine read along.
func (w *World) burst(orders int) {
	for range orders {
		w.version++
		w.put(int(w.version)%len(w.nodes), order{w.version, fmt.Sprint(w.version)}, nil)
		w.round(burstRound)
		if w.broken != nil {
			return
		}
	}
}

// mayLose tells whether one more machine or disk may be lost: as many as are tolerated at
// once, since all had the time to catch up.
func (w *World) mayLose() bool {
	return w.wipes < w.plan.Wipes && (w.open < w.plan.Faults || w.repaired())
}

// repaired tells whether the newest view counts on no lost disk, and its members hold it.
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

// newest is the newest view on any disk.
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

// wipe takes a disk, if one more may be lost.
func (w *World) wipe(i int) {
	n := w.nodes[i]
	if n.disk == nil || !w.mayLose() {
		return
	}
	w.lose(i)
	w.note("the disk of %s is lost", n.addr)
}

func (w *World) lose(i int) {
	w.wipes++
	w.open++
	w.Seen.Wipes++
	w.crash(i, 0)
	n := w.nodes[i]
	n.disk, n.disks = nil, n.disks+1
}

// successor is a machine that was not there yet; -1: there is none.
func (w *World) successor() int {
	for i := w.plan.Machines; i < len(w.nodes); i++ {
		if n := w.nodes[i]; !n.removed && n.disk == nil && n.lives == 0 {
			return i
		}
	}
	return -1
}

// replace takes a machine away for good; an empty one comes a little later.
func (w *World) replace(i int, later int64) {
	next := w.successor()
	if n := w.nodes[i]; next < 0 || n.removed || n.disk == nil || !w.mayLose() {
		return
	}
	w.lose(i)
	w.nodes[i].removed = true
	w.Seen.Replaced++
	w.note("%s is gone for good", w.nodes[i].addr)
	w.play(later)
	w.start(next)
}

// retire has the new machine come first; then the old one is told to stop. It ends once it
// has handed over, or when the grace is over. If the new one had the time to catch up and the
// old one has handed over, no machine was lost.
func (w *World) retire(i int, earlier int64) {
	next := w.successor()
	n := w.nodes[i]
	if next < 0 || n.removed || !n.up || !w.mayLose() {
		return
	}
	w.start(next)
	w.play(earlier)
	if !n.up || w.broken != nil {
		return
	}
	w.note("%s is told to stop", n.addr)
	w.took(i, n.m.StartLeave(w.now))
	w.playUntil(grace, func() bool { return n.m.HasLeft(w.now) })
	left, open := n.m.HasLeft(w.now), w.open
	w.lose(i)
	n.removed = true
	if left && earlier >= catchUp {
		w.open = open
	}
	w.Seen.Replaced++
	w.note("%s is gone for good", n.addr)
}

// Settle heals everything and judges liveness: once all have been in touch for a while, each
// machine gets an order acknowledged and a read answered in time.
func (w *World) Settle() (err error) {
	defer func() {
		if x := recover(); x != nil {
			w.fail("%v", x)
		}
		err = w.broken
	}()
	w.heal()
	w.play(contact)
	for i, n := range w.nodes {
		if n.up && w.broken == nil {
			w.settled(i, n)
		}
	}
	return w.broken
}

func (w *World) settled(i int, n *node) {
	acked, read := false, false
	w.version++
	w.put(i, order{w.version, fmt.Sprint(w.version)}, &acked)
	w.get(i, &read)
	w.playUntil(ackTimeout, func() bool { return acked && read })
	switch {
	case w.broken != nil:
	case !acked:
		w.fail("wedged: %s acknowledges no order within %d ms though all is healed", n.addr, ackTimeout/step)
	case !read:
		w.fail("wedged: %s answers no read within %d ms though all is healed: version %d was acknowledged", n.addr, ackTimeout/step, w.acked)
	}
}
