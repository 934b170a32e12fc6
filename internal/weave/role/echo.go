package role

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"saddleport/internal/fabric/rumour"
	"saddleport/internal/weave/calls"
	"saddleport/internal/weave/link"
)

// Feed is what a proxy asks its agent for: what changed since a count of the agent's
// changes, waiting for a while if nothing has.
type Feed struct {
	Life  string        `json:"life"` // of the agent, as its last answer told it
	Since uint64        `json:"since"`
	Rank  uint64        `json:"rank"`           // of the configuration that the proxy holds
	News  []rumour.Item `json:"news,omitempty"` // which an agent that lacks it wants
}

// Fed is the answer.
type Fed struct {
	Life  string        `json:"life"`
	Seq   uint64        `json:"seq"`
	Want  bool          `json:"want,omitempty"` // of the proxy's configuration
	Items []rumour.Item `json:"items,omitempty"`
}

var feedCall = calls.Call[Feed, Fed]{Method: "POST", Path: "/Feed", Most: mostCall, Who: "the proxy on the same machine"}

const feedWait = 10 * time.Second

// Echo is the agent beside a proxy: it keeps the link to the control plane and feeds the
// proxy over loopback. It serves no requests and decides nothing.
func Echo(ctx context.Context, boot *Boot) error {
	n := NewNode(boot, "echo")
	life := strconv.FormatInt(time.Now().UnixNano(), 36)
	loop := http.NewServeMux()
	feedCall.On(loop, func(ctx context.Context, _ calls.Named, f Feed) (Fed, error) {
		n.mu.Lock()
		for _, i := range f.News {
			n.put(i, passTimes)
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
		return Fed{Life: life, Seq: n.book.Seq(), Want: f.Rank > held.Rank, Items: n.book.Since(f.Since)}, nil
	})
	inner := http.NewServeMux()
	n.Serve(inner)
	lnLoop, err := link.Listen(ctx, boot.Loop())
	if err != nil {
		return err
	}
	lnInner, err := link.Listen(ctx, boot.Inner())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	go func() { failed <- calls.Serve(ctx, lnLoop, loop, feedWait+5*time.Second) }()
	go func() { failed <- calls.Serve(ctx, lnInner, inner, 0) }()
	go n.Run(ctx)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}
