// Package controlplane is the program that servers and operators call: it takes heartbeats and
// configurations, runs the replicated state of package replica, and owns its disk. What a step of
// the state wants sent or answered goes out only once what it wants written is synced.
package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/peer"
	"saddleport/internal/node/rpc"
	"saddleport/internal/transport"
)

// HeartbeatResponse answers a server's heartbeat.
type HeartbeatResponse struct {
	Endpoint string `json:"heartbeat_endpoint,omitempty"`
}

var (
	heartbeatCall  = rpc.Declare[registry.Heartbeat, HeartbeatResponse]("POST", "/Instances.Heartbeat/{name}", 16<<10, "servers")
	deregisterCall = rpc.Declare[rpc.Raw, rpc.Empty]("POST", "/Instances.Deregister/{name}", 16<<10, "servers")
	replaceCall    = rpc.Declare[rpc.Raw, rpc.Empty]("POST", "/Config.Replace", agentapi.MaxCallBytes, "the operator").WithConcurrencyLimit(maxConcurrentUpdates)
	describeCall   = rpc.Declare[rpc.Raw, rpc.Raw]("GET", "/Config.Describe", agentapi.MaxCallBytes, "the operator")
)

const (
	maxConcurrentUpdates = 16 // at once: twice what the operators' page names, each of mostCall at most
	retryAfter           = 300 * time.Millisecond
	silenceHeartbeats    = 3.5 // missed heartbeats until a server is silent
	tickInterval         = 250 * time.Millisecond
	orphanTicks          = 4                // ticks between looks at servers that nobody listens for
	removeSilentAfter    = 10 * time.Minute // of silence
	rememberTicks        = 8                // ticks between looks at what is to be remembered of servers
)

type server struct {
	*peer.Node
	registry        *registry.Registry // under mu
	rememberedJSON  []byte             // what is on disk of the servers tracked here; guarded by Mu
	rememberedCount int                // how many they are

	replica        *replicaRunner
	validating     sync.Mutex // one configuration at a time: as a tree it takes many times its bytes
	reachablePeers peerCache
}

// peerCache holds the control-plane machines that answer, looked up periodically: a heartbeat
// must not cost more the more processes there are.
type peerCache struct {
	mu   sync.Mutex
	at   int64
	list []gossip.Process
}

const peerCacheLifetime = 250_000 // microseconds

func (k *server) controlPlanePeers() []gossip.Process {
	k.reachablePeers.mu.Lock()
	defer k.reachablePeers.mu.Unlock()
	if now := k.Now(); k.reachablePeers.at == 0 || now-k.reachablePeers.at >= peerCacheLifetime {
		k.reachablePeers.list, k.reachablePeers.at = k.Reachable(k.Peers(gossip.KindControlPlane)), max(now, 1)
	}
	return k.reachablePeers.list
}

// Run is the program: it serves until ctx ends, and then hands its vote over within the grace
// period.
func Run(ctx context.Context, set *nodesettings.File) error {
	boot := set.Current()
	k := &server{Node: peer.NewNode(set, gossip.KindControlPlane)}
	k.registry = registry.New(k.Self.Addr, int64(silenceHeartbeats*float64(boot.HeartbeatInterval.Microseconds())))
	k.OnUpdate = k.onUpdate
	var err error
	if k.replica, err = newReplicaRunner(k.Node, boot); err != nil {
		return err
	}
	for _, i := range k.replica.rememberedServers() {
		k.Store.Put(k.Now(), i, 0, false) // each is silent soon unless it sends a heartbeat
	}
	outer, inner := http.NewServeMux(), http.NewServeMux()
	k.Node.Serve(inner)
	k.replica.serveMessages(inner)
	admin.RegisterShow(inner, admin.ControlPlane, boot.Name, k.StartedAt, k.tables)
	heartbeatCall.Handle(outer, k.handleHeartbeat)
	deregisterCall.Handle(outer, k.handleDeregister)
	replaceCall.Handle(outer, k.handleReplace)
	describeCall.Handle(outer, k.handleDescribe)
	lnOuter, err := transport.Listen(ctx, boot.Control)
	if err != nil {
		return err
	}
	lnInner, err := transport.Listen(ctx, boot.PeerListenAddr())
	if err != nil {
		return err
	}
	life, end := context.WithCancel(context.Background()) // outlives ctx: the vote is handed over first
	failed := make(chan error, 2)
	go func() { failed <- rpc.Serve(life, lnOuter, outer, 10*time.Second) }()
	go func() { failed <- rpc.Serve(life, lnInner, inner, 0) }()
	var over sync.WaitGroup
	over.Go(func() { k.Run(life) })
	over.Go(func() { k.replica.run(life) })
	defer func() { end(); over.Wait() }()
	go set.Watch(life)
	events.Started.Log("program", admin.ControlPlane, "name", boot.Name, "control", boot.Control, "inner", boot.PeerAddr())
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for ticks := 0; ; ticks++ {
		select {
		case <-ctx.Done():
			events.Stopping.Log()
			k.replica.handOverVote(set.Current().Bounds.Grace)
			return nil
		case err := <-failed:
			return err
		case <-tick.C:
			k.maintain(ticks)
		}
	}
}

