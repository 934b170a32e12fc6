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
var ExplainCall = rpc.Declare[rpc.Raw, Shown]("GET", "/Explain/{name}", mostCall, "`explain`, on the same machine or from a core machine")

func onExplain(mux *http.ServeMux, program, name string, start time.Time, tables func(about string) ([]Table, error)) {
	ExplainCall.On(mux, func(_ context.Context, who rpc.Named, _ rpc.Raw) (Shown, error) {
		t, err := tables(who.Name)
		return Shown{Program: program, Name: name, Up: time.Since(start).Round(time.Millisecond).String(), Tables: t}, err
	})
}

func ago(us int64) string {
	return time.Duration(us * int64(time.Microsecond)).Round(100 * time.Millisecond).String()
}

func evidence(a outlier.EjectedHere) string {
	if a.LocalOnly {
		return "this mixer alone"
	}
	return fmt.Sprintf("%d mixers, %d samples", a.Reporters, a.Samples)
}

// groups is the table of who is set apart.
func (f *flock) table() []Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	t := Table{Title: "groups: set apart", Head: []string{"member", "shard", "times slow", "for", "on the evidence of"}}
	for _, a := range f.groups.All() {
		t.Rows = append(t.Rows, []string{a.Name, a.Shard, fmt.Sprintf("%.1f", a.Ratio), ago(now - a.Since), evidence(a)})
	}
	said, counts := f.groups.Assignment(now)
	council := "not heard of for over " + time.Duration(outlier.DefaultConfig.AssignmentLifetime*1000).String() + ": own evidence alone counts"
	if counts {
		council = said.By
	}
	lanes := f.t.front.Lanes
	state := Table{Title: "groups: state", Head: []string{"council", "asked for", "doubted here", "moves", "evidence sent", "in the slow lane", "turned away there"},
		Rows: [][]string{{council, fmt.Sprint(len(said.Requested)), fmt.Sprint(f.servers.Suspected() + f.callers.Suspected()), fmt.Sprint(f.moved), fmt.Sprint(f.sent),
			fmt.Sprintf("%d of %d", lanes.In(), lanes.Most), fmt.Sprint(lanes.Turned.Load())}}}
	return []Table{t, state}
}

// explain tells what a proxy knows of one server or caller.
func (t *tide) explain(about string) ([]Table, error) {
	t.mu.Lock()
	i, listed := t.book.Get(registry.Prefix + about)
	t.mu.Unlock()
	f := t.flock
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	name, watch := about, f.servers
	if net.ParseIP(strings.TrimPrefix(about, callerName)) != nil {
		name, watch = callerName+strings.TrimPrefix(about, callerName), f.callers
	}
	own, seen := watch.Describe(now, name)
	if !seen && !listed {
		return nil, rpc.Fail(http.StatusNotFound, "%s: no server or caller that was heard of here", about)
	}
	is := "prompt"
	switch ratio := f.groups.Ratio(name); {
	case ratio > 0:
		is = "laggard: set apart"
	case own.SuspectedFor > 0:
		is = "doubtful"
	}
	what := Table{Title: name, Head: []string{"is", "shard", "last samples", "times its peers' middle", "score", "doubted for"},
		Rows: [][]string{{is, own.Shard, fmt.Sprint(own.Samples), fmt.Sprintf("%.1f", own.Middle), fmt.Sprintf("%.1f", own.Score), ago(own.SuspectedFor)}}}
	rule := Table{Title: "by which rule", Rows: [][]string{{fmt.Sprintf("doubtful here from score %g; set apart from %g of all mixers together, or alone from %g after %s",
		outlier.DefaultConfig.SuspectScore, outlier.DefaultConfig.EjectScore, outlier.DefaultConfig.EjectScore*outlier.DefaultConfig.LocalScoreFactor, ago(outlier.DefaultConfig.LocalEjectDelay))}}}
	out := []Table{what, rule}
	for _, a := range f.groups.All() {
		if a.Name == name {
			out = append(out, Table{Title: "set apart", Head: []string{"times slow", "for", "on the evidence of"},
				Rows: [][]string{{fmt.Sprintf("%.1f", a.Ratio), ago(now - a.Since), evidence(a)}}})
		}
	}
	if listed {
		if s, err := registry.Parse(i); err == nil {
			out = append(out, Table{Title: "as it is listed", Head: []string{"service", "address", "zone", "state", "heard by"},
				Rows: [][]string{{s.Service, s.Addr, s.Zone, s.State.String(), s.Owner}}})
		}
	}
	return out, nil
}

// explain tells what an agent knows: the council's evidence, where it holds that.
func (b *bench) explain(about string) ([]Table, error) {
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	if net.ParseIP(about) != nil {
		about = callerName + about
	}
	c, known := b.n.kin.Holder(outlier.Role)
	if words, held := b.seat.Reports(b.n.now(), about); held {
		t := Table{Title: "evidence on " + about, Head: []string{"mixer", "told", "samples", "times its peers' middle", "score"}}
		for _, w := range words {
			t.Rows = append(t.Rows, []string{w.Proxy, ago(w.Age) + " ago", fmt.Sprint(w.Samples), fmt.Sprintf("%.1f", w.Middle), fmt.Sprintf("%.1f", w.Score)})
		}
		return []Table{t}, nil
	}
	if !known {
		return nil, rpc.Fail(http.StatusServiceUnavailable, "nobody is known to hold the council")
	}
	return []Table{{Title: "the council is held by", Head: []string{"agent", "epoch"}, Rows: [][]string{{c.Holder, fmt.Sprint(lease.TermOf(c.Epoch))}}}}, nil
}

// tables are the node's and who is set apart.
func (b *bench) tables(ctx context.Context) ([]Table, error) {
	out, err := b.n.tables(ctx)
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	a := b.seat.Last()
	apart, back := b.seat.Counts()
	t := Table{Title: "groups: the council's last word", Head: []string{"member", "shard", "times slow", "on the evidence of"}}
	for _, m := range a.Ejected {
		t.Rows = append(t.Rows, []string{m.Name, m.Shard, fmt.Sprintf("%.1f", m.Ratio), fmt.Sprintf("%d mixers, %d samples", m.Reporters, m.Samples)})
	}
	by := a.By
	if by == "" {
		by = "nobody yet"
	}
	moves := Table{Title: "groups: state", Head: []string{"by", "under epoch", "word", "asked for", "set apart here", "brought back here"},
		Rows: [][]string{{by, fmt.Sprint(lease.TermOf(a.Epoch)), fmt.Sprint(a.Seq), fmt.Sprint(len(a.Requested)), fmt.Sprint(apart), fmt.Sprint(back)}}}
	return append(out, t, moves, b.vault.table()), err
}
