// Package cli implements what the system's programs have in common: their command lines, signals and
// resource limits. Each program has a package of its own below internal/node.
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

	"saddleport/internal/node/admin"
	"saddleport/internal/node/agent"
	"saddleport/internal/node/controlplane"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/proxy"
)

// Program is one of the system's programs.
type Program struct {
	Name, Short string
	Run         func(context.Context, *nodesettings.File) error
	GCPercent   int    // argument of debug.SetGCPercent
	OldName     string // accepted for one more release
}

// The programs.
var (
	Proxy = Program{Name: admin.Proxy, OldName: "tide", Run: proxy.Run, GCPercent: 100,
		Short: "the proxy: serves the requests of clients"}
	Agent = Program{Name: admin.Agent, OldName: "echo", Run: agent.Run, GCPercent: 50,
		Short: "the agent beside a proxy: connects it to the control plane"}
	ControlPlane = Program{Name: admin.ControlPlane, OldName: "keel", Run: controlplane.Run, GCPercent: 50,
		Short: "a control-plane process: accepts heartbeats and configurations"}
)

// memoryLimitShare is the share of the process's memory limit that is the Go runtime's soft limit: above it
// the garbage collector runs more often.
const memoryLimitShare = 0.6

// Main runs the command line of a program and exits with status 1 if that fails.
func Main(p Program) {
	signal.Ignore(syscall.SIGHUP) // otherwise a SIGHUP that comes before the settings file is watched would end the process
	root := &cobra.Command{Use: p.Name, Short: p.Short, SilenceUsage: true, SilenceErrors: true}
	file := root.PersistentFlags().String("settings", os.Getenv(nodesettings.PathVariable), "the settings file; the environment variable "+nodesettings.PathVariable+" names the default")
	root.AddCommand(runCommand(p, file), checkSettings(file), show(p.Name, file), version(p.Name))
	if p.Name != ControlPlane.Name {
		root.AddCommand(explain(p.Name, file))
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, p.Name+":", err)
		os.Exit(1)
	}
}

// MainUnderOldName prints a warning and runs a program that was started under its old name.
func MainUnderOldName(p Program) {
	WarnOldName(p.OldName, p.Name)
	Main(p)
}

// WarnOldName prints on standard error that a program was renamed.
func WarnOldName(old, name string) {
	fmt.Fprintf(os.Stderr, "%s: this program was renamed to %s; the old name will be removed in the next version\n", old, name)
}

func runCommand(p Program, file *string) *cobra.Command {
	noEjection := false
	run := &cobra.Command{Use: "run", Short: "Run " + p.Short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		settings, err := nodesettings.Open(*file)
		if err != nil {
			return err
		}
		settings.NoEjection = noEjection
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		setRuntimeLimits(p.GCPercent, settings.Current().MemoryMB)
		if err := p.Run(ctx, settings); err != nil {
			events.Failed.Log("err", err)
			return err
		}
		events.Stopped.Log()
		return nil
	}}
	if p.Name == Proxy.Name {
		run.Flags().BoolVar(&noEjection, "no-ejection", false, "do not eject slow servers and callers")
		run.Flags().BoolVar(&noEjection, "alike", false, "")
		run.Flags().MarkDeprecated("alike", "use --no-ejection")
	}
	return run
}

// setRuntimeLimits configures the Go runtime for a machine with one processor and little memory.
func setRuntimeLimits(gcPercent, memoryMB int) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if memoryMB > 0 { // otherwise no limit is known; one of 0 would make the collector run without pause
		debug.SetMemoryLimit(int64(float64(memoryMB) * memoryLimitShare * (1 << 20)))
	}
}
