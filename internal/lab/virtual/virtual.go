// Package virtual is the emulator's virtual drive: the mixers' own exchange and
// decisions, emulated servers, clients, discovery and network in one process, on a
// discrete-event loop without sockets. It owns how these meet. It must never read
// the machine's clock for anything that a result shows, walk a map where the order
// could be seen, or decide anything for a mixer.
//
// What stands in for the mixer's sockets (link.go) follows internal/downstream and
// internal/upstream: where it does less, docs/design/emulator.md says so.
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

// What the mixer's own sides do with time: the figures of internal/downstream and
// internal/upstream.
const (
	unseen      = 30 * time.Millisecond
	unseenShare = 10
	idleShare   = 0.9
	drainMargin = 500 * time.Millisecond
	connsEach   = 4
)

const (
	settleEvery = 5 * time.Second // the judge lets go of what is over
	linger      = 10 * time.Second
	overtime    = 30 * time.Second // after the load and the longest patience, until all must be over
	goneSoon    = time.Second      // a killed mixer's connections are reset so soon
)

// epoch is when virtual time begins, on the clock that the mixers see.
var epoch = time.Unix(1_900_000_000, 0).UTC()

// World is a run's true state, for policies that see it.
type World struct {
	Servers []*model.Server
	Index   map[string]int
	Reaches func(mixer, server int) bool
	Now     func() time.Duration
	Work    map[string]*model.Work
}

// Decide makes what decides for a mixer in its life of that number.
type Decide func(w *World, mixer, life int, seed uint64, set choice.Settings) (exchange.Decider, error)

// Mixer is the module that serves.
func Mixer(_ *World, _, _ int, seed uint64, set choice.Settings) (exchange.Decider, error) {
	return choice.New(seed, set)
}

// Options are how a plan is played.
type Options struct {
	Decide   Decide // nil: Mixer
	Policy   string // its name; empty: mixer
	Keep     bool   // the rows of asks, servers and seconds
	Progress func(at, of time.Duration, events int64)
	Trace    func(at time.Duration, query, text string) // of every query; the text is made only where it is set
	Sabotage Sabotage
	Most     int64 // events; 0: event.Most
}

// Sabotage breaks the rig or the mixers on purpose: a judge that can't fail judges
// nothing. Each field that is set breaks one rule.
type Sabotage struct {
	Leaves   func(mixer int, l exchange.Upstream, x *exchange.Exchange) exchange.Upstream // between the exchange and the links
	Value    func(server, part string) string                                             // what the client is told in a value's place
	Final    func(f *exchange.Final) *exchange.Final                                      // the answer; nil: none is given
	Twice    bool                                                                         // every answer is given twice
	Delay    time.Duration                                                                // every answer is held back so long
	Undrain  bool                                                                         // links go on though the list says that a server drains
	Settings func(*settings.Settings)                                                     // what the mixers are told
}

type world struct {
	World
	ctx     context.Context
	opt     Options
	plan    *scenario.Plan
	loop    *event.Loop
	net     *model.Network
	set     settings.Settings
	sites   []int // of the servers
	mixers  []*mixer
	fronts  []int         // mixers that the front deals queries to
	vanish  []int         // faults that keep a server's machine away
	lists   []*model.List // [0] alone without [members]
	sources []*source     // with [members]
	inForce []string      // of these
	version int64
	clients *model.Clients
	j       *judge.Judge
	rec     *record.Recorder
	sent    map[string]int // attempts of an ask that is not over
}

// sched is the loop as models know it.
type sched struct{ *event.Loop }

func (s sched) After(d time.Duration, f func()) model.Timer { return s.Loop.After(d, f) }

// Run plays a plan.
func Run(ctx context.Context, p *scenario.Plan, opt Options) (*record.Run, error) {
	begun := time.Now()
	if opt.Decide == nil {
		opt.Decide = Mixer
	}
	if opt.Policy == "" {
		opt.Policy = "mixer"
	}
	w, err := build(ctx, p, opt)
	if err != nil {
		return nil, err
	}
	if err := w.play(); err != nil {
		return nil, err
	}
	run := w.rec.Finish(w.j.Judge(epoch.Add(p.Window[0]), epoch.Add(p.Window[1])))
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	run.Machine = record.Machine{Wall: time.Since(begun), Events: w.loop.Done(), PeakMiB: int64(mem.Sys >> 20), Threads: 1}
	return run, nil
}

