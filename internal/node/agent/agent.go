// Package agent is the program beside a proxy: it gossips with the other agents and the control
// plane, feeds the proxy over loopback, and holds singleton roles (the aggregator of evidence, the
// lessor of allowances). It serves no requests of clients.
package agent

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/peer"
	"saddleport/internal/node/rpc"
	"saddleport/internal/transport"
)

const (
	proxyGoneAfter = 500 * time.Millisecond // after SIGTERM: without a call for so long the proxy has ended
	pollInterval   = 20 * time.Millisecond
	graceMargin    = 400 * time.Millisecond // before the grace period is over
)

// Run is the program: it serves until ctx ends, and then for as long as its proxy asks.
func Run(ctx context.Context, set *nodesettings.File) error {
	boot := set.Current()
	n := peer.NewNode(set, gossip.KindAgent)
	var fed atomic.Int64  // when the proxy last asked or was answered, by n.now
	var open atomic.Int64 // calls of the proxy that wait
	life := strconv.FormatInt(time.Now().UnixNano(), 36)
	loop := http.NewServeMux()
	agentapi.FeedCall.On(loop, func(ctx context.Context, _ rpc.Named, f agentapi.FeedRequest) (agentapi.FeedResponse, error) {
		open.Add(1)
		defer func() { fed.Store(n.Now()); open.Add(-1) }()
		n.Mu.Lock()
		for _, i := range f.Entries {
			n.PutLocked(i)
		}
		if f.Incarnation != life {
			f.Since = 0
		}
		end := time.After(agentapi.FeedWait)
		for n.Store.Seq() <= f.Since {
			changed := n.Changed
			n.Mu.Unlock()
			select {
			case <-changed:
			case <-end:
				return agentapi.FeedResponse{Incarnation: life, Seq: f.Since}, nil
			case <-ctx.Done():
				return agentapi.FeedResponse{}, ctx.Err()
			}
			n.Mu.Lock()
		}
		defer n.Mu.Unlock()
		held, _ := n.Store.Get(agentapi.ConfigurationKey)
		return agentapi.FeedResponse{Incarnation: life, Seq: n.Store.Seq(), WantConfig: f.ConfigVersion > held.Version, Entries: n.Store.ChangedSince(f.Since)}, nil
	})
	inner := http.NewServeMux()
	n.Serve(inner)
	b := newOutlierAggregator(n)
	b.serve(loop, inner)
	admin.RegisterShow(loop, admin.Agent, boot.Name, n.StartedAt, b.tables)
	admin.RegisterExplain(loop, admin.Agent, boot.Name, n.StartedAt, b.explain)
	lnLoop, err := transport.Listen(ctx, boot.AgentAddr())
	if err != nil {
		return err
	}
	lnInner, err := transport.Listen(ctx, boot.PeerAddr())
	if err != nil {
		return err
	}
	running, end := context.WithCancel(context.Background()) // outlives ctx: the proxy is fed until it has ended
	over := make(chan struct{})
	defer func() { end(); <-over }()
	failed := make(chan error, 2)
	go func() { failed <- rpc.Serve(running, lnLoop, loop, agentapi.FeedWait+5*time.Second) }()
	go func() { failed <- rpc.Serve(running, lnInner, inner, 0) }()
	go func() { n.Run(running); close(over) }()
	go set.Watch(running)
	go b.run(running)
	go b.quotas.run(running)
	events.Started.Log("program", admin.Agent, "name", boot.Name, "inner", boot.PeerAddr(), "loop", boot.AgentAddr())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	events.Stopping.Log()
	since := time.Now()
	for time.Since(since) < set.Current().Bounds.Grace-graceMargin {
		if open.Load() == 0 && n.Now()-fed.Load() > proxyGoneAfter.Microseconds() {
			events.ProxyGone.Log()
			break
		}
		time.Sleep(pollInterval)
	}
	return nil
}
