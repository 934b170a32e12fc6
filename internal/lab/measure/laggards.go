package measure

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/member"
	"saddleport/internal/cluster/outlier"
)

// LaggardPlan says what is measured of laggards.
type LaggardPlan struct {
	Mixers, Zones int
	Shards, Each  int     // servers a shard
	Rate          float64 // gathers a second, over all mixers
	Times         float64 // so many times slow a server turns
	Runs          int
	Calm          time.Duration // of healthy traffic with heavy tails, for false moves
	Seed          uint64
	Delays        Delays
}

// Laggards is what was measured.
type Laggards struct {
	Plan   LaggardPlan
	Rows   []LaggardRow
	False  int           // servers set apart in the calm time, by any mixer
	Calm   time.Duration // how long that was
	Bytes  float64       // of evidence and words a second and mixer, while one server is slow
	Rest   float64       // the same while none is
	Behind Spans         // how long a mixer went by a word that no longer stood
}

// LaggardRow is one question, over all runs.
type LaggardRow struct {
	What string
	Spans
	Never int // not within a minute
}

const groupsKey = "g"

// flock is one mixer before the servers.
type flock struct {
	p      *proc
	watch  *outlier.Observer
	groups *outlier.Ejections
	seat   *outlier.AggregatorRole
	looks  bool
	steps  bool
	pace   map[string]float64 // what the mixer itself thinks of a server, as choice/ does
	tried  map[string]int64   // when it last tried one that it suspects
}

const (
	paceStep  = 0.3
	suspectAt = 3.0
	tryAfter  = 6 * aimTime
)

type laggardWorld struct {
	*gossipWorld
	plan   LaggardPlan
	flocks []*flock
	by     map[*proc]*flock
	slow   map[string]float64
	alone  bool // no evidence travels
	sent   int
	moves  int
	hook   func()
}

func serverName(shard, i int) string { return fmt.Sprintf("s%d-%d", shard, i) }

func newLaggardWorld(plan LaggardPlan) *laggardWorld {
	core := 3
	for (GossipPlan{Processes: plan.Mixers + core}).cores() != core {
		core++
	}
	base := newGossipWorld(GossipPlan{Processes: plan.Mixers + core, Zones: plan.Zones, Seed: plan.Seed, Delays: plan.Delays}, member.SingletonRole{Name: outlier.Role, ProcessKind: gossip.KindAgent})
	w := &laggardWorld{gossipWorld: base, plan: plan, by: make(map[*proc]*flock), slow: make(map[string]float64)}
	for _, p := range base.procs[core:] {
		f := &flock{p: p, watch: outlier.NewObserver(outlier.DefaultConfig), groups: outlier.NewEjections(outlier.DefaultConfig), seat: outlier.NewAggregatorRole(outlier.DefaultConfig, p.addr),
			pace: make(map[string]float64), tried: make(map[string]int64)}
		w.flocks, w.by[p] = append(w.flocks, f), f
	}
	base.watch = func(p *proc, i gossip.Entry) {
		f := w.by[p]
		var a outlier.Assignment
		if f == nil || i.Key != groupsKey || json.Unmarshal(i.Value, &a) != nil {
			return
		}
		f.seat.Observe(i.Version, a)
		if f.groups.Observe(w.now, i.Version, a) {
			w.after(0, func() { w.look(f) })
		}
	}
	for _, f := range w.flocks {
		w.after(w.gap(f), func() { w.ask(f) })
	}
	return w
}

func (w *laggardWorld) gap(*flock) int64 {
	return int64(w.rng.ExpFloat64() * float64(len(w.flocks)) / w.plan.Rate * 1e6)
}

// took is a healthy answer's time: wide, with a heavy tail and a pause now and then.
func (w *laggardWorld) took() float64 {
	x := 20_000 * math.Exp(0.47*w.rng.NormFloat64())
	if w.rng.Float64() < 0.02 {
		x *= 4
	}
	if w.rng.Float64() < 0.01 {
		x += w.rng.Float64() * 40_000
	}
	return x
}

const aimTime = 230 * ms

