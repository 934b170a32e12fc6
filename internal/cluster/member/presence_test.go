package member

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPresence(t *testing.T) {
	const kind = "k"
	type update struct {
		now, count int64
		want       EventKind
		reported   bool
	}
	Convey("The first process of a kind and the absence of all of a kind are each reported once", t, func() {
		for name, updates := range map[string][]update{
			"known, lost, known again": {{now: 10}, {20, 2, KindPresent, true}, {30, 1, 0, false}, {40, 0, KindAbsent, true}, {50, 0, 0, false}, {60, 3, KindPresent, true}},
			"never known":              {{now: 10}, {now: absenceDelay - 1}, {absenceDelay + 1, 0, KindAbsent, true}, {absenceDelay + 2, 0, 0, false}},
		} {
			p := newPresence(1)
			for i, u := range updates {
				event, reported := p.update(u.now, kind, int(u.count))
				if reported != u.reported || event != u.want {
					t.Errorf("%s, update %d: event %v, reported %v", name, i, event, reported)
				}
			}
		}
	})
}
