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

// table returns the table of the lessor's allowances and leases. The caller must hold node.Mu.
func (q *quotaService) table() admin.Table {
	table := admin.Table{Title: "allowance: another process has the lessor"}
	if q.lessor == nil {
		return table
	}
	now := q.node.Now()
	table = admin.Table{Title: "allowance: the lessor is here", Columns: []string{"allowance", "rate per second", "leased per second", "to proxies", "requested per second", "admitted by all so far"}}
	for _, allowance := range q.allowances {
		rate, proxies := q.lessor.Leased(now, allowance.Name)
		table.Rows = append(table.Rows, []string{allowance.Name, fmt.Sprint(allowance.Rate), fmt.Sprintf("%.1f", rate), fmt.Sprint(proxies),
			fmt.Sprintf("%.1f", q.lessor.Demand[allowance.Name]), fmt.Sprintf("%.0f", q.lessor.Admitted[allowance.Name])})
	}
	return table
}

// explain returns the evidence on a member by proxy, or, if another process has the aggregator role, the
// holder of the role. A caller is named by its IP address.
func (o *outlierAggregator) explain(about string) ([]admin.Table, error) {
	o.node.Mu.Lock()
	defer o.node.Mu.Unlock()
	if net.ParseIP(about) != nil {
		about = agentapi.CallerPrefix + about
	}
	claim, known := o.node.Members.Holder(outlier.Role)
	if reports, holds := o.role.Reports(o.node.Now(), about); holds {
		table := admin.Table{Title: "evidence on " + about, Columns: []string{"proxy", "reported", "samples", "ratio to peers' median", "score"}}
		for _, report := range reports {
			table.Rows = append(table.Rows, []string{report.Proxy, admin.FormatAge(report.Age) + " ago", fmt.Sprint(report.Samples), fmt.Sprintf("%.1f", report.Median), fmt.Sprintf("%.1f", report.Score)})
		}
		return []admin.Table{table}, nil
	}
	if !known {
		return nil, rpc.Errorf(http.StatusServiceUnavailable, "no process is known to have the aggregator role")
	}
	return []admin.Table{{Title: "holder of the aggregator role", Columns: []string{"agent", "epoch"}, Rows: [][]string{{claim.Holder, fmt.Sprint(lease.TermOf(claim.Epoch))}}}}, nil
}

// tables returns the tables of the node, of the ejected members and of the allowances.
func (o *outlierAggregator) tables(ctx context.Context) ([]admin.Table, error) {
	tables, err := o.node.Tables(ctx)
	o.node.Mu.Lock()
	defer o.node.Mu.Unlock()
	assignment := o.role.Last()
	ejected, restored := o.role.Counts()
	table := admin.Table{Title: "ejections: last published", Columns: []string{"member", "shard", "slowdown factor", "evidence"}}
	for _, member := range assignment.Ejected {
		table.Rows = append(table.Rows, []string{member.Name, member.Shard, fmt.Sprintf("%.1f", member.Ratio), fmt.Sprintf("%d proxies, %d samples", member.Reporters, member.Samples)})
	}
	publisher := assignment.Publisher
	if publisher == "" {
		publisher = "none yet"
	}
	state := admin.Table{Title: "ejections: state", Columns: []string{"by", "under epoch", "publication", "requested", "ejected here", "restored here"},
		Rows: [][]string{{publisher, fmt.Sprint(lease.TermOf(assignment.Epoch)), fmt.Sprint(assignment.Seq), fmt.Sprint(len(assignment.Requested)), fmt.Sprint(ejected), fmt.Sprint(restored)}}}
	return append(tables, table, state, o.quotas.table()), err
}
