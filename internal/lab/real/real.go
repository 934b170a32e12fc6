// Package real is the emulator's real drive: it runs the proxies as child processes on
// loopback addresses and the models of the virtual drive behind sockets, in real time.
// It owns the processes and sockets. It must never treat a scenario differently from
// the virtual drive, nor judge by what a proxy reports: the verdict uses only what
// clients, servers and discovery observed.
package real

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"saddleport/internal/lab/child"
	"saddleport/internal/lab/client"
	"saddleport/internal/lab/disco"
	"saddleport/internal/lab/judge"
	"saddleport/internal/lab/model"
	"saddleport/internal/lab/record"
	"saddleport/internal/lab/scenario"
)

// Limits on a scenario for one machine.
const (
	maxServers  = 256
	maxProxies  = 8
	maxRate     = 4000 // queries a second
	exitTimeout = 30 * time.Second
)

// Options control how a plan is run.
type Options struct {
	Program  string // path of the proxy's program
	Logs     string // folder for the proxies' logs; empty: logs are not kept
	Operator string // operator file for the proxies; empty: none
	Progress func(Sample)
}

// Sample is the state of a run at one time.
type Sample struct {
	At, Of   time.Duration
	Open     int     // client queries that have not ended
	Answered float64 // per second since the last sample, as are the next three
	Refused  float64
	Failed   float64
	Parts    float64
	Down     int // servers that are down
	Mixers   int // proxies that run
	RSS      int64
}

type run struct {
	plan          *scenario.Plan
	opt           Options
	dir           string
	begin         time.Time
	j             *judge.Judge
	hosts         []*host
	standIns      []*sources // one for each proxy, since a server's addresses differ between proxies
	activeSources []string   // names of the active sources, with [members]
	vanished      []atomic.Int32

	netMu sync.Mutex
	net   *model.Network

	listMu sync.Mutex
	lists  []*model.List // one for each source

	clientMu    sync.Mutex
	clients     *model.Clients
	cancels     map[*model.Attempt]context.CancelFunc
	httpClients *client.Clients
	openQueries sync.WaitGroup

	recMu           sync.Mutex
	rec             *record.Recorder
	attemptsByQuery map[string]int
	keysByQuery     map[string]string // object keys of open queries that have one, by query ID
	outcomes        [5]int            // number of ended queries by model.Kind
	partCount       int

	proxyMu  sync.Mutex
	proxies  []*proxy
	maxRSS   int64
	maxFiles int
	cpu      time.Duration
	stopped  bool
}

type proxy struct {
	n           int
	incarnation int
	listen      string
	proc        *child.Proxy // nil: not running
	inRotation  bool
	endPlanned  bool // the script or the end of the run stops it
}

