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

// table returns the table of the allowances.
func (q *quotaClient) table() admin.Table {
	q.mu.Lock()
	defer q.mu.Unlock()
	table := admin.Table{Title: "allowance", Columns: []string{"allowance", "rate per second", "burst", "rate per second here", "for", "available now", "admitted here", "refused here"}}
	for _, status := range q.holder.Status(q.now()) {
		lease := "no lease: its part of the floor"
		if status.Lease > 0 {
			lease = admin.FormatAge(status.Lease)
		}
		table.Rows = append(table.Rows, []string{status.Name, fmt.Sprint(status.Allowance.Rate), fmt.Sprint(status.Burst), fmt.Sprintf("%.2f", status.Rate), lease,
			fmt.Sprintf("%.1f", status.Level), fmt.Sprint(status.Admitted), fmt.Sprint(status.Rejected)})
	}
	return table
}

// tables returns the tables of the routes, counters, ejections, allowances and entries.
func (p *proxy) tables(context.Context) ([]admin.Table, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	routes := admin.Table{Title: "routes: no configuration yet", Columns: []string{"host", "prefix", "kind", "target ms", "timeout ms", "attempts", "to"}}
	if plan := p.routes.Plan(); plan != nil {
		config := plan.Config
		routes.Title = fmt.Sprintf("routes of version %d (%d, of %d classes)", config.Revision, len(config.Routes), len(plan.Classes))
		for _, route := range config.Routes {
			kind, targets := "once", make([]string, 0, 1)
			if route.Idempotent {
				kind = "repeatable"
			}
			for _, backend := range route.Backends {
				targets = append(targets, fmt.Sprintf("%s:%g", backend.Service, backend.Weight))
			}
			if len(route.FanoutServices) > 0 {
				kind = fmt.Sprintf("gathered, top %d of %g", route.ResultLimit, route.MinSuccessRatio)
				targets = route.FanoutServices
			}
			routes.Rows = append(routes.Rows, []string{route.Host, route.Prefix, kind, fmt.Sprint(route.TargetLatency.Milliseconds()),
				fmt.Sprint(route.Timeout.Milliseconds()), fmt.Sprint(route.MaxAttempts), strings.Join(targets, " ")})
		}
	}
	counters := admin.Table{Title: "counters", Columns: []string{"counter", "since the start"}}
	for pair := range strings.FieldsSeq(p.exchange.Counters.String()) {
		name, value, _ := strings.Cut(pair, "=")
		counters.Rows = append(counters.Rows, []string{name, value})
	}
	counters.Rows = append(counters.Rows, []string{"unrouted_requests", fmt.Sprint(p.routes.Unrouted.Load())})
	tier := admin.Table{Title: "tier", Columns: []string{"proxies known", "share of the retry slack"},
		Rows: [][]string{{fmt.Sprint(p.proxyCount), fmt.Sprint(p.retrySlack)}}}
	return append(append([]admin.Table{routes, tier, counters}, append(p.outliers.table(), p.quotas.table())...), peer.StoreTables(p.store)...), nil
}

// evidence describes what an ejection is based on.
func evidence(ejected outlier.ActiveEjection) string {
	if ejected.LocalOnly {
		return "this proxy alone"
	}
	return fmt.Sprintf("%d proxies, %d samples", ejected.Reporters, ejected.Samples)
}

// table returns the tables of the ejected members and of the tracker.
func (t *outlierTracker) table() []admin.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	members := admin.Table{Title: "ejections: members", Columns: []string{"member", "shard", "slowdown factor", "for", "evidence"}}
	for _, ejected := range t.ejections.All() {
		members.Rows = append(members.Rows, []string{ejected.Name, ejected.Shard, fmt.Sprintf("%.1f", ejected.Ratio), admin.FormatAge(now - ejected.Since), evidence(ejected)})
	}
	assignment, counts := t.ejections.Assignment(now)
	publisher := "no assignment for over " + time.Duration(outlier.DefaultConfig.AssignmentLifetime*1000).String() + ": only local evidence counts"
	if counts {
		publisher = assignment.Publisher
	}
	slowLane := t.proxy.downstream.SlowLane
	state := admin.Table{Title: "ejections: state", Columns: []string{"published by", "requested", "suspected here", "changes", "reports sent", "in the slow lane", "rejected there"},
		Rows: [][]string{{publisher, fmt.Sprint(len(assignment.Requested)), fmt.Sprint(t.servers.Suspected() + t.callers.Suspected()), fmt.Sprint(t.changesApplied), fmt.Sprint(t.reportsSent),
			fmt.Sprintf("%d of %d", slowLane.InUse(), slowLane.MaxConns), fmt.Sprint(slowLane.Rejected.Load())}}}
	return []admin.Table{members, state}
}

// explain returns tables of what the proxy knows about a server, by its id, or a caller, by its address.
func (p *proxy) explain(about string) ([]admin.Table, error) {
	p.mu.Lock()
	entry, listed := p.store.Get(registry.Prefix + about)
	p.mu.Unlock()
	tracker := p.outliers
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	now := tracker.now()
	name, observer := about, tracker.servers
	if net.ParseIP(strings.TrimPrefix(about, agentapi.CallerPrefix)) != nil {
		name, observer = agentapi.CallerPrefix+strings.TrimPrefix(about, agentapi.CallerPrefix), tracker.callers
	}
	local, seen := observer.Describe(now, name)
	if !seen && !listed {
		return nil, rpc.Errorf(http.StatusNotFound, "%s is not a known server or caller", about)
	}
	state := "in use"
	switch ratio := tracker.ejections.Ratio(name); {
	case ratio > 0:
		state = "outlier: ejected"
	case local.SuspectedFor > 0:
		state = "suspected"
	}
	member := admin.Table{Title: name, Columns: []string{"is", "shard", "last samples", "ratio to peers' median", "score", "suspected for"},
		Rows: [][]string{{state, local.Shard, fmt.Sprint(local.Samples), fmt.Sprintf("%.1f", local.Median), fmt.Sprintf("%.1f", local.Score), admin.FormatAge(local.SuspectedFor)}}}
	rule := admin.Table{Title: "rule", Rows: [][]string{{fmt.Sprintf("suspected here from score %g; ejected from score %g of all proxies together, or locally from %g after %s",
		outlier.DefaultConfig.SuspectScore, outlier.DefaultConfig.EjectScore, outlier.DefaultConfig.EjectScore*outlier.DefaultConfig.LocalScoreFactor, admin.FormatAge(outlier.DefaultConfig.LocalEjectDelay))}}}
	tables := []admin.Table{member, rule}
	for _, ejected := range tracker.ejections.All() {
		if ejected.Name == name {
			tables = append(tables, admin.Table{Title: "ejection", Columns: []string{"slowdown factor", "for", "evidence"},
				Rows: [][]string{{fmt.Sprintf("%.1f", ejected.Ratio), admin.FormatAge(now - ejected.Since), evidence(ejected)}}})
		}
	}
	if listed {
		if registered, err := registry.Parse(entry); err == nil {
			tables = append(tables, admin.Table{Title: "registry entry", Columns: []string{"service", "address", "zone", "state", "heartbeats received by"},
				Rows: [][]string{{registered.Service, registered.Addr, registered.Zone, registered.State.String(), registered.Owner}}})
		}
	}
	return tables, nil
}
