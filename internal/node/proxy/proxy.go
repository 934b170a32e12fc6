// Package proxy is the program that takes requests of clients: it joins the exchange and the
// decisions of package choice with connections to clients and servers, and with the agent on its
// machine, which feeds it servers and configurations. While the agent is away it goes on with what
// it last had. It never asks another process while a request waits, and never goes back to an older
// configuration.
package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"saddleport/choice"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/quota"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/downstream"
	"saddleport/internal/downstream/httpserver"
	"saddleport/internal/exchange"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/rpc"
	"saddleport/internal/settings"
	"saddleport/internal/transport"
	"saddleport/internal/upstream/httpclient"
)

const (
	reservedDescriptors = 232 // descriptors that are not for connections
	upstreamShare       = 4   // of the rest, one in so many is for servers
	maxRequests         = 20_000
	sendBufferBytes     = 64 << 10 // of answers, that the kernel keeps for a client that has not read them
	feedRetryInterval   = 60 * time.Millisecond
	countersInterval    = 30 * time.Second
	confirmTimeout      = 60 * time.Second // until then an agent that started anew has learned all there is
	budgetInterval      = 5 * time.Second  // beside updates: a share of the budget that was withheld is granted by then
	tickMicroseconds    = 1000             // microseconds
	maxAttempts         = 8
	overdueBy           = 3.3 // times the upper quantile: second copies mostly leave the zone (docs/results/grown.md)
	overdueMax          = 0.8 // of the latency target
	minProxies          = 8   // taken for as long as fewer are known: a share of the budget too small does no harm
)

// agentKindJSON is how the entry of an agent begins to differ from that of other processes: the
// kind as gossip.Process writes it.
const agentKindJSON = `"k":"` + gossip.KindAgent + `"`

// proxy is one running proxy.
type proxy struct {
	settings     *nodesettings.Settings
	exchange     *exchange.Exchange
	upstream     *httpclient.Pool
	routes       *httpserver.Handler
	downstream   *downstream.Server
	client       *rpc.Client
	shardNumbers httpserver.ShardNumbers
	startedAt    time.Time
	serverCount  atomic.Int64

	maxClients  int // connections of clients
	maxUpstream int // connections to servers
	stopping    atomic.Bool

	mu             sync.Mutex // taken by the goroutine that follows the agent, and by show
	store          *gossip.Store
	retryBudget    *quota.RetryBudget
	proxyCount     int
	retrySlack     float64
	outliers       *outlierTracker
	quotas         *quotaClient
	maxConnections map[string]int // by service: connections that a server accepts

	unconfirmed map[string]bool // keys that a restarted agent has not confirmed yet
	confirmBy   time.Time       // from then on these count as deleted
}

// exchangeSettings returns the settings of the exchange and of the decisions.
func exchangeSettings(bounds nodesettings.Bounds) settings.Settings {
	return settings.Settings{MostHeld: maxRequests, Router: choice.Settings{
		ClassesLater: true, Cells: httpserver.MaxShards, Width: 1, MaxPartsPerCall: 1, Resolution: tickMicroseconds, Cancel: true,
		ParallelAttempts: true, RetryAdvice: true, MaxRetryAfter: time.Second.Microseconds(), AttemptCap: maxAttempts,
		Keepalive: (30 * time.Second).Microseconds(), DrainGrace: bounds.Drain.Microseconds() / 4,
		Routers: minProxies, RetryBudget: true, RetryBudgetPerShard: true, RetryBudgetRatio: bounds.RetryRatio,
		RetryBudgetMin: 0, RetryBudgetWindow: bounds.RetryWindow.Microseconds(), OverdueMultiple: overdueBy, OverdueMaxShare: overdueMax,
	}}
}

// newProxy joins the parts of a proxy. Nothing runs yet.
func newProxy(file *nodesettings.File) (*proxy, error) {
	boot := file.Current()
	x, err := exchange.New(uint64(time.Now().UnixNano()), exchangeSettings(boot.Bounds))
	if err != nil {
		return nil, err
	}
	upstreamConnections := (boot.MaxOpenFiles - reservedDescriptors) / upstreamShare
	t := &proxy{settings: boot, exchange: x, client: rpc.NewClient(time.Second), store: gossip.NewStore(), startedAt: time.Now(),
		routes: &httpserver.Handler{Exchange: x}, upstream: httpclient.New(httpclient.Config{Exchange: x, MaxConns: upstreamConnections}),
		maxConnections: make(map[string]int), maxClients: boot.MaxOpenFiles - reservedDescriptors - upstreamConnections,
		maxUpstream: upstreamConnections}
	t.retryBudget = quota.NewRetryBudget(0, quota.Config{Total: boot.Bounds.RetrySlack, Window: boot.Bounds.RetryWindow.Microseconds(),
		MinProxies: minProxies, FirstStart: boot.Bootstrap})
	t.outliers, t.quotas = newOutlierTracker(t), newQuotaClient(t)
	t.routes.Allow = t.quotas.admit
	lanes := &downstream.SlowLane{MaxConns: max(t.maxClients/slowLaneShare, 1)}
	if !file.NoEjection {
		x.OnAttemptEnd, lanes.Observe = t.outliers.recordAnswer, t.outliers.recordCaller
	}
	t.downstream = downstream.New(downstream.Config{Exchange: x, Protocol: t.routes, MaxClients: t.maxClients,
		Limits: httpserver.LimitsFrom(routeconfig.DefaultLimits), SlowLane: lanes})
	return t, nil
}