// Run runs a plan and returns its results.
func Run(ctx context.Context, p *scenario.Plan, opt Options) (*record.Run, error) {
	switch {
	case len(p.Servers) > maxServers:
		return nil, fmt.Errorf("%d servers: the real drive supports at most %d; use the virtual drive", len(p.Servers), maxServers)
	case p.Proxies.Count > maxProxies:
		return nil, fmt.Errorf("%d mixers: the real drive supports at most %d; use the virtual drive", p.Proxies.Count, maxProxies)
	}
	rate := 0.0
	for _, c := range p.Classes {
		rate += c.Arrivals.Rate * c.Arrivals.Curve.Max()
	}
	if rate > maxRate {
		return nil, fmt.Errorf("%.0f queries a second: the real drive supports at most %d; use the virtual drive", rate, maxRate)
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &run{plan: p, opt: opt, dir: dir, net: p.NewNetwork(), vanished: make([]atomic.Int32, len(p.Servers)), attemptsByQuery: make(map[string]int), keysByQuery: make(map[string]string),
		cancels: make(map[*model.Attempt]context.CancelFunc), rec: record.New(p, "real", "mixer", true)}
	if opt.Logs == "" {
		r.opt.Logs = dir
	} else if err := os.MkdirAll(opt.Logs, 0o755); err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	return r.playPlan(ctx)
}

func (r *run) setUp() error {
	p := r.plan
	var classes []judge.Class
	for _, c := range p.Scenario.Classes {
		classes = append(classes, judge.Class{Name: c.Name, Unsafe: c.Effect != "free", Need: c.RequiredShare, Floor: c.MinShare})
	}
	r.j = judge.New(classes, p.Settings.DrainGrace+judge.Slack)
	r.j.Allow(p.Settings.AttemptCap, p.Settings.ParallelAttempts)
	r.begin = time.Now()
	for i, spec := range p.Servers {
		h := &host{r: r, index: i, name: spec.Name, site: r.net.Site(spec.Site), work: make(map[string]*model.Work)}
		for name, w := range p.Work {
			own := *w
			h.work[name] = &own
		}
		h.server = model.NewServer(clock{r.begin, &h.mu}, spec)
		h.server.OnOverload = func(s *model.Server) {
			r.j.ColdServerOverloaded(s.Name, time.Now())
			r.recordEvent("%s was pushed over while it was cold", s.Name)
		}
		h.server.OnDown = func(*model.Server) { h.serverDown() }
		h.server.OnUp = func(*model.Server) { h.serverUp() }
		for n := range p.Proxies.Count {
			d := &endpoint{h: h, proxy: n, site: r.net.Site(p.ProxySite(n)), conns: make(map[*conn]bool)}
			h.endpoints = append(h.endpoints, d)
			if err := d.listen(); err != nil {
				return err
			}
		}
		r.hosts = append(r.hosts, h)
	}
	r.lists = p.NewLists(func(int) model.Sched { return clock{r.begin, &r.listMu} })
	r.activeSources = p.Members.Sources
	if err := r.startSources(); err != nil {
		return err
	}
	for n := range p.Proxies.Count {
		port, err := child.FreePort()
		if err != nil {
			return err
		}
		m := &proxy{n: n, listen: fmt.Sprintf("127.0.0.1:%d", port)}
		r.proxies = append(r.proxies, m)
		if err := r.start(m); err != nil {
			return err
		}
		m.inRotation = true
	}
	r.httpClients = client.New(client.Config{Judge: r.j, MaxIdle: p.Clients.Conns, Seed: p.RunSeed})
	return nil
}

var discoveryStatus = map[model.Status]string{model.Serving: "SERVING", model.Draining: "DRAINING", model.Deleted: "DELETED"}

func (r *run) discoveryEntry(proxy int, e model.Entry) disco.Entry {
	spec := &r.plan.Servers[e.Server]
	out := disco.Entry{Name: spec.Name, Address: r.hosts[e.Server].endpoints[proxy].addr, Zone: spec.Site, Type: spec.Group, Group: spec.Cell,
		Status: discoveryStatus[e.Status], Weight: 1}
	if e.Since >= 0 {
		out.Since = r.begin.Add(e.Since).UnixMilli()
	}
	return out
}

func (r *run) start(m *proxy) error {
	p := r.plan
	set, err := p.ProxySettings()
	if err != nil {
		return err
	}
	m.incarnation++
	config, err := json.Marshal(map[string]any{"name": fmt.Sprintf("lab%d", m.n), "listen": m.listen, "discovery": r.standIns[m.n].disco.Addr,
		"seed":   fmt.Sprintf("%016x", p.ProxySeed(m.n, m.incarnation)),
		"limits": map[string]any{"cores": p.Proxies.Cores, "memory_mb": int64(p.Proxies.Memory >> 20), "sockets": p.Proxies.Sockets},
		"known":  r.standIns[m.n].disco.Snapshot(), "settings": json.RawMessage(set)})
	if err != nil {
		return err
	}
	file := filepath.Join(r.dir, fmt.Sprintf("config-%d.json", m.n))
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return err
	}
	args := []string{"serve", "--config", file}
	operator := r.opt.Operator
	if r.hasSources() {
		if operator, err = r.writeOperatorFile(m.n, r.activeSources); err != nil {
			return err
		}
	}
	if operator != "" {
		args = append(args, "--operator", operator)
	}
	proc, err := child.Start(r.opt.Program, m.listen, filepath.Join(r.opt.Logs, fmt.Sprintf("mixer-%d.log", m.n)), nil, args...)
	if err != nil {
		return err
	}
	r.proxyMu.Lock()
	m.proc, m.endPlanned = proc, false
	r.proxyMu.Unlock()
	return nil
}

