// Package consensus owns the small agreed view of the core: who its members are, in which
// order, and which of them form the chain, under an epoch. The members of one view agree
// on the next, one at a time, by ballots of which more than half must promise and accept
// (Paxos, one instance an epoch). It owns who may vote: a disk that was lost comes back as
// another member, which votes only once a view has it, so nothing that was promised can be
// forgotten into a second majority. It must never decide what a configuration says, or
// have two views of one epoch.
//
// Each view change carries the entry of the highest rank that most members held when they
// promised it; whoever is in the view holds it. As a chain is more than half of its
// members, that is at least all that was ever acknowledged.
package consensus

import (
	"cmp"
	"fmt"
	"slices"

	"saddleport/internal/cluster/chain"
)

// The messages of the agreement, beside those of the chain.
const (
	Beat     chain.Kind = "beat"     // to all members: I live, in this epoch, holding this rank
	Join     chain.Kind = "join"     // from one that is no member: take me in
	Prepare  chain.Kind = "prepare"  // to all members
	Promise  chain.Kind = "promise"  // the answer; it seals the member's view
	Accept   chain.Kind = "accept"   // to all members
	Accepted chain.Kind = "accepted" // the answer
	Nack     chain.Kind = "nack"     // another ballot was promised
	Decide   chain.Kind = "decide"   // this view was agreed on
	Accuse   chain.Kind = "accuse"   // to all members: that one does not move on
)

// Config tunes the agreement; times are microseconds of the caller's clock.
type Config struct {
	Beat    int64 // between beats
	Live    int64 // without a word for longer, a member is not live
	Gone    int64 // without a word for so long, it goes when there are more members than wanted
	Lost    int64 // the same, whatever is wanted
	Unfit   int64 // so long a member that was accused stays out of the chain
	Settle  int64 // so long a member is live before it comes into the chain
	Turn    int64 // between the turns of the members to propose
	Ballot  int64 // a ballot that is not over by then has failed
	Least   int   // members, at which none is let go
	Most    int   // members
	Flapped int64 // for so long after a view change nothing but a loss changes it
}

// State is what a member must find on its disk again.
type State struct {
	Self     chain.Member    `json:"self"`
	View     chain.View      `json:"view"`
	Promised chain.Ballot    `json:"promised"` // for the next epoch
	Accepted *chain.Proposal `json:"accepted,omitempty"`
}

// Holder is the chain's part in an agreement.
type Holder interface {
	Held() chain.Entry
	Keep(chain.Entry)
	Adopt(now int64, v chain.View)
	Seal()
}

type ballot struct {
	ballot   chain.Ballot
	at       int64
	promises map[chain.Member]promise
	joined   map[chain.Member]bool // joiners that answered in this ballot
	value    *chain.View           // in the second phase
	accepts  map[chain.Member]bool
}

type promise struct {
	rank     uint64
	accepted *chain.Proposal
}

type heard struct {
	at    int64 // the last word
	since int64 // since when it is live
	epoch uint64
	rank  uint64
}

// Machine is the agreement as one process sees it.
type Machine struct {
	State
	cfg    Config
	breaks chain.Breaks
	holder Holder
	dirty  bool

	started  int64
	heard    map[chain.Member]heard
	joiners  map[chain.Member]int64
	unfit    map[chain.Member]int64                  // accused, until when
	accusers map[chain.Member]map[chain.Member]int64 // by who is accused
	changed  int64                                   // when the view was adopted
	sealedAt int64
	need     int64 // since when the view is to be changed; 0: it is not
	yields   int64 // until then another's ballot is given its time
	mine     *ballot
	highest  uint64 // ballot number seen
	beatAt   int64
	seeds    []string // addresses to ask to be taken in
	out      []chain.Message
}

// Genesis is the view that all processes take for the first one, at the system's first
// start: the machines that its settings name as seeds, each with its first disk.
func Genesis(addrs []string) chain.View {
	sorted := slices.Clone(addrs)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	v := chain.View{Epoch: 1, Size: len(sorted)}
	for _, a := range sorted {
		v.Members = append(v.Members, chain.Member{Addr: a, Disk: FirstDisk})
	}
	v.Chain = slices.Clone(v.Members)
	return v
}

// FirstDisk names the disks of the machines of the first view.
const FirstDisk = "0"

