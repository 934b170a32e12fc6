// Package judge follows every query and part of a drill end to end and says which
// rules were broken. It believes only what clients and stand-in leaf servers saw;
// never the mixer's own word. It owns the record of a run. It must never sample:
// one lost answer in a million counts.
//
// What it counts, after the platform's protocol:
//
//	lost     no whole answer came, and the client had not gone
//	late     the final answer came after the client's time, and Slack
//	doubled  a second answer; an attempt while another of its part is out; an
//	         unsafe part that ran twice
//	wrong    a value no leaf server made for that part, a part that was not asked
//	         for, a whole mark without the share, a part of an answer below the
//	         class's least, a refusal of what may have run
//	drained  a part sent to a server more than the grace after its drain was told
//	capped   a part sent more often than the settings allow
//	pushed   a cold server that was sent more than it can bear, and fell
package judge

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Slack is how much later than its client's time an answer may come.
const Slack = 50 * time.Millisecond

// overlap is how long two attempts of a part may seem to be out at once: what the
// stand-ins and the machine need to hear of the first one's end.
const overlapTolerance = 25 * time.Millisecond

// Class is what the judge must know of a class.
type Class struct {
	Name        string
	Unsafe      bool
	Need, Floor float64
}

// Part is a part that a client asked for. Keys are those that it must bring, where
// the drill has keys.
type Part struct {
	Shard  int
	Weight float64
	Keys   []string
}

// Hit is a value in an answer.
type Hit struct {
	Shard      int
	Value      string
	AlsoIn     bool // more of it stands under another shard
	Incomplete bool // it says which keys it covers, and that is not all
}

// Outcome is how a query ended, as its client saw it.
type Outcome int

// The outcomes.
const (
	Answered    Outcome = iota
	Refused             // 429 or 503
	Failed              // any other status
	Lost                // no whole answer
	ClientGone          // the client left
	ProxyKilled         // the script killed its mixer
)

// Query is one query from a client's side.
type Query struct {
	ID          string
	Class       string
	Parts       []Part
	Due         time.Time // when it should have been sent (open loop)
	Sent        time.Time
	Timeout     time.Duration
	Ended       time.Time
	Outcome     Outcome
	Complete    bool
	Hits        []Hit
	ExtraAnswer bool // more came than one answer
	Detail      string
}

// run is one attempt at a leaf server.
type attempt struct {
	part, server       string
	arrivedAt, endedAt time.Time // until: answered or given up; zero: never
	ran                bool
	value              string
	afterDrainBy       time.Duration
}

// Judge is the record of one run. Its methods may be called from any goroutine.
type Judge struct {
	classes map[string]Class
	grace   time.Duration

	mu              sync.Mutex
	queries         map[string]*Query
	attemptsByPart  map[string][]*attempt           // by part id
	drains          map[string]map[string]time.Time // by server (and mixer), and by who told
	misrouted       int                             // attempts at servers that do not hold the part
	openQueries     int
	maxAttempts     int
	parallelAllowed bool // two attempts of a part may be out at once
	overloadedCold  []string
	misroutedNotes  []string
	faultCounts     map[string]int // of faults, so far
	verdict         *Verdict       // of what has been settled
	tallies         map[string]*Tally
	latencies       map[string]*hdrhistogram.Histogram
	from            time.Time
	to              time.Time
	bookingsByKey   map[string][]string // who ran a key's booking
	attemptsByQuery map[string][]*attempt
}

// New returns a judge; grace is how long after a drain is told parts may be sent.
func New(classes []Class, grace time.Duration) *Judge {
	j := &Judge{classes: make(map[string]Class), grace: grace, queries: make(map[string]*Query),
		attemptsByPart: make(map[string][]*attempt), drains: make(map[string]map[string]time.Time), bookingsByKey: make(map[string][]string), attemptsByQuery: make(map[string][]*attempt)}
	for _, c := range classes {
		j.classes[c.Name] = c
	}
	return j
}

