// Package fleet runs the system's built programs as processes on loopback addresses, one address per
// machine, with a relay in front of each machine that can cut it off, and injects the faults of a
// plan. It owns the processes that it starts and ends no others. It never uses what the processes
// report about themselves.
package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"saddleport/internal/lab/ports"
	"saddleport/internal/lab/soak/plan"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/nodesettings"
)

// Bounds are the time bounds of the rules. The processes are configured with them and judged by them.
type Bounds struct {
	Contact, ConfigApply, DowngradeSlack, LossSlack, Drain, Grace time.Duration
}

// DefaultBounds are the bounds of the operators' small sites.
var DefaultBounds = Bounds{Contact: 5 * time.Second, ConfigApply: 3 * time.Second, DowngradeSlack: 250 * time.Millisecond,
	LossSlack: 200 * time.Millisecond, Drain: 3 * time.Second, Grace: 6 * time.Second}

const (
	memoryMB      = 284
	maxOpenFiles  = 1000
	controlPort   = 9 // offset from the first port of the range between processes
	frontPort     = 8
	readinessPort = 7
	firstFront    = 20 // the last address byte of front machine i is firstFront + i
	seedMachines  = 3
)

// Errors of a fleet that cannot start.
var (
	ErrProgramMissing = errors.New("program is missing: build the system first, see deploy/system.toml")
	ErrDirInUse       = errors.New("folder is in use: it is not empty")
)

// Disturbance is a span in which an injected fault affected a machine. Its fields are encoded as JSON
// under their names.
type Disturbance struct {
	Machine  string
	Program  string // empty: all programs of the machine
	Kind     plan.Kind
	From, To time.Duration
}

// Fleet runs the processes of a plan.
type Fleet struct {
	Plan   *plan.Plan
	Bounds Bounds
	Dir    string

	programs  string
	subnet    string
	loopback  string
	port      int
	begin     time.Time
	network   *network
	relays    []*relay
	processes []*process

	mu           sync.Mutex
	disturbances []Disturbance
	faults       sync.WaitGroup
	reloads      int
}

