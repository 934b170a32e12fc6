// Command echo is the agent beside a proxy.
package main

import "saddleport/internal/node/cli"

func main() { cli.Main(cli.Echo) }