// New returns the agreement of a process whose disk holds a state; seeds are where one
// that is no member asks to be taken in.
func New(now int64, cfg Config, s State, seeds []string, holder Holder, breaks chain.Breaks) *Machine {
	m := &Machine{State: s, cfg: cfg, holder: holder, breaks: breaks, started: now, seeds: seeds, changed: now,
		heard: make(map[chain.Member]heard), joiners: make(map[chain.Member]int64),
		unfit: make(map[chain.Member]int64), accusers: make(map[chain.Member]map[chain.Member]int64)}
	m.highest = s.Promised.N
	if s.View.Epoch > 0 {
		holder.Adopt(now, s.View)
		if s.Promised != (chain.Ballot{}) {
			m.seal(now)
		}
	}
	return m
}

// Dirty tells whether the state has changed since it was last asked.
func (m *Machine) Dirty() bool {
	d := m.dirty
	m.dirty = false
	return d
}

// Take returns what is to be sent, once the state is on the disk.
func (m *Machine) Take() []chain.Message {
	out := m.out
	m.out = nil
	return out
}

// Member tells whether this process is in the view it knows.
func (m *Machine) Member() bool { return m.View.Has(m.Self) }

func (m *Machine) seal(now int64) {
	m.holder.Seal()
	m.sealedAt = now
}

func (m *Machine) send(to chain.Member, msg chain.Message) {
	msg.From, msg.To = m.Self, to
	if to == m.Self {
		return
	}
	m.out = append(m.out, msg)
}

// all sends to all members but this one.
func (m *Machine) all(msg chain.Message) {
	for _, to := range m.View.Members {
		m.send(to, msg)
	}
}

// Live tells whether a member was heard of lately; this process always is, and at the start
// all members are given the time to be heard.
func (m *Machine) Live(now int64, x chain.Member) bool { return m.silent(now, x) < m.cfg.Live }

// Rank is what a member last said that it holds, and whether it lives.
func (m *Machine) Rank(now int64, x chain.Member) (rank uint64, live bool) {
	return m.heard[x].rank, m.heard[x].at != 0 && m.Live(now, x)
}

// silent is how long nothing was heard of a member, at most since the start.
func (m *Machine) silent(now int64, x chain.Member) int64 {
	if x == m.Self {
		return 0
	}
	return now - max(m.heard[x].at, m.started)
}

func (m *Machine) fit(now int64, x chain.Member) bool {
	return m.Live(now, x) && now >= m.unfit[x]
}

// Stranger answers a message that was meant for a disk that this machine no longer has.
func (m *Machine) Stranger(from chain.Member) { m.send(from, m.join()) }

func (m *Machine) join() chain.Message {
	return chain.Message{Kind: Join, Epoch: m.View.Epoch, Rank: m.holder.Held().Rank, Pact: &chain.Pact{Member: m.Self}}
}

// Hear takes a message of the chain as a sign of life, and as one of who is behind.
func (m *Machine) Hear(now int64, msg chain.Message) {
	m.hear(now, msg)
	switch {
	case msg.Epoch == 0 || m.View.Epoch == 0:
	case msg.Epoch < m.View.Epoch:
		m.tell(msg.From, 0)
	case msg.Epoch > m.View.Epoch:
		m.send(msg.From, chain.Message{Kind: Beat, Epoch: m.View.Epoch, Rank: m.holder.Held().Rank})
	}
}

func (m *Machine) hear(now int64, msg chain.Message) {
	h := m.heard[msg.From]
	if h.at == 0 || now-h.at >= m.cfg.Live {
		h.since = now
	}
	h.at = max(now, 1)
	if msg.Kind == Beat || msg.Kind == Join {
		h.epoch, h.rank = msg.Epoch, msg.Rank
	}
	if !m.View.Has(msg.From) && len(m.heard) >= 4*m.cfg.Most {
		return // a stranger too many
	}
	m.heard[msg.From] = h
}

