// Command proxy receives requests from clients, forwards them to servers and returns the
// answers.
package main

import "saddleport/internal/node/cli"

func main() { cli.Main(cli.Proxy) }
