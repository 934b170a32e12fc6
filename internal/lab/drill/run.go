package drill

// This file runs a drill once: it starts the stand-ins and the program, performs the
// steps, and collects the results.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"saddleport/internal/control"
	"saddleport/internal/core/placement"
	"saddleport/internal/hook"
	"saddleport/internal/inifile"
	"saddleport/internal/lab/child"
	"saddleport/internal/lab/client"
	"saddleport/internal/lab/disco"
	"saddleport/internal/lab/judge"
	"saddleport/internal/lab/leaf"
	"saddleport/internal/lab/reshape"
	"saddleport/internal/source/segments"
)

const (
	readyTimeout  = 60 * time.Second
	exitTimeout   = 30 * time.Second
	loadAfterStop = 300 * time.Millisecond // the load continues for this long after SIGTERM
	grace         = 2*time.Second + judge.Slack
)

// Options control how a drill is run.
type Options struct {
	Program  string                     // path of the proxy's program
	Out      string                     // folder for logs; empty: a temporary one
	Progress func(run string, s Sample) // called every second
	Notice   func(run, format string, a ...any)
}

// Sample is the state of a run at one time.
type Sample struct {
	At, Of    time.Duration
	Open      int
	RSS       inifile.Bytes
	Files     int
	Hooks     []hook.Status
	LastSteps string
}

// Run is the result of one run of a drill.
type Run struct {
	Name     string
	Verdict  *judge.Verdict
	Rate     float64 // queries a second
	RSSMost  inifile.Bytes
	FilesTop int
	CPU      time.Duration // used by the proxies
	Report   hook.Report   // the first proxy's hooks, at the end
	Faults   map[hook.Kind]int64
	Calls    int64
	Opened   int
	Unasked  int
	Reshapes map[string]int `json:",omitempty"`
	Broken   []string       // problems other than rule violations
	Log      string
}

type run struct {
	d       *Drill
	opt     Options
	name    string
	hooks   bool
	dir     string
	j       *judge.Judge
	disco   *disco.Server
	leaves  map[string]*leaf.Server
	addrs   map[string]string
	world   *reshape.World
	proxies []*child.Proxy
	leafMu  sync.Mutex // guards leaves once the drill runs

	evacuating sync.WaitGroup

	mu           sync.Mutex
	problems     []string
	faults       map[hook.Kind]int64
	opened       map[string]int // by hook: the largest count seen, since a replaced set's counts are lost
	calls        map[string]int64
	faultsByHook map[string]map[hook.Kind]int64
	lastStep     string
	report       hook.Report
	stopping     bool
	maxRSS       inifile.Bytes
	maxFiles     int
}

// Play runs a drill once, with its hooks or without.
func Play(ctx context.Context, d *Drill, opt Options, hooks bool) (*Run, error) {
	name := "with hooks"
	switch {
	case d.Reshape.Segments > 0 && hooks:
		name = "reshaping"
	case d.Reshape.Segments > 0:
		name = "at rest"
	case !hooks:
		name = "without hooks"
	}
	dir := opt.Out
	if dir == "" {
		tmp, err := os.MkdirTemp("", "lab")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(tmp)
		dir = tmp
	}
	work, err := os.MkdirTemp("", "lab") // a socket's path is limited in length, so it is not put below dir
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(work)
	r := &run{d: d, opt: opt, name: name, hooks: hooks, dir: work, leaves: make(map[string]*leaf.Server), addrs: make(map[string]string),
		faults: make(map[hook.Kind]int64), opened: make(map[string]int), calls: make(map[string]int64),
		faultsByHook: make(map[string]map[hook.Kind]int64)}
	defer r.close()
	if err := r.startStandIns(); err != nil {
		return nil, err
	}
	logFile := filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+".log")
	for i := range d.Proxy.Count {
		file := logFile
		if i > 0 {
			file = strings.TrimSuffix(logFile, ".log") + fmt.Sprintf("-%d.log", i)
		}
		if err := r.start(i, file); err != nil {
			return nil, err
		}
	}
	return r.runLoad(ctx, logFile)
}

