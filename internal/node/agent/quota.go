package agent

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/outlier"
	"saddleport/internal/cluster/quota"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/peer"
	"saddleport/internal/node/rpc"
)

const (
	lessorInterval = time.Second // between two looks at how many proxies there are
)

// quotaService is the agent's part in allowances. It forwards claims to the agent that has the lessor,
// and runs the lessor while this agent has the role.
type quotaService struct {
	node          *peer.Node
	lessor        *quota.Lessor // guarded by node.Mu, as are the fields below; nil: another process has it
	epoch         uint64        // under which this process has the lessor
	configVersion uint64        // version of the configuration from which allowances was read
	allowances    []quota.Allowance
	wake          chan struct{}
}

func newQuotaService(n *peer.Node) *quotaService {
	return &quotaService{node: n, wake: make(chan struct{}, 1)}
}

// onUpdate reads the allowances of a configuration that was gossiped. The caller must hold node.Mu.
func (q *quotaService) onUpdate(entry gossip.Entry) {
	if entry.Key != agentapi.ConfigurationKey || entry.Version <= q.configVersion {
		return
	}
	q.configVersion = entry.Version
	var allowances []quota.Allowance
	if bytes.Contains(entry.Value, []byte(`"allowances"`)) { // otherwise the configuration need not be parsed
		if config, err := routeconfig.Parse(entry.Value); err == nil {
			allowances = agentapi.AllowancesOf(config)
		}
	}
	if q.allowances = allowances; q.lessor != nil {
		q.lessor.SetAllowances(allowances)
	}
	if len(allowances) > 0 {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// proxyCount returns the number of live agents, this one included; each has one proxy.
func (q *quotaService) proxyCount() int { return len(q.node.Members.Peers(gossip.KindAgent)) + 1 }

// updateHolder starts or stops the lessor as this process gets or loses the role. The caller must hold
// node.Mu.
func (q *quotaService) updateHolder() {
	epoch, holds := q.node.Members.Holds(outlier.Role)
	switch {
	case !holds:
		q.lessor = nil
	case q.lessor == nil || q.epoch != epoch:
		q.epoch, q.lessor = epoch, quota.NewLessor(q.node.Now(), quota.DefaultLeaseConfig, q.proxyCount())
		q.lessor.SetAllowances(q.allowances)
	}
	if q.lessor != nil {
		q.lessor.ObserveProxies(q.node.Now(), q.proxyCount())
	}
}

// serve registers the calls of the proxy and of the other agents.
func (q *quotaService) serve(loopback, internal *http.ServeMux) {
	agentapi.ClaimCall.Handle(loopback, func(ctx context.Context, _ rpc.RequestInfo, request agentapi.ClaimRequest) (agentapi.ClaimResponse, error) {
		q.node.Mu.Lock()
		q.updateHolder()
		if q.lessor != nil {
			defer q.node.Mu.Unlock()
			return agentapi.ClaimResponse{Grants: q.lessor.HandleClaims(q.node.Now(), q.node.Self.Addr, q.proxyCount(), request.Claims)}, nil
		}
		holder, known := q.node.Members.Holder(outlier.Role)
		q.node.Mu.Unlock()
		if !known {
			return agentapi.ClaimResponse{}, rpc.Errorf(http.StatusServiceUnavailable, "no process is known to have the lessor")
		}
		return agentapi.ForwardClaimCall.Invoke(ctx, q.node.Client, holder.Holder, "", agentapi.ClaimRequest{From: q.node.Self.Addr, Claims: request.Claims})
	})
	agentapi.ForwardClaimCall.Handle(internal, func(_ context.Context, _ rpc.RequestInfo, request agentapi.ClaimRequest) (agentapi.ClaimResponse, error) {
		q.node.Mu.Lock()
		defer q.node.Mu.Unlock()
		if q.updateHolder(); q.lessor == nil {
			return agentapi.ClaimResponse{}, rpc.Errorf(http.StatusConflict, "this agent does not have the lessor")
		}
		return agentapi.ClaimResponse{Grants: q.lessor.HandleClaims(q.node.Now(), request.From, q.proxyCount(), request.Claims)}, nil
	})
}

// run keeps the lessor informed of the number of proxies until ctx ends. It sleeps while there are no
// allowances.
func (q *quotaService) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for active := true; active; {
			q.node.Mu.Lock()
			q.updateHolder()
			active = len(q.allowances) > 0
			q.node.Mu.Unlock()
			select {
			case <-ctx.Done():
				return
			case <-time.After(lessorInterval):
			}
		}
	}
}
