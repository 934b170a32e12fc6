package role

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
	"saddleport/internal/node/events"
	"saddleport/internal/node/rpc"
	"saddleport/internal/node/transport"
)

// Beaten is the answer to a heartbeat.
type Beaten struct {
	Endpoint string `json:"heartbeat_endpoint,omitempty"`
}

// Nothing is a body of no meaning.
type Nothing struct{}

var (
	beatCall     = rpc.Declare[registry.Heartbeat, Beaten]("POST", "/Instances.Heartbeat/{name}", 16<<10, "servers")
	leaveCall    = rpc.Declare[rpc.Raw, Nothing]("POST", "/Instances.Deregister/{name}", 16<<10, "servers")
	replaceCall  = rpc.Declare[rpc.Raw, Nothing]("POST", "/Config.Replace", mostCall, "the operator").AtOnce(mostOrders)
	describeCall = rpc.Declare[rpc.Raw, rpc.Raw]("GET", "/Config.Describe", mostCall, "the operator")
)

const (
	mostOrders = 16 // at once: twice what the operators' page names, each of mostCall at most
	retryAfter = 300 * time.Millisecond
	quietBeats = 3.5 // beats missed, before a server is silent
	tickEvery  = 250 * time.Millisecond
	lookAfter  = 4                // ticks between looks at servers that nobody listens for
	letAfter   = 10 * time.Minute // of silence

	rememberAfter = 8 // ticks between looks at what is to be remembered of servers
)

type keel struct {
	*Node
	roster *registry.Registry // under mu
	kept   []byte             // what is remembered of the servers that beat here; under mu
	keeps  int                // how many they are

	core     *core
	checking sync.Mutex // one configuration at a time: as a tree it takes many times its bytes
	others   others
}

// others are the core machines that answer, looked up now and then: a heartbeat must not cost
// more the more processes there are.
type others struct {
	mu   sync.Mutex
	at   int64
	list []gossip.Process
}

const othersFor = 250_000 // microseconds

func (k *keel) coreMachines() []gossip.Process {
	k.others.mu.Lock()
	defer k.others.mu.Unlock()
	if now := k.now(); k.others.at == 0 || now-k.others.at >= othersFor {
		k.others.list, k.others.at = k.awake(k.Peers("keel")), max(now, 1)
	}
	return k.others.list
}

// Keel is a core process: it takes heartbeats and configurations.
func Keel(ctx context.Context, set *Settings) error {
	boot := set.Boot()
	k := &keel{Node: NewNode(set, "keel")}
	k.roster = registry.New(k.self.Addr, int64(quietBeats*float64(boot.Beat.Microseconds())))
	k.took = k.told
	var err error
	if k.core, err = newCore(k.Node, boot); err != nil {
		return err
	}
	for _, i := range k.core.remembered() {
		k.book.Put(k.now(), i, 0, false) // each is silent soon unless it beats again
	}
	outer, inner := http.NewServeMux(), http.NewServeMux()
	k.Node.Serve(inner)
	k.core.serve(inner)
	onShow(inner, "keel", boot.Name, k.start, k.tables)
	beatCall.On(outer, k.beat)
	leaveCall.On(outer, k.left)
	replaceCall.On(outer, k.replace)
	describeCall.On(outer, k.describe)
	lnOuter, err := transport.Listen(ctx, boot.Control)
	if err != nil {
		return err
	}
	lnInner, err := transport.Listen(ctx, boot.Inner())
	if err != nil {
		return err
	}
	life, end := context.WithCancel(context.Background()) // outlives ctx: the vote is handed over first
	failed := make(chan error, 2)
	go func() { failed <- rpc.Serve(life, lnOuter, outer, 10*time.Second) }()
	go func() { failed <- rpc.Serve(life, lnInner, inner, 0) }()
	var over sync.WaitGroup
	over.Go(func() { k.Run(life) })
	over.Go(func() { k.core.run(life) })
	defer func() { end(); over.Wait() }()
	go set.Watch(life)
	events.Started.Log("program", "keel", "name", boot.Name, "control", boot.Control, "inner", boot.Inner())
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for ticks := 0; ; ticks++ {
		select {
		case <-ctx.Done():
			events.Stopping.Log()
			k.core.handOver(set.Boot().Bounds.Grace)
			return nil
		case err := <-failed:
			return err
		case <-tick.C:
			k.look(ticks)
		}
	}
}

// look has the servers' silences noticed, and now and then what else is due.
func (k *keel) look(ticks int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if ticks%lookAfter == 0 {
		k.orphans()
	}
	if ticks%rememberAfter == rememberAfter-1 {
		k.remember()
	}
	for _, i := range k.roster.Tick(k.now()) {
		events.ServerSilent.Log("server", i.Key)
		k.put(i)
	}
}

// remember keeps the servers that beat here on the disk when they have changed. After a
// loss of all processes they are known at once, not only when each has beaten again. Under mu.
func (k *keel) remember() {
	var list []gossip.Entry
	k.book.RangeSorted(func(i gossip.Entry) {
		if strings.HasPrefix(i.Key, registry.Prefix) && !i.Deleted() && k.roster.Tracks(strings.TrimPrefix(i.Key, registry.Prefix)) {
			list = append(list, i)
		}
	})
	raw, err := json.Marshal(list)
	if err != nil || bytes.Equal(raw, k.kept) {
		return
	}
	k.kept, k.keeps = raw, len(list)
	k.core.remember(raw)
}

