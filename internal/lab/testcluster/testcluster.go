// Package testcluster runs the system's programs as processes on loopback addresses, before
// stand-in servers that can be slowed and clients that can read slowly, and measures what
// the clients see. It owns the processes that it starts. It must never reach beyond
// 127.0.0.0/8 or end a process that is not its own.
package testcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"saddleport/internal/cluster/registry"
	"saddleport/internal/lab/ports"
	"saddleport/internal/lab/standin"
	"saddleport/internal/node/admin"
)

// Yard is one fleet: three core machines, mixers each with its agent, servers.
type Cluster struct {
	dir, net   string
	port       int
	proxies    int
	files      int
	noEjection bool
	programs   string
	procs      []*exec.Cmd
	servers    []*server
	stop       context.CancelFunc
	heartbeats sync.WaitGroup
}

// leaf is a stand-in server with slots and a pace.
type server struct {
	*standin.Server
	service    string
	slots      chan struct{}
	slowFactor atomic.Int64 // so many times slow; 0: not
	work       time.Duration
}

const (
	firstProxy        = 11
	frontPort         = 8 // beyond the first port of the range between processes
	readyPort         = 7
	showPort          = 2 // of a proxy, as admin.ShowAddr says
	controlPort       = 9
	heartbeatInterval = time.Second
	startTimeout      = 20 * time.Second
)

func (y *Cluster) ip(machine int) string { return fmt.Sprintf("%s.%d", y.net, machine) }
func (y *Cluster) at(machine, port int) string {
	return fmt.Sprintf("%s:%d", y.ip(machine), y.port+port)
}

// Front is where a mixer takes clients.
func (y *Cluster) Front(mixer int) string { return y.at(firstProxy+mixer, frontPort) }

func (y *Cluster) settings(machine int) (string, error) {
	dir := filepath.Join(y.dir, fmt.Sprint("m", machine))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	var seeds []string
	for m := 1; m <= 3; m++ {
		seeds = append(seeds, y.at(m, controlPort))
	}
	text := fmt.Sprintf("node_name=m%d\nip_address=%s\nloopback_ip=%s\nzone=z%d\nregion=g\nzones.z0=g\nzones.z1=g\nzones.z2=g\ninternal_port_range=%d,%d\nseed_addresses=%s\nbootstrap=true\n"+
		"limits.memory_mb=200\nlimits.max_open_files=%d\ndata_directory=%s\nheartbeat_interval_ms=%d\nfault_tolerance.machines=1\n"+
		"listen_addresses.control_plane=%s\nlisten_addresses.front=%s\nlisten_addresses.readiness=%s\n"+
		"bounds.drain_ms=4000\nbounds.grace_s=1\nbounds.retry_window_s=10\nbounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=58\n",
		machine, y.ip(machine), y.ip(machine), machine%3, y.port, y.port+6, strings.Join(seeds, ","), y.files, dir, heartbeatInterval.Milliseconds(),
		y.at(machine, controlPort), y.at(machine, frontPort), y.at(machine, readyPort))
	file := filepath.Join(dir, "boot.conf")
	return file, os.WriteFile(file, []byte(text), 0o644)
}

func (y *Cluster) run(program string, machine int, args ...string) error {
	file, err := y.settings(machine)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(filepath.Dir(file), program+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(y.programs, program), append([]string{"run", "--settings", file}, args...)...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w (build the system first, as deploy/system.toml says)", err)
	}
	y.procs = append(y.procs, cmd)
	return nil
}

// Service is one service: servers and how long they work on a request in the middle.
type Service struct {
	Name    string
	Servers int
	Work    time.Duration
	Body    int // bytes
}