// maintain finds servers that became silent, and does what else is due periodically.
func (k *server) maintain(ticks int) {
	k.Mu.Lock()
	defer k.Mu.Unlock()
	if ticks%orphanTicks == 0 {
		k.adoptOrphans()
	}
	if ticks%rememberTicks == rememberTicks-1 {
		k.rememberServers()
	}
	for _, i := range k.registry.Tick(k.Now()) {
		events.ServerUnresponsive.Log("server", i.Key)
		k.PutLocked(i)
	}
}

// rememberServers writes the servers tracked here to the disk if they have changed. After a
// loss of all processes they are known at once, not only when each has sent a heartbeat. Mu
// must be locked.
func (k *server) rememberServers() {
	var list []gossip.Entry
	k.Store.RangeSorted(func(i gossip.Entry) {
		if strings.HasPrefix(i.Key, registry.Prefix) && !i.Deleted() && k.registry.Tracks(strings.TrimPrefix(i.Key, registry.Prefix)) {
			list = append(list, i)
		}
	})
	raw, err := json.Marshal(list)
	if err != nil || bytes.Equal(raw, k.rememberedJSON) {
		return
	}
	k.rememberedJSON, k.rememberedCount = raw, len(list)
	k.replica.rememberServers(raw)
}

// adoptOrphans makes this machine track servers that no machine tracks any more: its own from
// before a restart and, as a singleton role, those of machines that are gone. Mu must be locked.
func (k *server) adoptOrphans() {
	now := k.Now()
	_, duty := k.Members.Holds(peer.OrphanedServersRole.Name)
	hearers := map[string]bool{k.Self.Addr: true}
	for _, p := range k.Members.Peers(gossip.KindControlPlane) {
		hearers[p.Addr] = true
	}
	var long []gossip.Entry
	k.Store.Range(func(i gossip.Entry, at int64) {
		if i.Deleted() || !strings.HasPrefix(i.Key, registry.Prefix) {
			return
		}
		s, err := registry.Parse(i)
		switch {
		case err != nil:
		case s.State == registry.Unresponsive:
			if duty && now-at > removeSilentAfter.Microseconds() {
				long = append(long, i)
			}
		case s.Owner == k.Self.Addr, duty && !hearers[s.Owner]:
			k.registry.Adopt(now, i)
		}
	})
	for _, i := range long {
		k.PutLocked(registry.RemovedEntry(i))
	}
}

// onUpdate shows the registry what others have gossiped. Mu must be locked.
func (k *server) onUpdate(i gossip.Entry) {
	if len(i.Key) > 2 && i.Key[:2] == registry.Prefix {
		if update, changed := k.registry.HandleUpdate(k.Now(), i); changed {
			k.PutLocked(update)
		}
	}
}

func (k *server) handleHeartbeat(ctx context.Context, who rpc.RequestInfo, b registry.Heartbeat) (HeartbeatResponse, error) {
	ans, err := k.recordHeartbeat(who, b)
	if err == nil && b.State == registry.LifecycleDraining {
		err = k.replica.requireQuorum(ctx)
	}
	return ans, err
}

// handleDeregister takes the last call of a server. Machines that are not reached from here do
// not hear of it; then it is not acknowledged, and the server calls another one.
func (k *server) handleDeregister(ctx context.Context, who rpc.RequestInfo, _ rpc.Raw) (rpc.Empty, error) {
	events.ServerDeregistered.Log("server", who.Name)
	k.Mu.Lock()
	k.PutLocked(k.registry.HandleDeregister(who.Name))
	k.Mu.Unlock()
	// Those that this machine does not reach do not hear of it: then it is not acknowledged, and
	// the server calls another one.
	return rpc.Empty{}, k.replica.requireQuorum(ctx)
}

