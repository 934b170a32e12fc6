// Package member joins the state machines that an agent and a control-plane process have in
// common: gossip, the failure detector, singleton roles and the anti-entropy sweep. It owns
// how they feed one another: gossiped entries of processes make the ring and the order of
// roles, heartbeats of the ring carry the checksum by which stores are compared. It does not
// know what an entry means beyond that, does no I/O and reads no clock.
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

// SingletonRole is a role that one process of a kind holds at a time.
type SingletonRole struct {
	Name, ProcessKind string
}

// SweepRole is the role of the agent that compares its store with every process's in turn.
var SweepRole = SingletonRole{"sweep", gossip.KindAgent}

// Config tunes the machines. Times are microseconds of the caller's clock.
type Config struct {
	Gossip              gossip.Config
	FailureDetector     failuredetector.Config
	AntiEntropy         antientropy.Config
	ClaimDelay          int64 // how long a process must be the first of a role's order before it claims the role
	MaintenanceInterval int64 // between two runs of what is done periodically
	Roles               []SingletonRole
}

// DefaultConfig returns the configuration for service, with these roles beside the sweep.
func DefaultConfig(more ...SingletonRole) Config {
	return Config{Gossip: gossip.DefaultConfig, FailureDetector: failuredetector.DefaultConfig, AntiEntropy: antientropy.DefaultConfig, ClaimDelay: 2_000_000, MaintenanceInterval: 1_000_000, Roles: append([]SingletonRole{SweepRole}, more...)}
}

// Event is something that is worth a line in the log.
type Event struct {
	Kind    EventKind
	Process string
	Role    string
	Epoch   uint64

	ProcessKind string // of KindAbsent and KindPresent
	Count       int    // of KindPresent: how many are known
}

// EventKind is the kind of an event.
type EventKind int

// The kinds of it.
const (
	Joined      EventKind = iota // the first other process was met
	ProcessDead                  // the failure detector found a process dead
	ProcessGone                  // a process is known to have ended
	RoleTaken                    // by this process
	RoleLost                     // to another process
	KindAbsent                   // no other process of a kind is known to be alive
	KindPresent                  // processes of a kind are known, and none was before
)

// Output is what is to be done. The outcomes of calls come back by HandleExchangeResult and
// HandleProbeResult.
type Output struct {
	Calls  []gossip.OutboundCall
	Probes []failuredetector.Probe
	Events []Event
}

// ClaimPrefix begins the keys of claims of roles in the gossip store.
const ClaimPrefix = "d/"

type claimJSON struct {
	Holder string `json:"h"`
}

// Machine is one process among the others. It is not safe for concurrent use.
type Machine struct {
	OnUpdate func(gossip.Entry) // called after an entry was stored; may be nil

	cfg               Config
	self              gossip.Process
	gossiper          *gossip.Gossiper
	detector          *failuredetector.Detector
	leases            *lease.Table
	antiEntropy       *antientropy.Repairer
	membersChanged    bool // the processes known have changed
	joined            bool
	presence          presence
	nextMaintenanceAt int64
	out               Output
}

// New returns a process that knows itself and some addresses to ask.
func New(now int64, cfg Config, self gossip.Process, seeds []string, rng *rand.Rand) *Machine {
	names := make([]string, len(cfg.Roles))
	for i, d := range cfg.Roles {
		names[i] = d.Name
	}
	m := &Machine{cfg: cfg, self: self, gossiper: gossip.New(now, cfg.Gossip, self, seeds, rng), antiEntropy: antientropy.New(cfg.AntiEntropy), presence: newPresence(now),
		detector: failuredetector.New(now, cfg.FailureDetector, failuredetector.Peer{Addr: self.Addr, Zone: self.Zone}), leases: lease.New(self.Addr, cfg.ClaimDelay, names...)}
	m.gossiper.OnUpdate = m.onUpdate
	return m
}

// Store returns the gossip store.
func (m *Machine) Store() *gossip.Store { return m.gossiper.Store }

