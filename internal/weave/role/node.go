package role

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"saddleport/internal/fabric/rumour"
	"saddleport/internal/weave/calls"
	"saddleport/internal/weave/events"
)

const (
	gossipEvery = 100 * time.Millisecond // while there is something to pass on
	digestEvery = time.Second
	passTo      = 2 // peers of the own zone that one message's news goes to
	passTimes   = 2 // messages that a piece of news goes out in from one process
	callTime    = 900 * time.Millisecond
	dialPeer    = 500 * time.Millisecond
	mostCall    = 8 << 20
	restMost    = 8 * time.Second // the longest a peer that does not answer is left alone
	aloneTries  = 5               // of joining, before that is told
	wideEvery   = 8               // of so many digests one is compared with another zone's; a core process's: half of them
)

// Pass is what two processes say to one another of news.
type Pass struct {
	From  string         `json:"f"`
	News  []rumour.Item  `json:"n,omitempty"`
	Marks []rumour.Mark  `json:"m,omitempty"` // of news too large to be sent unasked
	Sum   uint64         `json:"s,omitempty"` // of all that the caller holds; 0: not told
	Sums  *rumour.Digest `json:"d,omitempty"` // the same by bucket
	Ask   []string       `json:"a,omitempty"` // keys
}

// Passed is the answer.
type Passed struct {
	Differs bool          `json:"x,omitempty"` // the sums
	Want    []string      `json:"w,omitempty"`
	Marks   []rumour.Mark `json:"m,omitempty"`
	Buckets []int         `json:"b,omitempty"`
	News    []rumour.Item `json:"n,omitempty"`
}

var passCall = calls.Declare[Pass, Passed]("POST", "/Rumour.Pass", mostCall, "every agent and core process")

// Process is what is told of a process of the system.
type Process struct {
	Addr    string `json:"-"`
	Name    string `json:"n"`
	Kind    string `json:"k"` // "echo" or "keel"
	Zone    string `json:"z"`
	Region  string `json:"g"`
	Control string `json:"c,omitempty"`
}

// Keys of the news.
const (
	processes = "p/"
	charterAt = "c"
)

// Node is what an agent and a core process have in common: news and peers.
type Node struct {
	set    *Settings
	self   Process
	client *calls.Client
	start  time.Time
	took   func(rumour.Item) // after news was taken, under mu; nil: nobody

	mu      sync.Mutex
	book    *rumour.Book
	changed chan struct{} // closed at the next change
	hot     chan struct{} // something is to be passed on
	rests   map[string]*rest
}

type rest struct {
	misses int
	until  time.Time
}

// NewNode returns a node that knows itself alone.
func NewNode(set *Settings, kind string) *Node {
	boot := set.Boot()
	n := &Node{set: set, client: calls.NewClient(dialPeer), start: time.Now(), book: rumour.NewBook(),
		changed: make(chan struct{}), hot: make(chan struct{}, 1), rests: make(map[string]*rest)}
	n.self = Process{Addr: boot.Inner(), Name: boot.Name, Kind: kind, Zone: boot.Zone, Region: boot.Region, Control: boot.Control}
	n.mu.Lock()
	n.put(n.selfItem(2), true)
	n.mu.Unlock()
	return n
}

func (n *Node) selfItem(rank uint64) rumour.Item {
	body, _ := json.Marshal(n.self)
	return rumour.Item{Key: processes + n.self.Addr, Rank: rank, Body: body}
}

func (n *Node) now() int64 { return time.Since(n.start).Microseconds() }

// put takes news, to be passed on within the zone or to all. Under mu.
func (n *Node) put(i rumour.Item, wide bool) bool {
	if i.Key == processes+n.self.Addr && i.Rank > 2 {
		if held, _ := n.book.Get(i.Key); i.Rank > held.Rank && (i.Gone() || i.Rank%2 == 1) { // we live
			i = n.selfItem((i.Rank/2 + 1) * 2)
		}
	}
	if !n.book.Put(n.now(), i, passTimes, wide) {
		return false
	}
	select {
	case n.hot <- struct{}{}:
	default:
	}
	if n.took != nil {
		n.took(i)
	}
	close(n.changed)
	n.changed = make(chan struct{})
	return true
}

// Put takes news of this process's own.
func (n *Node) Put(items ...rumour.Item) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range items {
		n.put(i, true)
	}
}

// Serve answers the other processes.
func (n *Node) Serve(mux *http.ServeMux) {
	passCall.On(mux, func(_ context.Context, _ calls.Named, p Pass) (Passed, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, i := range p.News {
			n.put(i, false)
		}
		ans := Passed{Want: n.book.Lacks(p.Marks), News: n.book.Pick(p.Ask)}
		if p.Sum != 0 && p.Sums == nil {
			ans.Differs = p.Sum != n.sum()
		}
		if p.Sums != nil {
			ans.Marks, ans.Buckets = n.book.Marks(*p.Sums)
		}
		return ans, nil
	})
}

// sum is one figure for all that is held. Under mu.
func (n *Node) sum() uint64 {
	s := uint64(0)
	for _, x := range n.book.Sums() {
		s = s*0x9E3779B97F4A7C15 + x
	}
	return s | 1
}

