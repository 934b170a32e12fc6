package consul

import (
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"saddleport/internal/core/membership"
	"saddleport/internal/inifile"
	"saddleport/internal/lab/consulapi"
	"saddleport/internal/lab/observed"
	"saddleport/internal/logs"
)

func settings(change func(*Settings)) Settings {
	var s Settings
	inifile.SetDefaults(&s)
	s.Wait = 10 * time.Second
	if change != nil {
		change(&s)
	}
	return s
}

func instance(id string, cell int) consulapi.Instance {
	return consulapi.Instance{ID: id, Node: "node-" + id, Site: "zarqa", Kind: "std-2c", Address: "127.0.0.1:7001", Cell: cell, Status: "passing"}
}

func start(t *testing.T, s Settings, sink *observed.Sink) (stop func()) {
	c, err := New(s, sink)
	require.NoError(t, err)
	stopRun, finished := make(chan struct{}), make(chan struct{})
	go func() { c.Run(stopRun); close(finished) }()
	stop = sync.OnceFunc(func() { close(stopRun); <-finished })
	t.Cleanup(stop)
	return stop
}

// Instances, checks, maintenance mode, tags and metadata are read; the watch reports changes.
func TestWatch(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	a := instance("a", 3)
	a.Meta = map[string]string{"unix": "/run/a.sock", "weight": "2.5"}
	srv, err := consulapi.Listen("trips", []consulapi.Instance{a, instance("b", 4)})
	require.NoError(t, err)
	defer srv.Close()
	sink := &observed.Sink{}
	stop := start(t, settings(func(s *Settings) { s.Addrs = []string{srv.Addr} }), sink)
	o := sink.WaitFor(t, "both", func(o membership.Observation) bool { return len(o.Claims) == 2 })
	require.Equal(t, membership.Claim{Name: "a", Addresses: []string{"127.0.0.1:7001", "unix:/run/a.sock"}, Site: "zarqa", Kind: "std-2c", Cell: 3, HasCell: true,
		Health: membership.Passing, Weight: 2.5}, *observed.ClaimOn(o, "a"))
	b := instance("b", 4)
	b.Maintenance = true
	srv.Put(b)
	sink.WaitFor(t, "a drain", func(o membership.Observation) bool {
		c := observed.ClaimOn(o, "b")
		return c != nil && c.Drain && c.Health == membership.Passing
	})
	b.Maintenance, b.Status, b.Tags = false, "critical", []string{"draining"}
	srv.Put(b)
	sink.WaitFor(t, "critical", func(o membership.Observation) bool {
		c := observed.ClaimOn(o, "b")
		return c != nil && c.Drain && c.Health == membership.Critical
	})
	srv.Remove("b")
	sink.WaitFor(t, "gone", func(o membership.Observation) bool {
		return o.Complete && observed.ClaimOn(o, "b") == nil && observed.ClaimOn(o, "a") != nil
	})
	stop()
}

// While the cluster has no leader no response is accepted, not even one that a server gives
// without the leader. A stale server is rejected. After the index was reset, a query to the
// leader confirms the reset.
func TestLeaderAndIndex(t *testing.T) {
	srv, err := consulapi.Listen("trips", []consulapi.Instance{instance("a", 3)})
	require.NoError(t, err)
	defer srv.Close()
	sink := &observed.Sink{}
	start(t, settings(func(s *Settings) { s.Addrs = []string{srv.Addr} }), sink)
	first := sink.WaitFor(t, "a", func(o membership.Observation) bool { return observed.ClaimOn(o, "a") != nil })
	srv.Set(func(f *consulapi.Faults) { f.NoLeader, f.Empty = true, true })
	sink.WaitFor(t, "a failure", func(o membership.Observation) bool { return o.Failed })
	srv.Set(func(f *consulapi.Faults) { f.NoLeader, f.Empty, f.LastContact = false, false, time.Minute })
	sink.WaitFor(t, "a failure for a stale server", func(o membership.Observation) bool { return o.Failed })
	srv.Set(func(f *consulapi.Faults) { f.LastContact = 0 })
	sink.WaitFor(t, "a again", func(o membership.Observation) bool { return observed.ClaimOn(o, "a") != nil && o.Index > first.Index })
	srv.ResetIndex()
	o := sink.WaitFor(t, "a reset", func(o membership.Observation) bool { return o.Reset })
	require.Less(t, o.Index, first.Index)
	srv.Put(instance("c", 1))
	sink.WaitFor(t, "a change after the reset", func(o membership.Observation) bool { return observed.ClaimOn(o, "c") != nil && !o.Reset })
	sink.RequireNone(t, "a response without a leader was accepted", func(o membership.Observation) bool { return !o.Failed && len(o.Claims) == 0 })
}

