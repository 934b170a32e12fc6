package role

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/outlier"
	"saddleport/internal/cluster/quota"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/node/events"
	"saddleport/internal/node/rpc"
)

// Allowances: a proxy admits by its own part and claims a new one about every second while
// it is asked; its agent passes claims on to the one that holds the bank, which is the duty
// of the council. Without allowances in the configuration nothing of this is sent.

// Claims are a mixer's claims on their way to the bank.
type ClaimRequest struct {
	From   string        `json:"f,omitempty"` // the agent; empty: the proxy on the same machine
	Claims []quota.Claim `json:"l"`
}

// Grants is the answer.
type ClaimResponse struct {
	Grants []quota.Grant `json:"l"`
}

var (
	ClaimCall        = rpc.Declare[ClaimRequest, ClaimResponse]("POST", "/Allow.Claim", MaxReportBytes, "the proxy on the same machine")
	ForwardClaimCall = rpc.Declare[ClaimRequest, ClaimResponse]("POST", "/Allow.Lease", MaxReportBytes, "every agent").Packed()
)

const (
	claimTimeout      = 700 * time.Millisecond // less than lies between two claims
	claimPollInterval = 100 * time.Millisecond // between looks whether a claim is due
	lessorInterval    = time.Second
)

func AllowancesOf(c *routeconfig.Config) (out []quota.Allowance) {
	for _, a := range c.Allowances {
		out = append(out, quota.Allowance{Name: a.Name, Rate: a.Rate, Burst: a.Burst})
	}
	return out
}

// clerk is a proxy's part.
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

// state takes the allowances of the configuration that is in force from now on.
func (k *quotaClient) setAllowances(c *routeconfig.Config) {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := AllowancesOf(c)
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

// allow takes a request off an allowance.
func (k *quotaClient) admit(name string) (bool, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok, after := k.holder.Admit(k.now(), name)
	if !ok {
		events.Withheld.Log("allowance", name, "after", time.Duration(after*1000).Round(time.Millisecond))
	}
	return ok, time.Duration(after) * time.Microsecond
}

// run claims parts until ctx ends. It rests while the configuration has no allowances.
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
	ans, err := ClaimCall.Ask(ask, k.proxy.client, k.proxy.settings.AgentAddr(), "", ClaimRequest{Claims: list})
	cancel()
	if err == nil { // else the part that is held runs out, and the floor's is left
		k.mu.Lock()
		k.holder.HandleGrants(k.now(), sent, ans.Grants)
		k.mu.Unlock()
	}
	return more
}

// table is what a proxy shows of allowances.
func (k *quotaClient) table() Table {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := Table{Title: "allowance", Columns: []string{"allowance", "stated, a second", "burst", "held here, a second", "for", "at once", "admitted here", "refused here"}}
	for _, h := range k.holder.Status(k.now()) {
		lease := "no lease: its part of the floor"
		if h.Lease > 0 {
			lease = formatAge(h.Lease)
		}
		t.Rows = append(t.Rows, []string{h.Name, fmt.Sprint(h.Allowance.Rate), fmt.Sprint(h.Burst), fmt.Sprintf("%.2f", h.Rate), lease,
			fmt.Sprintf("%.1f", h.Level), fmt.Sprint(h.Admitted), fmt.Sprint(h.Refused)})
	}
	return t
}

// vault is an agent's part: it passes claims on, and holds the bank where that is its duty.
type quotaService struct {
	node          *Node
	lessor        *quota.Lessor // under the node's mu, as all below; nil: another holds it
	epoch         uint64
	configVersion uint64 // of the configuration that stated was read from
	allowances    []quota.Allowance
	wake          chan struct{}
}

func newQuotaService(n *Node) *quotaService {
	return &quotaService{node: n, wake: make(chan struct{}, 1)}
}

// told takes a configuration from the news. Under mu.
func (v *quotaService) onUpdate(i gossip.Entry) {
	if i.Key != ConfigurationKey || i.Version <= v.configVersion {
		return
	}
	v.configVersion = i.Version
	var list []quota.Allowance
	if bytes.Contains(i.Value, []byte(`"allowances"`)) { // else it need not be read here
		if c, err := routeconfig.Parse(i.Value); err == nil {
			list = AllowancesOf(c)
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

func (v *quotaService) proxyCount() int { return len(v.node.Members.Peers("echo")) + 1 }

// hold has the bank here while the duty is. Under mu.
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
	ClaimCall.On(loop, func(ctx context.Context, _ rpc.Named, c ClaimRequest) (ClaimResponse, error) {
		v.node.Mu.Lock()
		v.updateHolder()
		if v.lessor != nil {
			defer v.node.Mu.Unlock()
			return ClaimResponse{v.lessor.HandleClaims(v.node.Now(), v.node.Self.Addr, v.proxyCount(), c.Claims)}, nil
		}
		holder, known := v.node.Members.Holder(outlier.Role)
		v.node.Mu.Unlock()
		if !known {
			return ClaimResponse{}, rpc.Fail(http.StatusServiceUnavailable, "nobody is known to hold the bank")
		}
		return ForwardClaimCall.Ask(ctx, v.node.Client, holder.Holder, "", ClaimRequest{From: v.node.Self.Addr, Claims: c.Claims})
	})
	ForwardClaimCall.On(inner, func(_ context.Context, _ rpc.Named, c ClaimRequest) (ClaimResponse, error) {
		v.node.Mu.Lock()
		defer v.node.Mu.Unlock()
		if v.updateHolder(); v.lessor == nil {
			return ClaimResponse{}, rpc.Fail(http.StatusConflict, "the duty is another's")
		}
		return ClaimResponse{v.lessor.HandleClaims(v.node.Now(), c.From, v.proxyCount(), c.Claims)}, nil
	})
}

// run looks at how many mixers there are until ctx ends. It rests while there are no
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

// table is what an agent shows of the bank. Under mu.
func (v *quotaService) table() Table {
	t := Table{Title: "allowance: the bank is another's"}
	if v.lessor == nil {
		return t
	}
	now := v.node.Now()
	t = Table{Title: "allowance: the bank is here", Columns: []string{"allowance", "stated, a second", "leased, a second", "to mixers", "asked, a second", "admitted by all so far"}}
	for _, s := range v.allowances {
		rate, tills := v.lessor.Leased(now, s.Name)
		t.Rows = append(t.Rows, []string{s.Name, fmt.Sprint(s.Rate), fmt.Sprintf("%.1f", rate), fmt.Sprint(tills),
			fmt.Sprintf("%.1f", v.lessor.Asked[s.Name]), fmt.Sprintf("%.0f", v.lessor.Spent[s.Name])})
	}
	return t
}
