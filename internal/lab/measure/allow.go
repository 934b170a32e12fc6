package measure

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"saddleport/internal/cluster/quota"
	"saddleport/internal/node/rpc"
)

// AllowPlan is a cluster whose callers all ask for more than they may.
type AllowPlan struct {
	Mixers, Callers int
	Rate, Burst     float64       // of each caller's allowance, a second
	Times           float64       // as much is asked for
	Span            time.Duration // measured, after a warm-up
	Loss            float64       // of calls
	Seed            uint64
}

// Allow is what holding the allowances together cost, and what was admitted. Bytes are
// bodies as they go, packed where that is worth it, with heads.
type Allow struct {
	Plan  AllowPlan
	Calls float64 // to the bank, a second and mixer
	Bytes float64 // both ways, the same
	Bank  float64 // bytes a second of the mixer that holds the bank
	Worst float64 // most that was admitted in ten seconds, as a share of the bound
	Share float64 // of the rate that was admitted, mean over callers
}

const (
	allowStep = 20_000    // microseconds
	allowWarm = 8_000_000 // a bank leases nothing for a lease's time, then parts settle
	tenSpan   = 10_000_000
)

// MeasureAllow plays a plan on a clock of its own. The mixers are purse's, and so is the
// bank; between them lie 10 to 60 ms.
func MeasureAllow(p AllowPlan) Allow {
	rng := rand.New(rand.NewPCG(p.Seed, uint64(p.Mixers)))
	var stated []quota.Allowance
	for i := range p.Callers {
		stated = append(stated, quota.Allowance{Name: fmt.Sprintf("caller-%03d", i), Rate: p.Rate, Burst: p.Burst})
	}
	bank := quota.NewLessor(0, quota.DefaultLeaseConfig, p.Mixers)
	bank.SetAllowances(stated)
	tills := make([]*quota.Holder, p.Mixers)
	for i := range tills {
		tills[i] = quota.NewHolder(quota.DefaultLeaseConfig)
		tills[i].SetAllowances(0, stated)
		tills[i].SetProxies(p.Mixers)
	}
	type mail struct {
		at int64
		do func(now int64)
	}
	var post []mail
	out := Allow{Plan: p}
	admitted := make([][]int64, p.Callers) // when, by caller
	bytes, end := 0, allowWarm+p.Span.Microseconds()
	for now := int64(1); now < end; now += allowStep {
		measured := now >= allowWarm
		ask := p.Rate * p.Times * allowStep / 1e6
		for c, s := range stated {
			for n := ask; n > rng.Float64(); n-- {
				if ok, _ := tills[rng.IntN(p.Mixers)].Admit(now, s.Name); ok && measured {
					admitted[c] = append(admitted[c], now)
				}
			}
		}
		for i, t := range tills {
			if !t.Due(now) {
				continue
			}
			sent, list := now, t.TakeClaims(now)
			cost := weight(map[string]any{"f": fmt.Sprintf("10.1.0.%d:7080", i), "l": list}) + headBytes
			if measured && i != 0 { // the first holds the bank: its own claims stay there
				out.Calls++
				bytes += cost
			}
			if rng.Float64() < p.Loss {
				continue
			}
			post = append(post, mail{now + 10_000 + rng.Int64N(50_000), func(now int64) {
				grants := bank.HandleClaims(now, fmt.Sprint("m", i), p.Mixers, list)
				if measured && i != 0 {
					bytes += weight(map[string]any{"l": grants}) + answerBytes
				}
				if rng.Float64() >= p.Loss {
					post = append(post, mail{now + 10_000 + rng.Int64N(50_000), func(now int64) { t.HandleGrants(now, sent, grants) }})
				}
			}})
		}
		due := post
		post = nil
		for _, m := range due {
			if m.at <= now {
				m.do(now)
			} else {
				post = append(post, m)
			}
		}
	}
	bound := p.Rate*tenSpan/1e6 + p.Burst + float64(p.Mixers)
	for _, times := range admitted {
		from := 0
		for i, at := range times {
			for times[from] <= at-tenSpan {
				from++
			}
			out.Worst = max(out.Worst, float64(i-from+1)/bound)
		}
		out.Share += float64(len(times)) / p.Span.Seconds() / p.Rate / float64(p.Callers)
	}
	out.Bank = float64(bytes) / p.Span.Seconds()
	out.Calls /= p.Span.Seconds() * float64(p.Mixers)
	out.Bytes = out.Bank / float64(p.Mixers)
	return out
}

// weight is what a body takes on the wire.
func weight(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // texts and numbers always have a form
	}
	return rpc.CompressedSize(b)
}
