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
type Duty struct {
	Name, Kind string
}

// Sweep is the duty of one mixer to look at every process's news in turn.
var Sweep = Duty{"sweep", "echo"}

// Config tunes the machines; times are microseconds of the caller's clock.
type Config struct {
	Talk   gossip.Config
	Ring   failuredetector.Config
	Mend   antientropy.Config
	Settle int64 // a process is the first of a duty's order for so long before it claims it
	Keep   int64 // between looks at what is done now and then
	Duties []Duty
}

// Usual is the configuration for service, with these duties beside the sweep.
func Usual(more ...Duty) Config {
	return Config{Talk: gossip.Usual, Ring: failuredetector.Usual, Mend: antientropy.Usual, Settle: 2_000_000, Keep: 1_000_000, Duties: append([]Duty{Sweep}, more...)}
}

// Noted is something worth a line in the log.
type Noted struct {
	What    What
	Process string
	Duty    string
	Epoch   uint64
}

// What it is.
type What int

// The kinds of it.
const (
	Joined    What = iota // the first other process was met
	Dead                  // the ring found a process dead
	Gone                  // a process is known to have ended
	DutyTaken             // by this process
	DutyLost              // to another
)

// Output is what is to be done: calls to make, whose ends come back by Done and Answered.
type Output struct {
	Orders []gossip.Order
	Ask    []failuredetector.Question
	Noted  []Noted
}

// Claims begins the keys of claims of duties among the news.
const Claims = "d/"

type claim struct {
	Holder string `json:"h"`
}

// Machine is one process among the others. It is not safe for concurrent use.
type Machine struct {
	Took func(gossip.Item) // after news was taken; nil: nobody

	cfg    Config
	self   gossip.Process
	talk   *gossip.Talk
	ring   *failuredetector.Machine
	turn   *lease.Machine
	mend   *antientropy.Machine
	moved  bool // the processes known have changed
	joined bool
	keepAt int64
	out    Output
}

// New returns a process that knows itself and addresses to ask.
func New(now int64, cfg Config, self gossip.Process, seeds []string, rng *rand.Rand) *Machine {
	names := make([]string, len(cfg.Duties))
	for i, d := range cfg.Duties {
		names[i] = d.Name
	}
	m := &Machine{cfg: cfg, self: self, talk: gossip.NewTalk(now, cfg.Talk, self, seeds, rng), mend: antientropy.New(cfg.Mend),
		ring: failuredetector.New(now, cfg.Ring, failuredetector.Peer{Addr: self.Addr, Zone: self.Zone}), turn: lease.New(self.Addr, cfg.Settle, names...)}
	m.talk.Took = m.took
	return m
}

// Book is the news that is held.
func (m *Machine) Book() *gossip.Book { return m.talk.Book }

// Peers are the other processes that live, of a kind or of any.
func (m *Machine) Peers(kind string) []gossip.Process { return m.talk.Peers(kind) }

// Awake tells whether a peer answered when it was last called.
func (m *Machine) Awake(now int64, addr string) bool { return m.talk.Awake(now, addr) }

// Holds tells whether this process holds a duty, and under which epoch.
func (m *Machine) Holds(duty string) (epoch uint64, holds bool) { return m.turn.Holds(duty) }

// Holder is who holds a duty as far as is known.
func (m *Machine) Holder(duty string) (lease.Claim, bool) { return m.turn.Holder(duty) }

// Refuses tells whether work under an epoch of a duty comes too late.
func (m *Machine) Refuses(duty string, epoch uint64) bool { return m.turn.Refuses(duty, epoch) }

// Duties are those that there are.
func (m *Machine) Duties() []Duty { return m.cfg.Duties }

// Watchers are the processes that this one beats at; Watched, those that beat here.
func (m *Machine) Watchers() []string { return m.ring.Watchers() }

// Watched is as Watchers.
func (m *Machine) Watched() []string { return m.ring.Watched() }

// Found counts the differences that comparing news has found; Swept, the sweep's looks.
func (m *Machine) Found() int { return m.talk.Found() }

// Swept is as Found.
func (m *Machine) Swept() antientropy.Stats { return m.mend.Stats() }

func (m *Machine) note(n Noted) { m.out.Noted = append(m.out.Noted, n) }