func build(ctx context.Context, p *scenario.Plan, opt Options) (*world, error) {
	text, err := p.MixerSettings()
	if err != nil {
		return nil, err
	}
	w := &world{ctx: ctx, opt: opt, plan: p, loop: &event.Loop{Most: opt.Most}, net: p.NewNetwork(), sent: make(map[string]int),
		rec: record.New(p, "virtual", opt.Policy, opt.Keep), vanish: make([]int, len(p.Servers))}
	if w.set, err = settings.Decode(settings.Flatten(gjson.ParseBytes(text))); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if opt.Sabotage.Settings != nil {
		opt.Sabotage.Settings(&w.set)
	}
	var classes []judge.Class
	for _, c := range p.Scenario.Classes {
		classes = append(classes, judge.Class{Name: c.Name, Unsafe: c.Effect != "free", Need: c.Need, Floor: c.Floor})
	}
	w.j = judge.New(classes, p.Settings.Grace+judge.Slack)
	w.j.Allow(p.Settings.Cap, p.Settings.Parallel)
	w.Index = make(map[string]int)
	w.Now, w.Work = w.loop.Now, p.Work
	for i, spec := range p.Servers {
		s := model.NewServer(sched{w.loop}, spec)
		w.Servers, w.sites = append(w.Servers, s), append(w.sites, w.net.Site(spec.Site))
		w.Index[spec.Name] = i
		s.Fell = func(s *model.Server) {
			w.j.ColdServerOverloaded(s.Name, w.time())
			w.note("%s was pushed over while it was cold", s.Name)
		}
		s.Down = func(*model.Server) { w.down(i) }
		s.Up = func(*model.Server) { w.up(i) }
	}
	w.Reaches = func(mixer, server int) bool {
		return w.vanish[server] == 0 && w.net.Open(w.mixers[mixer].site, w.sites[server]) && w.net.Open(w.sites[server], w.mixers[mixer].site)
	}
	w.lists = p.NewLists(func(int) model.Sched { return sched{w.loop} })
	if w.inForce = p.Members.Sources; w.sourcesOn() {
		w.buildSources()
	} else {
		w.lists[0].Tell, w.lists[0].Hold = w.tell, p.Settings.Look > 0
	}
	for n := range p.Mixers.Count {
		m := &mixer{w: w, n: n, site: w.net.Site(p.MixerSite(n))}
		w.mixers = append(w.mixers, m)
		if err := m.start(); err != nil {
			return nil, err
		}
		m.fronted = true
	}
	w.front()
	w.clients = &model.Clients{Sched: sched{w.loop}, Classes: p.Classes, Tenants: p.NewTenants(), OverWorth: p.Over, Retry: p.Retry(), Seed: p.Draw, Length: p.Length, Pick: w.pick, Send: w.send,
		Leave: w.leave, Over: func(a *model.Ask) {
			w.rec.QueryDone(a, w.sent[a.ID])
			delete(w.sent, a.ID)
		}}
	return w, nil
}

func (w *world) time() time.Time { return epoch.Add(w.loop.Now()) }

func (w *world) note(format string, args ...any) {
	w.rec.Event(w.loop.Now(), fmt.Sprintf(format, args...))
}

// play lets the load run, and then on until all is over.
func (w *world) play() error {
	p := w.plan
	longest := time.Duration(0)
	for _, c := range p.Classes {
		longest = max(longest, c.Patience)
	}
	end := p.Length + longest + overtime
	w.loop.Tick = func() error {
		if w.opt.Progress != nil {
			w.opt.Progress(min(w.loop.Now(), end), end, w.loop.Done())
		}
		return w.ctx.Err()
	}
	for _, c := range p.Changes {
		w.loop.Post(c.At, func() { w.change(c) })
	}
	for at := settleEvery; at < end; at += settleEvery {
		w.loop.Post(at, func() {
			w.j.Settle(w.time().Add(-linger), epoch.Add(p.Window[0]), epoch.Add(p.Window[1]))
		})
	}
	for s := 1; time.Duration(s)*time.Second <= p.Length; s++ {
		w.loop.Post(time.Duration(s)*time.Second, func() {
			if w.opt.Keep {
				for _, v := range w.Servers {
					w.rec.ServerSample(s-1, &v.Spec, v.Look())
				}
			}
		})
	}
	w.clients.Begin()
	for at := time.Duration(0); at < end; {
		if err := w.ctx.Err(); err != nil {
			return err
		}
		if at = min(at+time.Second, end); at < p.Length {
			at = p.Length
		}
		if err := w.loop.Run(at); err != nil {
			return err
		}
		if at >= p.Length && w.clients.Open == 0 {
			break
		}
	}
	// What is still on its way to the servers and back: a few seconds.
	if err := w.loop.Run(w.loop.Now() + 2*time.Second); err != nil {
		return err
	}
	if n := w.clients.Open; n > 0 {
		w.rec.Fault(fmt.Sprintf("%d asks were not over %v after the load", n, overtime+longest))
		for _, m := range w.mixers {
			for _, id := range sorted(m.asks) {
				m.asks[id].seen.Detail = "no answer came"
				w.reply(m.asks[id], judge.Lost, model.Reply{Kind: model.Lost})
			}
		}
	}
	for _, m := range w.mixers {
		m.stop()
	}
	return nil
}

