package choice

import (
	"fmt"
	"math"
	"reflect"
	"testing"
)

// checker follows the events and actions of a router and checks the rules that can be checked from its
// actions alone.
type checker struct {
	stalledUntil  Micros // the router could not act before this time
	t             *testing.T
	settings      Settings
	now           Micros
	classes       map[string]Class
	queries       map[string]*checkedQuery
	parts         map[string]*checkedPart
	state         map[string]State
	drainingSince map[string]Micros
	cell          map[string]int
	arrivals      []Micros
	extraAttempts []Micros
	inFlight      []*checkedAttempt
}

type checkedQuery struct {
	id                string
	number            int64
	class             Class
	endsAt            Micros
	step              int
	firstStepComplete bool // the first step's answer was complete
	parts             []*checkedPart
	ended             bool
}

type checkedPart struct {
	id       string
	query    *checkedQuery
	shard    int
	weight   float64
	served   bool
	closed   bool
	attempts []*checkedAttempt
}

type checkedAttempt struct {
	part       *checkedPart
	server     string
	index      int
	sentAt     Micros
	ended      bool
	mayHaveRun bool
	cancelled  bool
}

func newChecker(t *testing.T, settings Settings) *checker {
	c := &checker{t: t, settings: settings, classes: map[string]Class{}, queries: map[string]*checkedQuery{},
		parts: map[string]*checkedPart{}, state: map[string]State{}, drainingSince: map[string]Micros{}, cell: map[string]int{}}
	for _, class := range settings.Classes {
		c.classes[class.Name] = class
	}
	return c
}

// observeEvent records an event before the router gets it.
func (c *checker) observeEvent(event Event) {
	switch event := event.(type) {
	case List:
		if event.Form == Full || event.Form == Cached {
			for id := range c.state {
				c.state[id] = Gone
			}
		}
		for _, s := range event.Servers {
			if s.State != Draining {
				delete(c.drainingSince, s.ID)
			} else if c.state[s.ID] != Draining {
				c.drainingSince[s.ID] = c.now
			}
			c.state[s.ID], c.cell[s.ID] = s.State, s.Cell
		}
	case Query:
		c.arrivals = append(c.arrivals, c.now)
		c.queries[event.ID] = &checkedQuery{id: event.ID, number: event.Number, class: c.classes[event.Class], endsAt: c.now + event.Grace, step: 1}
	case Part:
		c.arrivals = append(c.arrivals, c.now)
		q := c.queries[fmt.Sprintf("q%d", event.Number)]
		p := &checkedPart{id: event.ID, query: q, shard: event.Shard, weight: event.Weight}
		q.parts = append(q.parts, p)
		c.parts[event.ID] = p
	case ClientLeft:
		if q := c.queries[event.ID]; q != nil && !q.ended {
			c.close(q)
		}
	}
}

// close marks a query and its parts as ended.
func (c *checker) close(q *checkedQuery) {
	q.ended = true
	for _, p := range q.parts {
		p.closed = true
	}
}

// checkAction fails the test if an action violates a rule, and records the action.
func (c *checker) checkAction(action Action) {
	switch action := action.(type) {
	case Send:
		c.checkSend(action)
	case Cancel:
		p := c.parts[action.ID]
		if p == nil || action.Attempt >= len(p.attempts) {
			c.t.Fatalf("cancel of an attempt never sent: %v", action)
		}
		p.attempts[action.Attempt].cancelled = true
	case Answer:
		c.checkAnswer(action)
	case Refuse:
		q := c.checkFinal(action.ID)
		for _, p := range q.parts {
			for _, attempt := range p.attempts {
				if q.class.Effect == Unsafe && attempt.mayHaveRun {
					c.t.Fatalf("Refuse of %s though an unsafe part may have run", action.ID)
				}
			}
		}
		c.close(q)
	case Fail:
		c.close(c.checkFinal(action.ID))
	}
}

// checkFinal returns the query that an action ends. It fails the test if there is none or it ends too late.
func (c *checker) checkFinal(id string) *checkedQuery {
	q := c.queries[id]
	if q == nil || q.ended {
		c.t.Fatalf("a final action for %s, which is unknown or has ended", id)
	}
	if c.now > q.endsAt+c.settings.AnswerSlack && c.now > c.stalledUntil {
		c.t.Fatalf("%s ended %d us late", id, c.now-q.endsAt)
	}
	return q
}

