package member

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPresence(t *testing.T) {
	const kind = "k"
	type look struct {
		now, count int64
		want       EventKind
		reported   bool
	}
	Convey("The first of a kind and the absence of a whole kind are reported, each once", t, func() {
		for name, looks := range map[string][]look{
			"met, lost, met again": {{now: 10}, {20, 2, KindPresent, true}, {30, 1, 0, false}, {40, 0, KindAbsent, true}, {50, 0, 0, false}, {60, 3, KindPresent, true}},
			"never met":            {{now: 10}, {now: absenceDelay - 1}, {absenceDelay + 1, 0, KindAbsent, true}, {absenceDelay + 2, 0, 0, false}},
		} {
			p := newPresence(1)
			for i, l := range looks {
				kindOf, reported := p.update(l.now, kind, int(l.count))
				if reported != l.reported || kindOf != l.want {
					t.Errorf("%s, look %d: %v %v", name, i, kindOf, reported)
				}
			}
		}
	})
}
