// Package failuredetector decides which processes are dead. Each process sends heartbeats to a
// few watchers, which its position on a hash ring determines: most are in its own zone, one is
// in another zone. A watcher that misses heartbeats probes the watched process and asks the
// other watchers of that process; a death is reported only if more than one process observes it.
// The package never relies on a single observer where there are two, the messages that a process
// sends do not grow with the number of processes, and the package only reports deaths: it takes
// no action.
package failuredetector

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Peer is a process on the ring.
type Peer struct {
	Addr, Zone string
}

// Config tunes a detector. Times are microseconds of the caller's clock.
type Config struct {
	Watchers          int   // watchers of each process
	HeartbeatInterval int64 // time between two heartbeats of one process, which go to its watchers in turn
	MissedHeartbeats  int64 // heartbeats that one watcher misses before it probes
	ConfirmTimeout    int64 // time within which the answers to probes must arrive
}

// DefaultConfig is the configuration used in production: each of the three watchers receives a
// heartbeat of the process every 3 s; a death is reported after 7 to 11 s.
var DefaultConfig = Config{Watchers: 3, HeartbeatInterval: 1_000_000, MissedHeartbeats: 2, ConfirmTimeout: 1_200_000}

// Probe is a call to the process To that asks whether the process Target is alive. To and Target
// may be the same process.
type Probe struct {
	To, Target string
}

// Output is the result of Tick.
type Output struct {
	Heartbeats []string // addresses to send a heartbeat to
	Probes     []Probe  // calls to make; each result must be passed to HandleProbeResult
	Dead       []string // addresses of the processes that were found dead
}

// watchedPeer is the state of one process that this process watches.
type watchedPeer struct {
	lastHeardAt    int64 // last heartbeat or other sign of life, or when watching began
	nextProbeAt    int64 // the peer is not probed before this time; 0: as soon as it is unresponsive
	probedAt       int64 // when the current probes were sent; 0: no probe is in flight
	probeRound     int   // 0: the peer's other watchers are asked; 1: processes of other zones, which are to call the peer
	pendingAnswers int   // probes that have not been answered
	confirmations  int   // other processes that do not hear from the peer either
	aliveElsewhere bool  // another process hears from the peer
	answeredItself bool  // the peer answered a probe
}

// ringMember is a process with its position on the ring.
type ringMember struct {
	Peer
	position uint64
}

// Detector is the failure detector of one process. It is not safe for concurrent use.
type Detector struct {
	cfg             Config
	self            Peer
	ring            []ringMember // ordered by position; includes this process
	ownWatchers     []string     // the watchers of this process
	nextWatcher     int          // counts heartbeats; selects the watcher that the next one goes to
	lastHeartbeatAt int64
	watched         map[string]*watchedPeer
}

// New returns the detector of a process that knows no other process yet.
func New(now int64, cfg Config, self Peer) *Detector {
	detector := &Detector{cfg: cfg, self: self, watched: make(map[string]*watchedPeer)}
	detector.SetPeers(now, nil)
	return detector
}

// ringPosition returns the position of a process on the ring.
func ringPosition(addr string) uint64 { return xxhash.Sum64String(addr) }

// SetPeers sets the other processes that are believed to be alive.
func (d *Detector) SetPeers(now int64, peers []Peer) {
	d.ring = append(d.ring[:0], ringMember{d.self, ringPosition(d.self.Addr)})
	for _, peer := range peers {
		if peer.Addr != d.self.Addr {
			d.ring = append(d.ring, ringMember{peer, ringPosition(peer.Addr)})
		}
	}
	slices.SortFunc(d.ring, func(a, b ringMember) int {
		return cmp.Or(cmp.Compare(a.position, b.position), strings.Compare(a.Addr, b.Addr))
	})
	d.ownWatchers = d.watchersOf(d.self)
	stillWatched := make(map[string]bool)
	for _, peer := range d.ring {
		if peer.Addr != d.self.Addr && slices.Contains(d.watchersOf(peer.Peer), d.self.Addr) {
			stillWatched[peer.Addr] = true
			if d.watched[peer.Addr] == nil {
				d.watched[peer.Addr] = &watchedPeer{lastHeardAt: now}
			}
		}
	}
	for addr := range d.watched {
		if !stillWatched[addr] {
			delete(d.watched, addr)
		}
	}
}

// watchersOf returns the watchers of a process: the processes that follow it on the ring, all but
// one from its own zone and one from another zone, because a complete zone may fail at once. If
// there are too few of these, the next processes of any zone fill up the list.
func (d *Detector) watchersOf(peer Peer) (watchers []string) {
	index := slices.IndexFunc(d.ring, func(member ringMember) bool { return member.Addr == peer.Addr })
	if index < 0 {
		return nil
	}
	var others []string
	sameZoneLeft, otherZoneLeft := d.cfg.Watchers-1, 1
	for i := 1; i < len(d.ring) && sameZoneLeft+otherZoneLeft > 0; i++ {
		member := d.ring[(index+i)%len(d.ring)]
		switch {
		case member.Zone == peer.Zone && sameZoneLeft > 0:
			sameZoneLeft--
			watchers = append(watchers, member.Addr)
		case member.Zone != peer.Zone && otherZoneLeft > 0:
			otherZoneLeft--
			watchers = append(watchers, member.Addr)
		default:
			others = append(others, member.Addr)
		}
	}
	return append(watchers, others[:min(len(others), d.cfg.Watchers-len(watchers))]...)
}

