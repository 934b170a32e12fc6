// Command tide is the old name of proxy, kept for one version.
package main

import "saddleport/internal/node/cli"

func main() { cli.MainUnderOldName(cli.Proxy) }