// Allow tells the judge how often a part may be sent (0: at will), and whether two
// attempts of it may be out at once.
func (j *Judge) Allow(attempts int, parallel bool) {
	j.maxAttempts, j.parallelAllowed = attempts, parallel
}

// Fell notes that a cold server was pushed over.
func (j *Judge) ColdServerOverloaded(server string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.overloadedCold = append(j.overloadedCold, server)
}

// Sent notes a query that a client is about to send.
func (j *Judge) Sent(q *Query) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.queries[q.ID] = q
	j.openQueries++
}

// Ended notes how a query ended; its fields are final from then on.
func (j *Judge) Ended(q *Query) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.openQueries--
}

// Open counts the queries that have not ended.
func (j *Judge) Open() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.openQueries
}

// Told notes that discovery told of a server's drain; back that it serves again.
func (j *Judge) DrainReported(server string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recordDrain(server, "list", at)
}

// ToldBy is Told for one mixer and by one of several sources: what another source
// says of the server does not lift it.
func (j *Judge) DrainReportedBy(mixer int, source, server string, draining bool, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !draining {
		at = time.Time{}
	}
	j.recordDrain(serverMixerKey(server, mixer), source, at)
}

func serverMixerKey(server string, mixer int) string { return server + "@" + strconv.Itoa(mixer) }

func (j *Judge) recordDrain(key, source string, at time.Time) {
	switch {
	case at.IsZero():
		delete(j.drains[key], source)
	case j.drains[key] == nil:
		j.drains[key] = map[string]time.Time{source: at}
	case j.drains[key][source].IsZero():
		j.drains[key][source] = at
	}
}

// Restarted notes that a server's process is another one: no drain of the one before
// holds for it.
func (j *Judge) Restarted(server string, mixers int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for n := range mixers {
		delete(j.drains, serverMixerKey(server, n))
	}
}

// Astray notes an attempt at a server that does not hold the part's segment.
func (j *Judge) Misrouted(part, server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.misrouted++
	if j.misrouted <= maxFaultsPerKind {
		j.misroutedNotes = append(j.misroutedNotes, fmt.Sprintf("astray: part %s was sent to %s, which does not hold it", part, server))
	}
}

// Attempt is one attempt as a stand-in leaf server sees it.
type Attempt struct {
	j      *Judge
	record *attempt
}

// Arrived notes an attempt.
func (j *Judge) Arrived(part, server string, at time.Time) *Attempt {
	return j.ArrivedFrom(-1, part, server, at)
}

// ArrivedFrom is Arrived from a mixer of that number.
func (j *Judge) ArrivedFrom(mixer int, part, server string, at time.Time) *Attempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &attempt{part: part, server: server, arrivedAt: at}
	for _, key := range []string{server, serverMixerKey(server, mixer)} {
		for _, reportedAt := range j.drains[key] {
			if at.Sub(reportedAt) > j.grace {
				r.afterDrainBy = max(r.afterDrainBy, at.Sub(reportedAt))
			}
		}
	}
	j.attemptsByPart[part] = append(j.attemptsByPart[part], r)
	query, _, _ := strings.Cut(part, ".")
	j.attemptsByQuery[query] = append(j.attemptsByQuery[query], r)
	return &Attempt{j, r}
}

// KeyRan notes that a booking of a key runs. Each key is booked once.
func (j *Judge) KeyRan(key, query, server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.bookingsByKey[key] = append(j.bookingsByKey[key], query+" at "+server)
}

// NeverRan takes Ran back: the server found out that it may not.
func (a *Attempt) NeverRan() {
	a.j.mu.Lock()
	defer a.j.mu.Unlock()
	a.record.ran = false
}

// Ran notes that the attempt is run from now on.
func (a *Attempt) Ran() {
	a.j.mu.Lock()
	defer a.j.mu.Unlock()
	a.record.ran = true
}

