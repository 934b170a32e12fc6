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
	Kind    string `json:"k"` // KindAgent or KindControlPlane
	Zone    string `json:"z"`
	Region  string `json:"g"`
	Control string `json:"c,omitempty"`
}

// The kinds of processes as they stand on the wire. The values are the names that the programs
// had in the first releases, and stay: processes of two releases talk to each other.
const (
	KindAgent        = "echo" // the agent beside a proxy
	KindControlPlane = "keel" // a control-plane process
)

// Processes begins the keys of processes among the news. A rank that is odd, or no body,
// says that one is thought dead; it takes that back by the next even rank.
const ProcessPrefix = "p/"

const initialVersion = 2 // the rank of a process that nothing is known of

// Pass is what two processes say to one another of news.
type ExchangeRequest struct {
	From     string         `json:"f"`
	Entries  []Entry        `json:"n,omitempty"`
	Versions []EntryVersion `json:"m,omitempty"` // of news too large to be sent unasked
	Checksum uint64         `json:"s,omitempty"` // of all that the caller holds; 0: not told
	Digest   *Digest        `json:"d,omitempty"` // the same by bucket
	Want     []string       `json:"a,omitempty"` // keys
}

// Passed is the answer.
type ExchangeResponse struct {
	Differs  bool           `json:"x,omitempty"` // the sums
	Want     []string       `json:"w,omitempty"`
	Versions []EntryVersion `json:"m,omitempty"`
	Buckets  []int          `json:"b,omitempty"`
	Entries  []Entry        `json:"n,omitempty"`
}

// Order is a call that is to be made. It must come back by Done, once.
type OutboundCall struct {
	ID      uint64
	To      string
	Request ExchangeRequest
}

// Config tunes a conversation; times are microseconds of the caller's clock.
type Config struct {
	Fanout           int   // peers of the own zone that one message's news goes to
	MaxTransmits     int   // messages that a piece of news goes out in from one process
	GossipInterval   int64 // between two messages of news
	JoinRetryMin     int64 // between two rounds of asking the seeds, at first
	JoinRetryMax     int64 // and at most
	PeerBackoff      int64 // a peer that did not answer is left alone for so long, times the misses
	PeerBackoffMax   int64 // at most
	MaxCallsInFlight int   // calls out at once
}

// Usual is the configuration for service.
var DefaultConfig = Config{Fanout: 2, MaxTransmits: 2, GossipInterval: 100_000, JoinRetryMin: 60_000, JoinRetryMax: 2_000_000, PeerBackoff: 1_000_000, PeerBackoffMax: 8_000_000,
	MaxCallsInFlight: 64}

type peerBackoff struct {
	failures int64
	until    int64
}

// step says what a call was for.
type callPurpose int

const (
	pushUpdate      callPurpose = iota // news for one process; the next one of the list where it fails
	pushWanted                         // news that was asked for
	compareChecksum                    // one sum
	compareDigest                      // sums by bucket
	exchangeEntries                    // what either lacks
)

type callState struct {
	purpose    callPurpose
	to         string
	alternates []string // of give: who else would do
	update     Update
}

// Talk is the conversation of one process. It is not safe for concurrent use.
type Gossiper struct {
	Store    *Store
	OnUpdate func(Entry) // after news was taken; nil: nobody

	cfg      Config
	self     Process
	rng      *rand.Rand
	seeds    []string
	peers    map[string]Process
	backoffs map[string]peerBackoff
	inFlight map[uint64]callState
	lastID   uint64
	outbox   []OutboundCall

	nextJoinAt, joinInterval, nextGossipAt int64
	differencesFound                       int // differences that comparing found
}

// NewTalk returns the conversation of a process that knows itself and addresses to ask.
func New(now int64, cfg Config, self Process, seeds []string, rng *rand.Rand) *Gossiper {
	t := &Gossiper{Store: NewStore(), cfg: cfg, self: self, rng: rng, seeds: seeds, peers: make(map[string]Process),
		backoffs: make(map[string]peerBackoff), inFlight: make(map[uint64]callState), joinInterval: cfg.JoinRetryMin}
	t.Put(now, t.selfEntry(initialVersion), true)
	return t
}

