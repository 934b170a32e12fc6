// Package harness starts the project's own programs on loopback addresses for the cases under
// review/, with stand-ins for servers, clients and the operator. Each case is a program of its own
// that uses this package; no test starts any of them.
package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Trouble reports whether the case causes its disruption. TROUBLE=0 leaves it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Recorder writes record.txt: one line for each event, with the seconds since the start.
type Recorder struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	file  *os.File
}

// NewRecorder creates the record in the folder of a case.
func NewRecorder(folder string) (*Recorder, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Recorder{start: time.Now(), out: bufio.NewWriter(file), file: file}, nil
}

// Printf writes one line.
func (r *Recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close flushes and closes the record.
func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// Bounds are the figures of the settings file, as a site states them.
type Bounds struct {
	HeartbeatMs, ContactMs, DrainMs, ConfigApplyMs int
}

// Small are the bounds of the site lml-ptd-saddleport.
var Small = Bounds{HeartbeatMs: 1200, ContactMs: 5000, DrainMs: 4000, ConfigApplyMs: 4000}

// Fleet is a small deployment: three core machines, and frontend machines with a proxy and an agent each.
// Every machine has a loopback address of its own.
type Fleet struct {
	Record *Recorder
	Bounds Bounds

	root, dir, subnet string
	commands          map[string][]string // by role, from the deploy file
	port              int                 // first port of the range for calls between the processes
	mu                sync.Mutex
	processes         map[string]*exec.Cmd // by role and machine
}

// Ports of a machine, as offsets from the first port of the internal range.
const (
	controlOffset = 20 + iota
	frontOffset
	readinessOffset
	portCount
)

const (
	cores         = 3
	firstFrontend = 11
	startTimeout  = 20 * time.Second
)

// NewFleet prepares a fleet. root is the root of the repository, where the programs were built.
func NewFleet(root string, record *Recorder, bounds Bounds) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "saddleport-review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: record, Bounds: bounds, root: root, dir: dir, commands: make(map[string][]string), processes: make(map[string]*exec.Cmd)}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	role := ""
	for line := range strings.Lines(string(deploy)) {
		if rest, found := strings.CutPrefix(line, "[roles."); found {
			role, _, _ = strings.Cut(rest, "]")
		} else if rest, found := strings.CutPrefix(line, "run = \""); found {
			command, _, _ := strings.Cut(rest, "\"")
			f.commands[role] = strings.Fields(command)
		}
	}
	for range 50 {
		f.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		f.port = 7100 + 100*rand.IntN(200)
		if f.portsFree() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// portsFree reports whether the ports are free on the addresses of the machines and, for the calls between
// a proxy and its agent, on 127.0.0.1.
func (f *Fleet) portsFree() bool {
	for _, ip := range []string{"127.0.0.1", f.ip(1), f.ip(2), f.ip(3), f.ip(firstFrontend)} {
		for offset := range portCount {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, f.port+offset))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func (f *Fleet) ip(machine int) string { return fmt.Sprintf("%s.%d", f.subnet, machine) }

func (f *Fleet) addr(machine, offset int) string {
	return fmt.Sprintf("%s:%d", f.ip(machine), f.port+offset)
}

// Front returns the address at which the proxy accepts clients.
func (f *Fleet) Front() string { return f.addr(firstFrontend, frontOffset) }

// Controls returns the control_plane addresses.
func (f *Fleet) Controls() []string {
	var out []string
	for m := 1; m <= cores; m++ {
		out = append(out, f.addr(m, controlOffset))
	}
	return out
}

// start starts the program of a role on a machine.
func (f *Fleet) start(role string, machine int) error {
	dir := filepath.Join(f.dir, fmt.Sprint("machine-", machine))
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o755); err != nil {
		return err
	}
	zones := []string{"amman-hall", "irbid-hall", "aqaba-hall"}
	regions := []string{"amman", "irbid", "aqaba"}
	at := (machine - 1) % 3
	class, listen := "core", fmt.Sprintf("listen_addresses.control_plane=%s\ndata_directory=%s\ncounts_toward_quorum=true\n", f.addr(machine, controlOffset), filepath.Join(dir, "data"))
	if machine >= firstFrontend {
		at = 0
		class, listen = "frontend", fmt.Sprintf("listen_addresses.front=%s\nlisten_addresses.readiness=%s\ncounts_toward_quorum=false\n", f.addr(machine, frontOffset), f.addr(machine, readinessOffset))
	}
	text := fmt.Sprintf("node_name=%s-%s-%d\nrole=%s\nmachine_class=%s\nserves=%s\nip_address=%s\nzone=%s\nregion=%s\n", class, zones[at], machine, role, class, class, f.ip(machine), zones[at], regions[at])
	for i, zone := range zones {
		text += fmt.Sprintf("zones.%s=%s\n", zone, regions[i])
	}
	text += listen + fmt.Sprintf("internal_port_range=%d,%d\nseed_addresses=%s\nbootstrap=true\n", f.port, f.port+15, strings.Join(f.Controls(), ",")) +
		"limits.cpu_share=0.4\nlimits.cpu_cores=1\nlimits.memory_mb=284\nlimits.max_open_files=4100\nlimits.bandwidth_mbps=1000.0\nlimits.disk_mb=128\n" +
		"discovery=self_registration\nentry_mode=virtual_ip\ncontracts=base,drain,config,cost,retry,recover,scatter\n" +
		"fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n" +
		fmt.Sprintf("heartbeat_interval_ms=%d\nbounds.contact_ms=%d\nbounds.drain_ms=%d\nbounds.config_apply_ms=%d\n", f.Bounds.HeartbeatMs, f.Bounds.ContactMs, f.Bounds.DrainMs, f.Bounds.ConfigApplyMs) +
		"bounds.seed_lag_s=3\nbounds.address_reuse_s=2\nbounds.ack_timeout_ms=6000\nbounds.catch_up_s=4\nbounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.downgrade_slack_ms=250\n" +
		"bounds.max_stretch_ms=15000\nbounds.retry_budget_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_budget_slack=58\nbounds.recovery_s=12\nconfig_mode=highest\n"
	settings := filepath.Join(dir, role+".conf")
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, role+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	command := f.commands[role]
	if len(command) == 0 {
		return fmt.Errorf("the deploy file has no role %s", role)
	}
	cmd := exec.Command(filepath.Join(f.root, command[0]), command[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SADDLEPORT_CONFIG=" + settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.Record.Printf("started %s on machine %d, process %d", role, machine, cmd.Process.Pid)
	f.mu.Lock()
	f.processes[fmt.Sprint(role, machine)] = cmd
	f.mu.Unlock()
	return nil
}

// Start starts all processes.
func (f *Fleet) Start() error {
	for m := 1; m <= cores; m++ {
		if err := f.start("controlplane", m); err != nil {
			return err
		}
	}
	if err := f.start("agent", firstFrontend); err != nil {
		return err
	}
	return f.start("proxy", firstFrontend)
}

// Stop ends all processes that Start started and removes their files. KEEP=1 keeps the files.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cmd := range f.processes {
		cmd.Process.Kill()
	}
	for _, cmd := range f.processes {
		cmd.Wait()
	}
	if os.Getenv("KEEP") != "1" {
		os.RemoveAll(f.dir)
	}
}

var operator = &http.Client{Timeout: 3 * time.Second}

// call makes a call of the operator or of a server and returns the status, 0 if there was no answer.
func call(client *http.Client, method, url string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// Configure sends a configuration until a core machine acknowledges it, and returns when that was.
func (f *Fleet) Configure(config any) (time.Time, error) {
	body, err := json.Marshal(config)
	if err != nil {
		return time.Time{}, err
	}
	status := 0
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, addr := range f.Controls() {
			var text []byte
			if status, text = call(operator, "POST", "http://"+addr+"/Config.Replace", body); status == 200 {
				return time.Now(), nil
			}
			if status >= 400 && status < 500 {
				return time.Time{}, fmt.Errorf("the configuration is refused with %d: %s", status, text)
			}
		}
	}
	return time.Time{}, fmt.Errorf("no core machine acknowledged the configuration, last status %d", status)
}

// WaitReady waits until the proxy is ready.
func (f *Fleet) WaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status, _ := call(operator, "GET", "http://"+f.addr(firstFrontend, readinessOffset)+"/readiness", nil); status == 200 {
			return nil
		}
	}
	return fmt.Errorf("the proxy is not ready after %s", startTimeout)
}
