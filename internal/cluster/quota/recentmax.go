package quota

// recentMax tracks the largest of the counts that were observed within a window. A count that is
// followed by an equal or larger one is dropped, so the counts decrease and the first one is the
// largest.
type recentMax []timedCount

// timedCount is a number of known proxies, and when it was last observed.
type timedCount struct {
	proxies int
	at      int64 // microseconds
}

// observe adds a count and returns the largest one in the window that ends now.
func (r *recentMax) observe(now, window int64, proxies int) int {
	counts := *r
	for len(counts) > 0 && counts[len(counts)-1].proxies <= proxies {
		counts = counts[:len(counts)-1]
	}
	counts = append(counts, timedCount{proxies, now})
	for len(counts) > 1 && now-counts[0].at > window {
		counts = counts[1:]
	}
	if len(counts) > 1 && counts[0].at > counts[1].at {
		panic("invariant violated: counts are not ordered by time")
	}
	*r = counts
	return counts[0].proxies
}
