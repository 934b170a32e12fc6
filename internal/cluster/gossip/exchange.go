package gossip

// Who is told what, and when: the conversation of one process with the others. It owns no
// connection: what it wants called comes out as Orders, and how each ended comes back.

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
)

// Process is what is told of a process of the system.
type Process struct {
	Addr    string `json:"-"`
	Name    string `json:"n"`
	Kind    string `json:"k"` // "echo" or "keel"
	Zone    string `json:"z"`
	Region  string `json:"g"`
	Control string `json:"c,omitempty"`
}

// Processes begins the keys of processes among the news. A rank that is odd, or no body,
// says that one is thought dead; it takes that back by the next even rank.
const Processes = "p/"

const firstLife = 2 // the rank of a process that nothing is known of

// Pass is what two processes say to one another of news.
type Pass struct {
	From  string   `json:"f"`
	News  []Item   `json:"n,omitempty"`
	Marks []Mark   `json:"m,omitempty"` // of news too large to be sent unasked
	Sum   uint64   `json:"s,omitempty"` // of all that the caller holds; 0: not told
	Sums  *Digest  `json:"d,omitempty"` // the same by bucket
	Ask   []string `json:"a,omitempty"` // keys
}

// Passed is the answer.
type Passed struct {
	Differs bool     `json:"x,omitempty"` // the sums
	Want    []string `json:"w,omitempty"`
	Marks   []Mark   `json:"m,omitempty"`
	Buckets []int    `json:"b,omitempty"`
	News    []Item   `json:"n,omitempty"`
}

// Order is a call that is to be made. It must come back by Done, once.
type Order struct {
	ID   uint64
	To   string
	Pass Pass
}

// Config tunes a conversation; times are microseconds of the caller's clock.
type Config struct {
	PassTo    int   // peers of the own zone that one message's news goes to
	PassTimes int   // messages that a piece of news goes out in from one process
	Spread    int64 // between two messages of news
	JoinAgain int64 // between two rounds of asking the seeds, at first
	JoinMost  int64 // and at most
	Rest      int64 // a peer that did not answer is left alone for so long, times the misses
	RestMost  int64 // at most
	MostOut   int   // calls out at once
}

// Usual is the configuration for service.
var Usual = Config{PassTo: 2, PassTimes: 2, Spread: 100_000, JoinAgain: 60_000, JoinMost: 2_000_000, Rest: 1_000_000, RestMost: 8_000_000,
	MostOut: 64}

type rest struct {
	misses int64
	until  int64
}

// step says what a call was for.
type step int

const (
	give    step = iota // news for one process; the next one of the list where it fails
	fetched             // news that was asked for
	compare             // one sum
	align               // sums by bucket
	swap                // what either lacks
)

type talk struct {
	step step
	to   string
	next []string // of give: who else would do
	msg  Message
}

// Talk is the conversation of one process. It is not safe for concurrent use.
type Talk struct {
	Book *Book
	Took func(Item) // after news was taken; nil: nobody

	cfg   Config
	self  Process
	rng   *rand.Rand
	seeds []string
	peers map[string]Process
	rests map[string]rest
	out   map[uint64]talk
	ids   uint64
	wants []Order

	joinAt, joinGap, spreadAt int64
	found                     int // differences that comparing found
}

// NewTalk returns the conversation of a process that knows itself and addresses to ask.
func NewTalk(now int64, cfg Config, self Process, seeds []string, rng *rand.Rand) *Talk {
	t := &Talk{Book: NewBook(), cfg: cfg, self: self, rng: rng, seeds: seeds, peers: make(map[string]Process),
		rests: make(map[string]rest), out: make(map[uint64]talk), joinGap: cfg.JoinAgain}
	t.Put(now, t.own(firstLife), true)
	return t
}

func (t *Talk) own(rank uint64) Item {
	body, err := json.Marshal(t.self)
	if err != nil {
		panic(err) // a struct of texts always has a form
	}
	return Item{Key: Processes + t.self.Addr, Rank: rank, Body: body}
}

// Leave tells the others that this process ends of its own will.
func (t *Talk) Leave(now int64) { t.Dead(now, t.self.Addr) }

// Dead tells that a process is gone. One that lives takes that back.
func (t *Talk) Dead(now int64, addr string) {
	key := Processes + addr
	if held, known := t.Book.Get(key); known && !held.Gone() {
		t.take(now, Item{Key: key, Rank: held.Rank | 1}, true)
	}
}

// Put takes news, of this process's own or of another, to be passed on to all or within
// the zone, and tells whether it was new.
func (t *Talk) Put(now int64, i Item, wide bool) bool {
	if i.Key == Processes+t.self.Addr && i.Gone() { // we live
		i = t.own((i.Rank/2 + 1) * 2)
		wide = true
	}
	return t.take(now, i, wide)
}

func (t *Talk) take(now int64, i Item, wide bool) bool {
	if !t.Book.Put(now, i, t.cfg.PassTimes, wide) {
		return false
	}
	if addr, is := strings.CutPrefix(i.Key, Processes); is && addr != t.self.Addr {
		p := Process{Addr: addr}
		if i.Gone() || json.Unmarshal(i.Body, &p) != nil {
			delete(t.peers, addr)
		} else {
			t.peers[addr] = p
		}
	}
	if t.Took != nil {
		t.Took(i)
	}
	return true
}

// Seeds tells whom to ask while nobody is known.
func (t *Talk) Seeds(addrs []string) { t.seeds = addrs }

// Peers are the other processes, of a kind or of any, by address.
func (t *Talk) Peers(kind string) []Process {
	out := make([]Process, 0, len(t.peers))
	for _, p := range t.peers {
		if kind == "" || p.Kind == kind {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Process) int { return strings.Compare(a.Addr, b.Addr) })
	return out
}