func (r *run) recordFault(format string, a ...any) {
	r.recMu.Lock()
	defer r.recMu.Unlock()
	r.rec.Fault(fmt.Sprintf(format, a...))
}

func (r *run) recordEvent(format string, a ...any) {
	r.recMu.Lock()
	defer r.recMu.Unlock()
	r.rec.Event(time.Since(r.begin), fmt.Sprintf(format, a...))
}

func (r *run) countPart(query string) {
	r.recMu.Lock()
	defer r.recMu.Unlock()
	r.attemptsByQuery[query]++
	r.partCount++
}

// partKey returns the object key of a part: its query's key with its shard. It is
// empty if the query has no key or has ended.
func (r *run) partKey(query, shard string) string {
	r.recMu.Lock()
	defer r.recMu.Unlock()
	if k := r.keysByQuery[query]; k != "" {
		return k + "." + shard
	}
	return ""
}

func (r *run) networkDelay(from, to int) (time.Duration, bool) {
	r.netMu.Lock()
	defer r.netMu.Unlock()
	return r.net.Delay(from, to)
}

// ---- Servers. The model calls both functions under the host's lock.

func (h *host) serverDown() {
	for _, d := range h.endpoints {
		if d.undoSilence == nil {
			d.stopListening(true)
		}
	}
	go h.r.forEachList(func(l *model.List) { l.Down(h.index) })
}

func (h *host) serverUp() {
	h.r.recordEvent("%s runs again", h.name)
	h.r.j.Restarted(h.name, h.r.plan.Proxies.Count)
	for _, d := range h.endpoints {
		if d.undoSilence == nil {
			if err := d.listen(); err != nil {
				h.r.recordFault("%s did not listen again: %v", h.name, err)
			}
		}
	}
	go h.r.forEachList(func(l *model.List) { l.Up(h.index) })
}

func (r *run) forEachList(f func(*model.List)) {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	for _, l := range r.lists {
		f(l)
	}
}

// ---- The run.

func (r *run) playPlan(ctx context.Context) (*record.Run, error) {
	p := r.plan
	// Restart the models' clocks: the start-up time of the proxies is not part of the run.
	r.begin = time.Now()
	for _, h := range r.hosts {
		h.mu.Lock()
		spec := h.server.Spec
		s := model.NewServer(clock{r.begin, &h.mu}, spec)
		s.OnOverload, s.OnDown, s.OnUp = h.server.OnOverload, h.server.OnDown, h.server.OnUp
		h.server = s
		h.mu.Unlock()
	}
	r.listMu.Lock()
	for _, l := range r.lists {
		l.Sched = clock{r.begin, &r.listMu}
	}
	r.listMu.Unlock()
	longest := time.Duration(0)
	for _, c := range p.Classes {
		longest = max(longest, c.Timeout)
	}
	r.clients = &model.Clients{Sched: clock{r.begin, &r.clientMu}, Classes: p.Classes, Tenants: p.NewTenants(), OverQuotaValue: p.OverQuotaValue, Retry: p.Retry(), Seed: p.RunSeed, Length: p.Length, SelectProxy: r.pickProxy,
		Send: r.sendQuery, Disconnect: r.cancelQuery, OnFinish: func(a *model.Request) {
			r.recMu.Lock()
			defer r.recMu.Unlock()
			r.rec.QueryDone(a, r.attemptsByQuery[a.ID])
			r.outcomes[a.Outcome.Kind]++
			delete(r.attemptsByQuery, a.ID)
			delete(r.keysByQuery, a.ID)
		}}
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Add(2)
	go func() { defer others.Done(); r.runScript(stop) }()
	go func() { defer others.Done(); r.sampleLoop(stop) }()
	r.clientMu.Lock()
	r.clients.Begin()
	r.clientMu.Unlock()
	end := p.Length + longest + exitTimeout
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	var err error
	for err == nil {
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-tick.C:
		}
		r.clientMu.Lock()
		open := r.clients.InFlight
		r.clientMu.Unlock()
		at := time.Since(r.begin)
		if at >= p.Length && open == 0 {
			break
		}
		if at >= end {
			r.recordFault("%d queries had not ended %v after the load", open, longest+exitTimeout)
			break
		}
	}
	wall := time.Since(r.begin)
	close(stop)
	others.Wait()
	if err != nil {
		return nil, err
	}
	r.openQueries.Wait()
	if r.hasSources() {
		r.recordMembers()
	}
	if n := r.httpClients.Close(); n > 0 {
		r.recordFault("%d unsolicited answers arrived", n)
	}
	r.stopProxies()
	r.recMu.Lock()
	defer r.recMu.Unlock()
	run := r.rec.Finish(r.j.Judge(r.begin.Add(p.Window[0]), r.begin.Add(p.Window[1])))
	run.Machine = record.Machine{Wall: wall, PeakMiB: r.maxRSS >> 20, Files: r.maxFiles, Cores: r.cpu.Seconds() / wall.Seconds(), Threads: runtime.GOMAXPROCS(0)}
	return run, nil
}

