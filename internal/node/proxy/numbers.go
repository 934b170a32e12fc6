package proxy

// This file frees the shard numbers of services that are not used any more, so that a proxy can hold any
// number of services over its life.

import (
	"errors"
	"strings"
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/downstream/httpserver"
)

const (
	releaseThreshold = httpserver.MaxShards / 4 // numbers are freed while at least this many are taken
	reuseWindows     = 3                        // windows of the retry budget, which counts requests by number, before a number is used again
)

// noteUnnumbered records an entry that can't be applied until a shard number is free, if that is what err
// says. The caller must hold mu.
func (p *proxy) noteUnnumbered(key string, err error) {
	if errors.Is(err, httpserver.ErrNoShardNumber) {
		p.unnumbered[key] = true
	}
}

// releaseNumbers frees the shard numbers and limits of services that neither the configuration in force nor a
// known server names, and then applies the entries that wait for a number. The caller must hold mu.
func (p *proxy) releaseNumbers(now time.Time) {
	if p.shardNumbers.Len() < releaseThreshold && len(p.maxConnections) < releaseThreshold {
		return
	}
	used := p.usedServices()
	p.shardNumbers.Release(now, reuseWindows*p.settings.Bounds.RetryWindow, used)
	for service := range p.maxConnections {
		if !used[service] {
			delete(p.maxConnections, service)
		}
	}
	waiting := make([]gossip.Entry, 0, len(p.unnumbered))
	for key := range p.unnumbered {
		if entry, known := p.store.Get(key); known {
			waiting = append(waiting, entry)
		}
	}
	clear(p.unnumbered)
	if len(waiting) > 0 {
		p.applyStored(waiting)
	}
}

// usedServices returns the services that the configuration in force or a known server names. The caller must
// hold mu.
func (p *proxy) usedServices() map[string]bool {
	used := make(map[string]bool)
	if plan := p.routes.Plan(); plan != nil {
		for service := range plan.Config.Services {
			used[service] = true
		}
	}
	p.store.Range(func(entry gossip.Entry, _ int64) {
		if entry.Deleted() || !strings.HasPrefix(entry.Key, registry.Prefix) {
			return
		}
		if server, err := registry.Parse(entry); err == nil {
			used[server.Service] = true
		}
	})
	return used
}
