package gossip

// This file reconnects processes that believed each other dead. A process sends heartbeats and
// entries only to processes that it believes to be alive. Two groups that have declared each other
// dead would therefore stay partitioned forever, and so would a restarted process among others
// that have forgotten it. To prevent this, each process occasionally calls processes that it has
// lost or that the settings name as seeds.

import "slices"

const (
	maxLostPeers             = 256                   // maximum number that is remembered; the one that was lost first is removed first
	lostFullRatePeriod       = 600 * 1_000_000       // microseconds after the loss during which a process is called at the full rate
	lostPeerLifetime         = 24 * 3600 * 1_000_000 // microseconds after the loss until the process is forgotten
	rejoinCallsTotal         = 2                     // calls to each lost process per interval, from all processes together
	maxRejoinCallsPerProcess = 3                     // calls per interval from one process
)

// lostPeers records the processes that were reported dead or have left, and since when. A record
// outlives the tombstone of the process in the store. It is not safe for concurrent use.
type lostPeers struct {
	since map[string]int64 // time of the loss, by address
}

func newLostPeers() lostPeers { return lostPeers{since: make(map[string]int64)} }

// add records that a process was reported dead or has left.
func (l lostPeers) add(now int64, addr string) {
	if _, known := l.since[addr]; known {
		return
	}
	if len(l.since) >= maxLostPeers {
		l.removeOldest()
	}
	l.since[addr] = now
}

// removeOldest removes the process that was lost first; ties are broken by address.
func (l lostPeers) removeOldest() {
	oldest := ""
	for addr, lostAt := range l.since {
		if oldest == "" || lostAt < l.since[oldest] || lostAt == l.since[oldest] && addr < oldest {
			oldest = addr
		}
	}
	delete(l.since, oldest)
}

// remove records that a process is alive.
func (l lostPeers) remove(addr string) { delete(l.since, addr) }

// expire removes the processes that were lost longer ago than lostPeerLifetime.
func (l lostPeers) expire(now int64) {
	for addr, lostAt := range l.since {
		if now-lostAt >= lostPeerLifetime {
			delete(l.since, addr)
		}
	}
}

// weight returns the fraction of the full rate at which a lost process is called. It decreases with
// the time since the loss, because most processes that were lost long ago do not return.
func (l lostPeers) weight(now int64, addr string) float64 {
	age := now - l.since[addr]
	if age <= lostFullRatePeriod {
		return 1
	}
	return lostFullRatePeriod / float64(age)
}

// LostPeers returns the number of lost processes that are still called occasionally.
func (g *Gossiper) LostPeers() int { return len(g.lost.since) }

// rejoinCandidates returns the addresses to call although no process is known to be alive there:
// lost processes and seeds, sorted, each with its weight.
func (g *Gossiper) rejoinCandidates(now int64) (addrs []string, weights map[string]float64) {
	weights = make(map[string]float64, len(g.lost.since)+len(g.seeds))
	for addr := range g.lost.since {
		weights[addr] = g.lost.weight(now, addr)
	}
	for _, addr := range g.seeds {
		if _, alive := g.peers[addr]; !alive && addr != g.self.Addr {
			weights[addr] = 1 // seeds are configured, so they are called at the full rate
		}
	}
	for addr := range weights {
		addrs = append(addrs, addr)
	}
	slices.Sort(addrs)
	return addrs, weights
}

// hasRejoinCandidates reports whether there are any rejoin candidates.
func (g *Gossiper) hasRejoinCandidates() bool {
	if len(g.lost.since) > 0 {
		return true
	}
	return slices.ContainsFunc(g.seeds, func(addr string) bool {
		_, alive := g.peers[addr]
		return !alive && addr != g.self.Addr
	})
}

// rejoin compares stores with some of the rejoin candidates. Each candidate of weight 1 is selected
// with probability rejoinCallsTotal divided by the number of known processes including this one,
// so that all processes together call it rejoinCallsTotal times per interval, independently of
// their number.
func (g *Gossiper) rejoin(now int64) {
	if now < g.nextRejoinAt {
		return
	}
	g.nextRejoinAt = now + g.cfg.RejoinInterval
	addrs, weights := g.rejoinCandidates(now)
	probability := rejoinCallsTotal / float64(len(g.peers)+1)
	selected := slices.DeleteFunc(addrs, func(addr string) bool { return g.rng.Float64() >= weights[addr]*probability })
	g.rng.Shuffle(len(selected), func(i, j int) { selected[i], selected[j] = selected[j], selected[i] })
	for _, addr := range selected[:min(len(selected), maxRejoinCallsPerProcess)] {
		g.CompareDigests(addr)
	}
}
