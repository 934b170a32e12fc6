// Package failuredetector owns who watches whom. Each process beats at a few others that its place on
// a ring names: mostly of its own zone, one beyond it. A watcher that misses the beats asks
// the watched itself and its other watchers, and only what more than one of them has seen
// counts as a death. It must never believe one witness alone where there are two, grow with
// the number of processes in what it sends, or act on what it finds: it only tells.
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

// Config tunes a ring; times are microseconds of the caller's clock.
type Config struct {
	Watchers int   // of each process
	Beat     int64 // between two beats of one process, which go to its watchers in turn
	Missed   int64 // beats at one watcher that may be missed before it asks
	Ask      int64 // the answers to a question must have come by then
}

// Usual is the configuration for service: three watchers hear each process every 3 s; a
// death is told after 7 to 11 s.
var Usual = Config{Watchers: 3, Beat: 1_000_000, Missed: 2, Ask: 1_200_000}

// Question is a call to one process about another, or about itself.
type Question struct {
	To, About string
}

// Output is what a step returns.
type Output struct {
	Beat []string   // processes to beat at
	Ask  []Question // calls whose answers come back by Answered
	Dead []string   // processes that are dead
}

type watched struct {
	heard  int64 // the last sign of life, or when watching began
	askAt  int64 // not before is it asked after; 0: once it is silent
	asked  int64 // when it was asked after; 0: no question is out
	round  int   // 0: its other watchers are asked; 1: processes of other zones, to try it
	open   int   // answers that have not come
	silent int   // others that do not hear it either
	lives  bool  // one does: no sign of life here, and none to pass on
	spoke  bool  // it has answered itself
}

type place struct {
	Peer
	at uint64
}

// Machine is the ring as one process sees it. It is not safe for concurrent use.
type Machine struct {
	cfg    Config
	self   Peer
	ring   []place  // by place, this process included
	mine   []string // this one's watchers
	turn   int
	beatAt int64
	watch  map[string]*watched
}

// New returns the ring of a process that knows itself alone.
func New(now int64, cfg Config, self Peer) *Machine {
	m := &Machine{cfg: cfg, self: self, watch: make(map[string]*watched)}
	m.Members(now, nil)
	return m
}

func spot(addr string) uint64 { return xxhash.Sum64String(addr) }

// Members takes the other processes that are thought to live.
func (m *Machine) Members(now int64, peers []Peer) {
	m.ring = append(m.ring[:0], place{m.self, spot(m.self.Addr)})
	for _, p := range peers {
		if p.Addr != m.self.Addr {
			m.ring = append(m.ring, place{p, spot(p.Addr)})
		}
	}
	slices.SortFunc(m.ring, func(a, b place) int { return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.Addr, b.Addr)) })
	m.mine = m.watchers(m.self)
	keep := make(map[string]bool)
	for _, p := range m.ring {
		if p.Addr != m.self.Addr && slices.Contains(m.watchers(p.Peer), m.self.Addr) {
			keep[p.Addr] = true
			if m.watch[p.Addr] == nil {
				m.watch[p.Addr] = &watched{heard: now}
			}
		}
	}
	for addr := range m.watch {
		if !keep[addr] {
			delete(m.watch, addr)
		}
	}
}