// runScript starts and ends the faults when they are due.
func (r *run) runScript(stop chan struct{}) {
	for _, c := range r.plan.Changes {
		select {
		case <-stop:
			return
		case <-time.After(c.At - time.Since(r.begin)):
		}
		r.applyChange(c)
	}
}

func (r *run) applyChange(c model.Change) {
	switch {
	case c.Do == model.Cut:
		r.recordEvent("%v %s to %s", c, r.net.Sites()[c.From], r.net.Sites()[c.To])
		r.netMu.Lock()
		r.net.Cut(c.From, c.To, c.On)
		if c.Both {
			r.net.Cut(c.To, c.From, c.On)
		}
		open := func(a, b int) bool { return r.net.Reachable(a, b) && r.net.Reachable(b, a) }
		cut := make(map[[2]int]bool)
		for _, h := range r.hosts {
			for _, d := range h.endpoints {
				cut[[2]int{d.site, h.site}] = !open(d.site, h.site)
			}
		}
		r.netMu.Unlock()
		for _, h := range r.hosts {
			h.mu.Lock()
			for _, d := range h.endpoints {
				if d.networkCut = cut[[2]int{d.site, h.site}]; d.networkCut != (d.undoSilence != nil) {
					if err := d.applyNetworkState(); err != nil {
						r.recordFault("cutting or restoring the network to %s: %v", h.name, err)
					}
				}
			}
			h.mu.Unlock()
		}
	case c.Do == model.KillProxy, c.Do == model.RestartProxy:
		r.recordEvent("%v %d", c, c.Target)
		r.changeProxy(c)
	case c.Do == model.SwitchSources:
		r.recordEvent("%v %s", c, strings.Join(c.SwitchTo, " "))
		r.switchSources(c)
	case c.Target < 0 || model.ChangesEntry(c.Do):
		if c.Target >= 0 {
			r.recordEvent("%v %s", c, r.hosts[c.Target].name)
		} else {
			r.recordEvent("%v", c)
		}
		r.forEachList(func(l *model.List) { l.Apply(c) })
	default:
		h := r.hosts[c.Target]
		r.recordEvent("%v %s", c, h.name)
		h.mu.Lock()
		defer h.mu.Unlock()
		if c.Do == model.Vanish {
			step := int32(1)
			if !c.On {
				step = -1
			}
			h.vanishCount += int(step)
			r.vanished[h.index].Add(step)
			if c.On {
				h.applyNetworkState()
			}
		}
		h.server.Apply(c)
		if c.Do == model.Vanish && !c.On {
			h.applyNetworkState()
		}
	}
}

