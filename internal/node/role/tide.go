package role

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"saddleport/choice"
	"saddleport/internal/back/reach"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/quota"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/exchange"
	"saddleport/internal/front"
	"saddleport/internal/front/gate"
	"saddleport/internal/node/events"
	"saddleport/internal/node/rpc"
	"saddleport/internal/node/transport"
	"saddleport/internal/settings"
)

const (
	spareFiles   = 232 // descriptors that are not for connections
	leafShare    = 4   // of the rest, one in so many is for servers
	mostHeld     = 20_000
	unreadBytes  = 64 << 10 // of answers, that the kernel keeps for a client that has not read them
	feedPause    = 60 * time.Millisecond
	countEvery   = 30 * time.Second
	doubtTime    = 60 * time.Second // until then an agent that started anew has learned all there is
	tierEvery    = 5 * time.Second  // beside news: a part of the budget that was withheld is given by then
	resolution   = 1000             // microseconds
	attemptCap   = 8
	overdueBy    = 3.3 // times the upper quantile: second copies mostly leave the zone (docs/results/grown.md)
	overdueMax   = 0.8 // of the aim
	leastRouters = 8   // taken for as long as fewer are known: a share of the budget too small does no harm
)

type tide struct {
	boot    *Boot
	x       *exchange.Exchange
	back    *reach.Back
	gate    *gate.Gate
	front   *front.Front
	client  *rpc.Client
	numbers gate.Shards
	start   time.Time
	servers atomic.Int64

	mu      sync.Mutex // the goroutine that follows the agent writes; show reads
	book    *gossip.Store
	purse   *quota.RetryBudget
	routers int
	spare   float64
	flock   *flock
	clerk   *clerk
	conns   map[string]int // by service: connections that a server takes

	doubtful map[string]bool // keys that an agent which started anew has not told of yet
	doubtAt  time.Time       // from then on they count as gone
}

// Tide is the proxy: it takes clients' requests and answers them. What it knows of
// servers and routes comes from the agent on its machine; while that is away it goes on
// with what it last had.
func Tide(ctx context.Context, from *Settings) error {
	boot := from.Boot()
	set := settings.Settings{MostHeld: mostHeld, Router: choice.Settings{
		ClassesLater: true, Cells: gate.MostShards, Width: 1, BundleMax: 1, Resolution: resolution, Cancel: true,
		ParallelTries: true, RetryAdvice: true, MaxRetryAfter: time.Second.Microseconds(), AttemptCap: attemptCap,
		Keepalive: (30 * time.Second).Microseconds(), DrainGrace: boot.Bounds.Drain.Microseconds() / 4,
		Routers: leastRouters, ExtraBudget: true, ExtraByShard: true, ExtraRatio: boot.Bounds.RetryRatio,
		ExtraSpare: 0, ExtraWindow: boot.Bounds.RetryWindow.Microseconds(), OverdueBy: overdueBy, OverdueMax: overdueMax,
	}}
	x, err := exchange.New(uint64(time.Now().UnixNano()), set)
	if err != nil {
		return err
	}
	leaves := (boot.Files - spareFiles) / leafShare
	t := &tide{boot: boot, x: x, client: rpc.NewClient(time.Second), book: gossip.NewStore(), start: time.Now(),
		gate: &gate.Gate{Exchange: x}, back: reach.New(reach.Config{Exchange: x, MaxConns: leaves}), conns: make(map[string]int)}
	t.purse = quota.NewRetryBudget(0, quota.Config{Total: boot.Bounds.RetrySlack, Window: boot.Bounds.RetryWindow.Microseconds(), MinProxies: leastRouters, FirstStart: boot.Bootstrap})
	clients := boot.Files - spareFiles - leaves
	t.flock, t.clerk = newFlock(t), newClerk(t)
	t.gate.Allow = t.clerk.allow
	lanes := &front.Lanes{Most: max(clients/laneShare, 1)}
	if !from.Alike {
		x.Heard, lanes.Saw = t.flock.heard, t.flock.took
	}
	f := front.New(front.Config{Exchange: x, Protocol: t.gate, MaxClients: clients, Pace: gate.Pace(routeconfig.DefaultLimits), Lanes: lanes})
	t.front = f
	ln, err := transport.Listen(ctx, boot.Front)
	if err != nil {
		return err
	}
	transport.Bounded(ln, unreadBytes)
	lnReady, err := transport.Listen(ctx, boot.Ready)
	if err != nil {
		return err
	}
	var stopping atomic.Bool
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readiness", func(w http.ResponseWriter, _ *http.Request) {
		if stopping.Load() || t.gate.Plan() == nil || t.servers.Load() == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	})
	life, end := context.WithCancel(context.Background())
	defer end()
	stop := make(chan struct{})
	defer close(stop)
	go x.Run(t.back, stop)
	go t.back.Run(life)
	go t.follow(life)
	go t.clerk.run(life)
	if !from.Alike {
		go t.flock.run(life)
	}
	go from.Watch(life)
	lnShow, err := transport.Listen(ctx, ShowAt("tide", boot))
	if err != nil {
		return err
	}
	shown := http.NewServeMux()
	onShow(shown, "tide", boot.Name, t.start, t.tables)
	onExplain(shown, "tide", boot.Name, t.start, t.explain)
	failed := make(chan error, 3)
	go func() { failed <- rpc.Serve(life, lnShow, shown, 0) }()
	go func() { failed <- rpc.Serve(life, lnReady, mux, 0) }()
	go func() {
		if err := f.Serve(ln); err != nil {
			failed <- err
		}
	}()
	events.Started.Log("program", "tide", "name", boot.Name, "front", boot.Front, "clients", clients, "leaves", leaves)
	tick := time.NewTicker(countEvery)
	defer tick.Stop()
	look := time.NewTicker(tierEvery)
	defer look.Stop()
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case err := <-failed:
			return err
		case <-look.C:
			t.mu.Lock()
			t.doubt()
			t.tier()
			t.mu.Unlock()
		case <-tick.C:
			events.Count.Log("c", x.Counters.String(), "unrouted", t.gate.Unrouted.Load())
		}
	}
	stopping.Store(true)
	t.shutDown(ln, from.Boot().Bounds.Grace)
	return nil
}

