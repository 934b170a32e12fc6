package placement

// When the feed is polled out of schedule, and how long a part waits for a newer map.
// Times are microseconds on the caller's clock.

// Refresh decides when to poll the feed, which publishes the map, ahead of schedule. Many
// parts may find out at the same time that the map is outdated; the feed must receive one
// request for all of them.
type Refresh struct {
	MinInterval int64 // between two requests
	MaxBackoff  int64 // limit of Backoff, which doubles after each unsuccessful request

	WantedEpoch int64 // the newest epoch that any server reported
	FetchedAt   int64 // when the last request was sent
	Fetching    bool  // a request is in flight
	Backoff     int64 // time between requests after an unsuccessful one; 0: the last one was successful
	Suppressed  int64 // requests not sent because one was in flight or too recent
	Unsatisfied int   // consecutive responses older than WantedEpoch
	Started     bool  // a request has been sent
}

// ObserveEpoch records that a server reported an epoch; have is the epoch of the current
// map. It returns when to poll the feed: -1 for not at all, a later time at which the
// caller must call ObserveEpoch again, or 0 for now. A 0 counts as a request in flight
// until FetchDone is called.
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

// FetchDone records the end of a request; have is the epoch of the current map after it.
// The request counts as unsuccessful if that is older than WantedEpoch.
func (r *Refresh) FetchDone(have int64) {
	r.Fetching = false
	if have >= r.WantedEpoch {
		r.Backoff, r.Unsatisfied = 0, 0
		return
	}
	r.Unsatisfied++
	r.Backoff = min(max(2*r.Backoff, r.MinInterval), r.MaxBackoff)
}

// MaxRejections is how often one part may be rejected by servers that do not store its
// range before the part counts as failed.
const MaxRejections = 6

// Retry says how to continue with a part that a server rejected because it does not
// store the part's range.
type Retry struct {
	Delay   int64 // before the part is routed again, microseconds; a newer map ends it early
	Abandon bool
}

// AfterRejection decides how to continue after the n-th rejection (from 1) of a part.
// server is the epoch that the server reported, have the epoch of the current map, left
// the time until the query's deadline. A server with a newer epoch means that this map is
// outdated and that a newer one is being fetched, so the part waits up to 400 ms for it.
// Otherwise a cutover is in progress or a server reports a wrong epoch: the part is
// retried after 15 ms, then with a delay that doubles. The delay is never more than half
// of left.
func AfterRejection(n int, server, have, left int64) Retry {
	delay := int64(15000) << min(n-1, 5)
	if server > have {
		delay = 400000
	}
	if n > MaxRejections || left <= 0 {
		return Retry{Abandon: true}
	}
	return Retry{Delay: min(delay, left/2)}
}
