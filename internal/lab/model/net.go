package model

// This file models the network between sites: delay, jitter, packet loss as a TCP connection
// experiences it, and partitions in one or both directions.

import (
	"math/rand/v2"
	"time"
)

// Link is the one-way path from one site to another.
type Link struct {
	Delay  time.Duration // one way
	Jitter time.Duration // mean of an exponential delay added to Delay
	Loss   float64       // probability that a message is lost; a retransmission is lost with the same probability
}

// RTO is the delay added by one loss: the minimum retransmission timeout of common systems
// (RFC 6298 has 1 s; Linux 200 ms).
const RTO = 200 * time.Millisecond

// maxLosses bounds the losses of one message; after more, the message is dropped as on a
// partitioned link.
const maxLosses = 8

// Network holds the paths between all sites.
type Network struct {
	Local Link // within a site

	sites map[string]int
	names []string
	links []Link
	cuts  []int // number of faults that partition each path
	r     *rand.Rand
}

// NewNetwork returns a network between sites; all paths between different sites are far until
// Set changes them.
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

// Site returns a site's index, or -1 if there is no site of that name.
func (n *Network) Site(name string) int {
	if i, ok := n.sites[name]; ok {
		return i
	}
	return -1
}

// Sites returns the site names by index.
func (n *Network) Sites() []string { return n.names }

// Set changes the path in one direction.
func (n *Network) Set(from, to int, l Link) { n.links[from*len(n.names)+to] = l }

// Cut adds or removes one partition of a path.
func (n *Network) Cut(from, to int, on bool) {
	if on {
		n.cuts[from*len(n.names)+to]++
	} else {
		n.cuts[from*len(n.names)+to]--
	}
}

// Reachable reports whether messages get through.
func (n *Network) Reachable(from, to int) bool { return n.cuts[from*len(n.names)+to] == 0 }

// Delay draws the delay of a message; ok is false if it is never delivered.
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