// took is told of all news that was taken.
func (m *Machine) took(i gossip.Item) {
	if addr, is := strings.CutPrefix(i.Key, gossip.Processes); is {
		m.moved = true
		if i.Gone() {
			m.note(Noted{What: Gone, Process: addr})
		}
	} else if duty, is := strings.CutPrefix(i.Key, Claims); is {
		var c claim
		if json.Unmarshal(i.Body, &c) == nil {
			_, held := m.turn.Holds(duty)
			if m.turn.Told(lease.Claim{Duty: duty, Epoch: i.Rank, Holder: c.Holder}) && held && c.Holder != m.self.Addr {
				m.note(Noted{What: DutyLost, Process: c.Holder, Duty: duty, Epoch: i.Rank})
			}
		}
	}
	if m.Took != nil {
		m.Took(i)
	}
}

// Put takes news of this process's own, for all.
func (m *Machine) Put(now int64, i gossip.Item) { m.talk.Put(now, i, true) }

// Got answers another process.
func (m *Machine) Got(now int64, p gossip.Pass) gossip.Passed {
	m.ring.Heard(now, p.From)
	return m.talk.Got(now, p)
}

// Done says how an order ended.
func (m *Machine) Done(now int64, o gossip.Order, ans gossip.Passed, ok bool) {
	if ok {
		m.ring.Heard(now, o.To)
	}
	m.talk.Done(now, o.ID, ans, ok)
}

// Hears answers a question of the ring: where this process does not know, it is to try the
// process asked about, if there is such a one.
func (m *Machine) Hears(now int64, about string) (hears, try bool) {
	hears, knows := m.ring.Hears(now, about)
	_, known := m.talk.Book.Get(gossip.Processes + about)
	return hears, !knows && known
}

// Answered takes the answer to a question of the ring, or says that none came.
func (m *Machine) Answered(now int64, q failuredetector.Question, hears, came bool) {
	m.ring.Answered(now, q, hears, came)
}

// Seeds tells whom to ask while nobody is known.
func (m *Machine) Seeds(addrs []string) { m.talk.Seeds(addrs) }

// Leave tells some others that this process ends.
func (m *Machine) Leave(now int64) {
	m.talk.Leave(now)
	m.talk.Tick(now + m.cfg.Talk.Spread)
}

// Take returns what is to be done since it was last asked.
func (m *Machine) Take() Output {
	out := m.out
	m.out = Output{}
	out.Orders = m.talk.Take()
	return out
}

// Next is when Tick has something to do.
func (m *Machine) Next() int64 {
	if at := m.talk.Next(); at != 0 {
		return min(at, m.keepAt)
	}
	return m.keepAt
}

// Tick passes news on, beats, asks after the silent, and does this process's duties.
func (m *Machine) Tick(now int64) {
	if !m.joined && len(m.talk.Peers("")) > 0 {
		m.joined = true
		m.note(Noted{What: Joined})
	}
	if now >= m.keepAt {
		m.keepAt = now + m.cfg.Keep
		m.keep(now)
	}
	m.talk.Tick(now)
}

func (m *Machine) keep(now int64) {
	m.talk.Forget(now)
	if m.moved {
		m.moved = false
		var peers []failuredetector.Peer
		for _, p := range m.talk.Peers("") {
			peers = append(peers, failuredetector.Peer{Addr: p.Addr, Zone: p.Zone})
		}
		m.ring.Members(now, peers)
	}
	out := m.ring.Tick(now)
	for _, addr := range out.Beat {
		m.talk.Compare(addr)
	}
	for _, addr := range out.Dead {
		m.note(Noted{What: Dead, Process: addr})
		m.talk.Dead(now, addr)
	}
	m.out.Ask = append(m.out.Ask, out.Ask...)
	for _, c := range m.turn.Tick(now, m.able) {
		m.note(Noted{What: DutyTaken, Duty: c.Duty, Epoch: c.Epoch, Process: m.self.Addr})
		body, err := json.Marshal(claim{c.Holder})
		if err != nil {
			panic(err) // a struct of one text always has a form
		}
		m.Put(now, gossip.Item{Key: Claims + c.Duty, Rank: c.Epoch, Body: body})
	}
	if _, mine := m.turn.Holds(Sweep.Name); mine {
		var all []string
		for _, p := range m.talk.Peers("") {
			all = append(all, p.Addr)
		}
		if addr, due := m.mend.Sweep(now, all); due {
			m.talk.Compare(addr)
		}
	}
}

// able are the processes that live and may have a duty.
func (m *Machine) able(duty string) (out []string) {
	for _, d := range m.cfg.Duties {
		if d.Name != duty {
			continue
		}
		if m.self.Kind == d.Kind {
			out = append(out, m.self.Addr)
		}
		for _, p := range m.talk.Peers(d.Kind) {
			out = append(out, p.Addr)
		}
	}
	return out
}
