package role

import (
	"context"
	"net/http"
	"sync"
	"time"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/codec"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/node/events"
	"saddleport/internal/node/rpc"
)

const (
	mailTime  = 900 * time.Millisecond // for messages that are small
	bulkTime  = 4 * time.Second        // for those that carry an entry: links may be thin
	mostMail  = 128                    // messages that wait for one machine; the oldest go first
	mostPosts = 64                     // machines that mail is sent to at once, twice: small and bulk
	postIdle  = time.Minute            // a machine that was sent nothing for so long is let go of
)

// mailCall carries messages between core machines (codec.EncodeBatch). Nothing is answered
// but that it came: what is lost is sent again by whoever waits for it.
var mailCall = rpc.Declare[rpc.Raw, Nothing]("POST", "/Core.Mail", 4*mostCall, "core processes").Packed()

// lane is one of the two ways of mail to a machine. What is large has one of its own, so
// that heartbeats do not wait behind it.
type lane struct {
	addr string
	bulk bool
}

func (l lane) timeout() time.Duration {
	if l.bulk {
		return bulkTime
	}
	return mailTime
}

// post is the mail that waits for one lane.
type post struct {
	lane  lane
	mu    sync.Mutex
	queue []envelope.Message
	ended bool // nobody carries it any more
	ready chan struct{}
}

func (p *post) put(msg envelope.Message) (taken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	if p.queue = append(p.queue, msg); len(p.queue) > mostMail {
		p.queue = p.queue[1:]
	}
	select {
	case p.ready <- struct{}{}:
	default:
	}
	return true
}

// take returns what may go in one call: of large messages only so many as the call bears.
func (p *post) take() (batch []envelope.Message, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, size := 0, 0
	for n < len(p.queue) {
		size += len(chain.ContentOf(p.queue[n].Body))
		if n > 0 && size > mostCall {
			break
		}
		n++
	}
	batch, p.queue = p.queue[:n:n], p.queue[n:]
	return batch, len(p.queue) > 0
}

// end lets go of the post if nothing waits.
func (p *post) end() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = len(p.queue) == 0
	return p.ended
}

// send puts messages into the mail of their receivers.
func (c *core) send(list []envelope.Message) {
	for _, msg := range list {
		if p := c.postFor(lane{msg.To.Addr, chain.ContentOf(msg.Body) != nil}); p != nil && !p.put(msg) {
			if p = c.postFor(p.lane); p != nil { // it has just been let go of
				p.put(msg)
			}
		}
	}
}

// postFor returns the mail of a lane; nil: there are too many.
func (c *core) postFor(l lane) *post {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.posts[l]; p != nil {
		return p
	}
	if len(c.posts) >= 2*mostPosts {
		return nil
	}
	p := &post{lane: l, ready: make(chan struct{}, 1)}
	c.posts[l] = p
	c.post.Add(1)
	go c.carry(p)
	return p
}

// carry posts the mail of one lane, in order, until nothing has come for long.
func (c *core) carry(p *post) {
	defer c.post.Done()
	idle := time.NewTimer(postIdle)
	defer idle.Stop()
	for {
		select {
		case <-c.running.Done():
			return
		case <-idle.C:
			if c.letGo(p) {
				return
			}
		case <-p.ready:
			c.carryAll(p)
		}
		idle.Reset(postIdle)
	}
}

func (c *core) carryAll(p *post) {
	for more := true; more && c.running.Err() == nil; {
		var batch []envelope.Message
		batch, more = p.take()
		mail, err := codec.EncodeBatch(batch)
		if err != nil {
			panic("invariant: " + err.Error()) // each message has a form
		}
		ctx, cancel := context.WithTimeout(c.running, p.lane.timeout())
		mailCall.Ask(ctx, c.node.client, p.lane.addr, "", mail) // what is lost is sent again
		cancel()
	}
}

func (c *core) letGo(p *post) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !p.end() {
		return false
	}
	delete(c.posts, p.lane)
	return true
}

// serve answers the other core machines.
func (c *core) serve(mux *http.ServeMux) {
	mailCall.On(mux, func(ctx context.Context, who rpc.Named, mail rpc.Raw) (Nothing, error) {
		messages, unread, err := codec.DecodeBatch(mail)
		if err != nil {
			events.MailUnread.Log("peer", who.Peer, "err", err)
			return Nothing{}, rpc.Fail(http.StatusBadRequest, "%v", err)
		}
		for _, err := range unread {
			events.MailUnread.Log("peer", who.Peer, "err", err)
		}
		return Nothing{}, c.do(ctx, func() {
			for _, msg := range messages {
				c.flow(c.replica.Step(c.now(), msg))
			}
		})
	})
}
