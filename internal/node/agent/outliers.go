package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/outlier"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/peer"
	"saddleport/internal/node/rpc"
)

const (
	aggregatorInterval = 200 * time.Millisecond // between steps while there are candidates
)

// outlierAggregator is an agent's part in finding slow members: it forwards evidence, and
// holds the aggregator if the role is its own.
type outlierAggregator struct {
	node          *peer.Node
	role          *outlier.AggregatorRole // under the node's mu, as all below
	shardSizes    map[string]int
	shardSizesSeq uint64 // of the store when shardSizes was computed
	forwarding    bool
	wake          chan struct{}
	quotas        *quotaService
}

func newOutlierAggregator(n *peer.Node) *outlierAggregator {
	return &outlierAggregator{node: n, role: outlier.NewAggregatorRole(outlier.DefaultConfig, n.Self.Addr), wake: make(chan struct{}, 1), quotas: newQuotaService(n)}
}

// onUpdate takes an entry that was stored. The node must be locked.
func (b *outlierAggregator) onUpdate(entry gossip.Entry) {
	var assignment outlier.Assignment
	if entry.Key == agentapi.EjectionsKey && json.Unmarshal(entry.Value, &assignment) == nil {
		b.role.Observe(entry.Version, assignment)
	}
	b.quotas.onUpdate(entry)
}

// serve answers the proxy and the other agents.
func (b *outlierAggregator) serve(loop, inner *http.ServeMux) {
	b.quotas.serve(loop, inner)
	agentapi.ReportEvidenceCall.Handle(loop, func(_ context.Context, _ rpc.RequestInfo, w agentapi.EvidenceReport) (rpc.Empty, error) {
		b.node.Mu.Lock()
		defer b.node.Mu.Unlock()
		if c, known := b.node.Members.Holder(outlier.Role); known && c.Holder != b.node.Self.Addr {
			if !b.forwarding {
				b.forwarding = true
				go b.forward(c.Holder, agentapi.EvidenceReport{From: b.node.Self.Addr, Evidence: w.Evidence})
			}
			return rpc.Empty{}, nil
		}
		b.addEvidence(b.node.Self.Addr, w.Evidence)
		return rpc.Empty{}, nil
	})
	agentapi.ForwardEvidenceCall.Handle(inner, func(_ context.Context, _ rpc.RequestInfo, w agentapi.EvidenceReport) (rpc.Empty, error) {
		b.node.Mu.Lock()
		defer b.node.Mu.Unlock()
		if !b.addEvidence(w.From, w.Evidence) {
			return rpc.Empty{}, rpc.Errorf(http.StatusConflict, "the duty is another's")
		}
		return rpc.Empty{}, nil
	})
}

func (b *outlierAggregator) forward(to string, w agentapi.EvidenceReport) {
	ctx, cancel := context.WithTimeout(context.Background(), agentapi.EvidenceTimeout)
	defer cancel()
	agentapi.ForwardEvidenceCall.Invoke(ctx, b.node.Client, to, "", w) // lost: there is more of it soon
	b.node.Mu.Lock()
	defer b.node.Mu.Unlock()
	b.forwarding = false
}

// addEvidence takes evidence if this process holds the role. The caller must have locked the node.
func (b *outlierAggregator) addEvidence(from string, list []outlier.Evidence) bool {
	b.updateHolder()
	if !b.role.AddEvidence(b.node.Now(), from, list) {
		return false
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

func (b *outlierAggregator) updateHolder() {
	epoch, holds := b.node.Members.Holds(outlier.Role)
	b.role.SetHolder(b.node.Now(), epoch, holds)
}

// run steps the aggregator until ctx ends. It rests while there are no candidates.
func (b *outlierAggregator) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		for b.step() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(aggregatorInterval):
			}
		}
	}
}

func (b *outlierAggregator) step() (more bool) {
	b.node.Mu.Lock()
	defer b.node.Mu.Unlock()
	b.updateHolder()
	if seq := b.node.Store.Seq(); seq != b.shardSizesSeq {
		b.shardSizesSeq, b.shardSizes = seq, make(map[string]int)
		b.node.Store.Range(func(i gossip.Entry, _ int64) {
			if strings.HasPrefix(i.Key, registry.Prefix) && !i.Deleted() {
				if s, err := registry.Parse(i); err == nil {
					b.shardSizes[s.Service]++
				}
			}
		})
	}
	a, rank, say := b.role.Step(b.node.Now(), len(b.node.Members.Peers(gossip.KindAgent))+1, func(shard string) int { return b.shardSizes[shard] })
	if say {
		body, err := json.Marshal(a)
		if err != nil {
			panic(err) // numbers and texts always have a form
		}
		b.node.PutLocked(gossip.Entry{Key: agentapi.EjectionsKey, Version: rank, Value: body})
	}
	return b.role.Busy()
}
