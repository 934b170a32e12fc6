package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"saddleport/internal/app"
)

// segments are the sub-commands on the map of segments.
func segments(operator, asJSON cli.Flag) *cli.Command {
	return &cli.Command{Name: "segments", Usage: "the map of segments", Commands: []*cli.Command{
		{Name: "show", Usage: "what a running mixer believes", Flags: []cli.Flag{operator, asJSON},
			Action: func(_ context.Context, c *cli.Command) error {
				return app.SegmentsShow(os.Stdout, c.String("operator"), c.Bool("json"))
			}},
		{Name: "check", Usage: "read a whole map and say what is wrong with it", ArgsUsage: "FILE",
			Action: func(_ context.Context, c *cli.Command) error {
				if c.Args().Len() != 1 {
					return errors.New("give one file with a map")
				}
				return app.SegmentsCheck(os.Stdout, c.Args().First())
			}},
		{Name: "explain", Usage: "where a running mixer sends a key", ArgsUsage: "KEY", Flags: []cli.Flag{operator},
			Action: func(_ context.Context, c *cli.Command) error {
				if c.Args().Len() != 1 {
					return errors.New("give one key")
				}
				return app.SegmentsExplain(os.Stdout, c.String("operator"), c.Args().First())
			}},
	}}
}
