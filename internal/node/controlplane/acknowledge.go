package controlplane

// This file holds back the acknowledgement of a server's departure (draining or deregistered) until the
// loss of this machine can no longer undo it.

import (
	"context"
	"errors"
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/cluster/views"
	"saddleport/internal/node/events"
)

// replicationTimeout bounds the wait for the other machines: servers wait one second for a response.
const replicationTimeout = 700 * time.Millisecond

// errNotReplicated is the reason for which a departure is not acknowledged.
var errNotReplicated = errors.New("the departure is not known to a majority of the control plane yet")

// acknowledgeDeparture returns nil once a majority of the members stores the departure of a server, as this
// machine has recorded it. If it returns an error, the departure must not be acknowledged, and the server
// is to call again: until a majority stores it, it may be lost with this machine, or this machine may be
// cut off from all others.
func (s *controlPlane) acknowledgeDeparture(ctx context.Context, id string) error {
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
	if !known {
		return retryLater(errNotReplicated) // the store is full
	}
	if err := s.replicate(ctx, entry); err != nil {
		events.DepartureUnknown.Log("server", id, "err", err)
		return retryLater(err)
	}
	s.Mu.Lock()
	s.registry.MarkReplicated(id, entry.Version)
	s.Mu.Unlock()
	return nil
}

// replicate stores an entry of this machine on the other members, and returns nil once a majority of the
// members, this machine included if it is one, stores it or a newer version.
func (s *controlPlane) replicate(ctx context.Context, entry gossip.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	others, missing, err := s.replica.replicationTargets(ctx)
	if err != nil {
		return err
	}
	stored := make(chan bool, len(others))
	for _, addr := range others {
		// The calls outlive this one, so that the slower members learn of the entry too.
		go func() { stored <- s.StoreAt(context.WithoutCancel(ctx), replicationTimeout, addr, entry) }()
	}
	for range others {
		if missing <= 0 {
			break
		}
		select {
		case ok := <-stored:
			if ok {
				missing--
			}
		case <-ctx.Done():
			return errNotReplicated
		}
	}
	if missing > 0 {
		return errNotReplicated
	}
	return nil
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
