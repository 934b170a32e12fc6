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

// StoreTables returns tables of the contents of a gossip store. The caller must hold the lock of the
// store.
func StoreTables(store *gossip.Store) []admin.Table {
	servers := admin.Table{Title: "servers", Columns: []string{"service", "server", "address", "zone", "state", "owner"}}
	departed := 0
	processes := admin.Table{Title: "processes", Columns: []string{"name", "kind", "address", "zone"}}
	configuration := admin.Table{Title: "configuration", Columns: []string{"version", "bytes"}}
	store.RangeSorted(func(entry gossip.Entry) {
		switch {
		case strings.HasPrefix(entry.Key, registry.Prefix):
			if state, err := registry.Parse(entry); entry.Deleted() {
				departed++
			} else if err == nil {
				servers.Rows = append(servers.Rows, []string{state.Service, state.ID, state.Addr, state.Zone, state.State.String(), state.Owner})
			}
		case strings.HasPrefix(entry.Key, gossip.ProcessPrefix):
			var p gossip.Process
			if json.Unmarshal(entry.Value, &p) == nil {
				processes.Rows = append(processes.Rows, []string{p.Name, p.Kind, strings.TrimPrefix(entry.Key, gossip.ProcessPrefix), p.Zone})
			}
		case entry.Key == agentapi.ConfigurationKey:
			configuration.Rows = append(configuration.Rows, []string{fmt.Sprint(chain.RevisionOf(entry.Version)), fmt.Sprint(len(entry.Value))})
		}
	})
	slices.SortFunc(servers.Rows, slices.Compare)
	servers.Title = fmt.Sprintf("servers (%d, and %d that have left)", len(servers.Rows), departed)
	return []admin.Table{configuration, processes, servers}
}

// Tables returns tables of the state of the node.
func (n *Node) Tables(context.Context) ([]admin.Table, error) {
	n.Mu.Lock()
	defer n.Mu.Unlock()
	ring := admin.Table{Title: "ring", Columns: []string{"sends heartbeats to", "receives heartbeats from"}}
	watchers, watched := n.Members.Watchers(), n.Members.Watched()
	for i := range max(len(watchers), len(watched)) {
		row := []string{"", ""}
		if i < len(watchers) {
			row[0] = watchers[i]
		}
		if i < len(watched) {
			row[1] = watched[i]
		}
		ring.Rows = append(ring.Rows, row)
	}
	roles := admin.Table{Title: "duties", Columns: []string{"duty", "holder", "epoch", ""}}
	for _, role := range n.Members.Roles() {
		if claim, known := n.Members.Holder(role.Name); known {
			_, ownedHere := n.Members.Holds(role.Name)
			roles.Rows = append(roles.Rows, []string{role.Name, claim.Holder, fmt.Sprint(lease.TermOf(claim.Epoch)), []string{"", "this process"}[bit(ownedHere)]})
		}
	}
	swept := n.Members.SweepStats()
	repair := admin.Table{Title: "comparisons of stores", Columns: []string{"found different", "checked by the sweep", "passes"},
		Rows: [][]string{{fmt.Sprint(n.Members.DifferencesFound()), fmt.Sprint(swept.Swept), fmt.Sprint(swept.Rounds)}}}
	return append(StoreTables(n.Store), ring, roles, repair), nil
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}
