// Command echo is the agent beside a proxy.
package main

import "saddleport/internal/weave/command"

func main() { command.Main(command.Echo) }
