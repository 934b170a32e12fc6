package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"saddleport/internal/cluster/outlier"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/peer"
	"saddleport/internal/node/rpc"
)

// table shows the allowances.
func (k *quotaClient) table() admin.Table {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := admin.Table{Title: "allowance", Columns: []string{"allowance", "stated, a second", "burst", "share here, a second", "for", "at once", "admitted here", "refused here"}}
	for _, h := range k.holder.Status(k.now()) {
		lease := "no lease: its part of the floor"
		if h.Lease > 0 {
			lease = admin.FormatAge(h.Lease)
		}
		t.Rows = append(t.Rows, []string{h.Name, fmt.Sprint(h.Allowance.Rate), fmt.Sprint(h.Burst), fmt.Sprintf("%.2f", h.Rate), lease,
			fmt.Sprintf("%.1f", h.Level), fmt.Sprint(h.Admitted), fmt.Sprint(h.Rejected)})
	}
	return t
}

func (t *proxy) tables(context.Context) ([]admin.Table, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	routes := admin.Table{Title: "routes: no configuration yet", Columns: []string{"host", "prefix", "kind", "target ms", "timeout ms", "attempts", "to"}}
	if p := t.routes.Plan(); p != nil {
		c := p.Config
		routes.Title = fmt.Sprintf("routes of version %d (%d, of %d classes)", c.Revision, len(c.Routes), len(p.Classes))
		for _, r := range c.Routes {
			kind, to := "once", make([]string, 0, 1)
			if r.Idempotent {
				kind = "repeatable"
			}
			for _, b := range r.Backends {
				to = append(to, fmt.Sprintf("%s:%g", b.Service, b.Weight))
			}
			if len(r.FanoutServices) > 0 {
				kind = fmt.Sprintf("gathered, top %d of %g", r.ResultLimit, r.MinSuccessRatio)
				to = r.FanoutServices
			}
			routes.Rows = append(routes.Rows, []string{r.Host, r.Prefix, kind, fmt.Sprint(r.TargetLatency.Milliseconds()),
				fmt.Sprint(r.Timeout.Milliseconds()), fmt.Sprint(r.MaxAttempts), strings.Join(to, " ")})
		}
	}
	count := admin.Table{Title: "counters", Columns: []string{"counter", "since the start"}}
	for pair := range strings.FieldsSeq(t.exchange.Counters.String()) {
		name, value, _ := strings.Cut(pair, "=")
		count.Rows = append(count.Rows, []string{name, value})
	}
	count.Rows = append(count.Rows, []string{"unrouted_requests", fmt.Sprint(t.routes.Unrouted.Load())})
	tier := admin.Table{Title: "tier", Columns: []string{"proxies known", "of the retry slack"},
		Rows: [][]string{{fmt.Sprint(t.proxyCount), fmt.Sprint(t.retrySlack)}}}
	return append(append([]admin.Table{routes, tier, count}, append(t.outliers.table(), t.quotas.table())...), peer.StoreTables(t.store)...), nil
}

func evidence(a outlier.ActiveEjection) string {
	if a.LocalOnly {
		return "this proxy alone"
	}
	return fmt.Sprintf("%d proxies, %d samples", a.Reporters, a.Samples)
}

// table shows the ejected members.
func (f *outlierTracker) table() []admin.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	t := admin.Table{Title: "ejections: members", Columns: []string{"member", "shard", "times slow", "for", "on the evidence of"}}
	for _, a := range f.ejections.All() {
		t.Rows = append(t.Rows, []string{a.Name, a.Shard, fmt.Sprintf("%.1f", a.Ratio), admin.FormatAge(now - a.Since), evidence(a)})
	}
	assignment, counts := f.ejections.Assignment(now)
	publisher := "not heard of for over " + time.Duration(outlier.DefaultConfig.AssignmentLifetime*1000).String() + ": own evidence alone counts"
	if counts {
		publisher = assignment.Publisher
	}
	lanes := f.proxy.downstream.SlowLane
	state := admin.Table{Title: "ejections: state", Columns: []string{"published by", "requested", "suspected here", "changes", "reports sent", "in the slow lane", "rejected there"},
		Rows: [][]string{{publisher, fmt.Sprint(len(assignment.Requested)), fmt.Sprint(f.servers.Suspected() + f.callers.Suspected()), fmt.Sprint(f.changesApplied), fmt.Sprint(f.reportsSent),
			fmt.Sprintf("%d of %d", lanes.InUse(), lanes.MaxConns), fmt.Sprint(lanes.Rejected.Load())}}}
	return []admin.Table{t, state}
}

// explain shows what the proxy knows of one server or caller.
func (t *proxy) explain(about string) ([]admin.Table, error) {
	t.mu.Lock()
	i, listed := t.store.Get(registry.Prefix + about)
	t.mu.Unlock()
	f := t.outliers
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	name, watch := about, f.servers
	if net.ParseIP(strings.TrimPrefix(about, agentapi.CallerPrefix)) != nil {
		name, watch = agentapi.CallerPrefix+strings.TrimPrefix(about, agentapi.CallerPrefix), f.callers
	}
	own, seen := watch.Describe(now, name)
	if !seen && !listed {
		return nil, rpc.Errorf(http.StatusNotFound, "%s: no server or caller that was heard of here", about)
	}
	is := "in use"
	switch ratio := f.ejections.Ratio(name); {
	case ratio > 0:
		is = "outlier: ejected"
	case own.SuspectedFor > 0:
		is = "suspected"
	}
	what := admin.Table{Title: name, Columns: []string{"is", "shard", "last samples", "times its peers' middle", "score", "doubted for"},
		Rows: [][]string{{is, own.Shard, fmt.Sprint(own.Samples), fmt.Sprintf("%.1f", own.Median), fmt.Sprintf("%.1f", own.Score), admin.FormatAge(own.SuspectedFor)}}}
	rule := admin.Table{Title: "by which rule", Rows: [][]string{{fmt.Sprintf("suspected here from score %g; ejected from %g of all proxies together, or locally from %g after %s",
		outlier.DefaultConfig.SuspectScore, outlier.DefaultConfig.EjectScore, outlier.DefaultConfig.EjectScore*outlier.DefaultConfig.LocalScoreFactor, admin.FormatAge(outlier.DefaultConfig.LocalEjectDelay))}}}
	out := []admin.Table{what, rule}
	for _, a := range f.ejections.All() {
		if a.Name == name {
			out = append(out, admin.Table{Title: "set apart", Columns: []string{"times slow", "for", "on the evidence of"},
				Rows: [][]string{{fmt.Sprintf("%.1f", a.Ratio), admin.FormatAge(now - a.Since), evidence(a)}}})
		}
	}
	if listed {
		if s, err := registry.Parse(i); err == nil {
			out = append(out, admin.Table{Title: "as it is listed", Columns: []string{"service", "address", "zone", "state", "heard by"},
				Rows: [][]string{{s.Service, s.Addr, s.Zone, s.State.String(), s.Owner}}})
		}
	}
	return out, nil
}