func (r *run) startStandIns() error {
	d := r.d
	var classes []judge.Class
	for _, c := range d.Classes {
		classes = append(classes, judge.Class{Name: c.Name, Unsafe: c.Effect != "free", Need: c.Need, Floor: c.Floor})
	}
	r.j = judge.New(classes, grace)
	if d.Reshape.Segments > 0 {
		c := d.Reshape
		cells := make(map[int][]string)
		for _, name := range d.Servers() {
			cell, _ := strconv.Atoi(strings.Split(name, "-")[1])
			cells[cell] = append(cells[cell], name)
		}
		every := c.Every
		if !r.hooks { // the baseline run, with which the run with reshapes is compared
			every = 0
		}
		var err error
		if r.world, err = reshape.New(reshape.Config{Cells: cells, Segments: c.Segments, KeysPerSegment: c.KeysPerSegment, Interval: every, StepTime: c.Step, FeedDelay: c.Lag,
			AbortShare: c.AbortShare, CrashShare: c.CrashShare, Downtime: c.CrashDowntime, NoFence: !c.Fence, HandoverKillShare: c.KillAfterCutover, KillCell: r.killCell, Seed: uint64(d.Seed), Judge: r.j}); err != nil {
			return err
		}
	}
	var entries []disco.Entry
	for i, name := range d.Servers() {
		s, err := leaf.Listen(name, "", r.model(i, name), r.j)
		if err != nil {
			return err
		}
		r.leaves[name], r.addrs[name] = s, s.Addr
		entries = append(entries, r.entry(name, "SERVING"))
	}
	var err error
	if r.disco, err = disco.Listen(entries); err != nil {
		return err
	}
	r.disco.OnSent = func(e disco.Entry, at time.Time) {
		if e.Status == "SERVING" {
			at = time.Time{}
		}
		r.j.DrainReported(e.Name, at)
	}
	return nil
}

func (r *run) model(i int, name string) leaf.Model {
	f := r.d.Fleet
	var keeper leaf.KeyOwner
	if r.world != nil {
		cell, _ := strconv.Atoi(strings.Split(name, "-")[1])
		keeper = &reshape.CellOwner{World: r.world, Cell: cell}
	}
	return leaf.Model{Owner: keeper, SlowStartTime: f.WarmTime, Cores: f.Cores, QueueLimit: f.QueueCapacity, Median: f.Median, Sigma: f.Sigma, Seed: uint64(r.d.Seed)<<16 + uint64(i)}
}

func (r *run) entry(name, status string) disco.Entry {
	cell, _ := strconv.Atoi(strings.Split(name, "-")[1])
	return disco.Entry{Name: name, Address: r.addrs[name], Zone: "amman-north", Type: "std-2c", Group: cell, Status: status, Weight: 1}
}

// start writes the configuration and operator files of proxy n and starts it.
func (r *run) start(n int, logFile string) error {
	d := r.d
	port, err := child.FreePort()
	if err != nil {
		return err
	}
	listen := fmt.Sprintf("127.0.0.1:%d", port)
	list := func(f func(Class) any) []any {
		var out []any
		for _, c := range d.Classes {
			out = append(out, f(c))
		}
		return out
	}
	config := map[string]any{
		"name": fmt.Sprintf("lab%d", n), "listen": listen, "discovery": r.disco.Addr, "seed": fmt.Sprintf("%016x", d.Seed+1+n),
		"limits": map[string]any{"cores": d.Proxy.Cores, "memory_mb": int64(d.Proxy.Memory >> 20), "sockets": d.Proxy.Sockets},
		"known":  r.disco.Snapshot(),
		"settings": map[string]any{"balancers": d.Proxy.Count, "discovery": "ask", "resolution": 5000, "kinds": []string{"std-2c"}, "tenants": []any{},
			"request-classes": list(func(c Class) any {
				return map[string]any{"name": c.Name, "aim": c.LatencyTarget.Microseconds(), "deadline": c.Timeout.Microseconds(), "effect": c.Effect,
					"late-worth": 0.1, "memory-span": 5000000, "value": 1.0}
			}),
			"family-info": map[string]any{"bundle-max": 1, "class-fetch": list(func(Class) any { return 0 }),
				"class-floor": list(func(c Class) any { return c.Floor }), "need-by-class": list(func(c Class) any { return c.Need }),
				"partial-earns": list(func(Class) any { return 0.9 }), "places": d.Fleet.Cells, "slices": d.Fleet.Shards, "width": 1, "per-call-work": 0},
			"limits": map[string]any{"cancel": true, "dial-timeout": 250000, "keepalive": 15000000, "max-retry-after": 2000000, "most-held": 20000,
				"parallel-tries": false, "probes": true, "retry-after": false, "send-cap": 4, "streams-per-conn": 100},
			"report": map[string]any{"fields": []string{"inflight"}, "source": "piggyback"},
			"rules": map[string]any{"answer-slack": 20000, "ask-within": 10000000, "cold": 18000000, "drain-grace": 2000000, "fall": 2000000,
				"fall-multiple": 2.0, "start-capacity": 0.16}}}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.dir, fmt.Sprintf("config-%d.json", n)), text, 0o600); err != nil {
		return err
	}
	args := []string{"serve", "--config", filepath.Join(r.dir, fmt.Sprintf("config-%d.json", n))}
	if r.hooks || r.world != nil {
		dir := ""
		if r.hooks {
			dir = d.resolvePath(d.Hooks.Dir)
		}
		if err := r.writeOperatorFile(n, dir); err != nil {
			return err
		}
		args = append(args, "--operator", r.operatorPath(n))
	}
	var ready func() bool
	if r.world != nil {
		ready = func() bool { return r.hasMap(n) }
	}
	os.Remove(logFile)
	x, err := child.Start(r.opt.Program, listen, logFile, ready, args...)
	if err == nil {
		r.proxies = append(r.proxies, x)
	}
	return err
}

