// Package real is the emulator's real drive: the mixers as child processes on
// loopback addresses, the same models behind sockets, in real time. It owns the
// processes and sockets. It must never do for a scenario what the virtual drive
// does not, nor let a mixer's word count: what is judged is what clients, servers
// and discovery saw.
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

// What one machine is asked to bear at most.
const (
	mostServers = 256
	mostMixers  = 8
	mostRate    = 4000 // queries a second
	endTime     = 30 * time.Second
)

// Options are how a plan is played.
type Options struct {
	Program  string // the mixer
	Logs     string // a folder for the mixers' logs; empty: none are kept
	Operator string // an operator file for the mixers; empty: none
	Progress func(Sample)
}

// Sample is the state of a run at one second.
type Sample struct {
	At, Of   time.Duration
	Open     int     // asks not over
	Answered float64 // a second, since the last sample
	Refused  float64
	Failed   float64
	Parts    float64
	Down     int // servers
	Mixers   int // that run
	RSS      int64
}

type run struct {
	plan    *scenario.Plan
	opt     Options
	dir     string
	begin   time.Time
	j       *judge.Judge
	hosts   []*host
	stands  []*sources // one for each mixer: addresses differ
	inForce []string   // of the sources, with [members]
	muted   []atomic.Int32

	netMu sync.Mutex
	net   *model.Network

	listMu sync.Mutex
	lists  []*model.List // one for each source

	clientMu sync.Mutex
	clients  *model.Clients
	leave    map[*model.Try]context.CancelFunc
	desks    *client.Clients
	asks     sync.WaitGroup

	recMu sync.Mutex
	rec   *record.Recorder
	sent  map[string]int
	keys  map[string]string // of asks that have one
	kinds [5]int            // of asks that are over, by model.Kind
	parts int

	mixMu   sync.Mutex
	mixers  []*mixer
	rss     int64
	files   int
	cpu     time.Duration
	stopped bool
}

type mixer struct {
	n       int
	life    int
	listen  string
	proc    *child.Mixer // nil: it does not run
	fronted bool
	planned bool // its end was asked for
}

