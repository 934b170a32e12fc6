// Package member combines the state machines that agents and control-plane processes have in
// common: gossip, the failure detector, singleton roles and the anti-entropy sweep. It connects
// them: the gossiped entries of processes determine the failure detector's ring and the order of
// candidates for roles, and the heartbeats of the ring carry the checksum by which stores are
// compared. The package does not interpret entries beyond that, does no I/O and reads no clock.
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

// SingletonRole is a role that one process at a time holds, among the processes of one kind.
type SingletonRole struct {
	Name, ProcessKind string
}

// SweepRole is the role of the agent that compares its store with that of each other process in turn.
var SweepRole = SingletonRole{"sweep", gossip.KindAgent}

// Config tunes the state machines. Times are microseconds of the caller's clock.
type Config struct {
	Gossip              gossip.Config
	FailureDetector     failuredetector.Config
	AntiEntropy         antientropy.Config
	ClaimDelay          int64 // how long a process must be the first of a role's order before it claims the role
	MaintenanceInterval int64 // time between two runs of periodic work
	Roles               []SingletonRole
}

// DefaultConfig returns the production configuration, with the given roles in addition to SweepRole.
func DefaultConfig(roles ...SingletonRole) Config {
	return Config{Gossip: gossip.DefaultConfig, FailureDetector: failuredetector.DefaultConfig, AntiEntropy: antientropy.DefaultConfig, ClaimDelay: 2_000_000, MaintenanceInterval: 1_000_000, Roles: append([]SingletonRole{SweepRole}, roles...)}
}

// Event is a change that is to be logged.
type Event struct {
	Kind    EventKind
	Process string // address of the process concerned
	Role    string // of RoleTaken and RoleLost
	Epoch   uint64 // of RoleTaken and RoleLost

	ProcessKind string // of KindAbsent and KindPresent
	Count       int    // of KindPresent: how many processes are known
}

// EventKind is the kind of an event.
type EventKind int

// The kinds of events.
const (
	Joined      EventKind = iota // the first other process became known
	ProcessDead                  // the failure detector found a process dead
	ProcessGone                  // a process is known to have ended
	RoleTaken                    // this process has claimed a role
	RoleLost                     // another process has claimed a role of this process
	KindAbsent                   // no other process of a kind is known to be alive
	KindPresent                  // processes of a kind are known to be alive, and none was before
)

// Output is what the caller is to do. It passes the outcomes of Calls to HandleExchangeResult and
// those of Probes to HandleProbeResult.
type Output struct {
	Calls  []gossip.OutboundCall
	Probes []failuredetector.Probe
	Events []Event
}

// ClaimPrefix is the prefix of the keys of role claims in the gossip store.
const ClaimPrefix = "d/"

// claimJSON is the value of the gossiped entry of a claim. The entry's version is the epoch.
type claimJSON struct {
	Holder string `json:"h"`
}

// Machine is the membership state of one process. It is not safe for concurrent use.
type Machine struct {
	OnUpdate func(gossip.Entry) // called after an entry was stored; may be nil

	cfg               Config
	self              gossip.Process
	gossiper          *gossip.Gossiper
	detector          *failuredetector.Detector
	leases            *lease.Table
	antiEntropy       *antientropy.Repairer
	membersChanged    bool // whether the set of known processes has changed since the last maintenance
	joined            bool // whether another process has become known
	presence          presence
	nextMaintenanceAt int64
	out               Output
}

// New returns the machine of a process that knows only itself and the addresses of seeds.
func New(now int64, cfg Config, self gossip.Process, seeds []string, rng *rand.Rand) *Machine {
	names := make([]string, len(cfg.Roles))
	for i, role := range cfg.Roles {
		names[i] = role.Name
	}
	m := &Machine{cfg: cfg, self: self, gossiper: gossip.New(now, cfg.Gossip, self, seeds, rng), antiEntropy: antientropy.New(cfg.AntiEntropy), presence: newPresence(now),
		detector: failuredetector.New(now, cfg.FailureDetector, failuredetector.Peer{Addr: self.Addr, Zone: self.Zone}), leases: lease.New(self.Addr, cfg.ClaimDelay, names...)}
	m.gossiper.OnUpdate = m.onUpdate
	return m
}

// Store returns the gossip store.
func (m *Machine) Store() *gossip.Store { return m.gossiper.Store }

// Peers returns the other processes of one kind that are alive; of all kinds if kind is empty.
func (m *Machine) Peers(kind string) []gossip.Process { return m.gossiper.Peers(kind) }

// Reachable reports whether a peer answered the last call to it.
func (m *Machine) Reachable(now int64, addr string) bool { return m.gossiper.Reachable(now, addr) }

// IsSynced reports whether the gossip store is complete, see gossip.Gossiper.IsSynced.
func (m *Machine) IsSynced(now int64) bool { return m.gossiper.IsSynced(now) }

// Holds reports whether this process holds a role, and under which epoch.
func (m *Machine) Holds(role string) (epoch uint64, holds bool) { return m.leases.Holds(role) }

// Holder returns the highest known claim of a role.
func (m *Machine) Holder(role string) (lease.Claim, bool) { return m.leases.Holder(role) }

// IsStale reports whether an epoch of a role is outdated because a higher one is known.
func (m *Machine) IsStale(role string, epoch uint64) bool { return m.leases.IsStale(role, epoch) }