// hasMap reports whether proxy n has a segment map.
func (r *run) hasMap(n int) bool {
	var rep segments.Report
	return control.Call(r.socket(n), &rep, "segments", "show") == nil && rep.Epoch > 0
}

func (r *run) operatorPath(n int) string {
	return filepath.Join(r.dir, fmt.Sprintf("operator-%d.ini", n))
}
func (r *run) socket(n int) string { return filepath.Join(r.dir, fmt.Sprintf("s%d", n)) }

// writeOperatorFile writes the operator file of proxy n, with the folder of a hook set.
func (r *run) writeOperatorFile(n int, set string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "[control]\nsocket = %s\n", r.socket(n))
	if r.world != nil {
		fmt.Fprintf(&b, "[segments]\nfeed = %s\n", r.world.Addr)
	}
	b.WriteString("[hooks]\n")
	h := r.d.Hooks
	h.Dir = ""
	if set != "" {
		abs, err := filepath.Abs(set)
		if err != nil {
			return err
		}
		h.Dir = abs
	}
	for _, f := range inifile.Fields(&h) {
		value := f.Value
		if value == "true" {
			value = "yes"
		} else if value == "false" {
			value = "no"
		}
		fmt.Fprintf(&b, "%s = %s\n", f.Key, value)
	}
	return os.WriteFile(r.operatorPath(n), []byte(b.String()), 0o600)
}

