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
	aggregatorInterval = 200 * time.Millisecond // between two steps while there are candidates
)

// outlierAggregator is the agent's part in outlier detection. It forwards evidence to the agent that
// has the aggregator role, and runs the aggregator itself while this agent has the role.
type outlierAggregator struct {
	node          *peer.Node
	role          *outlier.AggregatorRole // guarded by node.Mu, as are the fields below
	shardSizes    map[string]int
	shardSizesSeq uint64 // sequence number of the store when shardSizes was computed
	forwarding    bool   // a report is being forwarded; others are dropped until it is done
	wake          chan struct{}
	quotas        *quotaService
}

func newOutlierAggregator(n *peer.Node) *outlierAggregator {
	return &outlierAggregator{node: n, role: outlier.NewAggregatorRole(outlier.DefaultConfig, n.Self.Addr), wake: make(chan struct{}, 1), quotas: newQuotaService(n)}
}

// onUpdate handles an entry that was stored. The caller must hold node.Mu.
func (o *outlierAggregator) onUpdate(entry gossip.Entry) {
	var assignment outlier.Assignment
	if entry.Key == agentapi.EjectionsKey && json.Unmarshal(entry.Value, &assignment) == nil {
		o.role.Observe(entry.Version, assignment)
	}
	o.quotas.onUpdate(entry)
}

// serve registers the calls of the proxy and of the other agents.
func (o *outlierAggregator) serve(loopback, internal *http.ServeMux) {
	o.quotas.serve(loopback, internal)
	agentapi.ReportEvidenceCall.Handle(loopback, func(_ context.Context, _ rpc.RequestInfo, report agentapi.EvidenceReport) (rpc.Empty, error) {
		o.node.Mu.Lock()
		defer o.node.Mu.Unlock()
		if claim, known := o.node.Members.Holder(outlier.Role); known && claim.Holder != o.node.Self.Addr {
			if !o.forwarding {
				o.forwarding = true
				go o.forward(claim.Holder, agentapi.EvidenceReport{From: o.node.Self.Addr, Evidence: report.Evidence})
			}
			return rpc.Empty{}, nil
		}
		o.addEvidence(o.node.Self.Addr, report.Evidence)
		return rpc.Empty{}, nil
	})
	agentapi.ForwardEvidenceCall.Handle(internal, func(_ context.Context, _ rpc.RequestInfo, report agentapi.EvidenceReport) (rpc.Empty, error) {
		o.node.Mu.Lock()
		defer o.node.Mu.Unlock()
		if !o.addEvidence(report.From, report.Evidence) {
			return rpc.Empty{}, rpc.Errorf(http.StatusConflict, "this agent does not have the aggregator role")
		}
		return rpc.Empty{}, nil
	})
}

// forward sends a report to the agent that has the aggregator role.
func (o *outlierAggregator) forward(to string, report agentapi.EvidenceReport) {
	ctx, cancel := context.WithTimeout(context.Background(), agentapi.EvidenceTimeout)
	defer cancel()
	agentapi.ForwardEvidenceCall.Invoke(ctx, o.node.Client, to, "", report) // an error is ignored: the next report follows soon
	o.node.Mu.Lock()
	defer o.node.Mu.Unlock()
	o.forwarding = false
}

// addEvidence adds evidence if this process has the role, and reports whether it does. The caller must
// hold node.Mu.
func (o *outlierAggregator) addEvidence(from string, list []outlier.Evidence) bool {
	o.updateHolder()
	if !o.role.AddEvidence(o.node.Now(), from, list) {
		return false
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return true
}

// updateHolder follows changes of the role's holder. The caller must hold node.Mu.
func (o *outlierAggregator) updateHolder() {
	epoch, holds := o.node.Members.Holds(outlier.Role)
	o.role.SetHolder(o.node.Now(), epoch, holds)
}

// run steps the aggregator until ctx ends. It sleeps while there are no candidates.
func (o *outlierAggregator) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		}
		for o.step() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(aggregatorInterval):
			}
		}
	}
}

// step runs the aggregator once and publishes its assignment if that changed or is due. more reports
// whether there are candidates left.
func (o *outlierAggregator) step() (more bool) {
	o.node.Mu.Lock()
	defer o.node.Mu.Unlock()
	o.updateHolder()
	if seq := o.node.Store.Seq(); seq != o.shardSizesSeq {
		o.shardSizesSeq, o.shardSizes = seq, make(map[string]int)
		o.node.Store.Range(func(entry gossip.Entry, _ int64) {
			if strings.HasPrefix(entry.Key, registry.Prefix) && !entry.Deleted() {
				if server, err := registry.Parse(entry); err == nil {
					o.shardSizes[server.Service]++
				}
			}
		})
	}
	assignment, version, publish := o.role.Step(o.node.Now(), len(o.node.Members.Peers(gossip.KindAgent))+1, func(shard string) int { return o.shardSizes[shard] })
	if publish {
		body, err := json.Marshal(assignment)
		if err != nil {
			panic(err) // unreachable: numbers and strings can always be encoded
		}
		o.node.PutLocked(gossip.Entry{Key: agentapi.EjectionsKey, Version: version, Value: body})
	}
	return o.role.Busy()
}
