// Command proxy takes requests of clients, sends them to servers and answers them.
package main

import "saddleport/internal/node/cli"

func main() { cli.Main(cli.Proxy) }
