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
	trackerInterval = 300 * time.Millisecond // between steps while somebody is suspected or ejected
	minCallerMedian = 20_000                 // microseconds: what callers take counts as this at least
	slowLaneShare   = 8                      // one in so many of the clients' connections is for slow callers
)

type serverPlacement struct {
	service string
	far     int
}

type answerKind struct {
	class string
	far   int
}

// outlierTracker is a proxy's part in finding slow members: it records answers and callers,
// reports evidence to the agent while it suspects somebody, and applies the ejections. While
// nobody is suspected nothing is sent.
type outlierTracker struct {
	proxy          *proxy
	mu             sync.Mutex // the exchange's goroutine, the clients' and the one that looks
	servers        *outlier.Observer
	callers        *outlier.Observer
	ejections      *outlier.Ejections
	placements     map[string]serverPlacement // by server
	kindNames      map[answerKind]string
	wakeUp         chan struct{}
	reportsSent    int // reports of evidence
	changesApplied int
}

func newOutlierTracker(t *proxy) *outlierTracker {
	slow := outlier.DefaultConfig
	slow.MinMedian = minCallerMedian
	return &outlierTracker{proxy: t, servers: outlier.NewObserver(outlier.DefaultConfig), callers: outlier.NewObserver(slow), ejections: outlier.NewEjections(outlier.DefaultConfig),
		placements: make(map[string]serverPlacement), kindNames: make(map[answerKind]string), wakeUp: make(chan struct{}, 1)}
}

func (f *outlierTracker) now() int64 { return time.Since(f.proxy.startedAt).Microseconds() }

func (f *outlierTracker) wake() {
	select {
	case f.wakeUp <- struct{}{}:
	default:
	}
}

// recordAnswer takes an answer of a server, or a wait for one that was given up.
func (f *outlierTracker) recordAnswer(h exchange.AttemptResult) {
	complete := h.Verdict == choice.Served
	if !complete && h.Verdict != choice.NoAnswer && h.Verdict != choice.Cancelled {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known := f.placements[h.Server]
	if !known {
		return
	}
	of := answerKind{h.Class, at.far}
	kind, known := f.kindNames[of]
	if !known {
		if len(f.kindNames) > 1000 {
			clear(f.kindNames)
		}
		kind = fmt.Sprint(h.Class, " ", at.far)
		f.kindNames[of] = kind
	}
	if f.servers.Record(f.now(), outlier.Sample{Name: h.Server, Shard: at.service, Kind: kind, Latency: h.Latency.Microseconds(), Complete: complete}) {
		f.wake()
	}
}

// recordCaller takes the time that a caller took to read its answer.
func (f *outlierTracker) recordCaller(caller string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.callers.Record(f.now(), outlier.Sample{Name: agentapi.CallerPrefix + caller, Shard: outlier.Callers, Kind: "turn", Latency: took.Microseconds(), Complete: true}) {
		f.wake()
	}
}

// setPlacement notes where a server is, or that it is gone.
func (f *outlierTracker) setPlacement(id, service string, far int, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if gone {
		delete(f.placements, id)
	} else {
		f.placements[id] = serverPlacement{service, far}
	}
}

// ejectedRatio returns how many times slower than its peers an ejected server is; 0: it is not
// ejected.
func (f *outlierTracker) ejectedRatio(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ejections.Ratio(id)
}

// applyAssignment takes an assignment that was gossiped.
func (f *outlierTracker) applyAssignment(i gossip.Entry) {
	var a outlier.Assignment
	if i.Deleted() || json.Unmarshal(i.Value, &a) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ejections.Observe(f.now(), i.Version, a) {
		f.wake()
	}
}

// run maintains the ejections until ctx ends. It rests while nobody is suspected or ejected.
func (f *outlierTracker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wakeUp:
		}
		for f.step(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(trackerInterval):
			case <-f.wakeUp:
				select { // its answer is due at once, if it is from the aggregator, but not without a pause
				case <-ctx.Done():
					return
				case <-time.After(trackerInterval / 5):
				}
			}
		}
	}
}

// step reports evidence and updates the ejections; more: there is more to do.
func (f *outlierTracker) step(ctx context.Context) (more bool) {
	f.mu.Lock()
	now := f.now()
	said, _ := f.ejections.Assignment(now)
	list := append(f.servers.TakeEvidence(now, said), f.callers.TakeEvidence(now, said)...)
	members := f.shardSizes()
	changes := f.ejections.Step(now, func(shard string) int { return members[shard] }, f.servers, f.callers)
	more = f.servers.Suspected()+f.callers.Suspected() > 0 || !f.ejections.Idle(now)
	f.changesApplied += len(changes)
	if len(list) > 0 {
		f.reportsSent++
	}
	f.mu.Unlock()
	if len(changes) > 0 {
		f.proxy.applyEjections(changes)
	}
	if len(list) > 0 {
		ask, cancel := context.WithTimeout(ctx, agentapi.EvidenceTimeout)
		agentapi.ReportEvidenceCall.Invoke(ask, f.proxy.client, f.proxy.settings.AgentAddr(), "", agentapi.EvidenceReport{Evidence: list}) // lost: there is more of it soon
		cancel()
	}
	return more
}

// shardSizes counts the servers of each service, and the callers seen. The lock must be taken.
func (f *outlierTracker) shardSizes() map[string]int {
	out := map[string]int{outlier.Callers: f.callers.Members(outlier.Callers)}
	for _, at := range f.placements {
		out[at.service]++
	}
	return out
}

// applyEjections puts changes in force: requests under way finish where they are.
func (t *proxy) applyEjections(changes []outlier.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := choice.List{Form: choice.Delta}
	callers := false
	for _, c := range changes {
		if c.Updated {
			events.EjectionChanged.Log("member", c.Name, "times", fmt.Sprintf("%.1f", c.Ratio))
		} else if c.Restored {
			events.Restored.Log("member", c.Name, "shard", c.Shard)
		} else {
			events.Ejected.Log("member", c.Name, "shard", c.Shard, "times", fmt.Sprintf("%.1f", c.Ratio), "proxies", c.Reporters, "local_only", c.LocalOnly)
		}
		if strings.HasPrefix(c.Name, agentapi.CallerPrefix) {
			callers = true
			continue
		}
		if i, known := t.store.Get(registry.Prefix + c.Name); known && !i.Deleted() {
			if row, _, ok := t.serverRow(i); ok {
				list.Servers = append(list.Servers, row)
			}
		}
	}
	if len(list.Servers) > 0 {
		t.exchange.UpdateServers(list)
	}
	if callers {
		apart := make(map[string]bool)
		t.outliers.mu.Lock()
		for _, a := range t.outliers.ejections.All() {
			if name, is := strings.CutPrefix(a.Name, agentapi.CallerPrefix); is {
				apart[name] = true
			}
		}
		t.outliers.mu.Unlock()
		t.downstream.SlowLane.SetSlow(apart)
	}
}
