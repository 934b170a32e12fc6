package agentapi

import (
	"time"

	"saddleport/internal/cluster/outlier"
	"saddleport/internal/node/rpc"
)

// EvidenceReport carries a proxy's evidence to the aggregator, by way of the agent on its machine.
type EvidenceReport struct {
	From     string             `json:"f,omitempty"` // address of the forwarding agent; empty from a proxy
	Evidence []outlier.Evidence `json:"l"`
}

var (
	ReportEvidenceCall  = rpc.Declare[EvidenceReport, rpc.Empty]("POST", "/Herd.Saw", MaxReportBytes, "the proxy on the same machine") // from a proxy to the agent on its machine
	ForwardEvidenceCall = rpc.Declare[EvidenceReport, rpc.Empty]("POST", "/Herd.Witness", MaxReportBytes, "every agent")               // from an agent to the agent that runs the aggregator
)

const (
	CallerPrefix    = "ip/"                  // prefix of a member's name if the member is a caller; the caller's address follows
	MaxReportBytes  = 64 << 10               // limit for the body of a report, in bytes
	EvidenceTimeout = 400 * time.Millisecond // of a report; a lost one is made up for by the next
)