// follow takes what the agent tells for as long as the proxy lives.
func (t *tide) follow(ctx context.Context) {
	f, away := Feed{}, false
	for ctx.Err() == nil {
		ask, cancel := context.WithTimeout(ctx, feedWait+5*time.Second)
		held, _ := t.book.Get(charterAt)
		f.Rank = held.Version
		ans, err := feedCall.Ask(ask, t.client, t.boot.Loop(), "", f)
		cancel()
		if err != nil && ctx.Err() == nil && !away {
			away = true
			events.AgentAway.Log("err", err)
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(feedPause):
			}
			continue
		}
		if away {
			away = false
			events.AgentBack.Log()
		}
		t.take(ans.Items, ans.Life != f.Life)
		f = Feed{Life: ans.Life, Since: ans.Seq}
		if ans.Want {
			f.News = t.book.GetAll([]string{charterAt})
		}
	}
}

// take puts news in force. anew: it is all that an agent knows that has started anew.
func (t *tide) take(items []gossip.Entry, anew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if anew {
		t.doubtful, t.doubtAt = make(map[string]bool), time.Now().Add(doubtTime)
		t.book.Range(func(i gossip.Entry, _ int64) { t.doubtful[i.Key] = i.Key != charterAt })
	}
	for _, i := range items {
		delete(t.doubtful, i.Key)
	}
	t.news(items)
}

// doubt lets go of what an agent that started anew has not confirmed since: the news that
// it is gone was told while there was no agent, and is told no more. Under mu.
func (t *tide) doubt() {
	now := time.Since(t.start).Microseconds()
	t.book.PurgeTombstones(now)
	if len(t.doubtful) == 0 || time.Now().Before(t.doubtAt) {
		return
	}
	var gone []gossip.Entry
	for key, is := range t.doubtful {
		if held, known := t.book.Get(key); known && is && !held.Deleted() {
			gone = append(gone, gossip.Entry{Key: key, Version: held.Version + 1})
		}
	}
	t.doubtful = nil
	t.news(gone)
	for _, i := range gone {
		t.book.Remove(i.Key) // should it be told after all, it counts
	}
}

