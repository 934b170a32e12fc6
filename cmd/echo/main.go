// Command echo is the old name of agent, kept for one version.
package main

import "saddleport/internal/node/cli"

func main() { cli.MainUnderOldName(cli.Agent) }
