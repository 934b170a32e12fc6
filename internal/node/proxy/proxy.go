// Package proxy implements the program that serves the requests of clients. It connects the exchange and
// the decisions of package choice to the connections of clients and servers, and to the agent on its
// machine, which feeds it servers and configurations. While the agent is unreachable the proxy goes on
// with the last servers and configuration that it got. It never calls another process while a request
// waits for the result, and never returns to an older configuration.
package proxy

import (
	"context"
	"io"
	"net/http"
	"slices"
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
	reservedDescriptors = 232 // file descriptors that are not used for connections
	upstreamDivisor     = 4   // 1/upstreamDivisor of the other descriptors is for connections to servers
	drainGraceDivisor   = 4   // a draining server gets no request after 1/drainGraceDivisor of the time it serves on; the rest is for the update to arrive
	maxRequests         = 20_000
	sendBufferBytes     = 64 << 10              // send buffer in the kernel for responses that a client has not read
	feedRetryInterval   = 60 * time.Millisecond // after a failed call of the feed
	countersInterval    = 30 * time.Second      // between two log lines of the counters
	confirmTimeout      = 60 * time.Second      // by then a restarted agent has learned all entries, even if it has not reported that its store is complete
	budgetInterval      = 5 * time.Second       // the retry budget is also updated this often without a change, so that a withheld share is granted by then
	resolutionMicros    = 1000                  // microseconds between two batches of decisions
	maxAttempts         = 8
	overdueMultiple     = 3.3 // times the upper quantile of the latency; more than the default since most hedges leave the zone (docs/results/grown.md)
	overdueMaxShare     = 0.8 // a part is overdue after this share of the latency target at the latest
	minProxies          = 8   // assumed number of proxies while fewer are known; too small a share of the budget does no harm
)

// agentKindJSON is the kind of an agent as gossip.Process encodes it. It occurs in the entries of agents
// and in no other process's.
const agentKindJSON = `"k":"` + gossip.KindAgent + `"`

// proxy is a running proxy.
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

	maxClients  int // limit for the connections of clients
	maxUpstream int // limit for the connections to servers
	stopping    atomic.Bool

	mu             sync.Mutex // guards the fields below; taken by the goroutine that follows the agent, by maintain and by show
	store          *gossip.Store
	retryBudget    *quota.RetryBudget
	proxyCount     int
	retrySlack     float64
	outliers       *outlierTracker
	quotas         *quotaClient
	maxConnections map[string]int  // limit for the connections to a server, by service
	limitsOutdated bool            // maxConnections or proxyCount has changed since all servers were given their limits (limits.go)
	unnumbered     map[string]bool // keys of entries that wait for a shard number (numbers.go)

	unconfirmed map[string]bool // keys of entries; true: the restarted agent has not sent the entry yet
	confirmBy   time.Time       // time from which unconfirmed entries are deleted
}

// exchangeSettings returns the settings of the exchange and of its router.
func exchangeSettings(bounds nodesettings.Bounds) settings.Settings {
	return settings.Settings{MaxInFlight: maxRequests, Router: choice.Settings{
		ClassesLater: true, Cells: httpserver.MaxShards, Width: 1, MaxPartsPerCall: 1, Resolution: resolutionMicros, Cancel: true,
		ParallelAttempts: true, RetryAdvice: true, MaxRetryAfter: time.Second.Microseconds(), AttemptCap: maxAttempts,
		Keepalive: (30 * time.Second).Microseconds(), DrainGrace: bounds.Drain.Microseconds() / drainGraceDivisor,
		Routers: minProxies, RetryBudget: true, RetryBudgetPerShard: true, RetryBudgetRatio: bounds.RetryRatio,
		RetryBudgetMin: 0, RetryBudgetWindow: bounds.RetryWindow.Microseconds(), OverdueMultiple: overdueMultiple, OverdueMaxShare: overdueMaxShare,
	}}
}

