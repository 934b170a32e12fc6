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

// goodRecord is a short run in which every rule is kept: revision 1 from the start, revision 2
// acknowledged at 10 s moves /a/ and adds /b/, revision 3 acknowledged at 20 s withdraws it.
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
			ran("r1", "/a/", 8*second),
			ran("r2", "/a/", 12*second), // 2 s after the acknowledgement either may serve it
			refused("r3", "/b/", 9*second),
			ran("r4", "/b/", 15*second),
			refused("r5", "/b/", 25*second),
		},
		Runs:  []Run{{Attempt: "r1", Server: "i-1", Service: "s1", At: 8 * second}, {Attempt: "r2", Server: "i-2", Service: "s2", At: 12 * second}, {Attempt: "r4", Server: "i-1", Service: "s1", At: 15 * second}},
		Reads: []Read{{Machine: "core-1", SentAt: 40 * second, EndedAt: 40 * second, Status: 200, Revision: 3, SameContent: true}},
	}
}

func ran(attempt, prefix string, at time.Duration) Request {
	server := "i-1"
	if attempt == "r2" {
		server = "i-2"
	}
	return Request{Proxy: "front-1", Attempt: attempt, Prefix: prefix, SentAt: at, EndedAt: at + 10*millisecond, Status: 200, Life: 1, Body: BodyOf(server, attempt), Stamps: []string{StampOf(server, attempt)}}
}

func refused(attempt, prefix string, at time.Duration) Request {
	return Request{Proxy: "front-1", Attempt: attempt, Prefix: prefix, SentAt: at, EndedAt: at + 10*millisecond, Status: 404, Life: 1}
}

// add appends a request that a server of a service ran.
func (r *Record) add(request Request, server, service string) {
	r.Requests = append(r.Requests, request)
	r.Runs = append(r.Runs, Run{Attempt: request.Attempt, Server: server, Service: service, At: request.SentAt})
}

// remove takes a request and its runs out.
func (r *Record) remove(attempt string) {
	r.Requests = slices.DeleteFunc(r.Requests, func(q Request) bool { return q.Attempt == attempt })
	r.Runs = slices.DeleteFunc(r.Runs, func(run Run) bool { return run.Attempt == attempt })
}

