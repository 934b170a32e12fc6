// Package nodesettings reads the settings file that each process of the system is given, and
// follows its changes. The names in the file are the operators'.
package nodesettings

import (
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"saddleport/internal/paths"
)

// Settings are what a process is given at its start.
type Settings struct {
	Name, Role, IP, Zone, Region  string
	Regions                       map[string]string // by zone
	LoopbackIP                    string            // of the machine's own loopback
	SharedHost                    bool              // several machines are played on one host: see PeerListenAddr
	Front, Readiness, Control     string            // addresses to listen on; "": none
	FirstPort, LastPort           int               // of the range between processes
	Seeds                         []string
	Bootstrap, CountsTowardQuorum bool
	MemoryMB, MaxOpenFiles        int
	Cores                         float64
	DataDir                       string
	HeartbeatInterval             time.Duration
	FaultTolerance                int // machines that may be lost at once
	Bounds                        Bounds
}

// Bounds are the operators' figures of the rules; the names in the file begin with bounds.
type Bounds struct {
	SeedLag, AddressReuse, Contact, AckTimeout, CatchUp, Drain, Grace, LossSlack, ConfigApply, DowngradeSlack, MaxStretch, RetryWindow time.Duration
	RetryRatio, RetrySlack                                                                                                             float64
}

// PathVariable is the environment variable that names the settings file.
const PathVariable = "SADDLEPORT_CONFIG"

// Load reads a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, paths.Error.Wrap(err)
	}
	b, err := Parse(string(text))
	if err != nil {
		return nil, paths.Error.New("%s: %v", file, err)
	}
	return b, nil
}

// Parse reads the text of a settings file. Fields that are not known are ignored.
func Parse(text string) (*Settings, error) {
	r, err := paths.ParseLines(text)
	if err != nil {
		return nil, err
	}
	ms := func(path string) time.Duration { return time.Duration(r.At(path).Number() * float64(time.Millisecond)) }
	s := func(path string) time.Duration { return time.Duration(r.At(path).Number() * float64(time.Second)) }
	b := &Settings{
		Name: r.At("node_name").Required().Text(), Role: r.At("role").Text(), IP: r.At("ip_address").Required().Text(),
		LoopbackIP: "127.0.0.1", Zone: r.At("zone").Text(), Region: r.At("region").Text(), Regions: make(map[string]string),
		Front: r.At("listen_addresses.front").Text(), Readiness: r.At("listen_addresses.readiness").Text(),
		Control:   r.At("listen_addresses.control_plane").Text(),
		Bootstrap: r.At("bootstrap").Bool(), CountsTowardQuorum: r.At("counts_toward_quorum").Bool(),
		MemoryMB: int(r.At("limits.memory_mb").Int()), MaxOpenFiles: int(r.At("limits.max_open_files").Int()),
		Cores: r.At("limits.cpu_cores").Number(), DataDir: r.At("data_directory").Text(), HeartbeatInterval: ms("heartbeat_interval_ms"),
		FaultTolerance: int(r.At("fault_tolerance.machines").Int()),
		Bounds: Bounds{SeedLag: s("bounds.seed_lag_s"), AddressReuse: s("bounds.address_reuse_s"), Contact: ms("bounds.contact_ms"),
			AckTimeout: ms("bounds.ack_timeout_ms"), CatchUp: s("bounds.catch_up_s"), Drain: ms("bounds.drain_ms"),
			Grace: s("bounds.grace_s"), LossSlack: ms("bounds.loss_slack_ms"), ConfigApply: ms("bounds.config_apply_ms"),
			DowngradeSlack: ms("bounds.downgrade_slack_ms"), MaxStretch: ms("bounds.max_stretch_ms"),
			RetryWindow: s("bounds.retry_window_s"), RetryRatio: r.At("bounds.retry_budget_ratio").Number(),
			RetrySlack: r.At("bounds.retry_budget_slack").Number()},
	}
	if ip := r.At("loopback_ip").Text(); ip != "" { // of our own: several machines played on one
		b.LoopbackIP, b.SharedHost = ip, true
	}
	for _, zone := range r.At("zones").Keys() {
		b.Regions[zone] = r.At("zones." + zone).Text()
	}
	ports := r.At("internal_port_range").Required()
	if list := ports.Items(); len(list) == 2 {
		b.FirstPort, b.LastPort = int(list[0].Int()), int(list[1].Int())
	}
	if b.FirstPort < 1 || b.LastPort < b.FirstPort+1 || b.LastPort > 65535 {
		ports.Failf("two ports, of which the second is greater, are needed")
	}
	for _, seed := range r.At("seed_addresses").Items() {
		if _, _, err := net.SplitHostPort(seed.Text()); err != nil {
			seed.Failf("%v", err)
		}
		b.Seeds = append(b.Seeds, seed.Text())
	}
	if net.ParseIP(b.IP) == nil {
		r.At("ip_address").Failf("%.40q is no address", b.IP)
	}
	return b, r.Err()
}

// PeerAddr is where a process answers other processes.
func (b *Settings) PeerAddr() string { return net.JoinHostPort(b.IP, strconv.Itoa(b.FirstPort)) }

// PeerListenAddr is the address that a process listens on for other processes. Where several
// machines are played on one host it is the machine's own loopback address, so that a relay may
// stand between it and PeerAddr.
func (b *Settings) PeerListenAddr() string {
	if b.SharedHost {
		return net.JoinHostPort(b.LoopbackIP, strconv.Itoa(b.FirstPort))
	}
	return b.PeerAddr()
}

// PeerSourceIP is the address that a process calls others from; empty: the kernel picks it. Where
// several machines are played on one host, a relay sees by it whose call it is.
func (b *Settings) PeerSourceIP() string {
	if b.SharedHost {
		return b.LoopbackIP
	}
	return ""
}

// AgentAddr is where an agent answers the proxy on its machine.
func (b *Settings) AgentAddr() string {
	return net.JoinHostPort(b.LoopbackIP, strconv.Itoa(b.FirstPort+1))
}

// SeedPeers returns where the processes on the seeds' machines answer other processes.
func (b *Settings) SeedPeers() []string {
	var out []string
	for _, seed := range b.Seeds {
		host, _, _ := strings.Cut(seed, ":")
		out = append(out, net.JoinHostPort(host, strconv.Itoa(b.FirstPort)))
	}
	return out
}
