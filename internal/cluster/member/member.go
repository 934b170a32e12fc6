// Package member is what an agent and a core process have in common, as one machine that is
// stepped: the conversation of news (rumour), who watches whom (ring), duties (turn) and
// the sweep over the others' copies (mend). It owns how these are fed by one another: news
// of processes makes the ring and the order of duties, beats of the ring carry the sum by
// which copies are compared. It must never know what a piece of news means beyond that, do
// I/O, or read a clock.
package member

import (
	"encoding/json"
	"math/rand/v2"
	"strings"

	"saddleport/internal/cluster/antientropy"
	"saddleport/internal/cluster/failuredetector"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/lease"
)

// Duty is a duty and the kind of processes of which one does it.
type SingletonRole struct {
	Name, ProcessKind string
}

// Sweep is the duty of one mixer to look at every process's news in turn.
var SweepRole = SingletonRole{"sweep", gossip.KindAgent}

// Config tunes the machines; times are microseconds of the caller's clock.
type Config struct {
	Gossip              gossip.Config
	FailureDetector     failuredetector.Config
	AntiEntropy         antientropy.Config
	ClaimDelay          int64 // a process is the first of a duty's order for so long before it claims it
	MaintenanceInterval int64 // between looks at what is done now and then
	Roles               []SingletonRole
}

// Usual is the configuration for service, with these duties beside the sweep.
func DefaultConfig(more ...SingletonRole) Config {
	return Config{Gossip: gossip.DefaultConfig, FailureDetector: failuredetector.DefaultConfig, AntiEntropy: antientropy.DefaultConfig, ClaimDelay: 2_000_000, MaintenanceInterval: 1_000_000, Roles: append([]SingletonRole{SweepRole}, more...)}
}

// Noted is something worth a line in the log.
type Event struct {
	Kind    EventKind
	Process string
	Role    string
	Epoch   uint64
}

// What it is.
type EventKind int

// The kinds of it.
const (
	Joined      EventKind = iota // the first other process was met
	ProcessDead                  // the ring found a process dead
	ProcessGone                  // a process is known to have ended
	RoleTaken                    // by this process
	RoleLost                     // to another
)

// Output is what is to be done: calls to make, whose ends come back by Done and Answered.
type Output struct {
	Calls  []gossip.OutboundCall
	Probes []failuredetector.Probe
	Events []Event
}

// Claims begins the keys of claims of duties among the news.
const ClaimPrefix = "d/"

type claimJSON struct {
	Holder string `json:"h"`
}

// Machine is one process among the others. It is not safe for concurrent use.
type Machine struct {
	OnUpdate func(gossip.Entry) // after news was taken; nil: nobody

	cfg               Config
	self              gossip.Process
	gossiper          *gossip.Gossiper
	detector          *failuredetector.Detector
	leases            *lease.Table
	antiEntropy       *antientropy.Repairer
	membersChanged    bool // the processes known have changed
	joined            bool
	nextMaintenanceAt int64
	out               Output
}

// New returns a process that knows itself and addresses to ask.
func New(now int64, cfg Config, self gossip.Process, seeds []string, rng *rand.Rand) *Machine {
	names := make([]string, len(cfg.Roles))
	for i, d := range cfg.Roles {
		names[i] = d.Name
	}
	m := &Machine{cfg: cfg, self: self, gossiper: gossip.New(now, cfg.Gossip, self, seeds, rng), antiEntropy: antientropy.New(cfg.AntiEntropy),
		detector: failuredetector.New(now, cfg.FailureDetector, failuredetector.Peer{Addr: self.Addr, Zone: self.Zone}), leases: lease.New(self.Addr, cfg.ClaimDelay, names...)}
	m.gossiper.OnUpdate = m.onUpdate
	return m
}

// Book is the news that is held.
func (m *Machine) Store() *gossip.Store { return m.gossiper.Store }

// Peers are the other processes that live, of a kind or of any.
func (m *Machine) Peers(kind string) []gossip.Process { return m.gossiper.Peers(kind) }

// Awake tells whether a peer answered when it was last called.
func (m *Machine) Reachable(now int64, addr string) bool { return m.gossiper.Reachable(now, addr) }

// Holds tells whether this process holds a duty, and under which epoch.
func (m *Machine) Holds(duty string) (epoch uint64, holds bool) { return m.leases.Holds(duty) }

// Holder is who holds a duty as far as is known.
func (m *Machine) Holder(duty string) (lease.Claim, bool) { return m.leases.Holder(duty) }

// Refuses tells whether work under an epoch of a duty comes too late.
func (m *Machine) IsStale(duty string, epoch uint64) bool { return m.leases.IsStale(duty, epoch) }

// Duties are those that there are.
func (m *Machine) Roles() []SingletonRole { return m.cfg.Roles }

// Watchers are the processes that this one beats at; Watched, those that beat here.
func (m *Machine) Watchers() []string { return m.detector.Watchers() }

// Watched is as Watchers.
func (m *Machine) Watched() []string { return m.detector.Watched() }

// Found counts the differences that comparing news has found; Swept, the sweep's looks.
func (m *Machine) DifferencesFound() int { return m.gossiper.DifferencesFound() }

// Swept is as Found.
func (m *Machine) SweepStats() antientropy.Stats { return m.antiEntropy.Stats() }

func (m *Machine) emit(n Event) { m.out.Events = append(m.out.Events, n) }

