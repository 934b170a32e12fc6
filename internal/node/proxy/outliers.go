package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"saddleport/choice"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/outlier"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/exchange"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/events"
)

const (
	trackerInterval = 300 * time.Millisecond // between two steps while a member is suspected or ejected
	minCallerMedian = 20_000                 // microseconds; a lower median of the callers' read times counts as this
	slowLaneDivisor = 8                      // 1/slowLaneDivisor of the clients' connections may be those of slow callers
)

// serverLocation is the service of a server and the distance to its zone.
type serverLocation struct {
	service  string
	distance int
}

// sampleKind is the class of a request and the distance to the server; only the latencies of one kind are
// compared with each other.
type sampleKind struct {
	class    string
	distance int
}

// outlierTracker is the proxy's part in outlier detection. It records the latencies of servers and the read
// times of callers, reports evidence to the agent, and applies the ejections. It sends nothing while no
// member is suspected here and the aggregator neither has ejected a member nor requests evidence.
type outlierTracker struct {
	proxy          *proxy
	mu             sync.Mutex // guards the fields below, for the goroutines of the exchange, of the clients and of run
	servers        *outlier.Observer
	callers        *outlier.Observer
	ejections      *outlier.Ejections
	locations      map[string]serverLocation // by server id
	kindNames      map[sampleKind]string
	wakeUp         chan struct{}
	reportsSent    int // reports of evidence
	changesApplied int // ejections, restorations and changes of a ratio
}

func newOutlierTracker(p *proxy) *outlierTracker {
	callerConfig := outlier.DefaultConfig
	callerConfig.MinMedian = minCallerMedian
	return &outlierTracker{proxy: p, servers: outlier.NewObserver(outlier.DefaultConfig), callers: outlier.NewObserver(callerConfig), ejections: outlier.NewEjections(outlier.DefaultConfig),
		locations: make(map[string]serverLocation), kindNames: make(map[sampleKind]string), wakeUp: make(chan struct{}, 1)}
}

func (t *outlierTracker) now() int64 { return time.Since(t.proxy.startedAt).Microseconds() }

// wake starts the next step of run.
func (t *outlierTracker) wake() {
	select {
	case t.wakeUp <- struct{}{}:
	default:
	}
}

// recordAnswer records the latency of an answer, or the time that was waited for one that didn't come or was
// cancelled.
func (t *outlierTracker) recordAnswer(result exchange.AttemptResult) {
	complete := result.Verdict == choice.Served
	if !complete && result.Verdict != choice.NoAnswer && result.Verdict != choice.Cancelled {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	location, known := t.locations[result.Server]
	if !known {
		return
	}
	key := sampleKind{result.Class, location.distance}
	kind, known := t.kindNames[key]
	if !known {
		if len(t.kindNames) > 1000 {
			clear(t.kindNames)
		}
		kind = fmt.Sprint(result.Class, " ", location.distance)
		t.kindNames[key] = kind
	}
	if t.servers.Record(t.now(), outlier.Sample{Name: result.Server, Shard: location.service, Kind: kind, Latency: result.Latency.Microseconds(), Complete: complete}) {
		t.wake()
	}
}

// recordCaller records the time that a caller took to read its response.
func (t *outlierTracker) recordCaller(caller string, readTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.callers.Record(t.now(), outlier.Sample{Name: agentapi.CallerPrefix + caller, Shard: outlier.Callers, Kind: "turn", Latency: readTime.Microseconds(), Complete: true}) {
		t.wake()
	}
}

// setLocation sets the location of a server, or removes it if the server was deleted.
func (t *outlierTracker) setLocation(id, service string, distance int, deleted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if deleted {
		delete(t.locations, id)
	} else {
		t.locations[id] = serverLocation{service, distance}
	}
}

// ejectedRatio returns the latency of an ejected server as a multiple of its peers' median; 0: it is not
// ejected.
func (t *outlierTracker) ejectedRatio(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ejections.Ratio(id)
}

// applyAssignment handles the entry of a published assignment; run applies its ejections.
func (t *outlierTracker) applyAssignment(entry gossip.Entry) {
	var assignment outlier.Assignment
	if entry.Deleted() || json.Unmarshal(entry.Value, &assignment) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ejections.Observe(t.now(), entry.Version, assignment) {
		t.wake()
	}
}

// run reports evidence and updates the ejections until ctx ends. It sleeps while there is nothing to report
// and no member is ejected.
func (t *outlierTracker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wakeUp:
		}
		for t.step(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(trackerInterval):
			case <-t.wakeUp:
				select { // what woke the goroutine may be the aggregator's answer, which is applied soon, but the pause bounds the number of steps
				case <-ctx.Done():
					return
				case <-time.After(trackerInterval / 5):
				}
			}
		}
	}
}

