// Package agentapi holds the calls between a proxy, the agent on its machine, and other agents:
// the feed of servers and configurations, evidence of slowness, and claims of allowances. The names
// on the wire are those of the first releases.
package agentapi

import (
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/node/rpc"
)

// FeedRequest asks the agent for what changed since a count of its changes. The agent answers
// at once if anything has, otherwise after a while (long poll).
type FeedRequest struct {
	Incarnation   string         `json:"life"` // of the agent, from its last answer
	Since         uint64         `json:"since"`
	ConfigVersion uint64         `json:"rank"`           // of the configuration that the proxy holds
	Entries       []gossip.Entry `json:"news,omitempty"` // that an agent lacks and has asked for
}

// FeedResponse answers FeedRequest.
type FeedResponse struct {
	Incarnation string         `json:"life"`
	Seq         uint64         `json:"seq"`
	WantConfig  bool           `json:"want,omitempty"` // the agent asks for the proxy's configuration
	Entries     []gossip.Entry `json:"items,omitempty"`
}

// FeedCall is called by the proxy on the same machine.
var FeedCall = rpc.Declare[FeedRequest, FeedResponse]("POST", "/Feed", MaxCallBytes, "the proxy on the same machine")

const (
	FeedWait = 8 * time.Second // less than a caller waits for an answer to begin
)

const (
	MaxCallBytes = 8 << 20 // bytes of the body of a large call
)
