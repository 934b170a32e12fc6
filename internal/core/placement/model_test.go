package placement

// An explicit-state check of the argument in docs/design/segments.md: one key whose
// segment moves from cell 0 to cell 1, two bookings of it by mixers that may send
// anywhere, a network that delays, reorders and loses, orders that come any number
// of times, and crashes of the coordinator and both owners at every step. In all
// states that can be reached, the key has run once at most, and a booking that was
// told it never ran has not.
//
// The owners and the reshape are the package's own code. Each way of leaving the
// care out must be found.

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const key = "k"

var whole = Range{}

// orders are what the coordinator has ever sent: each may arrive at any time, again
// and again, or never.
type orders struct{ copied, last, fence, activate, drop, unfence bool }

// acks are what the owners have ever answered.
type acks struct{ copied, fence, last, activate, drop, unfence bool }

// booking is one query's.
type booking struct {
	where int  // -1: not out; else on its way to that owner
	sends int  // left
	ran   bool // it had its effect
	told  bool // the mixer was told that it never ran, by its last attempt
	lost  bool // may have run: never sent again
}

type world struct {
	reshape Reshape
	sent    orders
	acked   acks
	copies  []string // copies on their way or come: what they hold
	lasts   []string
	owners  [2]*Owner
	books   [2]booking
	runs    int
}

// fault is a way of leaving care out.
type fault int

const (
	none          fault = iota
	noFence             // the old owner books on
	noWait              // the fence counts as up while a booking runs
	earlyLast           // the last copy is made before the fence
	activateEarly       // the new owner accepts before the last copy
	abortLate           // a reshape is taken back after its cut
	resend              // a mixer sends again what may have run
	forgetful           // the last copy does not come in
)

func (w *world) clone() *world {
	n := *w
	n.reshape.Sources, n.reshape.Targets = w.reshape.Sources, w.reshape.Targets
	n.copies, n.lasts = slices.Clone(w.copies), slices.Clone(w.lasts)
	for i, o := range w.owners {
		c := *o
		c.Pieces, c.Booked, c.Running, c.RolledBack = slices.Clone(o.Pieces), maps.Clone(o.Booked), maps.Clone(o.Running), maps.Clone(o.RolledBack)
		n.owners[i] = &c
	}
	return &n
}

func (w *world) id() string {
	var b strings.Builder
	r := w.reshape
	// %q: a copy that holds nothing is not no copy.
	fmt.Fprintf(&b, "%d %v %v %v %v %v %v %v %v %q %q %v %d", r.Step, r.Copied, r.Fenced, r.FinalCopied, r.Activated, r.Published, r.Dropped, w.sent, w.acked,
		w.copies, w.lasts, w.books, w.runs)
	for _, o := range w.owners {
		fmt.Fprint(&b, o.Pieces, o.Booked, o.Running, o.RolledBack)
	}
	return b.String()
}

type move struct {
	what string
	do   func(*world)
}

