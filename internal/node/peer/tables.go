package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/lease"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/agentapi"
)

// StoreTables shows a gossip store. Its owner must have locked it.
func StoreTables(store *gossip.Store) []admin.Table {
	servers := admin.Table{Title: "servers", Columns: []string{"service", "server", "address", "zone", "state", "owner"}}
	left := 0
	others := admin.Table{Title: "processes", Columns: []string{"name", "kind", "address", "zone"}}
	version := admin.Table{Title: "configuration", Columns: []string{"version", "bytes"}}
	store.RangeSorted(func(i gossip.Entry) {
		switch {
		case strings.HasPrefix(i.Key, registry.Prefix):
			if s, err := registry.Parse(i); i.Deleted() {
				left++
			} else if err == nil {
				servers.Rows = append(servers.Rows, []string{s.Service, s.ID, s.Addr, s.Zone, s.State.String(), s.Owner})
			}
		case strings.HasPrefix(i.Key, gossip.ProcessPrefix):
			var p gossip.Process
			if json.Unmarshal(i.Value, &p) == nil {
				others.Rows = append(others.Rows, []string{p.Name, p.Kind, strings.TrimPrefix(i.Key, gossip.ProcessPrefix), p.Zone})
			}
		case i.Key == agentapi.ConfigurationKey:
			version.Rows = append(version.Rows, []string{fmt.Sprint(chain.RevisionOf(i.Version)), fmt.Sprint(len(i.Value))})
		}
	})
	slices.SortFunc(servers.Rows, slices.Compare)
	servers.Title = fmt.Sprintf("servers (%d, and %d that have left)", len(servers.Rows), left)
	return []admin.Table{version, others, servers}
}

// Tables shows the node.
func (n *Node) Tables(context.Context) ([]admin.Table, error) {
	n.Mu.Lock()
	defer n.Mu.Unlock()
	ring := admin.Table{Title: "ring", Columns: []string{"sends heartbeats to", "hears heartbeats of"}}
	at, by := n.Members.Watchers(), n.Members.Watched()
	for i := range max(len(at), len(by)) {
		row := []string{"", ""}
		if i < len(at) {
			row[0] = at[i]
		}
		if i < len(by) {
			row[1] = by[i]
		}
		ring.Rows = append(ring.Rows, row)
	}
	duties := admin.Table{Title: "duties", Columns: []string{"duty", "holder", "epoch", ""}}
	for _, d := range n.Members.Roles() {
		if c, known := n.Members.Holder(d.Name); known {
			_, mine := n.Members.Holds(d.Name)
			duties.Rows = append(duties.Rows, []string{d.Name, c.Holder, fmt.Sprint(lease.TermOf(c.Epoch)), []string{"", "this one"}[bit(mine)]})
		}
	}
	swept := n.Members.SweepStats()
	repair := admin.Table{Title: "comparisons of stores", Columns: []string{"found different", "checked by the sweep", "passes"},
		Rows: [][]string{{fmt.Sprint(n.Members.DifferencesFound()), fmt.Sprint(swept.Swept), fmt.Sprint(swept.Rounds)}}}
	return append(StoreTables(n.Store), ring, duties, repair), nil
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}