// runLoad runs the load and the steps, and samples the proxies every second.
func (r *run) runLoad(ctx context.Context, logFile string) (*Run, error) {
	d := r.d
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var nextMixer atomic.Uint64
	c := client.Config{Addr: func() string { return r.proxies[nextMixer.Add(1)%uint64(len(r.proxies))].Listen }, Shards: d.Fleet.Shards,
		Seed: uint64(d.Seed), Judge: r.j, MaxIdle: d.Proxy.Sockets / 3}
	var reshaping sync.WaitGroup
	if r.world != nil {
		c.Map, c.Keys = func() *placement.Map { return r.world.Map(d.Reshape.EpochsBehind) }, r.world.Keys
	}
	clients := client.New(c)
	begin := time.Now()
	loading, stop := context.WithDeadline(ctx, begin.Add(d.Length))
	defer stop()
	if r.world != nil {
		reshaping.Add(1)
		go func() {
			defer reshaping.Done()
			r.world.Run(loading)
		}()
	}
	var loads sync.WaitGroup
	for _, c := range d.Classes {
		loads.Add(1)
		go func() {
			defer loads.Done()
			clients.Run(loading, client.Class{Name: c.Name, Rate: c.Rate, Parts: c.Parts, Timeout: c.Timeout, Text: c.Text, Booking: c.Booking}, begin)
		}()
	}
	var steps sync.WaitGroup
	steps.Add(1)
	go func() {
		defer steps.Done()
		for _, s := range d.Steps {
			select {
			case <-loading.Done():
				return
			case <-time.After(time.Until(begin.Add(s.At))):
			}
			r.runStep(s, stop)
		}
	}()
	samplerDone := make(chan struct{})
	go func() {
		defer close(samplerDone)
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			r.sample(begin)
			select {
			case <-loading.Done():
				return
			case <-tick.C:
			}
			for _, x := range r.proxies {
				r.mu.Lock()
				stopping := r.stopping
				r.mu.Unlock()
				select {
				case err := <-x.Exited:
					x.Exited <- err
					if !stopping {
						r.addProblem("a proxy exited under load: %v", err)
						stop()
						return
					}
				default:
				}
			}
		}
	}()
	loads.Wait()
	steps.Wait()
	<-samplerDone
	reshaping.Wait()
	r.evacuating.Wait()
	span := time.Since(begin)
	r.sample(begin)
	r.stopProxies()
	result := &Run{Name: r.name, Verdict: r.j.Judge(begin.Add(d.Warmup), begin.Add(d.Length)), Unasked: clients.Close(), Log: logFile,
		RSSMost: r.maxRSS, FilesTop: r.maxFiles, Faults: r.faults, Broken: r.problems}
	result.Rate = float64(result.Verdict.Queries) / min(span, d.Length).Seconds()
	result.Verdict.Doubled += result.Unasked
	for _, n := range r.calls {
		result.Calls += n
	}
	for _, kinds := range r.faultsByHook {
		for k, n := range kinds {
			result.Faults[k] += n
		}
	}
	for _, n := range r.opened {
		result.Opened += n
	}
	result.Report = r.report
	for _, x := range r.proxies {
		if x.Cmd.ProcessState != nil {
			result.CPU += x.Cmd.ProcessState.UserTime() + x.Cmd.ProcessState.SystemTime()
		}
	}
	if r.world != nil {
		result.Reshapes = r.world.Counts()
	}
	return result, ctx.Err()
}

func (r *run) addProblem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// runStep performs one step. stop ends the load.
func (r *run) runStep(s Step, stop func()) {
	if !r.hooks && (strings.HasPrefix(s.Action, "hooks") || s.Action == "bad-hooks" || s.Action == "reload" || s.Action == "enable" || s.Action == "disable") {
		return
	}
	r.mu.Lock()
	r.lastStep = s.Name
	r.mu.Unlock()
	if r.opt.Notice != nil {
		r.opt.Notice(r.name, "%6v  step %s: %s %s", s.At, s.Name, s.Action, s.Set+s.Server+s.Hook)
	}
	var rep hook.Report
	var err error
	switch s.Action {
	case "hooks", "bad-hooks":
		r.sample(time.Now()) // the counts of the set that is replaced
		if err = control.Call(r.socket(0), &rep, "hooks", "list"); err != nil {
			break
		}
		before := rep.Swaps
		for n := range r.proxies {
			if err = r.writeOperatorFile(n, r.d.resolvePath(s.Set)); err != nil {
				break
			}
		}
		r.signal(syscall.SIGHUP)
		for until := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
			if err = control.Call(r.socket(0), &rep, "hooks", "list"); err != nil {
				break
			}
			if s.Action == "hooks" && rep.Swaps > before || s.Action == "bad-hooks" && rep.Rejected != "" {
				break
			}
			if s.Action == "bad-hooks" && rep.Swaps > before {
				err = errors.New("a set of hooks that must be rejected was activated")
				break
			}
			if rep.Rejected != "" && s.Action == "hooks" {
				err = errors.New(rep.Rejected)
				break
			}
			if time.Now().After(until) {
				err = errors.New("the set of hooks was neither activated nor rejected in time")
				break
			}
		}
		if err == nil && s.By == "command" {
			err = control.Call(r.socket(0), &rep, "hooks", "reload")
		}
	case "reload":
		err = control.Call(r.socket(0), &rep, "hooks", "reload")
	case "enable", "disable":
		err = control.Call(r.socket(0), &rep, "hooks", s.Action, s.Hook)
	case "stop":
		r.sample(time.Now())
		r.mu.Lock()
		r.stopping = true
		r.mu.Unlock()
		r.signal(syscall.SIGTERM)
		time.Sleep(loadAfterStop)
		stop()
	case "hang", "fail", "busy", "claim", "well":
		r.leafMu.Lock()
		defer r.leafMu.Unlock()
		r.leaves[s.Server].Set(map[string]leaf.Mode{"hang": leaf.Hang, "fail": leaf.Fail, "busy": leaf.Busy, "claim": leaf.IgnoreOwnership, "well": leaf.Healthy}[s.Action])
	case "kill":
		r.leafMu.Lock()
		r.leaves[s.Server].Close()
		r.leafMu.Unlock()
	case "revive":
		err = r.revive(s.Server)
	case "evacuate":
		if r.hooks { // not in the baseline run
			r.evacuating.Go(func() {
				if err := r.world.Evacuate(s.Cell); err != nil {
					r.addProblem("step %s: %v", s.Name, err)
				}
			})
		}
	case "drain":
		r.disco.Put(r.entry(s.Server, "DRAINING"))
	case "serve":
		r.disco.Put(r.entry(s.Server, "SERVING"))
	}
	if err != nil {
		r.addProblem("step %s: %v", s.Name, err)
	}
}

