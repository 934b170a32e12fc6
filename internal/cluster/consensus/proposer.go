package consensus

import (
	"fmt"
	"slices"

	"saddleport/internal/cluster/message"
)

// ballot is one of this process.
type ballot struct {
	ballot   message.Ballot
	at       int64
	held     message.Stamp // by the proposer, as it began
	promises map[message.Member]message.Promise
	joined   map[message.Member]message.Stamp // learners that answered
	value    *message.View                    // in the second phase
	accepts  map[message.Member]bool
}

// proposeIfDue begins a ballot where the view should change and it is this member's turn.
func (m *Machine) proposeIfDue(now int64) {
	if !m.due(now) {
		m.needSince = 0
		return
	}
	if m.needSince == 0 {
		m.needSince = max(now, 1)
	}
	if m.mine == nil && now >= m.yieldUntil && now-m.needSince >= m.turn(now)*m.cfg.Turn {
		m.propose(now)
	}
}

// due tells whether the view should change: at once after a loss, else once it has been in
// force for a while.
func (m *Machine) due(now int64) bool {
	if !m.Member() {
		return false
	}
	wanted := m.wanted(now, false)
	if wanted.Check() != nil && !m.breaks.ShortChain {
		return false // too few are fit just now
	}
	same := slices.Equal(wanted.Members, m.View.Members) && slices.Equal(wanted.Chain, m.View.Chain)
	return m.lost(now, wanted) || !same && now-m.adoptedAt >= m.cfg.Stable
}

// lost tells whether the view in force can't go on as it is.
func (m *Machine) lost(now int64, wanted message.View) bool {
	if m.sealedAt != 0 && now-m.sealedAt >= m.cfg.Ballot {
		return true // a proposer has left us sealed
	}
	for _, x := range m.View.Chain {
		if !slices.Contains(wanted.Chain, x) {
			return true
		}
	}
	return false
}

// turn is how many fit members come before this one, in the order agreed on.
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

func (m *Machine) propose(now int64) {
	m.needSince = now // if it fails, the next turns come first
	m.highest++
	b := message.Ballot{N: m.highest, By: m.Self.String()}
	if b.Less(m.Promised) {
		panic(fmt.Sprintf("invariant: ballot %v is below what was promised, %v", b, m.Promised))
	}
	m.Promised, m.changed = b, true
	m.seal(now)
	held := m.holder.Held().Stamp()
	m.mine = &ballot{ballot: b, at: now, held: held, joined: make(map[message.Member]message.Stamp),
		promises: map[message.Member]message.Promise{m.Self: {Ballot: b, Stamp: held, Accepted: m.Accepted}},
		accepts:  make(map[message.Member]bool)}
	for _, to := range m.View.Members {
		m.send(to, m.View.Epoch+1, message.Prepare{Ballot: b, Stamp: held})
	}
	for _, x := range m.wanted(now, true).Members {
		if !m.View.Has(x) {
			m.prepareLearner(x, b, held)
		}
	}
	m.choose(now)
}

// prepareLearner asks one that is to be taken in whether it is there, and brings it up to
// date.
func (m *Machine) prepareLearner(x message.Member, b message.Ballot, held message.Stamp) {
	entry := m.bring(m.peers.learners[x].stamp, held)
	m.send(x, m.View.Epoch+1, message.Prepare{Ballot: b, Stamp: held, Joiner: &x, Entry: entry})
}

// answers tells whether a message answers the ballot at hand.
func (m *Machine) answers(msg message.Message, b message.Ballot) bool {
	return m.mine != nil && msg.Epoch == m.View.Epoch+1 && m.mine.ballot == b
}

// promised counts the answer to the first phase.
func (m *Machine) promised(now int64, msg message.Message, p message.Promise) {
	if !m.answers(msg, p.Ballot) {
		return
	}
	if p.Joiner {
		m.mine.joined[msg.From] = p.Stamp
		m.choose(now)
		return
	}
	if !m.View.Has(msg.From) {
		return
	}
	if p.Entry != nil {
		m.holder.Keep(*p.Entry)
	}
	if m.mine.value != nil { // it lacks the entry of what it is to accept
		m.accept(msg.From, p.Stamp)
		return
	}
	m.mine.promises[msg.From] = p
	m.choose(now)
}

