// Package virtual is the emulator's virtual driver: the proxies' own exchange and decisions,
// with emulated servers, clients, discovery and network, in one process on a discrete-event
// loop without sockets. Results must be deterministic: the package must not use the machine's
// clock for anything that a result shows, nor iterate over a map where the order matters. It
// must not make decisions for a proxy.
//
// The replacement for the proxy's sockets (link.go) follows internal/downstream and
// internal/upstream; docs/design/emulator.md lists where it does less.
package virtual

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/event"
	"saddleport/internal/lab/judge"
	"saddleport/internal/lab/model"
	"saddleport/internal/lab/record"
	"saddleport/internal/lab/scenario"
	"saddleport/internal/settings"
)

// Time limits of the proxy's connections, equal to those of internal/downstream and
// internal/upstream.
const (
	networkAllowance        = 30 * time.Millisecond
	networkAllowanceDivisor = 10
	idleFraction            = 0.9
	drainMargin             = 500 * time.Millisecond
)

const (
	judgeInterval = 5 * time.Second  // how often the judge discards finished queries
	judgeDelay    = 10 * time.Second // queries that ended longer ago are discarded
	overtime      = 30 * time.Second // time after the load and the longest client timeout by which everything must have finished
)

// epoch is the start of virtual time on the clock that the proxies see.
var epoch = time.Unix(1_900_000_000, 0).UTC()

// World is the true state of a run, for policies that may see it.
type World struct {
	Servers   []*model.Server
	Index     map[string]int
	Reachable func(proxy, server int) bool
	Now       func() time.Duration
	Work      map[string]*model.Work
}

// Decide creates the decider of a proxy for one incarnation of its process.
type Decide func(w *World, proxy, incarnation int, seed uint64, set choice.Settings) (exchange.Decider, error)

// ProxyDecider creates the production decider.
func ProxyDecider(_ *World, _, _ int, seed uint64, set choice.Settings) (exchange.Decider, error) {
	return choice.New(seed, set)
}

// Options configures a run.
type Options struct {
	Decide    Decide // nil: ProxyDecider
	Policy    string // name of the policy; empty: mixer
	KeepRows  bool   // keep the rows of requests, servers and seconds
	Progress  func(at, of time.Duration, events int64)
	Trace     func(at time.Duration, query, text string) // called for every query; nil: the text is not formatted
	Mutations Mutations
	MaxEvents int64 // bound on events; 0: event.Most
}

// Mutations breaks the rig or the proxies on purpose, to test that the judge detects
// violations. Each field breaks one rule.
type Mutations struct {
	WrapUpstream   func(proxy int, l exchange.Upstream, x *exchange.Exchange) exchange.Upstream // wraps the links of a proxy
	ReplaceValue   func(server, part string) string                                             // replaces a value in the answer to the client
	ReplaceFinal   func(f *exchange.Final) *exchange.Final                                      // replaces the answer; nil: no answer is given
	AnswerTwice    bool                                                                         // every answer is sent twice
	AnswerDelay    time.Duration                                                                // every answer is delayed by this
	IgnoreDrain    bool                                                                         // links keep sending to draining servers
	ChangeSettings func(*settings.Settings)                                                     // changes the proxies' settings
}

// world is the complete state of a run.
type world struct {
	World
	ctx             context.Context
	opt             Options
	plan            *scenario.Plan
	loop            *event.Loop
	net             *model.Network
	settings        settings.Settings
	sites           []int // by server
	proxies         []*proxy
	balancedProxies []int         // proxies that the load balancer sends queries to
	vanished        []int         // number of faults that keep a server's machine away
	lists           []*model.List // only [0] without [members]
	sources         []*source     // with [members]
	activeSources   []string      // names of the sources in use
	version         int64
	clients         *model.Clients
	judge           *judge.Judge
	recorder        *record.Recorder
	attemptsSent    map[string]int // by request, of unfinished requests
}

// sched adapts the event loop to the models.
type sched struct{ *event.Loop }

func (s sched) After(d time.Duration, f func()) model.Timer { return s.Loop.After(d, f) }