// Peers returns the other processes that are alive, of one kind or of any.
func (m *Machine) Peers(kind string) []gossip.Process { return m.gossiper.Peers(kind) }

// Reachable reports whether a peer answered when it was last called.
func (m *Machine) Reachable(now int64, addr string) bool { return m.gossiper.Reachable(now, addr) }

// Holds reports whether this process holds a role, and under which epoch.
func (m *Machine) Holds(duty string) (epoch uint64, holds bool) { return m.leases.Holds(duty) }

// Holder returns the highest claim that is known for a role.
func (m *Machine) Holder(duty string) (lease.Claim, bool) { return m.leases.Holder(duty) }

// IsStale reports whether work under an epoch of a role comes too late.
func (m *Machine) IsStale(duty string, epoch uint64) bool { return m.leases.IsStale(duty, epoch) }

// Roles returns all singleton roles.
func (m *Machine) Roles() []SingletonRole { return m.cfg.Roles }

// Watchers returns the addresses that this process sends heartbeats to.
func (m *Machine) Watchers() []string { return m.detector.Watchers() }

// Watched returns the addresses that send their heartbeats here.
func (m *Machine) Watched() []string { return m.detector.Watched() }

// DifferencesFound counts the differences that comparisons of stores have found.
func (m *Machine) DifferencesFound() int { return m.gossiper.DifferencesFound() }

// SweepStats counts the sweep's work.
func (m *Machine) SweepStats() antientropy.Stats { return m.antiEntropy.Stats() }

func (m *Machine) emit(n Event) { m.out.Events = append(m.out.Events, n) }

// onUpdate is called for every entry that was stored.
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

// Put stores an entry of this process, for all others.
func (m *Machine) Put(now int64, i gossip.Entry) { m.gossiper.Put(now, i, true) }

// HandleExchange answers another process's gossip.
func (m *Machine) HandleExchange(now int64, p gossip.ExchangeRequest) gossip.ExchangeResponse {
	m.detector.Observe(now, p.From)
	return m.gossiper.HandleRequest(now, p)
}

// HandleExchangeResult takes the outcome of a gossip call.
func (m *Machine) HandleExchangeResult(now int64, o gossip.OutboundCall, ans gossip.ExchangeResponse, ok bool) {
	if ok {
		m.detector.Observe(now, o.To)
	}
	m.gossiper.HandleResponse(now, o.ID, ans, ok)
}

// HandleProbe answers a probe of the failure detector. If this process does not know, try
// reports whether it is to try the process in question.
func (m *Machine) HandleProbe(now int64, about string) (alive, try bool) {
	alive, knows := m.detector.HandleProbe(now, about)
	_, known := m.gossiper.Store.Get(gossip.ProcessPrefix + about)
	return alive, !knows && known
}

// HandleProbeResult takes the answer to a probe; answered is false if none came.
func (m *Machine) HandleProbeResult(now int64, q failuredetector.Probe, alive, answered bool) {
	m.detector.HandleProbeResult(now, q, alive, answered)
}

// SetSeeds sets the addresses to ask while no other process is known.
func (m *Machine) SetSeeds(addrs []string) { m.gossiper.SetSeeds(addrs) }

// AnnounceLeave informs some other processes that this one ends.
func (m *Machine) AnnounceLeave(now int64) {
	m.gossiper.AnnounceLeave(now)
	m.gossiper.Tick(now + m.cfg.Gossip.GossipInterval)
}

// TakeOutput returns what is to be done.
func (m *Machine) TakeOutput() Output {
	out := m.out
	m.out = Output{}
	out.Calls = m.gossiper.TakeCalls()
	return out
}

// NextTick returns when Tick has something to do.
func (m *Machine) NextTick() int64 {
	if at := m.gossiper.NextTick(); at != 0 {
		return min(at, m.nextMaintenanceAt)
	}
	return m.nextMaintenanceAt
}

// Tick passes entries on, sends heartbeats, probes silent processes, and does this process's
// roles.
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
	m.reportPresence(now)
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

// candidates returns the processes that are alive and may hold a role.
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
