package role

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/node/events"
	"saddleport/internal/node/rpc"
	"saddleport/internal/node/transport"
)

// Feed is what a proxy asks its agent for: what changed since a count of the agent's
// changes, waiting for a while if nothing has.
type Feed struct {
	Life  string         `json:"life"` // of the agent, as its last answer told it
	Since uint64         `json:"since"`
	Rank  uint64         `json:"rank"`           // of the configuration that the proxy holds
	News  []gossip.Entry `json:"news,omitempty"` // which an agent that lacks it wants
}

// Fed is the answer.
type Fed struct {
	Life  string         `json:"life"`
	Seq   uint64         `json:"seq"`
	Want  bool           `json:"want,omitempty"` // of the proxy's configuration
	Items []gossip.Entry `json:"items,omitempty"`
}

var feedCall = rpc.Declare[Feed, Fed]("POST", "/Feed", mostCall, "the proxy on the same machine")

const (
	feedWait   = 8 * time.Second        // less than a caller waits for an answer to begin
	fedPause   = 500 * time.Millisecond // without a call of the proxy, after SIGTERM: it has ended
	echoMargin = 400 * time.Millisecond // before the grace is over
)

// Echo is the agent beside a proxy: it keeps the link to the control plane and feeds the
// proxy over loopback. It serves no requests and decides nothing.
func Echo(ctx context.Context, set *Settings) error {
	boot := set.Boot()
	n := NewNode(set, "echo")
	var fed atomic.Int64  // when the proxy last asked or was answered, by n.now
	var open atomic.Int64 // calls of the proxy that wait
	life := strconv.FormatInt(time.Now().UnixNano(), 36)
	loop := http.NewServeMux()
	feedCall.On(loop, func(ctx context.Context, _ rpc.Named, f Feed) (Fed, error) {
		open.Add(1)
		defer func() { fed.Store(n.now()); open.Add(-1) }()
		n.mu.Lock()
		for _, i := range f.News {
			n.put(i)
		}
		if f.Life != life {
			f.Since = 0
		}
		end := time.After(feedWait)
		for n.book.Seq() <= f.Since {
			changed := n.changed
			n.mu.Unlock()
			select {
			case <-changed:
			case <-end:
				return Fed{Life: life, Seq: f.Since}, nil
			case <-ctx.Done():
				return Fed{}, ctx.Err()
			}
			n.mu.Lock()
		}
		defer n.mu.Unlock()
		held, _ := n.book.Get(charterAt)
		return Fed{Life: life, Seq: n.book.Seq(), Want: f.Rank > held.Version, Items: n.book.ChangedSince(f.Since)}, nil
	})
	inner := http.NewServeMux()
	n.Serve(inner)
	b := newBench(n)
	b.serve(loop, inner)
	onShow(loop, "echo", boot.Name, n.start, b.tables)
	onExplain(loop, "echo", boot.Name, n.start, b.explain)
	lnLoop, err := transport.Listen(ctx, boot.Loop())
	if err != nil {
		return err
	}
	lnInner, err := transport.Listen(ctx, boot.Inner())
	if err != nil {
		return err
	}
	running, end := context.WithCancel(context.Background()) // outlives ctx: the proxy is fed until it has ended
	over := make(chan struct{})
	defer func() { end(); <-over }()
	failed := make(chan error, 2)
	go func() { failed <- rpc.Serve(running, lnLoop, loop, feedWait+5*time.Second) }()
	go func() { failed <- rpc.Serve(running, lnInner, inner, 0) }()
	go func() { n.Run(running); close(over) }()
	go set.Watch(running)
	go b.run(running)
	go b.vault.run(running)
	events.Started.Log("program", "echo", "name", boot.Name, "inner", boot.Inner(), "loop", boot.Loop())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	events.Stopping.Log()
	since := time.Now()
	for time.Since(since) < set.Boot().Bounds.Grace-echoMargin {
		if open.Load() == 0 && n.now()-fed.Load() > fedPause.Microseconds() {
			events.ProxyGone.Log()
			break
		}
		time.Sleep(pollTime)
	}
	return nil
}
