package quota

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const second = int64(1_000_000)

// spender is a proxy that spends its complete share as early as possible.
type spender struct {
	budget *RetryBudget
	spent  []int64
}

func (s *spender) spendAll(now, window int64, known int) (n int) {
	share := s.budget.Share(now, known)
	for len(s.spent) > 0 && now-s.spent[0] >= window {
		s.spent = s.spent[1:]
	}
	for float64(len(s.spent)) < share {
		s.spent = append(s.spent, now)
		n++
	}
	return n
}

// Proxies start, die and restart; each knows at least half of the live ones and spends its share as
// early as possible. In no window may they spend more than the total.
func TestNoWindowIsOverspent(t *testing.T) {
	Convey("The total is not exceeded under random starts, deaths and restarts", t, func() {
		total := 0
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 7))
			cfg := Config{Total: 58, Window: 10 * second, MinProxies: 8, FirstStart: true}
			if seed%2 == 1 {
				cfg.Total, cfg.MinProxies = 160, 2
			}
			spenders := make([]*spender, 2+rng.IntN(60))
			for i := range spenders {
				spenders[i] = &spender{budget: NewRetryBudget(0, cfg)}
			}
			cfg.FirstStart = false
			var spent []int64
			maxSpent := 0
			for now := int64(0); now < 60*second; now += second / 4 {
				switch i := rng.IntN(len(spenders)); rng.IntN(12) {
				case 0: // a restart, which loses the record of what was spent
					spenders[i] = &spender{budget: NewRetryBudget(now, cfg)}
				case 1:
					spenders = append(spenders, &spender{budget: NewRetryBudget(now, cfg)})
				case 2:
					if len(spenders) > 2 {
						spenders = append(spenders[:i], spenders[i+1:]...)
					}
				}
				for _, s := range spenders {
					known := (len(spenders)+1)/2 + rng.IntN(len(spenders)+3)
					for range s.spendAll(now, cfg.Window, known) {
						spent = append(spent, now)
					}
				}
				for len(spent) > 0 && now-spent[0] >= cfg.Window {
					spent = spent[1:]
				}
				maxSpent = max(maxSpent, len(spent))
			}
			So(maxSpent, ShouldBeLessThanOrEqualTo, int(cfg.Total))
			total += maxSpent
		}
		So(total, ShouldBeGreaterThan, 200)
	})
	Convey("A share grows one window after other proxies have left, and shrinks at once", t, func() {
		budget := NewRetryBudget(0, Config{Total: 58, Window: 10 * second, MinProxies: 1, FirstStart: true})
		So(budget.Share(0, 9), ShouldEqual, 3)
		So(budget.Share(second, 3), ShouldEqual, 3)
		So(budget.Share(9*second, 3), ShouldEqual, 3)
		So(budget.Share(11*second, 3), ShouldEqual, 9)
		So(budget.Share(12*second, 29), ShouldEqual, 1)
	})
}
