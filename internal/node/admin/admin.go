// Package admin defines the calls behind the commands show and explain, with which on-call engineers
// inspect running processes, and the tables that these calls return.
package admin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/rpc"
)

// The names of the programs in logs and reports.
const (
	Proxy        = "proxy"
	Agent        = "agent"
	ControlPlane = "controlplane"
)

// Table is a section of a Report.
type Table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"head,omitempty"`
	Rows    [][]string `json:"rows"`
}

// Report describes the state of a running process.
type Report struct {
	Program string  `json:"program"`
	Name    string  `json:"name"`
	Up      string  `json:"up"`
	Tables  []Table `json:"tables"`
}

// ShowCall returns the report of a running process. It is served at addresses that only processes of
// the system and of the same machine can reach.
var ShowCall = rpc.Declare[rpc.Raw, Report]("GET", "/Show", agentapi.MaxCallBytes, "`show`, on the same machine or from a control-plane machine")

// ShowAddr returns the host:port at which a program serves show and explain.
func ShowAddr(program string, settings *nodesettings.Settings) string {
	switch program {
	case Proxy:
		return net.JoinHostPort(settings.LoopbackIP, strconv.Itoa(settings.FirstPort+2))
	case Agent:
		return settings.AgentAddr()
	}
	return settings.PeerAddr()
}

// Text formats the report as text with aligned columns.
func (s Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s, up %s\n", s.Program, s.Name, s.Up)
	for _, t := range s.Tables {
		fmt.Fprintf(&b, "\n%s\n", t.Title)
		w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		if len(t.Columns) > 0 {
			fmt.Fprintln(w, "  "+strings.Join(t.Columns, "\t"))
		}
		for _, row := range t.Rows {
			fmt.Fprintln(w, "  "+strings.Join(row, "\t"))
		}
		if len(t.Rows) == 0 {
			fmt.Fprintln(w, "  none")
		}
		w.Flush()
	}
	return b.String()
}

// RegisterShow registers the handler of ShowCall.
func RegisterShow(mux *http.ServeMux, program, name string, start time.Time, tables func(context.Context) ([]Table, error)) {
	ShowCall.Handle(mux, func(ctx context.Context, _ rpc.RequestInfo, _ rpc.Raw) (Report, error) {
		t, err := tables(ctx)
		return Report{Program: program, Name: name, Up: time.Since(start).Round(time.Millisecond).String(), Tables: t}, err
	})
}

// ExplainCall returns the state that a running process stores about one server or caller.
var ExplainCall = rpc.Declare[rpc.Raw, Report]("GET", "/Explain/{name}", agentapi.MaxCallBytes, "`explain`, on the same machine or from a control-plane machine")

// RegisterExplain registers the handler of ExplainCall.
func RegisterExplain(mux *http.ServeMux, program, name string, start time.Time, tables func(about string) ([]Table, error)) {
	ExplainCall.Handle(mux, func(_ context.Context, info rpc.RequestInfo, _ rpc.Raw) (Report, error) {
		t, err := tables(info.Name)
		return Report{Program: program, Name: name, Up: time.Since(start).Round(time.Millisecond).String(), Tables: t}, err
	})
}

// FormatAge formats a duration in microseconds, rounded to 100 ms.
func FormatAge(us int64) string {
	return time.Duration(us * int64(time.Microsecond)).Round(100 * time.Millisecond).String()
}
