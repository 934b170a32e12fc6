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

// OutlierPlan describes a measurement of how slow servers are ejected.
type OutlierPlan struct {
	Proxies, Zones          int
	Shards, ServersPerShard int
	Rate                    float64 // fan-out queries per second, over all proxies
	SlowFactor              float64 // factor by which a server becomes slow
	Runs                    int
	HealthySpan             time.Duration // of healthy traffic with heavy tails, to count false ejections
	Seed                    uint64
	Delays                  Delays
}

// Outliers is the result of a measurement of ejections.
type Outliers struct {
	Plan           OutlierPlan
	Rows           []OutlierRow
	FalseEjections int           // changes of ejections at any proxy during the healthy span
	HealthySpan    time.Duration // length of the healthy span
	Bytes          float64       // of evidence and assignments, per second and proxy, while one server is slow
	IdleBytes      float64       // the same while no server is slow
	StaleFor       Spans         // how long cut-off proxies kept an ejection that the others had already ended
}

// OutlierRow is one measured time, over all runs.
type OutlierRow struct {
	What string
	Spans
	Never int // runs in which it did not happen within a minute
}

const assignmentKey = "g"

// proxyNode is one proxy and its view of the servers.
type proxyNode struct {
	p             *proc
	observer      *outlier.Observer
	ejections     *outlier.Ejections
	aggregator    *outlier.AggregatorRole
	lookScheduled bool
	stepScheduled bool
	slowdown      map[string]float64 // the proxy's own estimate of how slow a server is, as package choice keeps it
	lastAttempt   map[string]int64   // when the proxy last sent a request to a server that it suspects
}

const (
	slowdownStep  = 0.3
	suspectRatio  = 3.0
	probeInterval = 6 * latencyTarget
)

type outlierWorld struct {
	*gossipWorld
	plan            OutlierPlan
	proxies         []*proxyNode
	byProc          map[*proc]*proxyNode
	slow            map[string]float64
	isolated        bool // no evidence is sent to the aggregator
	evidenceBytes   int
	ejectionChanges int
	onStep          func()
}

func serverName(shard, i int) string { return fmt.Sprintf("s%d-%d", shard, i) }

func newOutlierWorld(plan OutlierPlan) *outlierWorld {
	core := 3
	for (GossipPlan{Processes: plan.Proxies + core}).cores() != core {
		core++
	}
	base := newGossipWorld(GossipPlan{Processes: plan.Proxies + core, Zones: plan.Zones, Seed: plan.Seed, Delays: plan.Delays}, member.SingletonRole{Name: outlier.Role, ProcessKind: gossip.KindAgent})
	w := &outlierWorld{gossipWorld: base, plan: plan, byProc: make(map[*proc]*proxyNode), slow: make(map[string]float64)}
	for _, p := range base.procs[core:] {
		f := &proxyNode{p: p, observer: outlier.NewObserver(outlier.DefaultConfig), ejections: outlier.NewEjections(outlier.DefaultConfig), aggregator: outlier.NewAggregatorRole(outlier.DefaultConfig, p.addr),
			slowdown: make(map[string]float64), lastAttempt: make(map[string]int64)}
		w.proxies, w.byProc[p] = append(w.proxies, f), f
	}
	base.onUpdate = func(p *proc, i gossip.Entry) {
		f := w.byProc[p]
		var a outlier.Assignment
		if f == nil || i.Key != assignmentKey || json.Unmarshal(i.Value, &a) != nil {
			return
		}
		f.aggregator.Observe(i.Version, a)
		if f.ejections.Observe(w.now, i.Version, a) {
			w.after(0, func() { w.reportEvidence(f) })
		}
	}
	for _, f := range w.proxies {
		w.after(w.nextInterval(f), func() { w.fanOut(f) })
	}
	return w
}

func (w *outlierWorld) nextInterval(*proxyNode) int64 {
	return int64(w.rng.ExpFloat64() * float64(len(w.proxies)) / w.plan.Rate * 1e6)
}

