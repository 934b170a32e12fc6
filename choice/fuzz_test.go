package choice

import (
	"fmt"
	"math"
	"reflect"
	"testing"
)

// judge follows a router's events and actions and knows the rules that show
// in its actions alone.
type judge struct {
	stalled  Micros // the router could not act before
	t        *testing.T
	set      Settings
	now      Micros
	classes  map[string]Class
	queries  map[string]*judged
	parts    map[string]*judgedPart
	state    map[string]State
	drain    map[string]Micros // since when
	cell     map[string]int
	taken    []Micros
	extras   []Micros
	sent     []*judgedTry
	finished int
}

type judged struct {
	id     string
	number int64
	class  Class
	ends   Micros
	step   int
	first  bool // the first step's answer was whole
	parts  []*judgedPart
	over   bool
}

type judgedPart struct {
	id     string
	q      *judged
	shard  int
	weight float64
	served bool
	closed bool
	tries  []*judgedTry
}

type judgedTry struct {
	p        *judgedPart
	server   string
	attempt  int
	at       Micros
	over     bool
	mayRun   bool
	withdraw bool
}

func newJudge(t *testing.T, set Settings) *judge {
	j := &judge{t: t, set: set, classes: map[string]Class{}, queries: map[string]*judged{},
		parts: map[string]*judgedPart{}, state: map[string]State{}, drain: map[string]Micros{}, cell: map[string]int{}}
	for _, c := range set.Classes {
		j.classes[c.Name] = c
	}
	return j
}

// hear notes an event before the router gets it.
func (j *judge) hear(ev Event) {
	switch ev := ev.(type) {
	case List:
		if ev.Form == Full || ev.Form == Cached {
			for id := range j.state {
				j.state[id] = Gone
			}
		}
		for _, s := range ev.Servers {
			if s.State != Draining {
				delete(j.drain, s.ID)
			} else if j.state[s.ID] != Draining {
				j.drain[s.ID] = j.now
			}
			j.state[s.ID], j.cell[s.ID] = s.State, s.Cell
		}
	case Query:
		j.taken = append(j.taken, j.now)
		j.queries[ev.ID] = &judged{id: ev.ID, number: ev.Number, class: j.classes[ev.Class], ends: j.now + ev.Grace, step: 1}
	case Part:
		j.taken = append(j.taken, j.now)
		q := j.queries[fmt.Sprintf("q%d", ev.Number)]
		p := &judgedPart{id: ev.ID, q: q, shard: ev.Shard, weight: ev.Weight}
		q.parts = append(q.parts, p)
		j.parts[ev.ID] = p
	case ClientLeft:
		if q := j.queries[ev.ID]; q != nil && !q.over {
			j.close(q)
		}
	}
}

func (j *judge) close(q *judged) {
	q.over = true
	for _, p := range q.parts {
		p.closed = true
	}
}

func (j *judge) see(a Action) {
	switch a := a.(type) {
	case Send:
		j.send(a)
	case Cancel:
		p := j.parts[a.ID]
		if p == nil || a.Attempt >= len(p.tries) {
			j.t.Fatalf("cancel of an attempt never sent: %v", a)
		}
		p.tries[a.Attempt].withdraw = true
	case Answer:
		j.answer(a)
	case Refuse:
		q := j.ending(a.ID)
		for _, p := range q.parts {
			for _, try := range p.tries {
				if q.class.Effect == Unsafe && try.mayRun {
					j.t.Fatalf("refused %s though an unsafe part may have run", a.ID)
				}
			}
		}
		j.close(q)
	case Fail:
		j.close(j.ending(a.ID))
	}
}

func (j *judge) ending(id string) *judged {
	q := j.queries[id]
	if q == nil || q.over {
		j.t.Fatalf("a final answer for %s, which has none due", id)
	}
	if j.now > q.ends+j.set.AnswerSlack && j.now > j.stalled {
		j.t.Fatalf("%s ended %d us late", id, j.now-q.ends)
	}
	j.finished++
	return q
}

func (j *judge) answer(a Answer) {
	q := j.ending(a.ID)
	weight, all := 0.0, true
	for _, p := range q.parts {
		if p.closed {
			continue
		}
		if p.served {
			weight += p.weight
		} else {
			all = false
		}
	}
	floor, need := q.class.MinShare, q.class.RequiredShare
	if q.step == 2 {
		need = 1
		if q.class.MinShare >= q.class.RequiredShare {
			floor = 1
		}
		if a.Whole && (!all || !q.first) {
			j.t.Fatalf("%s called whole at the second step", a.ID)
		}
	}
	if weight < floor-1e-4 || a.Whole && weight < need-1e-4 {
		j.t.Fatalf("%s answered (whole %v) from weight %v", a.ID, a.Whole, weight)
	}
	if q.step == 1 && q.class.FetchParts > 0 {
		j.finished--
		for _, p := range q.parts {
			p.closed = true
		}
		q.step, q.first = 2, a.Whole
		return
	}
	j.close(q)
}