// orphans has this machine listen for servers that nobody listens for any more: its own of
// an earlier life, and, as the duty of one core machine, those of machines that are gone.
// Under mu.
func (k *keel) orphans() {
	now := k.now()
	_, duty := k.kin.Holds(orphans.Name)
	hearers := map[string]bool{k.self.Addr: true}
	for _, p := range k.kin.Peers("keel") {
		hearers[p.Addr] = true
	}
	var long []gossip.Entry
	k.book.Range(func(i gossip.Entry, at int64) {
		if i.Deleted() || !strings.HasPrefix(i.Key, registry.Prefix) {
			return
		}
		s, err := registry.Parse(i)
		switch {
		case err != nil:
		case s.State == registry.Silent:
			if duty && now-at > letAfter.Microseconds() {
				long = append(long, i)
			}
		case s.Owner == k.self.Addr, duty && !hearers[s.Owner]:
			k.roster.Adopt(now, i)
		}
	})
	for _, i := range long {
		k.put(registry.RemovedEntry(i))
	}
}

// told has the roster see the news of others. Under mu.
func (k *keel) told(i gossip.Entry) {
	if len(i.Key) > 2 && i.Key[:2] == registry.Prefix {
		if news, is := k.roster.HandleUpdate(k.now(), i); is {
			k.put(news)
		}
	}
}

func (k *keel) beat(ctx context.Context, who rpc.Named, b registry.Heartbeat) (Beaten, error) {
	ans, err := k.heard(who, b)
	if err == nil && b.State == registry.LifecycleDraining {
		err = k.core.outOfTouch(ctx)
	}
	return ans, err
}

// left takes the last word of a server.
func (k *keel) left(ctx context.Context, who rpc.Named, _ rpc.Raw) (Nothing, error) {
	events.ServerLeft.Log("server", who.Name)
	k.mu.Lock()
	k.put(k.roster.HandleDeregister(who.Name))
	k.mu.Unlock()
	// Those that this machine does not reach do not hear of it: then it is not acknowledged, and
	// the server tells another.
	return Nothing{}, k.core.outOfTouch(ctx)
}

// heard takes a heartbeat.
func (k *keel) heard(who rpc.Named, b registry.Heartbeat) (Beaten, error) {
	near := k.near(who.Name, b.Zone)
	k.mu.Lock()
	defer k.mu.Unlock()
	held, known := k.book.Get(registry.Prefix + who.Name)
	news, is, err := k.roster.HandleHeartbeat(k.now(), who.Name, b, held, known)
	if err != nil {
		events.BadBeat.Log("server", who.Name, "peer", who.Peer, "err", err)
		return Beaten{}, rpc.Fail(http.StatusBadRequest, "%v", err)
	}
	if is {
		if !known {
			events.ServerNew.Log("server", who.Name, "service", b.Service, "addr", b.Addr, "zone", b.Zone)
		} else if b.State == registry.LifecycleDraining {
			events.ServerDrains.Log("server", who.Name, "service", b.Service)
		}
		k.put(news)
	}
	return Beaten{Endpoint: near}, nil
}

// near names the core machine that a server is to beat at: one of its zone, else of its
// region, the same one for as long as the core stays as it is. "": this one will do.
func (k *keel) near(server, zone string) string {
	region := k.set.Boot().Regions[zone]
	far := func(p gossip.Process) int {
		switch {
		case p.Zone == zone:
			return 0
		case p.Region == region && region != "":
			return 1
		}
		return 2
	}
	best, least, most := k.self, far(k.self), uint64(0)
	if least == 0 {
		return ""
	}
	for _, p := range k.coreMachines() {
		if d, h := far(p), xxhash.Sum64String(server+p.Addr); p.Control != "" && (d < least || d == least && best.Addr != k.self.Addr && h > most) {
			best, least, most = p, d, h
		}
	}
	if best.Addr == k.self.Addr {
		return ""
	}
	return best.Control
}

func (k *keel) replace(ctx context.Context, who rpc.Named, raw rpc.Raw) (Nothing, error) {
	k.checking.Lock()
	c, err := routeconfig.Parse(raw)
	k.checking.Unlock()
	if err != nil {
		events.Invalid.Log("peer", who.Peer, "path", err)
		return Nothing{}, rpc.Fail(http.StatusBadRequest, "%v", err)
	}
	if err := k.core.outOfTouch(ctx); err != nil {
		return Nothing{}, err
	}
	e := chain.NewEntry(uint64(c.Revision), raw)
	r, err := k.core.ask(ctx, func(now int64) (string, replica.Output) { return k.core.replica.Put(now, e) })
	if err != nil {
		events.Unsafe.Log("version", c.Revision, "err", err)
		return Nothing{}, later(err)
	}
	if r.Verdict == chain.UpdateConflict {
		events.Conflicting.Log("version", c.Revision, "peer", who.Peer)
		return Nothing{}, rpc.Fail(http.StatusConflict, "other content was taken under revision %d; this one is not in force", c.Revision)
	}
	return Nothing{}, nil
}

func (k *keel) describe(ctx context.Context, _ rpc.Named, _ rpc.Raw) (rpc.Raw, error) {
	if err := k.core.outOfTouch(ctx); err != nil {
		return nil, err
	}
	r, err := k.core.ask(ctx, func(now int64) (string, replica.Output) { return k.core.replica.Get(now) })
	if err != nil {
		return nil, later(err)
	}
	if r.Entry.Version == 0 {
		return nil, rpc.Fail(http.StatusNotFound, "no configuration was ever acknowledged")
	}
	return r.Entry.Content, nil
}

// later has a caller come again: what it asked for may have been done, or may yet be.
func later(err error) *rpc.Outcome {
	o := rpc.Fail(http.StatusServiceUnavailable, "%v", err)
	o.Retry = retryAfter
	return o
}
