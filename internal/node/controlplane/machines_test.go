package controlplane

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/node/nodesettings"
)

// testMachines provides the settings of control-plane machines that are not run.
type testMachines struct {
	t    *testing.T
	dirs map[int]string // data directories
}

func newTestMachines(t *testing.T) *testMachines {
	t.Helper()
	return &testMachines{t: t, dirs: make(map[int]string)}
}

// settings returns the settings of a machine. bootstrap states that the system starts for the first
// time.
func (m *testMachines) settings(machine int, bootstrap bool) *nodesettings.Settings {
	m.t.Helper()
	if m.dirs[machine] == "" {
		m.dirs[machine] = m.t.TempDir()
	}
	settings, err := nodesettings.Parse(fmt.Sprintf("node_name=m%d\nip_address=127.9.9.%d\nzone=z\ninternal_port_range=7080,7090\n"+
		"seed_addresses=127.9.9.1:8047,127.9.9.2:8047,127.9.9.3:8047\nbootstrap=%t\ndata_directory=%s\nheartbeat_interval_ms=1000\n"+
		"fault_tolerance.machines=1\nlisten_addresses.control_plane=127.9.9.%d:8047", machine, machine, bootstrap, m.dirs[machine], machine))
	So(err, ShouldBeNil)
	return settings
}

func testConfiguration(revision int) string {
	return fmt.Sprintf(`{"revision":%d,"services":[{"name":"s","max_connections":76}],"routes":[{"hostname":"h","path_prefix":"/v/","route_type":"idempotent","timeout_ms":2000,"target_service":"s"}]}`, revision)
}

// waitUntil polls a condition for at most a minute, then fails the test.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	deadline := time.After(time.Minute)
	for !condition() {
		select {
		case <-deadline:
			t.Fatalf("%s: condition not met within a minute", what)
		case <-tick.C:
		}
	}
}
