package proxy

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/downstream/httpserver"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/nodesettings"
)

const (
	testShards      = 45  // new services of each configuration
	testRevisions   = 300 // more than three times as many services as a proxy can number
	revisionSpacing = 850 * time.Millisecond
)

func configurationEntry(t *testing.T, revision, services int) gossip.Entry {
	t.Helper()
	type object = map[string]any
	var names []string
	var list []object
	for i := range services {
		names = append(names, fmt.Sprintf("shard%d-%d", revision, i))
		list = append(list, object{"name": names[i], "max_connections": 10})
	}
	raw, err := json.Marshal(object{"revision": revision, "services": list, "routes": []object{{"hostname": "h", "path_prefix": "/a/",
		"route_type": "idempotent", "timeout_ms": 1000, "fanout_services": names[:min(services, testShards)], "min_success_ratio": 0.5}}})
	require.NoError(t, err)
	return gossip.Entry{Key: agentapi.ConfigurationKey, Version: uint64(revision) << 16, Value: raw}
}

func newTestProxy(t *testing.T) *proxy {
	t.Helper()
	settings, err := nodesettings.Parse("node_name=m1\nip_address=127.9.8.1\nzone=z\ninternal_port_range=7080,7090\nseed_addresses=127.9.8.2:8047\n" +
		"limits.max_open_files=2000\nbounds.drain_ms=4000\nbounds.retry_window_s=10\nbounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=58")
	require.NoError(t, err)
	p, err := newProxy(nodesettings.Fixed(settings))
	require.NoError(t, err)
	return p
}

// Guards against a proxy that ignores every further configuration once it has met as many service names as it
// can number.
func TestNumbersAreFreed(t *testing.T) {
	p, now := newTestProxy(t), time.Now()
	for revision := 1; revision <= testRevisions; revision++ {
		p.applyEntries([]gossip.Entry{configurationEntry(t, revision, testShards)})
		require.EqualValues(t, revision, p.routes.Plan().Config.Revision)
		now = now.Add(revisionSpacing)
		p.releaseNumbers(now)
		require.LessOrEqual(t, p.shardNumbers.Len(), httpserver.MaxShards)
		require.LessOrEqual(t, len(p.maxConnections), releaseThreshold)
	}
}

// Guards against a configuration or server that stays ignored after numbers have been freed.
func TestEntriesWaitForNumbers(t *testing.T) {
	p, now := newTestProxy(t), time.Now()
	p.applyEntries([]gossip.Entry{configurationEntry(t, 1, testShards)})
	var come, leave []gossip.Entry // servers of services that no configuration names
	for i := p.shardNumbers.Len(); i < httpserver.MaxShards; i++ {
		come = append(come, serverEntry(fmt.Sprint("i-", i), fmt.Sprint("other-", i), 4))
		leave = append(leave, gossip.Entry{Key: registry.Prefix + fmt.Sprint("i-", i), Version: 1 << 62})
	}
	p.applyEntries(come)
	waiting := serverEntry("i-new", "shard2-0", 4)
	p.applyEntries([]gossip.Entry{configurationEntry(t, 2, testShards), waiting})
	require.EqualValues(t, 1, p.routes.Plan().Config.Revision)
	require.Len(t, p.unnumbered, 2)
	p.applyEntries(leave)
	p.releaseNumbers(now)
	require.EqualValues(t, 1, p.routes.Plan().Config.Revision, "the numbers may still be in use")
	p.releaseNumbers(now.Add(time.Minute))
	require.EqualValues(t, 2, p.routes.Plan().Config.Revision)
	require.Empty(t, p.unnumbered)
	_, converted, ok := p.convertServer(waiting)
	require.True(t, ok)
	require.Equal(t, "i-new", converted.ID)
}

// A configuration that the control plane accepts can be held by a proxy.
func TestLargestConfiguration(t *testing.T) {
	require.Less(t, routeconfig.MaxServices, httpserver.MaxShards)
	p := newTestProxy(t)
	p.applyEntries([]gossip.Entry{configurationEntry(t, 1, routeconfig.MaxServices)})
	require.EqualValues(t, 1, p.routes.Plan().Config.Revision)
	_, err := routeconfig.Parse(configurationEntry(t, 2, routeconfig.MaxServices+1).Value)
	require.ErrorContains(t, err, "services: 4001 services exceed the maximum of 4000")
}

func serverEntry(id, service string, version uint64) gossip.Entry {
	value, err := json.Marshal(registry.Server{Service: service, Addr: "127.0.0.1:9", Zone: "z", Capacity: 3})
	if err != nil {
		panic(err)
	}
	return gossip.Entry{Key: registry.Prefix + id, Version: version, Value: value}
}
