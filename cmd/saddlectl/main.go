// Command saddlectl is the operators' and developers' tool: it checks files, inspects running
// processes, searches schedules of the control plane for violated invariants, and runs
// measurements, the demo and soak tests.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"saddleport/internal/lab/answers"
	"saddleport/internal/lab/measure"
	"saddleport/internal/lab/modelcheck"
	"saddleport/internal/lab/soak"
	"saddleport/internal/lab/testcluster"
	"saddleport/internal/node/cli"
)

func main() {
	if name := filepath.Base(os.Args[0]); name == "lens" {
		cli.WarnOldName(name, "saddlectl")
	}
	root := cli.Toolbox()
	measure := measure.Command()
	measure.AddCommand(testcluster.Command(), answers.Command())
	root.AddCommand(modelcheck.Command(), measure, testcluster.DemoCommand(), soak.Command())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "saddlectl:", err)
		os.Exit(soak.ExitCode(err))
	}
}