// ask is one gather of a mixer: each shard's part goes to one of the nearest that are not
// set apart; one in a dozen tries per mixer, over all mixers, goes to one that is.
func (w *laggardWorld) ask(f *flock) {
	w.after(w.gap(f), func() { w.ask(f) })
	if !f.p.up {
		return
	}
	for s := range w.plan.Shards {
		best, far := -1, 9
		n := 0
		for i := range w.plan.Each {
			name := serverName(s, i)
			zone, region := place(i, w.plan.Zones)
			d := 2
			if zone == f.p.zone {
				d = 0
			} else if region == f.p.region {
				d = 1
			}
			if slow := f.groups.Ratio(name) > 0; slow || f.pace[name] > suspectAt {
				pause := tryAfter
				if slow { // all together make one trial a pause
					pause *= int64(len(w.flocks))
				}
				if w.now-f.tried[name] < pause {
					continue
				}
				f.tried[name] = w.now
				best, far, n = i, d, 1
				break
			}
			if d < far {
				best, far, n = i, d, 0
			}
			if n++; d == far && w.rng.IntN(n) == 0 {
				best = i
			}
		}
		if best < 0 {
			continue
		}
		name := serverName(s, best)
		zone, region := place(best, w.plan.Zones)
		way := 2 * w.gossipWorld.plan.Delays.between(f.p.zone, f.p.region, zone, region)
		x := int64(w.took()*max(w.slow[name], 1)) + way
		w.after(min(x, aimTime), func() {
			f.pace[name] += (float64(min(x, aimTime))/float64(20_000+way) - f.pace[name]) * paceStep
			doubted := f.watch.Record(w.now, outlier.Sample{Name: name, Shard: fmt.Sprint("s", s), Kind: fmt.Sprint("sweep ", far), Latency: min(x, aimTime), Complete: x < aimTime})
			if doubted && !f.looks {
				w.look(f)
			}
		})
	}
}

func (w *laggardWorld) members(shard string) int { return w.plan.Each }

// look tells evidence and brings a mixer's groups up to date, again while there is cause.
func (w *laggardWorld) look(f *flock) {
	if f.looks || !f.p.up {
		return
	}
	said, _ := f.groups.Assignment(w.now)
	list := f.watch.TakeEvidence(w.now, said)
	w.moves += len(f.groups.Step(w.now, w.members, f.watch))
	if w.hook != nil {
		w.hook()
	}
	if f.watch.Suspected() > 0 || !f.groups.Idle(w.now) {
		f.looks = true
		w.after(300*ms, func() { f.looks = false; w.look(f) })
	}
	if len(list) == 0 || w.alone {
		return
	}
	c, known := f.p.members.Holder(outlier.Role)
	if !known || c.Holder == f.p.addr {
		w.given(f, f.p.addr, list)
		return
	}
	bytes := size(list)
	w.sent += bytes + headBytes + answerBytes
	w.call(f.p, c.Holder, bytes, func(q *proc) (any, int) {
		if to := w.by[q]; to != nil {
			w.given(to, f.p.addr, list)
		}
		return nil, 2
	}, func(any, bool) {})
}

func (w *laggardWorld) given(f *flock, from string, list []outlier.Evidence) {
	epoch, holds := f.p.members.Holds(outlier.Role)
	f.seat.SetHolder(w.now, epoch, holds)
	if f.seat.AddEvidence(w.now, from, list) {
		w.sit(f)
	}
}

// sit steps the council, again while there are cases.
func (w *laggardWorld) sit(f *flock) {
	if f.steps || !f.p.up {
		return
	}
	epoch, holds := f.p.members.Holds(outlier.Role)
	f.seat.SetHolder(w.now, epoch, holds)
	a, rank, say := f.seat.Step(w.now, len(w.flocks), w.members)
	if say {
		body, err := json.Marshal(a)
		if err != nil {
			panic(err)
		}
		w.sent += len(body) * len(w.procs)
		f.p.members.Put(w.now, gossip.Entry{Key: groupsKey, Version: rank, Value: body})
		f.p.soon()
	}
	if f.seat.Busy() {
		f.steps = true
		w.after(200*ms, func() { f.steps = false; w.sit(f) })
	}
}

// holder is the mixer that holds the council.
func (w *laggardWorld) holder() *flock {
	for _, f := range w.flocks {
		if _, holds := f.p.members.Holds(outlier.Role); holds && f.p.up {
			return f
		}
	}
	return nil
}

// all waits until every mixer that counts treats a server as set apart, or none does.
func (w *laggardWorld) all(name string, apart bool, counts func(*flock) bool, row *LaggardRow) {
	begin := w.now
	done := func() bool {
		for _, f := range w.flocks {
			if f.p.up && counts(f) && (f.groups.Ratio(name) > 0) != apart {
				return false
			}
		}
		return true
	}
	w.until(begin+60_000*ms, func() bool { return !done() })
	if !done() {
		row.Never++
		return
	}
	row.Spans = append(row.Spans, time.Duration((w.now-begin)*micro))
}

func everyone(*flock) bool { return true }

