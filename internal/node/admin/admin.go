// Package admin holds what running processes tell on-call engineers: the calls behind show and
// explain, and the tables that they answer.
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

// The programs as they name themselves in logs and in what they show.
const (
	Proxy        = "proxy"
	Agent        = "agent"
	ControlPlane = "controlplane"
)

// Table is one part of what a running process shows.
type Table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"head,omitempty"`
	Rows    [][]string `json:"rows"`
}

// Report is what a running process holds.
type Report struct {
	Program string  `json:"program"`
	Name    string  `json:"name"`
	Up      string  `json:"up"`
	Tables  []Table `json:"tables"`
}

// ShowCall asks a running process what it holds. It is answered where only processes of the
// system and the own machine can reach it.
var ShowCall = rpc.Declare[rpc.Raw, Report]("GET", "/Show", agentapi.MaxCallBytes, "`show`, on the same machine or from a core machine")

// ShowAddr returns where a program answers show and explain.
func ShowAddr(program string, b *nodesettings.Settings) string {
	switch program {
	case Proxy:
		return net.JoinHostPort(b.LoopbackIP, strconv.Itoa(b.FirstPort+2))
	case Agent:
		return b.AgentAddr()
	}
	return b.PeerAddr()
}

// Text formats what is shown as tables.
func (s Report) Text() string {
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

// RegisterShow answers ShowCall.
func RegisterShow(mux *http.ServeMux, program, name string, start time.Time, tables func(context.Context) ([]Table, error)) {
	ShowCall.Handle(mux, func(ctx context.Context, _ rpc.RequestInfo, _ rpc.Raw) (Report, error) {
		t, err := tables(ctx)
		return Report{Program: program, Name: name, Up: time.Since(start).Round(time.Millisecond).String(), Tables: t}, err
	})
}

// ExplainCall asks a running process what it knows of one server or caller.
var ExplainCall = rpc.Declare[rpc.Raw, Report]("GET", "/Explain/{name}", agentapi.MaxCallBytes, "`explain`, on the same machine or from a core machine")

// RegisterExplain answers ExplainCall.
func RegisterExplain(mux *http.ServeMux, program, name string, start time.Time, tables func(about string) ([]Table, error)) {
	ExplainCall.Handle(mux, func(_ context.Context, who rpc.RequestInfo, _ rpc.Raw) (Report, error) {
		t, err := tables(who.Name)
		return Report{Program: program, Name: name, Up: time.Since(start).Round(time.Millisecond).String(), Tables: t}, err
	})
}

// FormatAge formats a number of microseconds.
func FormatAge(us int64) string {
	return time.Duration(us * int64(time.Microsecond)).Round(100 * time.Millisecond).String()
}
