package consensus

import (
	"slices"

	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

// handlePrepare answers the first phase of another member's ballot.
func (m *Machine) handlePrepare(now int64, msg envelope.Message, p Prepare) {
	if p.Joiner != nil {
		if *p.Joiner == m.Self {
			m.answerAsLearner(msg, p)
		}
		return
	}
	if !m.admitBallot(now, msg, p.Ballot, p.Viewstamp) {
		return
	}
	m.send(msg.From, msg.Epoch, m.promise(p.Ballot, p.Viewstamp))
}

// answerAsLearner answers a proposer that is about to give this process a vote. It stores the
// entry that the message carries, so that after this step this process stores an entry at least
// as new as the proposer's.
func (m *Machine) answerAsLearner(msg envelope.Message, p Prepare) {
	if p.Entry != nil {
		m.store.Store(*p.Entry)
	}
	if m.leaving {
		return
	}
	m.send(msg.From, msg.Epoch, Promise{Ballot: p.Ballot, Viewstamp: m.store.Stored().Viewstamp(), Joiner: true})
}

// handleAccept answers the second phase of another member's ballot.
func (m *Machine) handleAccept(now int64, msg envelope.Message, a Accept) {
	if !m.admitBallot(now, msg, a.Ballot, a.Viewstamp) {
		return
	}
	if a.Entry != nil {
		m.store.Store(*a.Entry)
	}
	if m.lacksBaseEntry(a.View) {
		m.send(msg.From, msg.Epoch, m.promise(a.Ballot, a.Viewstamp)) // a Promise in the second phase: handlePromise answers with another Accept that carries the entry
		return
	}
	m.Accepted, m.changed = &Proposal{Ballot: a.Ballot, View: a.View}, true
	m.send(msg.From, msg.Epoch, Accepted{Ballot: a.Ballot})
}

// admitBallot promises ballot b, seals the current view and keeps this process from proposing
// (backOff). It returns false, without a promise, if this process has no view or no vote, if the
// ballot is not for the next epoch, or if the ballot is lower than the promised one. It then
// sends the proposer what that process lacks: the current view, a Heartbeat that makes it send a
// newer view, or a Nack. proposerStored is the viewstamp of the proposer's entry.
func (m *Machine) admitBallot(now int64, msg envelope.Message, b Ballot, proposerStored views.Viewstamp) bool {
	switch {
	case m.View.Epoch == 0: // this process has no view yet
		return false
	case msg.Epoch <= m.View.Epoch: // the proposer is behind
		m.sendView(msg.From, proposerStored)
		return false
	case msg.Epoch > m.View.Epoch+1: // this process is behind: the heartbeat makes the proposer send its view
		m.send(msg.From, m.View.Epoch, m.heartbeat(now))
		return false
	case !m.IsMember():
		return false
	}
	m.highestBallot = max(m.highestBallot, b.Number)
	if b.Less(m.Promised) {
		m.send(msg.From, msg.Epoch, Nack{Ballot: m.Promised})
		return false
	}
	if b != m.Promised {
		m.Promised, m.changed = b, true
	}
	m.seal(now)
	m.backOff(now)
	return true
}

// backOff keeps this member from proposing while another proposer's ballot may still complete:
// for one ballot timeout, plus a quarter of that timeout for each member that precedes this one in
// the view. Two
// proposers that keep outbidding each other would never finish.
func (m *Machine) backOff(now int64) {
	position := max(slices.Index(m.View.Members, m.Self), 0)
	m.backoffUntil = now + m.cfg.BallotTimeout + int64(position)*m.cfg.BallotTimeout/4
}

// promise returns the Promise for a proposer's ballot. It carries the stored entry if the
// proposer's entry, whose viewstamp is proposerStored, is older.
func (m *Machine) promise(b Ballot, proposerStored views.Viewstamp) Promise {
	stored := m.store.Stored()
	p := Promise{Ballot: b, Viewstamp: stored.Viewstamp(), Accepted: m.Accepted}
	if proposerStored.Less(stored.Viewstamp()) {
		e := stored.WithoutKnownContent(proposerStored)
		p.Entry = &e
	}
	return p
}
