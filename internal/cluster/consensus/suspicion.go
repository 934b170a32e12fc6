package consensus

import "saddleport/internal/cluster/views"

// suspicions record which members are said to make no progress, by whom, and which of them
// therefore stay out of the chain.
type suspicions struct {
	cfg            Config
	reports        map[views.Member]map[views.Member]int64 // by suspect: the reporters and when they reported
	suspectedUntil map[views.Member]int64
}

func newSuspicions(cfg Config) suspicions {
	return suspicions{cfg: cfg, reports: make(map[views.Member]map[views.Member]int64), suspectedUntil: make(map[views.Member]int64)}
}

func (s *suspicions) report(now int64, by, x views.Member) {
	if s.reports[x] == nil {
		s.reports[x] = make(map[views.Member]int64)
	}
	s.reports[x][by] = now
}

func (s *suspicions) suspected(now int64, x views.Member) bool { return now < s.suspectedUntil[x] }

func (s *suspicions) clear() { clear(s.reports) }

// evaluate keeps suspects out of the chain for a while, except a member that is itself waiting
// for another one that no fewer members suspect.
func (s *suspicions) evaluate(now int64, v views.View) {
	s.expire(now, v)
	for x, against := range s.reports {
		if s.blockedByAnother(x, len(against)) { // even if it was suspected before the other one was
			delete(s.suspectedUntil, x)
		} else {
			s.suspectedUntil[x] = now + s.cfg.SuspicionTimeout
		}
	}
}

// blockedByAnother reports whether a suspect is only waiting for another member.
func (s *suspicions) blockedByAnother(x views.Member, against int) bool {
	for other, by := range s.reports {
		if _, suspects := by[x]; suspects && other != x && len(by) >= against {
			return true
		}
	}
	return false
}

func (s *suspicions) expire(now int64, v views.View) {
	for x, by := range s.reports {
		for other, at := range by {
			if now-at >= s.cfg.FailureTimeout || !v.Has(other) {
				delete(by, other)
			}
		}
		if len(by) == 0 {
			delete(s.reports, x)
		}
	}
	for x, until := range s.suspectedUntil {
		if now >= until {
			delete(s.suspectedUntil, x)
		}
	}
}