func gathered(attempt string, at time.Duration, missing int, servers ...string) Request {
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

// Each planted violation is found under its rule, and none where the rules are kept.
func TestJudge(t *testing.T) {
	cases := []struct {
		name  string
		rule  string // empty: nothing is found
		plant func(r *Record)
	}{
		{"all is well", "", func(*Record) {}},
		{"an older version 3 s after the acknowledgement", RuleConfig, func(r *Record) { r.add(ran("x", "/a/", 13100*millisecond), "i-1", "s1") }},
		{"the same at a machine that was killed 4 s before", "", func(r *Record) {
			r.add(ran("x", "/a/", 13100*millisecond), "i-1", "s1")
			r.Disturbances = []Disturbance{{Machine: "front-1", From: 9 * second, To: 9500 * millisecond}}
			r.remove("r2") // it would show that the newer one is in force
		}},
		{"the same with trouble in the control plane", "", func(r *Record) {
			r.add(ran("x", "/a/", 13100*millisecond), "i-1", "s1")
			r.Disturbances = []Disturbance{{Machine: "core-2", Core: true, From: 9 * second, To: 9500 * millisecond}}
			r.remove("r2") // it would show that the newer one is in force
		}},
		{"the same after a SIGHUP, which excuses nothing", RuleConfig, func(r *Record) {
			r.add(ran("x", "/a/", 13100*millisecond), "i-1", "s1")
			r.Disturbances = []Disturbance{{Machine: "front-1", Planned: true, Harmless: true, From: 9 * second, To: 9500 * millisecond}}
		}},
		{"an added route refused late", RuleConfig, func(r *Record) { r.Requests = append(r.Requests, refused("x", "/b/", 13100*millisecond)) }},
		{"a withdrawn route served late", RuleConfig, func(r *Record) { r.add(ran("x", "/b/", 23100*millisecond), "i-1", "s1") }},
		{"back to an older version within one life", RuleConfig, func(r *Record) { r.add(ran("x", "/a/", 12500*millisecond), "i-1", "s1") }},
		{"the same in another life", "", func(r *Record) {
			later := ran("x", "/a/", 12500*millisecond)
			later.Life = 2
			r.add(later, "i-1", "s1")
		}},
		{"what no configuration says", RuleConfig, func(r *Record) { r.add(ran("x", "/a/", 9*second), "i-1", "s3") }},
		{"a configuration before it was sent", RuleConfig, func(r *Record) { r.add(ran("x", "/b/", 9*second), "i-1", "s1") }},
		{"an invalid one acknowledged", RuleConfig, func(r *Record) { r.Changes[3].AckedAt = 22 * second }},
		{"an acknowledged one refused when sent again", RuleConfig, func(r *Record) { r.Changes[2].RefusedAgain = true }},
		{"an old one read back", RuleConfig, func(r *Record) {
			r.Reads = append(r.Reads, Read{Machine: "core-2", SentAt: 24 * second, EndedAt: 24 * second, Status: 200, Revision: 2, SameContent: true})
		}},
		{"other content read back", RuleConfig, func(r *Record) { r.Reads[0].SameContent = false }},
		{"nothing read back at the end", RuleLost, func(r *Record) { r.Reads[0].Status = 503 }},
		{"a write run twice", RuleTwice, func(r *Record) {
			write := ran("x", "/a/", 8*second)
			write.NonIdempotent = true
			r.add(write, "i-1", "s1")
			r.Runs = append(r.Runs, Run{Attempt: "x", Server: "i-3", Service: "s1", At: 8 * second})
		}},
		{"a write refused that ran", RuleRefused, func(r *Record) {
			write := ran("x", "/a/", 8*second)
			write.NonIdempotent, write.Status = true, 503
			r.add(write, "i-1", "s1")
		}},
		{"another request's answer", RuleMixed, func(r *Record) {
			swapped := ran("x", "/a/", 8*second)
			swapped.Body = BodyOf("i-1", "y")
			r.add(swapped, "i-1", "s1")
		}},
		{"a request that nobody sent", RuleUnasked, func(r *Record) {
			r.Runs = append(r.Runs, Run{Attempt: "nobody", Server: "i-1", Service: "s1", At: 8 * second})
		}},
		{"a request dropped at SIGTERM", RuleLost, func(r *Record) {
			lost := ran("x", "/a/", 30*second)
			lost.Status = 0
			r.add(lost, "i-2", "s2")
			r.Disturbances = []Disturbance{{Machine: "front-1", Planned: true, From: 29 * second, To: 36 * second}}
		}},
		{"a request dropped at SIGKILL", "", func(r *Record) {
			lost := ran("x", "/a/", 30*second)
			lost.Status = 0
			r.add(lost, "i-2", "s2")
			r.Disturbances = []Disturbance{{Machine: "front-1", From: 30 * second, To: 31 * second}}
		}},
		{"a request that its server broke off", "", func(r *Record) {
			lost := ran("x", "/a/", 30*second)
			lost.Status = 0
			r.add(lost, "i-2", "s2")
			r.Runs[len(r.Runs)-1].BrokeOff = true
		}},
		{"a request dropped in calm", RuleLost, func(r *Record) {
			lost := ran("x", "/a/", 30*second)
			lost.Status = 0
			r.add(lost, "i-2", "s2")
		}},
		{"a request whose client left", "", func(r *Record) {
			left := ran("x", "/a/", 30*second)
			left.Status, left.Abandoned = 0, true
			r.add(left, "i-2", "s2")
		}},
		{"a server that leaves is asked after its drain", RuleDrain, func(r *Record) {
			r.Leaves = []Leave{{Server: "i-2", AckedAt: 8 * second, Machine: "core-1"}}
		}},
		{"a gathered answer of all shards", "", func(r *Record) { r.plantGathered(gathered("x", 15*second, 0, "i-g1", "i-g2", "i-g3")) }},
		{"a gathered answer with one shard left out", "", func(r *Record) { r.plantGathered(gathered("x", 15*second, 1, "i-g1", "i-g2")) }},
		{"a shard left out and not said", RuleMixed, func(r *Record) { r.plantGathered(gathered("x", 15*second, 0, "i-g1", "i-g2")) }},
		{"a part twice", RuleMixed, func(r *Record) { r.plantGathered(gathered("x", 15*second, 0, "i-g1", "i-g1", "i-g2")) }},
		{"records that are not the greatest", RuleMixed, func(r *Record) {
			spoilt := gathered("x", 15*second, 0, "i-g1", "i-g2", "i-g3")
			spoilt.Body = spoilt.Body[recordBytes:]
			r.plantGathered(spoilt)
		}},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			record := goodRecord()
			c.plant(&record)
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

func (r *Record) plantGathered(request Request) {
	r.Requests = append(r.Requests, request)
	for _, shard := range []string{"g1", "g2", "g3"} {
		r.Runs = append(r.Runs, Run{Attempt: request.Attempt, Server: "i-" + shard, Service: shard, At: request.SentAt})
	}
}
