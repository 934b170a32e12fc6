package gossip

// This file contains the gossip protocol of one process with the others. It opens no connections:
// TakeCalls returns the calls to make, and HandleResponse receives their results.

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

// The kinds of processes as encoded on the wire. The values are the names that the programs had in
// the first releases. They must not change, because processes of two releases communicate with
// each other.
const (
	KindAgent        = "echo" // the agent beside a proxy
	KindControlPlane = "keel" // a control-plane process
)

// ProcessPrefix is the prefix of the keys of processes. An odd version or an empty value means
// that the process is believed to be dead; a process that is alive refutes this by publishing the
// next even version.
const ProcessPrefix = "p/"

// initialVersion is the version of the entry of a process that has just started. It is even, so
// the process counts as alive (see ProcessPrefix).
const initialVersion = 2

// ExchangeRequest is the message that one process sends to another.
type ExchangeRequest struct {
	From     string         `json:"f"`
	Entries  []Entry        `json:"n,omitempty"`
	Versions []EntryVersion `json:"m,omitempty"` // entries that are too large to be sent without a request
	Checksum uint64         `json:"s,omitempty"` // of the caller's complete store; 0: not sent
	Digest   *Digest        `json:"d,omitempty"` // of the caller's store
	Want     []string       `json:"a,omitempty"` // keys of requested entries
}

// ExchangeResponse is the response to an ExchangeRequest.
type ExchangeResponse struct {
	Differs  bool           `json:"x,omitempty"` // the checksums of the two stores differ
	Want     []string       `json:"w,omitempty"` // keys of requested entries
	Versions []EntryVersion `json:"m,omitempty"` // of the responder's entries in Buckets
	Buckets  []int          `json:"b,omitempty"` // buckets in which the digests differ
	Entries  []Entry        `json:"n,omitempty"` // entries that the request asked for
}

// PassRequest is an ExchangeRequest as it is sent. Releases without AllZones ignore that field.
type PassRequest struct {
	ExchangeRequest
	AllZones bool `json:"z,omitempty"` // the receiver forwards the entries to all zones, as it does with its own
}

// PassResponse is an ExchangeResponse as it is sent. A response of a release without Synced does not have
// that field.
type PassResponse struct {
	ExchangeResponse
	Synced bool `json:"y,omitempty"` // in responses to a checksum or digest: the responder's store is complete
}

// OutboundCall is a call to make. Its result must be passed to HandleResponse exactly once.
type OutboundCall struct {
	ID      uint64
	To      string
	Request ExchangeRequest
}

// Config configures a gossiper. Times are microseconds of the caller's clock.
type Config struct {
	Fanout           int   // number of peers in this zone that each message of entries is sent to
	MaxTransmits     int   // number of messages in which one process forwards an entry
	GossipInterval   int64 // time between two messages of entries
	JoinRetryMin     int64 // initial time between two attempts to reach the seeds
	JoinRetryMax     int64 // maximum time between two attempts to reach the seeds
	RejoinInterval   int64 // time between two selections of lost processes to call
	PeerBackoff      int64 // backoff of a peer that did not answer, per consecutive failure
	PeerBackoffMax   int64 // maximum backoff of a peer
	MaxCallsInFlight int   // further calls are dropped; the next comparison of stores repairs what they would have sent
}

// DefaultConfig is the configuration used in production.
var DefaultConfig = Config{Fanout: 2, MaxTransmits: 2, GossipInterval: 100_000, JoinRetryMin: 60_000, JoinRetryMax: 2_000_000, RejoinInterval: 500_000, PeerBackoff: 1_000_000, PeerBackoffMax: 8_000_000,
	MaxCallsInFlight: 64}

// peerBackoff is the backoff of a peer that did not answer.
type peerBackoff struct {
	failures int64 // consecutive
	until    int64 // no entries are forwarded to the peer before this time
}

// callPurpose is the purpose of a call.
type callPurpose int

const (
	pushUpdate      callPurpose = iota // sends new entries to one process, or to the next alternate if the call fails
	pushWanted                         // sends entries that the peer requested
	compareChecksum                    // compares one checksum of each store
	compareDigest                      // compares digests by bucket
	exchangeEntries                    // sends the entries that the peer lacks and requests those that this process lacks
)

