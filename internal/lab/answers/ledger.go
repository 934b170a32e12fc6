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
	silence     = 900 * time.Millisecond // longer than any client waits
	mostNoted   = 20                     // of each kind of breach
)

// ledger is what servers did with each request, and what clients were told.
type ledger struct {
	plan Plan

	mu      sync.Mutex
	rng     *rand.Rand
	ran     map[string]int // by attempt id
	last    map[string]string
	spoilt  map[string]int
	servers []*standin.Server
	seen    Report
}

func newLedger(p Plan) *ledger {
	return &ledger{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 5)), ran: make(map[string]int), last: make(map[string]string),
		spoilt: make(map[string]int)}
}

// serve has a stand-in answer, in order or not.
func (l *ledger) serve(s *standin.Server) {
	s.Handle = func(_ int, seen standin.Seen) standin.Reply { return l.reply(s.ID, seen) }
	s.RespondEarly = func(seen standin.Seen) *standin.Reply { return l.early(seen) }
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
}

func (l *ledger) closeServers() {
	l.mu.Lock()
	servers := l.servers
	l.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
}

// body is what a server answers to a request: records that only that request may get.
func body(attempt string) string {
	h := fnv.New64a()
	h.Write([]byte(attempt))
	var b strings.Builder
	for i := range records {
		fmt.Fprintf(&b, "%016x", h.Sum64()^uint64(i))
	}
	return b.String()
}

// disorders are what servers do instead of answering in order. ran: the request has run.
var disorders = []struct {
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
	{"no length, broken off", true, func(r *standin.Reply, _ string) { r.NoLength, r.Reset = true, true }},
	{"broken off", true, func(r *standin.Reply, _ string) { r.Truncate = true }},
	{"reset", true, func(r *standin.Reply, _ string) { r.Reset = true }},
	{"silent", true, func(r *standin.Reply, _ string) {
		hold := make(chan struct{})
		time.AfterFunc(silence, func() { close(hold) })
		r.HoldUntil = hold
	}},
	{"no id", true, func(r *standin.Reply, _ string) { r.NoID = true }},
	{"another's id", true, func(r *standin.Reply, earlier string) { r.ID, r.Body = earlier, body(earlier) }},
	{"another's refusal", true, func(r *standin.Reply, earlier string) {
		r.Before = &standin.Reply{ID: earlier, Status: 503, NotExecuted: true}
	}},
	{"refusal without id", true, func(r *standin.Reply, _ string) { *r = standin.Reply{Status: 503, NotExecuted: true, NoID: true} }},
	{"error", true, func(r *standin.Reply, _ string) { r.Status = 500 }},
	{"turned away", false, func(r *standin.Reply, _ string) { *r = standin.Reply{Status: 503, NotExecuted: true} }},
}

func (l *ledger) reply(server string, seen standin.Seen) standin.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := standin.Reply{Body: body(seen.Attempt)}
	earlier := l.last[server]
	l.last[server] = seen.Attempt
	ran := true
	if l.rng.Float64() < l.plan.FaultShare && earlier != "" {
		d := disorders[l.rng.IntN(len(disorders))]
		l.spoilt[d.name]++
		d.do(&r, earlier)
		ran = d.ran
	}
	if ran {
		l.ran[seen.Attempt]++
	}
	return r
}

// early turns long requests away before they are in, now and then.
func (l *ledger) early(seen standin.Seen) *standin.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if seen.Header.Get("Content-Length") == "" || l.rng.Float64() >= l.plan.FaultShare {
		return nil
	}
	l.spoilt["early"]++
	return &standin.Reply{Status: 503, NotExecuted: true}
}

// told notes what a client was told of its request.
func (l *ledger) told(q request, status int, text, stamps string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.seen
	r.Requests++
	switch {
	case status == 0:
		r.Closed++
	case status == 200:
		r.Served++
		l.checkAnswer(q, text, stamps)
	case status == 503 || status == 429:
		r.Refused++
		if q.once && l.ran[q.id] > 0 {
			note(&r.FalseRefusals, q.id)
		}
	default:
		r.Failed++
		if strings.Contains(stamps, "s.i-") && !strings.HasSuffix(stamps, "."+q.id) {
			note(&r.WrongAnswers, fmt.Sprintf("%s was told of a failure stamped %s", q.id, stamps))
		}
	}
}

// checkAnswer holds an answer to its request: every stamp and every record is its own.
func (l *ledger) checkAnswer(q request, text, stamps string) {
	for stamp := range strings.SplitSeq(stamps, ", ") {
		if !strings.HasSuffix(stamp, "."+q.id) {
			note(&l.seen.WrongAnswers, fmt.Sprintf("%s got an answer stamped %s", q.id, stamp))
		}
	}
	own := body(q.id)
	for rest := text; len(rest) >= recordBytes; rest = rest[recordBytes:] {
		if !strings.Contains(own, rest[:recordBytes]) {
			note(&l.seen.WrongAnswers, fmt.Sprintf("%s got the record %s", q.id, rest[:recordBytes]))
		}
	}
	if !q.gather && text != own {
		note(&l.seen.WrongAnswers, fmt.Sprintf("%s got %q", q.id, text))
	}
}

func note(list *[]string, text string) {
	if len(*list) < mostNoted {
		*list = append(*list, text)
	}
}

// report sums up, once all clients have ended.
func (l *ledger) report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.seen
	r.Faults = l.spoilt
	for id, n := range l.ran {
		if strings.HasPrefix(id, onceMark) && n > 1 {
			note(&r.RanTwice, id)
		}
	}
	for _, s := range l.servers {
		r.Conns += s.Conns()
	}
	return r
}
