package role

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"saddleport/internal/cluster/lease"
	"saddleport/internal/cluster/outlier"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/node/rpc"
)

// ExplainCall asks a running process what it knows of one server or caller.
var ExplainCall = rpc.Declare[rpc.Raw, Shown]("GET", "/Explain/{name}", MaxCallBytes, "`explain`, on the same machine or from a core machine")

func RegisterExplain(mux *http.ServeMux, program, name string, start time.Time, tables func(about string) ([]Table, error)) {
	ExplainCall.On(mux, func(_ context.Context, who rpc.Named, _ rpc.Raw) (Shown, error) {
		t, err := tables(who.Name)
		return Shown{Program: program, Name: name, Up: time.Since(start).Round(time.Millisecond).String(), Tables: t}, err
	})
}

func formatAge(us int64) string {
	return time.Duration(us * int64(time.Microsecond)).Round(100 * time.Millisecond).String()
}

func evidence(a outlier.EjectedHere) string {
	if a.LocalOnly {
		return "this mixer alone"
	}
	return fmt.Sprintf("%d mixers, %d samples", a.Reporters, a.Samples)
}

// groups is the table of who is set apart.
func (f *outlierTracker) table() []Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	t := Table{Title: "groups: set apart", Columns: []string{"member", "shard", "times slow", "for", "on the evidence of"}}
	for _, a := range f.ejections.All() {
		t.Rows = append(t.Rows, []string{a.Name, a.Shard, fmt.Sprintf("%.1f", a.Ratio), formatAge(now - a.Since), evidence(a)})
	}
	said, counts := f.ejections.Assignment(now)
	council := "not heard of for over " + time.Duration(outlier.DefaultConfig.AssignmentLifetime*1000).String() + ": own evidence alone counts"
	if counts {
		council = said.By
	}
	lanes := f.proxy.downstream.Lanes
	state := Table{Title: "groups: state", Columns: []string{"council", "asked for", "doubted here", "moves", "evidence sent", "in the slow lane", "turned away there"},
		Rows: [][]string{{council, fmt.Sprint(len(said.Requested)), fmt.Sprint(f.servers.Suspected() + f.callers.Suspected()), fmt.Sprint(f.changesApplied), fmt.Sprint(f.reportsSent),
			fmt.Sprintf("%d of %d", lanes.In(), lanes.Most), fmt.Sprint(lanes.Turned.Load())}}}
	return []Table{t, state}
}

// explain tells what a proxy knows of one server or caller.
func (t *proxy) explain(about string) ([]Table, error) {
	t.mu.Lock()
	i, listed := t.store.Get(registry.Prefix + about)
	t.mu.Unlock()
	f := t.outliers
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	name, watch := about, f.servers
	if net.ParseIP(strings.TrimPrefix(about, CallerPrefix)) != nil {
		name, watch = CallerPrefix+strings.TrimPrefix(about, CallerPrefix), f.callers
	}
	own, seen := watch.Describe(now, name)
	if !seen && !listed {
		return nil, rpc.Fail(http.StatusNotFound, "%s: no server or caller that was heard of here", about)
	}
	is := "prompt"
	switch ratio := f.ejections.Ratio(name); {
	case ratio > 0:
		is = "laggard: set apart"
	case own.SuspectedFor > 0:
		is = "doubtful"
	}
	what := Table{Title: name, Columns: []string{"is", "shard", "last samples", "times its peers' middle", "score", "doubted for"},
		Rows: [][]string{{is, own.Shard, fmt.Sprint(own.Samples), fmt.Sprintf("%.1f", own.Middle), fmt.Sprintf("%.1f", own.Score), formatAge(own.SuspectedFor)}}}
	rule := Table{Title: "by which rule", Rows: [][]string{{fmt.Sprintf("doubtful here from score %g; set apart from %g of all mixers together, or alone from %g after %s",
		outlier.DefaultConfig.SuspectScore, outlier.DefaultConfig.EjectScore, outlier.DefaultConfig.EjectScore*outlier.DefaultConfig.LocalScoreFactor, formatAge(outlier.DefaultConfig.LocalEjectDelay))}}}
	out := []Table{what, rule}
	for _, a := range f.ejections.All() {
		if a.Name == name {
			out = append(out, Table{Title: "set apart", Columns: []string{"times slow", "for", "on the evidence of"},
				Rows: [][]string{{fmt.Sprintf("%.1f", a.Ratio), formatAge(now - a.Since), evidence(a)}}})
		}
	}
	if listed {
		if s, err := registry.Parse(i); err == nil {
			out = append(out, Table{Title: "as it is listed", Columns: []string{"service", "address", "zone", "state", "heard by"},
				Rows: [][]string{{s.Service, s.Addr, s.Zone, s.State.String(), s.Owner}}})
		}
	}
	return out, nil
}

// explain tells what an agent knows: the council's evidence, where it holds that.
func (b *outlierAggregator) explain(about string) ([]Table, error) {
	b.node.Mu.Lock()
	defer b.node.Mu.Unlock()
	if net.ParseIP(about) != nil {
		about = CallerPrefix + about
	}
	c, known := b.node.Members.Holder(outlier.Role)
	if words, held := b.role.Reports(b.node.Now(), about); held {
		t := Table{Title: "evidence on " + about, Columns: []string{"mixer", "told", "samples", "times its peers' middle", "score"}}
		for _, w := range words {
			t.Rows = append(t.Rows, []string{w.Proxy, formatAge(w.Age) + " ago", fmt.Sprint(w.Samples), fmt.Sprintf("%.1f", w.Middle), fmt.Sprintf("%.1f", w.Score)})
		}
		return []Table{t}, nil
	}
	if !known {
		return nil, rpc.Fail(http.StatusServiceUnavailable, "nobody is known to hold the council")
	}
	return []Table{{Title: "the council is held by", Columns: []string{"agent", "epoch"}, Rows: [][]string{{c.Holder, fmt.Sprint(lease.TermOf(c.Epoch))}}}}, nil
}

// tables are the node's and who is set apart.
func (b *outlierAggregator) tables(ctx context.Context) ([]Table, error) {
	out, err := b.node.Tables(ctx)
	b.node.Mu.Lock()
	defer b.node.Mu.Unlock()
	a := b.role.Last()
	apart, back := b.role.Counts()
	t := Table{Title: "groups: the council's last word", Columns: []string{"member", "shard", "times slow", "on the evidence of"}}
	for _, m := range a.Ejected {
		t.Rows = append(t.Rows, []string{m.Name, m.Shard, fmt.Sprintf("%.1f", m.Ratio), fmt.Sprintf("%d mixers, %d samples", m.Reporters, m.Samples)})
	}
	by := a.By
	if by == "" {
		by = "nobody yet"
	}
	moves := Table{Title: "groups: state", Columns: []string{"by", "under epoch", "word", "asked for", "set apart here", "brought back here"},
		Rows: [][]string{{by, fmt.Sprint(lease.TermOf(a.Epoch)), fmt.Sprint(a.Seq), fmt.Sprint(len(a.Requested)), fmt.Sprint(apart), fmt.Sprint(back)}}}
	return append(out, t, moves, b.quotas.table()), err
}