// Got takes a message.
func (m *Machine) Got(now int64, msg chain.Message) {
	if msg.From == m.Self {
		return
	}
	m.hear(now, msg)
	switch msg.Kind {
	case Beat, Join:
		if msg.Kind == Join && msg.Pact != nil {
			if len(m.joiners) < m.cfg.Most || m.joiners[msg.From] != 0 {
				m.joiners[msg.From] = max(now, 1)
			}
		}
		if m.View.Epoch > 0 && msg.Epoch < m.View.Epoch {
			m.tell(msg.From, msg.Rank)
		}
	case Decide:
		m.decided(now, msg)
	case Accuse:
		if msg.Pact != nil && m.View.Has(msg.From) && m.View.Has(msg.Pact.Member) {
			m.accuse(now, msg.From, msg.Pact.Member)
		}
	case Prepare, Accept:
		m.vote(now, msg)
	case Promise, Accepted, Nack:
		m.counted(now, msg)
	}
}

// tell hands the view on to one that is behind, with the entry that goes with it where
// that may be lacking.
func (m *Machine) tell(to chain.Member, rank uint64) {
	view := m.View
	msg := chain.Message{Kind: Decide, Epoch: view.Epoch, Pact: &chain.Pact{View: &view}}
	if held := m.holder.Held(); rank < view.Base {
		msg.Entry = &held
	}
	m.send(to, msg)
}

func (m *Machine) decided(now int64, msg chain.Message) {
	if msg.Pact == nil || msg.Pact.View == nil || msg.Pact.View.Epoch <= m.View.Epoch {
		return
	}
	if msg.Entry != nil {
		m.holder.Keep(*msg.Entry)
	}
	if m.holder.Held().Rank < msg.Pact.View.Base {
		return // the entry will come once the other side knows that it is lacking
	}
	m.adopt(now, *msg.Pact.View)
}

// adopt puts a view in force here.
func (m *Machine) adopt(now int64, v chain.View) {
	if err := v.Check(); err != nil && !m.breaks.ShortChain {
		panic("invariant: " + err.Error())
	}
	m.View, m.Promised, m.Accepted, m.dirty = v, chain.Ballot{}, nil, true
	m.mine, m.need, m.changed, m.sealedAt, m.yields = nil, 0, now, 0, 0
	clear(m.accusers)
	for j := range m.joiners {
		if v.Has(j) {
			delete(m.joiners, j)
		}
	}
	m.holder.Adopt(now, v)
}

// vote answers a proposer.
func (m *Machine) vote(now int64, msg chain.Message) {
	switch {
	case msg.Pact == nil:
		return
	case msg.Kind == Prepare && msg.Pact.Member == m.Self: // asked as one that wants to be taken in
		m.send(msg.From, chain.Message{Kind: Promise, Epoch: msg.Epoch, Pact: &chain.Pact{Ballot: msg.Pact.Ballot, Member: m.Self}})
		return
	case m.View.Epoch == 0:
		return
	case msg.Epoch <= m.View.Epoch: // it is behind
		m.tell(msg.From, msg.Rank)
		return
	case msg.Epoch > m.View.Epoch+1: // we are: a beat brings what is lacking
		m.send(msg.From, chain.Message{Kind: Beat, Epoch: m.View.Epoch, Rank: m.holder.Held().Rank})
		return
	case !m.Member():
		return
	}
	b := msg.Pact.Ballot
	m.highest = max(m.highest, b.N)
	if b.Less(m.Promised) {
		m.send(msg.From, chain.Message{Kind: Nack, Epoch: msg.Epoch, Pact: &chain.Pact{Ballot: m.Promised}})
		return
	}
	if b != m.Promised {
		m.Promised, m.dirty = b, true
	}
	m.seal(now)
	m.yield(now)
	if msg.Kind == Prepare {
		m.send(msg.From, m.promise(msg.Epoch, b, msg.Rank))
		return
	}
	if msg.Pact.View == nil {
		return
	}
	if msg.Entry != nil {
		m.holder.Keep(*msg.Entry)
	}
	if m.holder.Held().Rank < msg.Pact.View.Base {
		m.send(msg.From, m.promise(msg.Epoch, b, msg.Rank)) // it lacks the entry
		return
	}
	m.Accepted, m.dirty = &chain.Proposal{Ballot: b, View: *msg.Pact.View}, true
	m.send(msg.From, chain.Message{Kind: Accepted, Epoch: msg.Epoch, Pact: &chain.Pact{Ballot: b}})
}

