// Command keel is a core process.
package main

import "saddleport/internal/node/cli"

func main() { cli.Main(cli.Keel) }
