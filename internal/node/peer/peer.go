// Package peer runs what an agent and a control-plane process have in common: package member's
// state machine and its calls to other processes. It decides nothing.
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
	callTimeout      = 900 * time.Millisecond // of a small call
	largeCallTimeout = 4 * time.Second        // of a call that may carry large values: links may be slow
	peerDialTimeout  = 500 * time.Millisecond
	aloneDelay       = 3 * time.Second        // without another process, before event 108
	leaveTimeout     = 400 * time.Millisecond // of the last calls of a process that ends
)

var (
	exchangeCall = rpc.Declare[gossip.ExchangeRequest, gossip.ExchangeResponse]("POST", "/Rumour.Pass", agentapi.MaxCallBytes, "every agent and core process").WithCompression()
	probeCall    = rpc.Declare[ProbeRequest, ProbeResponse]("POST", "/Ring.After", 4<<10, "every agent and core process")
)

// ProbeRequest asks whether another process is heard of, or the called one itself.
type ProbeRequest struct {
	Target string `json:"a"`
}

// ProbeResponse answers ProbeRequest.
type ProbeResponse struct {
	Alive bool `json:"h"`
}

// OrphanedServersRole belongs to the control-plane process that tracks servers which no
// machine tracks.
var OrphanedServersRole = member.SingletonRole{Name: "orphans", ProcessKind: gossip.KindControlPlane}

// Node runs a member.Machine: it makes the calls that the machine wants and answers those of
// other processes.
type Node struct {
	Settings  *nodesettings.File
	Self      gossip.Process
	Client    *rpc.Client
	StartedAt time.Time
	OnUpdate  func(gossip.Entry) // called after an entry was stored, with Mu locked; may be nil
	calls     sync.WaitGroup

	Mu      sync.Mutex      // guards Members and Store
	ctx     context.Context // of the calls; ends with Run
	Members *member.Machine
	Store   *gossip.Store // of Members
	Changed chan struct{} // closed at the next change of the store
	wake    chan struct{} // the loop has something to do
}

