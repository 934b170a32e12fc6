package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const second = int64(1_000_000)

// Processes live, die and are cut apart; claims travel late, twice and out of order. No
// epoch ever has two holders, nobody holds a duty of which it knows a higher epoch, work
// under an epoch is done by its holder alone, and once all is calm there is one holder.
func TestDuties(t *testing.T) {
	Convey("One holder an epoch, under random lives", t, func() {
		takeovers := 0
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 5))
			var names []string
			for i := range 2 + rng.IntN(9) {
				names = append(names, fmt.Sprintf("10.0.0.%d:7080", i))
			}
			ms := make(map[string]*Table)
			up := make(map[string]bool)
			for _, name := range names {
				ms[name], up[name] = New(name, 2*second, "sweep", "other"), true
			}
			holders := make(map[string]string) // by duty and epoch
			var mail []Claim
			sees := func(name string) []string { // what one thinks lives: mostly true
				return slices.DeleteFunc(slices.Clone(names), func(o string) bool { return o != name && (!up[o] || rng.IntN(20) == 0) })
			}
			step := func(now int64, calm bool) {
				for _, name := range names {
					if !up[name] {
						continue
					}
					list := sees(name)
					if calm {
						list = slices.DeleteFunc(slices.Clone(names), func(o string) bool { return !up[o] })
					}
					for _, c := range ms[name].Tick(now, func(string) []string { return list }) {
						key := fmt.Sprint(c.Role, c.Epoch)
						if was := holders[key]; was != "" && was != c.Holder {
							t.Fatalf("seed %d: %s and %s hold %s", seed, was, c.Holder, key)
						}
						holders[key] = c.Holder
						takeovers++
						for range names {
							mail = append(mail, c)
						}
					}
					for range rng.IntN(4) {
						if len(mail) > 0 {
							c := mail[rng.IntN(len(mail))]
							before, _ := ms[name].Holder(c.Role)
							ms[name].Observe(c)
							after, _ := ms[name].Holder(c.Role)
							if after.Epoch < before.Epoch {
								t.Fatal("an epoch went back")
							}
							if e, holds := ms[name].Holds(c.Role); holds && ms[name].IsStale(c.Role, e) {
								t.Fatal("it does work that it refuses")
							}
						}
					}
				}
			}
			now := int64(0)
			for ; now < 40*second; now += second / 2 {
				if i := rng.IntN(len(names)); rng.IntN(8) == 0 {
					if up[names[i]] = !up[names[i]]; up[names[i]] {
						ms[names[i]] = New(names[i], 2*second, "sweep", "other") // it has forgotten all
					}
				}
				step(now, false)
			}
			for _, name := range names {
				up[name] = true
			}
			for end := now + 20*second; now < end; now += second / 2 {
				step(now, true)
				for _, name := range names {
					for _, c := range mail {
						ms[name].Observe(c)
					}
				}
			}
			for _, duty := range []string{"sweep", "other"} {
				first := PreferenceOrder(duty, names)[0]
				for _, name := range names {
					c, _ := ms[name].Holder(duty)
					if c.Holder != first {
						t.Fatalf("seed %d: %s takes %s for the holder of %s, not %s", seed, name, c.Holder, duty, first)
					}
				}
			}
		}
		So(takeovers, ShouldBeGreaterThan, 1000)
	})
}