// Start starts all processes of a plan, with their files below dir; Close ends them. It returns
// ErrProgramMissing or ErrDirInUse before anything is started.
func Start(p *plan.Plan, programs, dir string, bounds Bounds) (*Fleet, error) {
	for _, program := range []string{admin.ControlPlane, admin.Agent, admin.Proxy} {
		if _, err := exec.LookPath(filepath.Join(programs, program)); err != nil {
			return nil, fmt.Errorf("%s: %w", filepath.Join(programs, program), ErrProgramMissing)
		}
	}
	if entries, err := os.ReadDir(dir); err == nil && len(entries) > 0 {
		return nil, fmt.Errorf("%s: %w", dir, ErrDirInUse)
	}
	port, err := ports.FreeRange(controlPort + 1)
	if err != nil {
		return nil, err
	}
	second, third := 1+rand.IntN(120), rand.IntN(250)
	f := &Fleet{Plan: p, Bounds: bounds, Dir: dir, programs: programs, port: port, network: newNetwork(), begin: time.Now(),
		subnet: fmt.Sprintf("127.%d.%d", second, third), loopback: fmt.Sprintf("127.%d.%d", second+125, third)}
	for _, machine := range slices.Concat(p.CoreMachines(), p.FrontMachines()) {
		if err := f.startMachine(machine); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startMachine(machine string) error {
	dir := filepath.Join(f.Dir, machine)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := f.writeSettings(machine, true); err != nil {
		return err
	}
	listen := fmt.Sprintf("%s:%d", f.address(machine), f.port)
	target := fmt.Sprintf("%s:%d", f.loopbackOf(machine), f.port)
	relay, err := startRelay(f.network, machine, listen, target, f.machineAt)
	if err != nil {
		return err
	}
	f.relays = append(f.relays, relay)
	programs := [][]string{{admin.ControlPlane}}
	if !plan.IsCore(machine) {
		programs = [][]string{{admin.Agent}, {admin.Proxy, "--no-ejection"}}
	}
	for _, arguments := range programs {
		command := append([]string{filepath.Join(f.programs, arguments[0]), "run", "--settings", f.settingsFile(machine)}, arguments[1:]...)
		process, err := newProcess(machine, arguments[0], dir, f.Now, command...)
		if err != nil {
			return err
		}
		f.processes = append(f.processes, process)
		go process.run()
	}
	return nil
}

// Now returns the time since the start.
func (f *Fleet) Now() time.Duration { return time.Since(f.begin) }

func (f *Fleet) hostNumber(machine string) int {
	var n int
	fmt.Sscanf(machine[strings.IndexByte(machine, '-')+1:], "%d", &n)
	if plan.IsCore(machine) {
		return n
	}
	return firstFront + n
}

func (f *Fleet) address(machine string) string {
	return fmt.Sprintf("%s.%d", f.subnet, f.hostNumber(machine))
}

func (f *Fleet) loopbackOf(machine string) string {
	return fmt.Sprintf("%s.%d", f.loopback, f.hostNumber(machine))
}

// machineAt returns the name of the machine with a source address, or an empty string.
func (f *Fleet) machineAt(ip string) string {
	for _, machine := range slices.Concat(f.Plan.CoreMachines(), f.Plan.FrontMachines()) {
		if f.loopbackOf(machine) == ip {
			return machine
		}
	}
	return ""
}

// ControlAddr returns the address at which a control-plane machine accepts calls from servers and
// operators.
func (f *Fleet) ControlAddr(machine string) string {
	return fmt.Sprintf("%s:%d", f.address(machine), f.port+controlPort)
}

// ProxyAddr returns the address at which a machine's proxy accepts clients.
func (f *Fleet) ProxyAddr(machine string) string {
	return fmt.Sprintf("%s:%d", f.address(machine), f.port+frontPort)
}

// Zone returns the zone of a machine.
func (f *Fleet) Zone(machine string) string {
	return fmt.Sprint("z", f.hostNumber(machine)%f.Plan.Zones)
}

func (f *Fleet) settingsFile(machine string) string {
	return filepath.Join(f.Dir, machine, "boot.conf")
}

func (f *Fleet) dataDir(machine string) string { return filepath.Join(f.Dir, machine, "data") }

// writeSettings writes the settings file of a machine's processes, and checks that they can load it.
// first sets the bootstrap option, for the first start of the system.
func (f *Fleet) writeSettings(machine string, first bool) error {
	var seeds, zones []string
	for i := range min(seedMachines, f.Plan.Cores) {
		seeds = append(seeds, f.ControlAddr(plan.CoreName(i+1)))
	}
	for z := range f.Plan.Zones {
		zones = append(zones, fmt.Sprintf("zones.z%d=g%d\n", z, z))
	}
	zone := f.Zone(machine)
	text := fmt.Sprintf("node_name=%s\nip_address=%s\nloopback_ip=%s\nzone=%s\nregion=g%s\n%sinternal_port_range=%d,%d\nseed_addresses=%s\nbootstrap=%t\n"+
		"limits.memory_mb=%d\nlimits.max_open_files=%d\ndata_directory=%s\nheartbeat_interval_ms=1200\nfault_tolerance.machines=%d\n"+
		"listen_addresses.control_plane=%s\nlisten_addresses.front=%s\nlisten_addresses.readiness=%s:%d\n"+
		"bounds.contact_ms=%d\nbounds.config_apply_ms=%d\nbounds.drain_ms=%d\nbounds.grace_s=%g\nbounds.loss_slack_ms=%d\n"+
		"bounds.retry_window_s=10\nbounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=58\nreloads=%d\n",
		machine, f.address(machine), f.loopbackOf(machine), zone, zone[1:], strings.Join(zones, ""), f.port, f.port+readinessPort-1, strings.Join(seeds, ","), first,
		memoryMB, maxOpenFiles, f.dataDir(machine), (f.Plan.Cores-1)/2, f.ControlAddr(machine), f.ProxyAddr(machine), f.address(machine), f.port+readinessPort,
		f.Bounds.Contact.Milliseconds(), f.Bounds.ConfigApply.Milliseconds(), f.Bounds.Drain.Milliseconds(), f.Bounds.Grace.Seconds(), f.Bounds.LossSlack.Milliseconds(), f.reloads)
	if err := os.MkdirAll(f.dataDir(machine), 0o755); err != nil {
		return err
	}
	next := f.settingsFile(machine) + ".next"
	if err := os.WriteFile(next, []byte(text), 0o644); err != nil {
		return err
	}
	if _, err := nodesettings.Load(next); err != nil {
		return err
	}
	return os.Rename(next, f.settingsFile(machine))
}

// EndBootstrap rewrites all settings without the bootstrap option, once the system has started for
// the first time.
func (f *Fleet) EndBootstrap() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, machine := range slices.Concat(f.Plan.CoreMachines(), f.Plan.FrontMachines()) {
		if err := f.writeSettings(machine, false); err != nil {
			return err
		}
	}
	return nil
}

// Started returns the number of starts of a machine's program by a time.
func (f *Fleet) Started(machine, program string, by time.Duration) (n int) {
	for _, p := range f.processes {
		if p.machine == machine && p.program == program {
			for _, at := range p.startTimes() {
				if at <= by {
					n++
				}
			}
		}
	}
	return n
}

// Close waits for the faults to end, and then ends all processes and relays.
func (f *Fleet) Close() {
	f.faults.Wait()
	var wait sync.WaitGroup
	for _, p := range f.processes {
		wait.Go(p.end)
	}
	wait.Wait()
	for _, r := range f.relays {
		r.close()
	}
}

// Disturbances returns the disturbances by the faults injected so far.
func (f *Fleet) Disturbances() []Disturbance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.disturbances)
}

