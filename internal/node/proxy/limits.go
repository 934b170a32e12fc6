package proxy

// This file divides the connections that a server accepts among the proxies.

import (
	"strings"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/upstream/httpclient"
)

const minConnections = 2 // to a server, however many proxies share its limit

// setMaxConnections records the limits of a configuration. The caller must hold mu.
func (p *proxy) setMaxConnections(services map[string]*routeconfig.Service) {
	for name, service := range services {
		if p.maxConnections[name] != service.MaxConnections {
			p.maxConnections[name] = service.MaxConnections
			p.limitsOutdated = true
		}
	}
}

// upstreamServer returns a registered server for the upstream pool, with this proxy's share of the connections
// that the server accepts. The caller must hold mu.
func (p *proxy) upstreamServer(registered registry.Server) httpclient.Server {
	server := httpclient.Server{ID: registered.ID, Addr: registered.Addr, Draining: registered.State == registry.Draining}
	if limit := p.maxConnections[registered.Service]; limit > 0 {
		server.MaxConns = max(limit/max(p.proxyCount, minProxies), minConnections)
	}
	return server
}

// refreshLimits gives all known servers their limits if these have changed since they were listed. The caller
// must hold mu.
func (p *proxy) refreshLimits() {
	if p.limitsOutdated {
		p.limitsOutdated = false
		p.upstream.UpdateServers(p.listedServers())
	}
}

// listedServers returns the servers that the upstream pool has been given, with their limits of now. The caller
// must hold mu.
func (p *proxy) listedServers() (servers []httpclient.Server) {
	p.store.Range(func(entry gossip.Entry, _ int64) {
		if entry.Deleted() || p.unnumbered[entry.Key] || !strings.HasPrefix(entry.Key, registry.Prefix) {
			return
		}
		if registered, err := registry.Parse(entry); err == nil {
			servers = append(servers, p.upstreamServer(registered))
		}
	})
	return servers
}