// recordHeartbeat takes a heartbeat.
func (k *server) recordHeartbeat(who rpc.RequestInfo, b registry.Heartbeat) (HeartbeatResponse, error) {
	endpoint := k.heartbeatEndpoint(who.Name, b.Zone)
	k.Mu.Lock()
	defer k.Mu.Unlock()
	stored, known := k.Store.Get(registry.Prefix + who.Name)
	update, changed, err := k.registry.HandleHeartbeat(k.Now(), who.Name, b, stored, known)
	if err != nil {
		events.HeartbeatInvalid.Log("server", who.Name, "peer", who.Peer, "err", err)
		return HeartbeatResponse{}, rpc.Errorf(http.StatusBadRequest, "%v", err)
	}
	if changed {
		if !known {
			events.ServerNew.Log("server", who.Name, "service", b.Service, "addr", b.Addr, "zone", b.Zone)
		} else if b.State == registry.LifecycleDraining {
			events.ServerDraining.Log("server", who.Name, "service", b.Service)
		}
		k.PutLocked(update)
	}
	return HeartbeatResponse{Endpoint: endpoint}, nil
}

// heartbeatEndpoint names the machine that a server is to send its heartbeats to: one of its
// zone, otherwise of its region, the same one as long as the control plane stays as it is.
// Empty: this one will do.
func (k *server) heartbeatEndpoint(server, zone string) string {
	region := k.Settings.Current().Regions[zone]
	distance := func(p gossip.Process) int { return nodesettings.Distance(p.Zone, p.Region, zone, region) }
	best, shortest, highestHash := k.Self, distance(k.Self), uint64(0)
	if shortest == nodesettings.SameZone {
		return ""
	}
	for _, p := range k.controlPlanePeers() {
		if p.Control == "" {
			continue
		}
		d, hash := distance(p), xxhash.Sum64String(server+p.Addr)
		if d < shortest || d == shortest && best.Addr != k.Self.Addr && hash > highestHash {
			best, shortest, highestHash = p, d, hash
		}
	}
	if best.Addr == k.Self.Addr {
		return ""
	}
	return best.Control
}

func (k *server) handleReplace(ctx context.Context, who rpc.RequestInfo, raw rpc.Raw) (rpc.Empty, error) {
	k.validating.Lock()
	c, err := routeconfig.Parse(raw)
	k.validating.Unlock()
	if err != nil {
		events.ConfigInvalid.Log("peer", who.Peer, "path", err)
		return rpc.Empty{}, rpc.Errorf(http.StatusBadRequest, "%v", err)
	}
	if err := k.replica.requireQuorum(ctx); err != nil {
		return rpc.Empty{}, err
	}
	e := chain.NewEntry(uint64(c.Revision), raw)
	r, err := k.replica.call(ctx, func(now int64) (string, replica.Output) { return k.replica.replica.Put(now, e) })
	if err != nil {
		events.ConfigNotDurable.Log("revision", c.Revision, "err", err)
		return rpc.Empty{}, retryLater(err)
	}
	if r.Verdict == chain.UpdateConflict {
		events.ConfigConflict.Log("revision", c.Revision, "peer", who.Peer)
		return rpc.Empty{}, rpc.Errorf(http.StatusConflict, "other content was taken under revision %d; this one is not in force", c.Revision)
	}
	return rpc.Empty{}, nil
}

func (k *server) handleDescribe(ctx context.Context, _ rpc.RequestInfo, _ rpc.Raw) (rpc.Raw, error) {
	if err := k.replica.requireQuorum(ctx); err != nil {
		return nil, err
	}
	r, err := k.replica.call(ctx, func(now int64) (string, replica.Output) { return k.replica.replica.Get(now) })
	if err != nil {
		return nil, retryLater(err)
	}
	if r.Entry.Version == 0 {
		return nil, rpc.Errorf(http.StatusNotFound, "no configuration was ever acknowledged")
	}
	return r.Entry.Content, nil
}

// retryLater asks a caller to come again: what it asked for may have been done, or may yet
// be.
func retryLater(err error) *rpc.StatusError {
	o := rpc.Errorf(http.StatusServiceUnavailable, "%v", err)
	o.RetryAfter = retryAfter
	return o
}