// yield gives another proposer the time of a ballot, and members one after another a
// little more: two that outbid one another at once would never end.
func (m *Machine) yield(now int64) {
	place := max(slices.Index(m.View.Members, m.Self), 0)
	m.yields = now + m.cfg.Ballot + int64(place)*m.cfg.Ballot/4
}

// promise is the answer to a proposer that holds a rank.
func (m *Machine) promise(epoch uint64, b chain.Ballot, rank uint64) chain.Message {
	held := m.holder.Held()
	msg := chain.Message{Kind: Promise, Epoch: epoch, Rank: held.Rank, Pact: &chain.Pact{Ballot: b, Accepted: m.Accepted}}
	if held.Rank > rank {
		msg.Entry = &held
	}
	return msg
}

// counted takes the answer to a ballot of this process.
func (m *Machine) counted(now int64, msg chain.Message) {
	p := m.mine
	if msg.Pact == nil || msg.Epoch != m.View.Epoch+1 {
		return
	}
	if !m.View.Has(msg.From) {
		if p != nil && msg.Kind == Promise && msg.Pact.Member == msg.From && msg.Pact.Ballot == p.ballot {
			p.joined[msg.From] = true
			m.promised(now)
		}
		return
	}
	if msg.Kind == Nack {
		m.highest = max(m.highest, msg.Pact.Ballot.N)
		if p != nil && p.ballot.Less(msg.Pact.Ballot) {
			m.mine = nil
			m.yield(now)
		}
		return
	}
	if p == nil || p.ballot != msg.Pact.Ballot {
		return
	}
	if msg.Kind == Promise {
		if msg.Entry != nil {
			m.holder.Keep(*msg.Entry)
		}
		if p.value != nil { // it lacks the entry of what it is to accept
			m.accept(msg.From, msg.Rank)
			return
		}
		p.promises[msg.From] = promise{msg.Rank, msg.Pact.Accepted}
		m.promised(now)
		return
	}
	if p.value != nil {
		p.accepts[msg.From] = true
		m.agreed(now)
	}
}

// promised goes on to the second phase once most have promised.
func (m *Machine) promised(now int64) {
	p := m.mine
	if p == nil || p.value != nil || len(p.promises) < m.View.Most() {
		return
	}
	var best *chain.Proposal
	for _, x := range p.promises {
		if x.accepted != nil && !m.breaks.Forget && (best == nil || best.Ballot.Less(x.accepted.Ballot)) {
			best = x.accepted
		}
	}
	if best != nil { // it may have been agreed on already
		v := best.View
		p.value = &v
	} else {
		v := m.wanted(now, true)
		for _, x := range v.Members { // one that is dead must not count from its first moment on
			if !m.View.Has(x) && !p.joined[x] && now-p.at < m.cfg.Ballot/2 {
				return
			}
		}
		v.Epoch, v.Base = m.View.Epoch+1, m.holder.Held().Rank
		if err := v.Check(); err != nil && !m.breaks.ShortChain {
			m.mine = nil // too few are fit just now
			return
		}
		p.value = &v
	}
	m.Accepted, m.dirty = &chain.Proposal{Ballot: p.ballot, View: *p.value}, true
	p.accepts[m.Self] = true
	for _, to := range m.View.Members {
		if x, ok := p.promises[to]; ok {
			m.accept(to, x.rank)
		} else {
			m.accept(to, m.heard[to].rank)
		}
	}
	m.agreed(now)
}

func (m *Machine) accept(to chain.Member, rank uint64) {
	v := *m.mine.value
	held := m.holder.Held()
	msg := chain.Message{Kind: Accept, Epoch: v.Epoch, Rank: held.Rank, Pact: &chain.Pact{Ballot: m.mine.ballot, View: &v}}
	if rank < v.Base {
		msg.Entry = &held
	}
	m.send(to, msg)
}

// agreed puts the view in force once most have accepted it.
func (m *Machine) agreed(now int64) {
	p := m.mine
	if len(p.accepts) < m.View.Most() {
		return
	}
	was, v := m.View, *p.value
	ranks := p.promises
	m.adopt(now, v)
	for _, to := range was.Members {
		rank := m.heard[to].rank
		if x, ok := ranks[to]; ok {
			rank = x.rank
		}
		if p.accepts[to] {
			rank = max(rank, v.Base)
		}
		m.tell(to, rank)
	}
	for _, to := range v.Members {
		if !was.Has(to) {
			m.tell(to, m.heard[to].rank)
		}
	}
}