// change has a fault take hold of something, or let it go.
func (w *world) change(c model.Change) {
	switch {
	case c.Do == model.Cut:
		w.net.Cut(c.From, c.To, c.On)
		if c.Both {
			w.net.Cut(c.To, c.From, c.On)
		}
		w.note("%v %s to %s", c, w.net.Sites()[c.From], w.net.Sites()[c.To])
	case c.Do == model.Kill, c.Do == model.Restart:
		w.note("%v %d", c, c.Target)
		m := w.mixers[c.Target]
		switch {
		case !c.On:
			m.back()
		case c.Do == model.Kill:
			m.kill()
		default:
			m.leave()
		}
	case c.Do == model.Switch:
		w.note("%v %s", c, strings.Join(c.Others, " "))
		w.reconfigure(c)
	case c.Target < 0 || model.ByList(c.Do):
		if c.Target >= 0 {
			w.note("%v %s", c, w.Servers[c.Target].Name)
		} else {
			w.note("%v", c)
		}
		for _, l := range w.lists {
			l.Strike(c)
		}
	default:
		s := w.Servers[c.Target]
		w.note("%v %s", c, s.Name)
		if c.Do == model.Vanish {
			if c.On {
				w.vanish[c.Target]++
			} else {
				w.vanish[c.Target]--
			}
		}
		s.Strike(c)
	}
}

// down: a server's process has ended.
func (w *world) down(server int) {
	for _, l := range w.lists {
		l.Down(server)
	}
	for _, m := range w.mixers {
		if l := m.links[server]; l != nil {
			l.serverGone()
		}
	}
}

func (w *world) up(server int) {
	w.note("%s runs again", w.Servers[server].Name)
	w.j.Restarted(w.Servers[server].Name, len(w.mixers))
	for _, l := range w.lists {
		l.Up(server)
	}
	for _, m := range w.mixers {
		if l := m.links[server]; l != nil {
			l.serverBack()
		}
	}
}

// ---- Discovery.

var states = map[model.Standing]choice.State{model.Serving: choice.Ready, model.Draining: choice.Draining, model.Deleted: choice.Gone}

func (w *world) row(e model.Entry) choice.Server {
	spec := &w.plan.Servers[e.Server]
	row := choice.Server{ID: spec.Name, Zone: spec.Site, Kind: spec.Group, Cell: spec.Cell, State: states[e.Standing], Scale: 1}
	if e.Since >= 0 {
		row.UpSince = epoch.Add(e.Since).UnixMicro()
	}
	return row
}

// tell has discovery write news to the mixers that watch.
func (w *world) tell(news []model.Entry) {
	w.version++
	for _, e := range news {
		switch e.Standing {
		case model.Draining:
			w.j.DrainReported(w.plan.Servers[e.Server].Name, w.time())
		case model.Serving:
			w.j.DrainReported(w.plan.Servers[e.Server].Name, time.Time{})
		}
	}
	rows := make([]choice.Server, 0, len(news))
	for _, e := range news {
		rows = append(rows, w.row(e))
	}
	for _, m := range w.mixers {
		if m.x == nil || !m.watches {
			continue
		}
		l := choice.List{Form: choice.Delta, Version: w.version, Servers: rows}
		look := w.plan.Settings.Look
		if look == 0 {
			m.hear(l)
			continue
		}
		// The agent holds it, and that counts as told; the mixer's next look finds it.
		l.Since = look.Microseconds()
		life := m.life
		at := max(w.loop.Now()+time.Duration(m.look()*float64(look)), m.looked)
		m.looked = at
		w.loop.Post(at-w.loop.Now(), func() {
			if m.life == life && m.x != nil {
				m.hears(l)
			}
		})
	}
}

// whole is the list as discovery has it.
func (w *world) whole(form choice.Form) choice.List {
	l := choice.List{Form: form, Version: w.version}
	for _, e := range w.lists[0].Whole() {
		if e.Standing != model.Deleted {
			l.Servers = append(l.Servers, w.row(e))
		}
	}
	return l
}

