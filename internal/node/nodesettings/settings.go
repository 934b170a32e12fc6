// Package nodesettings reads the settings file of a process and follows its changes. The operators
// chose the names in the file.
package nodesettings

import (
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"saddleport/internal/paths"
)

// Settings are the settings of one process. Addresses are host:port.
type Settings struct {
	Name, Role, IP, Zone, Region   string
	Regions                        map[string]string // region by zone
	LoopbackIP                     string            // loopback address of the machine
	SharedHost                     bool              // several machines are simulated on this host, see PeerListenAddr
	Downstream, Readiness, Control string            // listen addresses: of a proxy for clients and for readiness checks, of a control-plane process for operators and servers; empty: none
	FirstPort, LastPort            int               // range of the ports for calls between processes
	Seeds                          []string          // addresses of control-plane machines
	Bootstrap, CountsTowardQuorum  bool
	MemoryMB, MaxOpenFiles         int
	Cores                          float64
	DataDir                        string
	HeartbeatInterval              time.Duration
	FaultTolerance                 int // number of machines that may fail at once
	Bounds                         Bounds
}

// Bounds are the limits that the operators set; their names in the file begin with "bounds.".
type Bounds struct {
	SeedLag, AddressReuse, Contact, AckTimeout, CatchUp, Drain, Grace, LossSlack, ConfigApply, DowngradeSlack, MaxStretch, RetryWindow time.Duration
	RetryRatio, RetrySlack                                                                                                             float64
}

// PathVariable is the name of the environment variable that contains the path of the settings file.
const PathVariable = "SADDLEPORT_CONFIG"

// Load reads and parses the settings file at a path.
func Load(path string) (*Settings, error) {
	settings, _, err := load(path)
	return settings, err
}

// load reads and parses a file, and also returns the text that it has parsed.
func load(path string) (*Settings, string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, "", paths.Error.Wrap(err)
	}
	settings, err := Parse(string(text))
	if err != nil {
		return nil, "", paths.Error.New("%s: %v", path, err)
	}
	return settings, string(text), nil
}

// Parse parses the text of a settings file. Unknown fields are ignored.
func Parse(text string) (*Settings, error) {
	lines, err := paths.ParseLines(text)
	if err != nil {
		return nil, err
	}
	milliseconds := func(path string) time.Duration {
		return time.Duration(lines.At(path).Number() * float64(time.Millisecond))
	}
	seconds := func(path string) time.Duration { return time.Duration(lines.At(path).Number() * float64(time.Second)) }
	settings := &Settings{
		Name: lines.At("node_name").Required().Text(), Role: lines.At("role").Text(), IP: lines.At("ip_address").Required().Text(),
		LoopbackIP: "127.0.0.1", Zone: lines.At("zone").Text(), Region: lines.At("region").Text(), Regions: make(map[string]string),
		Downstream: lines.At("listen_addresses.front").Text(), Readiness: lines.At("listen_addresses.readiness").Text(),
		Control:   lines.At("listen_addresses.control_plane").Text(),
		Bootstrap: lines.At("bootstrap").Bool(), CountsTowardQuorum: lines.At("counts_toward_quorum").Bool(),
		MemoryMB: int(lines.At("limits.memory_mb").Int()), MaxOpenFiles: int(lines.At("limits.max_open_files").Int()),
		Cores: lines.At("limits.cpu_cores").Number(), DataDir: lines.At("data_directory").Text(), HeartbeatInterval: milliseconds("heartbeat_interval_ms"),
		FaultTolerance: int(lines.At("fault_tolerance.machines").Int()),
		Bounds: Bounds{SeedLag: seconds("bounds.seed_lag_s"), AddressReuse: seconds("bounds.address_reuse_s"), Contact: milliseconds("bounds.contact_ms"),
			AckTimeout: milliseconds("bounds.ack_timeout_ms"), CatchUp: seconds("bounds.catch_up_s"), Drain: milliseconds("bounds.drain_ms"),
			Grace: seconds("bounds.grace_s"), LossSlack: milliseconds("bounds.loss_slack_ms"), ConfigApply: milliseconds("bounds.config_apply_ms"),
			DowngradeSlack: milliseconds("bounds.downgrade_slack_ms"), MaxStretch: milliseconds("bounds.max_stretch_ms"),
			RetryWindow: seconds("bounds.retry_window_s"), RetryRatio: lines.At("bounds.retry_budget_ratio").Number(),
			RetrySlack: lines.At("bounds.retry_budget_slack").Number()},
	}
	if ip := lines.At("loopback_ip").Text(); ip != "" { // not one of the operators' settings: several machines are simulated on this host
		settings.LoopbackIP, settings.SharedHost = ip, true
	}
	for _, zone := range lines.At("zones").Keys() {
		settings.Regions[zone] = lines.At("zones." + zone).Text()
	}
	ports := lines.At("internal_port_range").Required()
	if list := ports.Items(); len(list) == 2 {
		settings.FirstPort, settings.LastPort = int(list[0].Int()), int(list[1].Int())
	}
	if settings.FirstPort < 1 || settings.LastPort < settings.FirstPort+1 || settings.LastPort > 65535 {
		ports.Failf("must be two ports from 1 to 65535, the second greater than the first")
	}
	for _, seed := range lines.At("seed_addresses").Items() {
		if _, _, err := net.SplitHostPort(seed.Text()); err != nil {
			seed.Failf("%v", err)
		}
		settings.Seeds = append(settings.Seeds, seed.Text())
	}
	if net.ParseIP(settings.IP) == nil {
		lines.At("ip_address").Failf("%.40q is not an IP address", settings.IP)
	}
	return settings, lines.Err()
}

// PeerAddr returns the address that other processes call this process at.
func (s *Settings) PeerAddr() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)) }

// PeerListenAddr returns the address that this process listens on for calls of other processes. If
// several machines are simulated on one host, the address has the machine's own loopback IP, so that
// a relay can listen on PeerAddr and forward to it.
func (s *Settings) PeerListenAddr() string {
	if s.SharedHost {
		return net.JoinHostPort(s.LoopbackIP, strconv.Itoa(s.FirstPort))
	}
	return s.PeerAddr()
}

// PeerSourceIP returns the IP address from which this process calls others; if it is empty the kernel
// chooses one. If several machines are simulated on one host, a relay identifies the calling machine by
// it.
func (s *Settings) PeerSourceIP() string {
	if s.SharedHost {
		return s.LoopbackIP
	}
	return ""
}

// AgentAddr returns the address at which the agent serves the proxy on its machine.
func (s *Settings) AgentAddr() string {
	return net.JoinHostPort(s.LoopbackIP, strconv.Itoa(s.FirstPort+1))
}

// SeedPeers returns the addresses at which the processes on the seed machines serve other processes.
func (s *Settings) SeedPeers() []string {
	var out []string
	for _, seed := range s.Seeds {
		host, _, _ := strings.Cut(seed, ":")
		out = append(out, net.JoinHostPort(host, strconv.Itoa(s.FirstPort)))
	}
	return out
}
