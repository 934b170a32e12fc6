// Package failuredetector decides which processes are dead. Each process sends heartbeats to a
// few watchers that its position on a ring names: mostly of its own zone, one beyond it. A
// watcher that misses heartbeats probes the watched process itself and asks its other
// watchers; only what more than one of them observes counts as a death. It never believes a
// single witness where there are two, what it sends does not grow with the number of
// processes, and it only reports.
package failuredetector

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Peer is a process of the ring.
type Peer struct {
	Addr, Zone string
}

// Config tunes a detector. Times are microseconds of the caller's clock.
type Config struct {
	Watchers          int   // of each process
	HeartbeatInterval int64 // between two heartbeats of one process, which go to its watchers in turn
	MissedHeartbeats  int64 // at one watcher, before it probes
	ConfirmTimeout    int64 // the answers to a probe must have come by then
}

// DefaultConfig is the configuration for service: three watchers hear each process every 3 s;
// a death is reported after 7 to 11 s.
var DefaultConfig = Config{Watchers: 3, HeartbeatInterval: 1_000_000, MissedHeartbeats: 2, ConfirmTimeout: 1_200_000}

// Probe is a call to one process about another, or about itself.
type Probe struct {
	To, Target string
}

// Output is the result of a step.
type Output struct {
	Heartbeats []string // addresses to send a heartbeat to
	Probes     []Probe  // calls whose answers come back by HandleProbeResult
	Dead       []string // addresses
}

type watchedPeer struct {
	lastHeardAt    int64 // last sign of life, or when watching began
	nextProbeAt    int64 // no probe before; 0: as soon as it is silent
	probedAt       int64 // 0: no probe is under way
	round          int   // 0: its other watchers are asked; 1: processes of other zones, which are to try it
	pendingAnswers int   // that have not come
	confirmations  int   // other processes that do not hear it either
	aliveElsewhere bool  // another process hears it
	answeredItself bool  // it has answered the probe
}

type ringMember struct {
	Peer
	position uint64
}

// Detector is the ring as one process sees it. It is not safe for concurrent use.
type Detector struct {
	cfg             Config
	self            Peer
	ring            []ringMember // by position, this process included
	ownWatchers     []string     // this one's watchers
	nextWatcher     int
	lastHeartbeatAt int64
	watched         map[string]*watchedPeer
}

// New returns the detector of a process that knows itself alone.
func New(now int64, cfg Config, self Peer) *Detector {
	m := &Detector{cfg: cfg, self: self, watched: make(map[string]*watchedPeer)}
	m.SetPeers(now, nil)
	return m
}

func ringPosition(addr string) uint64 { return xxhash.Sum64String(addr) }

// SetPeers sets the other processes that are thought to be alive.
func (d *Detector) SetPeers(now int64, peers []Peer) {
	d.ring = append(d.ring[:0], ringMember{d.self, ringPosition(d.self.Addr)})
	for _, p := range peers {
		if p.Addr != d.self.Addr {
			d.ring = append(d.ring, ringMember{p, ringPosition(p.Addr)})
		}
	}
	slices.SortFunc(d.ring, func(a, b ringMember) int {
		return cmp.Or(cmp.Compare(a.position, b.position), strings.Compare(a.Addr, b.Addr))
	})
	d.ownWatchers = d.watchersOf(d.self)
	keep := make(map[string]bool)
	for _, p := range d.ring {
		if p.Addr != d.self.Addr && slices.Contains(d.watchersOf(p.Peer), d.self.Addr) {
			keep[p.Addr] = true
			if d.watched[p.Addr] == nil {
				d.watched[p.Addr] = &watchedPeer{lastHeardAt: now}
			}
		}
	}
	for addr := range d.watched {
		if !keep[addr] {
			delete(d.watched, addr)
		}
	}
}

// watchersOf returns the watchers of a process: the next ones on the ring, all but one of its
// own zone and one beyond it, since a zone may be lost at once; any others if these are too few.
func (d *Detector) watchersOf(of Peer) (out []string) {
	at := slices.IndexFunc(d.ring, func(p ringMember) bool { return p.Addr == of.Addr })
	if at < 0 {
		return nil
	}
	var rest []string
	near, far := d.cfg.Watchers-1, 1
	for i := 1; i < len(d.ring) && near+far > 0; i++ {
		p := d.ring[(at+i)%len(d.ring)]
		switch {
		case p.Zone == of.Zone && near > 0:
			near--
			out = append(out, p.Addr)
		case p.Zone != of.Zone && far > 0:
			far--
			out = append(out, p.Addr)
		default:
			rest = append(rest, p.Addr)
		}
	}
	return append(out, rest[:min(len(rest), d.cfg.Watchers-len(out))]...)
}