// Awake tells whether a peer answered when it was last called, or may have come back.
func (t *Talk) Awake(now int64, addr string) bool { return now >= t.rests[addr].until }

// Found counts the differences that comparing has found.
func (t *Talk) Found() int { return t.found }

// sum is one figure for all that is held; never 0.
func (t *Talk) sum() uint64 {
	s := uint64(0)
	for _, x := range t.Book.Sums() {
		s = s*0x9E3779B97F4A7C15 + x
	}
	return s | 1
}

// Got answers another process.
func (t *Talk) Got(now int64, p Pass) Passed {
	delete(t.rests, p.From)
	for _, i := range p.News {
		t.Put(now, i, false)
	}
	ans := Passed{Want: t.Book.Lacks(p.Marks), News: t.Book.Pick(p.Ask)}
	if p.Sum != 0 && p.Sums == nil {
		ans.Differs = p.Sum != t.sum()
	}
	if p.Sums != nil {
		ans.Marks, ans.Buckets = t.Book.Marks(*p.Sums)
	}
	return ans
}

func (t *Talk) call(k talk, p Pass) {
	if len(t.out) >= t.cfg.MostOut {
		return // what is not said now is found by the next comparison
	}
	t.ids++
	p.From = t.self.Addr
	t.out[t.ids] = k
	t.wants = append(t.wants, Order{ID: t.ids, To: k.to, Pass: p})
}

// Take returns the calls that are to be made since it was last asked.
func (t *Talk) Take() []Order {
	out := t.wants
	t.wants = nil
	return out
}

// Done says how a call ended.
func (t *Talk) Done(now int64, id uint64, ans Passed, ok bool) {
	k, known := t.out[id]
	if !known {
		return
	}
	delete(t.out, id)
	if !ok {
		r := t.rests[k.to]
		r.misses++
		r.until = now + min(r.misses*t.cfg.Rest, t.cfg.RestMost)
		t.rests[k.to] = r
		if k.step == give && len(k.next) > 0 {
			k.to, k.next = k.next[0], k.next[1:]
			t.call(k, Pass{News: k.msg.Small, Marks: k.msg.Large})
		}
		return
	}
	delete(t.rests, k.to)
	for _, i := range ans.News {
		t.Put(now, i, false)
	}
	switch k.step {
	case give:
		if len(ans.Want) > 0 {
			t.call(talk{step: fetched, to: k.to}, Pass{News: t.Book.Pick(ans.Want)})
		}
	case compare:
		if ans.Differs {
			t.found++
			t.Align(k.to)
		}
	case align:
		if len(ans.Buckets) == 0 {
			return
		}
		if news, want := t.Book.Newer(ans.Marks, ans.Buckets); len(news)+len(want) > 0 {
			t.call(talk{step: swap, to: k.to}, Pass{News: news, Ask: want})
		}
	}
}

// Compare finds out by one sum whether a peer holds the same, and if not, what either
// lacks.
func (t *Talk) Compare(addr string) { t.call(talk{step: compare, to: addr}, Pass{Sum: t.sum()}) }

// Align brings two processes to the same news.
func (t *Talk) Align(addr string) {
	sums := t.Book.Sums()
	t.call(talk{step: align, to: addr}, Pass{Sums: &sums})
}

// Tick asks the seeds while nobody is known, and passes news on.
func (t *Talk) Tick(now int64) {
	if len(t.peers) == 0 && now >= t.joinAt {
		t.joinAt, t.joinGap = now+t.joinGap, min(t.joinGap*3/2, t.cfg.JoinMost)
		for _, addr := range t.seeds {
			if addr != t.self.Addr {
				t.Align(addr)
			}
		}
	}
	if len(t.peers) > 0 {
		t.joinGap = t.cfg.JoinAgain
	}
	if t.Book.Idle() || now < t.spreadAt {
		return
	}
	t.spreadAt = now + t.cfg.Spread
	t.spread(now)
}

// Next is when a Tick has something to do; 0: when something comes in.
func (t *Talk) Next() int64 {
	switch {
	case len(t.peers) == 0:
		return max(t.joinAt, 1)
	case !t.Book.Idle():
		return max(t.spreadAt, 1)
	}
	return 0
}

// spread passes hot news on: to some of the own zone, and what began here to one process
// of every other zone, where it is then passed on in turn. Ways between zones are dear.
func (t *Talk) spread(now int64) {
	near, wide := t.Book.Hot()
	zones := make(map[string][]string)
	for _, p := range t.Peers("") {
		if t.Awake(now, p.Addr) {
			zones[p.Zone] = append(zones[p.Zone], p.Addr)
		}
	}
	names := make([]string, 0, len(zones))
	for zone, addrs := range zones {
		names = append(names, zone)
		slices.Sort(addrs)
	}
	slices.Sort(names)
	for _, zone := range names {
		addrs := zones[zone]
		t.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		if zone != t.self.Zone {
			t.tell(wide, addrs[:min(len(addrs), 3)])
			continue
		}
		for i := range min(t.cfg.PassTo, len(addrs)) {
			t.tell(near, addrs[i:i+1])
		}
	}
}

// tell has news given to one of some processes.
func (t *Talk) tell(m Message, to []string) {
	if !m.Empty() {
		t.call(talk{step: give, to: to[0], next: to[1:], msg: m}, Pass{News: m.Small, Marks: m.Large})
	}
}

// Forget drops what has long been gone, and peers' rests that are over.
func (t *Talk) Forget(now int64) {
	t.Book.Forget(now)
	for addr, r := range t.rests {
		if now > r.until+t.cfg.RestMost {
			delete(t.rests, addr)
		}
	}
}
