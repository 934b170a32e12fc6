package role

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"saddleport/choice"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/member"
	"saddleport/internal/cluster/outlier"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/exchange"
	"saddleport/internal/node/events"
	"saddleport/internal/node/rpc"
)

// Laggards: a proxy watches its own answers and clients and tells its agent while it
// doubts somebody; the agent passes that on to the one that holds the council; what the
// council says is news as any other, and the proxies act on it. While nobody is doubted
// nothing is sent.

// Witness is a mixer's evidence on its way to the council.
type EvidenceReport struct {
	From     string             `json:"f,omitempty"` // the agent; empty: the proxy on the same machine
	Evidence []outlier.Evidence `json:"l"`
}

var (
	ReportEvidenceCall  = rpc.Declare[EvidenceReport, Nothing]("POST", "/Herd.Saw", MaxReportBytes, "the proxy on the same machine")
	ForwardEvidenceCall = rpc.Declare[EvidenceReport, Nothing]("POST", "/Herd.Witness", MaxReportBytes, "every agent")
)

const (
	EjectionsKey       = "g"   // the key of the council's last word among the news
	CallerPrefix       = "ip/" // begins a caller's name among members
	MaxReportBytes     = 64 << 10
	EvidenceTimeout    = 400 * time.Millisecond
	trackerInterval    = 300 * time.Millisecond // between looks while somebody is doubted or apart
	aggregatorInterval = 200 * time.Millisecond // between steps of the council while there are cases
	minCallerMedian    = 20_000                 // microseconds: what callers take counts as this at least
	slowLaneShare      = 8                      // one in so many of the clients' connections is for slow callers
)

// council is the duty of one mixer to say who is set apart.
var OutlierRole = member.SingletonRole{Name: outlier.Role, ProcessKind: "echo"}

type serverPlacement struct {
	service string
	far     int
}

type answerKind struct {
	class string
	far   int
}

// flock is what a proxy knows of laggards.
type outlierTracker struct {
	proxy          *proxy
	mu             sync.Mutex // the exchange's goroutine, the clients' and the one that looks
	servers        *outlier.Observer
	callers        *outlier.Observer
	ejections      *outlier.Ejections
	placements     map[string]serverPlacement // by server
	kindNames      map[answerKind]string
	wakeUp         chan struct{}
	reportsSent    int // words of evidence
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

// heard takes an answer of a server, or a wait for one that was given up.
func (f *outlierTracker) recordAnswer(h exchange.Heard) {
	whole := h.Verdict == choice.Served
	if !whole && h.Verdict != choice.NoAnswer && h.Verdict != choice.CalledOff {
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
	if f.servers.Record(f.now(), outlier.Sample{Name: h.Server, Shard: at.service, Kind: kind, Latency: h.Took.Microseconds(), Complete: whole}) {
		f.wake()
	}
}

// took is told how long a caller's part of a turn took.
func (f *outlierTracker) recordCaller(caller string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.callers.Record(f.now(), outlier.Sample{Name: CallerPrefix + caller, Shard: outlier.Callers, Kind: "turn", Latency: took.Microseconds(), Complete: true}) {
		f.wake()
	}
}

// place notes where a server is; gone: nowhere any more. Under the tide's mu.
func (f *outlierTracker) setPlacement(id, service string, far int, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if gone {
		delete(f.placements, id)
	} else {
		f.placements[id] = serverPlacement{service, far}
	}
}

// slow is how many times slower than its peers a server that is set apart is; 0: it is not.
func (f *outlierTracker) ejectedRatio(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ejections.Ratio(id)
}

// told takes the council's word from the news.
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

// run looks after the groups until ctx ends. It rests while nobody is doubted or apart.
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
				select { // its answer is due at once, if it is the council's, but not without a pause
				case <-ctx.Done():
					return
				case <-time.After(trackerInterval / 5):
				}
			}
		}
	}
}

// look tells evidence and brings the groups up to date; it tells whether there is more to
// look after.
func (f *outlierTracker) step(ctx context.Context) (more bool) {
	f.mu.Lock()
	now := f.now()
	said, _ := f.ejections.Assignment(now)
	list := append(f.servers.TakeEvidence(now, said), f.callers.TakeEvidence(now, said)...)
	members := f.shardSizes()
	changes := f.ejections.Step(now, func(shard string) int { return members[shard] }, f.servers, f.callers)
	more = f.servers.Suspected()+f.callers.Suspected() > 0 || !f.ejections.Quiet(now)
	f.changesApplied += len(changes)
	if len(list) > 0 {
		f.reportsSent++
	}
	f.mu.Unlock()
	if len(changes) > 0 {
		f.proxy.applyEjections(changes)
	}
	if len(list) > 0 {
		ask, cancel := context.WithTimeout(ctx, EvidenceTimeout)
		ReportEvidenceCall.Ask(ask, f.proxy.client, f.proxy.settings.AgentAddr(), "", EvidenceReport{Evidence: list}) // lost: there is more of it soon
		cancel()
	}
	return more
}

