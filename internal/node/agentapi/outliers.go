package agentapi

import (
	"time"

	"saddleport/internal/cluster/outlier"
	"saddleport/internal/node/rpc"
)

// Witness is a mixer's evidence on its way to the council.
type EvidenceReport struct {
	From     string             `json:"f,omitempty"` // the agent; empty: the proxy on the same machine
	Evidence []outlier.Evidence `json:"l"`
}

var (
	ReportEvidenceCall  = rpc.Declare[EvidenceReport, rpc.Empty]("POST", "/Herd.Saw", MaxReportBytes, "the proxy on the same machine")
	ForwardEvidenceCall = rpc.Declare[EvidenceReport, rpc.Empty]("POST", "/Herd.Witness", MaxReportBytes, "every agent")
)

const (
	CallerPrefix    = "ip/" // begins a caller's name among members
	MaxReportBytes  = 64 << 10
	EvidenceTimeout = 400 * time.Millisecond
)