// watchers are those behind a process on the ring: all but one of its own zone, and one
// beyond it, for a zone may be lost whole; whoever there is where these are too few.
func (m *Machine) watchers(of Peer) (out []string) {
	at := slices.IndexFunc(m.ring, func(p place) bool { return p.Addr == of.Addr })
	if at < 0 {
		return nil
	}
	var rest []string
	near, far := m.cfg.Watchers-1, 1
	for i := 1; i < len(m.ring) && near+far > 0; i++ {
		p := m.ring[(at+i)%len(m.ring)]
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
	return append(out, rest[:min(len(rest), m.cfg.Watchers-len(out))]...)
}

// Watchers are the processes that this one beats at; Watched, those that beat here.
func (m *Machine) Watchers() []string { return slices.Clone(m.mine) }

// Watched is as Watchers.
func (m *Machine) Watched() (out []string) {
	for addr := range m.watch {
		out = append(out, addr)
	}
	slices.Sort(out)
	return out
}

// Heard takes a sign of life, whatever it was.
func (m *Machine) Heard(now int64, addr string) {
	if w := m.watch[addr]; w != nil {
		*w = watched{heard: now}
	}
}

// patience is how long a watched process may be silent before it is asked after.
func (m *Machine) patience() int64 {
	return (m.cfg.Missed*int64(max(m.cfg.Watchers, 1)) + 1) * m.cfg.Beat
}

// Hears answers a question of another watcher: whether this process has heard of one
// within the time that it would itself wait. One that does not watch it does not know, and
// is to try it.
func (m *Machine) Hears(now int64, about string) (hears, knows bool) {
	if about == m.self.Addr {
		return true, true
	}
	w := m.watch[about]
	if w == nil {
		return false, false
	}
	return now-w.heard <= m.patience(), true
}

// Answered takes the answer to a question; one that did not come is none.
func (m *Machine) Answered(now int64, q Question, hears, came bool) {
	w := m.watch[q.About]
	if w == nil || w.asked == 0 {
		return
	}
	w.open--
	switch {
	case came && q.To == q.About:
		w.spoke = true
	case came && hears:
		w.lives = true
	case came:
		w.silent++
	}
}

// Tick beats, asks after those that are silent, and tells who is dead.
func (m *Machine) Tick(now int64) (out Output) {
	if len(m.mine) > 0 && now-m.beatAt >= m.cfg.Beat {
		m.beatAt = now
		m.turn++
		out.Beat = append(out.Beat, m.mine[m.turn%len(m.mine)])
	}
	for _, addr := range m.Watched() {
		w := m.watch[addr]
		if w.asked == 0 {
			if now-w.heard > m.patience() && now >= w.askAt {
				w.asked, w.lives, w.spoke, w.silent, w.open = now, false, false, 0, 1
				out.Ask = append(out.Ask, Question{To: addr, About: addr})
				for _, other := range m.others(addr, w.round) {
					w.open++
					out.Ask = append(out.Ask, Question{To: other, About: addr})
				}
			}
			continue
		}
		if w.open > 0 && now-w.asked < m.cfg.Ask {
			continue
		}
		none := w.open <= 1 && w.silent == 0 && len(m.others(addr, 0))+len(m.others(addr, 1)) == 0
		switch {
		case w.spoke: // it lives, though its beats do not get here
			*w = watched{heard: now}
		case w.lives:
			w.asked, w.askAt = 0, now+2*m.cfg.Beat
		case w.silent > 0, none && now-w.heard > 2*m.patience():
			delete(m.watch, addr)
			out.Dead = append(out.Dead, addr)
		default: // nobody else has said anything: this one may be what is cut off
			w.asked, w.askAt, w.round = 0, now+m.cfg.Beat, 1-w.round
		}
	}
	return out
}

// others are those that are asked after a process: its other watchers, or, where these may
// be lost with it, processes of other zones.
func (m *Machine) others(addr string, round int) (out []string) {
	at := slices.IndexFunc(m.ring, func(p place) bool { return p.Addr == addr })
	if at < 0 {
		return nil
	}
	of := m.ring[at]
	if round == 0 {
		return slices.DeleteFunc(m.watchers(of.Peer), func(o string) bool { return o == m.self.Addr })
	}
	for i := 1; i < len(m.ring) && len(out) < m.cfg.Watchers; i++ {
		if p := m.ring[(at+i)%len(m.ring)]; p.Zone != of.Zone && p.Addr != m.self.Addr {
			out = append(out, p.Addr)
		}
	}
	return out
}
