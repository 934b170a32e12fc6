// Command lens is the toolbox of the system.
package main

import (
	"fmt"
	"os"

	"saddleport/internal/lab/answers"
	"saddleport/internal/lab/measure"
	"saddleport/internal/lab/modelcheck"
	"saddleport/internal/lab/yard"
	"saddleport/internal/node/cli"
)

func main() {
	lens := cli.Lens()
	measure := measure.Command()
	measure.AddCommand(yard.Command(), answers.Command())
	lens.AddCommand(modelcheck.Command(), measure)
	if err := lens.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lens:", err)
		os.Exit(1)
	}
}
