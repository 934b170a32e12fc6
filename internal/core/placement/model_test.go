package placement

// An explicit-state model check of the argument in docs/design/segments.md: one key
// whose segment moves from cell 0 to cell 1, two bookings of it by proxies that may
// send to either cell, a network that delays, reorders and loses messages, orders that
// are delivered any number of times, and crashes of the coordinator and both owners at
// every step. In every reachable state the key has run at most once, and a booking that
// was rejected as never run has not run.
//
// The owners and the reshape are the package's own code. For each omitted safeguard the
// check must find a violation.

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const key = "k"

var allKeys = Range{}

// orders are the orders that the coordinator has sent so far: each may be delivered
// at any time, repeatedly, or never.
type orders struct{ firstCopy, finalCopy, fence, activate, drop, unfence bool }

// acks are the acknowledgements that the owners have sent so far.
type acks struct{ firstCopy, fence, finalCopy, activate, drop, unfence bool }

// booking is the booking of one query.
type booking struct {
	target    int  // the owner that the current attempt is on its way to; -1: none
	sendsLeft int  // attempts left
	ran       bool // the booking took effect
	rejected  bool // the last attempt was rejected as never run
	uncertain bool // may have run: must not be sent again
}

// modelState is one state of the model: the coordinator's reshape, the messages in the
// network, both owners and both bookings.
type modelState struct {
	reshape     Reshape
	sent        orders
	acked       acks
	copies      []string // copies sent or stored, by their contents
	finalCopies []string
	owners      [2]*Owner
	bookings    [2]booking
	runs        int // times that a booking of the key took effect
}

// omission is a safeguard that is left out.
type omission int

const (
	none           omission = iota
	noFence                 // the old owner keeps accepting bookings
	noWait                  // the fence counts as complete while a booking is running
	earlyFinalCopy          // the final copy is made before the fence
	earlyActivate           // the new owner accepts requests before the final copy
	lateAbort               // a reshape is aborted after its cutover
	resend                  // a proxy resends a booking that may have run
	lostFinalCopy           // the final copy is acknowledged without being stored
)

func (s *modelState) clone() *modelState {
	n := *s
	n.reshape.Sources, n.reshape.Targets = s.reshape.Sources, s.reshape.Targets
	n.copies, n.finalCopies = slices.Clone(s.copies), slices.Clone(s.finalCopies)
	for i, o := range s.owners {
		c := *o
		c.Pieces, c.Booked, c.Running, c.RolledBack = slices.Clone(o.Pieces), maps.Clone(o.Booked), maps.Clone(o.Running), maps.Clone(o.RolledBack)
		n.owners[i] = &c
	}
	return &n
}

func (s *modelState) id() string {
	var b strings.Builder
	r := s.reshape
	// %q distinguishes an empty copy from no copy.
	fmt.Fprintf(&b, "%d %v %v %v %v %v %v %v %v %q %q %v %d", r.Step, r.Copied, r.Fenced, r.FinalCopied, r.Activated, r.Published, r.Dropped, s.sent, s.acked,
		s.copies, s.finalCopies, s.bookings, s.runs)
	for _, o := range s.owners {
		fmt.Fprint(&b, o.Pieces, o.Booked, o.Running, o.RolledBack)
	}
	return b.String()
}

type transition struct {
	name  string
	apply func(*modelState)
}