// handleReadiness answers the platform: ready with a configuration and servers, until the
// proxy stops.
func (t *proxy) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if t.stopping.Load() || t.routes.Plan() == nil || t.serverCount.Load() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// Run is the program: it serves until ctx ends, and then for as long as the grace period
// allows.
func Run(ctx context.Context, file *nodesettings.File) error {
	t, err := newProxy(file)
	if err != nil {
		return err
	}
	front, err := transport.Listen(ctx, t.settings.Downstream)
	if err != nil {
		return err
	}
	transport.LimitSendBuffer(front, sendBufferBytes)
	readiness, err := transport.Listen(ctx, t.settings.Readiness)
	if err != nil {
		return err
	}
	running, end := context.WithCancel(context.Background())
	defer end()
	stopExchange := make(chan struct{})
	defer close(stopExchange)
	go t.exchange.Run(t.upstream, stopExchange)
	t.runInBackground(running, file)
	show, err := transport.Listen(ctx, admin.ShowAddr(admin.Proxy, t.settings))
	if err != nil {
		return err
	}
	failed := make(chan error, 3)
	go func() { failed <- rpc.Serve(running, show, t.showHandler(), 0) }()
	go func() { failed <- rpc.Serve(running, readiness, t.readinessHandler(), 0) }()
	go func() {
		if err := t.downstream.Serve(front); err != nil {
			failed <- err
		}
	}()
	events.Started.Log("program", admin.Proxy, "name", t.settings.Name, "front", t.settings.Downstream, "clients", t.maxClients, "leaves", t.maxUpstream)
	if err := t.maintain(ctx, failed); err != nil {
		return err
	}
	t.stopping.Store(true)
	t.shutDown(front, file.Current().Bounds.Grace)
	return nil
}

// runInBackground starts what runs beside the clients' connections until ctx ends.
func (t *proxy) runInBackground(ctx context.Context, file *nodesettings.File) {
	go t.upstream.Run(ctx)
	go t.followAgent(ctx)
	go t.quotas.run(ctx)
	if !file.NoEjection {
		go t.outliers.run(ctx)
	}
	go file.Watch(ctx)
}

func (t *proxy) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readiness", t.handleReadiness)
	return mux
}

func (t *proxy) showHandler() http.Handler {
	mux := http.NewServeMux()
	admin.RegisterShow(mux, admin.Proxy, t.settings.Name, t.startedAt, t.tables)
	admin.RegisterExplain(mux, admin.Proxy, t.settings.Name, t.startedAt, t.explain)
	return mux
}

// maintain does what is due periodically until ctx ends, or a listener fails.
func (t *proxy) maintain(ctx context.Context, failed <-chan error) error {
	counters := time.NewTicker(countersInterval)
	defer counters.Stop()
	budget := time.NewTicker(budgetInterval)
	defer budget.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-budget.C:
			t.mu.Lock()
			t.dropUnconfirmed()
			t.updateBudget()
			t.mu.Unlock()
		case <-counters.C:
			events.Counters.Log("c", t.exchange.Counters.String(), "unrouted", t.routes.Unrouted.Load())
		}
	}
}

// followAgent applies what the agent sends for as long as the proxy lives.
func (t *proxy) followAgent(ctx context.Context) {
	f, away := agentapi.FeedRequest{}, false
	for ctx.Err() == nil {
		ask, cancel := context.WithTimeout(ctx, agentapi.FeedWait+5*time.Second)
		stored, _ := t.store.Get(agentapi.ConfigurationKey)
		f.ConfigVersion = stored.Version
		ans, err := agentapi.FeedCall.Ask(ask, t.client, t.settings.AgentAddr(), "", f)
		cancel()
		if err != nil && ctx.Err() == nil && !away {
			away = true
			events.AgentAway.Log("err", err)
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(feedRetryInterval):
			}
			continue
		}
		if away {
			away = false
			events.AgentBack.Log()
		}
		t.applyFeed(ans.Entries, ans.Incarnation != f.Incarnation)
		f = agentapi.FeedRequest{Incarnation: ans.Incarnation, Since: ans.Seq}
		if ans.WantConfig {
			f.Entries = t.store.GetAll([]string{agentapi.ConfigurationKey})
		}
	}
}

// applyFeed puts entries in force. anew: they are all that a restarted agent knows.
func (t *proxy) applyFeed(items []gossip.Entry, anew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if anew {
		t.unconfirmed, t.confirmBy = make(map[string]bool), time.Now().Add(confirmTimeout)
		t.store.Range(func(i gossip.Entry, _ int64) { t.unconfirmed[i.Key] = i.Key != agentapi.ConfigurationKey })
	}
	for _, i := range items {
		delete(t.unconfirmed, i.Key)
	}
	t.applyEntries(items)
}

