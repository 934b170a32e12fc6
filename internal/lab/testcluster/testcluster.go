// Package testcluster runs the system's programs as processes on loopback addresses, with stand-in
// servers that can be slowed down and clients that can read slowly, and measures what the clients
// observe. It owns the processes that it starts. It must never use addresses outside 127.0.0.0/8 or
// end a process that it did not start.
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

// Cluster is one fleet: three core machines, proxies with an agent each, and servers.
type Cluster struct {
	dir, subnet  string
	port         int
	proxies      int
	maxOpenFiles int
	noEjection   bool
	programs     string
	procs        []*exec.Cmd
	servers      []*server
	stop         context.CancelFunc
	heartbeats   sync.WaitGroup
}

// server is a stand-in server with a limited number of slots and an adjustable speed.
type server struct {
	*standin.Server
	service    string
	slots      chan struct{}
	slowFactor atomic.Int64 // factor by which the server is slowed down; 0: none
	work       time.Duration
}

const (
	firstProxy        = 11
	frontPort         = 8 // offset from the first port of the range between processes
	readyPort         = 7
	showPort          = 2 // of a proxy, as in admin.ShowAddr
	controlPort       = 9
	heartbeatInterval = time.Second
	startTimeout      = 20 * time.Second
)

func (cluster *Cluster) ip(machine int) string { return fmt.Sprintf("%s.%d", cluster.subnet, machine) }
func (cluster *Cluster) addr(machine, port int) string {
	return fmt.Sprintf("%s:%d", cluster.ip(machine), cluster.port+port)
}

// ProxyAddr returns the address at which a proxy accepts clients.
func (cluster *Cluster) ProxyAddr(proxy int) string { return cluster.addr(firstProxy+proxy, frontPort) }

func (cluster *Cluster) settings(machine int) (string, error) {
	dir := filepath.Join(cluster.dir, fmt.Sprint("m", machine))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	var seeds []string
	for m := 1; m <= 3; m++ {
		seeds = append(seeds, cluster.addr(m, controlPort))
	}
	text := fmt.Sprintf("node_name=m%d\nip_address=%s\nloopback_ip=%s\nzone=z%d\nregion=g\nzones.z0=g\nzones.z1=g\nzones.z2=g\ninternal_port_range=%d,%d\nseed_addresses=%s\nbootstrap=true\n"+
		"limits.memory_mb=200\nlimits.max_open_files=%d\ndata_directory=%s\nheartbeat_interval_ms=%d\nfault_tolerance.machines=1\n"+
		"listen_addresses.control_plane=%s\nlisten_addresses.front=%s\nlisten_addresses.readiness=%s\n"+
		"bounds.drain_ms=4000\nbounds.grace_s=1\nbounds.retry_window_s=10\nbounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=58\n",
		machine, cluster.ip(machine), cluster.ip(machine), machine%3, cluster.port, cluster.port+6, strings.Join(seeds, ","), cluster.maxOpenFiles, dir, heartbeatInterval.Milliseconds(),
		cluster.addr(machine, controlPort), cluster.addr(machine, frontPort), cluster.addr(machine, readyPort))
	file := filepath.Join(dir, "boot.conf")
	return file, os.WriteFile(file, []byte(text), 0o644)
}

func (cluster *Cluster) run(program string, machine int, args ...string) error {
	file, err := cluster.settings(machine)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(filepath.Dir(file), program+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(cluster.programs, program), append([]string{"run", "--settings", file}, args...)...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w (build the system first, see deploy/system.toml)", err)
	}
	cluster.procs = append(cluster.procs, cmd)
	return nil
}

// Service describes the servers of one service.
type Service struct {
	Name    string
	Servers int
	Work    time.Duration // median time to handle a request
	Body    int           // bytes of a response
}