// newProxy returns a proxy of which nothing runs yet.
func newProxy(file *nodesettings.File) (*proxy, error) {
	nodeSettings := file.Current()
	engine, err := exchange.New(uint64(time.Now().UnixNano()), exchangeSettings(nodeSettings.Bounds))
	if err != nil {
		return nil, err
	}
	maxUpstream := (nodeSettings.MaxOpenFiles - reservedDescriptors) / upstreamDivisor
	p := &proxy{settings: nodeSettings, exchange: engine, client: rpc.NewClient(time.Second), store: gossip.NewStore(), startedAt: time.Now(),
		routes: &httpserver.Handler{Exchange: engine}, upstream: httpclient.New(httpclient.Config{Exchange: engine, MaxConns: maxUpstream, DrainGrace: nodeSettings.Bounds.Drain / drainGraceDivisor}),
		maxConnections: make(map[string]int), unnumbered: make(map[string]bool), maxClients: nodeSettings.MaxOpenFiles - reservedDescriptors - maxUpstream,
		maxUpstream: maxUpstream}
	p.retryBudget = quota.NewRetryBudget(0, quota.Config{Total: nodeSettings.Bounds.RetrySlack, Window: nodeSettings.Bounds.RetryWindow.Microseconds(),
		MinProxies: minProxies, FirstStart: nodeSettings.Bootstrap})
	p.outliers, p.quotas = newOutlierTracker(p), newQuotaClient(p)
	p.routes.Allow = p.quotas.admit
	slowLane := &downstream.SlowLane{MaxConns: max(p.maxClients/slowLaneDivisor, 1)}
	if !file.NoEjection {
		engine.OnAttemptEnd, slowLane.Observe = p.outliers.recordAnswer, p.outliers.recordCaller
	}
	p.downstream = downstream.New(downstream.Config{Exchange: engine, Protocol: p.routes, MaxClients: p.maxClients,
		Limits: httpserver.LimitsFrom(routeconfig.DefaultLimits), SlowLane: slowLane})
	return p, nil
}

// handleReadiness answers a readiness check of the platform. The proxy is ready from when it has a
// configuration and at least one server until it stops.
func (p *proxy) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if p.stopping.Load() || p.routes.Plan() == nil || p.serverCount.Load() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// Run runs a proxy until ctx ends, and then drains it within the grace period.
func Run(ctx context.Context, file *nodesettings.File) error {
	p, err := newProxy(file)
	if err != nil {
		return err
	}
	clientListener, err := transport.Listen(ctx, p.settings.Downstream)
	if err != nil {
		return err
	}
	transport.LimitSendBuffer(clientListener, sendBufferBytes)
	readinessListener, err := transport.Listen(ctx, p.settings.Readiness)
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	stopExchange := make(chan struct{})
	defer close(stopExchange)
	go p.exchange.Run(p.upstream, stopExchange)
	p.runInBackground(runCtx, file)
	showListener, err := transport.Listen(ctx, admin.ShowAddr(admin.Proxy, p.settings))
	if err != nil {
		return err
	}
	failed := make(chan error, 3)
	go func() { failed <- rpc.Serve(runCtx, showListener, p.showHandler(), 0) }()
	go func() { failed <- rpc.Serve(runCtx, readinessListener, p.readinessHandler(), 0) }()
	go func() {
		if err := p.downstream.Serve(clientListener); err != nil {
			failed <- err
		}
	}()
	events.Started.Log("program", admin.Proxy, "name", p.settings.Name, "front", p.settings.Downstream, "clients", p.maxClients, "leaves", p.maxUpstream)
	if err := p.maintain(ctx, failed); err != nil {
		return err
	}
	p.stopping.Store(true)
	p.shutDown(clientListener, file.Current().Bounds.Grace)
	return nil
}

// runInBackground starts the goroutines that don't serve clients. They run until ctx ends.
func (p *proxy) runInBackground(ctx context.Context, file *nodesettings.File) {
	go p.upstream.Run(ctx)
	go p.followAgent(ctx)
	go p.quotas.run(ctx)
	if !file.NoEjection {
		go p.outliers.run(ctx)
	}
	go file.Watch(ctx)
}

func (p *proxy) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readiness", p.handleReadiness)
	return mux
}

func (p *proxy) showHandler() http.Handler {
	mux := http.NewServeMux()
	admin.RegisterShow(mux, admin.Proxy, p.settings.Name, p.startedAt, p.tables)
	admin.RegisterExplain(mux, admin.Proxy, p.settings.Name, p.startedAt, p.explain)
	return mux
}

// maintain does the periodic work until ctx ends or a listener fails. It returns the listener's error.
func (p *proxy) maintain(ctx context.Context, failed <-chan error) error {
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
			p.mu.Lock()
			p.purge()
			p.releaseNumbers(time.Now())
			p.updateBudget()
			p.refreshLimits()
			p.mu.Unlock()
		case <-counters.C:
			events.Counters.Log("c", p.exchange.Counters.String(), "unrouted", p.routes.Unrouted.Load())
		}
	}
}

