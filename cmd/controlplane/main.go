// Command controlplane receives the heartbeats of servers and the configurations of operators,
// stores them on disk and distributes them to all agents.
package main

import "saddleport/internal/node/cli"

func main() { cli.Main(cli.ControlPlane) }
