// Command lens is the old name of saddlectl, kept for one version. It starts saddlectl, which
// stands in the same folder.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

func main() {
	if err := runNew(); err != nil {
		fmt.Fprintln(os.Stderr, "lens:", err)
		os.Exit(1)
	}
}

// runNew replaces this process by saddlectl, under the old name so that it says what it is
// called now.
func runNew() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), "saddlectl")
	return errors.Join(errors.New("start saddlectl in its place"), syscall.Exec(path, os.Args, os.Environ()))
}