// Over notes that the attempt is answered, with a value if it was served, or has
// been given up by the mixer.
func (a *Attempt) Finished(at time.Time, value string) {
	a.j.mu.Lock()
	defer a.j.mu.Unlock()
	if a.record.endedAt.IsZero() {
		a.record.endedAt = at
	}
	if value != "" {
		a.record.value = value
	}
}

// Tally is what became of one class.
type Tally struct {
	Class                                                         string
	Sent, Answered, Partial, Refused, Failed, Late, Lost, Doubled int
	Wrong, Drained, Parts, Capped                                 int
	Died                                                          int           // its mixer was killed by the script
	P50, P99, Max                                                 time.Duration // of answers, from the time they were due
}

// Verdict is the judge's word on a run.
type Verdict struct {
	Classes                                           []Tally
	Queries, Lost, Late, Doubled, Wrong, Drained, Gap int
	Capped, Pushed, Astray                            int
	Faults                                            []string // the first of them, for people
}

const maxFaultsPerKind = 10 // of each kind

// Pass tells whether no rule was broken.
func (v *Verdict) Pass() bool { return v.Violations() == 0 }

// Broken counts the breaks of rules.
func (v *Verdict) Violations() int {
	return v.Lost + v.Late + v.Doubled + v.Wrong + v.Drained + v.Capped + v.Pushed + v.Astray
}

// begin readies what the verdict is gathered in.
func (j *Judge) initVerdict(from, to time.Time) {
	if j.verdict != nil {
		return
	}
	j.verdict, j.tallies, j.latencies = &Verdict{}, make(map[string]*Tally), make(map[string]*hdrhistogram.Histogram)
	j.from, j.to = from, to
	for name := range j.classes {
		j.tallies[name] = &Tally{Class: name}
		j.latencies[name] = hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3)
	}
}

func (j *Judge) fault(format string, args ...any) {
	kind, _, _ := strings.Cut(format, ":")
	if j.faultCounts == nil {
		j.faultCounts = make(map[string]int)
	}
	if j.faultCounts[kind]++; j.faultCounts[kind] <= maxFaultsPerKind {
		j.verdict.Faults = append(j.verdict.Faults, fmt.Sprintf(format, args...))
	}
}

// Settle judges the queries that ended before a time and whose attempts are all
// over, and lets go of them: a long run need not be held whole. Only queries due in
// [from, to), which must not change, count for the classes' latencies.
func (j *Judge) Settle(before, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.initVerdict(from, to)
	var ids []string
	for id, q := range j.queries {
		if q.Ended.IsZero() || !q.Ended.Before(before) {
			continue
		}
		if !slices.ContainsFunc(j.attemptsByQuery[id], func(r *attempt) bool { return r.endedAt.IsZero() }) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		j.judgeQuery(j.queries[id])
	}
	for _, id := range ids {
		q := j.queries[id]
		for _, r := range j.attemptsByQuery[id] {
			if runs := j.attemptsByPart[r.part]; runs != nil {
				j.judgePart(r.part, runs, q)
				delete(j.attemptsByPart, r.part)
			}
		}
		delete(j.queries, id)
		delete(j.attemptsByQuery, id)
	}
}