// moves are all that may happen next.
func (w *world) moves(f fault) (out []move) {
	add := func(what string, do func(*world)) { out = append(out, move{what, do}) }
	old, new := 0, 1
	// The coordinator. It stores before it sends, so a crash loses nothing that it
	// will not send again; acks it has not read yet it may read after.
	switch d := w.reshape.NextAction(); d {
	case Copy:
		add("orders the copy", func(n *world) { n.sent.copied = true })
		if w.acked.copied {
			add("hears of the copy", func(n *world) { n.reshape.Completed(Copy) })
		}
	case Fence:
		add("orders the fence", func(n *world) { n.sent.fence = true })
		if f == earlyLast {
			add("orders the last copy", func(n *world) { n.sent.last = true })
		}
		if w.acked.fence {
			add("hears of the fence", func(n *world) { n.reshape.Completed(Fence) })
		}
	case CopyFinal:
		add("orders the last copy", func(n *world) { n.sent.last = true })
		if w.acked.last || f == activateEarly {
			add("hears of the last copy", func(n *world) { n.reshape.Completed(CopyFinal) })
		}
	case Activate:
		add("orders the cut", func(n *world) { n.sent.activate = true })
		if w.acked.activate {
			add("hears of the cut", func(n *world) { n.reshape.Completed(Activate) })
		}
	case Publish:
		add("publishes", func(n *world) { n.reshape.Completed(Publish) })
	case Drop:
		add("orders the drop", func(n *world) { n.sent.drop = true })
		if w.acked.drop {
			add("hears of the drop", func(n *world) { n.reshape.Completed(Drop) })
		}
	case Unfence:
		add("orders the undoing", func(n *world) { n.sent.unfence = true })
		if w.acked.unfence {
			add("hears of the undoing", func(n *world) { n.reshape.Completed(Unfence) })
		}
	}
	if r := w.reshape; r.Abort() == nil && r.Step != w.reshape.Step {
		add("aborts", func(n *world) { _ = n.reshape.Abort() })
	} else if f == abortLate && w.reshape.Step == Cutover {
		add("aborts late", func(n *world) { n.reshape.Step = RollingBack })
	}
	// Orders that arrive.
	if w.sent.copied {
		add("old copies", func(n *world) {
			b, _ := n.owners[old].CopyOut(1, whole, false)
			n.copies = with(n.copies, b[key])
		})
	}
	for _, c := range w.copies {
		add("copy comes in", func(n *world) {
			n.owners[new].CopyIn(1, whole, holding(c))
			n.acked.copied = true
		})
	}
	if w.sent.fence {
		add("old is fenced", func(n *world) {
			up := n.owners[old].Fence(1, whole)
			if f == noWait {
				up = true
			}
			n.acked.fence = n.acked.fence || up
		})
	}
	if w.sent.last {
		add("old copies the last", func(n *world) {
			b, ok := n.owners[old].CopyOut(1, whole, f != earlyLast && f != noWait)
			if ok {
				n.lasts = with(n.lasts, b[key])
			}
		})
	}
	for _, c := range w.lasts {
		add("last copy comes in", func(n *world) {
			if f != forgetful {
				n.owners[new].CopyIn(1, whole, holding(c))
			}
			n.acked.last = true
		})
	}
	if w.sent.activate {
		add("new accepts", func(n *world) {
			n.owners[new].Activate(1, whole, 2)
			n.acked.activate = true
		})
	}
	if w.sent.drop {
		add("old drops", func(n *world) {
			n.owners[old].Drop(1, whole, 2)
			n.acked.drop = true
		})
	}
	if w.sent.unfence {
		add("undone", func(n *world) {
			n.owners[old].Unfence(1, whole)
			n.owners[new].DiscardCopies(1, whole)
			n.acked.unfence = true
		})
	}
	// Bookings. Mixers may hold any map: they send anywhere.
	for i, b := range w.books {
		if b.where < 0 && b.sends > 0 && !b.ran && (!b.lost || f == resend) && (b.told || b.sends == 2) {
			for to := range 2 {
				add(fmt.Sprintf("booking %d goes to owner %d", i, to), func(n *world) {
					n.books[i].where, n.books[i].sends, n.books[i].told = to, b.sends-1, false
				})
			}
		}
		if b.where >= 0 {
			add(fmt.Sprintf("booking %d is lost", i), func(n *world) { n.books[i].where, n.books[i].lost = -1, true })
			add(fmt.Sprintf("booking %d arrives", i), func(n *world) {
				switch n.owners[b.where].Begin(key, fmt.Sprint(i)) {
				case Accepted:
					n.books[i].lost = true // until it is heard of again it may have run
				case AlreadyBooked:
					n.books[i].lost = true // answered: it is booked
				default:
					n.books[i].told = true
				}
				n.books[i].where = -1
			})
		}
	}
	for o := range 2 {
		if q := w.owners[o].Running[key]; q != "" {
			add(fmt.Sprintf("owner %d stores booking %s", o, q), func(n *world) {
				n.owners[o].End(key)
				n.runs++
				n.books[q[0]-'0'].ran = true
			})
			add(fmt.Sprintf("owner %d dies", o), func(n *world) { n.owners[o].Crash() })
		}
	}
	return out
}

func with(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	list = append(slices.Clone(list), s)
	slices.Sort(list)
	return list
}

func holding(q string) map[string]string {
	if q == "" {
		return nil
	}
	return map[string]string{key: q}
}

// explore visits all states and returns how many, and the way to one that breaks
// the rule.
func explore(f fault) (states int, trace []string) {
	start := &world{reshape: Reshape{ID: 1, Step: Copying, Sources: []Segment{{ID: 7, Cell: 0}}, Targets: []Segment{{ID: 7, Cell: 1}}}}
	start.owners[0], start.owners[1] = NewOwner(1, Segment{ID: 7}), NewOwner(1)
	start.owners[0].NoFence = f == noFence
	for i := range start.books {
		start.books[i] = booking{where: -1, sends: 2}
	}
	type step struct {
		from string
		what string
	}
	seen := map[string]step{start.id(): {}}
	queue := []*world{start}
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		id := w.id()
		for _, m := range w.moves(f) {
			n := w.clone()
			m.do(n)
			to := n.id()
			if _, known := seen[to]; known {
				continue
			}
			seen[to] = step{id, m.what}
			broken := n.runs > 1
			for _, b := range n.books {
				broken = broken || b.told && b.ran
			}
			if broken {
				for at := to; seen[at].what != ""; at = seen[at].from {
					trace = append([]string{seen[at].what}, trace...)
				}
				return len(seen), trace
			}
			queue = append(queue, n)
		}
	}
	return len(seen), nil
}

func TestAtMostOnceAcrossAMove(t *testing.T) {
	states, trace := explore(none)
	require.Empty(t, trace, strings.Join(trace, "\n"))
	require.Greater(t, states, 5000, "a check that looks at little finds little")
	t.Logf("%d states, none of which breaks the rule", states)
}

// With the fence out, or any other care, the check finds the way to a key that ran
// twice.
func TestModelFindsWhatIsLeftOut(t *testing.T) {
	for name, f := range map[string]fault{"no fence": noFence, "fence does not wait": noWait, "last copy before the fence": earlyLast,
		"new owner accepts early": activateEarly, "aborted after the cut": abortLate, "last copy is lost": forgetful} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, trace := explore(f)
			require.NotEmpty(t, trace, "%d states", states)
			t.Logf("%d states; the shortest way:\n%s", states, strings.Join(trace, "\n"))
		})
	}
}