// NewNode returns a node that knows itself alone.
func NewNode(set *nodesettings.File, kind string) *Node {
	boot := set.Current()
	n := &Node{Settings: set, Client: rpc.NewClientFrom(boot.PeerSourceIP(), peerDialTimeout), StartedAt: time.Now(), Changed: make(chan struct{}), wake: make(chan struct{}, 1)}
	n.Self = gossip.Process{Addr: boot.PeerAddr(), Name: boot.Name, Kind: kind, Zone: boot.Zone, Region: boot.Region, Control: boot.Control}
	n.Members = member.New(n.Now(), member.DefaultConfig(OrphanedServersRole, OutlierRole), n.Self, boot.SeedPeers(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.Members.OnUpdate = n.onUpdate
	n.Store = n.Members.Store()
	return n
}

// Now returns the clock of the machine, in microseconds.
func (n *Node) Now() int64 { return time.Since(n.StartedAt).Microseconds() }

// onUpdate is called for every entry that was stored. Mu must be locked.
func (n *Node) onUpdate(i gossip.Entry) {
	if n.OnUpdate != nil {
		n.OnUpdate(i)
	}
	close(n.Changed)
	n.Changed = make(chan struct{})
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// PutLocked stores an entry of this process or of its proxy. Mu must be locked.
func (n *Node) PutLocked(i gossip.Entry) { n.Members.Put(n.Now(), i) }

// Put stores entries of this process.
func (n *Node) Put(items ...gossip.Entry) {
	n.Mu.Lock()
	defer n.Mu.Unlock()
	for _, i := range items {
		n.PutLocked(i)
	}
}

// Serve answers the other processes.
func (n *Node) Serve(mux *http.ServeMux) {
	exchangeCall.Handle(mux, func(_ context.Context, _ rpc.RequestInfo, p gossip.ExchangeRequest) (gossip.ExchangeResponse, error) {
		n.Mu.Lock()
		defer n.Mu.Unlock()
		return n.Members.HandleExchange(n.Now(), p), nil
	})
	probeCall.Handle(mux, func(ctx context.Context, _ rpc.RequestInfo, a ProbeRequest) (ProbeResponse, error) {
		n.Mu.Lock()
		hears, try := n.Members.HandleProbe(n.Now(), a.Target)
		n.Mu.Unlock()
		if try {
			ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
			defer cancel()
			ans, err := probeCall.Invoke(ctx, n.Client, a.Target, "", ProbeRequest{Target: a.Target})
			hears = err == nil && ans.Alive
		}
		return ProbeResponse{Alive: hears}, nil
	})
}

// Peers returns the other processes, of one kind or of any.
func (n *Node) Peers(kind string) []gossip.Process {
	n.Mu.Lock()
	defer n.Mu.Unlock()
	return n.Members.Peers(kind)
}

// Reachable leaves out the peers that did not answer recently.
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

// Run steps the machine until ctx ends, then announces that the process ends and waits for its
// calls.
func (n *Node) Run(ctx context.Context) {
	n.Mu.Lock()
	n.ctx = ctx
	n.Mu.Unlock()
	alone := time.AfterFunc(aloneDelay, func() {
		if len(n.Peers("")) == 0 {
			events.NoPeers.Log("seeds", n.Settings.Current().Seeds)
		}
	})
	defer alone.Stop()
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
		n.flushLocked()
		next := n.Members.NextTick()
		n.Mu.Unlock()
		timer.Reset(max(time.Duration(next-now)*time.Microsecond, time.Millisecond))
	}
}

// flushLocked does what the machine wants done. Mu must be locked.
func (n *Node) flushLocked() {
	out := n.Members.TakeOutput()
	for _, x := range out.Events {
		switch x.Kind {
		case member.Joined:
			events.Joined.Log("peers", len(n.Members.Peers("")))
		case member.ProcessDead:
			events.ProcessDead.Log("process", x.Process)
		case member.ProcessGone:
			events.ProcessGone.Log("process", x.Process)
		case member.RoleTaken:
			events.RoleTaken.Log("role", x.Role, "epoch", lease.TermOf(x.Epoch))
		case member.RoleLost:
			events.RoleLost.Log("role", x.Role, "epoch", lease.TermOf(x.Epoch), "to", x.Process)
		case member.KindAbsent:
			events.KindAbsent.Log("kind", programOf(x.ProcessKind), "after_ms", n.Now()/1000)
		case member.KindPresent:
			events.KindPresent.Log("kind", programOf(x.ProcessKind), "count", x.Count)
		}
	}
	n.calls.Add(len(out.Probes) + len(out.Calls))
	for _, q := range out.Probes {
		go n.probe(n.ctx, q)
	}
	for _, o := range out.Calls {
		go n.exchange(n.ctx, o)
	}
}

// programOf returns the program that runs processes of a kind.
func programOf(kind string) string {
	if kind == gossip.KindControlPlane {
		return admin.ControlPlane
	}
	return admin.Agent
}

// probe carries a probe of the failure detector.
func (n *Node) probe(ctx context.Context, q failuredetector.Probe) {
	defer n.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ans, err := probeCall.Invoke(ctx, n.Client, q.To, "", ProbeRequest{Target: q.Target})
	n.Mu.Lock()
	defer n.Mu.Unlock()
	n.Members.HandleProbeResult(n.Now(), q, ans.Alive, err == nil)
}

// exchange carries gossip.
func (n *Node) exchange(ctx context.Context, o gossip.OutboundCall) {
	defer n.calls.Done()
	span := callTimeout
	if len(o.Request.Entries)+len(o.Request.Want) > 0 {
		span = largeCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	ans, err := exchangeCall.Invoke(ctx, n.Client, o.To, "", o.Request)
	n.Mu.Lock()
	defer n.Mu.Unlock()
	n.Members.HandleExchangeResult(n.Now(), o, ans, err == nil)
	n.flushLocked()
}

// leave announces that this process ends, and waits for its calls.
func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.Mu.Lock()
	n.ctx = ctx
	n.Members.AnnounceLeave(n.Now())
	n.flushLocked()
	n.Mu.Unlock()
	n.calls.Wait()
}
