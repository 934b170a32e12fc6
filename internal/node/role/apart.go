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
type Witness struct {
	From string             `json:"f,omitempty"` // the agent; empty: the proxy on the same machine
	List []outlier.Evidence `json:"l"`
}

var (
	sawCall     = rpc.Declare[Witness, Nothing]("POST", "/Herd.Saw", mostWitness, "the proxy on the same machine")
	witnessCall = rpc.Declare[Witness, Nothing]("POST", "/Herd.Witness", mostWitness, "every agent")
)

const (
	groupsAt    = "g"   // the key of the council's last word among the news
	callerName  = "ip/" // begins a caller's name among members
	mostWitness = 64 << 10
	witnessTime = 400 * time.Millisecond
	lookPause   = 300 * time.Millisecond // between looks while somebody is doubted or apart
	sitPause    = 200 * time.Millisecond // between steps of the council while there are cases
	callerFloor = 20_000                 // microseconds: what callers take counts as this at least
	laneShare   = 8                      // one in so many of the clients' connections is for slow callers
)

// council is the duty of one mixer to say who is set apart.
var council = member.SingletonRole{Name: outlier.Role, ProcessKind: "echo"}

type place struct {
	service string
	far     int
}

type kindOf struct {
	class string
	far   int
}

// flock is what a proxy knows of laggards.
type flock struct {
	t       *tide
	mu      sync.Mutex // the exchange's goroutine, the clients' and the one that looks
	servers *outlier.Observer
	callers *outlier.Observer
	groups  *outlier.Ejections
	where   map[string]place // by server
	kinds   map[kindOf]string
	call    chan struct{}
	sent    int // words of evidence
	moved   int
}

func newFlock(t *tide) *flock {
	slow := outlier.DefaultConfig
	slow.MinMedian = callerFloor
	return &flock{t: t, servers: outlier.NewObserver(outlier.DefaultConfig), callers: outlier.NewObserver(slow), groups: outlier.NewEjections(outlier.DefaultConfig),
		where: make(map[string]place), kinds: make(map[kindOf]string), call: make(chan struct{}, 1)}
}

func (f *flock) now() int64 { return time.Since(f.t.start).Microseconds() }

func (f *flock) wake() {
	select {
	case f.call <- struct{}{}:
	default:
	}
}

// heard takes an answer of a server, or a wait for one that was given up.
func (f *flock) heard(h exchange.Heard) {
	whole := h.Verdict == choice.Served
	if !whole && h.Verdict != choice.NoAnswer && h.Verdict != choice.CalledOff {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known := f.where[h.Server]
	if !known {
		return
	}
	of := kindOf{h.Class, at.far}
	kind, known := f.kinds[of]
	if !known {
		if len(f.kinds) > 1000 {
			clear(f.kinds)
		}
		kind = fmt.Sprint(h.Class, " ", at.far)
		f.kinds[of] = kind
	}
	if f.servers.Record(f.now(), outlier.Sample{Name: h.Server, Shard: at.service, Kind: kind, Latency: h.Took.Microseconds(), Complete: whole}) {
		f.wake()
	}
}

// took is told how long a caller's part of a turn took.
func (f *flock) took(caller string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.callers.Record(f.now(), outlier.Sample{Name: callerName + caller, Shard: outlier.Callers, Kind: "turn", Latency: took.Microseconds(), Complete: true}) {
		f.wake()
	}
}

// place notes where a server is; gone: nowhere any more. Under the tide's mu.
func (f *flock) place(id, service string, far int, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if gone {
		delete(f.where, id)
	} else {
		f.where[id] = place{service, far}
	}
}

// slow is how many times slower than its peers a server that is set apart is; 0: it is not.
func (f *flock) slow(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.groups.Ratio(id)
}

// told takes the council's word from the news.
func (f *flock) told(i gossip.Entry) {
	var a outlier.Assignment
	if i.Deleted() || json.Unmarshal(i.Value, &a) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.groups.Observe(f.now(), i.Version, a) {
		f.wake()
	}
}

// run looks after the groups until ctx ends. It rests while nobody is doubted or apart.
func (f *flock) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.call:
		}
		for f.look(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(lookPause):
			case <-f.call:
				select { // its answer is due at once, if it is the council's, but not without a pause
				case <-ctx.Done():
					return
				case <-time.After(lookPause / 5):
				}
			}
		}
	}
}

// look tells evidence and brings the groups up to date; it tells whether there is more to
// look after.
func (f *flock) look(ctx context.Context) (more bool) {
	f.mu.Lock()
	now := f.now()
	said, _ := f.groups.Assignment(now)
	list := append(f.servers.TakeEvidence(now, said), f.callers.TakeEvidence(now, said)...)
	members := f.members()
	changes := f.groups.Step(now, func(shard string) int { return members[shard] }, f.servers, f.callers)
	more = f.servers.Suspected()+f.callers.Suspected() > 0 || !f.groups.Quiet(now)
	f.moved += len(changes)
	if len(list) > 0 {
		f.sent++
	}
	f.mu.Unlock()
	if len(changes) > 0 {
		f.t.regroup(changes)
	}
	if len(list) > 0 {
		ask, cancel := context.WithTimeout(ctx, witnessTime)
		sawCall.Ask(ask, f.t.client, f.t.boot.Loop(), "", Witness{List: list}) // lost: there is more of it soon
		cancel()
	}
	return more
}