// revive restarts a crashed server, in slow start if the drill sets a cold share.
func (r *run) revive(name string) error {
	m := r.model(indexOf(r.d.Servers(), name), name)
	m.SlowStartShare = r.d.Fleet.ColdShare
	r.leafMu.Lock()
	defer r.leafMu.Unlock()
	r.leaves[name].Close()
	l, err := leaf.Listen(name, r.addrs[name], m, r.j)
	if err != nil {
		return err
	}
	r.leaves[name] = l
	if m.SlowStartShare > 0 {
		e := r.entry(name, "SERVING")
		e.Since = time.Now().UnixMilli()
		r.disco.Put(e)
	}
	return nil
}

// killCell stops all servers of a cell and restarts them after KillDowntime. The
// returned channel is closed when they are back.
func (r *run) killCell(cell int) <-chan struct{} {
	restored := make(chan struct{})
	names := r.d.Servers()[cell*r.d.Fleet.Replicas : (cell+1)*r.d.Fleet.Replicas]
	for _, name := range names {
		r.leafMu.Lock()
		l := r.leaves[name]
		r.leafMu.Unlock()
		l.Close()
	}
	go func() {
		defer close(restored)
		time.Sleep(r.d.Reshape.KillDowntime)
		for _, name := range names {
			if err := r.revive(name); err != nil {
				r.addProblem("server %s did not restart: %v", name, err)
			}
		}
	}()
	return restored
}

func indexOf(list []string, s string) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return -1
}

// sample records the proxies' memory, open files and hook counters.
func (r *run) sample(begin time.Time) {
	s := Sample{At: time.Since(begin), Of: r.d.Length, Open: r.j.Open()}
	for _, x := range r.proxies {
		rss, files := child.ResourceUsage(x.Cmd.Process.Pid)
		s.RSS, s.Files = max(s.RSS, rss), max(s.Files, files)
	}
	var rep hook.Report
	r.mu.Lock()
	stopping := r.stopping
	r.mu.Unlock()
	reported := r.hooks && !stopping && control.Call(r.socket(0), &rep, "hooks", "list") == nil
	r.mu.Lock()
	r.maxRSS, r.maxFiles = max(r.maxRSS, s.RSS), max(r.maxFiles, s.Files)
	if reported {
		r.report = rep
		for _, h := range rep.Hooks {
			// Counts continue if the next set has the same hook, so the key omits the set.
			key := h.Name
			r.calls[key], r.opened[key] = max(r.calls[key], h.Calls), max(r.opened[key], h.Opened)
			r.faultsByHook[key] = h.Faults
		}
	}
	s.Hooks, s.LastSteps = rep.Hooks, r.lastStep
	r.mu.Unlock()
	if r.opt.Progress != nil && s.At < 24*time.Hour && s.At > 0 {
		r.opt.Progress(r.name, s)
	}
}

func (r *run) signal(s os.Signal) {
	for _, x := range r.proxies {
		x.Signal(s)
	}
}

// stopProxies stops the proxies and checks how they exited.
func (r *run) stopProxies() {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.signal(syscall.SIGTERM)
	for _, x := range r.proxies {
		if err := x.Wait(exitTimeout); err != nil {
			r.addProblem("%v", err)
		}
	}
}

func (r *run) close() {
	for _, x := range r.proxies {
		x.Kill()
	}
	if r.world != nil {
		r.world.Close() // waits until the servers that it killed are back
	}
	if r.disco != nil {
		r.disco.Close()
	}
	for _, l := range r.leaves {
		l.Close()
	}
}
