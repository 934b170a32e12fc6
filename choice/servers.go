package choice

// The server list, and when it is asked for.
//
//   - asking for the list (ask): where told, and after failures; against a stale list; loads the list.

import "cmp"

const (
	askShare = 0.25     // of rules.ask-within: the longest pause between asks for the list
	askFirst = 1.0 / 16 // of that: the first pause after a failure; it doubles
)

func (r *Router) list(ev List) {
	if ev.Form == Failed {
		if !r.set.AskDiscovery { // what is pushed comes by itself
			return
		}
		r.askGap = min(max(2*r.askGap, 1), Micros(float64(r.set.AskWithin)*askShare))
		r.askAt = r.now + r.askGap
		r.after(r.askGap, r.askDue)
		return
	}
	// On a watch that stands news is told now; other news may have counted as told before.
	fresh := ev.Form == Delta && r.askAt == 0
	if ev.Form != Cached {
		r.askAt, r.askGap = 0, Micros(float64(r.set.AskWithin)*askShare*askFirst)
	}
	named := make(map[string]bool, len(ev.Servers))
	for _, row := range ev.Servers {
		named[row.ID] = true
		r.row(row, ev.Form)
		if s := r.servers[row.ID]; s != nil && fresh && s.State == Draining && s.leaveAt == 0 {
			s.leaveAt = r.now + Micros(leaveShare*float64(r.set.DrainGrace)) - ev.Since
		}
	}
	if ev.Form != Delta {
		r.absent(named)
	}
}

// row takes one line. New servers and restarted ones start cold; the list tells late.
func (r *Router) row(row Server, form Form) {
	s := r.servers[row.ID]
	if s == nil {
		if row.State == Gone || row.Cell >= r.set.Cells {
			return
		}
		s = r.add(row)
		s.window = firstWindow
		from := row.UpSince
		if form == Delta && from == 0 {
			from = r.now
		}
		if from > 0 {
			r.chill(s, from)
		}
		return
	}
	restarted := row.UpSince > s.UpSince
	back := s.State == Gone && row.State == Ready
	r.become(s, row.State)
	if row.State == Gone {
		return
	}
	row.Cell = s.Cell
	s.Server = row
	if restarted {
		s.blame, s.pace = 0, 1
		clear(s.blames)
		r.chill(s, row.UpSince)
	} else if back {
		r.chill(s, r.now)
	}
}

// ask subscribes to the list and looks again later, in case no answer comes.
func (r *Router) ask() {
	r.do(Watch{On: true})
	wait := Micros(float64(r.set.AskWithin) * askShare)
	r.askGap = cmp.Or(r.askGap, Micros(float64(wait)*askFirst))
	r.askAt = r.now + wait
	r.after(wait, r.askDue)
}

func (r *Router) askDue() {
	if r.askAt != 0 && r.now >= r.askAt {
		r.ask()
	}
}
