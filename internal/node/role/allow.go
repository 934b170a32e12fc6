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
type Claims struct {
	From string        `json:"f,omitempty"` // the agent; empty: the proxy on the same machine
	List []quota.Claim `json:"l"`
}

// Grants is the answer.
type Grants struct {
	List []quota.Grant `json:"l"`
}

var (
	claimCall = rpc.Declare[Claims, Grants]("POST", "/Allow.Claim", mostWitness, "the proxy on the same machine")
	leaseCall = rpc.Declare[Claims, Grants]("POST", "/Allow.Lease", mostWitness, "every agent").Packed()
)

const (
	claimTime = 700 * time.Millisecond // less than lies between two claims
	duePause  = 100 * time.Millisecond // between looks whether a claim is due
	lookBank  = time.Second
)

func statedOf(c *routeconfig.Config) (out []quota.Allowance) {
	for _, a := range c.Allowances {
		out = append(out, quota.Allowance{Name: a.Name, Rate: a.Rate, Burst: a.Burst})
	}
	return out
}

// clerk is a proxy's part.
type clerk struct {
	t    *tide
	mu   sync.Mutex // the clients' goroutines and the one that claims
	till *quota.Holder
	some bool
	call chan struct{}
}

func newClerk(t *tide) *clerk {
	return &clerk{t: t, till: quota.NewHolder(quota.DefaultLeaseConfig), call: make(chan struct{}, 1)}
}

func (k *clerk) now() int64 { return time.Since(k.t.start).Microseconds() }

// state takes the allowances of the configuration that is in force from now on.
func (k *clerk) state(c *routeconfig.Config) {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := statedOf(c)
	k.till.SetAllowances(k.now(), list)
	if k.some = len(list) > 0; k.some {
		select {
		case k.call <- struct{}{}:
		default:
		}
	}
}

func (k *clerk) mixers(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.till.SetProxies(n)
}

// allow takes a request off an allowance.
func (k *clerk) allow(name string) (bool, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok, after := k.till.Admit(k.now(), name)
	if !ok {
		events.Withheld.Log("allowance", name, "after", time.Duration(after*1000).Round(time.Millisecond))
	}
	return ok, time.Duration(after) * time.Microsecond
}

// run claims parts until ctx ends. It rests while the configuration has no allowances.
func (k *clerk) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.call:
		}
		for k.claim(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(duePause):
			}
		}
	}
}

func (k *clerk) claim(ctx context.Context) (more bool) {
	k.mu.Lock()
	sent := k.now()
	list := k.till.TakeClaims(sent)
	more = k.some
	k.mu.Unlock()
	if len(list) == 0 {
		return more
	}
	ask, cancel := context.WithTimeout(ctx, claimTime)
	ans, err := claimCall.Ask(ask, k.t.client, k.t.boot.Loop(), "", Claims{List: list})
	cancel()
	if err == nil { // else the part that is held runs out, and the floor's is left
		k.mu.Lock()
		k.till.HandleGrants(k.now(), sent, ans.List)
		k.mu.Unlock()
	}
	return more
}

// table is what a proxy shows of allowances.
func (k *clerk) table() Table {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := Table{Title: "allowance", Head: []string{"allowance", "stated, a second", "burst", "held here, a second", "for", "at once", "admitted here", "refused here"}}
	for _, h := range k.till.Status(k.now()) {
		lease := "no lease: its part of the floor"
		if h.Lease > 0 {
			lease = ago(h.Lease)
		}
		t.Rows = append(t.Rows, []string{h.Name, fmt.Sprint(h.Allowance.Rate), fmt.Sprint(h.Burst), fmt.Sprintf("%.2f", h.Rate), lease,
			fmt.Sprintf("%.1f", h.Level), fmt.Sprint(h.Admitted), fmt.Sprint(h.Refused)})
	}
	return t
}

// vault is an agent's part: it passes claims on, and holds the bank where that is its duty.
type vault struct {
	n     *Node
	bank  *quota.Lessor // under the node's mu, as all below; nil: another holds it
	epoch uint64
	rank  uint64 // of the configuration that stated was read from
	list  []quota.Allowance
	call  chan struct{}
}