// Peers are the other processes, of a kind or of any.
func (n *Node) Peers(kind string) []Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Process
	n.book.All(func(i rumour.Item) {
		if !strings.HasPrefix(i.Key, processes) || i.Gone() || i.Rank%2 == 1 {
			return
		}
		p := Process{Addr: strings.TrimPrefix(i.Key, processes)}
		if json.Unmarshal(i.Body, &p) == nil && p.Addr != n.self.Addr && (kind == "" || p.Kind == kind) {
			out = append(out, p)
		}
	})
	return out
}

// pass calls a peer and keeps in mind whether it answered.
func (n *Node) pass(ctx context.Context, addr string, p Pass) (Passed, error) {
	p.From = n.self.Addr
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	ans, err := passCall.Ask(ctx, n.client, addr, "", p)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		delete(n.rests, addr)
		for _, i := range ans.News {
			n.put(i, false)
		}
		return ans, nil
	}
	r := n.rests[addr]
	if r == nil {
		r = &rest{}
		n.rests[addr] = r
	}
	r.misses++
	r.until = time.Now().Add(min(time.Duration(r.misses)*time.Second, restMost))
	return ans, err
}

// awake leaves out the peers that did not answer lately.
func (n *Node) awake(list []Process) []Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	return slices.DeleteFunc(list, func(p Process) bool {
		r := n.rests[p.Addr]
		return r != nil && now.Before(r.until)
	})
}

// Run passes news on and compares digests until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.join(ctx)
	digest := time.NewTicker(digestEvery)
	defer digest.Stop()
	for round := rand.IntN(wideEvery); ; {
		select {
		case <-ctx.Done():
			return
		case <-n.hot:
			n.spread(ctx)
			select {
			case <-ctx.Done():
				return
			case <-time.After(gossipEvery):
			}
		case <-digest.C:
			round++
			n.compare(ctx, round)
		}
	}
}

// join learns what there is from the seeds.
func (n *Node) join(ctx context.Context) {
	for try := 0; ctx.Err() == nil; try++ {
		for _, addr := range n.set.Boot().SeedPeers() {
			if addr != n.self.Addr {
				n.reconcile(ctx, addr)
			}
		}
		if peers := len(n.Peers("")); peers > 0 {
			events.Joined.Log("peers", peers)
			return
		}
		if try == aloneTries {
			events.Alone.Log("seeds", n.set.Boot().Seeds)
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(time.Duration(try+1)*200*time.Millisecond, 2*time.Second)):
		}
	}
}

// spread passes hot news on: to some of the own zone, and what began here to one process
// of every other zone, where it is then passed on in turn. Ways between zones are dear.
func (n *Node) spread(ctx context.Context) {
	peers := n.awake(n.Peers(""))
	n.mu.Lock()
	near, wide := n.book.Hot()
	idle := n.book.Idle()
	n.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	zones := make(map[string][]string)
	for _, p := range peers {
		zones[p.Zone] = append(zones[p.Zone], p.Addr)
	}
	var wait sync.WaitGroup
	give := func(m rumour.Message, to ...string) {
		if m.Empty() {
			return
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			for _, addr := range to { // the next one where one does not answer
				if n.give(ctx, addr, m) {
					return
				}
			}
		}()
	}
	for zone, addrs := range zones {
		if zone == n.self.Zone {
			for i := range min(passTo, len(addrs)) {
				give(near, addrs[i])
			}
		} else {
			give(wide, addrs[:min(len(addrs), 3)]...)
		}
	}
	wait.Wait()
	if !idle {
		select {
		case n.hot <- struct{}{}:
		default:
		}
	}
}

// give hands news to one process, and tells whether it took it.
func (n *Node) give(ctx context.Context, addr string, m rumour.Message) bool {
	ans, err := n.pass(ctx, addr, Pass{News: m.Small, Marks: m.Large})
	if err == nil && len(ans.Want) > 0 {
		n.mu.Lock()
		news := n.book.Pick(ans.Want)
		n.mu.Unlock()
		_, err = n.pass(ctx, addr, Pass{News: news})
	}
	return err == nil
}

// compare finds out from one peer what either lacks; mostly one of the own zone.
func (n *Node) compare(ctx context.Context, round int) {
	n.mu.Lock()
	n.book.Forget(n.now())
	n.mu.Unlock()
	peers := n.awake(n.Peers(""))
	every := wideEvery
	if n.self.Kind == "keel" {
		every = 2
	}
	if round%every != 0 {
		if near := slices.DeleteFunc(slices.Clone(peers), func(p Process) bool { return p.Zone != n.self.Zone }); len(near) > 0 {
			peers = near
		}
	}
	if len(peers) == 0 {
		n.join(ctx)
		return
	}
	addr := peers[rand.IntN(len(peers))].Addr
	n.mu.Lock()
	sum := n.sum()
	n.mu.Unlock()
	if ans, err := n.pass(ctx, addr, Pass{Sum: sum}); err == nil && ans.Differs {
		n.reconcile(ctx, addr)
	}
}

// reconcile brings two processes to the same news.
func (n *Node) reconcile(ctx context.Context, addr string) {
	n.mu.Lock()
	sums := n.book.Sums()
	n.mu.Unlock()
	ans, err := n.pass(ctx, addr, Pass{Sums: &sums})
	if err != nil || len(ans.Buckets) == 0 {
		return
	}
	n.mu.Lock()
	news, want := n.book.Newer(ans.Marks, ans.Buckets)
	n.mu.Unlock()
	if len(news)+len(want) > 0 {
		n.pass(ctx, addr, Pass{News: news, Ask: want})
	}
}
