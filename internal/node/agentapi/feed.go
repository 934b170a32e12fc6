package agentapi

import (
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/node/rpc"
)

// Feed is what a proxy asks its agent for: what changed since a count of the agent's
// changes, waiting for a while if nothing has.
type FeedRequest struct {
	Incarnation   string         `json:"life"` // of the agent, as its last answer told it
	Since         uint64         `json:"since"`
	ConfigVersion uint64         `json:"rank"`           // of the configuration that the proxy holds
	Entries       []gossip.Entry `json:"news,omitempty"` // which an agent that lacks it wants
}

// Fed is the answer.
type FeedResponse struct {
	Incarnation string         `json:"life"`
	Seq         uint64         `json:"seq"`
	WantConfig  bool           `json:"want,omitempty"` // of the proxy's configuration
	Entries     []gossip.Entry `json:"items,omitempty"`
}

var FeedCall = rpc.Declare[FeedRequest, FeedResponse]("POST", "/Feed", MaxCallBytes, "the proxy on the same machine")

const (
	FeedWait = 8 * time.Second // less than a caller waits for an answer to begin
)

const (
	MaxCallBytes = 8 << 20
)
