package gossip

// The gossip of one process with the others. It owns no connection: the calls to make come out
// of TakeCalls, and their outcomes come back by HandleResponse.

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
)

// Process describes a process of the system.
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

// ProcessPrefix begins the keys of processes. An odd version, or no value, means that the
// process is thought to be dead; a process that is alive answers with the next even version.
const ProcessPrefix = "p/"

// initialVersion is the version of a process that nothing is known of. An odd version, or no
// value, means that the process is thought to be dead; a process that is alive answers with
// the next even one.
const initialVersion = 2 // of a process that nothing is known of

// ExchangeRequest is what one process sends another.
type ExchangeRequest struct {
	From     string         `json:"f"`
	Entries  []Entry        `json:"n,omitempty"`
	Versions []EntryVersion `json:"m,omitempty"` // of entries that are too large to be sent unasked
	Checksum uint64         `json:"s,omitempty"` // of the caller's whole store; 0: not sent
	Digest   *Digest        `json:"d,omitempty"` // of the caller's store
	Want     []string       `json:"a,omitempty"` // keys
}

// ExchangeResponse answers ExchangeRequest.
type ExchangeResponse struct {
	Differs  bool           `json:"x,omitempty"` // the checksums do
	Want     []string       `json:"w,omitempty"`
	Versions []EntryVersion `json:"m,omitempty"`
	Buckets  []int          `json:"b,omitempty"`
	Entries  []Entry        `json:"n,omitempty"`
}

// OutboundCall is a call to make. Its outcome must come back by HandleResponse, once.
type OutboundCall struct {
	ID      uint64
	To      string
	Request ExchangeRequest
}

// Config tunes a gossiper. Times are microseconds of the caller's clock.
type Config struct {
	Fanout           int   // peers of the own zone that the entries of one message go to
	MaxTransmits     int   // messages that an entry is sent in from one process
	GossipInterval   int64 // between two messages of entries
	JoinRetryMin     int64 // between two attempts to reach the seeds, at first
	JoinRetryMax     int64 // and at most
	RejoinInterval   int64 // between two draws of lost processes to call
	PeerBackoff      int64 // a peer that did not answer is left alone for so long, times its failures
	PeerBackoffMax   int64 // at most
	MaxCallsInFlight int   // further calls are dropped; the next comparison makes up for them
}

// DefaultConfig is the configuration for service.
var DefaultConfig = Config{Fanout: 2, MaxTransmits: 2, GossipInterval: 100_000, JoinRetryMin: 60_000, JoinRetryMax: 2_000_000, RejoinInterval: 500_000, PeerBackoff: 1_000_000, PeerBackoffMax: 8_000_000,
	MaxCallsInFlight: 64}

type peerBackoff struct {
	failures int64
	until    int64
}

// callPurpose says what a call is for.
type callPurpose int

const (
	pushUpdate      callPurpose = iota // new entries for one process; the next of the alternates if it fails
	pushWanted                         // entries that were asked for
	compareChecksum                    // one checksum
	compareDigest                      // a digest by bucket
	exchangeEntries                    // what either side lacks
)

type callState struct {
	purpose    callPurpose
	to         string
	alternates []string // of give: who else would do
	update     Update
}

// Gossiper is the gossip of one process. It is not safe for concurrent use.
type Gossiper struct {
	Store    *Store
	OnUpdate func(Entry) // called after an entry was stored; may be nil

	cfg      Config
	self     Process
	rng      *rand.Rand
	seeds    []string
	peers    map[string]Process
	backoffs map[string]peerBackoff
	inFlight map[uint64]callState
	lost     lostPeers
	leaving  bool // its end was announced: it does not refute that
	lastID   uint64
	outbox   []OutboundCall

	nextJoinAt, joinInterval, nextGossipAt, nextRejoinAt int64
	differencesFound                                     int // by comparisons
}

// New returns the gossiper of a process that knows itself and some addresses to ask.
func New(now int64, cfg Config, self Process, seeds []string, rng *rand.Rand) *Gossiper {
	t := &Gossiper{Store: NewStore(), cfg: cfg, self: self, rng: rng, seeds: seeds, peers: make(map[string]Process),
		backoffs: make(map[string]peerBackoff), inFlight: make(map[uint64]callState), lost: newLostPeers(), joinInterval: cfg.JoinRetryMin}
	t.Put(now, t.selfEntry(initialVersion), true)
	return t
}

