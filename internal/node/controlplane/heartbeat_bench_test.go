package controlplane

import (
	"encoding/json"
	"fmt"
	"testing"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/peer"
	"saddleport/internal/node/rpc"
)

// BenchmarkHeartbeat measures the handling of one heartbeat of a server by a control-plane machine,
// without HTTP, depending on the number of agents that the machine knows.
func BenchmarkHeartbeat(b *testing.B) {
	for _, agents := range []int{60, 180, 600, 1800} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			boot, err := nodesettings.Parse("node_name=m\nip_address=10.1.0.1\nzone=z0\nregion=r0\ninternal_port_range=7080,7090\nseed_addresses=10.1.0.1:8047\n" +
				"heartbeat_interval_ms=1200\nlisten_addresses.control_plane=10.1.0.1:8047")
			if err != nil {
				b.Fatal(err)
			}
			s := &controlPlane{Node: peer.NewNode(nodesettings.Fixed(boot), gossip.KindControlPlane)}
			s.registry = registry.New(s.Self.Addr, 1<<40)
			for i := range agents + 12 {
				p := gossip.Process{Addr: fmt.Sprintf("10.2.%d.%d:7080", i/200, i%200), Kind: gossip.KindAgent, Zone: fmt.Sprint("z", i%7)}
				if i < 12 {
					p.Kind, p.Control = gossip.KindControlPlane, fmt.Sprintf("10.2.%d.%d:8047", i/200, i%200)
				}
				body, _ := json.Marshal(p)
				s.Put(gossip.Entry{Key: gossip.ProcessPrefix + p.Addr, Version: 1, Value: body})
			}
			servers := agents * 8700 / 1800 / 12 // 8,700 servers per 1,800 agents, divided among 12 machines
			names := make([]string, servers)
			for i := range names {
				names[i] = fmt.Sprintf("i-%08x", i)
			}
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				heartbeat := registry.Heartbeat{Service: "s1", Addr: "10.9.0.1:80", Zone: "z1", Revision: "v1", Capacity: 3, State: registry.LifecycleAvailable, Sequence: int64(i/servers + 1)}
				if _, err := s.recordHeartbeat(rpc.RequestInfo{Name: names[i%servers]}, heartbeat); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