// drawLatency returns the latency of a healthy response in microseconds: widely spread, with a
// heavy tail and an occasional pause of up to 40 ms.
func (w *outlierWorld) drawLatency() float64 {
	x := 20_000 * math.Exp(0.47*w.rng.NormFloat64())
	if w.rng.Float64() < 0.02 {
		x *= 4
	}
	if w.rng.Float64() < 0.01 {
		x += w.rng.Float64() * 40_000
	}
	return x
}

const latencyTarget = 230 * ms

// fanOut sends one fan-out query of a proxy: each shard's part goes to one of the nearest servers
// that are not ejected. A suspected server gets one attempt per proxy and probeInterval; an ejected
// one gets one attempt per probeInterval from all proxies together, on average.
func (w *outlierWorld) fanOut(f *proxyNode) {
	w.after(w.nextInterval(f), func() { w.fanOut(f) })
	if !f.p.up {
		return
	}
	for s := range w.plan.Shards {
		best, distance := -1, 9
		n := 0
		for i := range w.plan.ServersPerShard {
			name := serverName(s, i)
			zone, region := locate(i, w.plan.Zones)
			d := 2
			if zone == f.p.zone {
				d = 0
			} else if region == f.p.region {
				d = 1
			}
			if slow := f.ejections.Ratio(name) > 0; slow || f.slowdown[name] > suspectRatio {
				pause := probeInterval
				if slow { // all proxies together send one attempt per interval
					pause *= int64(len(w.proxies))
				}
				if w.now-f.lastAttempt[name] < pause {
					continue
				}
				f.lastAttempt[name] = w.now
				best, distance, n = i, d, 1
				break
			}
			if d < distance {
				best, distance, n = i, d, 0
			}
			if n++; d == distance && w.rng.IntN(n) == 0 {
				best = i
			}
		}
		if best < 0 {
			continue
		}
		name := serverName(s, best)
		zone, region := locate(best, w.plan.Zones)
		networkDelay := 2 * w.gossipWorld.plan.Delays.between(f.p.zone, f.p.region, zone, region)
		x := int64(w.drawLatency()*max(w.slow[name], 1)) + networkDelay
		w.after(min(x, latencyTarget), func() {
			f.slowdown[name] += (float64(min(x, latencyTarget))/float64(20_000+networkDelay) - f.slowdown[name]) * slowdownStep
			suspected := f.observer.Record(w.now, outlier.Sample{Name: name, Shard: fmt.Sprint("s", s), Kind: fmt.Sprint("sweep ", distance), Latency: min(x, latencyTarget), Complete: x < latencyTarget})
			if suspected && !f.lookScheduled {
				w.reportEvidence(f)
			}
		})
	}
}

func (w *outlierWorld) shardSize(shard string) int { return w.plan.ServersPerShard }

// reportEvidence sends a proxy's evidence to the aggregator and updates the proxy's ejections. It
// repeats every 300 ms while the proxy suspects a server or its ejections may still change.
func (w *outlierWorld) reportEvidence(f *proxyNode) {
	if f.lookScheduled || !f.p.up {
		return
	}
	assignment, _ := f.ejections.Assignment(w.now)
	evidence := f.observer.TakeEvidence(w.now, assignment)
	w.ejectionChanges += len(f.ejections.Step(w.now, w.shardSize, f.observer))
	if w.onStep != nil {
		w.onStep()
	}
	if f.observer.Suspected() > 0 || !f.ejections.Idle(w.now) {
		f.lookScheduled = true
		w.after(300*ms, func() { f.lookScheduled = false; w.reportEvidence(f) })
	}
	if len(evidence) == 0 || w.isolated {
		return
	}
	c, known := f.p.members.Holder(outlier.Role)
	if !known || c.Holder == f.p.addr {
		w.receiveEvidence(f, f.p.addr, evidence)
		return
	}
	bytes := jsonSize(evidence)
	w.evidenceBytes += bytes + headBytes + answerBytes
	w.call(f.p, c.Holder, bytes, func(q *proc) (any, int) {
		if to := w.byProc[q]; to != nil {
			w.receiveEvidence(to, f.p.addr, evidence)
		}
		return nil, 2
	}, func(any, bool) {})
}

