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

// CapacityPlan describes a measurement of fleets of several sizes. Its agents and core machines
// run the real state machines and exchange real messages, in memory.
type CapacityPlan struct {
	Agents      []int
	Cores       int
	Zones       int
	PerAgent    float64 // servers per agent
	ConfigBytes int
	Seed        uint64
}

// DefaultCapacityPlan is the command's default plan; its last size is that of the operators' fleet.
var DefaultCapacityPlan = CapacityPlan{Agents: []int{60, 180, 600, 1800}, Cores: 12, Zones: 7, PerAgent: 8700.0 / 1800, ConfigBytes: 100_000, Seed: 1}

// Role is the cost of one process of a role.
type Role struct {
	Calls, Bytes float64 // per second: calls made, and bytes sent including responses
	MostBytes    float64 // bytes per second of the busiest process
}

// Capacity is the result for one fleet size. Its fields are encoded as JSON under their names.
type Capacity struct {
	Agents, Servers int
	Agent, Core     Role          // while the fleet is idle
	State           float64       // bytes of memory per process
	Step            time.Duration // CPU time per process and second, including that of the simulated network
	Beat            time.Duration // CPU time that the registry spends on one heartbeat of a server
	Change          Role          // cost of distributing one new configuration, per agent, uncompressed
	ChangePacked    float64       // the same bytes, compressed as on the wire
	ChangeTo        time.Duration // until all agents have stored it
	Drain           Role          // cost of the update of one server, per agent
	DrainTo         time.Duration
}

const (
	capacityWarmUp     = 20_000 * ms // until a new fleet is idle
	capacityRest       = 20          // seconds measured while the fleet is idle
	capacityUpdateSpan = 10          // seconds measured after an update
)

// MeasureCapacity simulates each size, and reports its progress before each of them.
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
	w := newGossipWorld(GossipPlan{Processes: agents + p.Cores, Cores: p.Cores, Zones: p.Zones, Seed: p.Seed, Delays: DefaultDelays})
	w.until(1000*ms, nil)
	p.preload(w, c.Servers)
	w.until(capacityWarmUp, nil)
	c.State = float64(heapBytes()-before) / float64(len(w.procs))
	began := time.Now()
	c.Agent, c.Core = w.measureTraffic(capacityRest)
	c.Step = time.Since(began) / time.Duration(len(w.procs)*capacityRest)
	c.Beat = p.timeHeartbeats(w, c.Servers)
	c.Change, c.ChangePacked, c.ChangeTo = p.measureConfig(w, c.Agent)
	c.Drain, c.DrainTo = p.measureDrain(w, c.Agent)
	return c
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// preload stores the entries of all servers in every process, as in a fleet that has run for long.
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