// followAgent calls the agent's feed and applies the responses until ctx ends.
func (p *proxy) followAgent(ctx context.Context) {
	request, unreachable := agentapi.FeedRequest{}, false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, agentapi.FeedWait+5*time.Second)
		request.ConfigVersion = p.storedConfiguration().Version
		response, err := agentapi.FeedCall.Invoke(callCtx, p.client, p.settings.AgentAddr(), "", request)
		cancel()
		if err != nil && ctx.Err() == nil && !unreachable {
			unreachable = true
			events.AgentUnreachable.Log("err", err)
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(feedRetryInterval):
			}
			continue
		}
		if unreachable {
			unreachable = false
			events.AgentReachable.Log()
		}
		p.applyFeed(response, response.Incarnation != request.Incarnation)
		request = agentapi.FeedRequest{Incarnation: response.Incarnation, Since: response.Seq}
		if configuration := p.storedConfiguration(); response.WantConfig && configuration.Version > 0 {
			request.Entries = []gossip.Entry{configuration}
		}
	}
}

// storedConfiguration returns the entry of the newest configuration that the agent has sent, which may be
// invalid; the zero entry if there is none.
func (p *proxy) storedConfiguration() gossip.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, _ := p.store.Get(agentapi.ConfigurationKey)
	return entry
}

// applyFeed applies the entries of a response of the feed. If agentRestarted is true the response is the
// first of a new incarnation of the agent and contains all entries that this incarnation has. Once the
// agent's store is complete, the entries that this incarnation has not sent are deleted.
func (p *proxy) applyFeed(update agentapi.FeedUpdate, agentRestarted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if agentRestarted {
		p.unconfirmed, p.confirmBy = make(map[string]bool), time.Now().Add(confirmTimeout)
		p.store.Range(func(entry gossip.Entry, _ int64) { p.unconfirmed[entry.Key] = entry.Key != agentapi.ConfigurationKey })
	}
	for _, entry := range update.Entries {
		delete(p.unconfirmed, entry.Key)
	}
	p.applyEntries(update.Entries)
	if update.Synced {
		p.dropUnconfirmed()
	}
}

// purge deletes old tombstones, and the entries that a restarted agent has not sent by confirmBy. The caller
// must hold mu.
func (p *proxy) purge() {
	p.store.PurgeTombstones(time.Since(p.startedAt).Microseconds())
	if !time.Now().Before(p.confirmBy) {
		p.dropUnconfirmed()
	}
}

// dropUnconfirmed deletes the entries that a restarted agent has not sent: they were deleted while there was
// no agent. The caller must hold mu.
func (p *proxy) dropUnconfirmed() {
	if len(p.unconfirmed) == 0 {
		return
	}
	var deletions []gossip.Entry
	for key, unconfirmed := range p.unconfirmed {
		if stored, known := p.store.Get(key); known && unconfirmed && !stored.Deleted() {
			deletions = append(deletions, gossip.Entry{Key: key, Version: stored.Version + 1})
		}
	}
	p.unconfirmed = nil
	p.applyEntries(deletions)
	for _, entry := range deletions {
		p.store.Remove(entry.Key) // without a tombstone, so that the entry is accepted if the agent sends it after all
	}
}

// applyEntries stores entries and applies those that are newer than the stored ones. The caller must hold
// mu.
func (p *proxy) applyEntries(entries []gossip.Entry) {
	now := time.Since(p.startedAt).Microseconds()
	var newer []gossip.Entry
	for _, entry := range entries {
		if p.store.Put(now, entry, 1, false) {
			newer = append(newer, entry)
		}
	}
	p.store.TakePending() // a proxy does not gossip
	p.applyStored(newer)
}

// applyStored applies entries of the store. The caller must hold mu.
func (p *proxy) applyStored(entries []gossip.Entry) {
	update := choice.List{Form: choice.Delta}
	var upstreamServers []httpclient.Server
	if i := slices.IndexFunc(entries, isConfiguration); i >= 0 { // first: the limits of servers depend on it
		p.applyConfiguration(entries[i])
		p.refreshLimits()
	}
	for _, entry := range entries {
		if !isConfiguration(entry) {
			delete(p.unnumbered, entry.Key)
		}
		switch {
		case entry.Key == agentapi.EjectionsKey:
			p.outliers.applyAssignment(entry)
		case strings.HasPrefix(entry.Key, registry.Prefix):
			server, upstreamServer, ok := p.convertServer(entry)
			if ok {
				update.Servers = append(update.Servers, server)
				upstreamServers = append(upstreamServers, upstreamServer)
			}
		}
	}
	p.updateBudget()
	if len(upstreamServers) > 0 {
		events.ServersChanged.Log("servers", len(upstreamServers))
		p.upstream.UpdateServers(upstreamServers)
		p.exchange.UpdateServers(update)
	}
}