// Inject injects a fault and returns immediately. The fault ends after its duration, or once
// cancelled is closed.
func (f *Fleet) Inject(fault plan.Fault, cancelled <-chan struct{}) {
	span := time.Duration(fault.ForS * float64(time.Second))
	f.recordFault(fault, span)
	switch fault.Kind {
	case plan.Terminate:
		f.signal(fault, syscall.SIGTERM, 0)
	case plan.Kill, plan.Wipe:
		f.signal(fault, syscall.SIGKILL, span)
	case plan.Reload:
		f.mu.Lock()
		f.reloads++
		for _, machine := range fault.Machines {
			f.writeSettings(machine, false)
		}
		f.mu.Unlock()
		f.signal(fault, syscall.SIGHUP, 0)
	case plan.Freeze:
		f.signal(fault, syscall.SIGSTOP, 0)
		f.afterDelay(span, cancelled, func() { f.signal(fault, syscall.SIGCONT, 0) })
	case plan.Cut, plan.CutOneWay:
		name := fmt.Sprint(fault.Kind, fault.AtS, fault.Machines)
		f.network.cut(name, blocks(fault))
		f.afterDelay(span, cancelled, func() { f.network.heal(name) })
	}
}

// blocks returns which directions a cut blocks between the machines that it names and all others.
func blocks(fault plan.Fault) func(from, to string) bool {
	within := func(machine string) bool { return slices.Contains(fault.Machines, machine) }
	if fault.Kind == plan.CutOneWay {
		return func(from, to string) bool { return within(to) && !within(from) }
	}
	return func(from, to string) bool { return within(from) != within(to) }
}

// afterDelay calls do after a span, or immediately when the soak is cancelled.
func (f *Fleet) afterDelay(span time.Duration, cancelled <-chan struct{}, do func()) {
	f.faults.Add(1)
	go func() {
		defer f.faults.Done()
		timer := time.NewTimer(span)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-cancelled:
		}
		do()
	}()
}

func (f *Fleet) signal(fault plan.Fault, signal syscall.Signal, downtime time.Duration) {
	for _, p := range f.processes {
		if !slices.Contains(fault.Machines, p.machine) || fault.Program != "" && fault.Program != p.program {
			continue
		}
		wipe := ""
		if fault.Kind == plan.Wipe {
			wipe = f.dataDir(p.machine)
		}
		p.signal(signal, downtime, wipe)
	}
}

// recordFault records a fault. A machine that was asked to terminate is disturbed for the grace time
// and a restart.
func (f *Fleet) recordFault(fault plan.Fault, span time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if fault.Kind == plan.Terminate {
		span = f.Bounds.Grace
	}
	for _, machine := range fault.Machines {
		f.disturbances = append(f.disturbances, Disturbance{Machine: machine, Program: fault.Program, Kind: fault.Kind, From: now, To: now + span + restartDelay})
	}
}

// WaitForFaults returns once all faults injected so far have ended.
func (f *Fleet) WaitForFaults() {
	f.faults.Wait()
}

// ReadinessAddr returns the address of a proxy's readiness endpoint.
func (f *Fleet) ReadinessAddr(machine string) string {
	return fmt.Sprintf("%s:%d", f.address(machine), f.port+readinessPort)
}

// Pids returns the program of each running process, by process id.
func (f *Fleet) Pids() map[int]string {
	pids := make(map[int]string)
	for _, p := range f.processes {
		if pid := p.pid(); pid != 0 {
			pids[pid] = p.program
		}
	}
	return pids
}

// Restart is a start of a process other than its first one.
type Restart struct {
	Machine, Program, Log string
	At                    time.Duration
}

// Restarts lists all restarts.
func (f *Fleet) Restarts() (out []Restart) {
	for _, p := range f.processes {
		starts := p.startTimes()
		for _, at := range starts[min(len(starts), 1):] {
			out = append(out, Restart{Machine: p.machine, Program: p.program, Log: p.log.Name(), At: at})
		}
	}
	return out
}
