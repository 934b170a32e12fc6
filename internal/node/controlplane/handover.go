package controlplane

import (
	"context"
	"net/http"
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/node/events"
	"saddleport/internal/node/rpc"
)

const (
	handOverPollInterval = 50 * time.Millisecond
	handOverMargin       = 700 * time.Millisecond  // kept free before the end of the grace period
	standbyTimeout       = 2000 * time.Millisecond // time for a learner that can take over the vote to appear
)

// handOverVote transfers this machine's vote to a learner, a control-plane process without a vote, before
// this process ends. It returns when the transfer is complete, when no learner can take the vote after
// standbyTimeout, or handOverMargin before the end of the grace period. If the grace period is not longer
// than handOverMargin, it does not wait.
func (c *replicaRunner) handOverVote(grace time.Duration) {
	start := time.Now()
	deadline, standbyDeadline := start.Add(grace-handOverMargin), start.Add(standbyTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if c.runOnLoop(ctx, func() { c.processOutput(c.replica.StartLeave(c.now())) }) != nil {
		return
	}
	for time.Now().Before(deadline) {
		left, noSuccessor := c.leaveStatus(ctx)
		switch {
		case left:
			events.VoteHandedOver.Log("after", time.Since(start).Round(time.Millisecond))
			return
		case noSuccessor && time.Now().After(standbyDeadline):
			events.VoteNotHandedOver.Log("why", "no learner is available to take over the vote; the vote stays with the state on this disk")
			return
		}
		time.Sleep(handOverPollInterval)
	}
	events.VoteNotHandedOver.Log("why", "the other members did not agree within the grace period")
}

// leaveStatus reports whether this machine no longer has a vote, and whether it is useless to wait longer
// for a learner that can take over its vote. Both are false if the loop does not answer before ctx ends.
func (c *replicaRunner) leaveStatus(ctx context.Context) (left, noSuccessor bool) {
	var hasLeft, cannotHandOver bool
	err := c.runAndWait(ctx, func() {
		hasLeft, cannotHandOver = c.replica.HasLeft(c.now()), c.replica.Consensus.CannotHandOver(c.now())
	})
	if err != nil {
		return false, false
	}
	return hasLeft, cannotHandOver
}

// requireQuorum returns an error that redirects a caller to another machine if this machine has not
// heard from a majority recently: its configuration may be outdated, and what it accepts may be lost.
func (c *replicaRunner) requireQuorum(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	var hasQuorum bool
	var peersWithQuorum []string
	err := c.runAndWait(ctx, func() {
		now := c.now()
		hasQuorum = c.replica.Consensus.HasQuorum(now)
		for _, member := range c.replica.Consensus.PeersWithQuorum(now) {
			peersWithQuorum = append(peersWithQuorum, member.Addr)
		}
	})
	if err != nil {
		return retryLater(err)
	}
	if hasQuorum {
		return nil
	}
	return c.redirect(peersWithQuorum)
}

// redirect returns an error that redirects a caller to the first candidate whose address for callers
// is known. If there is none, the error asks the caller to retry.
func (c *replicaRunner) redirect(candidates []string) error {
	controlAddrs := make(map[string]string)
	for _, p := range c.node.Peers(gossip.KindControlPlane) {
		controlAddrs[p.Addr] = p.Control
	}
	for _, addr := range candidates {
		if target := controlAddrs[addr]; target != "" {
			status := rpc.Errorf(http.StatusTemporaryRedirect, "this machine is out of touch with the control plane; call %s instead", target)
			status.RedirectHost = target
			return status
		}
	}
	status := rpc.Errorf(http.StatusServiceUnavailable, "this machine is out of touch with the control plane")
	status.RetryAfter = retryAfter
	return status
}