func (g *Gossiper) selfEntry(version uint64) Entry {
	body, err := json.Marshal(g.self)
	if err != nil {
		panic(err) // a struct of texts always has a form
	}
	return Entry{Key: ProcessPrefix + g.self.Addr, Version: version, Value: body}
}

// AnnounceLeave informs the others that this process ends.
func (g *Gossiper) AnnounceLeave(now int64) {
	g.leaving = true
	g.MarkDead(now, g.self.Addr)
}

// MarkDead announces that a process is gone. One that is alive refutes it.
func (g *Gossiper) MarkDead(now int64, addr string) {
	key := ProcessPrefix + addr
	if stored, known := g.Store.Get(key); known && !stored.Deleted() {
		g.apply(now, Entry{Key: key, Version: stored.Version | 1}, true)
	}
}

// Put stores an entry of this process or of another, to be passed on, and reports whether it
// was newer.
func (g *Gossiper) Put(now int64, i Entry, allZones bool) bool {
	if i.Key == ProcessPrefix+g.self.Addr && i.Deleted() && !g.leaving { // we live
		i = g.selfEntry((i.Version/2 + 1) * 2)
		allZones = true
	}
	return g.apply(now, i, allZones)
}

func (g *Gossiper) apply(now int64, i Entry, allZones bool) bool {
	if !g.Store.Put(now, i, g.cfg.MaxTransmits, allZones) {
		return false
	}
	if addr, is := strings.CutPrefix(i.Key, ProcessPrefix); is && addr != g.self.Addr {
		p := Process{Addr: addr}
		if i.Deleted() || json.Unmarshal(i.Value, &p) != nil {
			delete(g.peers, addr)
			g.lost.add(now, addr)
		} else {
			g.peers[addr] = p
			g.lost.remove(addr)
			delete(g.backoffs, addr) // it has answered someone
		}
	}
	if g.OnUpdate != nil {
		g.OnUpdate(i)
	}
	return true
}

// SetSeeds sets the addresses to ask while no other process is known.
func (g *Gossiper) SetSeeds(addrs []string) { g.seeds = addrs }

// Peers returns the other processes, of one kind or of any, ordered by address.
func (g *Gossiper) Peers(kind string) []Process {
	out := make([]Process, 0, len(g.peers))
	for _, p := range g.peers {
		if kind == "" || p.Kind == kind {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Process) int { return strings.Compare(a.Addr, b.Addr) })
	return out
}

// Reachable reports whether a peer answered its last call, or its backoff is over.
func (g *Gossiper) Reachable(now int64, addr string) bool { return now >= g.backoffs[addr].until }

// DifferencesFound counts the differences that comparisons have found.
func (g *Gossiper) DifferencesFound() int { return g.differencesFound }

// checksum summarizes the store; it is never 0.
func (g *Gossiper) checksum() uint64 {
	s := uint64(0)
	for _, x := range g.Store.Digest() {
		s = s*0x9E3779B97F4A7C15 + x
	}
	return s | 1
}

// HandleRequest answers another process.
func (g *Gossiper) HandleRequest(now int64, p ExchangeRequest) ExchangeResponse {
	delete(g.backoffs, p.From)
	for _, i := range p.Entries {
		g.Put(now, i, false)
	}
	ans := ExchangeResponse{Want: g.Store.Missing(p.Versions), Entries: g.Store.GetAll(p.Want)}
	if p.Checksum != 0 && p.Digest == nil {
		ans.Differs = p.Checksum != g.checksum()
	}
	if p.Digest != nil {
		ans.Versions, ans.Buckets = g.Store.VersionsWhereDifferent(*p.Digest)
	}
	return ans
}

func (g *Gossiper) startCall(k callState, p ExchangeRequest) {
	if len(g.inFlight) >= g.cfg.MaxCallsInFlight {
		return // what is not said now is found by the next comparison
	}
	g.lastID++
	p.From = g.self.Addr
	g.inFlight[g.lastID] = k
	g.outbox = append(g.outbox, OutboundCall{ID: g.lastID, To: k.to, Request: p})
}

// TakeCalls returns the calls to make.
func (g *Gossiper) TakeCalls() []OutboundCall {
	out := g.outbox
	g.outbox = nil
	return out
}

