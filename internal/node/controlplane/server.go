// Package controlplane is the control-plane program, which servers and operators call. It accepts
// heartbeats and configurations, runs the replicated state machine of package replica and owns its disk.
//
// In this package, a server is a backend that sends heartbeats; a machine, or member, is a process of the
// control plane; replica.Machine is the state machine that it runs. Each step of that state machine has an
// output: a record, messages and results. The messages and results leave the process only after the record
// is synced.
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

// HeartbeatResponse is the response to a heartbeat of a server. Endpoint is the address that the server
// should send its heartbeats to; empty: the control-plane machine that it called.
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
	maxConcurrentUpdates    = 16 // twice the number in the operators' page; each is at most agentapi.MaxCallBytes
	retryAfter              = 300 * time.Millisecond
	missedHeartbeatsLimit   = 3.5 // heartbeat intervals without a heartbeat until a server counts as unresponsive
	tickInterval            = 250 * time.Millisecond
	orphanCheckTicks        = 4                // ticks between checks for servers that no machine tracks
	removeUnresponsiveAfter = 10 * time.Minute // after the server became unresponsive
	persistCheckTicks       = 8                // ticks between checks whether the tracked servers must be written to disk
)

// controlPlane handles the calls of servers and operators and runs the periodic work.
type controlPlane struct {
	*peer.Node
	registry      *registry.Registry // guarded by Mu
	persistedJSON []byte             // the tracked servers as last queued for the disk; guarded by Mu

	replica        *replicaRunner
	departures     departureQueue
	validating     sync.Mutex // serializes parsing: a parsed configuration takes many times its encoded size
	reachablePeers peerCache
}

// peerCache caches the reachable control-plane machines and refreshes them periodically, so that the
// cost of a heartbeat does not grow with the number of processes.
type peerCache struct {
	mu        sync.Mutex
	updatedAt int64
	peers     []gossip.Process
}

const peerCacheLifetime = 250_000 // microseconds

// controlPlanePeers returns the reachable control-plane machines, at most peerCacheLifetime old.
func (s *controlPlane) controlPlanePeers() []gossip.Process {
	s.reachablePeers.mu.Lock()
	defer s.reachablePeers.mu.Unlock()
	if now := s.Now(); s.reachablePeers.updatedAt == 0 || now-s.reachablePeers.updatedAt >= peerCacheLifetime {
		s.reachablePeers.peers, s.reachablePeers.updatedAt = s.Reachable(s.Peers(gossip.KindControlPlane)), max(now, 1)
	}
	return s.reachablePeers.peers
}

// Run runs the program until ctx ends. It then hands over the vote of this machine within the grace
// period.
func Run(ctx context.Context, settings *nodesettings.File) error {
	boot := settings.Current()
	s := &controlPlane{Node: peer.NewNode(settings, gossip.KindControlPlane)}
	s.registry = registry.New(s.Self.Addr, int64(missedHeartbeatsLimit*float64(boot.HeartbeatInterval.Microseconds())))
	s.OnUpdate = s.onUpdate
	var err error
	if s.replica, err = newReplicaRunner(s.Node, boot); err != nil {
		return err
	}
	for _, entry := range s.replica.loadServers() {
		s.Store.Put(s.Now(), entry, 0, false) // not gossiped; each becomes unresponsive soon unless it sends a heartbeat
	}
	outerMux, innerMux := http.NewServeMux(), http.NewServeMux()
	s.Node.Serve(innerMux)
	s.replica.serveMessages(innerMux)
	admin.RegisterShow(innerMux, admin.ControlPlane, boot.Name, s.StartedAt, s.tables)
	heartbeatCall.Handle(outerMux, s.handleHeartbeat)
	deregisterCall.Handle(outerMux, s.handleDeregister)
	replaceCall.Handle(outerMux, s.handleReplace)
	describeCall.Handle(outerMux, s.handleDescribe)
	outerListener, err := transport.Listen(ctx, boot.Control)
	if err != nil {
		return err
	}
	innerListener, err := transport.Listen(ctx, boot.PeerListenAddr())
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background()) // outlives ctx: the vote is handed over in between
	failed := make(chan error, 2)
	go func() { failed <- rpc.Serve(runCtx, outerListener, outerMux, 10*time.Second) }()
	go func() { failed <- rpc.Serve(runCtx, innerListener, innerMux, 0) }()
	var running sync.WaitGroup
	running.Go(func() { s.Run(runCtx) })
	running.Go(func() { s.replica.run(runCtx) })
	defer func() { stop(); running.Wait() }()
	go settings.Watch(runCtx)
	events.Started.Log("program", admin.ControlPlane, "name", boot.Name, "control", boot.Control, "inner", boot.PeerAddr())
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for ticks := 0; ; ticks++ {
		select {
		case <-ctx.Done():
			events.Stopping.Log()
			s.replica.handOverVote(settings.Current().Bounds.Grace)
			return nil
		case err := <-failed:
			return err
		case <-tick.C:
			s.maintain(ticks)
		}
	}
}

