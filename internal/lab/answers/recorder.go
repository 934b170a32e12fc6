package answers

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"saddleport/internal/lab/standin"
)

const (
	recordBytes = 16
	records     = 4
	silentFor   = 900 * time.Millisecond // exceeds the timeout of every route, 600 ms
	maxListed   = 20                     // violations listed of each kind
)

// recorder records what servers did with each request and which responses clients got.
type recorder struct {
	plan Plan

	mu          sync.Mutex
	rng         *rand.Rand
	ran         map[string]int    // executions by attempt id
	lastAttempt map[string]string // latest attempt id by server
	faults      map[string]int    // by name
	servers     []*standin.Server
	totals      Report
}

func newRecorder(p Plan) *recorder {
	return &recorder{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 5)), ran: make(map[string]int), lastAttempt: make(map[string]string),
		faults: make(map[string]int)}
}

// serve sets the handlers of a stand-in server, which respond with or without a fault.
func (rec *recorder) serve(s *standin.Server) {
	s.Handle = func(_ int, seen standin.Seen) standin.Reply { return rec.reply(s.ID, seen) }
	s.RespondEarly = func(seen standin.Seen) *standin.Reply { return rec.early(seen) }
	rec.mu.Lock()
	rec.servers = append(rec.servers, s)
	rec.mu.Unlock()
}

func (rec *recorder) closeServers() {
	rec.mu.Lock()
	servers := rec.servers
	rec.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
}

// body returns the response body for an attempt id: records that only that request may get.
func body(attempt string) string {
	h := fnv.New64a()
	h.Write([]byte(attempt))
	var b strings.Builder
	for i := range records {
		fmt.Fprintf(&b, "%016x", h.Sum64()^uint64(i))
	}
	return b.String()
}

// serverFaults lists what servers do instead of responding correctly. ran says whether the
// request has run.
var serverFaults = []struct {
	name string
	ran  bool
	do   func(r *standin.Reply, earlier string)
}{
	{"twice", true, func(r *standin.Reply, _ string) {
		r.Extra = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Saddleport-Attempt-Id: x\r\n\r\nno"
	}},
	{"late answer first", true, func(r *standin.Reply, earlier string) {
		r.Before = &standin.Reply{ID: earlier, Body: body(earlier)}
	}},
	{"no length", true, func(r *standin.Reply, _ string) { r.NoLength = true }},
	{"no length, reset", true, func(r *standin.Reply, _ string) { r.NoLength, r.Reset = true, true }},
	{"truncated", true, func(r *standin.Reply, _ string) { r.Truncate = true }},
	{"reset", true, func(r *standin.Reply, _ string) { r.Reset = true }},
	{"silent", true, func(r *standin.Reply, _ string) {
		hold := make(chan struct{})
		time.AfterFunc(silentFor, func() { close(hold) })
		r.HoldUntil = hold
	}},
	{"no id", true, func(r *standin.Reply, _ string) { r.NoID = true }},
	{"another's id", true, func(r *standin.Reply, earlier string) { r.ID, r.Body = earlier, body(earlier) }},
	{"another's rejection", true, func(r *standin.Reply, earlier string) {
		r.Before = &standin.Reply{ID: earlier, Status: 503, NotExecuted: true}
	}},
	{"rejection without id", true, func(r *standin.Reply, _ string) { *r = standin.Reply{Status: 503, NotExecuted: true, NoID: true} }},
	{"error", true, func(r *standin.Reply, _ string) { r.Status = 500 }},
	{"rejected", false, func(r *standin.Reply, _ string) { *r = standin.Reply{Status: 503, NotExecuted: true} }},
}

func (rec *recorder) reply(server string, seen standin.Seen) standin.Reply {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := standin.Reply{Body: body(seen.Attempt)}
	earlier := rec.lastAttempt[server]
	rec.lastAttempt[server] = seen.Attempt
	ran := true
	if rec.rng.Float64() < rec.plan.FaultShare && earlier != "" {
		d := serverFaults[rec.rng.IntN(len(serverFaults))]
		rec.faults[d.name]++
		d.do(&r, earlier)
		ran = d.ran
	}
	if ran {
		rec.ran[seen.Attempt]++
	}
	return r
}

// early rejects a random share of the requests that have a body before the body has been
// received.
func (rec *recorder) early(seen standin.Seen) *standin.Reply {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if seen.Header.Get("Content-Length") == "" || rec.rng.Float64() >= rec.plan.FaultShare {
		return nil
	}
	rec.faults["early"]++
	return &standin.Reply{Status: 503, NotExecuted: true}
}

// recordOutcome records the response that a client got to its request; status 0 means that
// the connection ended without one.
func (rec *recorder) recordOutcome(q request, status int, text, signatures string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := &rec.totals
	r.Requests++
	switch {
	case status == 0:
		r.Closed++
	case status == 200:
		r.Served++
		rec.checkAnswer(q, text, signatures)
	case status == 503 || status == 429:
		r.Refused++
		if q.nonIdempotent && rec.ran[q.id] > 0 {
			addViolation(&r.FalseRefusals, q.id)
		}
	default:
		r.Failed++
		if strings.Contains(signatures, "s.i-") && !strings.HasSuffix(signatures, "."+q.id) {
			addViolation(&r.WrongAnswers, fmt.Sprintf("%s got a failure with the signature %s", q.id, signatures))
		}
	}
}

// checkAnswer checks that every signature and every record of a response belongs to its
// request.
func (rec *recorder) checkAnswer(q request, text, signatures string) {
	for signature := range strings.SplitSeq(signatures, ", ") {
		if !strings.HasSuffix(signature, "."+q.id) {
			addViolation(&rec.totals.WrongAnswers, fmt.Sprintf("%s got a response with the signature %s", q.id, signature))
		}
	}
	own := body(q.id)
	for rest := text; len(rest) >= recordBytes; rest = rest[recordBytes:] {
		if !strings.Contains(own, rest[:recordBytes]) {
			addViolation(&rec.totals.WrongAnswers, fmt.Sprintf("%s got the record %s", q.id, rest[:recordBytes]))
		}
	}
	if !q.fanout && text != own {
		addViolation(&rec.totals.WrongAnswers, fmt.Sprintf("%s got %q", q.id, text))
	}
}

func addViolation(list *[]string, text string) {
	if len(*list) < maxListed {
		*list = append(*list, text)
	}
}

// report returns the totals; it is called after all clients have ended.
func (rec *recorder) report() Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := rec.totals
	r.Faults = rec.faults
	for id, n := range rec.ran {
		if strings.HasPrefix(id, nonIdempotentPrefix) && n > 1 {
			addViolation(&r.RanTwice, id)
		}
	}
	for _, s := range rec.servers {
		r.Conns += s.Conns()
	}
	return r
}