// measureTraffic simulates the given number of seconds and returns the traffic of a process of
// each role.
func (w *gossipWorld) measureTraffic(seconds int) (agent, core Role) {
	for _, x := range w.procs {
		x.calls, x.bytes = 0, 0
	}
	w.counting = true
	w.until(w.now+int64(seconds)*1000*ms, nil)
	w.counting = false
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

// timeHeartbeats measures the CPU time of the registry per heartbeat. Each core machine receives
// an equal share of the servers' heartbeats.
func (p CapacityPlan) timeHeartbeats(w *gossipWorld, servers int) time.Duration {
	const rounds = 20
	r := registry.New(w.procs[0].addr, 1<<40)
	share := max(servers/p.Cores, 1)
	store := w.procs[0].members.Store()
	began := time.Now()
	for round := range rounds {
		for i := range share {
			id := fmt.Sprintf("i-%08x", i)
			current, known := store.Get(registry.Prefix + id)
			b := registry.Heartbeat{Service: fmt.Sprint("s", i%140), Addr: "10.100.0.1:8080", Zone: "z1", Revision: "v1", Capacity: 3,
				State: registry.LifecycleAvailable, Sequence: int64(round + 2)}
			r.HandleHeartbeat(w.now, id, b, current, known)
		}
	}
	return time.Since(began) / time.Duration(rounds*share)
}

// measureConfig stores a new configuration at one core machine and measures its distribution.
// The idle traffic is subtracted.
func (p CapacityPlan) measureConfig(w *gossipWorld, rest Role) (Role, float64, time.Duration) {
	body := sampleConfig(p.ConfigBytes)
	item := gossip.Entry{Key: "c", Version: 1 << 20, Value: body}
	r, to := p.measureUpdate(w, rest, item)
	compressedShare := float64(rpc.CompressedSize(body)) / float64(len(body))
	return r, r.Bytes * compressedShare, to
}

// sampleConfig returns a configuration of at least the given size, with routes like those of the
// operators.
func sampleConfig(bytes int) []byte {
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

func (p CapacityPlan) measureDrain(w *gossipWorld, rest Role) (Role, time.Duration) {
	return p.measureUpdate(w, rest, serverItem(0, p.Zones, w.procs[0].addr, 9, registry.Draining))
}

// measureUpdate stores an entry at one core machine and measures what its distribution costs and
// how long it takes until all processes have it.
func (p CapacityPlan) measureUpdate(w *gossipWorld, rest Role, item gossip.Entry) (Role, time.Duration) {
	begun, last, missing := w.now, w.now, len(w.procs)-1
	w.onUpdate = func(_ *proc, i gossip.Entry) {
		if i.Key == item.Key && i.Version == item.Version {
			missing--
			last = w.now
		}
	}
	x := w.procs[0]
	x.members.Put(w.now, item)
	x.stepSoon()
	r, _ := w.measureTraffic(capacityUpdateSpan)
	w.onUpdate = nil
	r.Bytes = (r.Bytes - rest.Bytes) * capacityUpdateSpan
	r.Calls = (r.Calls - rest.Calls) * capacityUpdateSpan
	r.MostBytes = (r.MostBytes - rest.MostBytes) * capacityUpdateSpan
	if missing > 1 { // the machine that stored it may or may not report the update
		return r, time.Duration(math.MaxInt64)
	}
	return r, time.Duration((last - begun) * micro)
}

func capacityCommand() *cobra.Command {
	p := DefaultCapacityPlan
	var asJSON bool
	var chartFile string
	cmd := &cobra.Command{Use: "capacity", Short: "Measure the cost of agents and core machines at several fleet sizes, up to that of the operators", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(p.Agents) == 0 || slices.Min(p.Agents) < 10 || slices.Max(p.Agents) > 4000 || p.Cores < 3 || p.Zones < 1 || p.PerAgent < 0 || p.PerAgent > 20 {
				return errors.New("--agents: 10 to 4000; --cores: at least 3; --zones: at least 1; --servers (per agent): 0 to 20")
			}
			bar := show.NewBar(os.Stderr, "measure")
			all := MeasureCapacity(p, bar.Set)
			if asJSON {
				return writeJSON(c.OutOrStdout(), all)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "agents\tservers\tagent: calls/s\tB/s\tmax\tcore: calls/s\tB/s\tmax\tmemory\tCPU/s\theartbeat\tconfig change: B raw\tB compressed\tto all\tdrain: B\tto all\t")
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
	f.IntSliceVar(&p.Agents, "agents", p.Agents, "numbers of agents to measure")
	f.IntVar(&p.Cores, "cores", p.Cores, "number of core machines")
	f.IntVar(&p.Zones, "zones", p.Zones, "zones")
	f.Float64Var(&p.PerAgent, "servers", p.PerAgent, "servers per agent")
	f.IntVar(&p.ConfigBytes, "config-bytes", p.ConfigBytes, "size of a configuration in bytes")
	f.StringVar(&chartFile, "chart", "", "also write a chart to this file (svg or png)")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// capacityChart plots bytes per second and memory against the fleet size.
func capacityChart(all []Capacity, file string) error {
	p := plot.New()
	p.Title.Text = "Cost of a control-plane or agent process, by fleet size"
	p.X.Label.Text = "agents"
	p.Y.Label.Text = "kB/s; MB of state"
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