// An unreachable agent is skipped for the next. The token is read from the file, read again
// after a call was rejected, and never logged. TLS trusts only the certificates of the CA file.
func TestAddressesTokenTLS(t *testing.T) {
	var log strings.Builder
	defer logs.Redirect(&log)()
	dead, err := consulapi.Listen("trips", nil)
	require.NoError(t, err)
	dead.Close()
	srv, err := consulapi.Listen("trips", []consulapi.Instance{instance("a", 3)})
	require.NoError(t, err)
	defer srv.Close()
	srv.Set(func(f *consulapi.Faults) { f.RequiredToken = "s3cret-two" })
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("s3cret-one\n"), 0o600))
	backend, _ := url.Parse("http://" + srv.Addr)
	proxy := httptest.NewTLSServer(httputil.NewSingleHostReverseProxy(backend))
	defer proxy.Close()
	proxy.Config.ErrorLog = nil
	ca := filepath.Join(t.TempDir(), "ca.pem")
	require.NoError(t, os.WriteFile(ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: proxy.Certificate().Raw}), 0o600))
	sink := &observed.Sink{}
	stop := start(t, settings(func(s *Settings) {
		s.Addrs, s.TokenFile, s.TLS, s.CAFile = []string{dead.Addr, strings.TrimPrefix(proxy.URL, "https://")}, token, true, ca
	}), sink)
	sink.WaitFor(t, "a rejection", func(o membership.Observation) bool { return o.Failed })
	require.NoError(t, os.WriteFile(token, []byte("s3cret-two"), 0o600))
	sink.WaitFor(t, "a", func(o membership.Observation) bool { return observed.ClaimOn(o, "a") != nil })
	stop()
	require.NotContains(t, log.String(), "s3cret")

	untrusting := &observed.Sink{}
	start(t, settings(func(s *Settings) { s.Addrs, s.TLS = []string{strings.TrimPrefix(proxy.URL, "https://")}, true }), untrusting)
	untrusting.WaitFor(t, "an untrusted authority", func(o membership.Observation) bool { return o.Failed })
	for _, s := range []Settings{settings(func(s *Settings) { s.TokenFile = ca + ".none" }), settings(func(s *Settings) { s.CAFile = token })} {
		_, err := New(s, untrusting)
		require.Error(t, err)
	}
}

// Each datacentre is a separate source with its own watch. The catalogue has no health checks,
// so health is unknown.
func TestDatacentres(t *testing.T) {
	a, b := instance("a", 1), instance("b", 2)
	a.DC, b.DC, b.Status = "amman", "zarqa", "critical"
	srv, err := consulapi.Listen("trips", []consulapi.Instance{a, b})
	require.NoError(t, err)
	defer srv.Close()
	sink := &observed.Sink{}
	start(t, settings(func(s *Settings) {
		s.Addrs, s.Datacentres, s.Read = []string{srv.Addr}, []string{"amman", "zarqa"}, "catalogue"
	}), sink)
	seen := make(map[string]membership.Observation)
	for len(seen) < 2 {
		o := sink.WaitFor(t, "both datacentres", func(o membership.Observation) bool { return len(o.Claims) == 1 })
		seen[o.Source] = o
	}
	require.NotNil(t, observed.ClaimOn(seen["consul.amman"], "a"))
	require.NotNil(t, observed.ClaimOn(seen["consul.zarqa"], "b"))
	require.Equal(t, membership.Unknown, seen["consul.zarqa"].Claims[0].Health)
	require.True(t, seen["consul.zarqa"].Claims[0].HasCell)
}

// Malformed and oversized responses are errors; unusable entries are skipped.
func TestBadAnswers(t *testing.T) {
	body := make(chan string, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Consul-Index", "7")
		w.Write([]byte(<-body))
	}))
	defer srv.Close()
	c, err := New(settings(func(s *Settings) { s.MaxBytes = 1 << 10 }), nil)
	require.NoError(t, err)
	for text, want := range map[string]string{"": "EOF", "{": "unexpected", "[{}]": "", `[{"Service":{"ID":"a","Port":99999,"Address":"h"}}]`: "",
		"[" + strings.Repeat("{},", 1000): "more than 1KiB", `{"Node":1}`: "cannot unmarshal"} {
		body <- text
		claims, _, err := c.fetch(t.Context(), strings.TrimPrefix(srv.URL, "http://"), "", "stale", 0)
		if want == "" {
			require.NoError(t, err, text)
			require.Empty(t, claims)
			continue
		}
		require.ErrorContains(t, err, want, text)
	}
}

// The proxy's registration is renewed, restored after the agent has lost it, and removed at
// the end.
func TestKeepRegistered(t *testing.T) {
	srv, err := consulapi.Listen("trips", nil)
	require.NoError(t, err)
	defer srv.Close()
	c, err := New(settings(func(s *Settings) {
		s.Addrs, s.RegisterAs, s.RegisterTTL = []string{srv.Addr}, "proxies", 60*time.Millisecond
	}), nil)
	require.NoError(t, err)
	stop, finished := make(chan struct{}), make(chan struct{})
	go func() { c.KeepRegistered("n3", "127.0.0.1:8080", stop); close(finished) }()
	require.Eventually(t, func() bool { _, n := srv.Calls(); return n > 2 && len(srv.Registered()) == 1 }, 20*time.Second, time.Millisecond)
	srv.ForgetRegistrations()
	require.Eventually(t, func() bool { return slices.Equal(srv.Registered(), []string{"proxies-n3"}) }, 20*time.Second, time.Millisecond)
	close(stop)
	<-finished
	require.Empty(t, srv.Registered())
}