// callState is a call in flight.
type callState struct {
	purpose    callPurpose
	to         string
	alternates []string // for pushUpdate: addresses to try next if the call fails
	update     Update   // for pushUpdate
	pull       bool     // for compareDigest and exchangeEntries: part of a pull (pullAll)
	peerSynced bool     // for exchangeEntries: the peer's store was complete
}

// Gossiper runs the gossip protocol of one process. It is not safe for concurrent use.
type Gossiper struct {
	Store    *Store
	OnUpdate func(Entry) // called after each entry that was stored; may be nil

	cfg      Config
	self     Process
	rng      *rand.Rand
	seeds    []string
	peers    map[string]Process
	backoffs map[string]peerBackoff
	inFlight map[uint64]callState
	lost     lostPeers
	sync     syncState
	leaving  bool // AnnounceLeave was called: the process does not refute its own tombstone
	lastID   uint64
	outbox   []OutboundCall

	nextJoinAt, joinInterval, nextGossipAt, nextRejoinAt int64
	differencesFound                                     int // by comparisons of stores
}

// New returns the gossiper of a process that knows only itself and the seeds.
func New(now int64, cfg Config, self Process, seeds []string, rng *rand.Rand) *Gossiper {
	gossiper := &Gossiper{Store: NewStore(), cfg: cfg, self: self, rng: rng, seeds: seeds, peers: make(map[string]Process),
		backoffs: make(map[string]peerBackoff), inFlight: make(map[uint64]callState), lost: newLostPeers(), sync: newSyncState(now), joinInterval: cfg.JoinRetryMin}
	gossiper.Put(now, gossiper.selfEntry(initialVersion), true)
	return gossiper
}

// selfEntry returns the entry that describes this process.
func (g *Gossiper) selfEntry(version uint64) Entry {
	value, err := json.Marshal(g.self)
	if err != nil {
		panic(err) // unreachable: a struct of strings can always be encoded
	}
	return Entry{Key: ProcessPrefix + g.self.Addr, Version: version, Value: value}
}

// AnnounceLeave publishes that this process shuts down.
func (g *Gossiper) AnnounceLeave(now int64) {
	g.leaving = true
	g.MarkDead(now, g.self.Addr)
}

// MarkDead publishes that a process is dead. A process that is alive refutes it.
func (g *Gossiper) MarkDead(now int64, addr string) {
	key := ProcessPrefix + addr
	if stored, known := g.Store.Get(key); known && !stored.Deleted() {
		g.apply(now, Entry{Key: key, Version: stored.Version | 1}, true)
	}
}

// Put stores an entry of this process or of another one, queues it for forwarding, and reports
// whether it was newer than the stored one. A tombstone of this process is refuted, unless
// AnnounceLeave was called.
func (g *Gossiper) Put(now int64, entry Entry, allZones bool) bool {
	if entry.Key == ProcessPrefix+g.self.Addr && entry.Deleted() && !g.leaving { // this process is alive
		entry = g.selfEntry((entry.Version/2 + 1) * 2)
		allZones = true
	}
	return g.apply(now, entry, allZones)
}

// apply stores an entry and updates the peers and the lost peers.
func (g *Gossiper) apply(now int64, entry Entry, allZones bool) bool {
	if !g.Store.Put(now, entry, g.cfg.MaxTransmits, allZones) {
		return false
	}
	if addr, isProcess := strings.CutPrefix(entry.Key, ProcessPrefix); isProcess && addr != g.self.Addr {
		process := Process{Addr: addr}
		if entry.Deleted() || json.Unmarshal(entry.Value, &process) != nil {
			delete(g.peers, addr)
			g.lost.add(now, addr)
		} else {
			g.peers[addr] = process
			g.lost.remove(addr)
			delete(g.backoffs, addr) // another process has received an answer from it
		}
	}
	if g.OnUpdate != nil {
		g.OnUpdate(entry)
	}
	return true
}

// SetSeeds sets the addresses to call while no other process is known.
func (g *Gossiper) SetSeeds(addrs []string) { g.seeds = addrs }

