package agentapi

import (
	"saddleport/internal/cluster/quota"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/node/rpc"
)

// ClaimRequest carries a proxy's claims to the lessor, by way of the agent on its machine.
type ClaimRequest struct {
	From   string        `json:"f,omitempty"` // address of the forwarding agent; empty from a proxy
	Claims []quota.Claim `json:"l"`
}

// ClaimResponse answers ClaimRequest.
type ClaimResponse struct {
	Grants []quota.Grant `json:"l"`
}

var (
	ClaimCall        = rpc.Declare[ClaimRequest, ClaimResponse]("POST", "/Allow.Claim", MaxReportBytes, "the proxy on the same machine") // from a proxy to the agent on its machine
	ForwardClaimCall = rpc.Declare[ClaimRequest, ClaimResponse]("POST", "/Allow.Lease", MaxReportBytes, "every agent").WithCompression() // from an agent to the agent that runs the lessor
)

// AllowancesOf returns the allowances of a configuration.
func AllowancesOf(c *routeconfig.Config) (out []quota.Allowance) {
	for _, a := range c.Allowances {
		out = append(out, quota.Allowance{Name: a.Name, Rate: a.Rate, Burst: a.Burst})
	}
	return out
}
