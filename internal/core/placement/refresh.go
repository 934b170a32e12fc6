package placement

// When the feed is asked, and how long a part waits for a newer map. Times are
// microseconds on the caller's clock.

// Refresh decides when to ask the feed for news out of turn: many parts may find
// out at once that their map is old, and the feed must hear one question.
type Refresh struct {
	MinInterval int64 // between two questions
	MaxBackoff  int64 // after failures the pause doubles up to this

	WantedEpoch int64 // the newest epoch that a server has named
	FetchedAt   int64 // when the last question went out
	Fetching    bool
	Backoff     int64
	Suppressed  int64 // questions that were not asked, for one was out or had just been
	Unsatisfied int   // answers in a row that did not bring what is wanted
	Started     bool
}

// Want notes that a server named an epoch beyond the map's, and tells when the
// feed is to be asked: 0 for now, a time to come, or -1 for not at all.
func (r *Refresh) ObserveEpoch(now, epoch, have int64) (at int64) {
	r.WantedEpoch = max(r.WantedEpoch, epoch)
	if have >= r.WantedEpoch {
		return -1
	}
	if r.Fetching {
		r.Suppressed++
		return -1
	}
	if next := r.FetchedAt + max(r.Backoff, r.MinInterval); r.Started && next > now {
		r.Suppressed++
		return next
	}
	r.Fetching, r.FetchedAt, r.Started = true, now, true
	return 0
}

// Came notes the end of a question, and what is held now.
func (r *Refresh) FetchDone(have int64) {
	r.Fetching = false
	if have >= r.WantedEpoch {
		r.Backoff, r.Unsatisfied = 0, 0
		return
	}
	r.Unsatisfied++
	r.Backoff = min(max(2*r.Backoff, r.MinInterval), r.MaxBackoff)
}

// MostTurns is how often one part may be turned away for not being held before it
// counts as failed.
const MaxRejections = 6

// Turn is what to do with a part that a server turned away because it does not
// hold it.
type Retry struct {
	Delay   int64 // before it is routed again, microseconds; a newer map ends it
	Abandon bool
}

// Turned decides for the n-th time (from 1) that a part was turned away. server is
// the epoch that the server named, have the map's. A server that is ahead means
// that our map is old: a newer one is on its way, wait for it. One that is not
// means that a cut is going on, or that somebody lies: try again soon, then seldom.
func AfterRejection(n int, server, have, left int64) Retry {
	pause := int64(15000) << min(n-1, 5)
	if server > have {
		pause = 400000
	}
	if n > MaxRejections || left <= 0 {
		return Retry{Abandon: true}
	}
	return Retry{Delay: min(pause, left/2)}
}