// members counts the servers of each service, and the callers seen. Under mu.
func (f *outlierTracker) shardSizes() map[string]int {
	out := map[string]int{outlier.Callers: f.callers.Members(outlier.Callers)}
	for _, at := range f.placements {
		out[at.service]++
	}
	return out
}

// regroup puts changes in force: requests that are out finish where they are.
func (t *proxy) applyEjections(changes []outlier.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := choice.List{Form: choice.Delta}
	callers := false
	for _, c := range changes {
		if c.Known {
			events.ApartStill.Log("member", c.Name, "times", fmt.Sprintf("%.1f", c.Ratio))
		} else if c.Restored {
			events.BroughtBack.Log("member", c.Name, "shard", c.Shard)
		} else {
			events.SetApart.Log("member", c.Name, "shard", c.Shard, "times", fmt.Sprintf("%.1f", c.Ratio), "mixers", c.Reporters, "alone", c.LocalOnly)
		}
		if strings.HasPrefix(c.Name, CallerPrefix) {
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
		t.exchange.Listed(list)
	}
	if callers {
		apart := make(map[string]bool)
		t.outliers.mu.Lock()
		for _, a := range t.outliers.ejections.All() {
			if name, is := strings.CutPrefix(a.Name, CallerPrefix); is {
				apart[name] = true
			}
		}
		t.outliers.mu.Unlock()
		t.downstream.Lanes.Apart(apart)
	}
}

// bench is an agent's part: it passes evidence on, and holds the council where that is its
// duty.
type outlierAggregator struct {
	node          *Node
	role          *outlier.AggregatorRole // under the node's mu, as all below
	shardSizes    map[string]int
	shardSizesSeq uint64 // of the book, when members was made
	forwarding    bool
	wake          chan struct{}
	quotas        *quotaService
}

func newOutlierAggregator(n *Node) *outlierAggregator {
	b := &outlierAggregator{node: n, role: outlier.NewAggregatorRole(outlier.DefaultConfig, n.Self.Addr), wake: make(chan struct{}, 1), quotas: newQuotaService(n)}
	n.OnUpdate = func(i gossip.Entry) {
		var a outlier.Assignment
		if i.Key == EjectionsKey && json.Unmarshal(i.Value, &a) == nil {
			b.role.Observe(i.Version, a)
		}
		b.quotas.onUpdate(i)
	}
	return b
}

// serve answers the proxy and the other agents.
func (b *outlierAggregator) serve(loop, inner *http.ServeMux) {
	b.quotas.serve(loop, inner)
	ReportEvidenceCall.On(loop, func(_ context.Context, _ rpc.Named, w EvidenceReport) (Nothing, error) {
		b.node.Mu.Lock()
		defer b.node.Mu.Unlock()
		if c, known := b.node.Members.Holder(outlier.Role); known && c.Holder != b.node.Self.Addr {
			if !b.forwarding {
				b.forwarding = true
				go b.forward(c.Holder, EvidenceReport{From: b.node.Self.Addr, Evidence: w.Evidence})
			}
			return Nothing{}, nil
		}
		b.addEvidence(b.node.Self.Addr, w.Evidence)
		return Nothing{}, nil
	})
	ForwardEvidenceCall.On(inner, func(_ context.Context, _ rpc.Named, w EvidenceReport) (Nothing, error) {
		b.node.Mu.Lock()
		defer b.node.Mu.Unlock()
		if !b.addEvidence(w.From, w.Evidence) {
			return Nothing{}, rpc.Fail(http.StatusConflict, "the duty is another's")
		}
		return Nothing{}, nil
	})
}

func (b *outlierAggregator) forward(to string, w EvidenceReport) {
	ctx, cancel := context.WithTimeout(context.Background(), EvidenceTimeout)
	defer cancel()
	ForwardEvidenceCall.Ask(ctx, b.node.Client, to, "", w) // lost: there is more of it soon
	b.node.Mu.Lock()
	defer b.node.Mu.Unlock()
	b.forwarding = false
}

// given takes evidence where the council is held here. Under mu.
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

// run steps the council until ctx ends. It rests while there are no cases.
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
	a, rank, say := b.role.Step(b.node.Now(), len(b.node.Members.Peers("echo"))+1, func(shard string) int { return b.shardSizes[shard] })
	if say {
		body, err := json.Marshal(a)
		if err != nil {
			panic(err) // numbers and texts always have a form
		}
		b.node.PutLocked(gossip.Entry{Key: EjectionsKey, Version: rank, Value: body})
	}
	return b.role.Busy()
}
