// Command controlplane takes heartbeats of servers and configurations of operators, keeps
// them on disk and brings them to all agents.
package main

import "saddleport/internal/node/cli"

func main() { cli.Main(cli.ControlPlane) }