// Judge looks at the whole record. All queries must have ended. Only queries due
// in [from, to) count for the classes' latencies; the rules hold for all.
func (j *Judge) Judge(from, to time.Time) *Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.initVerdict(from, to)
	queryByPart := make(map[string]*Query)
	for _, id := range slices.Sorted(maps.Keys(j.queries)) {
		q := j.queries[id]
		for _, p := range q.Parts {
			queryByPart[partID(q, p.Shard)] = q
		}
		j.judgeQuery(q)
	}
	v := j.verdict
	for _, id := range slices.Sorted(maps.Keys(j.attemptsByPart)) {
		q := queryByPart[id]
		if query, _, _ := strings.Cut(id, "."); q == nil && j.queries[query] != nil && j.queries[query].hasKeys() {
			q = j.queries[query] // its segment has another name by now
		}
		if q == nil {
			v.Wrong++
			j.fault("unasked: part %s was asked for by no client", id)
			continue
		}
		j.judgePart(id, j.attemptsByPart[id], q)
	}
	for _, key := range slices.Sorted(maps.Keys(j.bookingsByKey)) {
		if bookings := j.bookingsByKey[key]; len(bookings) > 1 {
			v.Doubled += len(bookings) - 1
			j.fault("doubled: key %s ran %d times: for %s", key, len(bookings), strings.Join(bookings, ", for "))
		}
	}
	for _, server := range j.overloadedCold {
		v.Pushed++
		j.fault("pushed: %s fell while it was cold: it was sent more than it can bear", server)
	}
	v.Astray = j.misrouted
	v.Faults = append(v.Faults, j.misroutedNotes...)
	for _, name := range slices.Sorted(maps.Keys(j.tallies)) {
		t, h := j.tallies[name], j.latencies[name]
		t.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
		t.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
		t.Max = time.Duration(h.Max()) * time.Microsecond
		v.Classes = append(v.Classes, *t)
		v.Lost += t.Lost
		v.Late += t.Late
		v.Doubled += t.Doubled
		v.Wrong += t.Wrong
		v.Drained += t.Drained
		v.Capped += t.Capped
	}
	return v
}

// query judges one query.
func (j *Judge) judgeQuery(q *Query) {
	t, c := j.tallies[q.Class], j.classes[q.Class]
	j.verdict.Queries++
	t.Sent++
	switch q.Outcome {
	case Answered:
		t.Answered++
		if !q.Complete {
			t.Partial++
		}
		if !q.Due.Before(j.from) && q.Due.Before(j.to) {
			j.latencies[q.Class].RecordValue(max(q.Ended.Sub(q.Due).Microseconds(), 1))
		}
		if why := j.wrongAnswer(q, c); why != "" {
			t.Wrong++
			j.fault("wrong: query %s (%s): %s", q.ID, q.Class, why)
		}
	case Refused:
		t.Refused++
		if c.Unsafe && j.anyPartRan(q) {
			t.Wrong++
			j.fault("wrong: query %s (%s) was refused, and a part of it ran", q.ID, q.Class)
		}
	case Failed:
		t.Failed++
	case ProxyKilled:
		t.Died++
	case Lost:
		t.Lost++
		j.fault("lost: query %s (%s): %s", q.ID, q.Class, q.Detail)
	}
	if q.ExtraAnswer {
		t.Doubled++
		j.fault("doubled: query %s (%s) was answered twice", q.ID, q.Class)
	}
	if q.Outcome != ClientGone && q.Outcome != Lost && q.Outcome != ProxyKilled && q.Ended.Sub(q.Sent) > q.Timeout+Slack {
		t.Late++
		j.fault("late: query %s (%s) took %v of %v", q.ID, q.Class, q.Ended.Sub(q.Sent), q.Timeout)
	}
}

// part judges the attempts of one part of a query.
func (j *Judge) judgePart(id string, runs []*attempt, q *Query) {
	t := j.tallies[q.Class]
	t.Parts += len(runs)
	ran := 0
	for i, r := range runs {
		if r.ran {
			ran++
		}
		if r.afterDrainBy > 0 {
			t.Drained++
			j.fault("drained: part %s came to %s %v after its drain was told", id, r.server, r.afterDrainBy)
		}
		for _, next := range runs[i+1:] {
			if !j.parallelAllowed && (r.endedAt.IsZero() || r.endedAt.Sub(next.arrivedAt) > overlapTolerance) {
				t.Doubled++
				j.fault("doubled: part %s was out at %s and at %s", id, r.server, next.server)
			}
		}
	}
	if j.classes[q.Class].Unsafe && ran > 1 {
		t.Doubled++
		j.fault("doubled: part %s of %s ran %d times", id, q.Class, ran)
	}
	if j.maxAttempts > 0 && len(runs) > j.maxAttempts {
		t.Capped++
		j.fault("capped: part %s was sent %d times, and %d are allowed", id, len(runs), j.maxAttempts)
	}
}

