// Command tide is the proxy: takes clients' requests and answers them.
package main

import "saddleport/internal/node/cli"

func main() { cli.Main(cli.Tide) }
