// Package app assembles the proxy: configuration, process limits, signals, downstream and
// upstream connections, the exchange, and the features that the operator file enables. It makes
// no decisions about queries, and the process does not exit while a query is unanswered.
package app

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"saddleport/internal/control"
	"saddleport/internal/downstream"
	"saddleport/internal/downstream/platform"
	"saddleport/internal/exchange"
	"saddleport/internal/hook"
	"saddleport/internal/logs"
	"saddleport/internal/source/consul"
	"saddleport/internal/source/segments"
	"saddleport/internal/source/targets"
	"saddleport/internal/upstream"
)

const (
	reservedFiles      = 32                     // file descriptors reserved for everything but connections of clients and to leaf servers
	softLimitDivisor   = 8                      // idle client connections are closed above 1/8 of the descriptor limit
	serverConnsDivisor = 4                      // 1/4 of the unreserved descriptors are for connections to leaf servers
	memoryLimitRatio   = 0.6                    // of the memory limit: above it the garbage collector works harder
	minDrainTime       = time.Second            // after SIGTERM: new requests are expected for at least this long
	defaultConnGrace   = 600 * time.Millisecond // after SIGTERM: client connections stay open this long; the platform grants the longest deadline and 0.7 s
	quietPeriod        = 400 * time.Millisecond // without a query, before the listener is closed
	idleCloseDelay     = 100 * time.Millisecond // for a request that is on its way when its connection is closed
	drainPollInterval  = 10 * time.Millisecond
	requestTimeout     = 2 * time.Second // for the answer of a running proxy
	listenTimeout      = 5 * time.Second
	countersInterval   = 10 * time.Second
)

var log = logs.For("app")

// Serve runs the proxy on a configuration file and an operator file (may be empty) until SIGTERM
// or SIGINT. It returns an error if a file is invalid or the address can't be listened on.
func Serve(config, operator string) error {
	// First of all, since SIGHUP terminates the process by default.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	cfg, err := Load(config, os.Getenv)
	if err != nil {
		return err
	}
	cfg.operator = operator
	ln, err := listen(cfg.listen)
	if err != nil {
		return err
	}
	return serve(cfg, ln, signals)
}

// proxy is the running process.
type proxy struct {
	cfg      *Config
	exchange *exchange.Exchange
	list     *targets.Watch // the platform's server list; nil if [members] sources are configured
	hooks    *hook.Host     // nil without an operator file
	feed     *segments.Feed // nil if shards are fixed by the settings

	members *memberSources // nil if the platform's list is the only source

	deregister func() // removes the proxy from Consul; nil if it is not registered

	mu       sync.Mutex // control commands run concurrently with signals
	operator *Operator
}

// hooksDir returns the directory of the hook set; empty if there is none.
func (p *proxy) hooksDir() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.operator.Hooks.Dir
}

// reload reads both files again and applies what may change at run time: the address of
// discovery, the member sources, log settings and hooks. An error in either file rejects the
// complete reload, because the valid half might belong to another version of the fleet.
func (p *proxy) reload() {
	cfg := p.cfg
	next, err := Load(cfg.path, cfg.env)
	if err == nil {
		err = next.Check()
	}
	var op *Operator
	if err == nil {
		op, err = LoadOperator(cfg.operator)
	}
	if err != nil {
		log.Error("reload-failed", "discovery", cfg.discovery, "err", err)
		return
	}
	if p.members != nil && len(op.Members.Sources) > 0 {
		if err := p.members.apply(op); err != nil { // for example, a file named there does not exist any more
			log.Error("reload-failed", "discovery", cfg.discovery, "err", err)
			return
		}
	}
	var ignored []string
	if (p.members != nil) != (len(op.Members.Sources) > 0) {
		ignored = append(ignored, "members")
	}
	for field, same := range map[string]bool{"name": next.name == cfg.name, "listen": next.listen == cfg.listen,
		"limits":   next.cores == cfg.cores && next.memoryMB == cfg.memoryMB && next.sockets == cfg.sockets,
		"settings": reflect.DeepEqual(next.settings, cfg.settings)} {
		if !same {
			ignored = append(ignored, field)
		}
	}
	slices.Sort(ignored)
	log.Info("reload", "discovery", next.discovery, "was", cfg.discovery, "kept", strings.Join(ignored, ","))
	if next.discovery != cfg.discovery {
		cfg.discovery = next.discovery
		if p.members != nil {
			p.members.switchDiscovery(cfg.discovery)
		} else {
			p.list.Switch(cfg.discovery)
		}
	}
	p.apply(op)
	if p.hooks != nil { // in the background, since loading takes a while; an invalid set is logged and the old one stays
		go p.hooks.Reload(p.hooksDir())
	}
}

