// Package resolve decides what is believed of one DNS question, whom to ask next and
// when. It owns the life of an answer: fresh while its records live, stale for a while
// after that if nobody answers (RFC 8767), then gone. It must never believe that a name
// is not there on the word of one resolver where there are several, nor press a
// resolver that fails.
//
// The rule:
//
//	answer      believed for the least of its records' lifetimes, within floor and
//	            cap; asked again when a tenth of that is left
//	truncated   the same resolver is asked over TCP, at once
//	no name     (NXDOMAIN, or an answer without such records) must be said by two
//	            resolvers in a row, where there are two; then it is believed, for the
//	            lifetime it states, within floor and cap
//	refused,    the next resolver is asked at once, and this one rests a minute
//	lame
//	failed,     (SERVFAIL, nothing within the time, an answer to another question, one
//	silent      that can't be read) the next resolver is asked at once; once all have
//	            failed, after a pause that doubles up to a bound
//	expired     what was believed stands for Stale beyond its lifetime, and is asked
//	            for on; then nothing is believed
package resolve

// Micros is a clock reading or a span in microseconds.
type Micros = int64

// Outcome is how asking ended.
type Outcome int

// The outcomes.
const (
	Answer Outcome = iota
	NoName
	Truncated
	Refused // REFUSED, NOTIMP, or not authoritative and without recursion: lame
	Failed
)

// Outcomes are their names.
var OutcomeNames = []string{"answer", "no-name", "truncated", "refused", "failed"}

func (o Outcome) String() string { return OutcomeNames[o] }

// Settings bound what is believed.
type Settings struct {
	Resolvers  int
	MinTTL     Micros // least time that an answer is believed
	MaxTTL     Micros // and most
	StaleFor   Micros // beyond its lifetime, while nobody answers
	Backoff    Micros // after a round in which all failed
	MaxBackoff Micros
}

// lameRest is how long a resolver that refuses is passed over.
const lameRest = Micros(60_000_000)

// Standing is how an answer stands.
type Status int

// The standings.
const (
	Unknown Status = iota // nothing was ever heard, or what was has gone
	Fresh                 // within its lifetime
	Stale                 // beyond, and nobody has answered
	Absent                // there is no such name
)

// Standings are their names.
var StatusNames = []string{"never", "fresh", "stale", "absent"}

func (s Status) String() string { return StatusNames[s] }

// Ask is what to ask next.
type Query struct {
	Resolver int
	TCP      bool
}

// Question is one question's life. Its zero value can't be used.
type Question struct {
	set    Settings
	nextAt Micros
	ask    Query
	tries  int // since the last answer, of this round
	pause  Micros
	rest   []Micros // by resolver: passed over until
	denied int      // resolvers in a row that know no such name
	held   bool
	absent bool
	until  Micros // of what is held
	last   Outcome
}

// New returns a question that is due at once.
func New(set Settings) *Question {
	set.Resolvers = max(set.Resolvers, 1)
	return &Question{set: set, rest: make([]Micros, set.Resolvers), pause: set.Backoff}
}

// Next is when to ask next, and whom.
func (q *Question) Next() (Micros, Query) { return q.nextAt, q.ask }

// Last is how asking ended last.
func (q *Question) LastOutcome() Outcome { return q.last }

// Took takes how asking ended. ttl is the least lifetime of the records, or of the
// denial; it counts with Answer and NoName alone. It tells whether what is believed is
// now what this answer says.
func (q *Question) RecordResponse(now Micros, o Outcome, ttl Micros) bool {
	q.last = o
	switch o {
	case Truncated:
		if q.ask.TCP { // over TCP as well: it is of no use
			q.turn(now)
			return false
		}
		q.ask.TCP, q.nextAt = true, now
		return false
	case Answer:
		q.believe(now, ttl, false)
		return true
	case NoName:
		if q.denied++; q.denied < 2 && q.set.Resolvers > 1 && !q.absent {
			q.turn(now)
			return false
		}
		q.believe(now, ttl, true)
		return true
	case Refused:
		q.rest[q.ask.Resolver] = now + lameRest
	}
	q.denied = 0
	q.turn(now)
	return false
}

func (q *Question) believe(now, ttl Micros, absent bool) {
	life := min(max(ttl, q.set.MinTTL), q.set.MaxTTL)
	q.held, q.absent, q.until = true, absent, now+life
	q.nextAt = now + life - life/10
	q.tries, q.pause, q.ask.TCP = 0, q.set.Backoff, false
	if !absent {
		q.denied = 0
	}
}

// turn turns to the next resolver, or pauses where all have had their turn.
func (q *Question) turn(now Micros) {
	q.ask.TCP = false
	q.tries++
	q.nextAt = now
	if q.tries >= q.set.Resolvers {
		q.tries = 0
		q.nextAt = now + q.pause
		q.pause = min(2*q.pause, q.set.MaxBackoff)
	}
	for range q.set.Resolvers { // those that rest are passed over, unless all do
		q.ask.Resolver = (q.ask.Resolver + 1) % q.set.Resolvers
		if now >= q.rest[q.ask.Resolver] {
			return
		}
	}
}

// Standing is how what is believed stands at a time.
func (q *Question) Status(now Micros) Status {
	switch {
	case !q.held || now >= q.until+q.set.StaleFor:
		return Unknown
	case now >= q.until:
		return Stale
	case q.absent:
		return Absent
	}
	return Fresh
}

// Ends is when the standing changes next by time alone; 0: never.
func (q *Question) NextStatusChange(now Micros) Micros {
	switch {
	case !q.held:
		return 0
	case now < q.until:
		return q.until
	case now < q.until+q.set.StaleFor:
		return q.until + q.set.StaleFor
	}
	return 0
}
