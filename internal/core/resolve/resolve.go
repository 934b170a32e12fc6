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
const lameBackoff = Micros(60_000_000)

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
	settings     Settings
	nextAt       Micros
	query        Query
	tries        int // since the last answer, of this round
	backoff      Micros
	backoffUntil []Micros // by resolver: passed over until
	denials      int      // resolvers in a row that know no such name
	hasAnswer    bool
	absent       bool
	expiresAt    Micros // of what is held
	lastOutcome  Outcome
}

// New returns a question that is due at once.
func New(set Settings) *Question {
	set.Resolvers = max(set.Resolvers, 1)
	return &Question{settings: set, backoffUntil: make([]Micros, set.Resolvers), backoff: set.Backoff}
}

// Next is when to ask next, and whom.
func (q *Question) Next() (Micros, Query) { return q.nextAt, q.query }

// Last is how asking ended last.
func (q *Question) LastOutcome() Outcome { return q.lastOutcome }

// Took takes how asking ended. ttl is the least lifetime of the records, or of the
// denial; it counts with Answer and NoName alone. It tells whether what is believed is
// now what this answer says.
func (q *Question) RecordResponse(now Micros, o Outcome, ttl Micros) bool {
	q.lastOutcome = o
	switch o {
	case Truncated:
		if q.query.TCP { // over TCP as well: it is of no use
			q.nextResolver(now)
			return false
		}
		q.query.TCP, q.nextAt = true, now
		return false
	case Answer:
		q.accept(now, ttl, false)
		return true
	case NoName:
		if q.denials++; q.denials < 2 && q.settings.Resolvers > 1 && !q.absent {
			q.nextResolver(now)
			return false
		}
		q.accept(now, ttl, true)
		return true
	case Refused:
		q.backoffUntil[q.query.Resolver] = now + lameBackoff
	}
	q.denials = 0
	q.nextResolver(now)
	return false
}

func (q *Question) accept(now, ttl Micros, absent bool) {
	life := min(max(ttl, q.settings.MinTTL), q.settings.MaxTTL)
	q.hasAnswer, q.absent, q.expiresAt = true, absent, now+life
	q.nextAt = now + life - life/10
	q.tries, q.backoff, q.query.TCP = 0, q.settings.Backoff, false
	if !absent {
		q.denials = 0
	}
}

// turn turns to the next resolver, or pauses where all have had their turn.
func (q *Question) nextResolver(now Micros) {
	q.query.TCP = false
	q.tries++
	q.nextAt = now
	if q.tries >= q.settings.Resolvers {
		q.tries = 0
		q.nextAt = now + q.backoff
		q.backoff = min(2*q.backoff, q.settings.MaxBackoff)
	}
	for range q.settings.Resolvers { // those that rest are passed over, unless all do
		q.query.Resolver = (q.query.Resolver + 1) % q.settings.Resolvers
		if now >= q.backoffUntil[q.query.Resolver] {
			return
		}
	}
}

// Standing is how what is believed stands at a time.
func (q *Question) Status(now Micros) Status {
	switch {
	case !q.hasAnswer || now >= q.expiresAt+q.settings.StaleFor:
		return Unknown
	case now >= q.expiresAt:
		return Stale
	case q.absent:
		return Absent
	}
	return Fresh
}

// Ends is when the standing changes next by time alone; 0: never.
func (q *Question) NextStatusChange(now Micros) Micros {
	switch {
	case !q.hasAnswer:
		return 0
	case now < q.expiresAt:
		return q.expiresAt
	case now < q.expiresAt+q.settings.StaleFor:
		return q.expiresAt + q.settings.StaleFor
	}
	return 0
}