// Roles returns all configured singleton roles.
func (m *Machine) Roles() []SingletonRole { return m.cfg.Roles }

// Watchers returns the addresses that this process sends heartbeats to.
func (m *Machine) Watchers() []string { return m.detector.Watchers() }

// Watched returns the addresses that send heartbeats to this process.
func (m *Machine) Watched() []string { return m.detector.Watched() }

// DifferencesFound returns the number of differences that comparisons of stores have found.
func (m *Machine) DifferencesFound() int { return m.gossiper.DifferencesFound() }

// SweepStats returns the counters of the anti-entropy sweep.
func (m *Machine) SweepStats() antientropy.Stats { return m.antiEntropy.Stats() }

func (m *Machine) emit(event Event) { m.out.Events = append(m.out.Events, event) }

// onUpdate is called for every entry that was stored.
func (m *Machine) onUpdate(entry gossip.Entry) {
	if addr, found := strings.CutPrefix(entry.Key, gossip.ProcessPrefix); found {
		m.membersChanged = true
		if entry.Deleted() {
			m.emit(Event{Kind: ProcessGone, Process: addr})
		}
	} else if role, found := strings.CutPrefix(entry.Key, ClaimPrefix); found {
		var c claimJSON
		if json.Unmarshal(entry.Value, &c) == nil {
			_, holds := m.leases.Holds(role)
			if m.leases.Observe(lease.Claim{Role: role, Epoch: entry.Version, Holder: c.Holder}) && holds && c.Holder != m.self.Addr {
				m.emit(Event{Kind: RoleLost, Process: c.Holder, Role: role, Epoch: entry.Version})
			}
		}
	}
	if m.OnUpdate != nil {
		m.OnUpdate(entry)
	}
}

// Put stores an entry and gossips it to all other processes.
func (m *Machine) Put(now int64, entry gossip.Entry) { m.gossiper.Put(now, entry, true) }

// HandleExchange answers a gossip exchange of another process.
func (m *Machine) HandleExchange(now int64, request gossip.PassRequest) gossip.PassResponse {
	m.detector.Observe(now, request.From)
	return m.gossiper.HandleRequest(now, request)
}

// HandleExchangeResult handles the outcome of a gossip call; ok is false if it failed.
func (m *Machine) HandleExchangeResult(now int64, call gossip.OutboundCall, response gossip.PassResponse, ok bool) {
	if ok {
		m.detector.Observe(now, call.To)
	}
	m.gossiper.HandleResponse(now, call.ID, response, ok)
}

// HandleProbe answers a probe of the failure detector, which asks whether the process at target is
// alive. If the detector cannot answer, callTarget reports whether this process should call the
// target itself: it does so only for a process that the gossip store contains.
func (m *Machine) HandleProbe(now int64, target string) (alive, callTarget bool) {
	alive, decided := m.detector.HandleProbe(now, target)
	_, known := m.gossiper.Store.Get(gossip.ProcessPrefix + target)
	return alive, !decided && known
}

// HandleProbeResult handles the answer to a probe; answered is false if there was none.
func (m *Machine) HandleProbeResult(now int64, probe failuredetector.Probe, alive, answered bool) {
	m.detector.HandleProbeResult(now, probe, alive, answered)
}

// SetSeeds sets the addresses to contact while no other process is known.
func (m *Machine) SetSeeds(addrs []string) { m.gossiper.SetSeeds(addrs) }

// AnnounceLeave informs some other processes that this one is shutting down.
func (m *Machine) AnnounceLeave(now int64) {
	m.gossiper.AnnounceLeave(now)
	m.gossiper.Tick(now + m.cfg.Gossip.GossipInterval)
}

// TakeOutput returns the output since the last call.
func (m *Machine) TakeOutput() Output {
	out := m.out
	m.out = Output{}
	out.Calls = m.gossiper.TakeCalls()
	return out
}

// NextTick returns the time at which Tick next has work to do.
func (m *Machine) NextTick() int64 {
	if at := m.gossiper.NextTick(); at != 0 {
		return min(at, m.nextMaintenanceAt)
	}
	return m.nextMaintenanceAt
}

// Tick gossips entries, sends heartbeats, probes unresponsive processes, claims roles, and does the
// work of the sweep role while this process holds it.
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

// maintain does the periodic work of Tick.
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
			panic(err) // a struct with one string can always be encoded
		}
		m.Put(now, gossip.Entry{Key: ClaimPrefix + c.Role, Version: c.Epoch, Value: body})
	}
	if _, holds := m.leases.Holds(SweepRole.Name); holds {
		var addrs []string
		for _, p := range m.gossiper.Peers("") {
			addrs = append(addrs, p.Addr)
		}
		if addr, due := m.antiEntropy.Sweep(now, addrs); due {
			m.gossiper.CompareChecksums(addr)
		}
	}
}

// candidates returns the processes that are alive and may hold a role.
func (m *Machine) candidates(name string) (out []string) {
	for _, role := range m.cfg.Roles {
		if role.Name != name {
			continue
		}
		if m.self.Kind == role.ProcessKind {
			out = append(out, m.self.Addr)
		}
		for _, p := range m.gossiper.Peers(role.ProcessKind) {
			out = append(out, p.Addr)
		}
	}
	return out
}