// choose goes on to the second phase once most have promised, and those that are to be
// taken in have answered: one that is dead must not count from its first moment on.
func (m *Machine) choose(now int64) {
	p := m.mine
	if p == nil || p.value != nil || len(p.promises) < m.View.Majority() {
		return
	}
	if v, bound := m.bound(); bound {
		m.acceptAll(now, v)
		return
	}
	v := m.wanted(now, true)
	for _, x := range v.Members {
		if _, joined := p.joined[x]; !joined && !m.View.Has(x) && now-p.at < m.cfg.Ballot/2 {
			return
		}
	}
	base := m.holder.Held().Stamp()
	v.Epoch, v.Base, v.BaseEpoch = m.View.Epoch+1, base.Rank, base.Epoch
	if err := v.Check(); err != nil && !m.breaks.ShortChain {
		m.mine = nil // too few are fit just now
		return
	}
	m.acceptAll(now, v)
}

// bound is what another has proposed and may have been agreed on already.
func (m *Machine) bound() (v message.View, bound bool) {
	var best *message.Proposal
	for _, p := range m.mine.promises {
		if p.Accepted != nil && !m.breaks.Forget && (best == nil || best.Ballot.Less(p.Accepted.Ballot)) {
			best = p.Accepted
		}
	}
	if best == nil {
		return v, false
	}
	return best.View, true
}

// acceptAll begins the second phase.
func (m *Machine) acceptAll(now int64, v message.View) {
	p := m.mine
	p.value = &v
	m.Accepted, m.changed = &message.Proposal{Ballot: p.ballot, View: v}, true
	p.accepts[m.Self] = true
	for _, to := range m.View.Members {
		if x, ok := p.promises[to]; ok {
			m.accept(to, x.Stamp)
		} else {
			m.accept(to, m.peers.heard[to].stamp)
		}
	}
	m.agree(now)
}

func (m *Machine) accept(to message.Member, held message.Stamp) {
	v := *m.mine.value
	body := message.Accept{Ballot: m.mine.ballot, Stamp: m.holder.Held().Stamp(), View: v, Entry: m.bring(held, v.BaseStamp())}
	m.send(to, v.Epoch, body)
}

// accepted counts the answer to the second phase.
func (m *Machine) accepted(now int64, msg message.Message, a message.AcceptedBallot) {
	if m.answers(msg, a.Ballot) && m.View.Has(msg.From) && m.mine.value != nil {
		m.mine.accepts[msg.From] = true
		m.agree(now)
	}
}

// refused gives way to a higher ballot.
func (m *Machine) refused(now int64, msg message.Message, n message.Nack) {
	if msg.Epoch != m.View.Epoch+1 || !m.View.Has(msg.From) {
		return
	}
	m.highest = max(m.highest, n.Ballot.N)
	if m.mine != nil && m.mine.ballot.Less(n.Ballot) {
		m.mine = nil
		m.yield(now)
	}
}

// agree puts the view in force once most have accepted it, and tells all.
func (m *Machine) agree(now int64) {
	p := m.mine
	if len(p.accepts) < m.View.Majority() {
		return
	}
	was, v := m.View, *p.value
	m.adopt(now, v)
	for _, to := range was.Members {
		m.tell(to, p.holds(to, m.peers.heard[to].stamp, v))
	}
	for _, to := range v.Members {
		if !was.Has(to) {
			m.tell(to, p.joined[to])
		}
	}
}

// holds is what a member holds at least, by what it said last and in this ballot.
func (p *ballot) holds(x message.Member, said message.Stamp, v message.View) message.Stamp {
	if p.accepts[x] {
		return v.BaseStamp()
	}
	if promise, ok := p.promises[x]; ok {
		return promise.Stamp
	}
	return said
}