// Run runs a plan.
func Run(ctx context.Context, plan *scenario.Plan, opt Options) (*record.Run, error) {
	begun := time.Now()
	if opt.Decide == nil {
		opt.Decide = ProxyDecider
	}
	if opt.Policy == "" {
		opt.Policy = "mixer"
	}
	w, err := build(ctx, plan, opt)
	if err != nil {
		return nil, err
	}
	if err := w.play(); err != nil {
		return nil, err
	}
	run := w.recorder.Finish(w.judge.Judge(epoch.Add(plan.Window[0]), epoch.Add(plan.Window[1])))
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	run.Machine = record.Machine{Wall: time.Since(begun), Events: w.loop.Executed(), PeakMiB: int64(mem.Sys >> 20), Threads: 1}
	return run, nil
}

func build(ctx context.Context, plan *scenario.Plan, opt Options) (*world, error) {
	text, err := plan.ProxySettings()
	if err != nil {
		return nil, err
	}
	w := &world{ctx: ctx, opt: opt, plan: plan, loop: &event.Loop{MaxEvents: opt.MaxEvents}, net: plan.NewNetwork(), attemptsSent: make(map[string]int),
		recorder: record.New(plan, "virtual", opt.Policy, opt.KeepRows), vanished: make([]int, len(plan.Servers))}
	if w.settings, err = settings.Decode(settings.Flatten(gjson.ParseBytes(text))); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if opt.Mutations.ChangeSettings != nil {
		opt.Mutations.ChangeSettings(&w.settings)
	}
	var classes []judge.Class
	for _, c := range plan.Scenario.Classes {
		classes = append(classes, judge.Class{Name: c.Name, Unsafe: c.Effect != "free", Need: c.RequiredShare, Floor: c.MinShare})
	}
	w.judge = judge.New(classes, plan.Settings.DrainGrace+judge.Slack)
	w.judge.Allow(plan.Settings.AttemptCap, plan.Settings.ParallelAttempts)
	w.Index = make(map[string]int)
	w.Now, w.Work = w.loop.Now, plan.Work
	for i, spec := range plan.Servers {
		s := model.NewServer(sched{w.loop}, spec)
		w.Servers, w.sites = append(w.Servers, s), append(w.sites, w.net.Site(spec.Site))
		w.Index[spec.Name] = i
		s.OnOverload = func(s *model.Server) {
			w.judge.ColdServerOverloaded(s.Name, w.time())
			w.recordEvent("%s was pushed over while it was cold", s.Name)
		}
		s.OnDown = func(*model.Server) { w.serverDown(i) }
		s.OnUp = func(*model.Server) { w.serverUp(i) }
	}
	w.Reachable = func(proxy, server int) bool {
		return w.vanished[server] == 0 && w.net.Reachable(w.proxies[proxy].site, w.sites[server]) && w.net.Reachable(w.sites[server], w.proxies[proxy].site)
	}
	w.lists = plan.NewLists(func(int) model.Sched { return sched{w.loop} })
	if w.activeSources = plan.Members.Sources; w.hasSources() {
		w.buildSources()
	} else {
		w.lists[0].Publish, w.lists[0].BufferSilent = w.publishList, plan.Settings.PollInterval > 0
	}
	for n := range plan.Proxies.Count {
		p := &proxy{w: w, n: n, site: w.net.Site(plan.ProxySite(n))}
		w.proxies = append(w.proxies, p)
		if err := p.start(); err != nil {
			return nil, err
		}
		p.balanced = true
	}
	w.updateBalanced()
	w.clients = &model.Clients{Sched: sched{w.loop}, Classes: plan.Classes, Tenants: plan.NewTenants(), OverQuotaValue: plan.OverQuotaValue, Retry: plan.Retry(), Seed: plan.RunSeed, Length: plan.Length, SelectProxy: w.selectProxy, Send: w.sendQuery,
		Disconnect: w.clientLeaves, OnFinish: func(a *model.Request) {
			w.recorder.QueryDone(a, w.attemptsSent[a.ID])
			delete(w.attemptsSent, a.ID)
		}}
	return w, nil
}

