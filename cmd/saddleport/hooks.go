package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"saddleport/internal/app"
)

// hookCommands returns the "hooks" command. Its sub-commands that take a directory or the
// flag --set run offline; the others send a request to the running proxy whose control
// socket the operator file names.
func hookCommands(config, operator, asJSON cli.Flag) *cli.Command {
	newCommands := func(c *cli.Command) *app.HookCommands {
		return &app.HookCommands{Out: os.Stdout, Config: c.String("config"), Operator: c.String("operator"), JSON: c.Bool("json")}
	}
	oneArg := func(c *cli.Command, name string) (string, error) {
		if c.Args().Len() != 1 {
			return "", errors.New("expected exactly one argument: " + name)
		}
		return c.Args().First(), nil
	}
	dirCommand := func(name, usage string, run func(*app.HookCommands, string) error) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: "DIR", Flags: []cli.Flag{config, operator, asJSON},
			Action: func(_ context.Context, c *cli.Command) error {
				dir, err := oneArg(c, "the directory of a hook set")
				if err != nil {
					return err
				}
				return run(newCommands(c), dir)
			}}
	}
	hookCommand := func(name, usage string) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: "HOOK", Flags: []cli.Flag{operator, asJSON},
			Action: func(_ context.Context, c *cli.Command) error {
				hook, err := oneArg(c, "the name of a hook")
				if err != nil {
					return err
				}
				return newCommands(c).Call(name, hook)
			}}
	}
	proxyCommand := func(name, usage string) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, Flags: []cli.Flag{operator, asJSON},
			Action: func(_ context.Context, c *cli.Command) error { return newCommands(c).Call(name) }}
	}
	return &cli.Command{Name: "hooks", Usage: "inspect, check, run and control hooks", Commands: []*cli.Command{
		proxyCommand("list", "list the hooks of a running proxy with their state, reason and counts"),
		dirCommand("check", "load a hook set and run its self-tests; if it is invalid, print file, line and reason and exit with 1", (*app.HookCommands).Check),
		dirCommand("test", "run the self-tests of a hook set and print the result of each", (*app.HookCommands).Test),
		{Name: "run", Usage: "run one query through a hook set and print the result and the duration of each hook call",
			Flags: []cli.Flag{config, operator, asJSON,
				&cli.StringFlag{Name: "set", Usage: "the `DIR` of the hook set", Required: true},
				&cli.StringFlag{Name: "query", Usage: "the JSON `FILE` that describes the query (see the reference page)", Required: true}},
			Action: func(_ context.Context, c *cli.Command) error {
				return newCommands(c).Run(c.String("set"), c.String("query"))
			}},
		proxyCommand("reload", "make a running proxy reload its hook set"),
		hookCommand("disable", "disable a hook in a running proxy"),
		hookCommand("enable", "enable a hook in a running proxy; this also ends its quarantine"),
	}}
}