// Watchers returns the addresses that this process sends heartbeats to.
func (d *Detector) Watchers() []string { return slices.Clone(d.ownWatchers) }

// Watched returns the addresses that send their heartbeats here.
func (d *Detector) Watched() (out []string) {
	for addr := range d.watched {
		out = append(out, addr)
	}
	slices.Sort(out)
	return out
}

// Observe takes any sign of life of a process.
func (d *Detector) Observe(now int64, addr string) {
	if w := d.watched[addr]; w != nil {
		*w = watchedPeer{lastHeardAt: now}
	}
}

// suspectTimeout is how long a watched process may be silent before it is probed.
func (d *Detector) suspectTimeout() int64 {
	return (d.cfg.MissedHeartbeats*int64(max(d.cfg.Watchers, 1)) + 1) * d.cfg.HeartbeatInterval
}

// HandleProbe answers a probe of another watcher: whether this process has heard of one within
// the time that it would itself wait. A process that does not watch it does not know, and is
// to try it.
func (d *Detector) HandleProbe(now int64, about string) (alive, knows bool) {
	if about == d.self.Addr {
		return true, true
	}
	w := d.watched[about]
	if w == nil {
		return false, false
	}
	return now-w.lastHeardAt <= d.suspectTimeout(), true
}

// HandleProbeResult takes the answer to a probe; answered is false if none came.
func (d *Detector) HandleProbeResult(now int64, q Probe, alive, answered bool) {
	w := d.watched[q.Target]
	if w == nil || w.probedAt == 0 {
		return
	}
	w.pendingAnswers--
	switch {
	case answered && q.To == q.Target:
		w.answeredItself = true
	case answered && alive:
		w.aliveElsewhere = true
	case answered:
		w.confirmations++
	}
}

// Tick sends heartbeats, probes silent processes, and reports dead ones.
func (d *Detector) Tick(now int64) (out Output) {
	if len(d.ownWatchers) > 0 && now-d.lastHeartbeatAt >= d.cfg.HeartbeatInterval {
		d.lastHeartbeatAt = now
		d.nextWatcher++
		out.Heartbeats = append(out.Heartbeats, d.ownWatchers[d.nextWatcher%len(d.ownWatchers)])
	}
	for _, addr := range d.Watched() {
		w := d.watched[addr]
		if w.probedAt == 0 {
			if now-w.lastHeardAt > d.suspectTimeout() && now >= w.nextProbeAt {
				w.probedAt, w.aliveElsewhere, w.answeredItself, w.confirmations, w.pendingAnswers = now, false, false, 0, 1
				out.Probes = append(out.Probes, Probe{To: addr, Target: addr})
				for _, other := range d.proberCandidates(addr, w.round) {
					w.pendingAnswers++
					out.Probes = append(out.Probes, Probe{To: other, Target: addr})
				}
			}
			continue
		}
		if w.pendingAnswers > 0 && now-w.probedAt < d.cfg.ConfirmTimeout {
			continue
		}
		noOtherWitness := w.pendingAnswers <= 1 && w.confirmations == 0 && len(d.proberCandidates(addr, 0))+len(d.proberCandidates(addr, 1)) == 0
		switch {
		case w.answeredItself: // it is alive, though its heartbeats do not arrive here
			*w = watchedPeer{lastHeardAt: now}
		case w.aliveElsewhere:
			w.probedAt, w.nextProbeAt = 0, now+2*d.cfg.HeartbeatInterval
		case w.confirmations > 0, noOtherWitness && now-w.lastHeardAt > 2*d.suspectTimeout():
			delete(d.watched, addr)
			out.Dead = append(out.Dead, addr)
		default: // nobody else has said anything: this one may be what is cut off
			w.probedAt, w.nextProbeAt, w.round = 0, now+d.cfg.HeartbeatInterval, 1-w.round
		}
	}
	return out
}

// proberCandidates returns the processes that are asked about a silent one: its other watchers
// or, since these may be lost with it, processes of other zones.
func (d *Detector) proberCandidates(addr string, round int) (out []string) {
	at := slices.IndexFunc(d.ring, func(p ringMember) bool { return p.Addr == addr })
	if at < 0 {
		return nil
	}
	of := d.ring[at]
	if round == 0 {
		return slices.DeleteFunc(d.watchersOf(of.Peer), func(o string) bool { return o == d.self.Addr })
	}
	for i := 1; i < len(d.ring) && len(out) < d.cfg.Watchers; i++ {
		if p := d.ring[(at+i)%len(d.ring)]; p.Zone != of.Zone && p.Addr != d.self.Addr {
			out = append(out, p.Addr)
		}
	}
	return out
}