func (t *Gossiper) selfEntry(version uint64) Entry {
	body, err := json.Marshal(t.self)
	if err != nil {
		panic(err) // a struct of texts always has a form
	}
	return Entry{Key: ProcessPrefix + t.self.Addr, Version: version, Value: body}
}

// Leave tells the others that this process ends of its own will.
func (t *Gossiper) AnnounceLeave(now int64) { t.MarkDead(now, t.self.Addr) }

// Dead tells that a process is gone. One that lives takes that back.
func (t *Gossiper) MarkDead(now int64, addr string) {
	key := ProcessPrefix + addr
	if stored, known := t.Store.Get(key); known && !stored.Deleted() {
		t.apply(now, Entry{Key: key, Version: stored.Version | 1}, true)
	}
}

// Put takes news, of this process's own or of another, to be passed on to all or within
// the zone, and tells whether it was new.
func (t *Gossiper) Put(now int64, i Entry, allZones bool) bool {
	if i.Key == ProcessPrefix+t.self.Addr && i.Deleted() { // we live
		i = t.selfEntry((i.Version/2 + 1) * 2)
		allZones = true
	}
	return t.apply(now, i, allZones)
}

func (t *Gossiper) apply(now int64, i Entry, allZones bool) bool {
	if !t.Store.Put(now, i, t.cfg.MaxTransmits, allZones) {
		return false
	}
	if addr, is := strings.CutPrefix(i.Key, ProcessPrefix); is && addr != t.self.Addr {
		p := Process{Addr: addr}
		if i.Deleted() || json.Unmarshal(i.Value, &p) != nil {
			delete(t.peers, addr)
		} else {
			t.peers[addr] = p
		}
	}
	if t.OnUpdate != nil {
		t.OnUpdate(i)
	}
	return true
}

// Seeds tells whom to ask while nobody is known.
func (t *Gossiper) SetSeeds(addrs []string) { t.seeds = addrs }