// Start starts a fleet; Close ends it.
func Start(programs string, proxies, maxOpenFiles int, noEjection bool, services []Service, config string, seed uint64) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "yard")
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	port, err := ports.FreeRange(controlPort + 1)
	if err != nil {
		return nil, err
	}
	y := &Cluster{dir: dir, net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)), port: port, proxies: proxies, files: maxOpenFiles,
		noEjection: noEjection, programs: programs}
	for m := 1; m <= 3; m++ {
		if err := y.run(admin.ControlPlane, m); err != nil {
			y.Close()
			return nil, err
		}
	}
	var flags []string
	if noEjection {
		flags = []string{"--no-ejection"}
	}
	for m := range proxies {
		err := y.run(admin.Agent, firstProxy+m)
		if err == nil {
			err = y.run(admin.Proxy, firstProxy+m, flags...)
		}
		if err != nil {
			y.Close()
			return nil, err
		}
	}
	for _, s := range services {
		for i := range s.Servers {
			l := &server{service: s.Name, slots: make(chan struct{}, 3), work: s.Work}
			luck, body := rand.New(rand.NewPCG(rng.Uint64(), 1)), bytes.Repeat([]byte{'a' + byte(i)}, s.Body)
			var mu sync.Mutex
			l.Server, err = standin.NewServer(fmt.Sprintf("i-%s-%d", s.Name, i), func(int, standin.Seen) standin.Reply {
				mu.Lock()
				x := math.Exp(0.47*luck.NormFloat64()) * max(float64(l.slowFactor.Load()), 1)
				if luck.Float64() < 0.02 {
					x *= 4
				}
				mu.Unlock()
				l.slots <- struct{}{}
				time.Sleep(time.Duration(x * float64(l.work)))
				<-l.slots
				return standin.Reply{Body: string(body)}
			})
			if err != nil {
				y.Close()
				return nil, err
			}
			y.servers = append(y.servers, l)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	y.stop = stop
	if err := y.putConfiguration(config); err != nil {
		y.Close()
		return nil, err
	}
	for i, l := range y.servers {
		y.heartbeats.Add(1)
		go y.sendHeartbeats(ctx, l, i)
	}
	return y, y.waitUntilReady()
}

// Close ends what Start started.
func (y *Cluster) Close() {
	if y.stop != nil {
		y.stop()
	}
	for i := len(y.procs) - 1; i >= 0; i-- {
		y.procs[i].Process.Kill()
	}
	for _, p := range y.procs {
		p.Wait()
	}
	for _, l := range y.servers {
		l.Close()
	}
	y.heartbeats.Wait()
	os.RemoveAll(y.dir)
}

var client = &http.Client{Timeout: 2 * time.Second}

func post(url, body string) int {
	p, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, p.Body)
	p.Body.Close()
	return p.StatusCode
}

func (y *Cluster) putConfiguration(config string) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		switch code := post("http://"+y.at(1, controlPort)+"/Config.Replace", config); code {
		case 200:
			return nil
		case 400:
			return fmt.Errorf("the configuration is not valid")
		}
	}
	return fmt.Errorf("no core machine took the configuration within %s", startTimeout)
}

func (y *Cluster) sendHeartbeats(ctx context.Context, l *server, i int) {
	defer y.heartbeats.Done()
	for seq := int64(1); ; seq++ {
		b, _ := json.Marshal(registry.Heartbeat{Service: l.service, Addr: l.Addr, Zone: fmt.Sprint("z", i%3), Capacity: float64(cap(l.slots)), State: "available", Sequence: seq})
		post("http://"+y.at(1+i%3, controlPort)+"/Instances.Heartbeat/"+l.ID, string(b))
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// ready waits until every mixer answers and has heard of all servers.
func (y *Cluster) waitUntilReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for m := range y.proxies {
			if p, err := client.Get("http://" + y.at(firstProxy+m, showPort) + "/Show"); err == nil {
				text, _ := io.ReadAll(p.Body)
				p.Body.Close()
				if bytes.Count(text, []byte(`"available"`)) >= len(y.servers) && bytes.Contains(text, []byte("routes of version")) {
					n++
				}
			}
		}
		if n == y.proxies {
			return nil
		}
	}
	return fmt.Errorf("not all mixers know all servers within %s", startTimeout)
}

// Slow makes one server of each of some services so many times slow; 0: as the others.
func (y *Cluster) Slow(times int64, services ...string) {
	for _, service := range services {
		for _, l := range y.servers {
			if l.service == service {
				l.slowFactor.Store(times)
				break
			}
		}
	}
}

// Apart counts who is set apart at a mixer, as it shows.
func (y *Cluster) Ejected(mixer int) (n int) {
	p, err := client.Get("http://" + y.at(firstProxy+mixer, showPort) + "/Show")
	if err != nil {
		return 0
	}
	defer p.Body.Close()
	var shown struct {
		Tables []struct {
			Title string     `json:"title"`
			Rows  [][]string `json:"rows"`
		} `json:"tables"`
	}
	if json.NewDecoder(p.Body).Decode(&shown) != nil {
		return 0
	}
	for _, t := range shown.Tables {
		if t.Title == "ejections: members" {
			n = len(t.Rows)
		}
	}
	return n
}