func (w *world) time() time.Time { return epoch.Add(w.loop.Now()) }

// recordEvent adds an event to the record of the run.
func (w *world) recordEvent(format string, args ...any) {
	w.recorder.Event(w.loop.Now(), fmt.Sprintf(format, args...))
}

// play runs the load, and then continues until everything has finished.
func (w *world) play() error {
	plan := w.plan
	longest := time.Duration(0)
	for _, c := range plan.Classes {
		longest = max(longest, c.Timeout)
	}
	end := plan.Length + longest + overtime
	w.loop.Tick = func() error {
		if w.opt.Progress != nil {
			w.opt.Progress(min(w.loop.Now(), end), end, w.loop.Executed())
		}
		return w.ctx.Err()
	}
	for _, c := range plan.Changes {
		w.loop.Post(c.At, func() { w.applyChange(c) })
	}
	for at := judgeInterval; at < end; at += judgeInterval {
		w.loop.Post(at, func() {
			w.judge.Settle(w.time().Add(-judgeDelay), epoch.Add(plan.Window[0]), epoch.Add(plan.Window[1]))
		})
	}
	for s := 1; time.Duration(s)*time.Second <= plan.Length; s++ {
		w.loop.Post(time.Duration(s)*time.Second, func() {
			if w.opt.KeepRows {
				for _, v := range w.Servers {
					w.recorder.ServerSample(s-1, &v.Spec, v.TakeStats())
				}
			}
		})
	}
	w.clients.Begin()
	for at := time.Duration(0); at < end; {
		if err := w.ctx.Err(); err != nil {
			return err
		}
		if at = min(at+time.Second, end); at < plan.Length {
			at = plan.Length
		}
		if err := w.loop.Run(at); err != nil {
			return err
		}
		if at >= plan.Length && w.clients.InFlight == 0 {
			break
		}
	}
	// Messages that are still on their way to and from the servers take a few seconds.
	if err := w.loop.Run(w.loop.Now() + 2*time.Second); err != nil {
		return err
	}
	if n := w.clients.InFlight; n > 0 {
		w.recorder.Fault(fmt.Sprintf("%d asks were not over %v after the load", n, overtime+longest))
		for _, p := range w.proxies {
			for _, id := range sortedIDs(p.attempts) {
				p.attempts[id].judged.Detail = "no answer came"
				w.endAttempt(p.attempts[id], judge.Lost, model.Reply{Kind: model.Lost})
			}
		}
	}
	for _, p := range w.proxies {
		p.stop()
	}
	return nil
}

// applyChange starts or ends a fault.
func (w *world) applyChange(c model.Change) {
	switch {
	case c.Do == model.Cut:
		w.net.Cut(c.From, c.To, c.On)
		if c.Both {
			w.net.Cut(c.To, c.From, c.On)
		}
		w.recordEvent("%v %s to %s", c, w.net.Sites()[c.From], w.net.Sites()[c.To])
	case c.Do == model.KillProxy, c.Do == model.RestartProxy:
		w.recordEvent("%v %d", c, c.Target)
		p := w.proxies[c.Target]
		switch {
		case !c.On:
			p.restart()
		case c.Do == model.KillProxy:
			p.kill()
		default:
			p.drain()
		}
	case c.Do == model.SwitchSources:
		w.recordEvent("%v %s", c, strings.Join(c.SwitchTo, " "))
		w.reconfigure(c)
	case c.Target < 0 || model.ChangesEntry(c.Do):
		if c.Target >= 0 {
			w.recordEvent("%v %s", c, w.Servers[c.Target].Name)
		} else {
			w.recordEvent("%v", c)
		}
		for _, l := range w.lists {
			l.Apply(c)
		}
	default:
		s := w.Servers[c.Target]
		w.recordEvent("%v %s", c, s.Name)
		if c.Do == model.Vanish {
			if c.On {
				w.vanished[c.Target]++
			} else {
				w.vanished[c.Target]--
			}
		}
		s.Apply(c)
	}
}

