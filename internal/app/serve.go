// Package app puts a mixer together: the configuration, the process's limits and
// signals, the two sides, the exchange, and what the operator file turns on. It
// must never decide anything about a query, and never end while an answer is owed.
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
	spareFiles   = 32                     // descriptors kept for all but connections of clients and leaf servers
	keepShare    = 8                      // of all: beyond so many client connections those at rest are ended
	leafShare    = 4                      // of the rest, one in so many is for leaf servers
	memoryShare  = 0.6                    // of the limit: from there on the collector works harder
	settleTime   = time.Second            // after SIGTERM: new requests are expected at least so long
	stayTime     = 600 * time.Millisecond // after SIGTERM: open connections go on; the platform grants the longest deadline and 0.7 s
	quietTime    = 400 * time.Millisecond // without news, before the listener is closed
	lastChance   = 100 * time.Millisecond // for a request that crosses the end of its connection
	pollTime     = 10 * time.Millisecond
	askTime      = 2 * time.Second // for a running mixer's answer
	listenTime   = 5 * time.Second
	countersTime = 10 * time.Second
)

var log = logs.For("app")

// Serve runs a mixer until SIGTERM. Files that are wrong end the start.
func Serve(config, operator string) error {
	// Before all else: until it is asked for, SIGHUP ends the program.
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

// mixer is one that runs.
type mixer struct {
	cfg  *Config
	x    *exchange.Exchange
	list *targets.Watch // nil: sources of [members] are on
	host *hook.Host     // nil without an operator file
	feed *segments.Feed // nil: shards are what the settings say

	members *memberships // nil: the platform's list alone

	leave func() // takes the mixer out of Consul; nil: it is not there

	mu sync.Mutex // commands come beside signals
	op *Operator
}

// dir is the folder of the hooks.
func (m *mixer) dir() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.op.Hooks.Dir
}

// reload rereads the files and takes over what may change in service: the address
// of discovery. A file that is wrong anywhere changes nothing: half of it might
// belong to another version of the fleet.
func (m *mixer) reload() {
	c := m.cfg
	now, err := Load(c.path, c.env)
	if err == nil {
		err = now.Check()
	}
	var op *Operator
	if err == nil {
		op, err = LoadOperator(c.operator)
	}
	if err != nil {
		log.Error("reload-failed", "discovery", c.discovery, "err", err)
		return
	}
	if m.members != nil && len(op.Members.Sources) > 0 {
		if err := m.members.apply(op); err != nil { // a file that it names has gone
			log.Error("reload-failed", "discovery", c.discovery, "err", err)
			return
		}
	}
	var kept []string
	if (m.members != nil) != (len(op.Members.Sources) > 0) {
		kept = append(kept, "members")
	}
	for field, same := range map[string]bool{"name": now.name == c.name, "listen": now.listen == c.listen,
		"limits":   now.cores == c.cores && now.memoryMB == c.memoryMB && now.sockets == c.sockets,
		"settings": reflect.DeepEqual(now.settings, c.settings)} {
		if !same {
			kept = append(kept, field)
		}
	}
	slices.Sort(kept)
	log.Info("reload", "discovery", now.discovery, "was", c.discovery, "kept", strings.Join(kept, ","))
	if now.discovery != c.discovery {
		c.discovery = now.discovery
		if m.members != nil {
			m.members.moved(c.discovery)
		} else {
			m.list.Switch(c.discovery)
		}
	}
	m.apply(op)
	if m.host != nil { // a set takes a while to load; a bad one leaves the old one, and is logged
		go m.host.Reload(m.dir())
	}
}

// listen takes the address. After a restart the process before may hold it for a
// moment yet, which must not end the start.
func listen(addr string) (net.Listener, error) {
	for until := time.Now().Add(listenTime); ; time.Sleep(listenTime / 50) {
		ln, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return ln, err
		}
	}
}

