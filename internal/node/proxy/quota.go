package proxy

import (
	"context"
	"sync"
	"time"

	"saddleport/internal/cluster/quota"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/events"
)

const (
	claimTimeout      = 700 * time.Millisecond // less than lies between two claims
	claimPollInterval = 100 * time.Millisecond // between looks whether a claim is due
)

// quotaClient is a proxy's part in allowances.
type quotaClient struct {
	proxy         *proxy
	mu            sync.Mutex // the clients' goroutines and the one that claims
	holder        *quota.Holder
	hasAllowances bool
	wake          chan struct{}
}

func newQuotaClient(t *proxy) *quotaClient {
	return &quotaClient{proxy: t, holder: quota.NewHolder(quota.DefaultLeaseConfig), wake: make(chan struct{}, 1)}
}

func (k *quotaClient) now() int64 { return time.Since(k.proxy.startedAt).Microseconds() }

// setAllowances sets the allowances of the configuration in force.
func (k *quotaClient) setAllowances(c *routeconfig.Config) {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := agentapi.AllowancesOf(c)
	k.holder.SetAllowances(k.now(), list)
	if k.hasAllowances = len(list) > 0; k.hasAllowances {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}

func (k *quotaClient) setProxies(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holder.SetProxies(n)
}

// admit takes a request off an allowance.
func (k *quotaClient) admit(name string) (bool, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok, after := k.holder.Admit(k.now(), name)
	if !ok {
		events.QuotaExhausted.Log("allowance", name, "after", time.Duration(after*1000).Round(time.Millisecond))
	}
	return ok, time.Duration(after) * time.Microsecond
}

// run claims leases until ctx ends. It rests while the configuration has no allowances.
func (k *quotaClient) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		for k.claim(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(claimPollInterval):
			}
		}
	}
}

func (k *quotaClient) claim(ctx context.Context) (more bool) {
	k.mu.Lock()
	sent := k.now()
	list := k.holder.TakeClaims(sent)
	more = k.hasAllowances
	k.mu.Unlock()
	if len(list) == 0 {
		return more
	}
	ask, cancel := context.WithTimeout(ctx, claimTimeout)
	ans, err := agentapi.ClaimCall.Invoke(ask, k.proxy.client, k.proxy.settings.AgentAddr(), "", agentapi.ClaimRequest{Claims: list})
	cancel()
	if err == nil { // otherwise the lease runs out, and the unleased share is left
		k.mu.Lock()
		k.holder.HandleGrants(k.now(), sent, ans.Grants)
		k.mu.Unlock()
	}
	return more
}
