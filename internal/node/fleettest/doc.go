// Package fleettest tests complete fleets: control-plane machines, agents and proxies in one
// process, each machine at a loopback address of its own. It has no code of its own.
package fleettest
