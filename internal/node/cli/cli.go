// Package cli is what the system's programs have in common: their command lines,
// their logs, their signals and their limits. It must never hold anything of what one
// program does.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"saddleport/internal/node/events"
	"saddleport/internal/node/role"
)

// Program is one of the system's programs.
type Program struct {
	Name, Short string
	Run         func(context.Context, *role.File) error
	Garbage     int // GOGC
}

// The programs.
var (
	Tide = Program{Name: "tide", Short: "the proxy: takes clients' requests and answers them", Run: role.RunProxy, Garbage: 100}
	Echo = Program{Name: "echo", Short: "the agent beside a proxy: keeps the link to the control plane", Run: role.RunAgent, Garbage: 50}
	Keel = Program{Name: "keel", Short: "a core process: takes heartbeats and configurations", Run: role.RunControlPlane, Garbage: 50}
)

const memoryShare = 0.6 // of the limit: from there on the collector works harder

// Main runs a program's command line.
func Main(p Program) {
	signal.Ignore(syscall.SIGHUP) // until the settings are watched; it would end the process
	root := &cobra.Command{Use: p.Name, Short: p.Short, SilenceUsage: true, SilenceErrors: true}
	alike := false
	file := root.PersistentFlags().String("settings", os.Getenv(role.PathVariable), "the settings file; "+role.PathVariable+" names it too")
	run := &cobra.Command{Use: "run", Short: "Run " + p.Short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		set, err := role.Open(*file)
		if err != nil {
			return err
		}
		set.NoEjection = alike
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		runtime.GOMAXPROCS(1)
		debug.SetGCPercent(p.Garbage)
		debug.SetMemoryLimit(int64(float64(set.Current().MemoryMB) * memoryShare * (1 << 20)))
		err = p.Run(ctx, set)
		if err != nil {
			events.Failed.Log("err", err)
		} else {
			events.Stopped.Log()
		}
		return err
	}}
	if p.Name == Tide.Name {
		run.Flags().BoolVar(&alike, "alike", false, "set nobody apart: servers and callers that are slow are treated as all others")
	}
	if p.Name != Keel.Name {
		root.AddCommand(explain(p.Name, file))
	}
	root.AddCommand(run, checkSettings(file), show(p.Name, file), version(p.Name))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, p.Name+":", err)
		os.Exit(1)
	}
}
