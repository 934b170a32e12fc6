package gossip

// This file fills the store of a process that has started. Digests do not cover tombstones, so equal
// digests do not show that a process has those of its peer, and after a restart it would not learn that an
// entry which others still use, for example its own proxy, has been deleted. Therefore a process that
// has started pulls all entries, tombstones included, from other processes.

// assumeSyncedAfter is the time after the start, in microseconds, from which a store counts as complete in
// any case. Otherwise no store would be complete after a start of all processes.
const assumeSyncedAfter = 60_000_000

// syncState records what the process has pulled since it started.
type syncState struct {
	startedAt int64
	pulled    bool // all entries of some peer have been received
	complete  bool // all entries of a peer whose store was complete have been received
}

func newSyncState(now int64) syncState { return syncState{startedAt: now} }

// finishPull records that all entries of a peer have been received.
func (s *syncState) finishPull(peerSynced bool) {
	s.pulled = true
	s.complete = s.complete || peerSynced
}

// IsSynced reports whether the store is complete: since the start, it has received all entries and
// tombstones of a peer whose store was complete, or assumeSyncedAfter has passed. A key that a complete
// store does not contain was deleted, or was never known to the peers of the process.
func (g *Gossiper) IsSynced(now int64) bool {
	g.sync.complete = g.sync.complete || now-g.sync.startedAt >= assumeSyncedAfter
	return g.sync.complete
}

// mustJoin reports whether the process knows no other one or has not pulled since it started.
func (g *Gossiper) mustJoin() bool { return len(g.peers) == 0 || !g.sync.pulled }

// join pulls from the seeds; once other processes are known, from one of them at a time.
func (g *Gossiper) join() {
	if len(g.peers) == 0 {
		for _, addr := range g.seeds {
			if addr != g.self.Addr {
				g.pullAll(addr)
			}
		}
		return
	}
	if !g.pullInFlight() {
		peers := g.Peers("")
		g.pullAll(peers[g.rng.IntN(len(peers))].Addr)
	}
}

// pullAll compares a digest of which every bucket differs from the peer's, so that the peer returns the
// versions of all its entries, tombstones included.
func (g *Gossiper) pullAll(addr string) {
	digest := g.Store.Digest().inverted()
	g.startCall(callState{purpose: compareDigest, to: addr, pull: true}, ExchangeRequest{Digest: &digest})
}

// pullInFlight reports whether a pull has been started and has neither succeeded nor failed.
func (g *Gossiper) pullInFlight() bool {
	for _, call := range g.inFlight {
		if call.pull {
			return true
		}
	}
	return false
}

// inverted returns a digest that differs from d, and from any digest equal to d, in every bucket.
func (d Digest) inverted() Digest {
	for i := range d {
		d[i] = ^d[i]
	}
	return d
}
