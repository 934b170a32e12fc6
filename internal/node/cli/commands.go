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

// What may be missing on a command line.
var (
	ErrNoSettings = errors.New("no settings file: name one, or set " + nodesettings.PathVariable)
	ErrNoAddress  = errors.New("where does it answer? Name --settings FILE or --addr HOST:PORT, or set " + nodesettings.PathVariable)
	ErrNoTable    = errors.New("no table begins with")
)

const showTimeout = 3 * time.Second

func checkSettings(file *string) *cobra.Command {
	return &cobra.Command{Use: "check [FILE]", Short: "Check a settings file; errors name the line or path", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			name := *file
			if len(args) > 0 {
				name = args[0]
			}
			if name == "" {
				return ErrNoSettings
			}
			b, err := nodesettings.Load(name)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: good: %s on a %s machine in %s, %d seeds, %d machines may be lost at once\n", name, b.Name, b.Role, b.Zone, len(b.Seeds), b.FaultTolerance)
			return nil
		}}
}

func checkConfig() *cobra.Command {
	return &cobra.Command{Use: "config FILE", Short: "Check a configuration; errors name the path", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			ch, err := routeconfig.Parse(raw)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			gathered := 0
			for _, r := range ch.Routes {
				if len(r.FanoutServices) > 0 {
					gathered++
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: good: version %d, %d routes (%d gathered), %d services, %d allowances\n", args[0], ch.Revision, len(ch.Routes), gathered, len(ch.Services), len(ch.Allowances))
			return nil
		}}
}

// ask asks a running process, where its settings or a flag say, and prints the answer.
func ask(c *cobra.Command, program, file, addr string, asJSON bool, what func(ctx context.Context, via *rpc.Client, addr string) (admin.Report, error)) error {
	if addr == "" && file == "" {
		return ErrNoAddress
	}
	if addr == "" {
		b, err := nodesettings.Load(file)
		if err != nil {
			return fmt.Errorf("%w (or name --addr HOST:PORT)", err)
		}
		addr = admin.ShowAddr(program, b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), showTimeout)
	defer cancel()
	s, err := what(ctx, rpc.NewClient(time.Second), addr)
	if err != nil {
		return err
	}
	if asJSON {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	fmt.Fprint(c.OutOrStdout(), s.Text())
	return nil
}

func show(program string, file *string) *cobra.Command {
	var addr string
	var asJSON bool
	cmd := &cobra.Command{Use: "show [TABLE]", Short: "Show what the running " + program + " holds: routes, servers, groups, view, versions", Args: cobra.MaximumNArgs(1),
		Long: "Show what the running " + program + " holds. TABLE leaves the tables whose titles begin so, as in: show groups",
		RunE: func(c *cobra.Command, args []string) error {
			return ask(c, program, *file, addr, asJSON, func(ctx context.Context, via *rpc.Client, addr string) (admin.Report, error) {
				s, err := admin.ShowCall.Invoke(ctx, via, addr, "", nil)
				if err != nil || len(args) == 0 {
					return s, err
				}
				var titles []string
				all := s.Tables
				s.Tables = nil
				for _, t := range all {
					if strings.HasPrefix(t.Title, args[0]) {
						s.Tables = append(s.Tables, t)
					}
					titles = append(titles, t.Title)
				}
				if len(s.Tables) == 0 {
					return s, fmt.Errorf("%w %q; there are: %s", ErrNoTable, args[0], strings.Join(titles, "; "))
				}
				return s, nil
			})
		}}
	cmd.Flags().StringVar(&addr, "addr", "", "where it answers; else as its settings file says")
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func explain(program string, file *string) *cobra.Command {
	var addr string
	var asJSON bool
	cmd := &cobra.Command{Use: "explain NAME", Short: "Tell what the running " + program + " knows of one server (its id) or caller (its address): in use, suspected or ejected, and why", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return ask(c, program, *file, addr, asJSON, func(ctx context.Context, via *rpc.Client, addr string) (admin.Report, error) {
				return admin.ExplainCall.Invoke(ctx, via, addr, url.PathEscape(args[0]), nil)
			})
		}}
	cmd.Flags().StringVar(&addr, "addr", "", "where it answers; else as its settings file says")
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func version(program string) *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Tell the build", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
		text := "unknown build"
		if info, ok := debug.ReadBuildInfo(); ok {
			text = info.GoVersion
			for _, s := range info.Settings {
				if s.Key == "vcs.revision" || s.Key == "vcs.modified" {
					text += " " + s.Key + "=" + s.Value
				}
			}
		}
		fmt.Fprintln(c.OutOrStdout(), program, text)
	}}
}

// Toolbox returns the command line of saddlectl: checks of files, and looks at running
// processes.
func Toolbox() *cobra.Command {
	root := &cobra.Command{Use: "saddlectl", Short: "the toolbox of the system: checks, and looks at running processes", SilenceUsage: true, SilenceErrors: true}
	file := root.PersistentFlags().String("settings", os.Getenv(nodesettings.PathVariable), "a settings file; "+nodesettings.PathVariable+" names it too")
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
	all := &cobra.Command{Use: "show", Short: "Show what a running process holds"}
	for _, p := range []Program{Proxy, Agent, ControlPlane} {
		named := show(p.Name, file)
		named.Use = p.Name + " [TABLE]"
		old := show(p.Name, file)
		old.Use, old.Deprecated = p.OldName+" [TABLE]", "use show "+p.Name
		all.AddCommand(named, old)
	}
	return all
}

func explainCommand(file *string) *cobra.Command {
	all := &cobra.Command{Use: "explain", Short: "Tell what a running process knows of one server or caller"}
	for _, p := range []Program{Proxy, Agent} {
		named := explain(p.Name, file)
		named.Use = p.Name + " NAME"
		old := explain(p.Name, file)
		old.Use, old.Deprecated = p.OldName+" NAME", "use explain "+p.Name
		all.AddCommand(named, old)
	}
	return all
}

// page makes a command that prints a page of the operators' documentation.
func page(name, short string, text func() string) *cobra.Command {
	return &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprint(c.OutOrStdout(), text()) }}
}
