package app

// This file explains which settings make the proxy behave differently from one deployment to
// the next. It makes no decisions: it reads the same settings that the decision logic and the
// downstream and upstream connections get.

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"saddleport/choice"
	"saddleport/internal/source/targets"
)

// SettingEffect explains how one setting changes the proxy's behaviour.
type SettingEffect struct {
	Setting   string `json:"setting"` // the platform's name of the setting
	Value     string `json:"told"`
	Behaviour string `json:"so"`
}

// SettingEffects returns the effects of a configuration, in the order in which they apply to a
// query.
func (c *Config) SettingEffects() (out []SettingEffect) {
	router := c.settings.Router
	duration := func(m choice.Micros) string { return (time.Duration(m) * time.Microsecond).String() }
	add := func(setting, value, behaviour string, args ...any) {
		out = append(out, SettingEffect{setting, value, fmt.Sprintf(behaviour, args...)})
	}
	if c.settings.Pushed {
		add("discovery", "push", "the agent is polled every %v; a change counts from the time of the previous poll", targets.PollInterval)
	} else {
		add("discovery", "ask", "a watch stays open; without an answer the list is requested again, at most %s after the last request", duration(router.AskWithin/4))
	}
	add("rules.drain-grace", duration(router.DrainGrace), "no attempt starts on a server later than %s after its drain was announced",
		max(time.Duration(router.DrainGrace)*time.Microsecond-500*time.Millisecond, 0))
	if router.MaxPartsPerCall > 1 {
		add("family-info.bundle-max", fmt.Sprint(router.MaxPartsPerCall), "parts that the same server stores are sent in one call where that reduces the number of calls; a call costs %s", duration(router.PerCallWork))
	} else {
		add("family-info.bundle-max", fmt.Sprint(router.MaxPartsPerCall), "each part is sent in a call of its own, to its own replica")
	}
	add("family-info.width", fmt.Sprintf("%d of %d cells, %d shards", router.Width, router.Cells, router.Shards), "the replica of a shard is selected among the servers of %d consecutive cells", router.Width)
	for _, t := range router.Tenants {
		add("tenants."+t.Name, fmt.Sprintf("%g/s", t.QuotaPerS), "above %.3g queries a second at this proxy (four seconds of the quota can accumulate) the tenant gets half of each window",
			t.QuotaPerS/float64(max(router.Routers, 1)))
	}
	if len(router.Tenants) == 0 {
		add("tenants", "none", "all queries are treated alike; X-Customer is ignored")
	}
	parallel := "one attempt of a part is in flight at a time; an overdue one is cancelled early enough for another"
	if router.ParallelAttempts {
		parallel = "an overdue part gets a hedged request beside the first attempt, within a budget"
	}
	add("limits.parallel-tries", fmt.Sprint(router.ParallelAttempts), "%s", parallel)
	add("limits.send-cap", fmt.Sprint(router.AttemptCap), "the maximum number of attempts for a part")
	if router.RetryBudget {
		add("rules.extra-window", duration(router.RetryBudgetWindow), "budget of retries and hedges in this time: %g, and %g for each query and part accepted", router.RetryBudgetMin, router.RetryBudgetRatio)
	}
	for _, class := range router.Classes {
		behaviour := "all parts are needed"
		if class.RequiredShare < 1 {
			behaviour = fmt.Sprintf("complete with %g of the weight; one additional part is requested, the others are in reserve", class.RequiredShare)
		}
		switch class.Effect {
		case choice.Unsafe:
			behaviour += "; a part that may have run is never retried"
		case choice.Keyed:
			behaviour += fmt.Sprintf("; a part that may have run is retried within %s only", duration(class.DedupWindow))
		}
		add("class "+class.Name, fmt.Sprintf("latency target %s", duration(class.LatencyTarget)), "%s", behaviour)
	}
	add("rules.cold", fmt.Sprintf("%s from %g", duration(router.SlowStart), router.StartCapacity), "a server that has just started has a budget until then, and may get %s of it at once", parts(min(router.Width, max(router.MaxPartsPerCall, 1))))
	return out
}

func parts(n int) string {
	if n == 1 {
		return "one part"
	}
	return fmt.Sprintf("%d parts", n)
}

// Explain prints the setting effects of a configuration, as a table or as JSON.
func Explain(w io.Writer, c *Config, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(c.SettingEffects())
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "setting\tvalue\tbehaviour\t")
	for _, effect := range c.SettingEffects() {
		fmt.Fprintf(table, "%s\t%s\t%s\t\n", effect.Setting, effect.Value, effect.Behaviour)
	}
	return table.Flush()
}
