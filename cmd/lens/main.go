// Command lens is the old name of saddlectl, kept for one version. It executes saddlectl from
// its own directory.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

func main() {
	if err := execSaddlectl(); err != nil {
		fmt.Fprintln(os.Stderr, "lens:", err)
		os.Exit(1)
	}
}

// execSaddlectl replaces this process by saddlectl. It passes the old name on as the first
// argument, so that saddlectl prints a warning with the new name. It returns only on an error.
func execSaddlectl() error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(executable), "saddlectl")
	return errors.Join(errors.New("cannot execute saddlectl"), syscall.Exec(path, os.Args, os.Environ()))
}
