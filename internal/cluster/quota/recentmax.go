package quota

// recentMax is the largest of the counts that were observed within a window. Counts that a
// later and larger one covers are dropped, so the first one is the largest.
type recentMax []proxyCount

// proxyCount is how many proxies were known, and when there were last so many.
type proxyCount struct {
	n  int
	at int64 // microseconds
}

// observe adds a count and returns the largest one of the window that ends now.
func (r *recentMax) observe(now, window int64, n int) int {
	counts := *r
	for len(counts) > 0 && counts[len(counts)-1].n <= n {
		counts = counts[:len(counts)-1]
	}
	counts = append(counts, proxyCount{n, now})
	for len(counts) > 1 && now-counts[0].at > window {
		counts = counts[1:]
	}
	if len(counts) > 1 && counts[0].at > counts[1].at {
		panic("invariant: counts out of order")
	}
	*r = counts
	return counts[0].n
}