// maintain does the periodic work: it reports servers that became unresponsive, adopts orphans and
// persists the tracked servers.
func (s *controlPlane) maintain(ticks int) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if ticks%orphanCheckTicks == 0 {
		s.adoptOrphans()
	}
	if ticks%persistCheckTicks == persistCheckTicks-1 {
		s.persistServers()
	}
	for _, entry := range s.registry.Tick(s.Now()) {
		events.ServerUnresponsive.Log("server", entry.Key)
		s.PutLocked(entry)
	}
}

// persistServers queues the servers that are tracked here for the disk if they have changed since the last
// call. After a loss of all processes they are known immediately, not only when each has sent a heartbeat.
// Mu must be locked.
func (s *controlPlane) persistServers() {
	var list []gossip.Entry
	s.Store.RangeSorted(func(entry gossip.Entry) {
		if strings.HasPrefix(entry.Key, registry.Prefix) && !entry.Deleted() && s.registry.Tracks(strings.TrimPrefix(entry.Key, registry.Prefix)) {
			list = append(list, entry)
		}
	})
	raw, err := json.Marshal(list)
	if err != nil || bytes.Equal(raw, s.persistedJSON) {
		return
	}
	s.persistedJSON = raw
	s.replica.persistServers(&serversCopy{encoded: raw, count: len(list)})
}

// adoptOrphans makes this machine track servers that no machine tracks: its own from before a restart
// and, if it holds OrphanedServersRole, those of machines that are gone. As the holder of that role it
// also removes servers that were unresponsive for removeUnresponsiveAfter. Mu must be locked.
func (s *controlPlane) adoptOrphans() {
	now := s.Now()
	_, holdsRole := s.Members.Holds(peer.OrphanedServersRole.Name)
	livePeers := map[string]bool{s.Self.Addr: true}
	for _, p := range s.Members.Peers(gossip.KindControlPlane) {
		livePeers[p.Addr] = true
	}
	var expired []gossip.Entry
	s.Store.Range(func(entry gossip.Entry, since int64) {
		if entry.Deleted() || !strings.HasPrefix(entry.Key, registry.Prefix) {
			return
		}
		tracked, err := registry.Parse(entry)
		switch {
		case err != nil: // an entry that cannot be parsed is ignored
		case tracked.State == registry.Unresponsive:
			if holdsRole && now-since > removeUnresponsiveAfter.Microseconds() {
				expired = append(expired, entry)
			}
		case tracked.Owner == s.Self.Addr, holdsRole && !livePeers[tracked.Owner]:
			s.registry.Adopt(now, entry)
		}
	})
	for _, entry := range expired {
		s.PutLocked(registry.RemovedEntry(entry))
	}
}

// onUpdate passes gossiped entries of servers to the registry. Mu must be locked.
func (s *controlPlane) onUpdate(entry gossip.Entry) {
	if len(entry.Key) > 2 && entry.Key[:2] == registry.Prefix {
		if update, changed := s.registry.HandleUpdate(s.Now(), entry); changed {
			s.PutLocked(update)
		}
	}
}

// handleHeartbeat handles a heartbeat. One that reports draining is recorded in any case, but acknowledged
// only once a majority of the control plane stores it.
func (s *controlPlane) handleHeartbeat(ctx context.Context, caller rpc.RequestInfo, heartbeat registry.Heartbeat) (HeartbeatResponse, error) {
	response, err := s.recordHeartbeat(caller, heartbeat)
	if err == nil && heartbeat.State == registry.LifecycleDraining {
		err = s.acknowledgeDraining(ctx, caller.Name)
	}
	return response, err
}

// handleDeregister handles the last call of a server. The deregistration is recorded in any case, but
// acknowledged only once a majority of the control plane stores it. Without an acknowledgement the server
// calls another machine.
func (s *controlPlane) handleDeregister(ctx context.Context, caller rpc.RequestInfo, _ rpc.Raw) (rpc.Empty, error) {
	events.ServerDeregistered.Log("server", caller.Name)
	s.Mu.Lock()
	stored, _ := s.Store.Get(registry.Prefix + caller.Name)
	wasDraining := s.registry.IsReplicated(caller.Name, stored.Version) // only draining entries are
	s.PutLocked(s.registry.HandleDeregister(caller.Name))
	s.Mu.Unlock()
	return rpc.Empty{}, s.acknowledgeDeregistration(ctx, caller.Name, wasDraining)
}

