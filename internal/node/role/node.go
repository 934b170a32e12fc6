package role

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
	"saddleport/internal/node/events"
	"saddleport/internal/node/rpc"
)

const (
	callTime   = 900 * time.Millisecond
	largeTime  = 4 * time.Second // for news that may be large: links are thin
	dialPeer   = 500 * time.Millisecond
	mostCall   = 8 << 20
	aloneAfter = 3 * time.Second        // without another process, that is told
	leaveTime  = 400 * time.Millisecond // for the last word of a process that ends
)

// The calls between all agents and core processes.
var (
	passCall  = rpc.Declare[gossip.ExchangeRequest, gossip.ExchangeResponse]("POST", "/Rumour.Pass", mostCall, "every agent and core process").Packed()
	afterCall = rpc.Declare[After, Heard]("POST", "/Ring.After", 4<<10, "every agent and core process")
)

// After asks whether another process is heard of, or the one called itself.
type After struct {
	About string `json:"a"`
}

// Heard is the answer.
type Heard struct {
	Hears bool `json:"h"`
}

// charterAt is the key of the configuration among the news.
const charterAt = "c"

// orphans is the duty of one core machine to listen for servers that nobody listens for.
var orphans = member.SingletonRole{Name: "orphans", ProcessKind: "keel"}

// Node is what an agent and a core process have in common. It does the calls that the
// machine wants, and knows nothing of what it decides by.
type Node struct {
	set    *Settings
	self   gossip.Process
	client *rpc.Client
	start  time.Time
	took   func(gossip.Entry) // after news was taken, under mu; nil: nobody
	calls  sync.WaitGroup

	mu      sync.Mutex
	ctx     context.Context // of the calls; ends with Run
	kin     *member.Machine
	book    *gossip.Store // kin's
	changed chan struct{} // closed at the next change
	hot     chan struct{} // the loop has something to do
}

// NewNode returns a node that knows itself alone.
func NewNode(set *Settings, kind string) *Node {
	boot := set.Boot()
	n := &Node{set: set, client: rpc.NewClient(dialPeer), start: time.Now(), changed: make(chan struct{}), hot: make(chan struct{}, 1)}
	n.self = gossip.Process{Addr: boot.Inner(), Name: boot.Name, Kind: kind, Zone: boot.Zone, Region: boot.Region, Control: boot.Control}
	n.kin = member.New(n.now(), member.DefaultConfig(orphans, council), n.self, boot.SeedPeers(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.kin.OnUpdate = n.noted
	n.book = n.kin.Store()
	return n
}

func (n *Node) now() int64 { return time.Since(n.start).Microseconds() }

// noted is told of all news that was taken. Under mu.
func (n *Node) noted(i gossip.Entry) {
	if n.took != nil {
		n.took(i)
	}
	close(n.changed)
	n.changed = make(chan struct{})
	select {
	case n.hot <- struct{}{}:
	default:
	}
}

// put takes news of this process's own or of its proxy. Under mu.
func (n *Node) put(i gossip.Entry) { n.kin.Put(n.now(), i) }

// Put takes news of this process's own.
func (n *Node) Put(items ...gossip.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range items {
		n.put(i)
	}
}

// Serve answers the other processes.
func (n *Node) Serve(mux *http.ServeMux) {
	passCall.On(mux, func(_ context.Context, _ rpc.Named, p gossip.ExchangeRequest) (gossip.ExchangeResponse, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.kin.HandleExchange(n.now(), p), nil
	})
	afterCall.On(mux, func(ctx context.Context, _ rpc.Named, a After) (Heard, error) {
		n.mu.Lock()
		hears, try := n.kin.HandleProbe(n.now(), a.About)
		n.mu.Unlock()
		if try {
			ctx, cancel := context.WithTimeout(ctx, dialPeer)
			defer cancel()
			ans, err := afterCall.Ask(ctx, n.client, a.About, "", After{About: a.About})
			hears = err == nil && ans.Hears
		}
		return Heard{Hears: hears}, nil
	})
}

// Peers are the other processes, of a kind or of any.
func (n *Node) Peers(kind string) []gossip.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.kin.Peers(kind)
}

// awake leaves out the peers that did not answer lately.
func (n *Node) awake(list []gossip.Process) (out []gossip.Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for _, p := range list {
		if n.kin.Reachable(now, p.Addr) {
			out = append(out, p)
		}
	}
	return out
}

// Run steps the machine until ctx ends. Then it tells that the process ends.
func (n *Node) Run(ctx context.Context) {
	n.mu.Lock()
	n.ctx = ctx
	n.mu.Unlock()
	alone := time.AfterFunc(aloneAfter, func() {
		if len(n.Peers("")) == 0 {
			events.Alone.Log("seeds", n.set.Boot().Seeds)
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
		case <-n.hot:
		case <-timer.C:
		}
		n.mu.Lock()
		now := n.now()
		n.kin.SetSeeds(n.set.Boot().SeedPeers())
		n.kin.Tick(now)
		n.flush()
		next := n.kin.NextTick()
		n.mu.Unlock()
		timer.Reset(max(time.Duration(next-now)*time.Microsecond, time.Millisecond))
	}
}

// flush does what the machine wants done. Under mu.
func (n *Node) flush() {
	out := n.kin.TakeOutput()
	for _, x := range out.Events {
		switch x.Kind {
		case member.Joined:
			events.Joined.Log("peers", len(n.kin.Peers("")))
		case member.ProcessDead:
			events.ProcessDead.Log("process", x.Process)
		case member.ProcessGone:
			events.ProcessGone.Log("process", x.Process)
		case member.RoleTaken:
			events.DutyTaken.Log("duty", x.Role, "epoch", lease.TermOf(x.Epoch))
		case member.RoleLost:
			events.DutyLost.Log("duty", x.Role, "epoch", lease.TermOf(x.Epoch), "to", x.Process)
		}
	}
	n.calls.Add(len(out.Probes) + len(out.Calls))
	for _, q := range out.Probes {
		go n.ask(n.ctx, q)
	}
	for _, o := range out.Calls {
		go n.pass(n.ctx, o)
	}
}

// ask carries a question of the ring.
func (n *Node) ask(ctx context.Context, q failuredetector.Probe) {
	defer n.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	ans, err := afterCall.Ask(ctx, n.client, q.To, "", After{About: q.About})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kin.HandleProbeResult(n.now(), q, ans.Hears, err == nil)
}

// pass carries news.
func (n *Node) pass(ctx context.Context, o gossip.OutboundCall) {
	defer n.calls.Done()
	span := callTime
	if len(o.Request.Entries)+len(o.Request.Want) > 0 {
		span = largeTime
	}
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	ans, err := passCall.Ask(ctx, n.client, o.To, "", o.Request)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kin.HandleExchangeResult(n.now(), o, ans, err == nil)
	n.flush()
}

// leave tells some others that this process ends, and waits for its calls to end.
func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	n.mu.Lock()
	n.ctx = ctx
	n.kin.AnnounceLeave(n.now())
	n.flush()
	n.mu.Unlock()
	n.calls.Wait()
}
