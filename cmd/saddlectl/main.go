// Command saddlectl is the toolbox of the system: it checks files, looks at running
// processes, searches the control plane for broken rules and measures.
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
	toolbox := cli.Toolbox()
	measure := measure.Command()
	measure.AddCommand(testcluster.Command(), answers.Command())
	toolbox.AddCommand(modelcheck.Command(), measure, testcluster.DemoCommand(), soak.Command())
	if err := toolbox.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "saddlectl:", err)
		os.Exit(soak.ExitCode(err))
	}
}
