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
	proxyGoneAfter = 500 * time.Millisecond // after SIGTERM: without a call for so long the proxy has ended
	pollInterval   = 20 * time.Millisecond
	graceMargin    = 400 * time.Millisecond // before the grace period is over
)

// feed answers the proxy on the same machine.
type feed struct {
	node        *peer.Node
	incarnation string       // of this agent: a proxy that followed another one starts anew
	lastAt      atomic.Int64 // when the proxy last asked or was answered, by node.Now
	open        atomic.Int64 // calls of the proxy that wait
}

// answer returns what changed since the proxy's last call, or waits until something does.
func (f *feed) answer(ctx context.Context, _ rpc.RequestInfo, request agentapi.FeedRequest) (agentapi.FeedResponse, error) {
	f.open.Add(1)
	defer func() { f.lastAt.Store(f.node.Now()); f.open.Add(-1) }()
	n := f.node
	n.Mu.Lock()
	for _, entry := range request.Entries {
		n.PutLocked(entry)
	}
	if request.Incarnation != f.incarnation {
		request.Since = 0
	}
	end := time.After(agentapi.FeedWait)
	for n.Store.Seq() <= request.Since {
		changed := n.Changed
		n.Mu.Unlock()
		select {
		case <-changed:
		case <-end:
			return agentapi.FeedResponse{Incarnation: f.incarnation, Seq: request.Since}, nil
		case <-ctx.Done():
			return agentapi.FeedResponse{}, ctx.Err()
		}
		n.Mu.Lock()
	}
	defer n.Mu.Unlock()
	configuration, _ := n.Store.Get(agentapi.ConfigurationKey)
	return agentapi.FeedResponse{Incarnation: f.incarnation, Seq: n.Store.Seq(),
		WantConfig: request.ConfigVersion > configuration.Version, Entries: n.Store.ChangedSince(request.Since)}, nil
}

// waitForProxy returns when the proxy has ended, at the latest when the grace period nearly is.
func (f *feed) waitForProxy(grace time.Duration) {
	since := time.Now()
	for time.Since(since) < grace-graceMargin {
		if f.open.Load() == 0 && f.node.Now()-f.lastAt.Load() > proxyGoneAfter.Microseconds() {
			events.ProxyGone.Log()
			return
		}
		time.Sleep(pollInterval)
	}
}

// logConfiguration logs the configurations that this agent learns of.
func logConfiguration(entry gossip.Entry) {
	if entry.Key == agentapi.ConfigurationKey {
		events.ConfigLearned.Log("revision", chain.RevisionOf(entry.Version))
	}
}

// Run is the program: it serves until ctx ends, and then for as long as its proxy asks.
func Run(ctx context.Context, file *nodesettings.File) error {
	settings := file.Current()
	n := peer.NewNode(file, gossip.KindAgent)
	f := &feed{node: n, incarnation: strconv.FormatInt(time.Now().UnixNano(), 36)}
	outliers := newOutlierAggregator(n)
	n.OnUpdate = func(entry gossip.Entry) {
		logConfiguration(entry)
		outliers.onUpdate(entry)
	}
	loopback, internal := http.NewServeMux(), http.NewServeMux()
	agentapi.FeedCall.Handle(loopback, f.answer)
	n.Serve(internal)
	outliers.serve(loopback, internal)
	admin.RegisterShow(loopback, admin.Agent, settings.Name, n.StartedAt, outliers.tables)
	admin.RegisterExplain(loopback, admin.Agent, settings.Name, n.StartedAt, outliers.explain)
	loopbackListener, err := transport.Listen(ctx, settings.AgentAddr())
	if err != nil {
		return err
	}
	internalListener, err := transport.Listen(ctx, settings.PeerListenAddr())
	if err != nil {
		return err
	}
	running, end := context.WithCancel(context.Background()) // outlives ctx: the proxy is fed until it has ended
	over := make(chan struct{})
	defer func() { end(); <-over }()
	failed := make(chan error, 2)
	go func() { failed <- rpc.Serve(running, loopbackListener, loopback, agentapi.FeedWait+5*time.Second) }()
	go func() { failed <- rpc.Serve(running, internalListener, internal, 0) }()
	go func() { n.Run(running); close(over) }()
	go file.Watch(running)
	go outliers.run(running)
	go outliers.quotas.run(running)
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
