package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"saddleport/internal/app"
)

// levelCommands returns the "level" command, which shows and pins the service level of a
// running proxy.
func levelCommands(operator, asJSON cli.Flag) *cli.Command {
	levelCommand := func(name, usage string, history bool) *cli.Command {
		verb := name
		if history {
			verb = "show"
		}
		return &cli.Command{Name: name, Usage: usage, Flags: []cli.Flag{operator, asJSON}, Action: func(_ context.Context, c *cli.Command) error {
			return app.Level(os.Stdout, c.String("operator"), c.Bool("json"), history, verb)
		}}
	}
	return &cli.Command{Name: "level", Usage: "show or pin the service level of a running proxy", Commands: []*cli.Command{
		levelCommand("show", "show the current level, the load signals and the cost of each level", false),
		levelCommand("history", "list the level changes with their reasons", true),
		levelCommand("release", "remove the pin; the signals decide the level again", false),
		{Name: "pin", Usage: "keep a level for a duration, regardless of the signals", ArgsUsage: "LEVEL SPAN", Flags: []cli.Flag{operator, asJSON},
			Action: func(_ context.Context, c *cli.Command) error {
				if c.Args().Len() != 2 {
					return errors.New("expected two arguments: a level (full, or one that the setting levels in section [levels] names) and a duration such as 10m")
				}
				return app.Level(os.Stdout, c.String("operator"), c.Bool("json"), false, "pin", c.Args().Get(0), c.Args().Get(1))
			}},
	}}
}
