package consensus

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/views"
)

const testNow = 10_000_000

var testConfig = Config{HeartbeatInterval: 100_000, FailureTimeout: 1_000_000, ProposerStagger: 1_000_000, BallotTimeout: 800_000, MinViewAge: 0, Voters: 5, MaxLearners: 16}

// memoryStore is an EntryStore without any entry.
type memoryStore struct{}

func (memoryStore) Stored() chain.Entry         { return chain.Entry{} }
func (memoryStore) Store(chain.Entry)           {}
func (memoryStore) AdoptView(int64, views.View) {}
func (memoryStore) Seal()                       {}

// newMember returns the first of the members of a view, which has just heard the others.
func newMember(voters int) *Machine {
	var addrs []string
	for i := range voters {
		addrs = append(addrs, fmt.Sprint("m", i))
	}
	view := views.View{Epoch: 1}
	for _, addr := range addrs {
		view.Members = append(view.Members, views.Member{Addr: addr, DiskID: FirstDiskID})
	}
	view.Chain = view.Members
	m := New(testNow, testConfig, State{Self: view.Members[0], View: view}, addrs, memoryStore{}, chain.Mutations{})
	for _, x := range view.Members[1:] {
		m.peers.states[x] = peerState{lastHeardAt: testNow, aliveSince: 1, epoch: 1}
	}
	return m
}

func learner(i int) views.Member { return views.Member{Addr: fmt.Sprint("l", i), DiskID: "d"} }

// Guards against a vote that is given in one view and taken away in the next, for as long as one learner asks for it.
func TestNumberOfVoters(t *testing.T) {
	for _, c := range []struct{ voters, learners, want int }{
		{3, 0, 3}, {3, 1, 3}, {3, 2, 4}, {4, 0, 3}, {4, 1, 5}, {5, 2, 5}, {6, 0, 5}, {7, 1, 5},
	} {
		m := newMember(c.voters)
		for i := range c.learners {
			m.peers.learners[learner(i)] = learnerState{lastHeardAt: testNow}
		}
		require.Len(t, m.targetVoters(testNow, m.readyLearners(testNow)), c.want, "%d voters, %d learners", c.voters, c.learners)
	}
}

// Guards against a ballot that waits in vain for a learner that it has never asked.
func TestLearnerThatAppearsDuringBallot(t *testing.T) {
	m := newMember(4)
	m.propose(testNow)
	m.TakeMessages()
	m.peers.learners[learner(1)] = learnerState{lastHeardAt: testNow}
	for range 2 {
		m.startAcceptPhase(testNow)
	}
	require.Empty(t, m.TakeMessages(), "no majority has promised")
	for _, x := range m.View.Members[1:3] {
		m.ownBallot.promises[x] = Promise{Ballot: m.ownBallot.ballot}
	}
	for range 2 {
		m.startAcceptPhase(testNow)
	}
	messages := m.TakeMessages()
	require.Len(t, messages, 1, "the learner is asked once")
	require.Equal(t, learner(1), messages[0].To)
	require.IsType(t, Prepare{}, messages[0].Body)
}
