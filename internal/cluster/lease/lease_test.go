package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const second = int64(1_000_000)

// Random schedules in which processes fail and restart, wrongly take others for dead, and receive
// claims late, repeatedly and out of order. An epoch never has two holders, no process holds a role
// for which it knows a higher epoch, and once the processes are stable each role has one holder.
func TestRoles(t *testing.T) {
	Convey("An epoch has one holder, under random failures", t, func() {
		takeovers := 0
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 5))
			var names []string
			for i := range 2 + rng.IntN(9) {
				names = append(names, fmt.Sprintf("10.0.0.%d:7080", i))
			}
			tables := make(map[string]*Table)
			alive := make(map[string]bool)
			for _, name := range names {
				tables[name], alive[name] = New(name, 2*second, "sweep", "other"), true
			}
			holders := make(map[string]string) // by role and epoch
			var claims []Claim
			believedAlive := func(name string) []string { // the processes that one takes to be alive: wrong for 1 in 20
				return slices.DeleteFunc(slices.Clone(names), func(o string) bool { return o != name && (!alive[o] || rng.IntN(20) == 0) })
			}
			step := func(now int64, stable bool) {
				for _, name := range names {
					if !alive[name] {
						continue
					}
					candidates := believedAlive(name)
					if stable {
						candidates = slices.DeleteFunc(slices.Clone(names), func(o string) bool { return !alive[o] })
					}
					for _, c := range tables[name].Tick(now, func(string) []string { return candidates }) {
						key := fmt.Sprint(c.Role, c.Epoch)
						if previous := holders[key]; previous != "" && previous != c.Holder {
							t.Fatalf("seed %d: %s and %s both hold %s", seed, previous, c.Holder, key)
						}
						holders[key] = c.Holder
						takeovers++
						for range names {
							claims = append(claims, c)
						}
					}
					for range rng.IntN(4) {
						if len(claims) > 0 {
							c := claims[rng.IntN(len(claims))]
							before, _ := tables[name].Holder(c.Role)
							tables[name].Observe(c)
							after, _ := tables[name].Holder(c.Role)
							if after.Epoch < before.Epoch {
								t.Fatal("an epoch decreased")
							}
							if e, holds := tables[name].Holds(c.Role); holds && tables[name].IsStale(c.Role, e) {
								t.Fatal("a process holds a role under an epoch that it rejects as stale")
							}
						}
					}
				}
			}
			now := int64(0)
			for ; now < 40*second; now += second / 2 {
				if i := rng.IntN(len(names)); rng.IntN(8) == 0 {
					if alive[names[i]] = !alive[names[i]]; alive[names[i]] {
						tables[names[i]] = New(names[i], 2*second, "sweep", "other") // restarted without state
					}
				}
				step(now, false)
			}
			for _, name := range names {
				alive[name] = true
			}
			for end := now + 20*second; now < end; now += second / 2 {
				step(now, true)
				for _, name := range names {
					for _, c := range claims {
						tables[name].Observe(c)
					}
				}
			}
			for _, role := range []string{"sweep", "other"} {
				first := PreferenceOrder(role, names)[0]
				for _, name := range names {
					c, _ := tables[name].Holder(role)
					if c.Holder != first {
						t.Fatalf("seed %d: %s takes %s for the holder of %s instead of %s", seed, name, c.Holder, role, first)
					}
				}
			}
		}
		So(takeovers, ShouldBeGreaterThan, 1000)
	})
}
