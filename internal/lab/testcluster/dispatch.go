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

// DispatchPlan describes a measurement of fan-out queries through proxies.
type DispatchPlan struct {
	Programs        string // directory of the programs proxy, agent and controlplane
	Proxies         int
	Rate            float64 // fan-out queries per second
	Span            time.Duration
	SlowFactor      int64 // factor by which the slow servers are slowed down
	SlowConnections int   // connections of the slow caller at each proxy
	Seed            uint64
}

// Dispatch is one row of the result.
type Dispatch struct {
	With         string  `json:"with"`
	Ejection     string  `json:"regrouping"`
	Requests     int     `json:"asked"`
	P50          float64 `json:"p50_ms"`
	P99          float64 `json:"p99_ms"`
	WithinTarget float64 `json:"share_within_aim"`
	Partial      int     `json:"partial"`
	PartialEarly int     `json:"partial_within_half_the_aim"`
	Unserved     int     `json:"unserved"`
	Ejected      float64 `json:"set_apart_a_mixer"` // ejected servers per proxy at the end
}

const (
	dispatchTarget  = 100 * time.Millisecond
	dispatchTimeout = time.Second
	settleDelay     = 10 * time.Second // after a fault begins: outliers are found and earlier requests end before anything is measured
)

var shards = []string{"a", "b", "c", "d"}

const dispatchConfig = `{"revision":1,"services":[{"name":"a","max_connections":76},{"name":"b","max_connections":76},{"name":"c","max_connections":76},{"name":"d","max_connections":76},{"name":"long","max_connections":76}],
"routes":[{"hostname":"h","path_prefix":"/all/","route_type":"idempotent","timeout_ms":1000,"target_latency_ms":100,"fanout_services":["a","b","c","d"],"max_attempts":2,"result_limit":10,"min_success_ratio":0.5},
{"hostname":"h","path_prefix":"/long/","route_type":"idempotent","timeout_ms":60000,"target_latency_ms":1000,"target_service":"long","max_attempts":2}]}`

// MeasureDispatch runs two fleets side by side, one with ejection of slow servers and one without,
// under the same faults at the same time. It calls progress before each step.
func MeasureDispatch(ctx context.Context, plan DispatchPlan, progress func(done float64, what string)) ([]Dispatch, error) {
	services := demoServices()
	progress(0, "starting two fleets")
	var clusters [2]*Cluster
	for i := range clusters {
		cluster, err := Start(plan.Programs, plan.Proxies, demoOpenFiles, i == 0, services, dispatchConfig, plan.Seed)
		if err != nil {
			return nil, err
		}
		defer cluster.Close()
		clusters[i] = cluster
	}
	var out []Dispatch
	faults := []struct {
		name         string
		slow, caller bool
	}{{"nothing wrong", false, false}, {"a laggard in each shard", true, false}, {"a caller that reads 1 kB a second", false, true}, {"both", true, true}}
	for n, fault := range faults {
		progress(float64(n)/float64(len(faults)), fault.name)
		var stats [2]*ClientStats
		var ejected [2]float64
		var wait sync.WaitGroup
		for i, cluster := range clusters {
			if fault.slow {
				cluster.SetSlow(plan.SlowFactor, shards...)
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				faultCtx, end := context.WithCancel(ctx)
				defer end()
				var slow sync.WaitGroup
				if fault.caller {
					slow.Add(1)
					go func() {
						defer slow.Done()
						cluster.ReadSlowly(faultCtx, "127.250.9.9", "/long/x", plan.SlowConnections*plan.Proxies, 1000)
					}()
				}
				settleCtx, done := context.WithTimeout(faultCtx, settleDelay)
				cluster.SendRequests(settleCtx, "/all/x", plan.Rate, 18, dispatchTarget, dispatchTimeout, plan.Seed)
				done()
				measureCtx, done := context.WithTimeout(faultCtx, plan.Span)
				stats[i] = cluster.SendRequests(measureCtx, "/all/x", plan.Rate, 18, dispatchTarget, dispatchTimeout, plan.Seed+1)
				done()
				for m := range cluster.proxies {
					ejected[i] += float64(cluster.Ejected(m)) / float64(cluster.proxies)
				}
				end()
				slow.Wait()
				cluster.SetSlow(0, shards...)
			}()
		}
		wait.Wait()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		for i, s := range stats {
			out = append(out, Dispatch{With: fault.name, Ejection: []string{"off", "on"}[i], Requests: s.Requests, P50: s.QuantileMs(50), P99: s.QuantileMs(99), WithinTarget: s.WithinTargetShare(),
				Partial: s.Partial, PartialEarly: s.PartialEarly, Unserved: s.Failed, Ejected: ejected[i]})
		}
		recoverCtx, done := context.WithTimeout(ctx, 2*settleDelay) // until the slow servers are found healthy again
		for _, cluster := range clusters[:len(clusters)-1] {
			go cluster.SendRequests(recoverCtx, "/all/x", plan.Rate, 18, dispatchTarget, dispatchTimeout, plan.Seed+2)
		}
		clusters[1].SendRequests(recoverCtx, "/all/x", plan.Rate, 18, dispatchTarget, dispatchTimeout, plan.Seed+2)
		done()
	}
	return out, nil
}

// Command returns the command line of the dispatch measurement.
func Command() *cobra.Command {
	plan := DispatchPlan{Proxies: 6, Rate: 90, Span: 20 * time.Second, SlowFactor: 8, SlowConnections: 120, Seed: 1}
	var asJSON bool
	cmd := &cobra.Command{Use: "dispatch", Short: "Measure fan-out queries with slow servers and slow callers: real processes on loopback, with ejection off and on side by side", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if plan.Proxies < 1 || plan.Proxies > 9 || plan.Rate <= 0 || plan.Rate > 500 || plan.Span < time.Second || plan.Span > 10*time.Minute {
				return errors.New("--mixers: 1 to 9; --rate: above 0, at most 500; --span: 1s to 10m")
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
			fmt.Fprintln(w, "fault\tejection\trequests\tp50 ms\tp99 ms\twithin 100 ms\tpartial\tpartial within 50 ms\tfailed\tejected per proxy")
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%s\t%d\t%.0f\t%.0f\t%.3f\t%d\t%d\t%d\t%.1f\n", r.With, r.Ejection, r.Requests, r.P50, r.P99, r.WithinTarget, r.Partial, r.PartialEarly, r.Unserved, r.Ejected)
			}
			return w.Flush()
		}}
	f := cmd.Flags()
	f.IntVar(&plan.Proxies, "mixers", plan.Proxies, "proxies of each fleet")
	f.Float64Var(&plan.Rate, "rate", plan.Rate, "fan-out queries per second to each fleet")
	f.DurationVar(&plan.Span, "span", plan.Span, "measured span of each fault")
	f.StringVar(&plan.Programs, "programs", "", "directory of the built programs; default: that of this program")
	f.Int64Var(&plan.SlowFactor, "times", plan.SlowFactor, "factor by which the slow servers are slowed down")
	f.IntVar(&plan.SlowConnections, "connections", plan.SlowConnections, "connections of the slow caller at each proxy, which accepts 74 in all")
	f.Uint64Var(&plan.Seed, "seed", plan.Seed, "seed of the clients' and servers' random numbers")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}
