package controlplane

// This file holds back the acknowledgement of a server's departure (draining or deregistered) until the
// loss of this machine can no longer undo it.

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/cluster/views"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
)

const (
	replicationTimeout = 700 * time.Millisecond // of a departure; servers wait one second for a response
	roundTimeout       = 450 * time.Millisecond // of a batch; the next one may need as long
	hedgeDelay         = 200 * time.Millisecond // then the members that have not been called yet are called too
	collectDelay       = 10 * time.Millisecond  // before a batch is sent: servers often leave together
	maxBatchEntries    = 512                    // further departures are not acknowledged
)

// errNotReplicated is the reason for which a departure is not acknowledged.
var errNotReplicated = errors.New("the departure is not known to a majority of the control plane yet")

// departureBatch is a number of departures that are sent to the other members together.
type departureBatch struct {
	entries  []gossip.Entry
	allZones bool // the receivers forward the entries to all zones
	done     chan struct{}
	err      error // set before done is closed
}

// departureQueue collects departures while the batch before is sent.
type departureQueue struct {
	mu      sync.Mutex
	next    *departureBatch // nil: empty
	sending bool            // a goroutine sends batches until next is empty
}

// acknowledgeDraining returns nil once a majority of the members stores that a server is draining, as this
// machine has recorded it. If it returns an error, the heartbeat must not be acknowledged, and the server is
// to call again: until a majority stores it, the change may be lost with this machine, or this machine may
// be cut off from all others.
func (s *controlPlane) acknowledgeDraining(ctx context.Context, id string) error {
	if err := s.replica.requireQuorum(ctx); err != nil {
		return err
	}
	s.Mu.Lock()
	entry, known := s.Store.Get(registry.Prefix + id)
	replicated := s.registry.IsReplicated(id, entry.Version)
	s.Mu.Unlock()
	if replicated {
		return nil
	}
	if err := s.replicate(ctx, entry, known, false); err != nil {
		return err
	}
	if server, err := registry.Parse(entry); err != nil || server.State != registry.Draining {
		return nil // this heartbeat was older than what is stored
	}
	s.Mu.Lock()
	s.registry.MarkReplicated(id, entry.Version)
	s.Mu.Unlock()
	return nil
}

// acknowledgeDeregistration does the same for a deregistration. If wasDraining is true, a majority stores
// already that the server is draining, so that it gets no request whether or not the deregistration is lost.
// Otherwise no further call of the server repeats what is lost, so the other members forward the entry to
// all zones, as this machine does.
func (s *controlPlane) acknowledgeDeregistration(ctx context.Context, id string, wasDraining bool) error {
	if err := s.replica.requireQuorum(ctx); err != nil || wasDraining {
		return err
	}
	s.Mu.Lock()
	entry, known := s.Store.Get(registry.Prefix + id)
	s.Mu.Unlock()
	return s.replicate(ctx, entry, known, true)
}

// replicate stores an entry of this machine on other members, and returns nil once a majority of the members,
// this machine included if it is one, stores it or a newer version. known is false if this machine could not
// store the entry.
func (s *controlPlane) replicate(ctx context.Context, entry gossip.Entry, known, allZones bool) error {
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	var batch *departureBatch
	if known {
		batch = s.enqueueDeparture(entry, allZones)
	}
	err := errNotReplicated
	if batch != nil {
		select {
		case <-batch.done:
			err = batch.err
		case <-ctx.Done():
		}
	}
	if err == nil {
		return nil
	}
	events.DepartureUnknown.Log("server", entry.Key, "err", err)
	return retryLater(err)
}

// enqueueDeparture adds an entry to the next batch and returns it; nil: the batch is full.
func (s *controlPlane) enqueueDeparture(entry gossip.Entry, allZones bool) *departureBatch {
	queue := &s.departures
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if queue.next == nil {
		queue.next = &departureBatch{done: make(chan struct{})}
	}
	batch := queue.next
	if len(batch.entries) >= maxBatchEntries {
		return nil
	}
	batch.entries = append(batch.entries, entry)
	batch.allZones = batch.allZones || allZones
	if !queue.sending {
		queue.sending = true
		go s.sendDepartures()
	}
	return batch
}

// sendDepartures sends one batch after another until none is left.
func (s *controlPlane) sendDepartures() {
	for queue := &s.departures; ; {
		time.Sleep(collectDelay)
		queue.mu.Lock()
		batch := queue.next
		queue.next = nil
		queue.sending = batch != nil
		queue.mu.Unlock()
		if batch == nil {
			return
		}
		batch.err = s.storeOnMajority(batch)
		close(batch.done)
	}
}

// storeOnMajority calls as many members as are needed, the nearest ones first, and the others if one fails or
// hedgeDelay has passed.
func (s *controlPlane) storeOnMajority(batch *departureBatch) error {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	targets, missing, err := s.replica.replicationTargets(ctx)
	if err != nil {
		return err
	}
	targets = s.nearestFirst(targets)
	stored := make(chan bool, len(targets))
	called, answered := 0, 0
	callUntil := func(count int) {
		for ; called < min(count, len(targets)); called++ {
			addr := targets[called]
			// A call may outlive this function, so that a slower member learns of the entries too.
			go func() { stored <- s.StoreAt(replicationTimeout, addr, batch.entries, batch.allZones) }()
		}
	}
	callUntil(missing)
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for missing > 0 && answered < len(targets) {
		select {
		case ok := <-stored:
			answered++
			if ok {
				missing--
			} else {
				callUntil(len(targets))
			}
		case <-hedge.C:
			callUntil(len(targets))
		case <-ctx.Done():
			return errNotReplicated
		}
	}
	if missing > 0 {
		return errNotReplicated
	}
	return nil
}

// nearestFirst sorts the addresses of members: those in this zone first, then those in this region, and
// members that are not known by gossip last.
func (s *controlPlane) nearestFirst(addrs []string) []string {
	distances := make(map[string]int)
	for _, peer := range s.Peers(gossip.KindControlPlane) {
		distances[peer.Addr] = nodesettings.Distance(peer.Zone, peer.Region, s.Self.Zone, s.Self.Region)
	}
	distance := func(addr string) int {
		if d, known := distances[addr]; known {
			return d
		}
		return math.MaxInt
	}
	slices.SortStableFunc(addrs, func(a, b string) int { return cmp.Compare(distance(a), distance(b)) })
	return addrs
}

// replicationTargets returns the addresses of the other members, and how many of them must store an entry
// so that a majority of the members does.
func (c *replicaRunner) replicationTargets(ctx context.Context) (others []string, needed int, err error) {
	var view views.View
	var self views.Member
	err = c.runAndWait(ctx, func() { view, self = c.replica.Consensus.View, c.replica.Consensus.Self })
	if err != nil {
		return nil, 0, err
	}
	needed = view.Majority()
	for _, member := range view.Members {
		if member == self {
			needed--
		} else {
			others = append(others, member.Addr)
		}
	}
	return others, needed, nil
}
