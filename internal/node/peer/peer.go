// Package peer runs the part that agents and control-plane processes have in common: the state machine
// of package member and its calls to other processes. All decisions are made by package member.
package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"saddleport/internal/cluster/failuredetector"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/lease"
	"saddleport/internal/cluster/member"
	"saddleport/internal/cluster/outlier"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/rpc"
)

// OutlierRole belongs to the agent that decides which members are ejected.
var OutlierRole = member.SingletonRole{Name: outlier.Role, ProcessKind: gossip.KindAgent}

const (
	callTimeout      = 900 * time.Millisecond // for small calls
	largeCallTimeout = 4 * time.Second        // for calls that may carry large values: links may be slow
	peerDialTimeout  = 500 * time.Millisecond
	noPeersDelay     = 3 * time.Second        // after the start; if no other process is known then, event 108 is logged
	leaveTimeout     = 400 * time.Millisecond // for the last calls of a process that ends
)

var (
	exchangeCall = rpc.Declare[gossip.PassRequest, gossip.PassResponse]("POST", "/Rumour.Pass", agentapi.MaxCallBytes, "agents and control-plane processes").WithCompression()
	probeCall    = rpc.Declare[ProbeRequest, ProbeResponse]("POST", "/Ring.After", 4<<10, "agents and control-plane processes")
)

// ProbeRequest asks a process whether Target, which may be the process itself, is alive.
type ProbeRequest struct {
	Target string `json:"a"`
}

// ProbeResponse is the response to a ProbeRequest.
type ProbeResponse struct {
	Alive bool `json:"h"`
}

// OrphanedServersRole belongs to the control-plane process that tracks the servers that no machine
// tracks any more.
var OrphanedServersRole = member.SingletonRole{Name: "orphans", ProcessKind: gossip.KindControlPlane}

// Node runs a member.Machine: it makes the calls that the machine requests and handles those of other
// processes.
type Node struct {
	Settings      *nodesettings.File
	Self          gossip.Process
	Client        *rpc.Client
	StartedAt     time.Time
	OnUpdate      func(gossip.Entry) // called after an entry was stored, with Mu locked; may be nil
	callsInFlight sync.WaitGroup

	Mu      sync.Mutex      // guards Members and Store
	ctx     context.Context // context of outgoing calls; replaced when Run ends
	Members *member.Machine
	Store   *gossip.Store // the store of Members
	Changed chan struct{} // closed and replaced at each change of the store, and when it becomes complete
	wake    chan struct{} // signals Run to step the machine
}

