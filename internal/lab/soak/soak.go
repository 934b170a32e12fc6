// Package soak runs the system's real processes under overlapping faults and continuous changes of
// the configuration. An independent judge then checks every request and every acknowledged change
// against the rules. Its parts are plan (sizes, rates and faults of a run), fleet (processes, relays,
// injection of faults), traffic (servers, operator, clients) and judge.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"saddleport/internal/lab/soak/fleet"
	"saddleport/internal/lab/soak/judge"
	"saddleport/internal/lab/soak/plan"
	"saddleport/internal/lab/soak/traffic"
)

const (
	startTimeout  = 60 * time.Second
	readyInterval = 100 * time.Millisecond
	lagSampling   = 4                // one in lagSampling changes that add a route is timed
	lagProxies    = 8                // maximum number of proxies at which a change is timed
	explainWindow = 10 * time.Second // a restart within this time after a fault on its machine is attributed to the fault
)

// ErrNotReady is returned when the processes are not ready in time after their start.
var ErrNotReady = errors.New("the processes are not ready within a minute of their start")

// RuleEnded is the rule that a process breaks which ends without a fault.
const RuleEnded = "ENDED"

// Result is the result of a run.
type Result struct {
	Plan         *plan.Plan          `json:"-"`
	Seed         uint64              `json:"seed"`
	Processes    int                 `json:"processes"`
	LengthS      float64             `json:"length_s"`
	Sent         int                 `json:"changes_sent"`
	Acknowledged int                 `json:"changes_acknowledged"`
	Invalid      int                 `json:"invalid_sent"`
	Newest       int64               `json:"newest_revision"`
	Requests     int                 `json:"requests"`
	Statuses     map[int]int         `json:"statuses"`
	Reads        int                 `json:"reads"`
	Leaves       int                 `json:"servers_left"`
	JudgedTimely int                 `json:"requests_judged_for_timeliness"`
	Faults       []fleet.Disturbance `json:"faults"`
	Lags         []traffic.Lag       `json:"lags"`
	Usage        []Usage             `json:"usage"`
	Findings     []judge.Finding     `json:"findings"`

	record judge.Record // the record that the findings are based on
}

// Run runs a plan with the programs of a directory, and writes its files below dir. It returns
// ErrNotReady if the processes do not become ready, and the error of ctx if that ends first.
func Run(ctx context.Context, p *plan.Plan, programs, dir string) (*Result, error) {
	f, err := fleet.Start(p, programs, dir, fleet.DefaultBounds)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &run{plan: p, fleet: f, recorder: traffic.NewRecorder(f.Now), control: traffic.NewControl(p.CoreMachines(), f.ControlAddr)}
	return r.execute(ctx)
}

type run struct {
	plan     *plan.Plan
	fleet    *fleet.Fleet
	recorder *traffic.Recorder
	control  *traffic.Control
	clients  *traffic.Clients
	operator *traffic.Operator
	usage    *sampler
	readyAt  time.Duration
	lags     sync.WaitGroup
	changes  atomic.Int64 // number of changes that added a route
}

func (r *run) execute(ctx context.Context) (*Result, error) {
	serverCtx, stopServers := context.WithCancel(ctx)
	defer stopServers()
	servers, err := traffic.StartServers(serverCtx, r.control, r.recorder, r.plan.Seed)
	if err != nil {
		return nil, err
	}
	defer servers.Wait()
	defer stopServers()
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	r.operator = traffic.NewOperator(r.control, r.recorder, func(c judge.Change, prefix string) { r.timeChange(clientCtx, c, prefix) })
	r.clients = &traffic.Clients{ProxyAddr: r.fleet.ProxyAddr, Current: r.operator.Current(), Recorder: r.recorder,
		IncarnationAt: func(machine string, by time.Duration) int { return r.fleet.Started(machine, "proxy", by) }}
	rng := rand.New(rand.NewPCG(r.plan.Seed, 31))
	first, ok := r.operator.Begin(ctx, r.plan.Routes, rng)
	if !ok || !r.waitUntilServing(ctx) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, ErrNotReady
	}
	if err := r.fleet.EndBootstrap(); err != nil {
		return nil, err
	}
	r.readyAt = r.fleet.Now()
	r.usage = startSampler(r.fleet)
	var wait sync.WaitGroup
	for i, machine := range r.plan.FrontMachines() {
		wait.Go(func() { r.clients.Run(clientCtx, machine, r.plan.Requests, r.plan.Seed+uint64(i)) })
	}
	changeCtx, stopChanges := context.WithCancel(clientCtx)
	wait.Go(func() { r.operator.Run(changeCtx, first, r.plan.Changes, r.plan.Seed) })
	r.injectFaults(ctx)
	stopChanges()
	stopClients()
	wait.Wait()
	r.lags.Wait()
	end := r.fleet.Now()
	r.readAtEnd(ctx, end)
	usage := r.usage.stop()
	stopServers()
	servers.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return r.result(end, usage), nil
}