func (c *checker) checkAnswer(answer Answer) {
	q := c.checkFinal(answer.ID)
	weight, complete := 0.0, true
	for _, p := range q.parts {
		if p.closed {
			continue
		}
		if p.served {
			weight += p.weight
		} else {
			complete = false
		}
	}
	minimum, required := q.class.MinShare, q.class.RequiredShare
	if q.step == 2 {
		required = 1
		if q.class.MinShare >= q.class.RequiredShare {
			minimum = 1
		}
		if answer.Whole && (!complete || !q.firstStepComplete) {
			c.t.Fatalf("%s marked as complete at the second step", answer.ID)
		}
	}
	if weight < minimum-1e-4 || answer.Whole && weight < required-1e-4 {
		c.t.Fatalf("%s answered (complete: %v) with weight %v", answer.ID, answer.Whole, weight)
	}
	if q.step == 1 && q.class.FetchParts > 0 {
		for _, p := range q.parts {
			p.closed = true
		}
		q.step, q.firstStepComplete = 2, answer.Whole
		return
	}
	c.close(q)
}

func (c *checker) checkSend(send Send) {
	p := c.parts[send.ID]
	if p == nil || p.closed || p.served {
		c.t.Fatalf("send of %s, which is unknown or has ended", send.ID)
	}
	since, draining := c.drainingSince[send.Server]
	if c.state[send.Server] != Ready && !(draining && c.state[send.Server] == Draining && c.now-since <= c.settings.DrainGrace) {
		c.t.Fatalf("send to %s in state %d", send.Server, c.state[send.Server])
	}
	if distance := (c.cell[send.Server] - p.shard%c.settings.Cells + c.settings.Cells) % c.settings.Cells; distance >= c.settings.Width {
		c.t.Fatalf("%s does not store shard %d", send.Server, p.shard)
	}
	if len(p.attempts) >= c.settings.AttemptCap {
		c.t.Fatalf("attempt %d of %s", len(p.attempts), send.ID)
	}
	for _, a := range p.attempts {
		if !a.ended && !c.settings.ParallelAttempts {
			c.t.Fatalf("two attempts of %s at once", send.ID)
		}
		if a.mayHaveRun && (p.query.class.Effect == Unsafe ||
			p.query.class.Effect == Keyed && c.now-a.sentAt > p.query.class.DedupWindow) {
			c.t.Fatalf("%s sent again though it may have run", send.ID)
		}
	}
	if len(p.attempts) > 0 && c.settings.RetryBudget {
		c.extraAttempts = append(c.extraAttempts, c.now)
		extraAttempts, arrivals := countSince(c.extraAttempts, c.now-c.settings.RetryBudgetWindow), countSince(c.arrivals, c.now-c.settings.RetryBudgetWindow)
		if float64(extraAttempts) > c.settings.RetryBudgetMin+c.settings.RetryBudgetRatio*float64(arrivals) {
			c.t.Fatalf("%d extra attempts for %d queries and parts", extraAttempts, arrivals)
		}
	}
	a := &checkedAttempt{part: p, server: send.Server, index: len(p.attempts), sentAt: c.now, mayHaveRun: true}
	p.attempts = append(p.attempts, a)
	c.inFlight = append(c.inFlight, a)
}

// countSince returns how many of the times are not before from.
func countSince(times []Micros, from Micros) int {
	n := 0
	for _, t := range times {
		if t >= from {
			n++
		}
	}
	return n
}

// script turns fuzz bytes into events that are legal but unusual.
type script struct {
	data       []byte
	queryCount int64
}

func (s *script) byte() int {
	if len(s.data) == 0 {
		return 0
	}
	b := s.data[0]
	s.data = s.data[1:]
	return int(b)
}

func (s *script) events(c *checker) []Event {
	switch op := s.byte() % 8; op {
	case 0, 1, 2:
		return s.query(c)
	case 3, 4, 5:
		return s.outcome(c)
	case 6:
		return s.list(c)
	default:
		if len(c.queries) == 0 {
			return []Event{ClientLeft{ID: "never"}}
		}
		return []Event{ClientLeft{ID: fmt.Sprintf("q%d", 1+s.byte()%len(c.queries))}}
	}
}