// applyNetworkState applies the faults in force to all endpoints. The caller holds
// host.mu.
func (h *host) applyNetworkState() {
	for _, d := range h.endpoints {
		if err := d.applyNetworkState(); err != nil {
			h.r.recordFault("making %s vanish or return: %v", h.name, err)
		}
	}
}

// changeProxy stops a proxy's process, or starts it again.
func (r *run) changeProxy(c model.Change) {
	m := r.proxies[c.Target]
	if c.On {
		r.proxyMu.Lock()
		proc := m.proc
		m.proc, m.endPlanned = nil, true
		if c.Do == model.RestartProxy {
			m.inRotation = false
		}
		r.proxyMu.Unlock()
		if proc == nil {
			return
		}
		if c.Do == model.RestartProxy {
			proc.Signal(syscall.SIGTERM)
			go func() {
				if err := proc.Wait(exitTimeout); err != nil {
					r.recordFault("%v", err)
				}
				r.addCPU(proc)
			}()
			return
		}
		go func() { proc.Kill(); r.addCPU(proc) }()
		time.AfterFunc(r.plan.Proxies.DetectDelay, func() {
			r.proxyMu.Lock()
			defer r.proxyMu.Unlock()
			if m.proc == nil {
				m.inRotation = false
			}
		})
		return
	}
	go func() {
		r.proxyMu.Lock()
		stopped, runs := r.stopped, m.proc != nil
		r.proxyMu.Unlock()
		if stopped || runs {
			return
		}
		if err := r.start(m); err != nil {
			r.recordFault("mixer %d did not start again: %v", m.n, err)
			return
		}
		r.proxyMu.Lock()
		m.inRotation = true
		r.proxyMu.Unlock()
	}()
}

func (r *run) addCPU(proc *child.Proxy) {
	if s := proc.Cmd.ProcessState; s != nil {
		r.proxyMu.Lock()
		r.cpu += s.UserTime() + s.SystemTime()
		r.proxyMu.Unlock()
	}
}

// sampleLoop samples servers and proxies every second.
func (r *run) sampleLoop(stop chan struct{}) {
	var prevOutcomes [5]int
	prevParts, prevAt := 0, r.begin
	for s := 1; ; s++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(s)*time.Second - time.Since(r.begin)):
		}
		down := 0
		for _, h := range r.hosts {
			h.mu.Lock()
			st := h.server.TakeStats()
			h.mu.Unlock()
			if !st.Up {
				down++
			}
			if time.Duration(s)*time.Second <= r.plan.Length {
				r.recMu.Lock()
				r.rec.ServerSample(s-1, &h.server.Spec, st)
				r.recMu.Unlock()
			}
		}
		up, rss := 0, int64(0)
		r.proxyMu.Lock()
		for _, m := range r.proxies {
			if m.proc == nil {
				continue
			}
			select {
			case err := <-m.proc.Exited:
				m.proc.Exited <- err
				if !m.endPlanned {
					m.endPlanned = true
					go r.recordFault("mixer %d exited unexpectedly: %v\n%s", m.n, err, child.Tail(m.proc.Log))
				}
				continue
			default:
			}
			up++
			bytes, files := child.ResourceUsage(m.proc.Cmd.Process.Pid)
			rss = max(rss, int64(bytes))
			r.maxFiles = max(r.maxFiles, files)
		}
		r.maxRSS = max(r.maxRSS, rss)
		r.proxyMu.Unlock()
		if r.opt.Progress != nil {
			r.clientMu.Lock()
			open := r.clients.InFlight
			r.clientMu.Unlock()
			r.recMu.Lock()
			kinds, parts := r.outcomes, r.partCount
			r.recMu.Unlock()
			span := time.Since(prevAt).Seconds()
			rate := func(k model.Kind) float64 { return float64(kinds[k]-prevOutcomes[k]) / span }
			r.opt.Progress(Sample{At: time.Since(r.begin), Of: r.plan.Length, Open: open, Mixers: up, RSS: rss, Down: down, Answered: rate(model.Answered),
				Refused: rate(model.Refused), Failed: rate(model.Failed) + rate(model.Lost), Parts: float64(parts-prevParts) / span})
			prevOutcomes, prevParts, prevAt = kinds, parts, time.Now()
		}
	}
}

