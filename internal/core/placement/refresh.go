package placement

// When the feed is asked, and how long a part waits for a newer map. Times are
// microseconds on the caller's clock.

// Refresh decides when to ask the feed for news out of turn: many parts may find
// out at once that their map is old, and the feed must hear one question.
type Refresh struct {
	Least int64 // between two questions
	Most  int64 // after failures the pause doubles up to this

	Wanted  int64 // the newest epoch that a server has named
	Asked   int64 // when the last question went out
	Asking  bool
	Pause   int64
	Spared  int64 // questions that were not asked, for one was out or had just been
	Unmet   int   // answers in a row that did not bring what is wanted
	Started bool
}

// Want notes that a server named an epoch beyond the map's, and tells when the
// feed is to be asked: 0 for now, a time to come, or -1 for not at all.
func (r *Refresh) Want(now, epoch, have int64) (at int64) {
	r.Wanted = max(r.Wanted, epoch)
	if have >= r.Wanted {
		return -1
	}
	if r.Asking {
		r.Spared++
		return -1
	}
	if next := r.Asked + max(r.Pause, r.Least); r.Started && next > now {
		r.Spared++
		return next
	}
	r.Asking, r.Asked, r.Started = true, now, true
	return 0
}

// Came notes the end of a question, and what is held now.
func (r *Refresh) Came(have int64) {
	r.Asking = false
	if have >= r.Wanted {
		r.Pause, r.Unmet = 0, 0
		return
	}
	r.Unmet++
	r.Pause = min(max(2*r.Pause, r.Least), r.Most)
}

// MostTurns is how often one part may be turned away for not being held before it
// counts as failed.
const MostTurns = 6

// Turn is what to do with a part that a server turned away because it does not
// hold it.
type Turn struct {
	Pause  int64 // before it is routed again, microseconds; a newer map ends it
	GiveUp bool
}

// Turned decides for the n-th time (from 1) that a part was turned away. server is
// the epoch that the server named, have the map's. A server that is ahead means
// that our map is old: a newer one is on its way, wait for it. One that is not
// means that a cut is going on, or that somebody lies: try again soon, then seldom.
func Turned(n int, server, have, left int64) Turn {
	pause := int64(15000) << min(n-1, 5)
	if server > have {
		pause = 400000
	}
	if n > MostTurns || left <= 0 {
		return Turn{GiveUp: true}
	}
	return Turn{Pause: min(pause, left/2)}
}
