// Command agent runs beside a proxy: it keeps the link to the control plane and feeds the
// proxy over loopback.
package main

import "saddleport/internal/node/cli"

func main() { cli.Main(cli.Agent) }
