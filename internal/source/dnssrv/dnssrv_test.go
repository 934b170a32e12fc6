package dnssrv

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"saddleport/internal/core/membership"
	"saddleport/internal/inifile"
	"saddleport/internal/lab/dnsserver"
	"saddleport/internal/lab/observed"
)

const name = "_trips._tcp.zarqa.example.org"

// usable reports whether the claim of a server has the cell and the addresses that parts need.
func usable(o membership.Observation, id string) bool {
	c := observed.ClaimOn(o, id)
	return c != nil && c.HasCell && len(c.Addresses) > 0
}

func settings(change func(*Settings), servers ...*dnsserver.Server) Settings {
	var s Settings
	inifile.SetDefaults(&s)
	s.Names, s.MinTTL, s.Timeout = []string{name}, 100*time.Millisecond, 200*time.Millisecond
	for _, d := range servers {
		s.Resolvers = append(s.Resolvers, d.Addr)
	}
	if change != nil {
		change(&s)
	}
	return s
}

func target(id string, cell int, addrs ...string) dnsserver.Target {
	return dnsserver.Target{Name: id + ".zarqa.example.org", Addrs: addrs, Port: 7001, Text: dnsserver.TXTRecord(id, "zarqa", "std-2c", cell, false, 0)}
}

func listen(t *testing.T, ttl uint32, targets ...dnsserver.Target) *dnsserver.Server {
	s, err := dnsserver.Listen(name, ttl, targets)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func start(t *testing.T, s Settings) (*observed.Sink, func()) {
	sink := &observed.Sink{}
	require.NoError(t, s.Check())
	stop, finished := make(chan struct{}), make(chan struct{})
	go func() { New(s, sink).Run(stop); close(finished) }()
	shutdown := sync.OnceFunc(func() { close(stop); <-finished })
	t.Cleanup(shutdown)
	return sink, shutdown
}

// Targets, addresses of both families and TXT attributes are reported. A drain and the removal
// of a target are reported once the records have expired.
func TestRecords(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	srv, err := dnsserver.Listen(name, 0, []dnsserver.Target{target("s-1", 3, "127.0.0.1", "::1"), target("s-2", 4, "127.0.0.2")})
	require.NoError(t, err)
	sink, stop := start(t, settings(nil, srv))
	// The first observation is complete: no server is reported before its cell is known.
	o := sink.WaitFor(t, "anything", func(o membership.Observation) bool { return true })
	require.True(t, usable(o, "s-1") && usable(o, "s-2"), "%+v", o)
	require.Equal(t, membership.Claim{Name: "s-1", Addresses: []string{"[::1]:7001", "127.0.0.1:7001"}, Site: "zarqa", Kind: "std-2c", Cell: 3, HasCell: true, Weight: 1, Aliases: []string{"s-1.zarqa.example.org"}}, *observed.ClaimOn(o, "s-1"))
	drained := target("s-2", 4, "127.0.0.2")
	drained.Text = dnsserver.TXTRecord("s-2", "zarqa", "std-2c", 4, true, 7)
	srv.Put(drained)
	sink.WaitFor(t, "a drain", func(o membership.Observation) bool {
		c := observed.ClaimOn(o, "s-2")
		return c != nil && c.Drain && c.Since == 7000
	})
	srv.Remove("s-2.zarqa.example.org")
	sink.WaitFor(t, "gone", func(o membership.Observation) bool {
		return o.Complete && usable(o, "s-1") && observed.ClaimOn(o, "s-2") == nil
	})
	stop()
	srv.Close()
}

// A truncated response is repeated over TCP. A resolver without EDNS is queried without it,
// and addresses missing from the additional section are queried. Malformed messages and
// responses to other questions are skipped.
func TestOddServers(t *testing.T) {
	for scenario, setFault := range map[string]func(*dnsserver.Faults){
		"truncated": func(f *dnsserver.Faults) { f.Truncate = true },
		"no EDNS":   func(f *dnsserver.Faults) { f.NoEDNS = true },
		"bare":      func(f *dnsserver.Faults) { f.NoAdditional = true },
		"storm":     func(f *dnsserver.Faults) { f.JunkDatagrams = 30 },
	} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			srv := listen(t, 60, target("s-1", 3, "127.0.0.1"))
			srv.Set(setFault)
			sink, _ := start(t, settings(func(s *Settings) { s.Timeout = 5 * time.Second }, srv))
			sink.WaitFor(t, "s-1", func(o membership.Observation) bool { return usable(o, "s-1") })
			if scenario == "truncated" {
				require.Positive(t, srv.QuestionCount("tcp"))
			}
		})
	}
	// Many targets do not fit into a datagram: they are fetched over TCP.
	var many []dnsserver.Target
	for i := range 200 {
		many = append(many, target("s-"+string(rune('a'+i/26))+string(rune('a'+i%26)), i%4, "127.0.0.1"))
	}
	srv := listen(t, 60, many...)
	sink, _ := start(t, settings(func(s *Settings) { s.Timeout, s.MaxTargets, s.Parallel = 10*time.Second, 150, 32 }, srv))
	o := sink.WaitFor(t, "the maximum number of targets", func(o membership.Observation) bool {
		return len(o.Claims) == 150 && !slices.ContainsFunc(o.Claims, func(c membership.Claim) bool { return !usable(o, c.Name) })
	})
	require.Positive(t, srv.QuestionCount("tcp"))
	require.True(t, o.Complete)
}

