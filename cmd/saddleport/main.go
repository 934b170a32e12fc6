// Command saddleport is the proxy that gathers the answers of leaf servers. This package
// only parses the command line; internal/app implements the commands.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"saddleport/internal/app"
	"saddleport/internal/logs"
)

func main() {
	config := &cli.StringFlag{Name: "config", Usage: "the platform's configuration `FILE`", Sources: cli.EnvVars("BALANCER_CONFIG")}
	operator := &cli.StringFlag{Name: "operator", Usage: "the operator `FILE` (INI); without it, the features that it configures are off"}
	asJSON := &cli.BoolFlag{Name: "json", Usage: "print JSON"}
	root := &cli.Command{
		Name:  "saddleport",
		Usage: "answers queries by gathering answers of leaf servers",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve queries until SIGTERM; SIGHUP reloads both files", Flags: []cli.Flag{config, operator},
				Action: func(_ context.Context, c *cli.Command) error {
					return app.Serve(c.String("config"), c.String("operator"))
				}},
			{Name: "check-config", Usage: "check both files and report the first error",
				Flags: []cli.Flag{config, operator, asJSON, &cli.BoolFlag{Name: "explain", Usage: "also list the settings of the platform that change the proxy's behaviour"}},
				Action: func(_ context.Context, c *cli.Command) error {
					return app.CheckConfig(os.Stdout, c.String("config"), c.String("operator"), c.Bool("explain"), c.Bool("json"))
				}},
			{Name: "config", Usage: "inspect the operator file", Commands: []*cli.Command{
				{Name: "show", Usage: "print each value that applies and where it comes from", Flags: []cli.Flag{operator, asJSON},
					Action: func(_ context.Context, c *cli.Command) error {
						o, err := app.LoadOperator(c.String("operator"))
						if err != nil {
							return err
						}
						if c.Bool("json") {
							e := json.NewEncoder(os.Stdout)
							e.SetIndent("", "  ")
							return e.Encode(o.File.Values())
						}
						return o.File.Print(os.Stdout)
					}},
			}},
			hookCommands(config, operator, asJSON),
			segmentCommands(operator, asJSON),
			levelCommands(operator, asJSON),
			{Name: "members", Usage: "show the state of the leaf servers in a running proxy, and the reasons for it", ArgsUsage: "[SERVER]",
				Flags: []cli.Flag{operator, asJSON, &cli.BoolFlag{Name: "watch", Usage: "keep running and print each change"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					if c.Args().Len() > 1 {
						return errors.New("expected at most one argument: the name of a server")
					}
					return app.Members(os.Stdout, c.String("operator"), c.Args().First(), c.Bool("json"), c.Bool("watch"), ctx.Done())
				}},
			{Name: "counters", Usage: "print the counters of the proxy that runs with this configuration", Flags: []cli.Flag{config},
				Action: func(_ context.Context, c *cli.Command) error {
					cfg, err := app.Load(c.String("config"), os.Getenv)
					if err != nil {
						return err
					}
					return app.Counters(os.Stdout, cfg)
				}},
			{Name: "version", Usage: "print the revision and the Go version of this build",
				Action: func(context.Context, *cli.Command) error { return app.Version(os.Stdout) }},
		},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		if len(os.Args) > 1 && os.Args[1] == "serve" { // operators read the log of the server, not its standard error
			log.Error("fatal", "err", err)
		} else {
			fmt.Fprintln(os.Stderr, "saddleport:", err)
		}
		os.Exit(1)
	}
}

var log = logs.For("main")
