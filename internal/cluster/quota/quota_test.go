package quota

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const second = int64(1_000_000)

// life is a proxy that spends all that it may, as soon as it may.
type life struct {
	p     *RetryBudget
	spent []int64
}

func (l *life) spend(now, window int64, known int) (n int) {
	part := l.p.Share(now, known)
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
			cfg := Config{Total: 58, Window: 10 * second, MinProxies: 8, FirstStart: true}
			if seed%2 == 1 {
				cfg.Total, cfg.MinProxies = 160, 2
			}
			lives := make([]*life, 2+r.IntN(60))
			for i := range lives {
				lives[i] = &life{p: NewRetryBudget(0, cfg)}
			}
			cfg.FirstStart = false
			var spent []int64
			most := 0
			for now := int64(0); now < 60*second; now += second / 4 {
				switch i := r.IntN(len(lives)); r.IntN(12) {
				case 0: // starts anew, forgetting what it spent
					lives[i] = &life{p: NewRetryBudget(now, cfg)}
				case 1:
					lives = append(lives, &life{p: NewRetryBudget(now, cfg)})
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
			So(most, ShouldBeLessThanOrEqualTo, int(cfg.Total))
			any += most
		}
		So(any, ShouldBeGreaterThan, 200)
	})
	Convey("A part grows a window after others are gone, and shrinks at once", t, func() {
		p := NewRetryBudget(0, Config{Total: 58, Window: 10 * second, MinProxies: 1, FirstStart: true})
		So(p.Share(0, 9), ShouldEqual, 3)
		So(p.Share(second, 3), ShouldEqual, 3)
		So(p.Share(9*second, 3), ShouldEqual, 3)
		So(p.Share(11*second, 3), ShouldEqual, 9)
		So(p.Share(12*second, 29), ShouldEqual, 1)
	})
}
