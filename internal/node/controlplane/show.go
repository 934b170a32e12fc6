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

func (k *server) tables(ctx context.Context) ([]admin.Table, error) {
	var core []admin.Table
	done := make(chan struct{})
	err := k.replica.do(ctx, func() {
		core = replicaTables(k.replica.replica, k.replica.now())
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
	tables, err := k.Node.Tables(ctx)
	k.Mu.Lock()
	defer k.Mu.Unlock()
	here := admin.Table{Title: "servers here", Columns: []string{"tracked here", "remembered on disk"}, Rows: [][]string{{fmt.Sprint(k.registry.Len()), fmt.Sprint(k.rememberedCount)}}}
	return append(append(core, here), tables...), err
}

func replicaTables(h *replica.Machine, now int64) []admin.Table {
	v := h.Consensus.View
	how := h.Consensus.Describe(now)
	view := admin.Table{Title: fmt.Sprintf("view of epoch %d", v.Epoch), Columns: []string{"member", "in the chain", "how it is"}}
	if v.Epoch == 0 {
		view.Title = "no view yet: waiting for a vote"
	}
	for _, m := range v.Members {
		at := "no"
		if i := slices.Index(v.Chain, m); i >= 0 {
			at = [...]string{"", "head", "tail", "head and tail"}[bit(i == 0)+2*bit(i == len(v.Chain)-1)]
			if at == "" {
				at = strconv.Itoa(i + 1)
			}
		}
		view.Rows = append(view.Rows, []string{m.String(), at, how[m.String()]})
	}
	stored := admin.Table{Title: "stored here", Columns: []string{"version", "bytes", "acknowledged", "sealed"}}
	e := h.Chain.Stored()
	stored.Rows = [][]string{{fmt.Sprint(chain.RevisionOf(e.Version)), fmt.Sprint(len(e.Content)), fmt.Sprint(h.Chain.Acknowledged() >= e.Version && e.Version > 0), fmt.Sprint(h.Chain.Sealed())}}
	repairs := h.RepairStats()
	repair := admin.Table{Title: "replicas of members", Columns: []string{"repaired", "checked by the sweep"}, Rows: [][]string{{fmt.Sprint(repairs.Repairs), fmt.Sprint(repairs.Swept)}}}
	return []admin.Table{view, stored, repair}
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}
