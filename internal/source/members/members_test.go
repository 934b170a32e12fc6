package members

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"saddleport/choice"
	"saddleport/internal/core/membership"
	"saddleport/internal/inifile"
	"saddleport/internal/source/targets"
)

// recorder stores the list as the upstream pool and the decisions would have it.
type recorder struct {
	mu    sync.Mutex
	rows  map[string]choice.Server
	addrs targets.Addrs
	forms []choice.Form
}

func (k *recorder) FetchFailed() {}

func (k *recorder) UpdateList(l choice.List, a targets.Addrs) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forms = append(k.forms, l.Form)
	if l.Form != choice.Delta {
		clear(k.rows)
	}
	for _, s := range l.Servers {
		k.rows[s.ID] = s
		k.addrs[s.ID] = a[s.ID]
	}
}

func (k *recorder) state(id string) choice.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rows[id].State
}

func newService(t *testing.T, change func(*Settings), ranked ...string) (*Service, *recorder) {
	var set Settings
	inifile.SetDefaults(&set)
	if change != nil {
		change(&set)
	}
	rec := &recorder{rows: make(map[string]choice.Server), addrs: make(targets.Addrs)}
	s, err := New(set.MergeSettings(ranked), 8, rec)
	require.NoError(t, err)
	stop, finished := make(chan struct{}), make(chan struct{})
	go func() { s.Run(stop); close(finished) }()
	t.Cleanup(func() { close(stop); <-finished })
	return s, rec
}

func claim(name string, cell int, drain bool, addrs ...string) membership.Claim {
	return membership.Claim{Name: name, Cell: cell, HasCell: true, Addresses: addrs, Drain: drain}
}

// The full list is sent on request, and changes after that. A drain known to a single source is
// passed on immediately. A server whose cell has changed gets a new name in the list; its old
// name never appears in the new cell.
func TestService(t *testing.T) {
	goroutines := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, goroutines) })
	s, rec := newService(t, nil, "list", "consul")
	s.Watch(true)
	require.Empty(t, rec.forms, "no source has answered")
	l := List{To: s}
	l.UpdateList(choice.List{Form: choice.Full, Version: 5, Servers: []choice.Server{{ID: "a", Cell: 1, State: choice.Ready, Scale: 1}, {ID: "b", Cell: 2, State: choice.Ready, Scale: 1}}},
		targets.Addrs{"a": {"h:1"}, "b": {"h:2"}})
	require.Equal(t, []choice.Form{choice.Full}, rec.forms)
	require.Equal(t, choice.Ready, rec.state("a"))
	s.Observe(membership.Observation{Source: "consul", Index: 1, Complete: true, Claims: []membership.Claim{claim("a", 1, true), claim("b", 2, false)}})
	require.Equal(t, choice.Draining, rec.state("a"))
	require.Equal(t, []choice.Form{choice.Full, choice.Delta}, rec.forms)
	// The sources disagree on the cell: the server is removed until they agree.
	s.Observe(membership.Observation{Source: "consul", Index: 2, Complete: true, Claims: []membership.Claim{claim("a", 1, true), claim("b", 5, false)}})
	require.Equal(t, choice.Gone, rec.state("b"))
	l.UpdateList(choice.List{Form: choice.Delta, Version: 6, Servers: []choice.Server{{ID: "b", Cell: 5, State: choice.Ready, Scale: 1}}}, targets.Addrs{"b": {"h:3"}})
	require.Equal(t, choice.Gone, rec.state("b"))
	require.Equal(t, choice.Ready, rec.state("b~5"))
	require.Equal(t, 5, rec.rows["b~5"].Cell)
	require.Equal(t, []string{"h:3"}, rec.addrs["b~5"])
	// Back in its first cell, the server has its first name again.
	s.Observe(membership.Observation{Source: "consul", Index: 3, Complete: true, Claims: []membership.Claim{claim("b", 2, false)}})
	l.UpdateList(choice.List{Form: choice.Delta, Version: 7, Servers: []choice.Server{{ID: "b", Cell: 2, State: choice.Ready, Scale: 1}}}, targets.Addrs{"b": {"h:3"}})
	require.Equal(t, choice.Gone, rec.state("b~5"))
	require.Equal(t, choice.Ready, rec.state("b"))
	// A cell that the fleet does not have counts as none.
	s.Observe(membership.Observation{Source: "consul", Index: 4, Complete: true, Claims: []membership.Claim{claim("z", 99, false, "h:9")}})
	r, err := s.Report("z", 0)
	require.NoError(t, err)
	require.Equal(t, membership.Withheld, r.Members[0].State)
	require.EqualValues(t, 1, r.Skipped)
	_, err = s.Report("nobody", 0)
	require.Error(t, err)
}

// A new server of an untrusted source waits for confirmation: here, for its answer to a probe. The
// timer applies changes that depend on time alone, such as the expiry of an unresponsive source.
func TestConfirmationAndTimer(t *testing.T) {
	s, rec := newService(t, func(s *Settings) {
		s.ConfirmAfter, s.SilentAfter, s.ForgetAfter = time.Hour, time.Second, 200*time.Millisecond
	}, "consul")
	probed := make(chan []string, 4)
	s.SetProbe(func(addrs []string) bool { probed <- addrs; return addrs[0] == "h:1" })
	s.Watch(true)
	s.Observe(membership.Observation{Source: "consul", Index: 1, Complete: true, Claims: []membership.Claim{claim("z", 1, false, "h:9")}})
	require.Equal(t, choice.Ready, rec.state("z"), "the first observation needs no confirmation")
	s.Observe(membership.Observation{Source: "consul", Index: 2, Claims: []membership.Claim{claim("a", 1, false, "h:1"), claim("b", 1, false, "h:2")}})
	<-probed
	<-probed
	require.Eventually(t, func() bool { return rec.state("a") == choice.Ready }, 20*time.Second, time.Millisecond)
	require.Equal(t, choice.Gone, rec.state("b"))
	require.Eventually(t, func() bool { return rec.state("a") == choice.Gone }, 20*time.Second, time.Millisecond, "expired")
}

// Sources are replaced at run time: the observations of a source that remains stay valid.
func TestConfigure(t *testing.T) {
	s, rec := newService(t, nil, "list", "consul")
	s.Watch(true)
	List{To: s}.UpdateList(choice.List{Form: choice.Full, Version: 1, Servers: []choice.Server{{ID: "a", Cell: 1, State: choice.Ready, Scale: 1}}}, targets.Addrs{"a": {"h:1"}})
	s.Observe(membership.Observation{Source: "consul", Index: 1, Complete: true, Claims: []membership.Claim{claim("a", 1, true, "h:1")}})
	require.Equal(t, choice.Draining, rec.state("a"))
	var set Settings
	inifile.SetDefaults(&set)
	require.NoError(t, s.Configure(set.MergeSettings([]string{"consul", "dns"})))
	require.Equal(t, choice.Draining, rec.state("a"), "the observation of consul is still valid")
	require.NoError(t, s.Configure(set.MergeSettings([]string{"list"})))
	require.Equal(t, choice.Gone, rec.state("a"), "no remaining source has reported it")
	require.Error(t, s.Configure(membership.Settings{}))
	s.Observe(membership.Observation{Source: "consul", Index: 9}) // a removed source: ignored
}