func (w *outlierWorld) receiveEvidence(f *proxyNode, from string, evidence []outlier.Evidence) {
	epoch, holds := f.p.members.Holds(outlier.Role)
	f.aggregator.SetHolder(w.now, epoch, holds)
	if f.aggregator.AddEvidence(w.now, from, evidence) {
		w.stepAggregator(f)
	}
}

// stepAggregator steps the aggregator and publishes a new assignment. It repeats every 200 ms while
// the aggregator has open cases.
func (w *outlierWorld) stepAggregator(f *proxyNode) {
	if f.stepScheduled || !f.p.up {
		return
	}
	epoch, holds := f.p.members.Holds(outlier.Role)
	f.aggregator.SetHolder(w.now, epoch, holds)
	a, rank, publish := f.aggregator.Step(w.now, len(w.proxies), w.shardSize)
	if publish {
		body, err := json.Marshal(a)
		if err != nil {
			panic(err)
		}
		w.evidenceBytes += len(body) * len(w.procs)
		f.p.members.Put(w.now, gossip.Entry{Key: assignmentKey, Version: rank, Value: body})
		f.p.stepSoon()
	}
	if f.aggregator.Busy() {
		f.stepScheduled = true
		w.after(200*ms, func() { f.stepScheduled = false; w.stepAggregator(f) })
	}
}

// aggregatorHolder returns the proxy that holds the aggregator role, or nil.
func (w *outlierWorld) aggregatorHolder() *proxyNode {
	for _, f := range w.proxies {
		if _, holds := f.p.members.Holds(outlier.Role); holds && f.p.up {
			return f
		}
	}
	return nil
}