func isConfiguration(entry gossip.Entry) bool { return entry.Key == agentapi.ConfigurationKey }

// applyConfiguration puts the configuration of an entry in force. If it is invalid the old one stays. The
// caller must hold mu.
func (p *proxy) applyConfiguration(entry gossip.Entry) {
	delete(p.unnumbered, entry.Key)
	config, err := routeconfig.Parse(entry.Value)
	var plan *httpserver.Plan
	if err == nil {
		plan, err = httpserver.NewPlan(config, &p.shardNumbers)
	}
	if err != nil {
		p.noteUnnumbered(entry.Key, err)
		events.ConfigUnusable.Log("rank", entry.Version, "err", err)
		return
	}
	p.setMaxConnections(config.Services)
	p.quotas.setAllowances(config)
	p.exchange.UpdateClasses(plan.Classes)
	p.routes.SetPlan(plan)
	p.downstream.SetLimits(httpserver.LimitsFrom(config.Limits))
	events.ConfigInForce.Log("revision", config.Revision, "routes", len(config.Routes), "services", len(config.Services), "classes", len(plan.Classes))
}

// convertServer converts the entry of a server for the router and for the upstream pool; false: the entry
// can't be used. The caller must hold mu.
func (p *proxy) convertServer(entry gossip.Entry) (choice.Server, httpclient.Server, bool) {
	registered, err := registry.Parse(entry)
	if err != nil {
		return choice.Server{}, httpclient.Server{}, false
	}
	server := choice.Server{ID: registered.ID, Zone: registered.Zone, Kind: registered.Revision, Scale: max(registered.Capacity, 1), State: choice.Gone}
	if entry.Deleted() {
		p.outliers.setLocation(registered.ID, "", 0, true)
		return server, httpclient.Server{ID: registered.ID, Gone: true}, true
	}
	cell, err := p.shardNumbers.Of(registered.Service)
	if err != nil {
		p.noteUnnumbered(entry.Key, err)
		return server, httpclient.Server{}, false
	}
	server.Cell, server.Far = cell, p.distance(registered.Zone)
	p.outliers.setLocation(registered.ID, registered.Service, server.Far, false)
	server.Slow = p.outliers.ejectedRatio(registered.ID)
	switch registered.State {
	case registry.Available:
		server.State = choice.Ready
	case registry.Draining:
		server.State = choice.Draining
	}
	return server, p.upstreamServer(registered), true
}

// distance returns the distance from this proxy's zone to another one, see nodesettings.Distance.
func (p *proxy) distance(zone string) int {
	return nodesettings.Distance(zone, p.settings.Regions[zone], p.settings.Zone, p.settings.Region)
}

// updateBudget counts the servers and the proxies, and passes the number of proxies and this proxy's share
// of the retry budget to the quotas and the exchange. The caller must hold mu.
func (p *proxy) updateBudget() {
	proxies, servers := 0, int64(0)
	p.store.RangeSorted(func(entry gossip.Entry) {
		switch {
		case entry.Deleted():
		case strings.HasPrefix(entry.Key, registry.Prefix):
			servers++
		case strings.HasPrefix(entry.Key, gossip.ProcessPrefix) && strings.Contains(string(entry.Value), agentKindJSON):
			proxies++
		}
	})
	p.serverCount.Store(servers)
	p.quotas.setProxies(proxies)
	retrySlack := p.retryBudget.Share(time.Since(p.startedAt).Microseconds(), proxies)
	if proxies = max(proxies, minProxies); proxies != p.proxyCount || retrySlack != p.retrySlack {
		p.limitsOutdated = p.limitsOutdated || proxies != p.proxyCount
		p.proxyCount, p.retrySlack = proxies, retrySlack
		p.exchange.UpdateTier(choice.Tier{Routers: proxies, RetryBudgetMin: retrySlack})
	}
}