// A resolver that fails, in whichever way, is skipped for one that works.
func TestFailingResolvers(t *testing.T) {
	for scenario, setFault := range map[string]func(*dnsserver.Faults){
		"silent":   func(f *dnsserver.Faults) { f.Silent = true },
		"servfail": func(f *dnsserver.Faults) { f.Rcode = dns.RcodeServerFailure },
		"refused":  func(f *dnsserver.Faults) { f.Rcode = dns.RcodeRefused },
		"lame":     func(f *dnsserver.Faults) { f.Lame = true },
		"lies":     func(f *dnsserver.Faults) { f.WrongQuestion = true },
		"flood":    func(f *dnsserver.Faults) { f.JunkDatagrams = 3 * maxUnrelated },
	} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			bad, good := listen(t, 60), listen(t, 60, target("s-1", 3, "127.0.0.1"))
			bad.Set(setFault)
			sink, _ := start(t, settings(nil, bad, good))
			sink.WaitFor(t, "s-1", func(o membership.Observation) bool { return usable(o, "s-1") })
			sink.RequireNone(t, "an empty answer", func(o membership.Observation) bool { return !o.Failed && len(o.Claims) == 0 })
		})
	}
}

// If one resolver denies that the name exists and the other has it, the name exists. If both
// deny it, it does not.
func TestNoSuchName(t *testing.T) {
	one, two := listen(t, 0, target("s-1", 3, "127.0.0.1")), listen(t, 0, target("s-1", 3, "127.0.0.1"))
	one.Set(func(f *dnsserver.Faults) { f.NXDomain = true })
	sink, _ := start(t, settings(nil, one, two))
	sink.WaitFor(t, "s-1", func(o membership.Observation) bool { return usable(o, "s-1") })
	sink.RequireNone(t, "an empty answer", func(o membership.Observation) bool { return !o.Failed && len(o.Claims) == 0 })
	two.Set(func(f *dnsserver.Faults) { f.NXDomain = true })
	sink.WaitFor(t, "nothing", func(o membership.Observation) bool { return !o.Failed && len(o.Claims) == 0 })
}

// When a resolver becomes unresponsive, its records stay in use as stale, the source is
// reported as failed, and no server is reported as removed. Once the resolver responds again,
// its records are used again.
func TestUnresponsiveResolver(t *testing.T) {
	srv := listen(t, 0, target("s-1", 3, "127.0.0.1"))
	sink, _ := start(t, settings(func(s *Settings) { s.Timeout = 20 * time.Millisecond }, srv))
	sink.WaitFor(t, "s-1", func(o membership.Observation) bool { return usable(o, "s-1") })
	srv.Set(func(f *dnsserver.Faults) { f.Silent = true })
	sink.WaitFor(t, "a failure", func(o membership.Observation) bool { return o.Failed })
	sink.WaitFor(t, "another failure", func(o membership.Observation) bool { return o.Failed })
	srv.Set(func(f *dnsserver.Faults) { f.Silent = false })
	sink.WaitFor(t, "s-1 again", func(o membership.Observation) bool { return usable(o, "s-1") })
	sink.RequireNone(t, "an answer without s-1", func(o membership.Observation) bool { return !o.Failed && observed.ClaimOn(o, "s-1") == nil })
}

// RFC 2782: in each cell only the targets of the lowest priority count, weights are relative
// within that priority, and the target "." is no target.
func TestPriorities(t *testing.T) {
	a, b, c := target("s-1", 3, "127.0.0.1"), target("s-2", 3, "127.0.0.2"), target("s-3", 4, "127.0.0.3")
	b.Priority, c.Priority = 10, 10
	a.Weight = 30
	d := target("s-4", 3, "127.0.0.4")
	d.Weight = 10
	srv := listen(t, 60, a, b, c, d)
	sink, _ := start(t, settings(nil, srv))
	o := sink.WaitFor(t, "three", func(o membership.Observation) bool {
		return len(o.Claims) == 3 && usable(o, "s-1") && usable(o, "s-3") && usable(o, "s-4")
	})
	require.InDelta(t, 1.5, observed.ClaimOn(o, "s-1").Weight, 1e-9)
	require.InDelta(t, 0.5, observed.ClaimOn(o, "s-4").Weight, 1e-9)
	sink, _ = start(t, settings(func(s *Settings) { s.Cell = "label" }, listen(t, 60, dnsserver.Target{Name: "trip7.c2.zarqa.example.org", Addrs: []string{"127.0.0.1"}, Port: 1})))
	o = sink.WaitFor(t, "a label", func(o membership.Observation) bool { return usable(o, "trip7.c2.zarqa.example.org") })
	require.Equal(t, 2, o.Claims[0].Cell)
}

// FuzzRead interprets arbitrary messages as responses: no record of another type is returned.
func FuzzRead(f *testing.F) {
	m := new(dns.Msg).SetQuestion(name+".", dns.TypeSRV)
	m.Response = true
	m.Answer = []dns.RR{&dns.SRV{Hdr: dns.RR_Header{Name: name + ".", Rrtype: dns.TypeSRV, Class: dns.ClassINET, Ttl: 5}, Target: "a.example.org.", Port: 1}}
	b, _ := m.Pack()
	f.Add(b)
	s := New(settings(nil), nil)
	f.Fuzz(func(t *testing.T, b []byte) {
		m := new(dns.Msg)
		if m.Unpack(b) != nil {
			return
		}
		a := s.interpret(m, name+".", dns.TypeSRV)
		for _, rr := range a.records {
			if _, ok := rr.(*dns.SRV); !ok {
				t.Fatalf("%T among SRV records", rr)
			}
		}
	})
}