func (j *judge) send(a Send) {
	p := j.parts[a.ID]
	if p == nil || p.closed || p.served {
		j.t.Fatalf("send of %s, which has ended or never was", a.ID)
	}
	told, drains := j.drain[a.Server]
	if j.state[a.Server] != Ready && !(drains && j.state[a.Server] == Draining && j.now-told <= j.set.DrainGrace) {
		j.t.Fatalf("send to %s in state %d", a.Server, j.state[a.Server])
	}
	if off := (j.cell[a.Server] - p.shard%j.set.Cells + j.set.Cells) % j.set.Cells; off >= j.set.Width {
		j.t.Fatalf("%s does not hold shard %d", a.Server, p.shard)
	}
	if len(p.tries) >= j.set.AttemptCap {
		j.t.Fatalf("attempt %d of %s", len(p.tries), a.ID)
	}
	for _, try := range p.tries {
		if !try.over && !j.set.ParallelAttempts {
			j.t.Fatalf("two attempts of %s at once", a.ID)
		}
		if try.mayRun && (p.q.class.Effect == Unsafe ||
			p.q.class.Effect == Keyed && j.now-try.at > p.q.class.DedupWindow) {
			j.t.Fatalf("%s sent again though it may have run", a.ID)
		}
	}
	if len(p.tries) > 0 && j.set.RetryBudget {
		j.extras = append(j.extras, j.now)
		extras, taken := count(j.extras, j.now-j.set.RetryBudgetWindow), count(j.taken, j.now-j.set.RetryBudgetWindow)
		if float64(extras) > j.set.RetryBudgetMin+j.set.RetryBudgetRatio*float64(taken) {
			j.t.Fatalf("%d further attempts for %d taken", extras, taken)
		}
	}
	try := &judgedTry{p: p, server: a.Server, attempt: len(p.tries), at: j.now, mayRun: true}
	p.tries = append(p.tries, try)
	j.sent = append(j.sent, try)
}

func count(times []Micros, from Micros) int {
	n := 0
	for _, t := range times {
		if t >= from {
			n++
		}
	}
	return n
}

// script turns fuzz bytes into legal but odd events.
type script struct {
	data []byte
	next int64
}

func (s *script) byte() int {
	if len(s.data) == 0 {
		return 0
	}
	b := s.data[0]
	s.data = s.data[1:]
	return int(b)
}

func (s *script) events(j *judge) []Event {
	switch op := s.byte() % 8; op {
	case 0, 1, 2:
		return s.query(j)
	case 3, 4, 5:
		return s.outcome(j)
	case 6:
		return s.list(j)
	default:
		if len(j.queries) == 0 {
			return []Event{ClientLeft{ID: "never"}}
		}
		return []Event{ClientLeft{ID: fmt.Sprintf("q%d", 1+s.byte()%len(j.queries))}}
	}
}

func (s *script) query(j *judge) []Event {
	s.next++
	id, n := fmt.Sprintf("q%d", s.next), 1+s.byte()%6
	class := j.set.Classes[s.byte()%len(j.set.Classes)]
	grace := Micros(s.byte()) * 10 * ms
	evs := []Event{Query{ID: id, Class: class.Name, Number: s.next, Grace: grace, Parts: n, Repeat: n%2 == 0, Tenant: "t"}}
	shard := s.byte()
	for i := range n {
		evs = append(evs, Part{ID: fmt.Sprintf("%s.%d", id, i), Class: class.Name, Number: s.next,
			Shard: (shard + i) % j.set.Shards, Weight: 1 / float64(n), Hinted: n == 3, Predicted: Micros(shard) * ms})
	}
	return evs
}

func (s *script) outcome(j *judge) []Event {
	if len(j.sent) == 0 {
		return []Event{Outcome{ID: "never", Server: "never"}, Elapsed{Token: 7}}
	}
	i := s.byte() % len(j.sent)
	try := j.sent[i]
	j.sent = append(j.sent[:i:i], j.sent[i+1:]...)
	verdict := Verdict(s.byte() % 8)
	if verdict == Cancelled && !try.withdraw {
		verdict = Served
	}
	try.over = true
	try.mayRun = verdict != Rejected && verdict != NoConnection && verdict != NotSent
	if verdict == Served && !try.p.closed && !try.withdraw {
		try.p.served = true
	}
	if try.withdraw && verdict == Served {
		verdict = Cancelled
	}
	return []Event{Outcome{ID: try.p.id, Server: try.server, Attempt: try.attempt, Verdict: verdict,
		Closed: try.p.closed || try.p.served, Load: loads[s.byte()%len(loads)]}}
}

