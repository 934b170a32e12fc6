package choice

// The server list, and when it is requested.
//
//   - requests for the list (subscribe): at the start, if AskDiscovery is set, and after failures; against a
//     stale list; adds load at the list's source.

import "cmp"

const (
	listWaitShare    = 0.25     // of AskWithin: the longest pause between requests for the list
	listBackoffStart = 1.0 / 16 // share of that longest pause: the first pause after a failure; it doubles
)

// applyList applies a list or its changes. If a requested list failed, it is requested again with backoff.
func (r *Router) applyList(event List) {
	if event.Form == Failed {
		if !r.settings.AskDiscovery { // a pushed list arrives without a request
			return
		}
		r.listBackoff = min(max(2*r.listBackoff, 1), Micros(float64(r.settings.AskWithin)*listWaitShare))
		r.listRetryAt = r.now + r.listBackoff
		r.runAfter(r.listBackoff, r.subscribeIfDue)
		return
	}
	// The changes on an established subscription are at most event.Since old. Those of any other list may be
	// older, so they don't make a draining server a last resort.
	fresh := event.Form == Delta && r.listRetryAt == 0
	if event.Form != Cached {
		r.listRetryAt, r.listBackoff = 0, Micros(float64(r.settings.AskWithin)*listWaitShare*listBackoffStart)
	}
	listed := make(map[string]bool, len(event.Servers))
	for _, row := range event.Servers {
		listed[row.ID] = true
		r.applyRow(row, event.Form)
		if s := r.servers[row.ID]; s != nil && fresh && s.State == Draining && s.lastResortUntil == 0 {
			s.lastResortUntil = r.now + Micros(drainingUseShare*float64(r.settings.DrainGrace)) - event.Since
		}
	}
	if event.Form != Delta {
		r.markAbsent(listed)
	}
}

// applyRow applies one row of a list. New and restarted servers enter slow start, counted from row.UpSince if
// it is set, because lists report with a delay.
func (r *Router) applyRow(row Server, form Form) {
	s := r.servers[row.ID]
	if s == nil {
		if row.State == Gone || row.Cell >= r.settings.Cells {
			return
		}
		s = r.addServer(row)
		s.window = initialWindow
		startedAt := row.UpSince
		if form == Delta && startedAt == 0 {
			startedAt = r.now
		}
		if startedAt > 0 {
			r.startSlowStart(s, startedAt)
		}
		return
	}
	restarted := row.UpSince > s.UpSince
	returned := s.State == Gone && row.State == Ready
	r.setState(s, row.State)
	if row.State == Gone {
		return
	}
	row.Cell = s.Cell // a server stays in the cell in which it was first listed
	s.Server = row
	if restarted {
		s.faultLevel, s.latencyRatio = 0, 1
		clear(s.classFaultLevels)
		r.startSlowStart(s, row.UpSince)
	} else if returned {
		r.startSlowStart(s, r.now)
	}
}

// subscribe requests the list by a subscription to it, and sets a timer to subscribe again if no list comes.
func (r *Router) subscribe() {
	r.addAction(Watch{On: true})
	wait := Micros(float64(r.settings.AskWithin) * listWaitShare)
	r.listBackoff = cmp.Or(r.listBackoff, Micros(float64(wait)*listBackoffStart))
	r.listRetryAt = r.now + wait
	r.runAfter(wait, r.subscribeIfDue)
}

func (r *Router) subscribeIfDue() {
	if r.listRetryAt != 0 && r.now >= r.listRetryAt {
		r.subscribe()
	}
}