// listen listens on an address. After a restart the previous process may still use it, so
// listen retries for listenTimeout while the address is in use.
func listen(addr string) (net.Listener, error) {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenTimeout / 50) {
		ln, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return ln, err
		}
	}
}

// serve runs the proxy on a listener until a signal arrives and every accepted query is
// answered.
func serve(cfg *Config, ln net.Listener, signals <-chan os.Signal) error {
	operator, err := LoadOperator(cfg.operator)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.cores))))
	debug.SetMemoryLimit(int64(float64(cfg.memoryMB) * memoryLimitRatio * (1 << 20)))
	ex, err := exchange.New(cfg.seed, cfg.settings)
	if err != nil {
		return err
	}
	serverConns := (cfg.sockets - reservedFiles) / serverConnsDivisor
	pool := upstream.New(upstream.Config{Exchange: ex, Settings: cfg.settings, MaxConns: serverConns})
	p := &proxy{cfg: cfg, exchange: ex}
	if len(operator.Members.Sources) == 0 {
		p.list = targets.New(targets.Config{Addr: cfg.discovery, Cells: cfg.settings.Router.Cells, Index: cfg.known.Version,
			Pushed: cfg.settings.Pushed, PollTimeout: cfg.pollTimeout}, pool)
		pool.List = p.list
	} else {
		pool.Stagger = operator.Members.Stagger
		if p.members, err = newMemberSources(cfg, operator, pool); err != nil {
			return err
		}
		pool.List = p.members
		ex.Counters.Extra = p.members.Counters
		if err := p.members.apply(operator); err != nil {
			return err
		}
		defer p.members.stopAll()
	}
	if len(operator.Levels.Names) > 0 {
		if err := ex.SetLevels(operator.Levels, operator.levelSettings()); err != nil {
			return err
		}
	}
	if operator.Consul.RegisterAs != "" && len(operator.Consul.Addrs) > 0 {
		c, err := consul.New(operator.Consul, nil)
		if err != nil {
			return err
		}
		stopping, deregistered := make(chan struct{}), make(chan struct{})
		go func() { c.KeepRegistered(cfg.name, ln.Addr().String(), stopping); close(deregistered) }()
		p.deregister = sync.OnceFunc(func() { close(stopping); <-deregistered })
		defer p.deregister()
	}
	if operator.File.Path != "" {
		p.hooks = hook.NewHost(operator.Hooks, Engines(), cfg.settings.Router.Classes)
		ex.SetHooks(p.hooks, operator.Hooks.ForwardTags)
		if operator.Hooks.Dir != "" {
			if err := p.hooks.Reload(operator.Hooks.Dir); err != nil {
				return err
			}
		}
	}
	p.apply(operator)
	if operator.Segments.Feed != "" {
		if w := cfg.settings.Router.Width; w > 1 {
			return fmt.Errorf("[segments] feed: each shard is on %d cells, but a segment must be on exactly one", w)
		}
		p.feed = segments.New(operator.Segments, ex)
		ex.SetMapSource(p.feed, operator.Segments.MaxParts)
		feedCtx, stopFeed := context.WithCancel(context.Background())
		feedStopped := make(chan struct{})
		go func() { p.feed.Run(feedCtx); close(feedStopped) }()
		defer func() { stopFeed(); <-feedStopped }()
	}
	if operator.Control.Socket != "" {
		c, err := control.Listen(operator.Control.Socket, p.command)
		if err != nil {
			return err
		}
		defer c.Close()
	}
	classes := make(map[string]bool)
	for _, c := range cfg.settings.Router.Classes {
		classes[c.Name] = true
	}
	protocol := &platform.Protocol{Exchange: ex, Shards: cfg.settings.Router.Shards, Classes: classes, Segments: p.feed != nil}
	server := downstream.New(downstream.Config{Exchange: ex, Protocol: protocol, MaxClients: cfg.sockets - reservedFiles - serverConns,
		SoftLimit: cfg.sockets / softLimitDivisor, Limits: cfg.clientLimits})
	if p.feed != nil { // the map numbers the segments, so no shard count bounds them
		protocol.Shards, protocol.Ready = 0, p.feed.HasMap
	}
	stop := make(chan struct{})
	if p.members == nil {
		pool.UpdateList(cfg.known, cfg.knownAddrs)
	} else {
		ready := protocol.Ready
		protocol.Members = p.members.reportJSON
		protocol.Ready = func() bool { return p.members.AnySourceAnswered() && (ready == nil || ready()) }
	}
	go ex.Run(pool, stop)
	go pool.Run(stop)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	log.Info("start", "name", cfg.name, "listen", ln.Addr(), "discovery", cfg.discovery, "known", len(cfg.known.Servers),
		"clients", cfg.sockets-reservedFiles-serverConns, "leaves", serverConns)
	for _, effect := range cfg.SettingEffects() {
		log.Debug("trait", "setting", effect.Setting, "told", effect.Value, "so", effect.Behaviour)
	}
	tick := time.NewTicker(countersInterval)
	defer tick.Stop()
	for draining := false; !draining; {
		select {
		case <-tick.C:
			log.Info("counters", "", logs.Pairs(ex.Counters.String()))
			log.Info("memory", memoryPairs()...)
		case err := <-served:
			return fmt.Errorf("accepting connections failed: %w", err)
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reload()
				continue
			}
			log.Info("stopping", "signal", s, "open", ex.Open())
			draining = true
			if p.deregister != nil { // at once and in the background, so that clients stop finding this proxy in Consul
				go p.deregister()
			}
		}
	}
	// Reloads are applied during the shutdown too: queries are still served, so the proxy
	// must still learn which servers drain.
	sleep := func(d time.Duration) {
		for timer := time.After(d); ; {
			select {
			case s := <-signals:
				if s == syscall.SIGHUP {
					p.reload()
				}
			case <-timer:
				return
			}
		}
	}
	server.MarkNotReady()
	stopBegun := time.Now()
	// Clients use their open connections and may not know another proxy yet. If the
	// connections were closed at once, these clients could not send queries anywhere. A query
	// accepted during this time still has its complete deadline before SIGKILL.
	for time.Since(stopBegun) < cfg.connGrace && (server.Clients() > 0 || time.Since(stopBegun) < minDrainTime) {
		sleep(drainPollInterval)
	}
	server.CloseAfterResponses()
	// New connections and queries are served until none has arrived for quietPeriod: a
	// connection that the kernel has accepted must be served even if the process has not
	// accepted it yet. Requests of the readiness path do not count, or the probes would keep
	// the proxy running for ever.
	for time.Since(stopBegun) < minDrainTime || ex.Open() > 0 || !server.QuietFor(quietPeriod) {
		server.CloseIdle(idleCloseDelay)
		sleep(drainPollInterval)
	}
	ln.Close()
	for server.CloseIdle(idleCloseDelay); server.Clients() > 0; server.CloseIdle(idleCloseDelay) {
		sleep(drainPollInterval)
	}
	close(stop)
	if p.hooks != nil {
		p.hooks.Close()
	}
	log.Info("stopped", "", logs.Pairs(ex.Counters.String()))
	return nil
}
