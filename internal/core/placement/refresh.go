package placement

// When the feed is polled out of schedule, and how long a part waits for a newer map.
// Times are microseconds on the caller's clock.

// Refresh decides when to poll the feed ahead of schedule. Many parts may find out at
// the same time that their map is outdated; the feed must receive one request for all
// of them.
type Refresh struct {
	MinInterval int64 // between two requests
	MaxBackoff  int64 // limit of Backoff, which doubles after each unsuccessful request

	WantedEpoch int64 // the newest epoch that any server reported
	FetchedAt   int64 // when the last request was sent
	Fetching    bool
	Backoff     int64
	Suppressed  int64 // requests not sent because one was in flight or too recent
	Unsatisfied int   // consecutive responses older than WantedEpoch
	Started     bool  // a request has been sent
}

// ObserveEpoch records that a server reported an epoch; have is the map's. It returns
// when to poll the feed: 0 for now, a later time, or -1 for not at all.
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

// FetchDone records the end of a request; have is the map's epoch after it.
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
// server is the epoch that the server reported, have the map's, left the time until
// the query's deadline. A server with a newer epoch means that this map is outdated
// and a newer one is on its way, so the part waits for it. Otherwise a cutover is in
// progress or a server reports a wrong epoch: the part is retried soon, then with
// backoff.
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
