package consensus

import "saddleport/internal/cluster/message"

// suspicions are who is said not to move on, by whom, and who therefore stays out of the
// chain for a while.
type suspicions struct {
	cfg   Config
	by    map[message.Member]map[message.Member]int64 // by suspect: who says so, since when
	until map[message.Member]int64
}

func newSuspicions(cfg Config) suspicions {
	return suspicions{cfg: cfg, by: make(map[message.Member]map[message.Member]int64), until: make(map[message.Member]int64)}
}

func (s *suspicions) note(now int64, by, x message.Member) {
	if s.by[x] == nil {
		s.by[x] = make(map[message.Member]int64)
	}
	s.by[x][by] = now
}

func (s *suspicions) unfit(now int64, x message.Member) bool { return now < s.until[x] }

func (s *suspicions) clear() { clear(s.by) }

// judge has suspects stay out of the chain for a while, but for one that is only held up: it
// suspects another itself, of which no fewer complain.
func (s *suspicions) judge(now int64, v message.View) {
	s.expire(now, v)
	for x, against := range s.by {
		if s.heldUp(x, len(against)) { // also where it was judged before the other was complained of
			delete(s.until, x)
		} else {
			s.until[x] = now + s.cfg.Unfit
		}
	}
}

func (s *suspicions) heldUp(x message.Member, against int) bool {
	for other, by := range s.by {
		if _, suspects := by[x]; suspects && other != x && len(by) >= against {
			return true
		}
	}
	return false
}

func (s *suspicions) expire(now int64, v message.View) {
	for x, by := range s.by {
		for other, at := range by {
			if now-at >= s.cfg.Live || !v.Has(other) {
				delete(by, other)
			}
		}
		if len(by) == 0 {
			delete(s.by, x)
		}
	}
	for x, until := range s.until {
		if now >= until {
			delete(s.until, x)
		}
	}
}