// Peers returns the other processes that are believed to be alive, ordered by address. An empty
// kind selects all kinds.
func (g *Gossiper) Peers(kind string) []Process {
	peers := make([]Process, 0, len(g.peers))
	for _, peer := range g.peers {
		if kind == "" || peer.Kind == kind {
			peers = append(peers, peer)
		}
	}
	slices.SortFunc(peers, func(a, b Process) int { return strings.Compare(a.Addr, b.Addr) })
	return peers
}

// Reachable reports whether a peer is not in backoff: it answered the last call, or its backoff is
// over.
func (g *Gossiper) Reachable(now int64, addr string) bool { return now >= g.backoffs[addr].until }

// DifferencesFound returns the number of checksum comparisons that found a difference.
func (g *Gossiper) DifferencesFound() int { return g.differencesFound }

// checksum summarizes the store; it is never 0.
func (g *Gossiper) checksum() uint64 {
	sum := uint64(0)
	for _, bucketHash := range g.Store.Digest() {
		sum = sum*0x9E3779B97F4A7C15 + bucketHash
	}
	return sum | 1
}

// HandleRequest processes the request of another process and returns the response.
func (g *Gossiper) HandleRequest(now int64, request PassRequest) PassResponse {
	delete(g.backoffs, request.From)
	for _, entry := range request.Entries {
		g.Put(now, entry, request.AllZones)
	}
	response := PassResponse{Synced: (request.Checksum != 0 || request.Digest != nil) && g.IsSynced(now)}
	response.ExchangeResponse = ExchangeResponse{Want: g.Store.Missing(request.Versions), Entries: g.Store.GetAll(request.Want)}
	if request.Checksum != 0 && request.Digest == nil {
		response.Differs = request.Checksum != g.checksum()
	}
	if request.Digest != nil {
		response.Versions, response.Buckets = g.Store.VersionsWhereDifferent(*request.Digest)
	}
	return response
}

// startCall queues a call, unless the maximum number of calls is in flight.
func (g *Gossiper) startCall(call callState, request ExchangeRequest) {
	if len(g.inFlight) >= g.cfg.MaxCallsInFlight {
		return // the next comparison of stores finds what is not sent now
	}
	g.lastID++
	request.From = g.self.Addr
	g.inFlight[g.lastID] = call
	g.outbox = append(g.outbox, OutboundCall{ID: g.lastID, To: call.to, Request: request})
}

// TakeCalls returns and removes the queued calls, which the caller must make.
func (g *Gossiper) TakeCalls() []OutboundCall {
	calls := g.outbox
	g.outbox = nil
	return calls
}

// HandleResponse processes the result of a call; ok is false if the call failed.
func (g *Gossiper) HandleResponse(now int64, id uint64, response PassResponse, ok bool) {
	call, known := g.inFlight[id]
	if !known {
		return
	}
	delete(g.inFlight, id)
	if !ok {
		backoff := g.backoffs[call.to]
		backoff.failures++
		backoff.until = now + min(backoff.failures*g.cfg.PeerBackoff, g.cfg.PeerBackoffMax)
		g.backoffs[call.to] = backoff
		if call.purpose == pushUpdate && len(call.alternates) > 0 {
			call.to, call.alternates = call.alternates[0], call.alternates[1:]
			g.startCall(call, ExchangeRequest{Entries: call.update.Inline, Versions: call.update.Advertised})
		}
		return
	}
	delete(g.backoffs, call.to)
	for _, entry := range response.Entries {
		g.Put(now, entry, false)
	}
	switch call.purpose {
	case pushUpdate:
		if len(response.Want) > 0 {
			g.startCall(callState{purpose: pushWanted, to: call.to}, ExchangeRequest{Entries: g.Store.GetAll(response.Want)})
		}
	case compareChecksum:
		if response.Differs {
			g.differencesFound++
		}
		if response.Synced && !g.IsSynced(now) && !g.pullInFlight() {
			g.pullAll(call.to)
		} else if response.Differs {
			g.CompareDigests(call.to)
		}
	case compareDigest:
		g.exchangeDifferences(call, response)
	case exchangeEntries:
		if call.pull {
			g.sync.finishPull(call.peerSynced)
		}
	}
}

