package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"saddleport/internal/app"
)

// hooks are the sub-commands on hooks. Those that take a folder need no mixer;
// the others speak to the one that runs with the operator file.
func hooks(config, operator, asJSON cli.Flag) *cli.Command {
	shared := func(c *cli.Command) *app.HookCommands {
		return &app.HookCommands{Out: os.Stdout, Config: c.String("config"), Operator: c.String("operator"), JSON: c.Bool("json")}
	}
	arg := func(c *cli.Command, what string) (string, error) {
		if c.Args().Len() != 1 {
			return "", errors.New("give one " + what)
		}
		return c.Args().First(), nil
	}
	onDir := func(name, usage string, do func(*app.HookCommands, string) error) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: "DIR", Flags: []cli.Flag{config, operator, asJSON},
			Action: func(_ context.Context, c *cli.Command) error {
				dir, err := arg(c, "folder of a set")
				if err != nil {
					return err
				}
				return do(shared(c), dir)
			}}
	}
	onHook := func(name, usage string) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: "HOOK", Flags: []cli.Flag{operator, asJSON},
			Action: func(_ context.Context, c *cli.Command) error {
				hook, err := arg(c, "name of a hook")
				if err != nil {
					return err
				}
				return shared(c).Ask(name, hook)
			}}
	}
	onMixer := func(name, usage string) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, Flags: []cli.Flag{operator, asJSON},
			Action: func(_ context.Context, c *cli.Command) error { return shared(c).Ask(name) }}
	}
	return &cli.Command{Name: "hooks", Usage: "hooks of one's own", Commands: []*cli.Command{
		onMixer("list", "the hooks of a running mixer: state, reason, counts"),
		onDir("check", "load a set and run its self-tests; exit 1 with file, line and reason if it is bad", (*app.HookCommands).Check),
		onDir("test", "run a set's self-tests and tell how each went", (*app.HookCommands).Test),
		{Name: "run", Usage: "play one query through a set and tell what each hook did and took",
			Flags: []cli.Flag{config, operator, asJSON,
				&cli.StringFlag{Name: "set", Usage: "the set's folder `DIR`", Required: true},
				&cli.StringFlag{Name: "query", Usage: "the query, a JSON `FILE` (see the reference page)", Required: true}},
			Action: func(_ context.Context, c *cli.Command) error {
				return shared(c).Run(c.String("set"), c.String("query"))
			}},
		onMixer("reload", "have a running mixer load its set again"),
		onHook("disable", "have a running mixer leave a hook out"),
		onHook("enable", "have a running mixer use a hook again, out of quarantine too"),
	}}
}