func partID(q *Query, shard int) string { return q.ID + "." + strconv.Itoa(shard) }

func (j *Judge) anyPartRan(q *Query) bool {
	return slices.ContainsFunc(j.attemptsByQuery[q.ID], func(r *attempt) bool { return r.ran })
}

// keyed tells whether the query says which keys it must bring.
func (q *Query) hasKeys() bool { return len(q.Parts) > 0 && q.Parts[0].Keys != nil }

// wrongKeys judges an answer by its keys: each line of a value is what a server
// made, SERVER|KEY KEY ..., or SERVER|booked|had KEY for QUERY.
func (j *Judge) wrongKeyedAnswer(q *Query, c Class) string {
	want, got := make(map[string]bool), make(map[string]bool)
	for _, p := range q.Parts {
		for _, k := range p.Keys {
			want[k] = true
		}
	}
	for _, h := range q.Hits {
		for line := range strings.SplitSeq(h.Value, "\n") {
			if line == "" && h.AlsoIn {
				continue
			}
			if !slices.ContainsFunc(j.attemptsByQuery[q.ID], func(r *attempt) bool { return r.value == line && line != "" }) {
				return fmt.Sprintf("shard %d: no leaf server made %.60q", h.Shard, line)
			}
			_, list, _ := strings.Cut(line, "|")
			tokens := strings.Fields(list)
			if len(tokens) == 4 && (tokens[0] == "booked" || tokens[0] == "had") {
				tokens = tokens[1:2]
			}
			for _, k := range tokens {
				switch {
				case !want[k]:
					return fmt.Sprintf("key %s was not asked for", k)
				case got[k]:
					return fmt.Sprintf("key %s stands twice", k)
				}
				got[k] = true
			}
		}
	}
	share := 0.0
	for _, h := range q.Hits {
		i := slices.IndexFunc(q.Parts, func(p Part) bool { return p.Shard == h.Shard })
		if i < 0 {
			return fmt.Sprintf("shard %d was not asked for", h.Shard)
		}
		share += q.Parts[i].Weight
		if h.Incomplete && q.Complete && c.Need >= 1 {
			return fmt.Sprintf("marked whole, and shard %d is not", h.Shard)
		}
		for _, k := range q.Parts[i].Keys {
			if !h.Incomplete && !got[k] {
				return fmt.Sprintf("key %s of shard %d is missing, and the answer does not say so", k, h.Shard)
			}
		}
	}
	if q.Complete && share < c.Need-1e-3 {
		return fmt.Sprintf("marked whole with %.3f of %.3f", share, c.Need)
	}
	return ""
}

// wrong tells what is wrong with an answer; empty: nothing.
func (j *Judge) wrongAnswer(q *Query, c Class) string {
	if q.hasKeys() {
		return j.wrongKeyedAnswer(q, c)
	}
	share, seen := 0.0, make(map[int]bool)
	for _, h := range q.Hits {
		i := slices.IndexFunc(q.Parts, func(p Part) bool { return p.Shard == h.Shard })
		switch {
		case i < 0:
			return fmt.Sprintf("shard %d was not asked for", h.Shard)
		case seen[h.Shard]:
			return fmt.Sprintf("shard %d stands twice", h.Shard)
		case !slices.ContainsFunc(j.attemptsByPart[partID(q, h.Shard)], func(r *attempt) bool { return r.value == h.Value && r.value != "" }):
			return fmt.Sprintf("shard %d: no leaf server made %.40q", h.Shard, h.Value)
		}
		seen[h.Shard] = true
		share += q.Parts[i].Weight
	}
	const tolerance = 1e-3
	switch {
	case q.Complete && share < c.Need-tolerance:
		return fmt.Sprintf("marked whole with %.3f of %.3f", share, c.Need)
	case !q.Complete && share < c.Floor-tolerance:
		return fmt.Sprintf("%.3f of an answer, and the least is %.3f", share, c.Floor)
	}
	return ""
}