// ---- Clients.

func (w *world) front() {
	w.fronts = w.fronts[:0]
	for _, m := range w.mixers {
		if m.fronted {
			w.fronts = append(w.fronts, m.n)
		}
	}
}

func (w *world) pick(luck uint64) int {
	if len(w.fronts) == 0 {
		return -1
	}
	return w.fronts[luck%uint64(len(w.fronts))]
}

// near is the way between a client and its mixer: they share a site.
func (w *world) near(m *mixer) time.Duration {
	d, _ := w.net.Delay(m.site, m.site)
	return d
}

// ask is a try at a mixer.
type ask struct {
	t    *model.Try
	q    *exchange.Query
	seen *judge.Query
	m    *mixer
	life int
	over bool
}

func (w *world) send(t *model.Try) {
	m := w.mixers[t.Mixer]
	a := &ask{t: t, m: m}
	a.seen = &judge.Query{ID: t.ID, Class: t.Ask.Class.Name, Due: epoch.Add(t.Ask.Due), Sent: w.time(), Timeout: t.Patience}
	for _, p := range t.Ask.Parts {
		a.seen.Parts = append(a.seen.Parts, judge.Part{Shard: p.Shard, Weight: p.Weight})
	}
	w.j.Sent(a.seen)
	m.asks[t.ID] = a
	if w.opt.Trace != nil {
		w.opt.Trace(w.loop.Now(), t.Ask.ID, fmt.Sprintf("try %d of class %s goes to mixer %d, %d parts, %v left", t.N, t.Ask.Class.Name, m.n, len(t.Ask.Parts), t.Patience))
	}
	w.loop.Post(w.near(m), func() { m.take(a) })
}

// leave: a client closes its connection.
func (w *world) leave(t *model.Try) {
	m := w.mixers[t.Mixer]
	a := m.asks[t.ID]
	if a == nil || a.over {
		return
	}
	w.reply(a, judge.ClientGone, model.Reply{Kind: model.Left})
	w.loop.Post(w.near(m), func() {
		if m.x != nil && m.life == a.life && a.q != nil {
			m.x.ClientLeft(a.q)
		}
	})
}

// reply ends a try at its client.
func (w *world) reply(a *ask, outcome judge.Outcome, r model.Reply) {
	if a.over {
		// The end of a killed mixer's connection may cross its answer: that is no second one.
		if outcome != judge.ClientGone && outcome != judge.ProxyKilled && a.seen.Outcome != judge.ClientGone && a.seen.Outcome != judge.ProxyKilled {
			a.seen.ExtraAnswer = true
		}
		return
	}
	a.over = true
	a.seen.Ended, a.seen.Outcome = w.time(), outcome
	if a.m.asks[a.t.ID] == a {
		delete(a.m.asks, a.t.ID)
	}
	w.j.Ended(a.seen)
	if w.opt.Trace != nil {
		w.opt.Trace(w.loop.Now(), a.t.Ask.ID, fmt.Sprintf("try %d ends: %v whole=%v share=%.2f retry-after=%v", a.t.N, r.Kind, r.Whole, r.Share, r.RetryAfter))
	}
	w.clients.Reply(a.t, r)
}

// final is a mixer's answer, on its way to the client.
func (w *world) final(a *ask, f exchange.Final) {
	if change := w.opt.Sabotage.Final; change != nil {
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
		outcome, r.Kind, r.Whole = judge.Answered, model.Answered, f.Complete
		for _, h := range f.Hits {
			if i := slices.IndexFunc(a.t.Ask.Parts, func(p model.PartAsk) bool { return p.Shard == h.Shard }); i >= 0 {
				r.Share += a.t.Ask.Parts[i].Weight
			}
		}
	case exchange.Refused:
		outcome, r.Kind = judge.Refused, model.Refused
	case exchange.ClientGone:
		return
	default:
		r.Kind = model.Failed
	}
	m, times := a.m, 1
	if w.opt.Sabotage.Twice {
		times = 2
	}
	for range times {
		w.loop.Post(w.near(m)+w.opt.Sabotage.Delay, func() {
			if !a.over {
				a.seen.Complete = r.Whole
				for _, h := range f.Hits {
					value := h.Value
					if change := w.opt.Sabotage.Value; change != nil {
						value = change("", value)
					}
					a.seen.Hits = append(a.seen.Hits, judge.Hit{Shard: h.Shard, Value: value})
				}
			}
			w.reply(a, outcome, r)
		})
	}
}
