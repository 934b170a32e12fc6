// Package fleettest tests complete fleets: control-plane processes, agents and proxies that run in the test's
// process, each machine at a loopback address of its own. The package has only tests.
package fleettest
