package gossip

// How processes find each other again that believed each other dead. A process sends heartbeats
// and entries only to those that it thinks alive; so two groups that have declared each other
// dead, and a process that has started anew among others that have forgotten it, would stay
// apart for good. Hence each process calls, now and then, one that it has lost or that the
// settings name.

import "slices"

const (
	maxLostPeers     = 256                   // that are remembered; the one lost longest ago is forgotten first
	lostFullRate     = 600 * 1_000_000       // microseconds: as long as this a lost process is called at the full rate
	lostForgotten    = 24 * 3600 * 1_000_000 // microseconds: then it is forgotten
	rejoinCallsOfAll = 2                     // to each lost process, from all processes together, in an interval
	rejoinCallsOfOne = 3                     // from one process in an interval, at most
)

// lostPeers remembers the processes that were announced to be gone, and since when. It
// outlives their tombstones in the store. It is not safe for concurrent use.
type lostPeers struct {
	since map[string]int64 // by address
}

func newLostPeers() lostPeers { return lostPeers{since: make(map[string]int64)} }

// add notes that a process was announced to be gone.
func (l lostPeers) add(now int64, addr string) {
	if _, known := l.since[addr]; known {
		return
	}
	if len(l.since) >= maxLostPeers {
		l.forgetOldest()
	}
	l.since[addr] = now
}

func (l lostPeers) forgetOldest() {
	oldest := ""
	for addr, at := range l.since {
		if oldest == "" || at < l.since[oldest] || at == l.since[oldest] && addr < oldest {
			oldest = addr
		}
	}
	delete(l.since, oldest)
}

// remove notes that a process is alive.
func (l lostPeers) remove(addr string) { delete(l.since, addr) }

// expire forgets those that were lost long ago.
func (l lostPeers) expire(now int64) {
	for addr, at := range l.since {
		if now-at >= lostForgotten {
			delete(l.since, addr)
		}
	}
}

// weight is how often a lost process is called, as a share of the full rate. It falls with the
// time since the loss, for most of those will not come back.
func (l lostPeers) weight(now int64, addr string) float64 {
	age := now - l.since[addr]
	if age <= lostFullRate {
		return 1
	}
	return lostFullRate / float64(age)
}

// LostPeers counts the processes that were announced to be gone and are still called now and
// then.
func (g *Gossiper) LostPeers() int { return len(g.lost.since) }

// rejoinCandidates returns the addresses that are called although nothing is known to be alive
// there: lost processes and seeds, ordered, each with its weight.
func (g *Gossiper) rejoinCandidates(now int64) (addrs []string, weights map[string]float64) {
	weights = make(map[string]float64, len(g.lost.since)+len(g.seeds))
	for addr := range g.lost.since {
		weights[addr] = g.lost.weight(now, addr)
	}
	for _, addr := range g.seeds {
		if _, alive := g.peers[addr]; !alive && addr != g.self.Addr {
			weights[addr] = 1 // the settings say that it exists
		}
	}
	for addr := range weights {
		addrs = append(addrs, addr)
	}
	slices.Sort(addrs)
	return addrs, weights
}

// hasRejoinCandidates reports whether rejoin has anyone to call.
func (g *Gossiper) hasRejoinCandidates() bool {
	if len(g.lost.since) > 0 {
		return true
	}
	return slices.ContainsFunc(g.seeds, func(addr string) bool {
		_, alive := g.peers[addr]
		return !alive && addr != g.self.Addr
	})
}

// rejoin compares stores with some processes that are not known to be alive. Each of them is drawn
// with a probability of a few in as many as there are processes here, so that all of these together
// call it a few times an interval, however many they are.
func (g *Gossiper) rejoin(now int64) {
	if now < g.nextRejoinAt {
		return
	}
	g.nextRejoinAt = now + g.cfg.RejoinInterval
	addrs, weights := g.rejoinCandidates(now)
	share := rejoinCallsOfAll / float64(len(g.peers)+1)
	drawn := slices.DeleteFunc(addrs, func(addr string) bool { return g.rng.Float64() >= weights[addr]*share })
	g.rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	for _, addr := range drawn[:min(len(drawn), rejoinCallsOfOne)] {
		g.CompareDigests(addr)
	}
}
