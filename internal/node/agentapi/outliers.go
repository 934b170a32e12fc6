package agentapi

import (
	"time"

	"saddleport/internal/cluster/outlier"
	"saddleport/internal/node/rpc"
)

// EvidenceReport is a proxy's evidence on its way to the aggregator.
type EvidenceReport struct {
	From     string             `json:"f,omitempty"` // the agent; empty: the proxy on the same machine
	Evidence []outlier.Evidence `json:"l"`
}

var (
	ReportEvidenceCall  = rpc.Declare[EvidenceReport, rpc.Empty]("POST", "/Herd.Saw", MaxReportBytes, "the proxy on the same machine") // from a proxy to its agent
	ForwardEvidenceCall = rpc.Declare[EvidenceReport, rpc.Empty]("POST", "/Herd.Witness", MaxReportBytes, "every agent")               // from an agent to the one that holds the aggregator
)

const (
	CallerPrefix    = "ip/"                  // begins the name of a caller among members
	MaxReportBytes  = 64 << 10               // bytes of the body of a report
	EvidenceTimeout = 400 * time.Millisecond // of a report; the next one repeats what is lost
)
