// Command keel is a core process.
package main

import "saddleport/internal/weave/command"

func main() { command.Main(command.Keel) }