// serverDown handles the end of a server's process.
func (w *world) serverDown(server int) {
	for _, l := range w.lists {
		l.Down(server)
	}
	for _, p := range w.proxies {
		if l := p.links[server]; l != nil {
			l.serverEnded()
		}
	}
}

// serverUp handles the start of a server's process.
func (w *world) serverUp(server int) {
	w.recordEvent("%s runs again", w.Servers[server].Name)
	w.judge.Restarted(w.Servers[server].Name, len(w.proxies))
	for _, l := range w.lists {
		l.Up(server)
	}
	for _, p := range w.proxies {
		if l := p.links[server]; l != nil {
			l.serverRestarted()
		}
	}
}

// ---- Discovery.

var states = map[model.Status]choice.State{model.Serving: choice.Ready, model.Draining: choice.Draining, model.Deleted: choice.Gone}

// row converts a list entry to the form that the decisions take.
func (w *world) row(e model.Entry) choice.Server {
	spec := &w.plan.Servers[e.Server]
	row := choice.Server{ID: spec.Name, Zone: spec.Site, Kind: spec.Group, Cell: spec.Cell, State: states[e.Status], Scale: 1}
	if e.Since >= 0 {
		row.UpSince = epoch.Add(e.Since).UnixMicro()
	}
	return row
}

// publishList sends changes of the list to the proxies that watch it.
func (w *world) publishList(changes []model.Entry) {
	w.version++
	for _, e := range changes {
		switch e.Status {
		case model.Draining:
			w.judge.DrainReported(w.plan.Servers[e.Server].Name, w.time())
		case model.Serving:
			w.judge.DrainReported(w.plan.Servers[e.Server].Name, time.Time{})
		}
	}
	rows := make([]choice.Server, 0, len(changes))
	for _, e := range changes {
		rows = append(rows, w.row(e))
	}
	for _, p := range w.proxies {
		if p.exchange == nil || !p.watches {
			continue
		}
		l := choice.List{Form: choice.Delta, Version: w.version, Servers: rows}
		look := w.plan.Settings.PollInterval
		if look == 0 {
			p.receiveListLater(l)
			continue
		}
		// The agent has the list from now on, which counts as notified; the proxy finds it when it
		// polls the agent.
		l.Since = look.Microseconds()
		incarnation := p.incarnation
		at := max(w.loop.Now()+time.Duration(p.pollDraw()*float64(look)), p.lastPoll)
		p.lastPoll = at
		w.loop.Post(at-w.loop.Now(), func() {
			if p.incarnation == incarnation && p.exchange != nil {
				p.applyList(l)
			}
		})
	}
}

// currentList returns discovery's current list.
func (w *world) currentList(form choice.Form) choice.List {
	l := choice.List{Form: form, Version: w.version}
	for _, e := range w.lists[0].Entries() {
		if e.Status != model.Deleted {
			l.Servers = append(l.Servers, w.row(e))
		}
	}
	return l
}

// ---- Clients.

// updateBalanced updates the proxies that the load balancer sends queries to.
func (w *world) updateBalanced() {
	w.balancedProxies = w.balancedProxies[:0]
	for _, p := range w.proxies {
		if p.balanced {
			w.balancedProxies = append(w.balancedProxies, p.n)
		}
	}
}

// selectProxy returns the proxy that the load balancer selects, or -1 if none is available.
func (w *world) selectProxy(draw uint64) int {
	if len(w.balancedProxies) == 0 {
		return -1
	}
	return w.balancedProxies[draw%uint64(len(w.balancedProxies))]
}

// localDelay returns the delay between a client and its proxy, which share a site.
func (w *world) localDelay(p *proxy) time.Duration {
	d, _ := w.net.Delay(p.site, p.site)
	return d
}

// clientAttempt is an attempt of a client at a proxy.
type clientAttempt struct {
	t           *model.Attempt
	q           *exchange.Query
	judged      *judge.Query
	proxy       *proxy
	incarnation int
	finished    bool
}