// ---- Clients. The model calls pickProxy, sendQuery and cancelQuery under clientMu.

func (r *run) pickProxy(random uint64) int {
	r.proxyMu.Lock()
	defer r.proxyMu.Unlock()
	var up []int
	for _, m := range r.proxies {
		if m.inRotation {
			up = append(up, m.n)
		}
	}
	if len(up) == 0 {
		return -1
	}
	return up[random%uint64(len(up))]
}

func (r *run) sendQuery(t *model.Attempt) {
	q := &judge.Query{ID: t.ID, Class: t.Request.Class.Name, Due: r.begin.Add(t.Request.Due), Timeout: t.Timeout}
	for _, p := range t.Request.Parts {
		q.Parts = append(q.Parts, judge.Part{Shard: p.Shard, Weight: p.Weight})
	}
	r.j.Sent(q)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancels[t] = cancel
	if t.Request.Key != "" {
		r.recMu.Lock()
		r.keysByQuery[t.Request.ID] = t.Request.Key
		r.recMu.Unlock()
	}
	m := r.proxies[t.Proxy]
	r.openQueries.Add(1)
	go func() {
		defer r.openQueries.Done()
		defer cancel()
		after := r.httpClients.Do(ctx, client.Request{Addr: m.listen, Text: q.Class, Retry: t.IsRetry, Tenant: t.Request.Tenant, Key: t.Request.Key}, q)
		reply := model.Reply{RetryAfter: after, Complete: q.Complete}
		switch q.Outcome {
		case judge.Answered:
			reply.Kind = model.Answered
			for _, h := range q.Hits {
				if i := slices.IndexFunc(q.Parts, func(p judge.Part) bool { return p.Shard == h.Shard }); i >= 0 {
					reply.Share += q.Parts[i].Weight
				}
			}
		case judge.Refused:
			reply.Kind = model.Refused
		case judge.ClientGone:
			reply.Kind = model.Left
		case judge.Lost:
			reply.Kind = model.Lost
			r.proxyMu.Lock()
			if m.endPlanned || m.proc == nil { // stopped by the script
				q.Outcome = judge.ProxyKilled
			}
			r.proxyMu.Unlock()
		default:
			reply.Kind = model.Failed
		}
		r.j.Ended(q)
		r.clientMu.Lock()
		delete(r.cancels, t)
		r.clients.Reply(t, reply)
		r.clientMu.Unlock()
	}()
}

func (r *run) cancelQuery(t *model.Attempt) {
	if cancel := r.cancels[t]; cancel != nil {
		cancel()
	}
}

// ---- The end.

// stopProxies stops the proxies and checks how they exited.
func (r *run) stopProxies() {
	r.proxyMu.Lock()
	r.stopped = true
	var procs []*child.Proxy
	for _, m := range r.proxies {
		if m.proc != nil {
			m.endPlanned = true
			procs = append(procs, m.proc)
		}
	}
	r.proxyMu.Unlock()
	for _, p := range procs {
		p.Signal(syscall.SIGTERM)
	}
	for _, p := range procs {
		if err := p.Wait(exitTimeout); err != nil {
			r.recordFault("%v", err)
		}
		r.addCPU(p)
	}
}

func (r *run) close() {
	r.proxyMu.Lock()
	r.stopped = true
	var procs []*child.Proxy
	for _, m := range r.proxies {
		if m.proc != nil {
			procs = append(procs, m.proc)
		}
	}
	r.proxyMu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	for _, s := range r.standIns {
		if s.disco != nil {
			s.disco.Close()
		}
		if s.consul != nil {
			s.consul.Close()
		}
		if s.dns != nil {
			s.dns.Close()
		}
	}
	for _, h := range r.hosts {
		h.close()
	}
}
