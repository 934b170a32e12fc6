package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"saddleport/internal/app"
)

// levels are the sub-commands on the level of service.
func levels(operator, asJSON cli.Flag) *cli.Command {
	do := func(name, usage string, history bool) *cli.Command {
		ask := name
		if history {
			ask = "show"
		}
		return &cli.Command{Name: name, Usage: usage, Flags: []cli.Flag{operator, asJSON}, Action: func(_ context.Context, c *cli.Command) error {
			return app.Level(os.Stdout, c.String("operator"), c.Bool("json"), history, ask)
		}}
	}
	return &cli.Command{Name: "level", Usage: "the level of service of a running mixer", Commands: []*cli.Command{
		do("show", "the level in force, the signals, and what each level has cost", false),
		do("history", "the changes of the level, with their reasons", true),
		do("release", "let go of a pin", false),
		{Name: "pin", Usage: "hold a level for a while, whatever the signals say", ArgsUsage: "LEVEL SPAN", Flags: []cli.Flag{operator, asJSON},
			Action: func(_ context.Context, c *cli.Command) error {
				if c.Args().Len() != 2 {
					return errors.New("give a level (full, or one of [levels] levels) and a span such as 10m")
				}
				return app.Level(os.Stdout, c.String("operator"), c.Bool("json"), false, "pin", c.Args().Get(0), c.Args().Get(1))
			}},
	}}
}
