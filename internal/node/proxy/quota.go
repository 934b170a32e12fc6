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
	claimTimeout      = 700 * time.Millisecond // shorter than the time between two claims
	claimPollInterval = 100 * time.Millisecond // between two checks whether a claim is due
)

// quotaClient is the proxy's part in allowances: it claims leases by way of the agent and admits requests
// by them.
type quotaClient struct {
	proxy         *proxy
	mu            sync.Mutex // guards the fields below, for the clients' goroutines and the one that claims
	holder        *quota.Holder
	hasAllowances bool
	wake          chan struct{}
}

func newQuotaClient(p *proxy) *quotaClient {
	return &quotaClient{proxy: p, holder: quota.NewHolder(quota.DefaultLeaseConfig), wake: make(chan struct{}, 1)}
}

func (q *quotaClient) now() int64 { return time.Since(q.proxy.startedAt).Microseconds() }

// setAllowances replaces the allowances by those of a configuration.
func (q *quotaClient) setAllowances(config *routeconfig.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	allowances := agentapi.AllowancesOf(config)
	q.holder.SetAllowances(q.now(), allowances)
	if q.hasAllowances = len(allowances) > 0; q.hasAllowances {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// setProxies sets the number of proxies, this one included.
func (q *quotaClient) setProxies(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.SetProxies(n)
}

// admit charges one request to an allowance. If the allowance is used up admit returns false and the time
// after which a request may be admitted.
func (q *quotaClient) admit(name string) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ok, retryAfter := q.holder.Admit(q.now(), name)
	if !ok {
		events.QuotaExhausted.Log("allowance", name, "after", time.Duration(retryAfter*1000).Round(time.Millisecond))
	}
	return ok, time.Duration(retryAfter) * time.Microsecond
}

// run claims leases until ctx ends. It sleeps while the configuration has no allowances.
func (q *quotaClient) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for q.claim(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(claimPollInterval):
			}
		}
	}
}

// claim sends the claims that are due, if there are any. more reports whether there are allowances.
func (q *quotaClient) claim(ctx context.Context) (more bool) {
	q.mu.Lock()
	sent := q.now()
	claims := q.holder.TakeClaims(sent)
	more = q.hasAllowances
	q.mu.Unlock()
	if len(claims) == 0 {
		return more
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	response, err := agentapi.ClaimCall.Invoke(callCtx, q.proxy.client, q.proxy.settings.AgentAddr(), "", agentapi.ClaimRequest{Claims: claims})
	cancel()
	if err == nil { // otherwise the lease runs out, and only the unleased share is left
		q.mu.Lock()
		q.holder.HandleGrants(q.now(), sent, response.Grants)
		q.mu.Unlock()
	}
	return more
}
