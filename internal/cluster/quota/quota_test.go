package quota

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const second = int64(1_000_000)

// life is a proxy that spends all that it may, as soon as it may.
type life struct {
	p     *Purse
	spent []int64
}

func (l *life) spend(now, window int64, known int) (n int) {
	part := l.p.Part(now, known)
	for len(l.spent) > 0 && now-l.spent[0] >= window {
		l.spent = l.spent[1:]
	}
	for float64(len(l.spent)) < part {
		l.spent = append(l.spent, now)
		n++
	}
	return n
}

// Proxies come, die and start anew, each knows at least half of those that live, and all
// spend what they may at once: over no window is it more than the whole.
func TestNoWindowIsOverspent(t *testing.T) {
	Convey("The whole holds under random lives", t, func() {
		any := 0
		for seed := range uint64(200) {
			r := rand.New(rand.NewPCG(seed, 7))
			cfg := Config{Whole: 58, Window: 10 * second, Least: 8, Fresh: true}
			if seed%2 == 1 {
				cfg.Whole, cfg.Least = 160, 2
			}
			lives := make([]*life, 2+r.IntN(60))
			for i := range lives {
				lives[i] = &life{p: New(0, cfg)}
			}
			cfg.Fresh = false
			var spent []int64
			most := 0
			for now := int64(0); now < 60*second; now += second / 4 {
				switch i := r.IntN(len(lives)); r.IntN(12) {
				case 0: // starts anew, forgetting what it spent
					lives[i] = &life{p: New(now, cfg)}
				case 1:
					lives = append(lives, &life{p: New(now, cfg)})
				case 2:
					if len(lives) > 2 {
						lives = append(lives[:i], lives[i+1:]...)
					}
				}
				for _, l := range lives {
					known := (len(lives)+1)/2 + r.IntN(len(lives)+3)
					for range l.spend(now, cfg.Window, known) {
						spent = append(spent, now)
					}
				}
				for len(spent) > 0 && now-spent[0] >= cfg.Window {
					spent = spent[1:]
				}
				most = max(most, len(spent))
			}
			So(most, ShouldBeLessThanOrEqualTo, int(cfg.Whole))
			any += most
		}
		So(any, ShouldBeGreaterThan, 200)
	})
	Convey("A part grows a window after others are gone, and shrinks at once", t, func() {
		p := New(0, Config{Whole: 58, Window: 10 * second, Least: 1, Fresh: true})
		So(p.Part(0, 9), ShouldEqual, 3)
		So(p.Part(second, 3), ShouldEqual, 3)
		So(p.Part(9*second, 3), ShouldEqual, 3)
		So(p.Part(11*second, 3), ShouldEqual, 9)
		So(p.Part(12*second, 29), ShouldEqual, 1)
	})
}
