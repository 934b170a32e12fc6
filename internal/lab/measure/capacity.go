package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/lab/show"
	"saddleport/internal/node/rpc"
)

// CapacityPlan says what is measured of fleets of several sizes: hollow agents and core
// machines, which hold the real state machines and pass real messages in memory.
type CapacityPlan struct {
	Agents      []int
	Cores       int
	Zones       int
	PerAgent    float64 // servers for each agent
	ConfigBytes int
	Seed        uint64
}

// UsualCapacity is the plan of a run by hand; the last size is the operators' own.
var UsualCapacity = CapacityPlan{Agents: []int{60, 180, 600, 1800}, Cores: 12, Zones: 7, PerAgent: 8700.0 / 1800, ConfigBytes: 100_000, Seed: 1}

// Role is what one role costs, for each process.
type Role struct {
	Calls, Bytes float64 // a second: calls made; bytes sent, answers included
	MostBytes    float64 // of the busiest process
}

// Capacity is what was measured of one size.
type Capacity struct {
	Agents, Servers int
	Agent, Core     Role          // at rest
	State           float64       // bytes of memory that a process holds
	Step            time.Duration // processor time a process and second, the medium's included
	Beat            time.Duration // processor time of one heartbeat of a server at the registry
	Change          Role          // bytes of one new configuration, per agent, as text
	ChangePacked    float64       // the same, as it goes over the wire
	ChangeTo        time.Duration // until all agents hold it
	Drain           Role          // bytes of the update of one server, per agent
	DrainTo         time.Duration
}

const (
	capacityUp         = 20_000 * ms // until a fleet rests
	capacityRest       = 20          // seconds measured at rest
	capacityUpdateSpan = 10          // seconds measured after an update
)

// MeasureCapacity plays each size.
func MeasureCapacity(p CapacityPlan, progress func(done float64, what string)) (out []Capacity) {
	total, done := 0, 0
	for _, n := range p.Agents {
		total += n
	}
	for _, n := range p.Agents {
		progress(float64(done)/float64(total), fmt.Sprintf("%d agents", n))
		out = append(out, p.measure(n))
		done += n
	}
	return out
}

