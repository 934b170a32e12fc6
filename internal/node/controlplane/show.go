package controlplane

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/node/admin"
)

// tables returns the tables that the show command prints for this process: the view, the stored
// entry and the repairs of other members' replicas, then the tracked servers and the tables of peer.Node.
func (s *controlPlane) tables(ctx context.Context) ([]admin.Table, error) {
	var replicaInfo []admin.Table
	done := make(chan struct{})
	err := s.replica.runOnLoop(ctx, func() {
		replicaInfo = replicaTables(s.replica.replica, s.replica.now())
		close(done)
	})
	if err != nil {
		return nil, err
	}
	select {
	case <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	tables, err := s.Node.Tables(ctx)
	s.Mu.Lock()
	defer s.Mu.Unlock()
	servers := admin.Table{Title: "servers here", Columns: []string{"tracked here", "stored on disk"}, Rows: [][]string{{fmt.Sprint(s.registry.Len()), fmt.Sprint(s.replica.storedServers())}}}
	return append(append(replicaInfo, servers), tables...), err
}

func replicaTables(machine *replica.Machine, now int64) []admin.Table {
	view := machine.Consensus.View
	descriptions := machine.Consensus.Describe(now)
	viewTable := admin.Table{Title: fmt.Sprintf("view of epoch %d", view.Epoch), Columns: []string{"member", "in the chain", "status"}}
	if view.Epoch == 0 {
		viewTable.Title = "no view yet: waiting for a vote"
	}
	for _, m := range view.Members {
		position := "no"
		if i := slices.Index(view.Chain, m); i >= 0 {
			position = [...]string{"", "head", "tail", "head and tail"}[bit(i == 0)+2*bit(i == len(view.Chain)-1)]
			if position == "" {
				position = strconv.Itoa(i + 1)
			}
		}
		viewTable.Rows = append(viewTable.Rows, []string{m.String(), position, descriptions[m.String()]})
	}
	stored := admin.Table{Title: "stored here", Columns: []string{"version", "bytes", "acknowledged", "sealed"}}
	entry := machine.Chain.Stored()
	stored.Rows = [][]string{{fmt.Sprint(chain.RevisionOf(entry.Version)), fmt.Sprint(len(entry.Content)), fmt.Sprint(machine.Chain.Acknowledged() >= entry.Version && entry.Version > 0), fmt.Sprint(machine.Chain.Sealed())}}
	repairs := machine.RepairStats()
	repair := admin.Table{Title: "replicas of members", Columns: []string{"repaired", "checked by the sweep"}, Rows: [][]string{{fmt.Sprint(repairs.Repairs), fmt.Sprint(repairs.Swept)}}}
	return []admin.Table{viewTable, stored, repair}
}

// bit returns 1 for true, else 0.
func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}