// MeasureLaggards plays mixers before servers of which one turns slow, again and again,
// under each trouble; then, in a fleet of its own, a calm time.
func MeasureLaggards(plan LaggardPlan) Laggards {
	out := Laggards{Plan: plan}
	w := newLaggardWorld(plan)
	w.until(30_000*ms, nil)
	begin := w.sent
	w.until(60_000*ms, nil)
	out.Rest = float64(w.sent-begin) / 30 / float64(plan.Mixers)
	lone := LaggardRow{What: "a lone mixer has evidence enough"}
	moved := LaggardRow{What: "all treat it so"}
	back := LaggardRow{What: "all have it back once it is well"}
	busy, spent := 0.0, 0
	for range plan.Runs {
		w.until(w.now+w.rng.Int64N(2000*ms), nil)
		name := w.pick()
		w.slow[name] = plan.Times
		from := w.sent
		w.all(name, true, everyone, &moved)
		at := w.now
		w.until(w.now+8000*ms, nil)
		busy, spent = busy+float64(w.now-at)/1e6, spent+w.sent-from
		delete(w.slow, name)
		w.all(name, false, everyone, &back)
		w.until(w.now+22_000*ms, nil) // its return is watched for so long
	}
	out.Bytes = float64(spent) / busy / float64(plan.Mixers)
	out.Rows = append(out.Rows, moved, back)
	// Each alone: nobody hears of anybody's evidence, and nobody acts.
	l := newLaggardWorld(plan)
	l.alone = true
	l.until(30_000*ms, nil)
	for range max(plan.Runs/4, 1) {
		name := l.pick()
		l.slow[name] = plan.Times
		at := l.now
		known := make(map[*flock]bool)
		l.until(at+60_000*ms, func() bool {
			for _, f := range l.flocks {
				if o, seen := f.watch.Describe(l.now, name); !known[f] && seen && o.Score >= outlier.DefaultConfig.EjectScore {
					known[f] = true
					lone.Spans = append(lone.Spans, time.Duration((l.now-at)*micro))
				}
			}
			return len(known) < len(l.flocks)
		})
		lone.Never += len(l.flocks) - len(known)
		delete(l.slow, name)
		l.until(l.now+20_000*ms, nil)
	}
	out.Rows = append(out.Rows, lone)
	out.Rows = append(out.Rows, w.troubles(&out)...)
	c := newLaggardWorld(plan)
	c.until(int64(plan.Calm)/micro, nil)
	out.False, out.Calm = c.moves, plan.Calm
	return out
}

func (w *laggardWorld) pick() string {
	return serverName(w.rng.IntN(w.plan.Shards), w.rng.IntN(w.plan.Each))
}

// troubles measures the same while the ways or the holder are in trouble.
func (w *laggardWorld) troubles(out *Laggards) (rows []LaggardRow) {
	row := LaggardRow{What: "with a tenth of the calls lost"}
	for range w.plan.Runs {
		w.gossipWorld.plan.Loss = 0.1
		w.once(&row, everyone)
	}
	w.gossipWorld.plan.Loss = 0
	rows = append(rows, row)
	row = LaggardRow{What: "the holder dies as it turns slow"}
	for range max(w.plan.Runs/4, 1) {
		h := w.holder()
		if h == nil {
			break
		}
		h.p.up = false
		h.p.life++
		w.once(&row, everyone)
		h.p.start()
		h.groups, h.seat, h.looks, h.steps = outlier.NewEjections(outlier.DefaultConfig), outlier.NewAggregatorRole(outlier.DefaultConfig, h.p.addr), false, false
		w.until(w.now+15_000*ms, nil)
	}
	rows = append(rows, row)
	row = LaggardRow{What: "a zone is cut off: the others"}
	for range max(w.plan.Runs/4, 1) {
		zone := w.rng.IntN(w.plan.Zones)
		if h := w.holder(); h != nil && h.p.zone == zone {
			zone = (zone + 1) % w.plan.Zones
		}
		w.cut = func(p, q *proc) bool { return (p.zone == zone) != (q.zone == zone) }
		shard, i := w.rng.IntN(w.plan.Shards), w.rng.IntN(w.plan.Each)
		for i%w.plan.Zones == zone { // of another zone, for who is not cut off must meet it
			i = (i + 1) % w.plan.Each
		}
		name := serverName(shard, i)
		w.slow[name] = w.plan.Times
		w.all(name, true, func(f *flock) bool { return f.p.zone != zone }, &row)
		// Cut the other way: who goes by a word that no longer stands lets it go.
		w.cut = nil
		w.until(w.now+15_000*ms, nil)
		w.cut = func(p, q *proc) bool { return (p.zone == zone) != (q.zone == zone) }
		delete(w.slow, name)
		gone := LaggardRow{}
		at := w.now
		w.all(name, false, func(f *flock) bool { return f.p.zone != zone }, &gone)
		w.until(at+60_000*ms, func() bool {
			for _, f := range w.flocks {
				if f.p.up && f.groups.Ratio(name) > 0 {
					return true
				}
			}
			return false
		})
		if len(gone.Spans) > 0 {
			out.Behind = append(out.Behind, max(time.Duration((w.now-at)*micro)-gone.Spans[0], 0))
		}
		w.cut = nil
		w.until(w.now+25_000*ms, nil)
	}
	return append(rows, row)
}

func (w *laggardWorld) once(row *LaggardRow, counts func(*flock) bool) {
	name := w.pick()
	w.slow[name] = w.plan.Times
	w.all(name, true, counts, row)
	delete(w.slow, name)
	w.until(w.now+45_000*ms, nil)
}