// NewNode returns a node that knows no other process yet.
func NewNode(settings *nodesettings.File, kind string) *Node {
	boot := settings.Current()
	n := &Node{Settings: settings, Client: rpc.NewClientFrom(boot.PeerSourceIP(), peerDialTimeout), StartedAt: time.Now(), Changed: make(chan struct{}), wake: make(chan struct{}, 1)}
	n.Self = gossip.Process{Addr: boot.PeerAddr(), Name: boot.Name, Kind: kind, Zone: boot.Zone, Region: boot.Region, Control: boot.Control}
	n.Members = member.New(n.Now(), member.DefaultConfig(OrphanedServersRole, OutlierRole), n.Self, boot.SeedPeers(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.Members.OnUpdate = n.onUpdate
	n.Store = n.Members.Store()
	return n
}

// Now returns the time since the start of the process, in microseconds: the clock of the machine.
func (n *Node) Now() int64 { return time.Since(n.StartedAt).Microseconds() }

// onUpdate calls OnUpdate and notifies the waiters of Changed after an entry was stored. Mu must be
// locked.
func (n *Node) onUpdate(entry gossip.Entry) {
	if n.OnUpdate != nil {
		n.OnUpdate(entry)
	}
	n.notifyChanged()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// notifyChanged wakes the waiters of Changed. Mu must be locked.
func (n *Node) notifyChanged() {
	close(n.Changed)
	n.Changed = make(chan struct{})
}

// IsSynced reports whether the store is complete (gossip.Gossiper.IsSynced). Mu must be locked.
func (n *Node) IsSynced() bool { return n.Members.IsSynced(n.Now()) }

// PutLocked stores and gossips an entry of this process or of its proxy. Mu must be locked.
func (n *Node) PutLocked(entry gossip.Entry) { n.Members.Put(n.Now(), entry) }

// Put stores and gossips entries of this process.
func (n *Node) Put(entries ...gossip.Entry) {
	n.Mu.Lock()
	defer n.Mu.Unlock()
	for _, entry := range entries {
		n.PutLocked(entry)
	}
}

// Serve registers the handlers of the calls of other processes.
func (n *Node) Serve(mux *http.ServeMux) {
	exchangeCall.Handle(mux, func(_ context.Context, _ rpc.RequestInfo, request gossip.PassRequest) (gossip.PassResponse, error) {
		n.Mu.Lock()
		defer n.Mu.Unlock()
		return n.Members.HandleExchange(n.Now(), request), nil
	})
	probeCall.Handle(mux, func(ctx context.Context, _ rpc.RequestInfo, request ProbeRequest) (ProbeResponse, error) {
		n.Mu.Lock()
		alive, mustProbe := n.Members.HandleProbe(n.Now(), request.Target)
		n.Mu.Unlock()
		if mustProbe {
			ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
			defer cancel()
			ans, err := probeCall.Invoke(ctx, n.Client, request.Target, "", ProbeRequest{Target: request.Target})
			alive = err == nil && ans.Alive
		}
		return ProbeResponse{Alive: alive}, nil
	})
}

// Peers returns the other processes of a kind; empty: of any kind.
func (n *Node) Peers(kind string) []gossip.Process {
	n.Mu.Lock()
	defer n.Mu.Unlock()
	return n.Members.Peers(kind)
}

// Reachable returns the processes of list that answered recently.
func (n *Node) Reachable(list []gossip.Process) (out []gossip.Process) {
	n.Mu.Lock()
	defer n.Mu.Unlock()
	now := n.Now()
	for _, p := range list {
		if n.Members.Reachable(now, p.Addr) {
			out = append(out, p)
		}
	}
	return out
}

// Run steps the machine until ctx ends. It then announces that the process leaves and waits for its
// calls in flight.
func (n *Node) Run(ctx context.Context) {
	n.Mu.Lock()
	n.ctx = ctx
	n.Mu.Unlock()
	noPeersTimer := time.AfterFunc(noPeersDelay, func() {
		if len(n.Peers("")) == 0 {
			events.NoPeers.Log("seeds", n.Settings.Current().Seeds)
		}
	})
	defer noPeersTimer.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			n.leave()
			return
		case <-n.wake:
		case <-timer.C:
		}
		n.Mu.Lock()
		now := n.Now()
		n.Members.SetSeeds(n.Settings.Current().SeedPeers())
		n.Members.Tick(now)
		n.processOutputLocked()
		next := n.Members.NextTick()
		n.Mu.Unlock()
		timer.Reset(max(time.Duration(next-now)*time.Microsecond, time.Millisecond))
	}
}

// processOutputLocked logs the events of the machine and starts the calls that it requests. Mu must be
// locked.
func (n *Node) processOutputLocked() {
	out := n.Members.TakeOutput()
	for _, event := range out.Events {
		switch event.Kind {
		case member.Joined:
			events.Joined.Log("peers", len(n.Members.Peers("")))
		case member.ProcessDead:
			events.ProcessDead.Log("process", event.Process)
		case member.ProcessGone:
			events.ProcessGone.Log("process", event.Process)
		case member.RoleTaken:
			events.RoleTaken.Log("role", event.Role, "epoch", lease.TermOf(event.Epoch))
		case member.RoleLost:
			events.RoleLost.Log("role", event.Role, "epoch", lease.TermOf(event.Epoch), "to", event.Process)
		case member.KindAbsent:
			events.KindAbsent.Log("kind", programOf(event.ProcessKind), "after_ms", n.Now()/1000)
		case member.KindPresent:
			events.KindPresent.Log("kind", programOf(event.ProcessKind), "count", event.Count)
		}
	}
	n.callsInFlight.Add(len(out.Probes) + len(out.Calls))
	for _, probe := range out.Probes {
		go n.probe(n.ctx, probe)
	}
	for _, call := range out.Calls {
		go n.exchange(n.ctx, call)
	}
}

// programOf returns the name of the program whose processes have this kind.
func programOf(kind string) string {
	if kind == gossip.KindControlPlane {
		return admin.ControlPlane
	}
	return admin.Agent
}

// probe makes a call of the failure detector and reports its result.
func (n *Node) probe(ctx context.Context, probe failuredetector.Probe) {
	defer n.callsInFlight.Done()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ans, err := probeCall.Invoke(ctx, n.Client, probe.To, "", ProbeRequest{Target: probe.Target})
	n.Mu.Lock()
	defer n.Mu.Unlock()
	n.Members.HandleProbeResult(n.Now(), probe, ans.Alive, err == nil)
}

// exchange makes a gossip call and reports its result.
func (n *Node) exchange(ctx context.Context, call gossip.OutboundCall) {
	defer n.callsInFlight.Done()
	timeout := callTimeout
	if len(call.Request.Entries)+len(call.Request.Want) > 0 {
		timeout = largeCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ans, err := exchangeCall.Invoke(ctx, n.Client, call.To, "", gossip.PassRequest{ExchangeRequest: call.Request})
	n.Mu.Lock()
	defer n.Mu.Unlock()
	wasSynced := n.IsSynced()
	n.Members.HandleExchangeResult(n.Now(), call, ans, err == nil)
	if !wasSynced && n.IsSynced() {
		n.notifyChanged()
	}
	n.processOutputLocked()
}

// StoreAt stores entries at another process, which forwards them within its zone, or to all zones. It reports
// whether that process has confirmed within timeout that it stores them or newer versions of them.
func (n *Node) StoreAt(timeout time.Duration, addr string, entries []gossip.Entry, allZones bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	exchange := gossip.ExchangeRequest{From: n.Self.Addr, Entries: entries}
	for _, entry := range entries {
		exchange.Versions = append(exchange.Versions, gossip.EntryVersion{Key: entry.Key, Version: entry.Version})
	}
	response, err := exchangeCall.Invoke(ctx, n.Client, addr, "", gossip.PassRequest{ExchangeRequest: exchange, AllZones: allZones})
	return err == nil && len(response.Want) == 0 // otherwise it lacks an entry: its store is full
}

// leave announces that this process ends and waits for its calls in flight.
func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.Mu.Lock()
	n.ctx = ctx
	n.Members.AnnounceLeave(n.Now())
	n.processOutputLocked()
	n.Mu.Unlock()
	n.callsInFlight.Wait()
}