// step reports evidence and updates the ejections once. more reports whether another step is to follow.
func (t *outlierTracker) step(ctx context.Context) (more bool) {
	t.mu.Lock()
	now := t.now()
	assignment, _ := t.ejections.Assignment(now)
	evidence := append(t.servers.TakeEvidence(now, assignment), t.callers.TakeEvidence(now, assignment)...)
	shardSizes := t.shardSizes()
	changes := t.ejections.Step(now, func(shard string) int { return shardSizes[shard] }, t.servers, t.callers)
	more = t.servers.Suspected()+t.callers.Suspected() > 0 || !t.ejections.Idle(now)
	t.changesApplied += len(changes)
	if len(evidence) > 0 {
		t.reportsSent++
	}
	t.mu.Unlock()
	if len(changes) > 0 {
		t.proxy.applyEjections(changes)
	}
	if len(evidence) > 0 {
		callCtx, cancel := context.WithTimeout(ctx, agentapi.EvidenceTimeout)
		agentapi.ReportEvidenceCall.Invoke(callCtx, t.proxy.client, t.proxy.settings.AgentAddr(), "", agentapi.EvidenceReport{Evidence: evidence}) // an error is ignored: the next report follows soon
		cancel()
	}
	return more
}

// shardSizes returns the number of servers of each service, and of the callers seen recently. The caller must
// hold mu.
func (t *outlierTracker) shardSizes() map[string]int {
	sizes := map[string]int{outlier.Callers: t.callers.Members(outlier.Callers)}
	for _, location := range t.locations {
		sizes[location.service]++
	}
	return sizes
}

// applyEjections passes changes to the exchange and to the slow lane. Requests in progress stay with their
// servers.
func (p *proxy) applyEjections(changes []outlier.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update := choice.List{Form: choice.Delta}
	callersChanged := false
	for _, change := range changes {
		if change.Updated {
			events.EjectionChanged.Log("member", change.Name, "times", fmt.Sprintf("%.1f", change.Ratio))
		} else if change.Restored {
			events.Restored.Log("member", change.Name, "shard", change.Shard)
		} else {
			events.Ejected.Log("member", change.Name, "shard", change.Shard, "times", fmt.Sprintf("%.1f", change.Ratio), "proxies", change.Reporters, "local_only", change.LocalOnly)
		}
		if strings.HasPrefix(change.Name, agentapi.CallerPrefix) {
			callersChanged = true
			continue
		}
		if entry, known := p.store.Get(registry.Prefix + change.Name); known && !entry.Deleted() {
			if server, _, ok := p.convertServer(entry); ok {
				update.Servers = append(update.Servers, server)
			}
		}
	}
	if len(update.Servers) > 0 {
		p.exchange.UpdateServers(update)
	}
	if callersChanged {
		slow := make(map[string]bool)
		p.outliers.mu.Lock()
		for _, ejected := range p.outliers.ejections.All() {
			if name, isCaller := strings.CutPrefix(ejected.Name, agentapi.CallerPrefix); isCaller {
				slow[name] = true
			}
		}
		p.outliers.mu.Unlock()
		p.downstream.SlowLane.SetSlow(slow)
	}
}
