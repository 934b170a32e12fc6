package consensus

import "saddleport/internal/cluster/views"

// suspicions tracks which members were reported to make no progress and by which other members,
// and which of them are therefore excluded from the chain.
type suspicions struct {
	cfg            Config
	reports        map[views.Member]map[views.Member]int64 // by suspect and reporter: the time of the last report
	suspectedUntil map[views.Member]int64
}

func newSuspicions(cfg Config) suspicions {
	return suspicions{cfg: cfg, reports: make(map[views.Member]map[views.Member]int64), suspectedUntil: make(map[views.Member]int64)}
}

// report records that reporter sees suspect make no progress.
func (s *suspicions) report(now int64, reporter, suspect views.Member) {
	if s.reports[suspect] == nil {
		s.reports[suspect] = make(map[views.Member]int64)
	}
	s.reports[suspect][reporter] = now
}

func (s *suspicions) suspected(now int64, x views.Member) bool { return now < s.suspectedUntil[x] }

// clear removes all reports. Members that are already suspected stay so until suspectedUntil.
func (s *suspicions) clear() { clear(s.reports) }

// evaluate excludes reported members from the chain for SuspicionTimeout, except those that are
// only waiting for another member.
func (s *suspicions) evaluate(now int64, v views.View) {
	s.expire(now, v)
	for x, reporters := range s.reports {
		if s.blockedByAnother(x, len(reporters)) {
			delete(s.suspectedUntil, x) // x may be suspected since before the other member was reported; that suspicion ends
		} else {
			s.suspectedUntil[x] = now + s.cfg.SuspicionTimeout
		}
	}
}

// blockedByAnother reports whether suspect x is only waiting for another member: x itself has
// reported another member, and that member was reported by at least reportCount members, the
// number of reports against x. Two members that report each other, with equally many reports
// against each, are therefore both blocked and neither is suspected.
func (s *suspicions) blockedByAnother(x views.Member, reportCount int) bool {
	for other, reporters := range s.reports {
		if _, suspects := reporters[x]; suspects && other != x && len(reporters) >= reportCount {
			return true
		}
	}
	return false
}

// expire removes reports that are older than the failure timeout or whose reporter is no member
// of view v, and suspicions that have ended.
func (s *suspicions) expire(now int64, v views.View) {
	for x, reporters := range s.reports {
		for reporter, at := range reporters {
			if now-at >= s.cfg.FailureTimeout || !v.Has(reporter) {
				delete(reporters, reporter)
			}
		}
		if len(reporters) == 0 {
			delete(s.reports, x)
		}
	}
	for x, until := range s.suspectedUntil {
		if now >= until {
			delete(s.suspectedUntil, x)
		}
	}
}
