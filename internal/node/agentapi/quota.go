package agentapi

import (
	"saddleport/internal/cluster/quota"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/node/rpc"
)

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

func AllowancesOf(c *routeconfig.Config) (out []quota.Allowance) {
	for _, a := range c.Allowances {
		out = append(out, quota.Allowance{Name: a.Name, Rate: a.Rate, Burst: a.Burst})
	}
	return out
}
