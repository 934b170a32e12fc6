package app

// This file tells what of a deployment's settings makes the mixer behave differently
// from one deployment to the next. It must never decide anything: what it says is read
// from the same settings that the decisions and the two sides are given.

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"saddleport/choice"
	"saddleport/internal/source/targets"
)

// Trait is one thing in which deployments differ.
type Trait struct {
	Setting string `json:"setting"` // the platform's name for it
	Told    string `json:"told"`
	So      string `json:"so"` // what the mixer does
}

// Traits are those of a configuration, in the order in which a query meets them.
func (c *Config) Traits() (out []Trait) {
	r := c.settings.Router
	us := func(m choice.Micros) string { return (time.Duration(m) * time.Microsecond).String() }
	put := func(setting, told, so string, args ...any) {
		out = append(out, Trait{setting, told, fmt.Sprintf(so, args...)})
	}
	if c.settings.Pushed {
		put("discovery", "push", "the agent is looked at every %v, unasked; news binds from the look before on", targets.PollInterval)
	} else {
		put("discovery", "ask", "a watch is kept; without an answer the list is asked for again, %s at most between asks", us(r.AskWithin/4))
	}
	put("rules.drain-grace", us(r.DrainGrace), "nothing is begun on a server %s after its drain was told",
		max(time.Duration(r.DrainGrace)*time.Microsecond-500*time.Millisecond, 0))
	if r.MaxPartsPerCall > 1 {
		put("family-info.bundle-max", fmt.Sprint(r.MaxPartsPerCall), "parts that one server holds go to it in one call where that makes calls fewer; a call costs %s", us(r.PerCallWork))
	} else {
		put("family-info.bundle-max", fmt.Sprint(r.MaxPartsPerCall), "each part goes out by itself, to a replica of its own")
	}
	put("family-info.width", fmt.Sprintf("%d of %d cells, %d shards", r.Width, r.Cells, r.Shards), "a shard has the servers of %d cells in a row to draw from", r.Width)
	for _, t := range r.Tenants {
		put("tenants."+t.Name, fmt.Sprintf("%g/s", t.QuotaPerS), "beyond %.3g queries a second here (four seconds' worth may be saved up) it has half of each window",
			t.QuotaPerS/float64(max(r.Routers, 1)))
	}
	if len(r.Tenants) == 0 {
		put("tenants", "none", "all queries are alike; X-Customer is not looked at")
	}
	second := "one attempt of a part is out at a time; an overdue one is given up early enough for another"
	if r.ParallelAttempts {
		second = "an overdue part gets a second copy beside the first, within a budget"
	}
	put("limits.parallel-tries", fmt.Sprint(r.ParallelAttempts), "%s", second)
	put("limits.send-cap", fmt.Sprint(r.AttemptCap), "so many attempts a part")
	if r.RetryBudget {
		put("rules.extra-window", us(r.RetryBudgetWindow), "further attempts: %g and %g for each query and part taken in that span", r.RetryBudgetMin, r.RetryBudgetRatio)
	}
	for _, k := range r.Classes {
		so := "all parts are needed"
		if k.RequiredShare < 1 {
			so = fmt.Sprintf("whole with %g of its weight; one part more is asked for, the rest stand by", k.RequiredShare)
		}
		switch k.Effect {
		case choice.Unsafe:
			so += "; a part that may have run is never sent again"
		case choice.Keyed:
			so += fmt.Sprintf("; a part that may have run is sent again within %s alone", us(k.DedupWindow))
		}
		put("class "+k.Name, fmt.Sprintf("aim %s", us(k.LatencyTarget)), "%s", so)
	}
	put("rules.cold", fmt.Sprintf("%s from %g", us(r.SlowStart), r.StartCapacity), "a server that has started gets a budget until then, and %s of it at once", parts(min(r.Width, max(r.MaxPartsPerCall, 1))))
	return out
}

func parts(n int) string {
	if n == 1 {
		return "one part"
	}
	return fmt.Sprintf("%d parts", n)
}

// Explain writes the traits of a configuration as a table or as JSON.
func Explain(w io.Writer, c *Config, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(c.Traits())
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "setting\ttold\tso\t")
	for _, x := range c.Traits() {
		fmt.Fprintf(t, "%s\t%s\t%s\t\n", x.Setting, x.Told, x.So)
	}
	return t.Flush()
}
