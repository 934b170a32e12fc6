// Command wirehost plays decision modules on the simulator's wire: batches on
// standard input, replies on standard output, complaints on standard error.
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