// Peers are the other processes, of a kind or of any, by address.
func (t *Gossiper) Peers(kind string) []Process {
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
func (t *Gossiper) Reachable(now int64, addr string) bool { return now >= t.backoffs[addr].until }

// Found counts the differences that comparing has found.
func (t *Gossiper) DifferencesFound() int { return t.differencesFound }

// sum is one figure for all that is held; never 0.
func (t *Gossiper) checksum() uint64 {
	s := uint64(0)
	for _, x := range t.Store.Digest() {
		s = s*0x9E3779B97F4A7C15 + x
	}
	return s | 1
}

// Got answers another process.
func (t *Gossiper) HandleRequest(now int64, p ExchangeRequest) ExchangeResponse {
	delete(t.backoffs, p.From)
	for _, i := range p.Entries {
		t.Put(now, i, false)
	}
	ans := ExchangeResponse{Want: t.Store.Missing(p.Versions), Entries: t.Store.GetAll(p.Want)}
	if p.Checksum != 0 && p.Digest == nil {
		ans.Differs = p.Checksum != t.checksum()
	}
	if p.Digest != nil {
		ans.Versions, ans.Buckets = t.Store.VersionsWhereDifferent(*p.Digest)
	}
	return ans
}

func (t *Gossiper) startCall(k callState, p ExchangeRequest) {
	if len(t.inFlight) >= t.cfg.MaxCallsInFlight {
		return // what is not said now is found by the next comparison
	}
	t.lastID++
	p.From = t.self.Addr
	t.inFlight[t.lastID] = k
	t.outbox = append(t.outbox, OutboundCall{ID: t.lastID, To: k.to, Request: p})
}

// Take returns the calls that are to be made since it was last asked.
func (t *Gossiper) TakeCalls() []OutboundCall {
	out := t.outbox
	t.outbox = nil
	return out
}

// Done says how a call ended.
func (t *Gossiper) HandleResponse(now int64, id uint64, ans ExchangeResponse, ok bool) {
	k, known := t.inFlight[id]
	if !known {
		return
	}
	delete(t.inFlight, id)
	if !ok {
		r := t.backoffs[k.to]
		r.failures++
		r.until = now + min(r.failures*t.cfg.PeerBackoff, t.cfg.PeerBackoffMax)
		t.backoffs[k.to] = r
		if k.purpose == pushUpdate && len(k.alternates) > 0 {
			k.to, k.alternates = k.alternates[0], k.alternates[1:]
			t.startCall(k, ExchangeRequest{Entries: k.update.Inline, Versions: k.update.Advertised})
		}
		return
	}
	delete(t.backoffs, k.to)
	for _, i := range ans.Entries {
		t.Put(now, i, false)
	}
	switch k.purpose {
	case pushUpdate:
		if len(ans.Want) > 0 {
			t.startCall(callState{purpose: pushWanted, to: k.to}, ExchangeRequest{Entries: t.Store.GetAll(ans.Want)})
		}
	case compareChecksum:
		if ans.Differs {
			t.differencesFound++
			t.CompareDigests(k.to)
		}
	case compareDigest:
		if len(ans.Buckets) == 0 {
			return
		}
		if newer, want := t.Store.Diff(ans.Versions, ans.Buckets); len(newer)+len(want) > 0 {
			t.startCall(callState{purpose: exchangeEntries, to: k.to}, ExchangeRequest{Entries: newer, Want: want})
		}
	}
}

// Compare finds out by one sum whether a peer holds the same, and if not, what either
// lacks.
func (t *Gossiper) CompareChecksums(addr string) {
	t.startCall(callState{purpose: compareChecksum, to: addr}, ExchangeRequest{Checksum: t.checksum()})
}

// Align brings two processes to the same news.
func (t *Gossiper) CompareDigests(addr string) {
	sums := t.Store.Digest()
	t.startCall(callState{purpose: compareDigest, to: addr}, ExchangeRequest{Digest: &sums})
}

// Tick asks the seeds while nobody is known, and passes news on.
func (t *Gossiper) Tick(now int64) {
	if len(t.peers) == 0 && now >= t.nextJoinAt {
		t.nextJoinAt, t.joinInterval = now+t.joinInterval, min(t.joinInterval*3/2, t.cfg.JoinRetryMax)
		for _, addr := range t.seeds {
			if addr != t.self.Addr {
				t.CompareDigests(addr)
			}
		}
	}
	if len(t.peers) > 0 {
		t.joinInterval = t.cfg.JoinRetryMin
	}
	if t.Store.NothingPending() || now < t.nextGossipAt {
		return
	}
	t.nextGossipAt = now + t.cfg.GossipInterval
	t.sendPending(now)
}

// Next is when a Tick has something to do; 0: when something comes in.
func (t *Gossiper) NextTick() int64 {
	switch {
	case len(t.peers) == 0:
		return max(t.nextJoinAt, 1)
	case !t.Store.NothingPending():
		return max(t.nextGossipAt, 1)
	}
	return 0
}

// spread passes hot news on: to some of the own zone, and what began here to one process
// of every other zone, where it is then passed on in turn. Ways between zones are dear.
func (t *Gossiper) sendPending(now int64) {
	sameZone, otherZones := t.Store.TakePending()
	zones := make(map[string][]string)
	for _, p := range t.Peers("") {
		if t.Reachable(now, p.Addr) {
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
			t.push(otherZones, addrs[:min(len(addrs), 3)])
			continue
		}
		for i := range min(t.cfg.Fanout, len(addrs)) {
			t.push(sameZone, addrs[i:i+1])
		}
	}
}

// tell has news given to one of some processes.
func (t *Gossiper) push(m Update, to []string) {
	if !m.Empty() {
		t.startCall(callState{purpose: pushUpdate, to: to[0], alternates: to[1:], update: m}, ExchangeRequest{Entries: m.Inline, Versions: m.Advertised})
	}
}

// Forget drops what has long been gone, and peers' rests that are over.
func (t *Gossiper) Purge(now int64) {
	t.Store.PurgeTombstones(now)
	for addr, r := range t.backoffs {
		if now > r.until+t.cfg.PeerBackoffMax {
			delete(t.backoffs, addr)
		}
	}
}