func (p CapacityPlan) measure(agents int) Capacity {
	c := Capacity{Agents: agents, Servers: int(float64(agents) * p.PerAgent)}
	before := heapBytes()
	w := newGossipWorld(GossipPlan{Processes: agents + p.Cores, Cores: p.Cores, Zones: p.Zones, Seed: p.Seed, Delays: Usual})
	w.until(1000*ms, nil)
	p.preload(w, c.Servers)
	w.until(capacityUp, nil)
	c.State = float64(heapBytes()-before) / float64(len(w.procs))
	began := time.Now()
	c.Agent, c.Core = w.weigh(capacityRest)
	c.Step = time.Since(began) / time.Duration(len(w.procs)*capacityRest)
	c.Beat = p.beat(w, c.Servers)
	c.Change, c.ChangePacked, c.ChangeTo = p.change(w, c.Agent)
	c.Drain, c.DrainTo = p.drain(w, c.Agent)
	return c
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// preload has every process store the entries of all servers, as after a fleet has long run.
func (p CapacityPlan) preload(w *gossipWorld, servers int) {
	for i := range servers {
		item := serverItem(i, p.Zones, w.procs[i%p.Cores].addr, 1, registry.Available)
		for _, x := range w.procs {
			x.members.Store().Put(w.now, item, 0, false)
		}
	}
	for _, x := range w.procs {
		x.members.Store().TakePending()
	}
}

func serverItem(i, zones int, by string, seq uint64, state registry.State) gossip.Entry {
	s := registry.Server{ID: fmt.Sprintf("i-%08x", i), Service: fmt.Sprint("s", i%140), Addr: fmt.Sprintf("10.%d.%d.%d:8080", 100+i/60000, i/250%240, i%250),
		Zone: fmt.Sprint("z", i%zones), Revision: "v1", Capacity: 3, State: state, Owner: by}
	body, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return gossip.Entry{Key: registry.Prefix + s.ID, Version: seq << 2, Value: body}
}

// weigh plays so many seconds and tells what a process of each role spends.
func (w *gossipWorld) weigh(seconds int) (agent, core Role) {
	for _, x := range w.procs {
		x.calls, x.bytes = 0, 0
	}
	w.count = true
	w.until(w.now+int64(seconds)*1000*ms, nil)
	w.count = false
	cores := w.plan.cores()
	return roleOf(w.procs[cores:], seconds), roleOf(w.procs[:cores], seconds)
}

func roleOf(procs []*proc, seconds int) (r Role) {
	n := float64(len(procs) * seconds)
	for _, x := range procs {
		r.Calls += float64(x.calls) / n
		r.Bytes += float64(x.bytes) / n
		r.MostBytes = max(r.MostBytes, float64(x.bytes)/float64(seconds))
	}
	return r
}

// beat times the registry's part of heartbeats: each core machine hears its share.
func (p CapacityPlan) beat(w *gossipWorld, servers int) time.Duration {
	const rounds = 20
	r := registry.New(w.procs[0].addr, 1<<40)
	share := max(servers/p.Cores, 1)
	book := w.procs[0].members.Store()
	began := time.Now()
	for round := range rounds {
		for i := range share {
			id := fmt.Sprintf("i-%08x", i)
			held, known := book.Get(registry.Prefix + id)
			b := registry.Heartbeat{Service: fmt.Sprint("s", i%140), Addr: "10.100.0.1:8080", Zone: "z1", Revision: "v1", Capacity: 3,
				State: registry.LifecycleAvailable, Sequence: int64(round + 2)}
			r.HandleHeartbeat(w.now, id, b, held, known)
		}
	}
	return time.Since(began) / time.Duration(rounds*share)
}

// change tells a new configuration at one core machine. What the fleet spends at rest is
// taken off.
func (p CapacityPlan) change(w *gossipWorld, rest Role) (Role, float64, time.Duration) {
	body := config(p.ConfigBytes)
	item := gossip.Entry{Key: "c", Version: 1 << 20, Value: body}
	r, to := p.tell(w, rest, item)
	packed := float64(rpc.CompressedSize(body)) / float64(len(body))
	return r, r.Bytes * packed, to
}

// config is a configuration of about so many bytes, with routes as the operators' have.
func config(bytes int) []byte {
	var routes []map[string]any
	for i := 0; ; i++ {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r-%07x", i*7919), "hostname": fmt.Sprintf("file%d.example", i%40),
			"path_prefix": fmt.Sprintf("/yewu%d/%x/", i*31, i*104729), "route_type": "idempotent", "timeout_ms": 600 + i%9*100,
			"target_latency_ms": 120, "priority": i % 3, "target_service": fmt.Sprint("s", i%140), "max_attempts": 2})
		text, err := json.Marshal(map[string]any{"revision": 7, "routes": routes})
		if err != nil {
			panic(err)
		}
		if len(text) >= bytes {
			return text
		}
	}
}

func (p CapacityPlan) drain(w *gossipWorld, rest Role) (Role, time.Duration) {
	return p.tell(w, rest, serverItem(0, p.Zones, w.procs[0].addr, 9, registry.Draining))
}

// tell gives one core machine an entry, and measures what that costs and how long it
// takes until all hold it.
func (p CapacityPlan) tell(w *gossipWorld, rest Role, item gossip.Entry) (Role, time.Duration) {
	begun, last, missing := w.now, w.now, len(w.procs)-1
	w.watch = func(_ *proc, i gossip.Entry) {
		if i.Key == item.Key && i.Version == item.Version {
			missing--
			last = w.now
		}
	}
	x := w.procs[0]
	x.members.Put(w.now, item)
	x.soon()
	r, _ := w.weigh(capacityUpdateSpan)
	w.watch = nil
	r.Bytes = (r.Bytes - rest.Bytes) * capacityUpdateSpan
	r.Calls = (r.Calls - rest.Calls) * capacityUpdateSpan
	r.MostBytes = (r.MostBytes - rest.MostBytes) * capacityUpdateSpan
	if missing > 1 { // the one that told it may count or not
		return r, time.Duration(math.MaxInt64)
	}
	return r, time.Duration((last - begun) * micro)
}

