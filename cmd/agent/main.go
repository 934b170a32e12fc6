// Command agent runs beside a proxy: it maintains the connection to the control plane and
// serves configuration updates to the proxy over loopback.
package main

import "saddleport/internal/node/cli"

func main() { cli.Main(cli.Agent) }
