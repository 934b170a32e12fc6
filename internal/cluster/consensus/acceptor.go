package consensus

import (
	"slices"

	"saddleport/internal/cluster/message"
)

// prepared answers the first phase of another's ballot.
func (m *Machine) prepared(now int64, msg message.Message, p message.Prepare) {
	if p.Joiner != nil {
		if *p.Joiner == m.Self {
			m.answerAsLearner(msg, p)
		}
		return
	}
	if !m.mayVote(now, msg, p.Ballot, p.Stamp) {
		return
	}
	m.send(msg.From, msg.Epoch, m.promise(p.Ballot, p.Stamp))
}

// answerAsLearner says that this process is there, and holds what the proposer does once
// this step is on the disk.
func (m *Machine) answerAsLearner(msg message.Message, p message.Prepare) {
	if p.Entry != nil {
		m.holder.Keep(*p.Entry)
	}
	if m.leaving {
		return
	}
	m.send(msg.From, msg.Epoch, message.Promise{Ballot: p.Ballot, Stamp: m.holder.Held().Stamp(), Joiner: true})
}

// acceptAsked answers the second phase of another's ballot.
func (m *Machine) acceptAsked(now int64, msg message.Message, a message.Accept) {
	if !m.mayVote(now, msg, a.Ballot, a.Stamp) {
		return
	}
	if a.Entry != nil {
		m.holder.Keep(*a.Entry)
	}
	if m.lacks(a.View) {
		m.send(msg.From, msg.Epoch, m.promise(a.Ballot, a.Stamp)) // it brings the entry
		return
	}
	m.Accepted, m.changed = &message.Proposal{Ballot: a.Ballot, View: a.View}, true
	m.send(msg.From, msg.Epoch, message.AcceptedBallot{Ballot: a.Ballot})
}

// mayVote promises a ballot, unless it is not for this process, not for the next epoch, or
// below another that was promised.
func (m *Machine) mayVote(now int64, msg message.Message, b message.Ballot, proposer message.Stamp) bool {
	switch {
	case m.View.Epoch == 0:
		return false
	case msg.Epoch <= m.View.Epoch: // the proposer is behind
		m.tell(msg.From, proposer)
		return false
	case msg.Epoch > m.View.Epoch+1: // we are: a heartbeat brings what is lacking
		m.send(msg.From, m.View.Epoch, m.heartbeat(now))
		return false
	case !m.Member():
		return false
	}
	m.highest = max(m.highest, b.N)
	if b.Less(m.Promised) {
		m.send(msg.From, msg.Epoch, message.Nack{Ballot: m.Promised})
		return false
	}
	if b != m.Promised {
		m.Promised, m.changed = b, true
	}
	m.seal(now)
	m.yield(now)
	return true
}

// yield gives another proposer the time of a ballot, and members one after another a
// little more: two that outbid one another at once would never end.
func (m *Machine) yield(now int64) {
	place := max(slices.Index(m.View.Members, m.Self), 0)
	m.yieldUntil = now + m.cfg.Ballot + int64(place)*m.cfg.Ballot/4
}

// promise is the answer to a proposer that holds an entry of a stamp.
func (m *Machine) promise(b message.Ballot, proposer message.Stamp) message.Promise {
	held := m.holder.Held()
	p := message.Promise{Ballot: b, Stamp: held.Stamp(), Accepted: m.Accepted}
	if proposer.Less(held.Stamp()) {
		e := held.For(proposer)
		p.Entry = &e
	}
	return p
}