// dropUnconfirmed removes what a restarted agent has not confirmed: that it was deleted may
// have been gossiped while there was no agent. mu must be locked.
func (t *proxy) dropUnconfirmed() {
	now := time.Since(t.startedAt).Microseconds()
	t.store.PurgeTombstones(now)
	if len(t.unconfirmed) == 0 || time.Now().Before(t.confirmBy) {
		return
	}
	var gone []gossip.Entry
	for key, is := range t.unconfirmed {
		if stored, known := t.store.Get(key); known && is && !stored.Deleted() {
			gone = append(gone, gossip.Entry{Key: key, Version: stored.Version + 1})
		}
	}
	t.unconfirmed = nil
	t.applyEntries(gone)
	for _, i := range gone {
		t.store.Remove(i.Key) // if the agent sends it after all, it counts
	}
}

// applyEntries puts entries in force. mu must be locked.
func (t *proxy) applyEntries(items []gossip.Entry) {
	list := choice.List{Form: choice.Delta}
	var servers []httpclient.Server
	now := time.Since(t.startedAt).Microseconds()
	for _, i := range items {
		if !t.store.Put(now, i, 1, false) {
			continue
		}
		switch {
		case i.Key == agentapi.ConfigurationKey:
			t.applyConfiguration(i)
		case i.Key == agentapi.EjectionsKey:
			t.outliers.applyAssignment(i)
		case strings.HasPrefix(i.Key, registry.Prefix):
			row, s, ok := t.serverRow(i)
			if ok {
				list.Servers = append(list.Servers, row)
				servers = append(servers, s)
			}
		}
	}
	t.store.TakePending() // nothing is passed on from here
	t.updateBudget()
	if len(servers) > 0 {
		events.ServersChanged.Log("servers", len(servers))
		t.upstream.UpdateServers(servers)
		t.exchange.UpdateServers(list)
	}
}

func (t *proxy) applyConfiguration(i gossip.Entry) {
	c, err := routeconfig.Parse(i.Value)
	var p *httpserver.Plan
	if err == nil {
		p, err = httpserver.NewPlan(c, &t.shardNumbers)
	}
	if err != nil {
		events.ConfigUnusable.Log("rank", i.Version, "err", err)
		return
	}
	for name, s := range c.Services {
		t.maxConnections[name] = s.MaxConnections
	}
	t.quotas.setAllowances(c)
	t.exchange.UpdateClasses(p.Classes)
	t.routes.SetPlan(p)
	t.downstream.SetLimits(httpserver.LimitsFrom(c.Limits))
	events.ConfigInForce.Log("revision", c.Revision, "routes", len(c.Routes), "services", len(c.Services), "classes", len(p.Classes))
}

func (t *proxy) serverRow(i gossip.Entry) (choice.Server, httpclient.Server, bool) {
	s, err := registry.Parse(i)
	if err != nil {
		return choice.Server{}, httpclient.Server{}, false
	}
	row := choice.Server{ID: s.ID, Zone: s.Zone, Kind: s.Revision, Scale: max(s.Capacity, 1), State: choice.Gone}
	if i.Deleted() {
		t.outliers.setPlacement(s.ID, "", 0, true)
		return row, httpclient.Server{ID: s.ID, Gone: true}, true
	}
	n, err := t.shardNumbers.Of(s.Service)
	if err != nil {
		return row, httpclient.Server{}, false
	}
	row.Cell, row.Far = n, t.distance(s.Zone)
	t.outliers.setPlacement(s.ID, s.Service, row.Far, false)
	row.Slow = t.outliers.ejectedRatio(s.ID)
	switch s.State {
	case registry.Available:
		row.State = choice.Ready
	case registry.Draining:
		row.State = choice.Draining
	}
	most := 0
	if m := t.maxConnections[s.Service]; m > 0 {
		most = max(m/max(t.proxyCount, minProxies), 2)
	}
	return row, httpclient.Server{ID: s.ID, Addr: s.Addr, MaxConns: most}, true
}

// distance returns how expensive the way to a zone is, see nodesettings.Distance.
func (t *proxy) distance(zone string) int {
	return nodesettings.Distance(zone, t.settings.Regions[zone], t.settings.Zone, t.settings.Region)
}

// updateBudget sets how many proxies there are, and counts servers.
func (t *proxy) updateBudget() {
	routers, servers := 0, int64(0)
	t.store.RangeSorted(func(i gossip.Entry) {
		switch {
		case i.Deleted():
		case strings.HasPrefix(i.Key, registry.Prefix):
			servers++
		case strings.HasPrefix(i.Key, gossip.ProcessPrefix) && strings.Contains(string(i.Value), agentKindJSON):
			routers++
		}
	})
	t.serverCount.Store(servers)
	t.quotas.setProxies(routers)
	spare := t.retryBudget.Share(time.Since(t.startedAt).Microseconds(), routers)
	if routers = max(routers, minProxies); routers != t.proxyCount || spare != t.retrySlack {
		t.proxyCount, t.retrySlack = routers, spare
		t.exchange.UpdateTier(choice.Tier{Routers: routers, RetryBudgetMin: spare})
	}
}