func (s *script) query(c *checker) []Event {
	s.queryCount++
	id, parts := fmt.Sprintf("q%d", s.queryCount), 1+s.byte()%6
	class := c.settings.Classes[s.byte()%len(c.settings.Classes)]
	timeout := Micros(s.byte()) * 10 * ms
	events := []Event{Query{ID: id, Class: class.Name, Number: s.queryCount, Grace: timeout, Parts: parts, Repeat: parts%2 == 0, Tenant: "t"}}
	shard := s.byte()
	for i := range parts {
		events = append(events, Part{ID: fmt.Sprintf("%s.%d", id, i), Class: class.Name, Number: s.queryCount,
			Shard: (shard + i) % c.settings.Shards, Weight: 1 / float64(parts), Hinted: parts == 3, Predicted: Micros(shard) * ms})
	}
	return events
}

func (s *script) outcome(c *checker) []Event {
	if len(c.inFlight) == 0 {
		return []Event{Outcome{ID: "never", Server: "never"}, Elapsed{Token: 7}}
	}
	i := s.byte() % len(c.inFlight)
	a := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
	verdict := Verdict(s.byte() % 8)
	if verdict == Cancelled && !a.cancelled {
		verdict = Served
	}
	a.ended = true
	a.mayHaveRun = verdict != Rejected && verdict != NoConnection && verdict != NotSent
	if verdict == Served && !a.part.closed && !a.cancelled {
		a.part.served = true
	}
	if a.cancelled && verdict == Served {
		verdict = Cancelled
	}
	return []Event{Outcome{ID: a.part.id, Server: a.server, Attempt: a.index, Verdict: verdict,
		Closed: a.part.closed || a.part.served, Load: loadReports[s.byte()%len(loadReports)]}}
}

// loadReports are load reports, some of them such as no server should send.
var loadReports = [][]Reading{
	nil, {{Name: "depth", Value: 3}}, {{Name: "depth", Value: -1}}, {{Name: "", Value: math.Inf(1)}},
	{{Name: "mean_ms", Value: math.NaN()}, {Name: "mean_ms", Value: 1e300}},
}

func (s *script) list(c *checker) []Event {
	form := []Form{Delta, Full, Cached, Failed}[s.byte()%4]
	if form == Failed {
		return []Event{List{Form: Failed}}
	}
	servers := testServers(c.settings.Cells, 2)
	listed := servers[:0]
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
			row.UpSince = c.now - Micros(b)*100*ms
		}
		listed = append(listed, row)
	}
	return []Event{List{Form: form, Servers: listed}}
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
			func(s *Settings) { // a partial answer before a second step, idle connections, no hedges
				s.Classes[2].LateValue, s.Classes[2].FetchParts = 0, 2
				s.Keepalive, s.ParallelAttempts, s.RetryAdvice = 10*sec, false, false
			},
		} {
			settings := testSettings()
			change(&settings)
			runScript(t, settings, data)
		}
	})
}

// runScript runs one script against two identical routers. It checks their actions, and that both do the
// same.
func runScript(t *testing.T, settings Settings, data []byte) {
	a, errA := New(9, settings)
	b, errB := New(9, settings)
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	c := newChecker(t, settings)
	s := &script{data: data}
	c.now = 50 * sec
	step := func(events ...Event) {
		for _, event := range events {
			c.observeEvent(event)
		}
		actions, repeated := a.Step(c.now, events), b.Step(c.now, events)
		if !reflect.DeepEqual(actions, repeated) {
			t.Fatalf("different actions for the same events:\n%v\n%v", actions, repeated)
		}
		for _, action := range actions {
			c.checkAction(action)
		}
	}
	step(List{Form: Cached, Servers: testServers(settings.Cells, 2)})
	for len(s.data) > 0 {
		step(s.events(c)...)
		if s.byte()%16 == 15 { // the router stalls, then gets all events of that time at once
			c.now += Micros(s.byte()) * 20 * ms
			c.stalledUntil = c.now
			var queries []Event
			for range s.byte() {
				queries = append(queries, s.query(c)...)
			}
			step(queries...)
			for range s.byte() {
				step(s.events(c)...)
			}
		}
		for range s.byte() % 16 {
			c.now += settings.Resolution
			step(Elapsed{})
		}
	}
	for range 3 * sec / settings.Resolution {
		c.now += settings.Resolution
		step(Elapsed{})
	}
	for id, q := range c.queries {
		if !q.ended {
			t.Fatalf("%s never ended", id)
		}
	}
}