// transitions returns everything that may happen next.
func (s *modelState) transitions(omit omission) (out []transition) {
	add := func(name string, apply func(*modelState)) { out = append(out, transition{name, apply}) }
	old, new := 0, 1
	// The coordinator stores its step before it sends, so a crash loses only what it
	// will send again; it may read pending acknowledgements after the restart.
	switch action := s.reshape.NextAction(); action {
	case Copy:
		add("orders the copy", func(n *modelState) { n.sent.firstCopy = true })
		if s.acked.firstCopy {
			add("learns of the copy", func(n *modelState) { n.reshape.Completed(Copy) })
		}
	case Fence:
		add("orders the fence", func(n *modelState) { n.sent.fence = true })
		if omit == earlyFinalCopy {
			add("orders the final copy", func(n *modelState) { n.sent.finalCopy = true })
		}
		if s.acked.fence {
			add("learns of the fence", func(n *modelState) { n.reshape.Completed(Fence) })
		}
	case CopyFinal:
		add("orders the final copy", func(n *modelState) { n.sent.finalCopy = true })
		if s.acked.finalCopy || omit == earlyActivate {
			add("learns of the final copy", func(n *modelState) { n.reshape.Completed(CopyFinal) })
		}
	case Activate:
		add("orders the activation", func(n *modelState) { n.sent.activate = true })
		if s.acked.activate {
			add("learns of the activation", func(n *modelState) { n.reshape.Completed(Activate) })
		}
	case Publish:
		add("publishes", func(n *modelState) { n.reshape.Completed(Publish) })
	case Drop:
		add("orders the drop", func(n *modelState) { n.sent.drop = true })
		if s.acked.drop {
			add("learns of the drop", func(n *modelState) { n.reshape.Completed(Drop) })
		}
	case Unfence:
		add("orders the rollback", func(n *modelState) { n.sent.unfence = true })
		if s.acked.unfence {
			add("learns of the rollback", func(n *modelState) { n.reshape.Completed(Unfence) })
		}
	}
	if r := s.reshape; r.Abort() == nil && r.Step != s.reshape.Step {
		add("aborts", func(n *modelState) { _ = n.reshape.Abort() })
	} else if omit == lateAbort && s.reshape.Step == Cutover {
		add("aborts late", func(n *modelState) { n.reshape.Step = RollingBack })
	}
	// Delivered orders.
	if s.sent.firstCopy {
		add("old owner makes the copy", func(n *modelState) {
			b, _ := n.owners[old].CopyOut(1, allKeys, false)
			n.copies = insertSorted(n.copies, b[key])
		})
	}
	for _, c := range s.copies {
		add("copy is stored", func(n *modelState) {
			n.owners[new].CopyIn(1, allKeys, bookedBy(c))
			n.acked.firstCopy = true
		})
	}
	if s.sent.fence {
		add("old owner is fenced", func(n *modelState) {
			up := n.owners[old].Fence(1, allKeys)
			if omit == noWait {
				up = true
			}
			n.acked.fence = n.acked.fence || up
		})
	}
	if s.sent.finalCopy {
		add("old owner makes the final copy", func(n *modelState) {
			b, ok := n.owners[old].CopyOut(1, allKeys, omit != earlyFinalCopy && omit != noWait)
			if ok {
				n.finalCopies = insertSorted(n.finalCopies, b[key])
			}
		})
	}
	for _, c := range s.finalCopies {
		add("final copy is stored", func(n *modelState) {
			if omit != lostFinalCopy {
				n.owners[new].CopyIn(1, allKeys, bookedBy(c))
			}
			n.acked.finalCopy = true
		})
	}
	if s.sent.activate {
		add("new owner accepts", func(n *modelState) {
			n.owners[new].Activate(1, allKeys, 2)
			n.acked.activate = true
		})
	}
	if s.sent.drop {
		add("old owner drops", func(n *modelState) {
			n.owners[old].Drop(1, allKeys, 2)
			n.acked.drop = true
		})
	}
	if s.sent.unfence {
		add("both owners roll back", func(n *modelState) {
			n.owners[old].Unfence(1, allKeys)
			n.owners[new].DiscardCopies(1, allKeys)
			n.acked.unfence = true
		})
	}
	// Bookings. Proxies may use any map, so they send to either owner.
	for i, b := range s.bookings {
		if b.target < 0 && b.sendsLeft > 0 && !b.ran && (!b.uncertain || omit == resend) && (b.rejected || b.sendsLeft == 2) {
			for to := range 2 {
				add(fmt.Sprintf("booking %d is sent to owner %d", i, to), func(n *modelState) {
					n.bookings[i].target, n.bookings[i].sendsLeft, n.bookings[i].rejected = to, b.sendsLeft-1, false
				})
			}
		}
		if b.target >= 0 {
			add(fmt.Sprintf("booking %d is lost", i), func(n *modelState) { n.bookings[i].target, n.bookings[i].uncertain = -1, true })
			add(fmt.Sprintf("booking %d is delivered", i), func(n *modelState) {
				switch n.owners[b.target].Begin(key, fmt.Sprint(i)) {
				case Accepted:
					n.bookings[i].uncertain = true // until the outcome is known it may have run
				case AlreadyBooked:
					n.bookings[i].uncertain = true // acknowledged as booked
				default:
					n.bookings[i].rejected = true
				}
				n.bookings[i].target = -1
			})
		}
	}
	for o := range 2 {
		if q := s.owners[o].Running[key]; q != "" {
			add(fmt.Sprintf("owner %d stores booking %s", o, q), func(n *modelState) {
				n.owners[o].End(key)
				n.runs++
				n.bookings[q[0]-'0'].ran = true
			})
			add(fmt.Sprintf("owner %d crashes", o), func(n *modelState) { n.owners[o].Crash() })
		}
	}
	return out
}