// recordHeartbeat passes a heartbeat to the registry and gossips the change, if there is one.
func (s *controlPlane) recordHeartbeat(caller rpc.RequestInfo, heartbeat registry.Heartbeat) (HeartbeatResponse, error) {
	endpoint := s.heartbeatEndpoint(caller.Name, heartbeat.Zone)
	s.Mu.Lock()
	defer s.Mu.Unlock()
	stored, known := s.Store.Get(registry.Prefix + caller.Name)
	update, changed, err := s.registry.HandleHeartbeat(s.Now(), caller.Name, heartbeat, stored, known)
	if err != nil {
		events.HeartbeatInvalid.Log("server", caller.Name, "peer", caller.Peer, "err", err)
		return HeartbeatResponse{}, rpc.Errorf(http.StatusBadRequest, "%v", err)
	}
	if changed {
		if !known {
			events.ServerNew.Log("server", caller.Name, "service", heartbeat.Service, "addr", heartbeat.Addr, "zone", heartbeat.Zone)
		} else if heartbeat.State == registry.LifecycleDraining {
			events.ServerDraining.Log("server", caller.Name, "service", heartbeat.Service)
		}
		s.PutLocked(update)
	}
	return HeartbeatResponse{Endpoint: endpoint}, nil
}

// heartbeatEndpoint returns the address of the machine that a server should send its heartbeats to: one
// of the zone of the server, otherwise of its region. Empty: this machine. Of equally near machines, this
// one is chosen if it is among them, else the one with the highest hash, so that the choice is stable as
// long as the set of control-plane machines does not change.
func (s *controlPlane) heartbeatEndpoint(server, zone string) string {
	region := s.Settings.Current().Regions[zone]
	distance := func(p gossip.Process) int { return nodesettings.Distance(p.Zone, p.Region, zone, region) }
	best, shortest, highestHash := s.Self, distance(s.Self), uint64(0)
	if shortest == nodesettings.SameZone {
		return ""
	}
	for _, p := range s.controlPlanePeers() {
		if p.Control == "" {
			continue
		}
		d, hash := distance(p), xxhash.Sum64String(server+p.Addr)
		if d < shortest || d == shortest && best.Addr != s.Self.Addr && hash > highestHash {
			best, shortest, highestHash = p, d, hash
		}
	}
	if best.Addr == s.Self.Addr {
		return ""
	}
	return best.Control
}

func (s *controlPlane) handleReplace(ctx context.Context, caller rpc.RequestInfo, raw rpc.Raw) (rpc.Empty, error) {
	s.validating.Lock()
	config, err := routeconfig.Parse(raw)
	s.validating.Unlock()
	if err != nil {
		events.ConfigInvalid.Log("peer", caller.Peer, "path", err)
		return rpc.Empty{}, rpc.Errorf(http.StatusBadRequest, "%v", err)
	}
	if err := s.replica.requireQuorum(ctx); err != nil {
		return rpc.Empty{}, err
	}
	entry := chain.NewEntry(uint64(config.Revision), raw)
	result, err := s.replica.call(ctx, func(now int64) (string, replica.Output) { return s.replica.replica.Put(now, entry) })
	if err != nil {
		events.ConfigNotDurable.Log("revision", config.Revision, "err", err)
		return rpc.Empty{}, retryLater(err)
	}
	if result.Verdict == chain.UpdateConflict {
		events.ConfigConflict.Log("revision", config.Revision, "peer", caller.Peer)
		return rpc.Empty{}, rpc.Errorf(http.StatusConflict, "different content was accepted under revision %d before; this configuration is not in force", config.Revision)
	}
	return rpc.Empty{}, nil
}

func (s *controlPlane) handleDescribe(ctx context.Context, _ rpc.RequestInfo, _ rpc.Raw) (rpc.Raw, error) {
	if err := s.replica.requireQuorum(ctx); err != nil {
		return nil, err
	}
	result, err := s.replica.call(ctx, func(now int64) (string, replica.Output) { return s.replica.replica.Get(now) })
	if err != nil {
		return nil, retryLater(err)
	}
	if result.Entry.Version == 0 {
		return nil, rpc.Errorf(http.StatusNotFound, "no configuration has been acknowledged yet")
	}
	return result.Entry.Content, nil
}

// retryLater returns an error with status 503 that asks a caller to retry. A call to the
// replicated state may have taken effect, or may still do so, unless err says that it was not queued.
func retryLater(err error) *rpc.StatusError {
	status := rpc.Errorf(http.StatusServiceUnavailable, "%v", err)
	status.RetryAfter = retryAfter
	return status
}