// serve runs a mixer on a listener until a signal comes and all it has taken is
// answered.
func serve(cfg *Config, ln net.Listener, signals <-chan os.Signal) error {
	op, err := LoadOperator(cfg.operator)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.cores))))
	debug.SetMemoryLimit(int64(float64(cfg.memoryMB) * memoryShare * (1 << 20)))
	x, err := exchange.New(cfg.seed, cfg.settings)
	if err != nil {
		return err
	}
	leaves := (cfg.sockets - spareFiles) / leafShare
	b := upstream.New(upstream.Config{Exchange: x, Settings: cfg.settings, MaxConns: leaves})
	m := &mixer{cfg: cfg, x: x}
	if len(op.Members.Sources) == 0 {
		m.list = targets.New(targets.Config{Addr: cfg.discovery, Cells: cfg.settings.Router.Cells, Index: cfg.known.Version,
			Pushed: cfg.settings.Pushed, PollTimeout: cfg.look}, b)
		b.List = m.list
	} else {
		b.Stagger = op.Members.Stagger
		if m.members, err = newMembers(cfg, op, b); err != nil {
			return err
		}
		b.List = m.members
		x.Counters.Extra = m.members.Counters
		if err := m.members.apply(op); err != nil {
			return err
		}
		defer m.members.end()
	}
	if len(op.Levels.Names) > 0 {
		if err := x.SetLevels(op.Levels, op.levels()); err != nil {
			return err
		}
	}
	if op.Consul.RegisterAs != "" && len(op.Consul.Addrs) > 0 {
		c, err := consul.New(op.Consul, nil)
		if err != nil {
			return err
		}
		gone, out := make(chan struct{}), make(chan struct{})
		go func() { c.KeepRegistered(cfg.name, ln.Addr().String(), gone); close(out) }()
		m.leave = sync.OnceFunc(func() { close(gone); <-out })
		defer m.leave()
	}
	if op.File.Path != "" {
		m.host = hook.NewHost(op.Hooks, Engines(), cfg.settings.Router.Classes)
		x.SetHooks(m.host, op.Hooks.ForwardTags)
		if op.Hooks.Dir != "" {
			if err := m.host.Reload(op.Hooks.Dir); err != nil {
				return err
			}
		}
	}
	m.apply(op)
	if op.Segments.Feed != "" {
		if w := cfg.settings.Router.Width; w > 1 {
			return fmt.Errorf("[segments] feed: a shard is held by %d cells, and segments are held by one", w)
		}
		m.feed = segments.New(op.Segments, x)
		x.SetMapSource(m.feed, op.Segments.MaxParts)
		feeding, end := context.WithCancel(context.Background())
		fed := make(chan struct{})
		go func() { m.feed.Run(feeding); close(fed) }()
		defer func() { end(); <-fed }()
	}
	if op.Control.Socket != "" {
		c, err := control.Listen(op.Control.Socket, m.command)
		if err != nil {
			return err
		}
		defer c.Close()
	}
	classes := make(map[string]bool)
	for _, c := range cfg.settings.Router.Classes {
		classes[c.Name] = true
	}
	p := &platform.Protocol{Exchange: x, Shards: cfg.settings.Router.Shards, Classes: classes, Segments: m.feed != nil}
	f := downstream.New(downstream.Config{Exchange: x, Protocol: p, MaxClients: cfg.sockets - spareFiles - leaves,
		SoftLimit: cfg.sockets / keepShare, Limits: cfg.pace})
	if m.feed != nil { // segments are numbered as the map says
		p.Shards, p.Ready = 0, m.feed.HasMap
	}
	stop := make(chan struct{})
	if m.members == nil {
		b.UpdateList(cfg.known, cfg.addrs)
	} else {
		ready := p.Ready
		p.Members = m.members.page
		p.Ready = func() bool { return m.members.AnySourceAnswered() && (ready == nil || ready()) }
	}
	go x.Run(b, stop)
	go b.Run(stop)
	served := make(chan error, 1)
	go func() { served <- f.Serve(ln) }()
	log.Info("start", "name", cfg.name, "listen", ln.Addr(), "discovery", cfg.discovery, "known", len(cfg.known.Servers),
		"clients", cfg.sockets-spareFiles-leaves, "leaves", leaves)
	for _, x := range cfg.Traits() {
		log.Debug("trait", "setting", x.Setting, "told", x.Told, "so", x.So)
	}
	tick := time.NewTicker(countersTime)
	defer tick.Stop()
	for stopping := false; !stopping; {
		select {
		case <-tick.C:
			log.Info("counters", "", logs.Pairs(x.Counters.String()))
			log.Info("memory", memoryPairs()...)
		case err := <-served:
			return fmt.Errorf("the listener ended: %w", err)
		case s := <-signals:
			if s == syscall.SIGHUP {
				m.reload()
				continue
			}
			log.Info("stopping", "signal", s, "open", x.Open())
			stopping = true
			if m.leave != nil { // beside all else: nobody is to find it there any more
				go m.leave()
			}
		}
	}
	// A configuration that comes while the mixer stops counts too: queries are
	// still served, and drains are still to be learned.
	sleep := func(d time.Duration) {
		for end := time.After(d); ; {
			select {
			case s := <-signals:
				if s == syscall.SIGHUP {
					m.reload()
				}
			case <-end:
				return
			}
		}
	}
	f.MarkNotReady()
	since := time.Now()
	// Clients use the connections they have for as long as these stay open, and
	// may have no other mixer yet: closed at once, they had nowhere to ask. What is
	// taken in this time still has its whole deadline before SIGKILL.
	for time.Since(since) < cfg.stay && (f.Clients() > 0 || time.Since(since) < settleTime) {
		sleep(pollTime)
	}
	f.CloseAfterResponses()
	// New connections and queries are served until none has come for a while:
	// what the kernel has accepted is ours, whether or not we have. Probes of the
	// ready path do not count, or they would keep the mixer up for ever.
	for time.Since(since) < settleTime || x.Open() > 0 || !f.QuietFor(quietTime) {
		f.CloseIdle(lastChance)
		sleep(pollTime)
	}
	ln.Close()
	for f.CloseIdle(lastChance); f.Clients() > 0; f.CloseIdle(lastChance) {
		sleep(pollTime)
	}
	close(stop)
	if m.host != nil {
		m.host.Close()
	}
	log.Info("stopped", "", logs.Pairs(x.Counters.String()))
	return nil
}
