package proxy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/upstream/httpclient"
)

func limitOf(t *testing.T, p *proxy, id string) int {
	t.Helper()
	for _, server := range p.listedServers() {
		if server.ID == id {
			return server.MaxConns
		}
	}
	t.Fatalf("server %s is not listed", id)
	return 0
}

func configurationWithLimit(revision, limit int) gossip.Entry {
	return gossip.Entry{Key: agentapi.ConfigurationKey, Version: uint64(revision) << 16, Value: []byte(fmt.Sprintf(
		`{"revision":%d,"services":[{"name":"s","max_connections":%d}],"routes":[{"hostname":"h","path_prefix":"/v/","route_type":"idempotent","timeout_ms":2000,"target_service":"s"}]}`, revision, limit))}
}

// Guards against more connections than a server accepts, from a proxy that listed it before the limit or the number
// of proxies was known.
func TestLimitsReachListedServers(t *testing.T) {
	p := newTestProxy(t)
	refreshed := func(what string) {
		t.Helper()
		require.False(t, p.limitsOutdated, what)
	}
	p.applyEntries([]gossip.Entry{serverEntry("i-1", "s", 4)})
	require.Equal(t, 0, limitOf(t, p, "i-1"), "unknown")

	p.applyEntries([]gossip.Entry{configurationWithLimit(1, 80)})
	refreshed("after a configuration")
	require.Equal(t, 80/minProxies, limitOf(t, p, "i-1"))

	var agents []gossip.Entry
	for i := range 20 {
		addr := fmt.Sprint("127.9.8.", i, ":7080")
		agents = append(agents, gossip.Entry{Key: gossip.ProcessPrefix + addr, Version: 2, Value: []byte(`{"a":"` + addr + `",` + agentKindJSON + `}`)})
	}
	p.applyEntries(agents)
	require.True(t, p.limitsOutdated, "until the next maintenance")
	p.refreshLimits()
	refreshed("after more proxies")
	require.Equal(t, 80/20, limitOf(t, p, "i-1"))

	p.applyEntries([]gossip.Entry{configurationWithLimit(2, 20), serverEntry("i-2", "s", 4)})
	refreshed("after a lower limit")
	require.Equal(t, minConnections, limitOf(t, p, "i-1"))
	_, converted, _ := p.convertServer(serverEntry("i-2", "s", 8))
	require.Equal(t, httpclient.Server{ID: "i-2", Addr: "127.0.0.1:9", MaxConns: minConnections}, converted)
}