func capacityCommand() *cobra.Command {
	p := UsualCapacity
	var asJSON bool
	var chartFile string
	cmd := &cobra.Command{Use: "capacity", Short: "What agents and core machines cost at several sizes of the fleet, up to the operators' own", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(p.Agents) == 0 || slices.Min(p.Agents) < 10 || slices.Max(p.Agents) > 4000 || p.Cores < 3 || p.Zones < 1 || p.PerAgent < 0 || p.PerAgent > 20 {
				return errors.New("agents: 10 to 4000, cores: 3 at least, zones: 1 at least, servers for each agent: 0 to 20")
			}
			bar := show.NewBar(os.Stderr, "measure")
			all := MeasureCapacity(p, bar.Set)
			if asJSON {
				return put(c.OutOrStdout(), all)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "agents\tservers\tagent: calls/s\tB/s\tmost\tcore: calls/s\tB/s\tmost\tmemory\tprocessor/s\ta beat\ta change: B text\tB packed\tto all\ta drain: B\tto all\t")
			for _, x := range all {
				fmt.Fprintf(w, "%d\t%d\t%.2f\t%.0f\t%.0f\t%.2f\t%.0f\t%.0f\t%.2f MB\t%s\t%s\t%.0f\t%.0f\t%s\t%.0f\t%s\t\n", x.Agents, x.Servers, x.Agent.Calls, x.Agent.Bytes,
					x.Agent.MostBytes, x.Core.Calls, x.Core.Bytes, x.Core.MostBytes, x.State/(1<<20), x.Step, x.Beat, x.Change.Bytes, x.ChangePacked,
					x.ChangeTo.Round(time.Millisecond), x.Drain.Bytes, x.DrainTo.Round(time.Millisecond))
			}
			if err := w.Flush(); err != nil || chartFile == "" {
				return err
			}
			return capacityChart(all, chartFile)
		}}
	f := cmd.Flags()
	f.IntSliceVar(&p.Agents, "agents", p.Agents, "sizes of the fleet")
	f.IntVar(&p.Cores, "cores", p.Cores, "core machines")
	f.IntVar(&p.Zones, "zones", p.Zones, "zones")
	f.Float64Var(&p.PerAgent, "servers", p.PerAgent, "servers for each agent")
	f.IntVar(&p.ConfigBytes, "config-bytes", p.ConfigBytes, "of a configuration")
	f.StringVar(&chartFile, "chart", "", "also draw a chart into this file (svg or png)")
	f.BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

// capacityChart draws bytes a second and memory against the size of the fleet.
func capacityChart(all []Capacity, file string) error {
	p := plot.New()
	p.Title.Text = "A process of the control side, by the size of the fleet"
	p.X.Label.Text = "agents"
	p.Y.Label.Text = "kB a second; MB of state"
	lines := []struct {
		name  string
		value func(Capacity) float64
	}{
		{"agent, kB/s at rest", func(c Capacity) float64 { return c.Agent.Bytes / 1000 }},
		{"core, kB/s at rest", func(c Capacity) float64 { return c.Core.Bytes / 1000 }},
		{"state, MB", func(c Capacity) float64 { return c.State / (1 << 20) }},
	}
	for i, l := range lines {
		points := make(plotter.XYs, len(all))
		for k, c := range all {
			points[k].X, points[k].Y = float64(c.Agents), l.value(c)
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Dashes = []vg.Length{vg.Points(float64(2 + 3*i)), vg.Points(float64(2 * i))}
		p.Add(line, dots)
		p.Legend.Add(l.name, line, dots)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}
