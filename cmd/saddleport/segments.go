package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"saddleport/internal/app"
)

// segmentCommands returns the "segments" command, which shows and checks segment maps.
func segmentCommands(operator, asJSON cli.Flag) *cli.Command {
	return &cli.Command{Name: "segments", Usage: "show, check and explain the segment map", Commands: []*cli.Command{
		{Name: "show", Usage: "show the segment map of a running proxy", Flags: []cli.Flag{operator, asJSON},
			Action: func(_ context.Context, c *cli.Command) error {
				return app.SegmentsShow(os.Stdout, c.String("operator"), c.Bool("json"))
			}},
		{Name: "check", Usage: "check a file with a complete segment map and report the first error", ArgsUsage: "FILE",
			Action: func(_ context.Context, c *cli.Command) error {
				if c.Args().Len() != 1 {
					return errors.New("expected exactly one argument: a file with a segment map")
				}
				return app.SegmentsCheck(os.Stdout, c.Args().First())
			}},
		{Name: "explain", Usage: "show the segment, cell and servers to which a running proxy routes a key", ArgsUsage: "KEY", Flags: []cli.Flag{operator},
			Action: func(_ context.Context, c *cli.Command) error {
				if c.Args().Len() != 1 {
					return errors.New("expected exactly one argument: a key")
				}
				return app.SegmentsExplain(os.Stdout, c.String("operator"), c.Args().First())
			}},
	}}
}