// waitForAll simulates until every proxy that counts has ejected a server, or until none has, and
// records the time.
func (w *outlierWorld) waitForAll(name string, ejected bool, counts func(*proxyNode) bool, row *OutlierRow) {
	begin := w.now
	done := func() bool {
		for _, f := range w.proxies {
			if f.p.up && counts(f) && (f.ejections.Ratio(name) > 0) != ejected {
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

func everyProxy(*proxyNode) bool { return true }

// MeasureOutliers simulates proxies and servers of which one at a time becomes slow, without and
// with each fault. Then it simulates a healthy span in a separate fleet.
func MeasureOutliers(plan OutlierPlan) Outliers {
	out := Outliers{Plan: plan}
	w := newOutlierWorld(plan)
	w.until(30_000*ms, nil)
	begin := w.evidenceBytes
	w.until(60_000*ms, nil)
	out.IdleBytes = float64(w.evidenceBytes-begin) / 30 / float64(plan.Proxies)
	isolatedRow := OutlierRow{What: "a lone mixer has evidence enough"}
	ejectedRow := OutlierRow{What: "all treat it so"}
	restoredRow := OutlierRow{What: "all have it back once it is well"}
	slowSeconds, slowBytes := 0.0, 0
	for range plan.Runs {
		w.until(w.now+w.rng.Int64N(2000*ms), nil)
		name := w.pickServer()
		w.slow[name] = plan.SlowFactor
		from := w.evidenceBytes
		w.waitForAll(name, true, everyProxy, &ejectedRow)
		at := w.now
		w.until(w.now+8000*ms, nil)
		slowSeconds, slowBytes = slowSeconds+float64(w.now-at)/1e6, slowBytes+w.evidenceBytes-from
		delete(w.slow, name)
		w.waitForAll(name, false, everyProxy, &restoredRow)
		w.until(w.now+22_000*ms, nil) // the restored server is under observation for so long
	}
	out.Bytes = float64(slowBytes) / slowSeconds / float64(plan.Proxies)
	out.Rows = append(out.Rows, ejectedRow, restoredRow)
	// Each proxy on its own: no evidence is exchanged, so no server is ejected.
	l := newOutlierWorld(plan)
	l.isolated = true
	l.until(30_000*ms, nil)
	for range max(plan.Runs/4, 1) {
		name := l.pickServer()
		l.slow[name] = plan.SlowFactor
		at := l.now
		known := make(map[*proxyNode]bool)
		l.until(at+60_000*ms, func() bool {
			for _, f := range l.proxies {
				if o, seen := f.observer.Describe(l.now, name); !known[f] && seen && o.Score >= outlier.DefaultConfig.EjectScore {
					known[f] = true
					isolatedRow.Spans = append(isolatedRow.Spans, time.Duration((l.now-at)*micro))
				}
			}
			return len(known) < len(l.proxies)
		})
		isolatedRow.Never += len(l.proxies) - len(known)
		delete(l.slow, name)
		l.until(l.now+20_000*ms, nil)
	}
	out.Rows = append(out.Rows, isolatedRow)
	out.Rows = append(out.Rows, w.measureFaults(&out)...)
	c := newOutlierWorld(plan)
	c.until(int64(plan.HealthySpan)/micro, nil)
	out.FalseEjections, out.HealthySpan = c.ejectionChanges, plan.HealthySpan
	return out
}

func (w *outlierWorld) pickServer() string {
	return serverName(w.rng.IntN(w.plan.Shards), w.rng.IntN(w.plan.ServersPerShard))
}

// measureFaults measures the time to an ejection under lost calls, a dead aggregator and a cut-off
// zone.
func (w *outlierWorld) measureFaults(out *Outliers) (rows []OutlierRow) {
	row := OutlierRow{What: "with a tenth of the calls lost"}
	for range w.plan.Runs {
		w.gossipWorld.plan.Loss = 0.1
		w.measureOne(&row, everyProxy)
	}
	w.gossipWorld.plan.Loss = 0
	rows = append(rows, row)
	row = OutlierRow{What: "the holder dies as it turns slow"}
	for range max(w.plan.Runs/4, 1) {
		h := w.aggregatorHolder()
		if h == nil {
			break
		}
		h.p.up = false
		h.p.incarnation++
		w.measureOne(&row, everyProxy)
		h.p.start()
		h.ejections, h.aggregator, h.lookScheduled, h.stepScheduled = outlier.NewEjections(outlier.DefaultConfig), outlier.NewAggregatorRole(outlier.DefaultConfig, h.p.addr), false, false
		w.until(w.now+15_000*ms, nil)
	}
	rows = append(rows, row)
	row = OutlierRow{What: "a zone is cut off: the others"}
	for range max(w.plan.Runs/4, 1) {
		zone := w.rng.IntN(w.plan.Zones)
		if h := w.aggregatorHolder(); h != nil && h.p.zone == zone {
			zone = (zone + 1) % w.plan.Zones
		}
		w.isCut = func(p, q *proc) bool { return (p.zone == zone) != (q.zone == zone) }
		shard, i := w.rng.IntN(w.plan.Shards), w.rng.IntN(w.plan.ServersPerShard)
		for i%w.plan.Zones == zone { // a server of another zone, which the proxies that are not cut off can reach
			i = (i + 1) % w.plan.ServersPerShard
		}
		name := serverName(shard, i)
		w.slow[name] = w.plan.SlowFactor
		w.waitForAll(name, true, func(f *proxyNode) bool { return f.p.zone != zone }, &row)
		// Cut the zone off again after the server has recovered: its proxies must drop the stale
		// ejection by themselves.
		w.isCut = nil
		w.until(w.now+15_000*ms, nil)
		w.isCut = func(p, q *proc) bool { return (p.zone == zone) != (q.zone == zone) }
		delete(w.slow, name)
		droppedRow := OutlierRow{}
		at := w.now
		w.waitForAll(name, false, func(f *proxyNode) bool { return f.p.zone != zone }, &droppedRow)
		w.until(at+60_000*ms, func() bool {
			for _, f := range w.proxies {
				if f.p.up && f.ejections.Ratio(name) > 0 {
					return true
				}
			}
			return false
		})
		if len(droppedRow.Spans) > 0 {
			out.StaleFor = append(out.StaleFor, max(time.Duration((w.now-at)*micro)-droppedRow.Spans[0], 0))
		}
		w.isCut = nil
		w.until(w.now+25_000*ms, nil)
	}
	return append(rows, row)
}

func (w *outlierWorld) measureOne(row *OutlierRow, counts func(*proxyNode) bool) {
	name := w.pickServer()
	w.slow[name] = w.plan.SlowFactor
	w.waitForAll(name, true, counts, row)
	delete(w.slow, name)
	w.until(w.now+45_000*ms, nil)
}
