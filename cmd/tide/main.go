// Command tide is the proxy: takes clients' requests and answers them.
package main

import "saddleport/internal/weave/command"

func main() { command.Main(command.Tide) }
