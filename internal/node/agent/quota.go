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
	lessorInterval = time.Second
)

// quotaService is an agent's part in allowances: it forwards claims, and holds the lessor if
// the role is its own.
type quotaService struct {
	node          *peer.Node
	lessor        *quota.Lessor // under the node's mu, as all below; nil: another holds it
	epoch         uint64
	configVersion uint64 // of the configuration that stated was read from
	allowances    []quota.Allowance
	wake          chan struct{}
}

func newQuotaService(n *peer.Node) *quotaService {
	return &quotaService{node: n, wake: make(chan struct{}, 1)}
}

// onUpdate takes a configuration that was gossiped. The caller must have locked the node.
func (v *quotaService) onUpdate(i gossip.Entry) {
	if i.Key != agentapi.ConfigurationKey || i.Version <= v.configVersion {
		return
	}
	v.configVersion = i.Version
	var list []quota.Allowance
	if bytes.Contains(i.Value, []byte(`"allowances"`)) { // else it need not be read here
		if c, err := routeconfig.Parse(i.Value); err == nil {
			list = agentapi.AllowancesOf(c)
		}
	}
	if v.allowances = list; v.lessor != nil {
		v.lessor.SetAllowances(list)
	}
	if len(list) > 0 {
		select {
		case v.wake <- struct{}{}:
		default:
		}
	}
}

func (v *quotaService) proxyCount() int { return len(v.node.Members.Peers(gossip.KindAgent)) + 1 }

// updateHolder holds the lessor here while the role is. The caller must have locked the node.
func (v *quotaService) updateHolder() {
	epoch, holds := v.node.Members.Holds(outlier.Role)
	switch {
	case !holds:
		v.lessor = nil
	case v.lessor == nil || v.epoch != epoch:
		v.epoch, v.lessor = epoch, quota.NewLessor(v.node.Now(), quota.DefaultLeaseConfig, v.proxyCount())
		v.lessor.SetAllowances(v.allowances)
	}
	if v.lessor != nil {
		v.lessor.ObserveProxies(v.node.Now(), v.proxyCount())
	}
}

func (v *quotaService) serve(loop, inner *http.ServeMux) {
	agentapi.ClaimCall.Handle(loop, func(ctx context.Context, _ rpc.RequestInfo, c agentapi.ClaimRequest) (agentapi.ClaimResponse, error) {
		v.node.Mu.Lock()
		v.updateHolder()
		if v.lessor != nil {
			defer v.node.Mu.Unlock()
			return agentapi.ClaimResponse{Grants: v.lessor.HandleClaims(v.node.Now(), v.node.Self.Addr, v.proxyCount(), c.Claims)}, nil
		}
		holder, known := v.node.Members.Holder(outlier.Role)
		v.node.Mu.Unlock()
		if !known {
			return agentapi.ClaimResponse{}, rpc.Errorf(http.StatusServiceUnavailable, "no process is known to hold the lessor")
		}
		return agentapi.ForwardClaimCall.Invoke(ctx, v.node.Client, holder.Holder, "", agentapi.ClaimRequest{From: v.node.Self.Addr, Claims: c.Claims})
	})
	agentapi.ForwardClaimCall.Handle(inner, func(_ context.Context, _ rpc.RequestInfo, c agentapi.ClaimRequest) (agentapi.ClaimResponse, error) {
		v.node.Mu.Lock()
		defer v.node.Mu.Unlock()
		if v.updateHolder(); v.lessor == nil {
			return agentapi.ClaimResponse{}, rpc.Errorf(http.StatusConflict, "the duty is another's")
		}
		return agentapi.ClaimResponse{Grants: v.lessor.HandleClaims(v.node.Now(), c.From, v.proxyCount(), c.Claims)}, nil
	})
}

// run watches how many proxies there are until ctx ends. It rests while there are no
// allowances.
func (v *quotaService) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.wake:
		}
		for some := true; some; {
			v.node.Mu.Lock()
			v.updateHolder()
			some = len(v.allowances) > 0
			v.node.Mu.Unlock()
			select {
			case <-ctx.Done():
				return
			case <-time.After(lessorInterval):
			}
		}
	}
}