// Run plays a plan.
func Run(ctx context.Context, p *scenario.Plan, opt Options) (*record.Run, error) {
	switch {
	case len(p.Servers) > mostServers:
		return nil, fmt.Errorf("%d servers: the real drive bears %d; use the virtual one", len(p.Servers), mostServers)
	case p.Mixers.Count > mostMixers:
		return nil, fmt.Errorf("%d mixers: the real drive bears %d; use the virtual one", p.Mixers.Count, mostMixers)
	}
	rate := 0.0
	for _, c := range p.Classes {
		rate += c.Arrivals.Rate * c.Arrivals.Curve.Most()
	}
	if rate > mostRate {
		return nil, fmt.Errorf("%.0f queries a second: the real drive bears %d; use the virtual one", rate, mostRate)
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &run{plan: p, opt: opt, dir: dir, net: p.NewNetwork(), muted: make([]atomic.Int32, len(p.Servers)), sent: make(map[string]int), keys: make(map[string]string),
		leave: make(map[*model.Try]context.CancelFunc), rec: record.New(p, "real", "mixer", true)}
	if opt.Logs == "" {
		r.opt.Logs = dir
	} else if err := os.MkdirAll(opt.Logs, 0o755); err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.build(); err != nil {
		return nil, err
	}
	return r.play(ctx)
}

func (r *run) build() error {
	p := r.plan
	var classes []judge.Class
	for _, c := range p.Scenario.Classes {
		classes = append(classes, judge.Class{Name: c.Name, Unsafe: c.Effect != "free", Need: c.Need, Floor: c.Floor})
	}
	r.j = judge.New(classes, p.Settings.Grace+judge.Slack)
	r.j.Allow(p.Settings.Cap, p.Settings.Parallel)
	r.begin = time.Now()
	for i, spec := range p.Servers {
		h := &host{r: r, i: i, name: spec.Name, site: r.net.Site(spec.Site), work: make(map[string]*model.Work)}
		for name, w := range p.Work {
			own := *w
			h.work[name] = &own
		}
		h.s = model.NewServer(clock{r.begin, &h.mu}, spec)
		h.s.Fell = func(s *model.Server) {
			r.j.ColdServerOverloaded(s.Name, time.Now())
			r.note("%s was pushed over while it was cold", s.Name)
		}
		h.s.Down = func(*model.Server) { h.down() }
		h.s.Up = func(*model.Server) { h.up() }
		for n := range p.Mixers.Count {
			d := &door{h: h, mixer: n, site: r.net.Site(p.MixerSite(n)), conns: make(map[*conn]bool)}
			h.doors = append(h.doors, d)
			if err := d.open(); err != nil {
				return err
			}
		}
		r.hosts = append(r.hosts, h)
	}
	r.lists = p.NewLists(func(int) model.Sched { return clock{r.begin, &r.listMu} })
	r.inForce = p.Members.Sources
	if err := r.buildSources(); err != nil {
		return err
	}
	for n := range p.Mixers.Count {
		port, err := child.FreePort()
		if err != nil {
			return err
		}
		m := &mixer{n: n, listen: fmt.Sprintf("127.0.0.1:%d", port)}
		r.mixers = append(r.mixers, m)
		if err := r.start(m); err != nil {
			return err
		}
		m.fronted = true
	}
	r.desks = client.New(client.Config{Judge: r.j, MaxIdle: p.Clients.Conns, Seed: p.Draw})
	return nil
}

var statuses = map[model.Standing]string{model.Serving: "SERVING", model.Draining: "DRAINING", model.Deleted: "DELETED"}

func (r *run) entry(mixer int, e model.Entry) disco.Entry {
	spec := &r.plan.Servers[e.Server]
	out := disco.Entry{Name: spec.Name, Address: r.hosts[e.Server].doors[mixer].addr, Zone: spec.Site, Type: spec.Group, Group: spec.Cell,
		Status: statuses[e.Standing], Weight: 1}
	if e.Since >= 0 {
		out.Since = r.begin.Add(e.Since).UnixMilli()
	}
	return out
}

func (r *run) start(m *mixer) error {
	p := r.plan
	set, err := p.MixerSettings()
	if err != nil {
		return err
	}
	m.life++
	config, err := json.Marshal(map[string]any{"name": fmt.Sprintf("lab%d", m.n), "listen": m.listen, "discovery": r.stands[m.n].disco.Addr,
		"seed":   fmt.Sprintf("%016x", p.MixerSeed(m.n, m.life)),
		"limits": map[string]any{"cores": p.Mixers.Cores, "memory_mb": int64(p.Mixers.Memory >> 20), "sockets": p.Mixers.Sockets},
		"known":  r.stands[m.n].disco.Snapshot(), "settings": json.RawMessage(set)})
	if err != nil {
		return err
	}
	file := filepath.Join(r.dir, fmt.Sprintf("config-%d.json", m.n))
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return err
	}
	args := []string{"serve", "--config", file}
	operator := r.opt.Operator
	if r.sourcesOn() {
		if operator, err = r.operator(m.n, r.inForce); err != nil {
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
	r.mixMu.Lock()
	m.proc, m.planned = proc, false
	r.mixMu.Unlock()
	return nil
}

func (r *run) fail(format string, a ...any) {
	r.recMu.Lock()
	defer r.recMu.Unlock()
	r.rec.Fault(fmt.Sprintf(format, a...))
}

func (r *run) note(format string, a ...any) {
	r.recMu.Lock()
	defer r.recMu.Unlock()
	r.rec.Event(time.Since(r.begin), fmt.Sprintf(format, a...))
}

func (r *run) count(ask string) {
	r.recMu.Lock()
	defer r.recMu.Unlock()
	r.sent[ask]++
	r.parts++
}

// key is what a part concerns: its ask's key with its shard. A part of an ask that is
// over has none any more.
func (r *run) key(ask, shard string) string {
	r.recMu.Lock()
	defer r.recMu.Unlock()
	if k := r.keys[ask]; k != "" {
		return k + "." + shard
	}
	return ""
}

func (r *run) delay(from, to int) (time.Duration, bool) {
	r.netMu.Lock()
	defer r.netMu.Unlock()
	return r.net.Delay(from, to)
}

// ---- Servers. Both are the model's, under the host's lock.

func (h *host) down() {
	for _, d := range h.doors {
		if d.mute == nil {
			d.shut(true)
		}
	}
	go h.r.listed(func(l *model.List) { l.Down(h.i) })
}

func (h *host) up() {
	h.r.note("%s runs again", h.name)
	h.r.j.Restarted(h.name, h.r.plan.Mixers.Count)
	for _, d := range h.doors {
		if d.mute == nil {
			if err := d.open(); err != nil {
				h.r.fail("%s did not listen again: %v", h.name, err)
			}
		}
	}
	go h.r.listed(func(l *model.List) { l.Up(h.i) })
}

func (r *run) listed(f func(*model.List)) {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	for _, l := range r.lists {
		f(l)
	}
}

// ---- The run.

func (r *run) play(ctx context.Context) (*record.Run, error) {
	p := r.plan
	// The models count from here: what the mixers took to start is not part of the run.
	r.begin = time.Now()
	for _, h := range r.hosts {
		h.mu.Lock()
		spec := h.s.Spec
		s := model.NewServer(clock{r.begin, &h.mu}, spec)
		s.Fell, s.Down, s.Up = h.s.Fell, h.s.Down, h.s.Up
		h.s = s
		h.mu.Unlock()
	}
	r.listMu.Lock()
	for _, l := range r.lists {
		l.Sched = clock{r.begin, &r.listMu}
	}
	r.listMu.Unlock()
	longest := time.Duration(0)
	for _, c := range p.Classes {
		longest = max(longest, c.Patience)
	}
	r.clients = &model.Clients{Sched: clock{r.begin, &r.clientMu}, Classes: p.Classes, Tenants: p.NewTenants(), OverWorth: p.Over, Retry: p.Retry(), Seed: p.Draw, Length: p.Length, Pick: r.pick,
		Send: r.send, Leave: r.left, Over: func(a *model.Ask) {
			r.recMu.Lock()
			defer r.recMu.Unlock()
			r.rec.QueryDone(a, r.sent[a.ID])
			r.kinds[a.Outcome.Kind]++
			delete(r.sent, a.ID)
			delete(r.keys, a.ID)
		}}
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Add(2)
	go func() { defer others.Done(); r.script(stop) }()
	go func() { defer others.Done(); r.watch(stop) }()
	r.clientMu.Lock()
	r.clients.Begin()
	r.clientMu.Unlock()
	end := p.Length + longest + endTime
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
		open := r.clients.Open
		r.clientMu.Unlock()
		at := time.Since(r.begin)
		if at >= p.Length && open == 0 {
			break
		}
		if at >= end {
			r.fail("%d asks were not over %v after the load", open, longest+endTime)
			break
		}
	}
	wall := time.Since(r.begin)
	close(stop)
	others.Wait()
	if err != nil {
		return nil, err
	}
	r.asks.Wait()
	if r.sourcesOn() {
		r.beliefs()
	}
	if n := r.desks.Close(); n > 0 {
		r.fail("%d answers came that nobody had asked for", n)
	}
	r.end()
	r.recMu.Lock()
	defer r.recMu.Unlock()
	run := r.rec.Finish(r.j.Judge(r.begin.Add(p.Window[0]), r.begin.Add(p.Window[1])))
	run.Machine = record.Machine{Wall: wall, PeakMiB: r.rss >> 20, Files: r.files, Cores: r.cpu.Seconds() / wall.Seconds(), Threads: runtime.GOMAXPROCS(0)}
	return run, nil
}

// script has the faults take hold and let go.
func (r *run) script(stop chan struct{}) {
	for _, c := range r.plan.Changes {
		select {
		case <-stop:
			return
		case <-time.After(c.At - time.Since(r.begin)):
		}
		r.change(c)
	}
}

func (r *run) change(c model.Change) {
	switch {
	case c.Do == model.Cut:
		r.note("%v %s to %s", c, r.net.Sites()[c.From], r.net.Sites()[c.To])
		r.netMu.Lock()
		r.net.Cut(c.From, c.To, c.On)
		if c.Both {
			r.net.Cut(c.To, c.From, c.On)
		}
		open := func(a, b int) bool { return r.net.Open(a, b) && r.net.Open(b, a) }
		cut := make(map[[2]int]bool)
		for _, h := range r.hosts {
			for _, d := range h.doors {
				cut[[2]int{d.site, h.site}] = !open(d.site, h.site)
			}
		}
		r.netMu.Unlock()
		for _, h := range r.hosts {
			h.mu.Lock()
			for _, d := range h.doors {
				if d.cut = cut[[2]int{d.site, h.site}]; d.cut != (d.mute != nil) {
					if err := d.way(); err != nil {
						r.fail("a way to %s could not be cut: %v", h.name, err)
					}
				}
			}
			h.mu.Unlock()
		}
	case c.Do == model.Kill, c.Do == model.Restart:
		r.note("%v %d", c, c.Target)
		r.life(c)
	case c.Do == model.Switch:
		r.note("%v %s", c, strings.Join(c.Others, " "))
		r.switchSources(c)
	case c.Target < 0 || model.ByList(c.Do):
		if c.Target >= 0 {
			r.note("%v %s", c, r.hosts[c.Target].name)
		} else {
			r.note("%v", c)
		}
		r.listed(func(l *model.List) { l.Strike(c) })
	default:
		h := r.hosts[c.Target]
		r.note("%v %s", c, h.name)
		h.mu.Lock()
		defer h.mu.Unlock()
		if c.Do == model.Vanish {
			step := int32(1)
			if !c.On {
				step = -1
			}
			h.mutes += int(step)
			r.muted[h.i].Add(step)
			if c.On {
				h.silence()
			}
		}
		h.s.Strike(c)
		if c.Do == model.Vanish && !c.On {
			h.silence()
		}
	}
}

// silence sets the doors by what holds. Under the host's lock.
func (h *host) silence() {
	for _, d := range h.doors {
		if err := d.way(); err != nil {
			h.r.fail("%s could not be made to vanish: %v", h.name, err)
		}
	}
}

// life ends a mixer's process, or starts it again.
func (r *run) life(c model.Change) {
	m := r.mixers[c.Target]
	if c.On {
		r.mixMu.Lock()
		proc := m.proc
		m.proc, m.planned = nil, true
		if c.Do == model.Restart {
			m.fronted = false
		}
		r.mixMu.Unlock()
		if proc == nil {
			return
		}
		if c.Do == model.Restart {
			proc.Signal(syscall.SIGTERM)
			go func() {
				if err := proc.Wait(endTime); err != nil {
					r.fail("%v", err)
				}
				r.took(proc)
			}()
			return
		}
		go func() { proc.Kill(); r.took(proc) }()
		time.AfterFunc(r.plan.Mixers.Notice, func() {
			r.mixMu.Lock()
			defer r.mixMu.Unlock()
			if m.proc == nil {
				m.fronted = false
			}
		})
		return
	}
	go func() {
		r.mixMu.Lock()
		stopped, runs := r.stopped, m.proc != nil
		r.mixMu.Unlock()
		if stopped || runs {
			return
		}
		if err := r.start(m); err != nil {
			r.fail("mixer %d did not start again: %v", m.n, err)
			return
		}
		r.mixMu.Lock()
		m.fronted = true
		r.mixMu.Unlock()
	}()
}

func (r *run) took(proc *child.Mixer) {
	if s := proc.Cmd.ProcessState; s != nil {
		r.mixMu.Lock()
		r.cpu += s.UserTime() + s.SystemTime()
		r.mixMu.Unlock()
	}
}

// watch looks at servers and mixers each second.
func (r *run) watch(stop chan struct{}) {
	var was [5]int
	wasParts, wasAt := 0, r.begin
	for s := 1; ; s++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(s)*time.Second - time.Since(r.begin)):
		}
		down := 0
		for _, h := range r.hosts {
			h.mu.Lock()
			st := h.s.Look()
			h.mu.Unlock()
			if !st.Up {
				down++
			}
			if time.Duration(s)*time.Second <= r.plan.Length {
				r.recMu.Lock()
				r.rec.ServerSample(s-1, &h.s.Spec, st)
				r.recMu.Unlock()
			}
		}
		up, rss := 0, int64(0)
		r.mixMu.Lock()
		for _, m := range r.mixers {
			if m.proc == nil {
				continue
			}
			select {
			case err := <-m.proc.Exited:
				m.proc.Exited <- err
				if !m.planned {
					m.planned = true
					go r.fail("mixer %d ended by itself: %v\n%s", m.n, err, child.Tail(m.proc.Log))
				}
				continue
			default:
			}
			up++
			bytes, files := child.Look(m.proc.Cmd.Process.Pid)
			rss = max(rss, int64(bytes))
			r.files = max(r.files, files)
		}
		r.rss = max(r.rss, rss)
		r.mixMu.Unlock()
		if r.opt.Progress != nil {
			r.clientMu.Lock()
			open := r.clients.Open
			r.clientMu.Unlock()
			r.recMu.Lock()
			kinds, parts := r.kinds, r.parts
			r.recMu.Unlock()
			span := time.Since(wasAt).Seconds()
			rate := func(k model.Kind) float64 { return float64(kinds[k]-was[k]) / span }
			r.opt.Progress(Sample{At: time.Since(r.begin), Of: r.plan.Length, Open: open, Mixers: up, RSS: rss, Down: down, Answered: rate(model.Answered),
				Refused: rate(model.Refused), Failed: rate(model.Failed) + rate(model.Lost), Parts: float64(parts-wasParts) / span})
			was, wasParts, wasAt = kinds, parts, time.Now()
		}
	}
}