// Accuse has all members know that one does not move on.
func (m *Machine) Accuse(now int64, x chain.Member) {
	if x == m.Self || !m.View.Has(x) {
		return
	}
	m.accuse(now, m.Self, x)
	m.all(chain.Message{Kind: Accuse, Epoch: m.View.Epoch, Pact: &chain.Pact{Member: x}})
}

func (m *Machine) accuse(now int64, by, x chain.Member) {
	if m.accusers[x] == nil {
		m.accusers[x] = make(map[chain.Member]int64)
	}
	m.accusers[x][by] = now
}

// judge has members that are accused stay out of the chain for a while, but for one that is
// only held up: it accuses another itself, of which no fewer complain.
func (m *Machine) judge(now int64) {
	for x, by := range m.accusers {
		for other, at := range by {
			if now-at >= m.cfg.Live || !m.View.Has(other) {
				delete(by, other)
			}
		}
		if len(by) == 0 {
			delete(m.accusers, x)
		}
	}
	for x, against := range m.accusers {
		held := false
		for other, by := range m.accusers {
			if _, accuses := by[x]; accuses && other != x && len(by) >= len(against) {
				held = true
			}
		}
		if held { // also where it was judged before the other was complained of
			delete(m.unfit, x)
		} else {
			m.unfit[x] = now + m.cfg.Unfit
		}
	}
	for x, until := range m.unfit {
		if now >= until {
			delete(m.unfit, x)
		}
	}
}

// wanted is the view as it should be, made of the one in force: one member more or less
// at most. In a hurry nothing waits for members that have only just come back.
func (m *Machine) wanted(now int64, hurry bool) chain.View {
	v := m.View
	members := slices.Clone(v.Members)
	size := v.Size
	changed := false
	joiners := make([]chain.Member, 0, len(m.joiners))
	for j, at := range m.joiners {
		if now-at < m.cfg.Live && !v.Has(j) {
			joiners = append(joiners, j)
		}
	}
	slices.SortFunc(joiners, compare)
	for i, x := range members { // a machine whose disk was lost has come back as another member
		again := func(o chain.Member) bool { return o != x && o.Addr == x.Addr && m.Live(now, o) }
		if !m.Live(now, x) && slices.ContainsFunc(members, again) {
			members, changed = slices.Delete(members, i, i+1), true
			size = min(size, len(members))
			break
		}
	}
	if hurry && m.mine != nil && now-m.mine.at >= m.cfg.Ballot/2 {
		joiners = slices.DeleteFunc(joiners, func(j chain.Member) bool { return !m.mine.joined[j] })
	}
	if !changed && len(joiners) > 0 && len(members) < m.cfg.Most {
		j := joiners[0]
		missing := func(x chain.Member) bool { return !m.Live(now, x) || x.Addr == j.Addr }
		if members, changed = append(members, j), true; !slices.ContainsFunc(v.Members, missing) {
			size = len(members) // nobody is missing: there are more machines now
		}
	}
	if !changed && len(members) > m.cfg.Least {
		for i := len(members) - 1; i >= 0; i-- {
			quiet := m.silent(now, members[i])
			if quiet >= m.cfg.Lost || quiet >= m.cfg.Gone && len(members) > size {
				members = slices.Delete(members, i, i+1)
				size = min(size, max(len(members), m.cfg.Least))
				break
			}
		}
	}
	next := chain.View{Epoch: v.Epoch, Members: members, Size: size, Base: v.Base}
	for _, x := range members {
		was := slices.Contains(v.Chain, x)
		settled := was || hurry || x == m.Self || now-m.heard[x].since >= m.cfg.Settle && m.heard[x].epoch == v.Epoch
		if m.fit(now, x) && settled {
			next.Chain = append(next.Chain, x)
		}
	}
	if len(next.Chain) < next.Most() && !m.breaks.ShortChain {
		// Too few are fit: of the rest, those that are at least live are better than nobody.
		next.Chain = nil
		for _, x := range members {
			if m.Live(now, x) {
				next.Chain = append(next.Chain, x)
			}
		}
	}
	return next
}

func compare(a, b chain.Member) int {
	return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Disk, b.Disk))
}

