// Package agentapi declares the calls between a proxy, the agent on its machine and the other agents:
// the feed of servers and configurations, evidence of slow members, and claims of allowances. The
// paths and JSON names are those of the first releases, since processes of two releases talk to each
// other during a rollout.
package agentapi

import (
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/node/rpc"
)

// FeedRequest asks the agent for the entries that changed after the sequence number Since of its
// store. It is a long poll: the agent answers at once if there are any, otherwise when one changes or
// after FeedWait.
type FeedRequest struct {
	Incarnation   string         `json:"life"` // of the agent, from its last response
	Since         uint64         `json:"since"`
	ConfigVersion uint64         `json:"rank"`           // version of the configuration that the proxy has
	Entries       []gossip.Entry `json:"news,omitempty"` // entries that the agent asked for with WantConfig
}

// FeedResponse answers FeedRequest.
type FeedResponse struct {
	Incarnation string         `json:"life"`
	Seq         uint64         `json:"seq"`            // of the agent's store; Since of the next request
	WantConfig  bool           `json:"want,omitempty"` // the proxy's configuration is newer: the next request is to contain it
	Entries     []gossip.Entry `json:"items,omitempty"`
}

// FeedUpdate is a FeedResponse as it is sent. An agent of a release without Synced does not send that field.
type FeedUpdate struct {
	FeedResponse
	Synced bool `json:"synced,omitempty"` // the agent's store is complete: what it has not sent since its start does not exist
}

// FeedCall is the call by which a proxy follows the agent on its machine.
var FeedCall = rpc.Declare[FeedRequest, FeedUpdate]("POST", "/Feed", MaxCallBytes, "the proxy on the same machine")

const (
	FeedWait = 8 * time.Second // shorter than an rpc.Client waits for the header of a response
)

const (
	MaxCallBytes = 8 << 20 // limit for the body of a large call, in bytes
)
