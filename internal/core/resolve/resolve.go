// Package resolve decides which answer to a DNS question is valid, which resolver to
// query next and when. It owns the life cycle of an answer: fresh while its records are
// within their TTL, stale for a while after that if no resolver answers (RFC 8767), then
// discarded. It never accepts that a name does not exist from one resolver alone where
// there are several, and never floods a resolver that fails.
//
// The rule:
//
//	answer      valid for the smallest TTL of its records, within MinTTL and MaxTTL;
//	            queried again when a tenth of that is left
//	truncated   the same resolver is queried over TCP, at once
//	no name     (NXDOMAIN, or an answer without records of the type) must be reported by
//	            two queries in a row if there are several resolvers; the second goes to
//	            the next resolver that is not being skipped. Then it is valid for the TTL
//	            that it states, within MinTTL and MaxTTL. While the name is known to be
//	            absent, one report is enough to extend that
//	refused,    (lame: the resolver is neither authoritative nor recursive) the next
//	lame        resolver is queried at once, and this one is skipped for a minute, unless
//	            all resolvers are being skipped
//	failed,     (SERVFAIL, a timeout, an answer to another question or one that can't be
//	timeout     parsed) the next resolver is queried at once; once all have failed, after
//	            a backoff that doubles up to a limit
//	expired     an answer stays valid as stale for StaleFor after its TTL, while queries
//	            continue; then there is no answer
package resolve

// Micros is a clock reading or a duration in microseconds.
type Micros = int64

// Outcome is the result of a query.
type Outcome int

// The outcomes.
const (
	Answer    Outcome = iota // records of the requested type
	NoName                   // NXDOMAIN, or an answer without records of the type
	Truncated                // the response did not fit: to be repeated over TCP
	Refused                  // REFUSED, NOTIMP, or lame: neither authoritative nor recursive
	Failed                   // SERVFAIL, a timeout, or a response that does not match or can't be parsed
)

// OutcomeNames are the names of the outcomes, indexed by Outcome.
var OutcomeNames = []string{"answer", "no-name", "truncated", "refused", "failed"}

func (o Outcome) String() string { return OutcomeNames[o] }

// Settings configures how long answers are valid and when to retry.
type Settings struct {
	Resolvers  int    // number of resolvers
	MinTTL     Micros // lower limit of an answer's lifetime
	MaxTTL     Micros // upper limit
	StaleFor   Micros // how long an expired answer is used while no resolver answers
	Backoff    Micros // delay after a round in which every resolver failed; doubles each round
	MaxBackoff Micros // upper limit of the delay
}

// lameBackoff is how long a resolver that refuses or is lame is skipped.
const lameBackoff = Micros(60_000_000)

// Status is the state of a question's answer.
type Status int

// The states.
const (
	Unknown Status = iota // there was no answer yet, or it was discarded
	Fresh                 // the answer is within its lifetime
	Stale                 // the lifetime is over and no resolver has answered since
	Absent                // the name does not exist, and that report is within its lifetime
)

// StatusNames are the names of the states, indexed by Status.
var StatusNames = []string{"never", "fresh", "stale", "absent"}

func (s Status) String() string { return StatusNames[s] }

// Query says how to query next: the index of the resolver, and whether over TCP.
type Query struct {
	Resolver int
	TCP      bool
}

// Question is the state of one DNS question. Use New; the zero value is not usable.
type Question struct {
	settings     Settings
	nextAt       Micros   // when query is due
	query        Query    // the next query
	attempts     int      // queries without an accepted response in this round, which ends after one for each resolver
	backoff      Micros   // delay after the next round in which every resolver fails
	backoffUntil []Micros // by resolver: the resolver is skipped until then
	denials      int      // consecutive responses that the name does not exist
	hasAnswer    bool     // an answer or an accepted denial was received
	absent       bool     // the last accepted response is that the name does not exist
	expiresAt    Micros   // end of the answer's lifetime
	lastOutcome  Outcome
}

// New returns a question whose first query is due at once.
func New(set Settings) *Question {
	set.Resolvers = max(set.Resolvers, 1)
	return &Question{settings: set, backoffUntil: make([]Micros, set.Resolvers), backoff: set.Backoff}
}

// Next returns when to query next, and how.
func (q *Question) Next() (Micros, Query) { return q.nextAt, q.query }

// LastOutcome returns the result of the last query.
func (q *Question) LastOutcome() Outcome { return q.lastOutcome }

// RecordResponse records the result of the query that Next returned. ttl is the smallest
// TTL of the records, or that of the denial; it is used for Answer and NoName only. It
// reports whether the question's answer is now the one of this response.
func (q *Question) RecordResponse(now Micros, o Outcome, ttl Micros) bool {
	q.lastOutcome = o
	switch o {
	case Truncated:
		if q.query.TCP { // truncated over TCP as well: the response is unusable
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

// accept makes a response the question's answer and schedules the query that refreshes it.
func (q *Question) accept(now, ttl Micros, absent bool) {
	life := min(max(ttl, q.settings.MinTTL), q.settings.MaxTTL)
	q.hasAnswer, q.absent, q.expiresAt = true, absent, now+life
	q.nextAt = now + life - life/10
	q.attempts, q.backoff, q.query.TCP = 0, q.settings.Backoff, false
	if !absent {
		q.denials = 0
	}
}

// nextResolver selects the next resolver and, once all were tried, backs off.
func (q *Question) nextResolver(now Micros) {
	q.query.TCP = false
	q.attempts++
	q.nextAt = now
	if q.attempts >= q.settings.Resolvers {
		q.attempts = 0
		q.nextAt = now + q.backoff
		q.backoff = min(2*q.backoff, q.settings.MaxBackoff)
	}
	for range q.settings.Resolvers { // resolvers in backoff are skipped, unless all are
		q.query.Resolver = (q.query.Resolver + 1) % q.settings.Resolvers
		if now >= q.backoffUntil[q.query.Resolver] {
			return
		}
	}
}

// Status returns the state of the answer at a time.
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

// NextStatusChange returns when the status next changes by the passage of time; 0: never.
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
