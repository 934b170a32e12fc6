// Command keel is the old name of controlplane, kept for one version.
package main

import "saddleport/internal/node/cli"

func main() { cli.MainUnderOldName(cli.ControlPlane) }
