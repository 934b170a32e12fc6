// Package agent implements the program that runs beside a proxy. An agent gossips with the other agents
// and the control plane, feeds the proxy over loopback, and may have singleton roles: the aggregator of
// evidence and the lessor of allowances. It serves no requests of clients.
package agent

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"saddleport/internal/cluster/chain"
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
	proxyGoneAfter = 500 * time.Millisecond // after SIGTERM, a proxy that has made no call for this long is taken to have ended
	pollInterval   = 20 * time.Millisecond
	graceMargin    = 400 * time.Millisecond // the wait for the proxy ends this long before the grace period does
)

// feed answers the long polls of the proxy on the same machine.
type feed struct {
	node        *peer.Node
	incarnation string       // of this agent; a proxy that followed an earlier incarnation gets all entries
	lastCallAt  atomic.Int64 // when the last call of the proxy ended, by node.Now; 0: none has
	pending     atomic.Int64 // calls of the proxy that wait for a response
	sentSynced  bool         // a response has reported to the proxy that the store is complete; guarded by node.Mu
}

// answer returns the entries that changed since the proxy's last call. If there are none it waits until
// one changes or the store becomes complete, at most agentapi.FeedWait.
func (f *feed) answer(ctx context.Context, _ rpc.RequestInfo, request agentapi.FeedRequest) (agentapi.FeedUpdate, error) {
	f.pending.Add(1)
	defer func() { f.lastCallAt.Store(f.node.Now()); f.pending.Add(-1) }()
	node := f.node
	node.Mu.Lock()
	for _, entry := range request.Entries {
		node.PutLocked(entry)
	}
	if request.Incarnation != f.incarnation {
		request.Since = 0
	}
	timeout := time.After(agentapi.FeedWait)
	for timedOut := false; !timedOut && node.Store.Seq() <= request.Since && node.IsSynced() == f.sentSynced; {
		changed := node.Changed
		node.Mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-ctx.Done():
			return agentapi.FeedUpdate{}, ctx.Err()
		}
		node.Mu.Lock()
	}
	defer node.Mu.Unlock()
	f.sentSynced = node.IsSynced()
	configuration, _ := node.Store.Get(agentapi.ConfigurationKey)
	return agentapi.FeedUpdate{Synced: f.sentSynced, FeedResponse: agentapi.FeedResponse{Incarnation: f.incarnation, Seq: node.Store.Seq(),
		WantConfig: request.ConfigVersion > configuration.Version, Entries: node.Store.ChangedSince(request.Since)}}, nil
}

// waitForProxy waits until the proxy has ended, at most until graceMargin before the grace period ends.
func (f *feed) waitForProxy(grace time.Duration) {
	begin := time.Now()
	for time.Since(begin) < grace-graceMargin {
		if f.pending.Load() == 0 && f.node.Now()-f.lastCallAt.Load() > proxyGoneAfter.Microseconds() {
			events.ProxyGone.Log()
			return
		}
		time.Sleep(pollInterval)
	}
}

// logConfiguration logs an entry that is a configuration.
func logConfiguration(entry gossip.Entry) {
	if entry.Key == agentapi.ConfigurationKey {
		events.ConfigLearned.Log("revision", chain.RevisionOf(entry.Version))
	}
}

// Run runs an agent until ctx ends, and then until its proxy has ended or the grace period is over.
func Run(ctx context.Context, file *nodesettings.File) error {
	settings := file.Current()
	node := peer.NewNode(file, gossip.KindAgent)
	f := &feed{node: node, incarnation: strconv.FormatInt(time.Now().UnixNano(), 36)}
	aggregator := newOutlierAggregator(node)
	node.OnUpdate = func(entry gossip.Entry) {
		logConfiguration(entry)
		aggregator.onUpdate(entry)
	}
	loopbackMux, internalMux := http.NewServeMux(), http.NewServeMux()
	agentapi.FeedCall.Handle(loopbackMux, f.answer)
	node.Serve(internalMux)
	aggregator.serve(loopbackMux, internalMux)
	admin.RegisterShow(loopbackMux, admin.Agent, settings.Name, node.StartedAt, aggregator.tables)
	admin.RegisterExplain(loopbackMux, admin.Agent, settings.Name, node.StartedAt, aggregator.explain)
	loopbackListener, err := transport.Listen(ctx, settings.AgentAddr())
	if err != nil {
		return err
	}
	internalListener, err := transport.Listen(ctx, settings.PeerListenAddr())
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background()) // outlives ctx, so that the proxy is fed until it has ended
	nodeStopped := make(chan struct{})
	defer func() { stop(); <-nodeStopped }()
	failed := make(chan error, 2)
	go func() { failed <- rpc.Serve(runCtx, loopbackListener, loopbackMux, agentapi.FeedWait+5*time.Second) }()
	go func() { failed <- rpc.Serve(runCtx, internalListener, internalMux, 0) }()
	go func() { node.Run(runCtx); close(nodeStopped) }()
	go file.Watch(runCtx)
	go aggregator.run(runCtx)
	go aggregator.quotas.run(runCtx)
	events.Started.Log("program", admin.Agent, "name", settings.Name, "inner", settings.PeerAddr(), "loop", settings.AgentAddr())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	events.Stopping.Log()
	f.waitForProxy(file.Current().Bounds.Grace)
	return nil
}
