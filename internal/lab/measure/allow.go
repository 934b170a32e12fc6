package measure

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"saddleport/internal/cluster/quota"
	"saddleport/internal/node/rpc"
)

// QuotaPlan describes a cluster in which every caller sends more requests than its allowance
// admits.
type QuotaPlan struct {
	Proxies, Callers int
	Rate, Burst      float64       // of each caller's allowance: requests per second, and burst size
	DemandFactor     float64       // demand, as a multiple of the rate
	Span             time.Duration // measured after the warm-up
	Loss             float64       // share of calls that are lost
	Seed             uint64
}

// QuotaCost is what enforcing the allowances across all proxies cost, and what was admitted.
// Bytes count bodies as sent, compressed where that makes them smaller, plus headers.
type QuotaCost struct {
	Plan          QuotaPlan
	Calls         float64 // to the lessor, per second and proxy
	Bytes         float64 // in both directions, per second and proxy
	LessorBytes   float64 // bytes per second at the proxy that runs the lessor
	Worst         float64 // most that was admitted within any ten seconds, as a share of the bound
	AdmittedShare float64 // admitted share of the allowed rate, mean over all callers
}

const (
	allowStep   = 20_000    // microseconds
	allowWarmUp = 8_000_000 // a new lessor grants nothing for one lease period; then the shares converge
	worstWindow = 10_000_000
)

// MeasureQuota simulates a plan in virtual time with the holders and the lessor of package
// quota. A message between them takes 10 to 60 ms.
func MeasureQuota(p QuotaPlan) QuotaCost {
	rng := rand.New(rand.NewPCG(p.Seed, uint64(p.Proxies)))
	var allowances []quota.Allowance
	for i := range p.Callers {
		allowances = append(allowances, quota.Allowance{Name: fmt.Sprintf("caller-%03d", i), Rate: p.Rate, Burst: p.Burst})
	}
	lessor := quota.NewLessor(0, quota.DefaultLeaseConfig, p.Proxies)
	lessor.SetAllowances(allowances)
	holders := make([]*quota.Holder, p.Proxies)
	for i := range holders {
		holders[i] = quota.NewHolder(quota.DefaultLeaseConfig)
		holders[i].SetAllowances(0, allowances)
		holders[i].SetProxies(p.Proxies)
	}
	type delivery struct {
		at int64
		do func(now int64)
	}
	var pending []delivery
	out := QuotaCost{Plan: p}
	admitted := make([][]int64, p.Callers) // admission times, by caller
	bytes, end := 0, allowWarmUp+p.Span.Microseconds()
	for now := int64(1); now < end; now += allowStep {
		measured := now >= allowWarmUp
		demand := p.Rate * p.DemandFactor * allowStep / 1e6
		for c, s := range allowances {
			for n := demand; n > rng.Float64(); n-- {
				if ok, _ := holders[rng.IntN(p.Proxies)].Admit(now, s.Name); ok && measured {
					admitted[c] = append(admitted[c], now)
				}
			}
		}
		for i, t := range holders {
			if !t.Due(now) {
				continue
			}
			sent, claims := now, t.TakeClaims(now)
			cost := wireSize(map[string]any{"f": fmt.Sprintf("10.1.0.%d:7080", i), "l": claims}) + headBytes
			if measured && i != 0 { // the first proxy runs the lessor, so its own claims cause no call
				out.Calls++
				bytes += cost
			}
			if rng.Float64() < p.Loss {
				continue
			}
			pending = append(pending, delivery{now + 10_000 + rng.Int64N(50_000), func(now int64) {
				grants := lessor.HandleClaims(now, fmt.Sprint("m", i), p.Proxies, claims)
				if measured && i != 0 {
					bytes += wireSize(map[string]any{"l": grants}) + answerBytes
				}
				if rng.Float64() >= p.Loss {
					pending = append(pending, delivery{now + 10_000 + rng.Int64N(50_000), func(now int64) { t.HandleGrants(now, sent, grants) }})
				}
			}})
		}
		due := pending
		pending = nil
		for _, m := range due {
			if m.at <= now {
				m.do(now)
			} else {
				pending = append(pending, m)
			}
		}
	}
	bound := p.Rate*worstWindow/1e6 + p.Burst + float64(p.Proxies)
	for _, times := range admitted {
		from := 0
		for i, at := range times {
			for times[from] <= at-worstWindow {
				from++
			}
			out.Worst = max(out.Worst, float64(i-from+1)/bound)
		}
		out.AdmittedShare += float64(len(times)) / p.Span.Seconds() / p.Rate / float64(p.Callers)
	}
	out.LessorBytes = float64(bytes) / p.Span.Seconds()
	out.Calls /= p.Span.Seconds() * float64(p.Proxies)
	out.Bytes = out.LessorBytes / float64(p.Proxies)
	return out
}

// wireSize is the size of a body in bytes as it is sent, compressed where that is smaller.
func wireSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return rpc.CompressedSize(b)
}
