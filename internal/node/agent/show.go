package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"saddleport/internal/cluster/lease"
	"saddleport/internal/cluster/outlier"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/rpc"
)

// table shows the lessor. The caller must have locked the node.
func (v *quotaService) table() admin.Table {
	t := admin.Table{Title: "allowance: another process has the lessor"}
	if v.lessor == nil {
		return t
	}
	now := v.node.Now()
	t = admin.Table{Title: "allowance: the lessor is here", Columns: []string{"allowance", "stated, a second", "leased, a second", "to proxies", "asked, a second", "admitted by all so far"}}
	for _, s := range v.allowances {
		rate, tills := v.lessor.Leased(now, s.Name)
		t.Rows = append(t.Rows, []string{s.Name, fmt.Sprint(s.Rate), fmt.Sprintf("%.1f", rate), fmt.Sprint(tills),
			fmt.Sprintf("%.1f", v.lessor.Demand[s.Name]), fmt.Sprintf("%.0f", v.lessor.Admitted[s.Name])})
	}
	return t
}

// explain shows the evidence on a member, if this process holds the role.
func (b *outlierAggregator) explain(about string) ([]admin.Table, error) {
	b.node.Mu.Lock()
	defer b.node.Mu.Unlock()
	if net.ParseIP(about) != nil {
		about = agentapi.CallerPrefix + about
	}
	c, known := b.node.Members.Holder(outlier.Role)
	if reports, holds := b.role.Reports(b.node.Now(), about); holds {
		t := admin.Table{Title: "evidence on " + about, Columns: []string{"proxy", "reported", "samples", "times its peers' middle", "score"}}
		for _, w := range reports {
			t.Rows = append(t.Rows, []string{w.Proxy, admin.FormatAge(w.Age) + " ago", fmt.Sprint(w.Samples), fmt.Sprintf("%.1f", w.Median), fmt.Sprintf("%.1f", w.Score)})
		}
		return []admin.Table{t}, nil
	}
	if !known {
		return nil, rpc.Errorf(http.StatusServiceUnavailable, "no process is known to hold the aggregator")
	}
	return []admin.Table{{Title: "holder of the aggregator", Columns: []string{"agent", "epoch"}, Rows: [][]string{{c.Holder, fmt.Sprint(lease.TermOf(c.Epoch))}}}}, nil
}

// tables shows the node and the ejected members.
func (b *outlierAggregator) tables(ctx context.Context) ([]admin.Table, error) {
	out, err := b.node.Tables(ctx)
	b.node.Mu.Lock()
	defer b.node.Mu.Unlock()
	a := b.role.Last()
	apart, back := b.role.Counts()
	t := admin.Table{Title: "ejections: last published", Columns: []string{"member", "shard", "times slow", "on the evidence of"}}
	for _, m := range a.Ejected {
		t.Rows = append(t.Rows, []string{m.Name, m.Shard, fmt.Sprintf("%.1f", m.Ratio), fmt.Sprintf("%d proxies, %d samples", m.Reporters, m.Samples)})
	}
	by := a.Publisher
	if by == "" {
		by = "nobody yet"
	}
	moves := admin.Table{Title: "ejections: state", Columns: []string{"by", "under epoch", "publication", "requested", "ejected here", "restored here"},
		Rows: [][]string{{by, fmt.Sprint(lease.TermOf(a.Epoch)), fmt.Sprint(a.Seq), fmt.Sprint(len(a.Requested)), fmt.Sprint(apart), fmt.Sprint(back)}}}
	return append(out, t, moves, b.quotas.table()), err
}
