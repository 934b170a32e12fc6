package role

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"context"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/lease"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/node/rpc"
)

// Table is one part of what a running process shows.
type Table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"head,omitempty"`
	Rows    [][]string `json:"rows"`
}

// Shown is what a running process holds.
type Shown struct {
	Program string  `json:"program"`
	Name    string  `json:"name"`
	Up      string  `json:"up"`
	Tables  []Table `json:"tables"`
}

// ShowCall asks a running process what it holds. It listens where only its own machine or
// other processes of the system can reach it.
var ShowCall = rpc.Declare[rpc.Raw, Shown]("GET", "/Show", MaxCallBytes, "`show`, on the same machine or from a core machine")

// ShowAt is where a program answers that.
func ShowAddr(program string, b *Settings) string {
	switch program {
	case "tide":
		return net.JoinHostPort(b.LoopbackIP, strconv.Itoa(b.FirstPort+2))
	case "echo":
		return b.AgentAddr()
	}
	return b.PeerAddr()
}

// Text writes what is shown as tables.
func (s Shown) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s, up %s\n", s.Program, s.Name, s.Up)
	for _, t := range s.Tables {
		fmt.Fprintf(&b, "\n%s\n", t.Title)
		w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		if len(t.Columns) > 0 {
			fmt.Fprintln(w, "  "+strings.Join(t.Columns, "\t"))
		}
		for _, r := range t.Rows {
			fmt.Fprintln(w, "  "+strings.Join(r, "\t"))
		}
		if len(t.Rows) == 0 {
			fmt.Fprintln(w, "  none")
		}
		w.Flush()
	}
	return b.String()
}

func RegisterShow(mux *http.ServeMux, program, name string, start time.Time, tables func(context.Context) ([]Table, error)) {
	ShowCall.On(mux, func(ctx context.Context, _ rpc.Named, _ rpc.Raw) (Shown, error) {
		t, err := tables(ctx)
		return Shown{Program: program, Name: name, Up: time.Since(start).Round(time.Millisecond).String(), Tables: t}, err
	})
}

// newsTables are what a node holds of the news. Under mu.
func storeTables(book *gossip.Store) []Table {
	servers := Table{Title: "servers", Columns: []string{"service", "server", "address", "zone", "state", "heard by"}}
	left := 0
	others := Table{Title: "processes", Columns: []string{"name", "kind", "address", "zone"}}
	version := Table{Title: "configuration", Columns: []string{"version", "bytes"}}
	book.RangeSorted(func(i gossip.Entry) {
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
		case i.Key == ConfigurationKey:
			version.Rows = append(version.Rows, []string{fmt.Sprint(chain.RevisionOf(i.Version)), fmt.Sprint(len(i.Value))})
		}
	})
	slices.SortFunc(servers.Rows, slices.Compare)
	servers.Title = fmt.Sprintf("servers (%d, and %d that have left)", len(servers.Rows), left)
	return []Table{version, others, servers}
}

func (n *Node) Tables(context.Context) ([]Table, error) {
	n.Mu.Lock()
	defer n.Mu.Unlock()
	ring := Table{Title: "ring", Columns: []string{"beats at", "is beaten at by"}}
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
	duties := Table{Title: "duties", Columns: []string{"duty", "holder", "epoch", ""}}
	for _, d := range n.Members.Roles() {
		if c, known := n.Members.Holder(d.Name); known {
			_, mine := n.Members.Holds(d.Name)
			duties.Rows = append(duties.Rows, []string{d.Name, c.Holder, fmt.Sprint(lease.TermOf(c.Epoch)), []string{"", "this one"}[bit(mine)]})
		}
	}
	swept := n.Members.SweepStats()
	repair := Table{Title: "comparisons of news", Columns: []string{"found different", "looks of the sweep", "rounds"},
		Rows: [][]string{{fmt.Sprint(n.Members.DifferencesFound()), fmt.Sprint(swept.Swept), fmt.Sprint(swept.Rounds)}}}
	return append(storeTables(n.Store), ring, duties, repair), nil
}

func (k *server) tables(ctx context.Context) ([]Table, error) {
	var core []Table
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
	news, err := k.Node.Tables(ctx)
	k.Mu.Lock()
	defer k.Mu.Unlock()
	here := Table{Title: "servers here", Columns: []string{"beat here", "remembered on the disk"}, Rows: [][]string{{fmt.Sprint(k.registry.Len()), fmt.Sprint(k.rememberedCount)}}}
	return append(append(core, here), news...), err
}

func replicaTables(h *replica.Machine, now int64) []Table {
	v := h.Consensus.View
	how := h.Consensus.Describe(now)
	view := Table{Title: fmt.Sprintf("view of epoch %d", v.Epoch), Columns: []string{"member", "in the chain", "how it is"}}
	if v.Epoch == 0 {
		view.Title = "no view yet: waiting to be taken in"
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
	held := Table{Title: "kept here", Columns: []string{"version", "bytes", "acknowledged", "sealed"}}
	e := h.Chain.Stored()
	held.Rows = [][]string{{fmt.Sprint(chain.RevisionOf(e.Version)), fmt.Sprint(len(e.Content)), fmt.Sprint(h.Chain.Acknowledged() >= e.Version && e.Version > 0), fmt.Sprint(h.Chain.Sealed())}}
	mended := h.RepairStats()
	repair := Table{Title: "copies of members", Columns: []string{"mended", "looks of the sweep"}, Rows: [][]string{{fmt.Sprint(mended.Repairs), fmt.Sprint(mended.Swept)}}}
	return []Table{view, held, repair}
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (t *proxy) tables(context.Context) ([]Table, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	routes := Table{Title: "routes: no configuration yet", Columns: []string{"host", "prefix", "kind", "aim ms", "timeout ms", "attempts", "to"}}
	if p := t.routes.Plan(); p != nil {
		c := p.Charter
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
	count := Table{Title: "counters", Columns: []string{"counter", "since the start"}}
	for pair := range strings.FieldsSeq(t.exchange.Counters.String()) {
		name, value, _ := strings.Cut(pair, "=")
		count.Rows = append(count.Rows, []string{name, value})
	}
	count.Rows = append(count.Rows, []string{"unrouted_requests", fmt.Sprint(t.routes.Unrouted.Load())})
	tier := Table{Title: "tier", Columns: []string{"proxies known", "of the retry slack"},
		Rows: [][]string{{fmt.Sprint(t.proxyCount), fmt.Sprint(t.retrySlack)}}}
	return append(append([]Table{routes, tier, count}, append(t.outliers.table(), t.quotas.table())...), storeTables(t.store)...), nil
}