// ---- Clients. pick, send and left are the model's, under the clients' lock.

func (r *run) pick(luck uint64) int {
	r.mixMu.Lock()
	defer r.mixMu.Unlock()
	var up []int
	for _, m := range r.mixers {
		if m.fronted {
			up = append(up, m.n)
		}
	}
	if len(up) == 0 {
		return -1
	}
	return up[luck%uint64(len(up))]
}

func (r *run) send(t *model.Try) {
	q := &judge.Query{ID: t.ID, Class: t.Ask.Class.Name, Due: r.begin.Add(t.Ask.Due), Timeout: t.Patience}
	for _, p := range t.Ask.Parts {
		q.Parts = append(q.Parts, judge.Part{Shard: p.Shard, Weight: p.Weight})
	}
	r.j.Sent(q)
	ctx, cancel := context.WithCancel(context.Background())
	r.leave[t] = cancel
	if t.Ask.Key != "" {
		r.recMu.Lock()
		r.keys[t.Ask.ID] = t.Ask.Key
		r.recMu.Unlock()
	}
	m := r.mixers[t.Mixer]
	r.asks.Add(1)
	go func() {
		defer r.asks.Done()
		defer cancel()
		after := r.desks.Do(ctx, client.Request{Addr: m.listen, Text: q.Class, Retry: t.Repeat, Tenant: t.Ask.Tenant, Key: t.Ask.Key}, q)
		reply := model.Reply{RetryAfter: after, Whole: q.Complete}
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
			r.mixMu.Lock()
			if m.planned || m.proc == nil { // the script's doing
				q.Outcome = judge.ProxyKilled
			}
			r.mixMu.Unlock()
		default:
			reply.Kind = model.Failed
		}
		r.j.Ended(q)
		r.clientMu.Lock()
		delete(r.leave, t)
		r.clients.Reply(t, reply)
		r.clientMu.Unlock()
	}()
}

func (r *run) left(t *model.Try) {
	if cancel := r.leave[t]; cancel != nil {
		cancel()
	}
}

// ---- The end.

// end stops the mixers and looks at how they ended.
func (r *run) end() {
	r.mixMu.Lock()
	r.stopped = true
	var procs []*child.Mixer
	for _, m := range r.mixers {
		if m.proc != nil {
			m.planned = true
			procs = append(procs, m.proc)
		}
	}
	r.mixMu.Unlock()
	for _, p := range procs {
		p.Signal(syscall.SIGTERM)
	}
	for _, p := range procs {
		if err := p.Wait(endTime); err != nil {
			r.fail("%v", err)
		}
		r.took(p)
	}
}

func (r *run) close() {
	r.mixMu.Lock()
	r.stopped = true
	var procs []*child.Mixer
	for _, m := range r.mixers {
		if m.proc != nil {
			procs = append(procs, m.proc)
		}
	}
	r.mixMu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	for _, s := range r.stands {
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