// sendQuery sends a client's attempt to its proxy.
func (w *world) sendQuery(t *model.Attempt) {
	p := w.proxies[t.Proxy]
	a := &clientAttempt{t: t, proxy: p}
	a.judged = &judge.Query{ID: t.ID, Class: t.Request.Class.Name, Due: epoch.Add(t.Request.Due), Sent: w.time(), Timeout: t.Timeout}
	for _, part := range t.Request.Parts {
		a.judged.Parts = append(a.judged.Parts, judge.Part{Shard: part.Shard, Weight: part.Weight})
	}
	w.judge.Sent(a.judged)
	p.attempts[t.ID] = a
	if w.opt.Trace != nil {
		w.opt.Trace(w.loop.Now(), t.Request.ID, fmt.Sprintf("client attempt %d of class %s goes to proxy %d, %d parts, %v left", t.N, t.Request.Class.Name, p.n, len(t.Request.Parts), t.Timeout))
	}
	w.loop.Post(w.localDelay(p), func() { p.receiveQuery(a) })
}

// clientLeaves closes a client's connection.
func (w *world) clientLeaves(t *model.Attempt) {
	p := w.proxies[t.Proxy]
	a := p.attempts[t.ID]
	if a == nil || a.finished {
		return
	}
	w.endAttempt(a, judge.ClientGone, model.Reply{Kind: model.Left})
	w.loop.Post(w.localDelay(p), func() {
		if p.exchange != nil && p.incarnation == a.incarnation && a.q != nil {
			p.exchange.ClientLeft(a.q)
		}
	})
}

// endAttempt ends an attempt at its client.
func (w *world) endAttempt(a *clientAttempt, outcome judge.Outcome, r model.Reply) {
	if a.finished {
		// The reset of a killed proxy's connection may cross its answer; that is not a second answer.
		if outcome != judge.ClientGone && outcome != judge.ProxyKilled && a.judged.Outcome != judge.ClientGone && a.judged.Outcome != judge.ProxyKilled {
			a.judged.ExtraAnswer = true
		}
		return
	}
	a.finished = true
	a.judged.Ended, a.judged.Outcome = w.time(), outcome
	if a.proxy.attempts[a.t.ID] == a {
		delete(a.proxy.attempts, a.t.ID)
	}
	w.judge.Ended(a.judged)
	if w.opt.Trace != nil {
		w.opt.Trace(w.loop.Now(), a.t.Request.ID, fmt.Sprintf("client attempt %d ends: %v whole=%v share=%.2f retry-after=%v", a.t.N, r.Kind, r.Complete, r.Share, r.RetryAfter))
	}
	w.clients.Reply(a.t, r)
}

// deliverFinal sends a proxy's answer to the client.
func (w *world) deliverFinal(a *clientAttempt, f exchange.Final) {
	if change := w.opt.Mutations.ReplaceFinal; change != nil {
		g := change(&f)
		if g == nil {
			return
		}
		f = *g
	}
	r := model.Reply{RetryAfter: f.RetryAfter}
	outcome := judge.Failed
	switch f.Ending {
	case exchange.Answered:
		outcome, r.Kind, r.Complete = judge.Answered, model.Answered, f.Complete
		for _, h := range f.Hits {
			if i := slices.IndexFunc(a.t.Request.Parts, func(part model.PartRequest) bool { return part.Shard == h.Shard }); i >= 0 {
				r.Share += a.t.Request.Parts[i].Weight
			}
		}
	case exchange.Refused:
		outcome, r.Kind = judge.Refused, model.Refused
	case exchange.ClientGone:
		return
	default:
		r.Kind = model.Failed
	}
	p, copies := a.proxy, 1
	if w.opt.Mutations.AnswerTwice {
		copies = 2
	}
	for range copies {
		w.loop.Post(w.localDelay(p)+w.opt.Mutations.AnswerDelay, func() {
			if !a.finished {
				a.judged.Complete = r.Complete
				for _, h := range f.Hits {
					value := h.Value
					if change := w.opt.Mutations.ReplaceValue; change != nil {
						value = change("", value)
					}
					a.judged.Hits = append(a.judged.Hits, judge.Hit{Shard: h.Shard, Value: value})
				}
			}
			w.endAttempt(a, outcome, r)
		})
	}
}