// Watchers returns the addresses that this process sends heartbeats to.
func (d *Detector) Watchers() []string { return slices.Clone(d.ownWatchers) }

// Watched returns the addresses of the processes that this process watches, sorted.
func (d *Detector) Watched() (addrs []string) {
	for addr := range d.watched {
		addrs = append(addrs, addr)
	}
	slices.Sort(addrs)
	return addrs
}

// Observe records a sign of life of a process: a heartbeat or any other message.
func (d *Detector) Observe(now int64, addr string) {
	if watched := d.watched[addr]; watched != nil {
		*watched = watchedPeer{lastHeardAt: now}
	}
}

// suspectTimeout returns how long a watched process may be unresponsive before it is probed.
func (d *Detector) suspectTimeout() int64 {
	return (d.cfg.MissedHeartbeats*int64(max(d.cfg.Watchers, 1)) + 1) * d.cfg.HeartbeatInterval
}

// HandleProbe answers a probe of another watcher: alive reports whether this process has heard
// from the target within its own suspect timeout. knows is false if this process does not watch
// the target; the caller then has to call the target to find out.
func (d *Detector) HandleProbe(now int64, target string) (alive, knows bool) {
	if target == d.self.Addr {
		return true, true
	}
	watched := d.watched[target]
	if watched == nil {
		return false, false
	}
	return now-watched.lastHeardAt <= d.suspectTimeout(), true
}

// HandleProbeResult records the result of a probe; answered is false if the call failed or timed
// out.
func (d *Detector) HandleProbeResult(now int64, probe Probe, alive, answered bool) {
	watched := d.watched[probe.Target]
	if watched == nil || watched.probedAt == 0 {
		return
	}
	watched.pendingAnswers--
	switch {
	case answered && probe.To == probe.Target:
		watched.answeredItself = true
	case answered && alive:
		watched.aliveElsewhere = true
	case answered:
		watched.confirmations++
	}
}

// Tick returns the heartbeats and probes to send now, and the processes found dead.
func (d *Detector) Tick(now int64) (out Output) {
	if len(d.ownWatchers) > 0 && now-d.lastHeartbeatAt >= d.cfg.HeartbeatInterval {
		d.lastHeartbeatAt = now
		d.nextWatcher++
		out.Heartbeats = append(out.Heartbeats, d.ownWatchers[d.nextWatcher%len(d.ownWatchers)])
	}
	for _, addr := range d.Watched() {
		watched := d.watched[addr]
		if watched.probedAt == 0 {
			if now-watched.lastHeardAt > d.suspectTimeout() && now >= watched.nextProbeAt {
				watched.probedAt, watched.aliveElsewhere, watched.answeredItself, watched.confirmations, watched.pendingAnswers = now, false, false, 0, 1
				out.Probes = append(out.Probes, Probe{To: addr, Target: addr})
				for _, prober := range d.proberCandidates(addr, watched.probeRound) {
					watched.pendingAnswers++
					out.Probes = append(out.Probes, Probe{To: prober, Target: addr})
				}
			}
			continue
		}
		if watched.pendingAnswers > 0 && now-watched.probedAt < d.cfg.ConfirmTimeout {
			continue
		}
		noOtherWitness := watched.pendingAnswers <= 1 && watched.confirmations == 0 && len(d.proberCandidates(addr, 0))+len(d.proberCandidates(addr, 1)) == 0
		switch {
		case watched.answeredItself: // the peer is alive, although its heartbeats do not arrive here
			*watched = watchedPeer{lastHeardAt: now}
		case watched.aliveElsewhere:
			watched.probedAt, watched.nextProbeAt = 0, now+2*d.cfg.HeartbeatInterval
		case watched.confirmations > 0, noOtherWitness && now-watched.lastHeardAt > 2*d.suspectTimeout():
			delete(d.watched, addr)
			out.Dead = append(out.Dead, addr)
		default: // no other process has answered: this process may be the partitioned one
			watched.probedAt, watched.nextProbeAt, watched.probeRound = 0, now+d.cfg.HeartbeatInterval, 1-watched.probeRound
		}
	}
	return out
}

// proberCandidates returns the processes that are asked about an unresponsive one: in round 0 its
// other watchers; in round 1, because these may have failed together with it, processes of other
// zones.
func (d *Detector) proberCandidates(addr string, round int) (candidates []string) {
	index := slices.IndexFunc(d.ring, func(member ringMember) bool { return member.Addr == addr })
	if index < 0 {
		return nil
	}
	peer := d.ring[index]
	if round == 0 {
		return slices.DeleteFunc(d.watchersOf(peer.Peer), func(watcher string) bool { return watcher == d.self.Addr })
	}
	for i := 1; i < len(d.ring) && len(candidates) < d.cfg.Watchers; i++ {
		if member := d.ring[(index+i)%len(d.ring)]; member.Zone != peer.Zone && member.Addr != d.self.Addr {
			candidates = append(candidates, member.Addr)
		}
	}
	return candidates
}