func insertSorted(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	list = append(slices.Clone(list), s)
	slices.Sort(list)
	return list
}

func bookedBy(q string) map[string]string {
	if q == "" {
		return nil
	}
	return map[string]string{key: q}
}

// explore visits all reachable states. It returns their number and, if a state
// violates the rule, the transitions that lead to it.
func explore(omit omission) (states int, trace []string) {
	start := &modelState{reshape: Reshape{ID: 1, Step: Copying, Sources: []Segment{{ID: 7, Cell: 0}}, Targets: []Segment{{ID: 7, Cell: 1}}}}
	start.owners[0], start.owners[1] = NewOwner(1, Segment{ID: 7}), NewOwner(1)
	start.owners[0].NoFence = omit == noFence
	for i := range start.bookings {
		start.bookings[i] = booking{target: -1, sendsLeft: 2}
	}
	type step struct {
		from       string
		transition string
	}
	seen := map[string]step{start.id(): {}}
	queue := []*modelState{start}
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		id := current.id()
		for _, t := range current.transitions(omit) {
			next := current.clone()
			t.apply(next)
			to := next.id()
			if _, known := seen[to]; known {
				continue
			}
			seen[to] = step{id, t.name}
			violated := next.runs > 1
			for _, b := range next.bookings {
				violated = violated || b.rejected && b.ran
			}
			if violated {
				for at := to; seen[at].transition != ""; at = seen[at].from {
					trace = append([]string{seen[at].transition}, trace...)
				}
				return len(seen), trace
			}
			queue = append(queue, next)
		}
	}
	return len(seen), nil
}

// With all safeguards no reachable state violates the rule at the head of this file.
func TestAtMostOnceAcrossAMove(t *testing.T) {
	states, trace := explore(none)
	require.Empty(t, trace, strings.Join(trace, "\n"))
	require.Greater(t, states, 5000, "the check must cover enough states")
	t.Logf("%d states, none of which violates the rule", states)
}

// For each omitted safeguard the check finds the transitions to a key that ran twice.
func TestModelDetectsOmittedSafeguards(t *testing.T) {
	for name, omit := range map[string]omission{"no fence": noFence, "fence does not wait": noWait, "final copy before the fence": earlyFinalCopy,
		"new owner accepts early": earlyActivate, "aborted after the cutover": lateAbort, "final copy is lost": lostFinalCopy} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, trace := explore(omit)
			require.NotEmpty(t, trace, "%d states", states)
			t.Logf("%d states; shortest trace:\n%s", states, strings.Join(trace, "\n"))
		})
	}
}
