// Command wirehost runs the decision logic for the simulator: it reads batches of events from
// standard input and writes replies to standard output and errors to standard error.
package main

import (
	"fmt"
	"os"

	"saddleport/internal/wire"
)

func main() {
	if err := wire.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