// news puts news in force. Under mu.
func (t *tide) news(items []gossip.Entry) {
	list := choice.List{Form: choice.Delta}
	var told []reach.Server
	now := time.Since(t.start).Microseconds()
	for _, i := range items {
		if !t.book.Put(now, i, 1, false) {
			continue
		}
		switch {
		case i.Key == charterAt:
			t.charter(i)
		case i.Key == groupsAt:
			t.flock.told(i)
		case strings.HasPrefix(i.Key, registry.Prefix):
			row, s, ok := t.server(i)
			if ok {
				list.Servers = append(list.Servers, row)
				told = append(told, s)
			}
		}
	}
	t.book.TakePending() // nothing is passed on from here
	t.tier()
	if len(told) > 0 {
		events.ServerNews.Log("servers", len(told))
		t.back.Told(told)
		t.x.Listed(list)
	}
}

func (t *tide) charter(i gossip.Entry) {
	c, err := routeconfig.Parse(i.Value)
	var p *gate.Plan
	if err == nil {
		p, err = gate.NewPlan(c, &t.numbers)
	}
	if err != nil {
		events.Unusable.Log("rank", i.Version, "err", err)
		return
	}
	for name, s := range c.Services {
		t.conns[name] = s.MaxConnections
	}
	t.clerk.state(c)
	t.x.Retune(p.Classes)
	t.gate.Use(p)
	t.front.SetPace(gate.Pace(c.Limits))
	events.InForce.Log("version", c.Revision, "routes", len(c.Routes), "services", len(c.Services), "classes", len(p.Classes))
}

func (t *tide) server(i gossip.Entry) (choice.Server, reach.Server, bool) {
	s, err := registry.Parse(i)
	if err != nil {
		return choice.Server{}, reach.Server{}, false
	}
	row := choice.Server{ID: s.ID, Zone: s.Zone, Kind: s.Revision, Scale: max(s.Capacity, 1), State: choice.Gone}
	if i.Deleted() {
		t.flock.place(s.ID, "", 0, true)
		return row, reach.Server{ID: s.ID, Gone: true}, true
	}
	n, err := t.numbers.Of(s.Service)
	if err != nil {
		return row, reach.Server{}, false
	}
	row.Cell, row.Far = n, t.far(s.Zone)
	t.flock.place(s.ID, s.Service, row.Far, false)
	row.Slow = t.flock.slow(s.ID)
	switch s.State {
	case registry.Available:
		row.State = choice.Ready
	case registry.Draining:
		row.State = choice.Draining
	}
	most := 0
	if m := t.conns[s.Service]; m > 0 {
		most = max(m/max(t.routers, leastRouters), 2)
	}
	return row, reach.Server{ID: s.ID, Addr: s.Addr, MaxConns: most}, true
}

// far tells how dear the way to a zone is: 0 in the own one, 1 in another of the region,
// 2 beyond.
func (t *tide) far(zone string) int {
	switch {
	case zone == t.boot.Zone:
		return 0
	case t.boot.Regions[zone] == t.boot.Region && t.boot.Region != "":
		return 1
	}
	return 2
}

// tier tells the decisions how many proxies there are, and counts servers.
func (t *tide) tier() {
	routers, servers := 0, int64(0)
	t.book.RangeSorted(func(i gossip.Entry) {
		switch {
		case i.Deleted():
		case strings.HasPrefix(i.Key, registry.Prefix):
			servers++
		case strings.HasPrefix(i.Key, gossip.ProcessPrefix) && strings.Contains(string(i.Value), `"k":"echo"`):
			routers++
		}
	})
	t.servers.Store(servers)
	t.clerk.mixers(routers)
	spare := t.purse.Share(time.Since(t.start).Microseconds(), routers)
	if routers = max(routers, leastRouters); routers != t.routers || spare != t.spare {
		t.routers, t.spare = routers, spare
		t.x.Tiered(choice.Tier{Routers: routers, Spare: spare})
	}
}
