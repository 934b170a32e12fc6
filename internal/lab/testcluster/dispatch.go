package testcluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"saddleport/internal/lab/show"
)

// DispatchPlan says what is measured of dispatchers' gathers.
type DispatchPlan struct {
	Programs        string // folder of the programs proxy, agent and controlplane
	Proxies         int
	Rate            float64 // gathers a second
	Span            time.Duration
	SlowFactor      int64 // so many times slow the laggards are
	SlowConnections int   // of the slow caller at each mixer
	Seed            uint64
}

// Dispatch is one row of what was measured.
type Dispatch struct {
	With     string  `json:"with"`
	Groups   string  `json:"regrouping"`
	Asked    int     `json:"asked"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	InAim    float64 `json:"share_within_aim"`
	Partial  int     `json:"partial"`
	Early    int     `json:"partial_within_half_the_aim"`
	Unserved int     `json:"unserved"`
	Ejected  float64 `json:"set_apart_a_mixer"` // at the end
}

const (
	dispatchAim = 100 * time.Millisecond
	dispatchMax = time.Second
	settleDelay = 10 * time.Second // after a fault begins: outliers are found and earlier requests end before anything is measured
)

var shards = []string{"a", "b", "c", "d"}

const dispatchConfig = `{"revision":1,"services":[{"name":"a","max_connections":76},{"name":"b","max_connections":76},{"name":"c","max_connections":76},{"name":"d","max_connections":76},{"name":"long","max_connections":76}],
"routes":[{"hostname":"h","path_prefix":"/all/","route_type":"idempotent","timeout_ms":1000,"target_latency_ms":100,"fanout_services":["a","b","c","d"],"max_attempts":2,"result_limit":10,"min_success_ratio":0.5},
{"hostname":"h","path_prefix":"/long/","route_type":"idempotent","timeout_ms":60000,"target_latency_ms":1000,"target_service":"long","max_attempts":2}]}`

// MeasureDispatch runs two fleets side by side, one with regrouping and one without, under
// the same troubles at the same time.
func MeasureDispatch(ctx context.Context, plan DispatchPlan, step func(done float64, what string)) ([]Dispatch, error) {
	services := demoServices()
	step(0, "two fleets start")
	var clusters [2]*Cluster
	for i := range clusters {
		y, err := Start(plan.Programs, plan.Proxies, demoOpenFiles, i == 0, services, dispatchConfig, plan.Seed)
		if err != nil {
			return nil, err
		}
		defer y.Close()
		clusters[i] = y
	}
	var out []Dispatch
	faults := []struct {
		name         string
		slow, caller bool
	}{{"nothing wrong", false, false}, {"a laggard in each shard", true, false}, {"a caller that reads 1 kB a second", false, true}, {"both", true, true}}
	for n, fault := range faults {
		step(float64(n)/float64(len(faults)), fault.name)
		var seen [2]*Seen
		var apart [2]float64
		var wait sync.WaitGroup
		for i, y := range clusters {
			if fault.slow {
				y.Slow(plan.SlowFactor, shards...)
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				life, end := context.WithCancel(ctx)
				defer end()
				var slow sync.WaitGroup
				if fault.caller {
					slow.Add(1)
					go func() {
						defer slow.Done()
						y.ReadSlowly(life, "127.250.9.9", "/long/x", plan.SlowConnections*plan.Proxies, 1000)
					}()
				}
				first, done := context.WithTimeout(life, settleDelay)
				y.Ask(first, "/all/x", plan.Rate, 18, dispatchAim, dispatchMax, plan.Seed)
				done()
				then, done := context.WithTimeout(life, plan.Span)
				seen[i] = y.Ask(then, "/all/x", plan.Rate, 18, dispatchAim, dispatchMax, plan.Seed+1)
				done()
				for m := range y.proxies {
					apart[i] += float64(y.Ejected(m)) / float64(y.proxies)
				}
				end()
				slow.Wait()
				y.Slow(0, shards...)
			}()
		}
		wait.Wait()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		for i, s := range seen {
			out = append(out, Dispatch{With: fault.name, Groups: []string{"off", "on"}[i], Asked: s.Asked, P50: s.Ms(50), P99: s.Ms(99), InAim: s.Share(),
				Partial: s.Partial, Early: s.PartialEarly, Unserved: s.Failed, Ejected: apart[i]})
		}
		rest, done := context.WithTimeout(ctx, 2*settleDelay) // who lagged is found well again
		for _, y := range clusters[:len(clusters)-1] {
			go y.Ask(rest, "/all/x", plan.Rate, 18, dispatchAim, dispatchMax, plan.Seed+2)
		}
		clusters[1].Ask(rest, "/all/x", plan.Rate, 18, dispatchAim, dispatchMax, plan.Seed+2)
		done()
	}
	return out, nil
}

// Command is the measurement's command line.
func Command() *cobra.Command {
	plan := DispatchPlan{Proxies: 6, Rate: 90, Span: 20 * time.Second, SlowFactor: 8, SlowConnections: 120, Seed: 1}
	var asJSON bool
	cmd := &cobra.Command{Use: "dispatch", Short: "What dispatchers' gathers see with laggards among servers and callers: real processes on loopback, regrouping off and on side by side", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if plan.Proxies < 1 || plan.Proxies > 9 || plan.Rate <= 0 || plan.Rate > 500 || plan.Span < time.Second || plan.Span > 10*time.Minute {
				return errors.New("mixers: 1 to 9, rate: up to 500, span: a second to ten minutes")
			}
			if plan.Programs == "" {
				self, err := os.Executable()
				if err != nil {
					return err
				}
				plan.Programs = filepath.Dir(self)
			}
			bar := show.NewBar(os.Stderr, "measure")
			rows, err := MeasureDispatch(c.Context(), plan, bar.Set)
			bar.End()
			if err != nil {
				return err
			}
			if asJSON {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", "  ")
				return e.Encode(rows)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "with\tregrouping\tasked\tp50 ms\tp99 ms\twithin 100 ms\tpartial\twithin 50 ms\tunserved\tset apart")
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%s\t%d\t%.0f\t%.0f\t%.3f\t%d\t%d\t%d\t%.1f\n", r.With, r.Groups, r.Asked, r.P50, r.P99, r.InAim, r.Partial, r.Early, r.Unserved, r.Ejected)
			}
			return w.Flush()
		}}
	f := cmd.Flags()
	f.IntVar(&plan.Proxies, "mixers", plan.Proxies, "of each fleet")
	f.Float64Var(&plan.Rate, "rate", plan.Rate, "gathers a second at each fleet")
	f.DurationVar(&plan.Span, "span", plan.Span, "measured of each trouble")
	f.StringVar(&plan.Programs, "programs", "", "where the built programs are; else beside this one")
	f.Int64Var(&plan.SlowFactor, "times", plan.SlowFactor, "how many times slow the laggards among the servers are")
	f.IntVar(&plan.SlowConnections, "connections", plan.SlowConnections, "of the slow caller at each mixer, which has room for 74 in all")
	f.Uint64Var(&plan.Seed, "seed", plan.Seed, "of the clients' and servers' luck")
	f.BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}