// loads are reports as no server should send them.
var loads = [][]Reading{
	nil, {{Name: "depth", Value: 3}}, {{Name: "depth", Value: -1}}, {{Name: "", Value: math.Inf(1)}},
	{{Name: "mean_ms", Value: math.NaN()}, {Name: "mean_ms", Value: 1e300}},
}

func (s *script) list(j *judge) []Event {
	form := []Form{Delta, Full, Cached, Failed}[s.byte()%4]
	if form == Failed {
		return []Event{List{Form: Failed}}
	}
	servers := rows(j.set.Cells, 2)
	kept := servers[:0]
	for _, row := range servers {
		switch b := s.byte(); b % 5 {
		case 0:
			continue
		case 1:
			row.State = Draining
		case 2:
			if form == Delta {
				row.State = Gone
			}
		case 4:
			row.Zone, row.Kind = fmt.Sprintf("zone %d", b%3), fmt.Sprintf("kind %d", b)
		case 3:
			row.UpSince = j.now - Micros(b)*100*ms
		}
		kept = append(kept, row)
	}
	return []Event{List{Form: form, Servers: kept}}
}

func FuzzRulesHoldUnderOddEvents(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x00\x03\x00\xc8\x00\x01\x03\x00\x01\x01\x03\x01\x02\x01\x00\x05\x01\xff\x02\x02\x03\x00\x00\x09"))
	f.Add([]byte("\x00\x05\x03\xf0\x01\x01\x03\x00\x03\x01\x00\x02\x04\xf0\x05\x01\x03\x00\x04\x03\x06\x01\x00\x01\x02\x03"))
	f.Add([]byte("\x06\x01\x00\x00\x00\x00\x00\x00\x00\x00\x09\x00\x05\x01\xf0\x01\x01\x07\x00\x02\x06\x00\x01\x02\x03\x03"))
	long := make([]byte, 4000)
	for i := range long {
		long[i] = byte(i*i*7 + i*31 + i>>3)
	}
	f.Add(long)
	stall := make([]byte, 3000)
	for i := range stall {
		stall[i] = byte(i*i*13 + i*17 + i>>2)
		if i%40 == 39 {
			stall[i] = 15
		}
	}
	f.Add(stall)
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, change := range []func(*Settings){
			func(*Settings) {},
			func(s *Settings) {
				s.RetryBudget, s.RetryBudgetMin, s.RetryBudgetRatio, s.RetryBudgetWindow = true, 1, 0.1, sec
				s.ParallelAttempts, s.AskDiscovery, s.AskWithin, s.MaxPartsPerCall = false, true, sec, 3
				s.Routers = 1
			},
			func(s *Settings) { s.Routers, s.Tenants = 400, []Tenant{{Name: "t", QuotaPerS: 2}} },
			func(s *Settings) { // a part of an answer before a second step, idle connections, no copies
				s.Classes[2].LateValue, s.Classes[2].FetchParts = 0, 2
				s.Keepalive, s.ParallelAttempts, s.RetryAdvice = 10*sec, false, false
			},
		} {
			set := testSettings()
			change(&set)
			play(t, set, data)
		}
	})
}

// play runs one script against two routers alike, and judges what they do.
func play(t *testing.T, set Settings, data []byte) {
	a, errA := New(9, set)
	b, errB := New(9, set)
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	j := newJudge(t, set)
	s := &script{data: data}
	j.now = 50 * sec
	step := func(evs ...Event) {
		for _, ev := range evs {
			j.hear(ev)
		}
		acts, again := a.Step(j.now, evs), b.Step(j.now, evs)
		if !reflect.DeepEqual(acts, again) {
			t.Fatalf("same events, other actions:\n%v\n%v", acts, again)
		}
		for _, act := range acts {
			j.see(act)
		}
	}
	step(List{Form: Cached, Servers: rows(set.Cells, 2)})
	for len(s.data) > 0 {
		step(s.events(j)...)
		if s.byte()%16 == 15 { // the router stands still, then finds all that came meanwhile
			j.now += Micros(s.byte()) * 20 * ms
			j.stalled = j.now
			var queries []Event
			for range s.byte() {
				queries = append(queries, s.query(j)...)
			}
			step(queries...)
			for range s.byte() {
				step(s.events(j)...)
			}
		}
		for range s.byte() % 16 {
			j.now += set.Resolution
			step(Elapsed{})
		}
	}
	for range 3 * sec / set.Resolution {
		j.now += set.Resolution
		step(Elapsed{})
	}
	for id, q := range j.queries {
		if !q.over {
			t.Fatalf("%s never ended", id)
		}
	}
}