// due tells whether the view should change, and whether a loss is why.
func (m *Machine) due(now int64) (due, loss bool) {
	if !m.Member() {
		return false, false
	}
	w := m.wanted(now, false)
	for _, x := range m.View.Chain {
		if !slices.Contains(w.Chain, x) {
			loss = true
		}
	}
	if m.sealedAt != 0 && now-m.sealedAt >= m.cfg.Ballot {
		loss = true // a proposer has left us sealed
	}
	same := slices.Equal(w.Members, m.View.Members) && slices.Equal(w.Chain, m.View.Chain)
	possible := w.Check() == nil || m.breaks.ShortChain
	return possible && (loss || !same && now-m.changed >= m.cfg.Flapped), loss
}

// turn is how many live members come before this one, in the order agreed on.
func (m *Machine) turn(now int64) int64 {
	n := int64(0)
	for _, x := range m.View.Members {
		if x == m.Self {
			return n
		}
		if m.fit(now, x) {
			n++
		}
	}
	return n
}

// Tick beats, asks to be taken in, and proposes when it is this member's turn.
func (m *Machine) Tick(now int64) {
	m.judge(now)
	for j, at := range m.joiners {
		if now-at >= 4*m.cfg.Live {
			delete(m.joiners, j)
		}
	}
	for x, h := range m.heard {
		if !m.View.Has(x) && now-h.at >= 4*m.cfg.Live {
			delete(m.heard, x)
		}
	}
	if m.beatAt == 0 || now-m.beatAt >= m.cfg.Beat {
		m.beatAt = max(now, 1)
		held := m.holder.Held().Rank
		if m.Member() {
			m.all(chain.Message{Kind: Beat, Epoch: m.View.Epoch, Rank: held})
		} else {
			join := m.join()
			m.all(join)
			for _, addr := range m.seeds {
				if !slices.ContainsFunc(m.View.Members, func(x chain.Member) bool { return x.Addr == addr }) && addr != m.Self.Addr {
					m.send(chain.Member{Addr: addr}, join)
				}
			}
		}
	}
	if m.mine != nil && now-m.mine.at >= m.cfg.Ballot {
		m.mine = nil
	}
	m.promised(now)
	due, _ := m.due(now)
	if !due {
		m.need = 0
		return
	}
	if m.need == 0 {
		m.need = max(now, 1)
	}
	if m.mine == nil && now >= m.yields && now-m.need >= m.turn(now)*m.cfg.Turn {
		m.propose(now)
	}
}

// Seeds tells where else to ask to be taken in.
func (m *Machine) Seeds(addrs []string) { m.seeds = addrs }

func (m *Machine) propose(now int64) {
	m.need = now // if it fails, the next turns come first
	m.highest++
	b := chain.Ballot{N: m.highest, By: m.Self.String()}
	if b.Less(m.Promised) {
		panic(fmt.Sprintf("invariant: ballot %v is below what was promised, %v", b, m.Promised))
	}
	m.Promised, m.dirty = b, true
	m.seal(now)
	m.mine = &ballot{ballot: b, at: now, joined: make(map[chain.Member]bool), promises: map[chain.Member]promise{m.Self: {m.holder.Held().Rank, m.Accepted}},
		accepts: make(map[chain.Member]bool)}
	m.all(chain.Message{Kind: Prepare, Epoch: m.View.Epoch + 1, Rank: m.holder.Held().Rank, Pact: &chain.Pact{Ballot: b}})
	for _, j := range m.wanted(now, true).Members {
		if !m.View.Has(j) {
			m.send(j, chain.Message{Kind: Prepare, Epoch: m.View.Epoch + 1, Pact: &chain.Pact{Ballot: b, Member: j}})
		}
	}
	m.promised(now)
}

// Describe tells how each member stands, for show.
func (m *Machine) Describe(now int64) map[string]string {
	out := make(map[string]string)
	for _, x := range m.View.Members {
		switch {
		case x == m.Self:
			out[x.String()] = "this one"
		case !m.Live(now, x):
			out[x.String()] = fmt.Sprintf("silent for %d ms", m.silent(now, x)/1000)
		case !m.fit(now, x):
			out[x.String()] = "accused"
		default:
			out[x.String()] = fmt.Sprintf("live, epoch %d", m.heard[x].epoch)
		}
	}
	return out
}