// exchangeDifferences handles the response to a digest: it sends the entries that the peer lacks and
// requests those that this process lacks.
func (g *Gossiper) exchangeDifferences(call callState, response PassResponse) {
	newer, want := g.Store.Diff(response.Versions, response.Buckets)
	switch {
	case len(newer)+len(want) > 0:
		g.startCall(callState{purpose: exchangeEntries, to: call.to, pull: call.pull, peerSynced: response.Synced}, ExchangeRequest{Entries: newer, Want: want})
	case call.pull:
		g.sync.finishPull(response.Synced)
	}
}

// CompareChecksums sends one checksum to a peer to find out whether both store the same entries. If
// they do not, CompareDigests follows.
func (g *Gossiper) CompareChecksums(addr string) {
	g.startCall(callState{purpose: compareChecksum, to: addr}, ExchangeRequest{Checksum: g.checksum()})
}

// CompareDigests sends the digest to a peer; as a result each process receives the entries that
// it lacks.
func (g *Gossiper) CompareDigests(addr string) {
	digest := g.Store.Digest()
	g.startCall(callState{purpose: compareDigest, to: addr}, ExchangeRequest{Digest: &digest})
}

// Tick pulls the entries of other processes after the start and while none is known, occasionally calls
// lost processes, and forwards pending entries.
func (g *Gossiper) Tick(now int64) {
	if g.mustJoin() && now >= g.nextJoinAt {
		g.nextJoinAt, g.joinInterval = now+g.joinInterval, min(g.joinInterval*3/2, g.cfg.JoinRetryMax)
		g.join()
	}
	if !g.mustJoin() {
		g.joinInterval = g.cfg.JoinRetryMin
	}
	g.rejoin(now)
	if g.Store.NothingPending() || now < g.nextGossipAt {
		return
	}
	g.nextGossipAt = now + g.cfg.GossipInterval
	g.sendPending(now)
}

// NextTick returns the time of the next due action of Tick; 0 if nothing is due before the next
// event.
func (g *Gossiper) NextTick() int64 {
	next := int64(0)
	wakeAt := func(at int64) {
		if at = max(at, 1); next == 0 || at < next {
			next = at
		}
	}
	if g.mustJoin() {
		wakeAt(g.nextJoinAt)
	}
	if !g.Store.NothingPending() {
		wakeAt(g.nextGossipAt)
	}
	if g.hasRejoinCandidates() {
		wakeAt(g.nextRejoinAt)
	}
	return next
}

// sendPending forwards pending entries to a few processes of this zone. Entries that originate in
// this process are also sent to one process of every other zone, which forwards them within its
// zone: traffic between zones is expensive.
func (g *Gossiper) sendPending(now int64) {
	sameZone, otherZones := g.Store.TakePending()
	addrsByZone := make(map[string][]string)
	for _, peer := range g.Peers("") {
		if g.Reachable(now, peer.Addr) {
			addrsByZone[peer.Zone] = append(addrsByZone[peer.Zone], peer.Addr)
		}
	}
	zones := make([]string, 0, len(addrsByZone))
	for zone, addrs := range addrsByZone {
		zones = append(zones, zone)
		slices.Sort(addrs)
	}
	slices.Sort(zones)
	for _, zone := range zones {
		addrs := addrsByZone[zone]
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

// push sends an update to the first of the targets that answers.
func (g *Gossiper) push(update Update, targets []string) {
	if !update.Empty() {
		g.startCall(callState{purpose: pushUpdate, to: targets[0], alternates: targets[1:], update: update}, ExchangeRequest{Entries: update.Inline, Versions: update.Advertised})
	}
}

// Purge removes old tombstones, expired backoffs, and processes that were lost long ago.
func (g *Gossiper) Purge(now int64) {
	g.Store.PurgeTombstones(now)
	g.lost.expire(now)
	for addr, backoff := range g.backoffs {
		if now > backoff.until+g.cfg.PeerBackoffMax {
			delete(g.backoffs, addr)
		}
	}
}