// HandleResponse takes the outcome of a call.
func (g *Gossiper) HandleResponse(now int64, id uint64, ans ExchangeResponse, ok bool) {
	k, known := g.inFlight[id]
	if !known {
		return
	}
	delete(g.inFlight, id)
	if !ok {
		r := g.backoffs[k.to]
		r.failures++
		r.until = now + min(r.failures*g.cfg.PeerBackoff, g.cfg.PeerBackoffMax)
		g.backoffs[k.to] = r
		if k.purpose == pushUpdate && len(k.alternates) > 0 {
			k.to, k.alternates = k.alternates[0], k.alternates[1:]
			g.startCall(k, ExchangeRequest{Entries: k.update.Inline, Versions: k.update.Advertised})
		}
		return
	}
	delete(g.backoffs, k.to)
	for _, i := range ans.Entries {
		g.Put(now, i, false)
	}
	switch k.purpose {
	case pushUpdate:
		if len(ans.Want) > 0 {
			g.startCall(callState{purpose: pushWanted, to: k.to}, ExchangeRequest{Entries: g.Store.GetAll(ans.Want)})
		}
	case compareChecksum:
		if ans.Differs {
			g.differencesFound++
			g.CompareDigests(k.to)
		}
	case compareDigest:
		if len(ans.Buckets) == 0 {
			return
		}
		if newer, want := g.Store.Diff(ans.Versions, ans.Buckets); len(newer)+len(want) > 0 {
			g.startCall(callState{purpose: exchangeEntries, to: k.to}, ExchangeRequest{Entries: newer, Want: want})
		}
	}
}

// CompareChecksums finds out with one checksum whether a peer holds the same entries, and if
// not, which entries either side lacks.
func (g *Gossiper) CompareChecksums(addr string) {
	g.startCall(callState{purpose: compareChecksum, to: addr}, ExchangeRequest{Checksum: g.checksum()})
}

// CompareDigests brings two processes to the same entries.
func (g *Gossiper) CompareDigests(addr string) {
	sums := g.Store.Digest()
	g.startCall(callState{purpose: compareDigest, to: addr}, ExchangeRequest{Digest: &sums})
}

// Tick asks the seeds while no other process is known, calls lost processes now and then, and
// passes entries on.
func (g *Gossiper) Tick(now int64) {
	if len(g.peers) == 0 && now >= g.nextJoinAt {
		g.nextJoinAt, g.joinInterval = now+g.joinInterval, min(g.joinInterval*3/2, g.cfg.JoinRetryMax)
		for _, addr := range g.seeds {
			if addr != g.self.Addr {
				g.CompareDigests(addr)
			}
		}
	}
	if len(g.peers) > 0 {
		g.joinInterval = g.cfg.JoinRetryMin
	}
	g.rejoin(now)
	if g.Store.NothingPending() || now < g.nextGossipAt {
		return
	}
	g.nextGossipAt = now + g.cfg.GossipInterval
	g.sendPending(now)
}

// NextTick returns when Tick has something to do; 0: when something comes in.
func (g *Gossiper) NextTick() int64 {
	next := int64(0)
	due := func(at int64) {
		if at = max(at, 1); next == 0 || at < next {
			next = at
		}
	}
	if len(g.peers) == 0 {
		due(g.nextJoinAt)
	}
	if !g.Store.NothingPending() {
		due(g.nextGossipAt)
	}
	if g.hasRejoinCandidates() {
		due(g.nextRejoinAt)
	}
	return next
}

// sendPending passes pending entries on: to some processes of this zone, and what began here
// to one process of every other zone, where it is passed on in turn. Traffic between zones is
// expensive.
func (g *Gossiper) sendPending(now int64) {
	sameZone, otherZones := g.Store.TakePending()
	zones := make(map[string][]string)
	for _, p := range g.Peers("") {
		if g.Reachable(now, p.Addr) {
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
		g.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		if zone != g.self.Zone {
			g.push(otherZones, addrs[:min(len(addrs), 3)])
			continue
		}
		for i := range min(g.cfg.Fanout, len(addrs)) {
			g.push(sameZone, addrs[i:i+1])
		}
	}
}

// push sends an update to the first of some processes that answers.
func (g *Gossiper) push(m Update, to []string) {
	if !m.Empty() {
		g.startCall(callState{purpose: pushUpdate, to: to[0], alternates: to[1:], update: m}, ExchangeRequest{Entries: m.Inline, Versions: m.Advertised})
	}
}

// Purge removes old tombstones, backoffs that are over, and processes that were lost long ago.
func (g *Gossiper) Purge(now int64) {
	g.Store.PurgeTombstones(now)
	g.lost.expire(now)
	for addr, r := range g.backoffs {
		if now > r.until+g.cfg.PeerBackoffMax {
			delete(g.backoffs, addr)
		}
	}
}