// waitUntilServing waits until every proxy reports that it is ready. It returns false after
// startTimeout or if ctx ends.
func (r *run) waitUntilServing(ctx context.Context) bool {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(startTimeout)
	for _, machine := range r.plan.FrontMachines() {
		for !r.ready(ctx, client, machine) {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return false
			}
			time.Sleep(readyInterval)
		}
	}
	return true
}

func (r *run) ready(ctx context.Context, client *http.Client, machine string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.fleet.ReadinessAddr(machine)+"/readiness", nil)
	if err != nil {
		return false
	}
	answer, err := client.Do(request)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// injectFaults injects the plan's faults, and returns at the end of the run or with ctx.
func (r *run) injectFaults(ctx context.Context) {
	begin := time.Now()
	waitUntil := func(seconds float64) bool {
		timer := time.NewTimer(time.Until(begin.Add(time.Duration(seconds * float64(time.Second)))))
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	for _, fault := range r.plan.Faults {
		if !waitUntil(fault.AtS) {
			return
		}
		r.fleet.Inject(fault, ctx.Done())
	}
	waitUntil(r.plan.LengthS)
}

// timeChange measures for some of the changes how long each of several proxies takes to apply them.
func (r *run) timeChange(ctx context.Context, change judge.Change, prefix string) {
	count := int(r.changes.Add(1))
	if count%lagSampling != 0 {
		return
	}
	proxyMachines := r.plan.FrontMachines()
	for i := range min(len(proxyMachines), lagProxies) {
		machine := proxyMachines[(count+i)%len(proxyMachines)]
		r.lags.Go(func() {
			r.clients.MeasureLag(ctx, machine, prefix, change.Revision, change.AckedAt)
		})
	}
}

// readAtEnd reads the configuration until a machine returns it, within the contact bound.
func (r *run) readAtEnd(ctx context.Context, end time.Duration) {
	for r.fleet.Now() < end+r.fleet.Bounds.Contact && ctx.Err() == nil {
		for _, machine := range r.plan.CoreMachines() {
			if r.operator.Read(ctx, machine) == http.StatusOK {
				return
			}
		}
	}
}

// result has the run judged and sums it up.
func (r *run) result(end time.Duration, usage []Usage) *Result {
	record := r.recorder.Record()
	record.End, record.Cores = end, r.plan.Cores
	faults := r.fleet.Disturbances()
	for _, machine := range slices.Concat(r.plan.CoreMachines(), r.plan.FrontMachines()) {
		record.Disturbances = append(record.Disturbances, judge.Disturbance{Machine: machine, Core: plan.IsCore(machine), To: r.readyAt})
	}
	for _, d := range faults {
		record.Disturbances = append(record.Disturbances, judge.Disturbance{Machine: d.Machine, Core: plan.IsCore(d.Machine), From: d.From, To: d.To,
			Planned: d.Kind == plan.Terminate || d.Kind == plan.Reload, Harmless: d.Kind == plan.Reload})
	}
	b := r.fleet.Bounds
	bounds := judge.Bounds{Contact: b.Contact, ConfigApply: b.ConfigApply, DowngradeSlack: b.DowngradeSlack, LossSlack: b.LossSlack, Drain: b.Drain}
	out := &Result{Plan: r.plan, Seed: r.plan.Seed, Processes: r.plan.Processes(), LengthS: r.plan.LengthS, Requests: len(record.Requests), Reads: len(record.Reads),
		Leaves: len(record.Leaves), Statuses: make(map[int]int), Faults: faults, Lags: r.recorder.Lags(), Usage: usage, JudgedTimely: judge.CountInContact(record, bounds)}
	for _, c := range record.Changes {
		out.Sent++
		if c.Routes == nil {
			out.Invalid++
		}
		if c.AckedAt > 0 {
			out.Acknowledged++
			out.Newest = max(out.Newest, c.Revision)
		}
	}
	for _, request := range record.Requests {
		out.Statuses[request.Status]++
	}
	out.Findings = append(judge.Judge(record, bounds), r.unexpectedExits()...)
	out.record = record
	return out
}

// unexpectedExits returns a finding for each process that was restarted without a fault on its
// machine.
func (r *run) unexpectedExits() (findings []judge.Finding) {
	for _, start := range r.fleet.Restarts() {
		explained := slices.ContainsFunc(r.fleet.Disturbances(), func(d fleet.Disturbance) bool {
			return d.Machine == start.Machine && d.From <= start.At && start.At <= d.To+explainWindow
		})
		if !explained {
			findings = append(findings, judge.Finding{Rule: RuleEnded, At: start.At, Process: start.Machine + "/" + start.Program, What: fmt.Sprintf("ended without a fault; its output: %s", start.Log)})
		}
	}
	return findings
}
