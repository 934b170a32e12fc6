package model

// The network between sites: delay, jitter, loss as what TCP makes of it, and links
// that are cut, one way or both.

import (
	"math/rand/v2"
	"time"
)

// Link is the way from one site to another.
type Link struct {
	Delay  time.Duration // one way
	Jitter time.Duration // mean of an exponential added to it
	Loss   float64       // share of messages that are lost once, and again with the same chance
}

// RTO is what one loss costs: the least retransmission time-out of common systems
// (RFC 6298 has 1 s; Linux 200 ms).
const RTO = 200 * time.Millisecond

// mostLosses bounds the losses of one message; beyond, it is as on a cut link.
const maxLosses = 8

// Network is all ways between sites.
type Network struct {
	Local Link // within a site

	sites map[string]int
	names []string
	links []Link
	cuts  []int // how many faults cut the way
	r     *rand.Rand
}

// NewNetwork returns a network between these sites; every way is far until Set.
func NewNetwork(sites []string, local, far Link, seed uint64) *Network {
	n := &Network{Local: local, sites: make(map[string]int), names: sites, links: make([]Link, len(sites)*len(sites)),
		cuts: make([]int, len(sites)*len(sites)), r: Rand(seed, "network")}
	for i, s := range sites {
		n.sites[s] = i
	}
	for i := range n.links {
		n.links[i] = far
		if i/len(sites) == i%len(sites) {
			n.links[i] = local
		}
	}
	return n
}

// Site is a site's number; -1: there is none of that name.
func (n *Network) Site(name string) int {
	if i, ok := n.sites[name]; ok {
		return i
	}
	return -1
}

// Sites are their names, by number.
func (n *Network) Sites() []string { return n.names }

// Set sets one way.
func (n *Network) Set(from, to int, l Link) { n.links[from*len(n.names)+to] = l }

// Cut cuts a way, or takes one cut back.
func (n *Network) Cut(from, to int, on bool) {
	if on {
		n.cuts[from*len(n.names)+to]++
	} else {
		n.cuts[from*len(n.names)+to]--
	}
}

// Open tells whether anything gets through.
func (n *Network) Reachable(from, to int) bool { return n.cuts[from*len(n.names)+to] == 0 }

// Delay draws how long a message is under way; ok is false where it never comes.
func (n *Network) Delay(from, to int) (d time.Duration, ok bool) {
	at := from*len(n.names) + to
	if n.cuts[at] > 0 {
		return 0, false
	}
	l := &n.links[at]
	d = l.Delay
	if l.Jitter > 0 {
		d += time.Duration(n.r.ExpFloat64() * float64(l.Jitter))
	}
	if l.Loss > 0 {
		rto := RTO
		for losses := 0; n.r.Float64() < l.Loss; losses++ {
			if losses == maxLosses {
				return 0, false
			}
			d += rto
			rto *= 2
		}
	}
	return d, true
}