// took is told of all news that was taken.
func (m *Machine) onUpdate(i gossip.Entry) {
	if addr, found := strings.CutPrefix(i.Key, gossip.ProcessPrefix); found {
		m.membersChanged = true
		if i.Deleted() {
			m.emit(Event{Kind: ProcessGone, Process: addr})
		}
	} else if role, found := strings.CutPrefix(i.Key, ClaimPrefix); found {
		var c claimJSON
		if json.Unmarshal(i.Value, &c) == nil {
			_, holds := m.leases.Holds(role)
			if m.leases.Observe(lease.Claim{Role: role, Epoch: i.Version, Holder: c.Holder}) && holds && c.Holder != m.self.Addr {
				m.emit(Event{Kind: RoleLost, Process: c.Holder, Role: role, Epoch: i.Version})
			}
		}
	}
	if m.OnUpdate != nil {
		m.OnUpdate(i)
	}
}

// Put takes news of this process's own, for all.
func (m *Machine) Put(now int64, i gossip.Entry) { m.gossiper.Put(now, i, true) }

// Got answers another process.
func (m *Machine) HandleExchange(now int64, p gossip.ExchangeRequest) gossip.ExchangeResponse {
	m.detector.Observe(now, p.From)
	return m.gossiper.HandleRequest(now, p)
}

// Done says how an order ended.
func (m *Machine) HandleExchangeResult(now int64, o gossip.OutboundCall, ans gossip.ExchangeResponse, ok bool) {
	if ok {
		m.detector.Observe(now, o.To)
	}
	m.gossiper.HandleResponse(now, o.ID, ans, ok)
}

// Hears answers a question of the ring: where this process does not know, it is to try the
// process asked about, if there is such a one.
func (m *Machine) HandleProbe(now int64, about string) (alive, try bool) {
	alive, knows := m.detector.HandleProbe(now, about)
	_, known := m.gossiper.Store.Get(gossip.ProcessPrefix + about)
	return alive, !knows && known
}

// Answered takes the answer to a question of the ring, or says that none came.
func (m *Machine) HandleProbeResult(now int64, q failuredetector.Probe, alive, answered bool) {
	m.detector.HandleProbeResult(now, q, alive, answered)
}

// Seeds tells whom to ask while nobody is known.
func (m *Machine) SetSeeds(addrs []string) { m.gossiper.SetSeeds(addrs) }

// Leave tells some others that this process ends.
func (m *Machine) AnnounceLeave(now int64) {
	m.gossiper.AnnounceLeave(now)
	m.gossiper.Tick(now + m.cfg.Gossip.GossipInterval)
}

// Take returns what is to be done since it was last asked.
func (m *Machine) TakeOutput() Output {
	out := m.out
	m.out = Output{}
	out.Calls = m.gossiper.TakeCalls()
	return out
}

// Next is when Tick has something to do.
func (m *Machine) NextTick() int64 {
	if at := m.gossiper.NextTick(); at != 0 {
		return min(at, m.nextMaintenanceAt)
	}
	return m.nextMaintenanceAt
}

// Tick passes news on, beats, asks after the silent, and does this process's duties.
func (m *Machine) Tick(now int64) {
	if !m.joined && len(m.gossiper.Peers("")) > 0 {
		m.joined = true
		m.emit(Event{Kind: Joined})
	}
	if now >= m.nextMaintenanceAt {
		m.nextMaintenanceAt = now + m.cfg.MaintenanceInterval
		m.maintain(now)
	}
	m.gossiper.Tick(now)
}

func (m *Machine) maintain(now int64) {
	m.gossiper.Purge(now)
	if m.membersChanged {
		m.membersChanged = false
		var peers []failuredetector.Peer
		for _, p := range m.gossiper.Peers("") {
			peers = append(peers, failuredetector.Peer{Addr: p.Addr, Zone: p.Zone})
		}
		m.detector.SetPeers(now, peers)
	}
	out := m.detector.Tick(now)
	for _, addr := range out.Heartbeats {
		m.gossiper.CompareChecksums(addr)
	}
	for _, addr := range out.Dead {
		m.emit(Event{Kind: ProcessDead, Process: addr})
		m.gossiper.MarkDead(now, addr)
	}
	m.out.Probes = append(m.out.Probes, out.Probes...)
	for _, c := range m.leases.Tick(now, m.candidates) {
		m.emit(Event{Kind: RoleTaken, Role: c.Role, Epoch: c.Epoch, Process: m.self.Addr})
		body, err := json.Marshal(claimJSON{c.Holder})
		if err != nil {
			panic(err) // a struct of one text always has a form
		}
		m.Put(now, gossip.Entry{Key: ClaimPrefix + c.Role, Version: c.Epoch, Value: body})
	}
	if _, mine := m.leases.Holds(SweepRole.Name); mine {
		var all []string
		for _, p := range m.gossiper.Peers("") {
			all = append(all, p.Addr)
		}
		if addr, due := m.antiEntropy.Sweep(now, all); due {
			m.gossiper.CompareChecksums(addr)
		}
	}
}

// able are the processes that live and may have a duty.
func (m *Machine) candidates(duty string) (out []string) {
	for _, d := range m.cfg.Roles {
		if d.Name != duty {
			continue
		}
		if m.self.Kind == d.ProcessKind {
			out = append(out, m.self.Addr)
		}
		for _, p := range m.gossiper.Peers(d.ProcessKind) {
			out = append(out, p.Addr)
		}
	}
	return out
}
