package judge

import (
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var testBounds = Bounds{Contact: 5 * time.Second, ConfigApply: 3 * time.Second, DowngradeSlack: 250 * time.Millisecond, LossSlack: 200 * time.Millisecond, Drain: 3 * time.Second}

const (
	second      = time.Second
	millisecond = time.Millisecond
)

// goodRecord is a short run in which every rule is kept. Revision 1 is in force from the start.
// Revision 2, acknowledged at 10 s, moves /a/ and adds /b/. Revision 3, acknowledged at 20 s,
// withdraws /b/.
func goodRecord() Record {
	single := func(service string) Route { return Route{Services: []string{service}} }
	return Record{
		End: 40 * second, Cores: 3,
		Changes: []Change{
			{Revision: 1, Routes: map[string]Route{"/a/": single("s1")}, AckedAt: millisecond},
			{Revision: 2, Routes: map[string]Route{"/a/": single("s2"), "/b/": single("s1"), "/g/": {Services: []string{"g1", "g2", "g3"}, Gathered: true}}, SentAt: 9900 * millisecond, AckedAt: 10 * second},
			{Revision: 3, Routes: map[string]Route{"/a/": single("s2")}, SentAt: 19900 * millisecond, AckedAt: 20 * second},
			{Revision: 4, SentAt: 21 * second, Refused: true},
		},
		Requests: []Request{
			servedRequest("r1", "/a/", 8*second),
			servedRequest("r2", "/a/", 12*second), // 2 s after the acknowledgement either revision may be in force
			rejectedRequest("r3", "/b/", 9*second),
			servedRequest("r4", "/b/", 15*second),
			rejectedRequest("r5", "/b/", 25*second),
		},
		Runs:  []Run{{Attempt: "r1", Server: "i-1", Service: "s1", At: 8 * second}, {Attempt: "r2", Server: "i-2", Service: "s2", At: 12 * second}, {Attempt: "r4", Server: "i-1", Service: "s1", At: 15 * second}},
		Reads: []Read{{Machine: "core-1", SentAt: 40 * second, EndedAt: 40 * second, Status: 200, Revision: 3, SameContent: true}},
	}
}

func servedRequest(attempt, prefix string, at time.Duration) Request {
	server := "i-1"
	if attempt == "r2" {
		server = "i-2"
	}
	return Request{Proxy: "front-1", Attempt: attempt, Prefix: prefix, SentAt: at, EndedAt: at + 10*millisecond, Status: 200, Life: 1, Body: BodyOf(server, attempt), Stamps: []string{StampOf(server, attempt)}}
}

func rejectedRequest(attempt, prefix string, at time.Duration) Request {
	return Request{Proxy: "front-1", Attempt: attempt, Prefix: prefix, SentAt: at, EndedAt: at + 10*millisecond, Status: 404, Life: 1}
}

// add appends a request and its execution by a server of a service.
func (r *Record) add(request Request, server, service string) {
	r.Requests = append(r.Requests, request)
	r.Runs = append(r.Runs, Run{Attempt: request.Attempt, Server: server, Service: service, At: request.SentAt})
}

// remove deletes a request and its runs.
func (r *Record) remove(attempt string) {
	r.Requests = slices.DeleteFunc(r.Requests, func(q Request) bool { return q.Attempt == attempt })
	r.Runs = slices.DeleteFunc(r.Runs, func(run Run) bool { return run.Attempt == attempt })
}

func fanOutRequest(attempt string, at time.Duration, missing int, servers ...string) Request {
	r := Request{Proxy: "front-1", Attempt: attempt, Prefix: "/g/", Gathered: true, SentAt: at, EndedAt: at + 10*millisecond, Status: 200, Life: 1, Missing: missing}
	var records []string
	for _, server := range servers {
		r.Stamps = append(r.Stamps, StampOf(server, attempt))
		records = append(records, RecordsOf(server, attempt)...)
	}
	slices.Sort(records)
	slices.Reverse(records)
	r.Body = strings.Join(records[:min(ResultLimit, len(records))], "")
	return r
}

// Each injected violation must be found under its rule, and nothing may be found where the rules are
// kept.
func TestJudge(t *testing.T) {
	cases := []struct {
		name   string
		rule   string // empty: no finding is expected
		inject func(r *Record)
	}{
		{"no violation", "", func(*Record) {}},
		{"an older version 3 s after the acknowledgement", RuleConfig, func(r *Record) { r.add(servedRequest("x", "/a/", 13100*millisecond), "i-1", "s1") }},
		{"the same at a machine that was killed 4 s before", "", func(r *Record) {
			r.add(servedRequest("x", "/a/", 13100*millisecond), "i-1", "s1")
			r.Disturbances = []Disturbance{{Machine: "front-1", From: 9 * second, To: 9500 * millisecond}}
			r.remove("r2") // it would show that the newer revision is in force
		}},
		{"the same with a fault in the control plane", "", func(r *Record) {
			r.add(servedRequest("x", "/a/", 13100*millisecond), "i-1", "s1")
			r.Disturbances = []Disturbance{{Machine: "core-2", Core: true, From: 9 * second, To: 9500 * millisecond}}
			r.remove("r2") // it would show that the newer revision is in force
		}},
		{"the same after a SIGHUP, which is no excuse", RuleConfig, func(r *Record) {
			r.add(servedRequest("x", "/a/", 13100*millisecond), "i-1", "s1")
			r.Disturbances = []Disturbance{{Machine: "front-1", Planned: true, Harmless: true, From: 9 * second, To: 9500 * millisecond}}
		}},
		{"an added route still rejected 3 s after the acknowledgement", RuleConfig, func(r *Record) { r.Requests = append(r.Requests, rejectedRequest("x", "/b/", 13100*millisecond)) }},
		{"a withdrawn route still served 3 s after the acknowledgement", RuleConfig, func(r *Record) { r.add(servedRequest("x", "/b/", 23100*millisecond), "i-1", "s1") }},
		{"back to an older version within one incarnation", RuleConfig, func(r *Record) { r.add(servedRequest("x", "/a/", 12500*millisecond), "i-1", "s1") }},
		{"the same in another incarnation", "", func(r *Record) {
			restarted := servedRequest("x", "/a/", 12500*millisecond)
			restarted.Life = 2
			r.add(restarted, "i-1", "s1")
		}},
		{"an outcome that no configuration explains", RuleConfig, func(r *Record) { r.add(servedRequest("x", "/a/", 9*second), "i-1", "s3") }},
		{"a configuration before it was sent", RuleConfig, func(r *Record) { r.add(servedRequest("x", "/b/", 9*second), "i-1", "s1") }},
		{"an invalid configuration acknowledged", RuleConfig, func(r *Record) { r.Changes[3].AckedAt = 22 * second }},
		{"an acknowledged configuration refused when sent again", RuleConfig, func(r *Record) { r.Changes[2].RefusedAgain = true }},
		{"an old configuration read back", RuleConfig, func(r *Record) {
			r.Reads = append(r.Reads, Read{Machine: "core-2", SentAt: 24 * second, EndedAt: 24 * second, Status: 200, Revision: 2, SameContent: true})
		}},
		{"other content read back", RuleConfig, func(r *Record) { r.Reads[0].SameContent = false }},
		{"nothing read back at the end", RuleLost, func(r *Record) { r.Reads[0].Status = 503 }},
		{"a write executed twice", RuleTwice, func(r *Record) {
			write := servedRequest("x", "/a/", 8*second)
			write.NonIdempotent = true
			r.add(write, "i-1", "s1")
			r.Runs = append(r.Runs, Run{Attempt: "x", Server: "i-3", Service: "s1", At: 8 * second})
		}},
		{"a write rejected although it was executed", RuleRefused, func(r *Record) {
			write := servedRequest("x", "/a/", 8*second)
			write.NonIdempotent, write.Status = true, 503
			r.add(write, "i-1", "s1")
		}},
		{"another request's response", RuleMixed, func(r *Record) {
			swapped := servedRequest("x", "/a/", 8*second)
			swapped.Body = BodyOf("i-1", "y")
			r.add(swapped, "i-1", "s1")
		}},
		{"a request that no client sent", RuleUnasked, func(r *Record) {
			r.Runs = append(r.Runs, Run{Attempt: "nobody", Server: "i-1", Service: "s1", At: 8 * second})
		}},
		{"a request dropped at SIGTERM", RuleLost, func(r *Record) {
			lost := servedRequest("x", "/a/", 30*second)
			lost.Status = 0
			r.add(lost, "i-2", "s2")
			r.Disturbances = []Disturbance{{Machine: "front-1", Planned: true, From: 29 * second, To: 36 * second}}
		}},
		{"a request dropped at SIGKILL", "", func(r *Record) {
			lost := servedRequest("x", "/a/", 30*second)
			lost.Status = 0
			r.add(lost, "i-2", "s2")
			r.Disturbances = []Disturbance{{Machine: "front-1", From: 30 * second, To: 31 * second}}
		}},
		{"a request whose server reset the connection", "", func(r *Record) {
			lost := servedRequest("x", "/a/", 30*second)
			lost.Status = 0
			r.add(lost, "i-2", "s2")
			r.Runs[len(r.Runs)-1].BrokeOff = true
		}},
		{"a request dropped without a fault", RuleLost, func(r *Record) {
			lost := servedRequest("x", "/a/", 30*second)
			lost.Status = 0
			r.add(lost, "i-2", "s2")
		}},
		{"a request that its client abandoned", "", func(r *Record) {
			abandoned := servedRequest("x", "/a/", 30*second)
			abandoned.Status, abandoned.Abandoned = 0, true
			r.add(abandoned, "i-2", "s2")
		}},
		{"a leaving server receives a request after its drain time", RuleDrain, func(r *Record) {
			r.Leaves = []Leave{{Server: "i-2", AckedAt: 8 * second, Machine: "core-1"}}
		}},
		{"a fan-out response with all shards", "", func(r *Record) { r.addFanOut(fanOutRequest("x", 15*second, 0, "i-g1", "i-g2", "i-g3")) }},
		{"a fan-out response that reports a missing shard", "", func(r *Record) { r.addFanOut(fanOutRequest("x", 15*second, 1, "i-g1", "i-g2")) }},
		{"a missing shard that is not reported", RuleMixed, func(r *Record) { r.addFanOut(fanOutRequest("x", 15*second, 0, "i-g1", "i-g2")) }},
		{"a part of one shard twice", RuleMixed, func(r *Record) { r.addFanOut(fanOutRequest("x", 15*second, 0, "i-g1", "i-g1", "i-g2")) }},
		{"records that are not the greatest", RuleMixed, func(r *Record) {
			malformed := fanOutRequest("x", 15*second, 0, "i-g1", "i-g2", "i-g3")
			malformed.Body = malformed.Body[recordBytes:]
			r.addFanOut(malformed)
		}},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			record := goodRecord()
			c.inject(&record)
			findings := Judge(record, testBounds)
			if c.rule == "" {
				So(findings, ShouldBeEmpty)
				return
			}
			So(findings, ShouldNotBeEmpty)
			So(findings[0].Rule, ShouldEqual, c.rule)
		})
	}
}

func (r *Record) addFanOut(request Request) {
	r.Requests = append(r.Requests, request)
	for _, shard := range []string{"g1", "g2", "g3"} {
		r.Runs = append(r.Runs, Run{Attempt: request.Attempt, Server: "i-" + shard, Service: shard, At: request.SentAt})
	}
}