// members counts the servers of each service, and the callers seen. Under mu.
func (f *flock) members() map[string]int {
	out := map[string]int{outlier.Callers: f.callers.Members(outlier.Callers)}
	for _, at := range f.where {
		out[at.service]++
	}
	return out
}

// regroup puts changes in force: requests that are out finish where they are.
func (t *tide) regroup(changes []outlier.Change) {
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
		if strings.HasPrefix(c.Name, callerName) {
			callers = true
			continue
		}
		if i, known := t.book.Get(registry.Prefix + c.Name); known && !i.Deleted() {
			if row, _, ok := t.server(i); ok {
				list.Servers = append(list.Servers, row)
			}
		}
	}
	if len(list.Servers) > 0 {
		t.x.Listed(list)
	}
	if callers {
		apart := make(map[string]bool)
		t.flock.mu.Lock()
		for _, a := range t.flock.groups.All() {
			if name, is := strings.CutPrefix(a.Name, callerName); is {
				apart[name] = true
			}
		}
		t.flock.mu.Unlock()
		t.front.Lanes.Apart(apart)
	}
}

// bench is an agent's part: it passes evidence on, and holds the council where that is its
// duty.
type bench struct {
	n       *Node
	seat    *outlier.AggregatorRole // under the node's mu, as all below
	members map[string]int
	seq     uint64 // of the book, when members was made
	passing bool
	call    chan struct{}
	vault   *vault
}

func newBench(n *Node) *bench {
	b := &bench{n: n, seat: outlier.NewAggregatorRole(outlier.DefaultConfig, n.self.Addr), call: make(chan struct{}, 1), vault: newVault(n)}
	n.took = func(i gossip.Entry) {
		var a outlier.Assignment
		if i.Key == groupsAt && json.Unmarshal(i.Value, &a) == nil {
			b.seat.Observe(i.Version, a)
		}
		b.vault.told(i)
	}
	return b
}

// serve answers the proxy and the other agents.
func (b *bench) serve(loop, inner *http.ServeMux) {
	b.vault.serve(loop, inner)
	sawCall.On(loop, func(_ context.Context, _ rpc.Named, w Witness) (Nothing, error) {
		b.n.mu.Lock()
		defer b.n.mu.Unlock()
		if c, known := b.n.kin.Holder(outlier.Role); known && c.Holder != b.n.self.Addr {
			if !b.passing {
				b.passing = true
				go b.pass(c.Holder, Witness{From: b.n.self.Addr, List: w.List})
			}
			return Nothing{}, nil
		}
		b.given(b.n.self.Addr, w.List)
		return Nothing{}, nil
	})
	witnessCall.On(inner, func(_ context.Context, _ rpc.Named, w Witness) (Nothing, error) {
		b.n.mu.Lock()
		defer b.n.mu.Unlock()
		if !b.given(w.From, w.List) {
			return Nothing{}, rpc.Fail(http.StatusConflict, "the duty is another's")
		}
		return Nothing{}, nil
	})
}

func (b *bench) pass(to string, w Witness) {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTime)
	defer cancel()
	witnessCall.Ask(ctx, b.n.client, to, "", w) // lost: there is more of it soon
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	b.passing = false
}

// given takes evidence where the council is held here. Under mu.
func (b *bench) given(from string, list []outlier.Evidence) bool {
	b.hold()
	if !b.seat.AddEvidence(b.n.now(), from, list) {
		return false
	}
	select {
	case b.call <- struct{}{}:
	default:
	}
	return true
}

func (b *bench) hold() {
	epoch, holds := b.n.kin.Holds(outlier.Role)
	b.seat.SetHolder(b.n.now(), epoch, holds)
}

// run steps the council until ctx ends. It rests while there are no cases.
func (b *bench) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.call:
		}
		for b.step() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(sitPause):
			}
		}
	}
}

func (b *bench) step() (more bool) {
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	b.hold()
	if seq := b.n.book.Seq(); seq != b.seq {
		b.seq, b.members = seq, make(map[string]int)
		b.n.book.Range(func(i gossip.Entry, _ int64) {
			if strings.HasPrefix(i.Key, registry.Prefix) && !i.Deleted() {
				if s, err := registry.Parse(i); err == nil {
					b.members[s.Service]++
				}
			}
		})
	}
	a, rank, say := b.seat.Step(b.n.now(), len(b.n.kin.Peers("echo"))+1, func(shard string) int { return b.members[shard] })
	if say {
		body, err := json.Marshal(a)
		if err != nil {
			panic(err) // numbers and texts always have a form
		}
		b.n.put(gossip.Entry{Key: groupsAt, Version: rank, Value: body})
	}
	return b.seat.Busy()
}
