package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/rpc"
)

// Errors of command lines.
var (
	ErrNoSettings = errors.New("no settings file given: use --settings FILE or set " + nodesettings.PathVariable)
	ErrNoAddress  = errors.New("no address given: use --addr HOST:PORT or --settings FILE, or set " + nodesettings.PathVariable)
	ErrNoTable    = errors.New("no table has a title that begins with")
)

const showTimeout = 3 * time.Second // of a call of show or explain

func checkSettings(file *string) *cobra.Command {
	return &cobra.Command{Use: "check [FILE]", Short: "Check a settings file; errors name the line or path", Args: cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			path := *file
			if len(args) > 0 {
				path = args[0]
			}
			if path == "" {
				return ErrNoSettings
			}
			settings, err := nodesettings.Load(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: good: %s on a %s machine in %s, %d seeds, tolerates the loss of %d machines at once\n", path, settings.Name, settings.Role, settings.Zone, len(settings.Seeds), settings.FaultTolerance)
			return nil
		}}
}

func checkConfig() *cobra.Command {
	return &cobra.Command{Use: "config FILE", Short: "Check a configuration; errors name the path", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			config, err := routeconfig.Parse(raw)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			fanout := 0
			for _, route := range config.Routes {
				if len(route.FanoutServices) > 0 {
					fanout++
				}
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: good: version %d, %d routes (%d with fan-out), %d services, %d allowances\n", args[0], config.Revision, len(config.Routes), fanout, len(config.Services), len(config.Allowances))
			return nil
		}}
}

// query calls a running process at addr, or, if addr is empty, at the address in its settings file, and
// prints the answer.
func query(command *cobra.Command, program, file, addr string, asJSON bool, call func(ctx context.Context, client *rpc.Client, addr string) (admin.Report, error)) error {
	if addr == "" && file == "" {
		return ErrNoAddress
	}
	if addr == "" {
		settings, err := nodesettings.Load(file)
		if err != nil {
			return fmt.Errorf("%w (or use --addr HOST:PORT)", err)
		}
		addr = admin.ShowAddr(program, settings)
	}
	ctx, cancel := context.WithTimeout(context.Background(), showTimeout)
	defer cancel()
	shown, err := call(ctx, rpc.NewClient(time.Second), addr)
	if err != nil {
		return err
	}
	if asJSON {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(shown)
	}
	fmt.Fprint(command.OutOrStdout(), shown.Text())
	return nil
}

func show(program string, file *string) *cobra.Command {
	var addr string
	var asJSON bool
	cmd := &cobra.Command{Use: "show [TABLE]", Short: "Show the state of the running " + program + ": routes, servers, ejections, view, versions", Args: cobra.MaximumNArgs(1),
		Long: "Show the state of the running " + program + ". With TABLE only the tables whose titles begin with it are shown, as in: show ejections",
		RunE: func(command *cobra.Command, args []string) error {
			return query(command, program, *file, addr, asJSON, func(ctx context.Context, client *rpc.Client, addr string) (admin.Report, error) {
				shown, err := admin.ShowCall.Invoke(ctx, client, addr, "", nil)
				if err != nil || len(args) == 0 {
					return shown, err
				}
				var titles []string
				tables := shown.Tables
				shown.Tables = nil
				for _, table := range tables {
					if strings.HasPrefix(table.Title, args[0]) {
						shown.Tables = append(shown.Tables, table)
					}
					titles = append(titles, table.Title)
				}
				if len(shown.Tables) == 0 {
					return shown, fmt.Errorf("%w %q; the titles are: %s", ErrNoTable, args[0], strings.Join(titles, "; "))
				}
				return shown, nil
			})
		}}
	cmd.Flags().StringVar(&addr, "addr", "", "address of the process; default: as in its settings file")
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func explain(program string, file *string) *cobra.Command {
	var addr string
	var asJSON bool
	cmd := &cobra.Command{Use: "explain NAME", Short: "Explain whether the running " + program + " uses, suspects or has ejected a server (by its id) or caller (by its address), and why", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return query(command, program, *file, addr, asJSON, func(ctx context.Context, client *rpc.Client, addr string) (admin.Report, error) {
				return admin.ExplainCall.Invoke(ctx, client, addr, url.PathEscape(args[0]), nil)
			})
		}}
	cmd.Flags().StringVar(&addr, "addr", "", "address of the process; default: as in its settings file")
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func version(program string) *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the build", Args: cobra.NoArgs, Run: func(command *cobra.Command, _ []string) {
		build := "unknown build"
		if info, ok := debug.ReadBuildInfo(); ok {
			build = info.GoVersion
			for _, setting := range info.Settings {
				if setting.Key == "vcs.revision" || setting.Key == "vcs.modified" {
					build += " " + setting.Key + "=" + setting.Value
				}
			}
		}
		fmt.Fprintln(command.OutOrStdout(), program, build)
	}}
}

// Toolbox returns the command line of saddlectl, with the commands that check files and inspect running
// processes.
func Toolbox() *cobra.Command {
	root := &cobra.Command{Use: "saddlectl", Short: "the toolbox of the system: checks files and inspects running processes", SilenceUsage: true, SilenceErrors: true}
	file := root.PersistentFlags().String("settings", os.Getenv(nodesettings.PathVariable), "a settings file; the environment variable "+nodesettings.PathVariable+" names the default")
	root.AddCommand(checkCommand(file), showCommand(file), explainCommand(file), version("saddlectl"),
		page("events", "Print the catalogue of events", events.Page), page("calls", "Print the table of calls", rpc.Page))
	return root
}

func checkCommand(file *string) *cobra.Command {
	check := &cobra.Command{Use: "check", Short: "Check files"}
	settings := checkSettings(file)
	settings.Use = "settings [FILE]"
	check.AddCommand(settings, checkConfig())
	return check
}

func showCommand(file *string) *cobra.Command {
	command := &cobra.Command{Use: "show", Short: "Show the state of a running process"}
	for _, p := range []Program{Proxy, Agent, ControlPlane} {
		current := show(p.Name, file)
		current.Use = p.Name + " [TABLE]"
		deprecated := show(p.Name, file)
		deprecated.Use, deprecated.Deprecated = p.OldName+" [TABLE]", "use show "+p.Name
		command.AddCommand(current, deprecated)
	}
	return command
}

func explainCommand(file *string) *cobra.Command {
	command := &cobra.Command{Use: "explain", Short: "Explain the state of a server or caller in a running process"}
	for _, p := range []Program{Proxy, Agent} {
		current := explain(p.Name, file)
		current.Use = p.Name + " NAME"
		deprecated := explain(p.Name, file)
		deprecated.Use, deprecated.Deprecated = p.OldName+" NAME", "use explain "+p.Name
		command.AddCommand(current, deprecated)
	}
	return command
}

// page returns a command that prints a page of the operators' documentation.
func page(name, short string, text func() string) *cobra.Command {
	return &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) { fmt.Fprint(command.OutOrStdout(), text()) }}
}
