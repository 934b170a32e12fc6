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
	handOverMargin       = 700 * time.Millisecond  // before the grace is over
	standbyTimeout       = 2000 * time.Millisecond // for somebody to come that takes the vote
)

// handOverVote makes this machine leave the voters before its process ends. It returns when
// that is done, when there is no learner for the vote, or when the grace period is nearly
// over.
func (c *replicaRunner) handOverVote(grace time.Duration) {
	begun := time.Now()
	over, standby := begun.Add(grace-handOverMargin), begun.Add(standbyTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), over)
	defer cancel()
	if c.do(ctx, func() { c.process(c.replica.StartLeave(c.now())) }) != nil {
		return
	}
	for time.Now().Before(over) {
		left, alone := c.leaveStatus(ctx)
		switch {
		case left:
			events.VoteHandedOver.Log("after", time.Since(begun).Round(time.Millisecond))
			return
		case alone && time.Now().After(standby):
			events.VoteNotHandedOver.Log("why", "nobody stands by to take this vote; the disk keeps it")
			return
		}
		time.Sleep(handOverPollInterval)
	}
	events.VoteNotHandedOver.Log("why", "the others have not agreed within the grace")
}

// leaveStatus reports whether this machine has left, and whether there is no learner for its
// vote.
func (c *replicaRunner) leaveStatus(ctx context.Context) (left, alone bool) {
	done := make(chan struct{})
	if c.do(ctx, func() {
		left, alone = c.replica.HasLeft(c.now()), c.replica.Consensus.CannotHandOver(c.now())
		close(done)
	}) != nil {
		return false, false
	}
	select {
	case <-done:
		return left, alone
	case <-ctx.Done():
		return false, false
	}
}

// requireQuorum returns an error that sends a caller elsewhere if this machine has not heard a
// majority recently: what it would answer may be outdated, and what it would take may be lost.
func (c *replicaRunner) requireQuorum(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	var inTouch bool
	var others []string
	done := make(chan struct{})
	err := c.do(ctx, func() {
		now := c.now()
		inTouch = c.replica.Consensus.HasQuorum(now)
		for _, x := range c.replica.Consensus.PeersWithQuorum(now) {
			others = append(others, x.Addr)
		}
		close(done)
	})
	if err != nil {
		return retryLater(err)
	}
	select {
	case <-done:
	case <-ctx.Done():
		return retryLater(ctx.Err())
	}
	if inTouch {
		return nil
	}
	return c.redirect(others)
}

// redirect sends a caller to the first machine whose address for callers is known; if there is
// none, asks it to come again.
func (c *replicaRunner) redirect(others []string) error {
	control := make(map[string]string)
	for _, p := range c.node.Peers(gossip.KindControlPlane) {
		control[p.Addr] = p.Control
	}
	for _, addr := range others {
		if to := control[addr]; to != "" {
			o := rpc.Errorf(http.StatusTemporaryRedirect, "this machine is out of touch with the core; %s is in touch", to)
			o.RedirectHost = to
			return o
		}
	}
	o := rpc.Errorf(http.StatusServiceUnavailable, "this machine is out of touch with the core")
	o.RetryAfter = retryAfter
	return o
}