// Start starts a fleet and returns once every proxy is ready; Close ends it.
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
	cluster := &Cluster{dir: dir, subnet: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)), port: port, proxies: proxies, maxOpenFiles: maxOpenFiles,
		noEjection: noEjection, programs: programs}
	for m := 1; m <= 3; m++ {
		if err := cluster.run(admin.ControlPlane, m); err != nil {
			cluster.Close()
			return nil, err
		}
	}
	var flags []string
	if noEjection {
		flags = []string{"--no-ejection"}
	}
	for m := range proxies {
		err := cluster.run(admin.Agent, firstProxy+m)
		if err == nil {
			err = cluster.run(admin.Proxy, firstProxy+m, flags...)
		}
		if err != nil {
			cluster.Close()
			return nil, err
		}
	}
	for _, s := range services {
		for i := range s.Servers {
			instance := &server{service: s.Name, slots: make(chan struct{}, 3), work: s.Work}
			jitter, body := rand.New(rand.NewPCG(rng.Uint64(), 1)), bytes.Repeat([]byte{'a' + byte(i)}, s.Body)
			var mu sync.Mutex
			instance.Server, err = standin.NewServer(fmt.Sprintf("i-%s-%d", s.Name, i), func(int, standin.Seen) standin.Reply {
				mu.Lock()
				x := math.Exp(0.47*jitter.NormFloat64()) * max(float64(instance.slowFactor.Load()), 1)
				if jitter.Float64() < 0.02 {
					x *= 4
				}
				mu.Unlock()
				instance.slots <- struct{}{}
				time.Sleep(time.Duration(x * float64(instance.work)))
				<-instance.slots
				return standin.Reply{Body: string(body)}
			})
			if err != nil {
				cluster.Close()
				return nil, err
			}
			cluster.servers = append(cluster.servers, instance)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	cluster.stop = stop
	if err := cluster.putConfiguration(config); err != nil {
		cluster.Close()
		return nil, err
	}
	for i, instance := range cluster.servers {
		cluster.heartbeats.Add(1)
		go cluster.sendHeartbeats(ctx, instance, i)
	}
	if err := cluster.waitUntilReady(); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

// Close ends everything that Start started, and deletes its files.
func (cluster *Cluster) Close() {
	if cluster.stop != nil {
		cluster.stop()
	}
	for i := len(cluster.procs) - 1; i >= 0; i-- {
		cluster.procs[i].Process.Kill()
	}
	for _, p := range cluster.procs {
		p.Wait()
	}
	for _, instance := range cluster.servers {
		instance.Close()
	}
	cluster.heartbeats.Wait()
	os.RemoveAll(cluster.dir)
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

func (cluster *Cluster) putConfiguration(config string) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		switch code := post("http://"+cluster.addr(1, controlPort)+"/Config.Replace", config); code {
		case 200:
			return nil
		case 400:
			return fmt.Errorf("the control plane rejected the configuration as invalid")
		}
	}
	return fmt.Errorf("no core machine accepted the configuration within %s", startTimeout)
}

func (cluster *Cluster) sendHeartbeats(ctx context.Context, instance *server, i int) {
	defer cluster.heartbeats.Done()
	for seq := int64(1); ; seq++ {
		b, _ := json.Marshal(registry.Heartbeat{Service: instance.service, Addr: instance.Addr, Zone: fmt.Sprint("z", i%3), Capacity: float64(cap(instance.slots)), State: "available", Sequence: seq})
		post("http://"+cluster.addr(1+i%3, controlPort)+"/Instances.Heartbeat/"+instance.ID, string(b))
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// waitUntilReady waits until every proxy responds and knows all servers and the routes.
func (cluster *Cluster) waitUntilReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for m := range cluster.proxies {
			if p, err := client.Get("http://" + cluster.addr(firstProxy+m, showPort) + "/Show"); err == nil {
				text, _ := io.ReadAll(p.Body)
				p.Body.Close()
				if bytes.Count(text, []byte(`"available"`)) >= len(cluster.servers) && bytes.Contains(text, []byte("routes of version")) {
					n++
				}
			}
		}
		if n == cluster.proxies {
			return nil
		}
	}
	return fmt.Errorf("some proxies do not know all servers and routes after %s", startTimeout)
}

// SetSlow slows down the first server of each of the given services by a factor; 0 restores its speed.
func (cluster *Cluster) SetSlow(times int64, services ...string) {
	for _, service := range services {
		for _, instance := range cluster.servers {
			if instance.service == service {
				instance.slowFactor.Store(times)
				break
			}
		}
	}
}

// Ejected returns the number of servers that a proxy reports as ejected, or 0 if it does not respond.
func (cluster *Cluster) Ejected(proxy int) (n int) {
	p, err := client.Get("http://" + cluster.addr(firstProxy+proxy, showPort) + "/Show")
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