func newVault(n *Node) *vault { return &vault{n: n, call: make(chan struct{}, 1)} }

// told takes a configuration from the news. Under mu.
func (v *vault) told(i gossip.Entry) {
	if i.Key != charterAt || i.Version <= v.rank {
		return
	}
	v.rank = i.Version
	var list []quota.Allowance
	if bytes.Contains(i.Value, []byte(`"allowances"`)) { // else it need not be read here
		if c, err := routeconfig.Parse(i.Value); err == nil {
			list = statedOf(c)
		}
	}
	if v.list = list; v.bank != nil {
		v.bank.SetAllowances(list)
	}
	if len(list) > 0 {
		select {
		case v.call <- struct{}{}:
		default:
		}
	}
}

func (v *vault) mixers() int { return len(v.n.kin.Peers("echo")) + 1 }

// hold has the bank here while the duty is. Under mu.
func (v *vault) hold() {
	epoch, holds := v.n.kin.Holds(outlier.Role)
	switch {
	case !holds:
		v.bank = nil
	case v.bank == nil || v.epoch != epoch:
		v.epoch, v.bank = epoch, quota.NewLessor(v.n.now(), quota.DefaultLeaseConfig, v.mixers())
		v.bank.SetAllowances(v.list)
	}
	if v.bank != nil {
		v.bank.ObserveProxies(v.n.now(), v.mixers())
	}
}

func (v *vault) serve(loop, inner *http.ServeMux) {
	claimCall.On(loop, func(ctx context.Context, _ rpc.Named, c Claims) (Grants, error) {
		v.n.mu.Lock()
		v.hold()
		if v.bank != nil {
			defer v.n.mu.Unlock()
			return Grants{v.bank.HandleClaims(v.n.now(), v.n.self.Addr, v.mixers(), c.List)}, nil
		}
		holder, known := v.n.kin.Holder(outlier.Role)
		v.n.mu.Unlock()
		if !known {
			return Grants{}, rpc.Fail(http.StatusServiceUnavailable, "nobody is known to hold the bank")
		}
		return leaseCall.Ask(ctx, v.n.client, holder.Holder, "", Claims{From: v.n.self.Addr, List: c.List})
	})
	leaseCall.On(inner, func(_ context.Context, _ rpc.Named, c Claims) (Grants, error) {
		v.n.mu.Lock()
		defer v.n.mu.Unlock()
		if v.hold(); v.bank == nil {
			return Grants{}, rpc.Fail(http.StatusConflict, "the duty is another's")
		}
		return Grants{v.bank.HandleClaims(v.n.now(), c.From, v.mixers(), c.List)}, nil
	})
}

// run looks at how many mixers there are until ctx ends. It rests while there are no
// allowances.
func (v *vault) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.call:
		}
		for some := true; some; {
			v.n.mu.Lock()
			v.hold()
			some = len(v.list) > 0
			v.n.mu.Unlock()
			select {
			case <-ctx.Done():
				return
			case <-time.After(lookBank):
			}
		}
	}
}

// table is what an agent shows of the bank. Under mu.
func (v *vault) table() Table {
	t := Table{Title: "allowance: the bank is another's"}
	if v.bank == nil {
		return t
	}
	now := v.n.now()
	t = Table{Title: "allowance: the bank is here", Head: []string{"allowance", "stated, a second", "leased, a second", "to mixers", "asked, a second", "admitted by all so far"}}
	for _, s := range v.list {
		rate, tills := v.bank.Leased(now, s.Name)
		t.Rows = append(t.Rows, []string{s.Name, fmt.Sprint(s.Rate), fmt.Sprintf("%.1f", rate), fmt.Sprint(tills),
			fmt.Sprintf("%.1f", v.bank.Asked[s.Name]), fmt.Sprintf("%.0f", v.bank.Spent[s.Name])})
	}
	return t
}
