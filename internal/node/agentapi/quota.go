package agentapi

import (
	"saddleport/internal/cluster/quota"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/node/rpc"
)

// ClaimRequest is a proxy's claims on their way to the lessor.
type ClaimRequest struct {
	From   string        `json:"f,omitempty"` // the agent; empty: the proxy on the same machine
	Claims []quota.Claim `json:"l"`
}

// ClaimResponse answers ClaimRequest.
type ClaimResponse struct {
	Grants []quota.Grant `json:"l"`
}

var (
	ClaimCall        = rpc.Declare[ClaimRequest, ClaimResponse]("POST", "/Allow.Claim", MaxReportBytes, "the proxy on the same machine") // from a proxy to its agent
	ForwardClaimCall = rpc.Declare[ClaimRequest, ClaimResponse]("POST", "/Allow.Lease", MaxReportBytes, "every agent").WithCompression() // from an agent to the one that holds the lessor
)

// AllowancesOf returns the allowances of a configuration.
func AllowancesOf(c *routeconfig.Config) (out []quota.Allowance) {
	for _, a := range c.Allowances {
		out = append(out, quota.Allowance{Name: a.Name, Rate: a.Rate, Burst: a.Burst})
	}
	return out
}
