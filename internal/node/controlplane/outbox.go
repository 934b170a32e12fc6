package controlplane

import (
	"context"
	"net/http"
	"sync"
	"time"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/codec"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/events"
	"saddleport/internal/node/rpc"
)

const (
	messageTimeout    = 900 * time.Millisecond // for messages that are small
	bulkTimeout       = 4 * time.Second        // for those that carry an entry: links may be thin
	maxOutboxMessages = 128                    // messages that wait for one machine; the oldest go first
	maxOutboxPeers    = 64                     // machines that are sent to at once, each by two outboxes
	outboxIdleTimeout = time.Minute            // an outbox that was idle for so long is removed
)

// messagesCall carries messages between control-plane machines (codec.EncodeBatch). The answer
// only says that they arrived: what is lost is sent again by whoever waits for it.
var messagesCall = rpc.Declare[rpc.Raw, rpc.Empty]("POST", "/Core.Mail", 4*agentapi.MaxCallBytes, "core processes").WithCompression()

// outboxKey names one of the two outboxes of a machine. Large messages have their own, so that
// heartbeats do not wait behind them.
type outboxKey struct {
	addr string
	bulk bool
}

func (l outboxKey) timeout() time.Duration {
	if l.bulk {
		return bulkTimeout
	}
	return messageTimeout
}

// outbox holds the messages that wait for one machine.
type outbox struct {
	key    outboxKey
	mu     sync.Mutex
	queue  []envelope.Message
	closed bool // nobody carries it any more
	ready  chan struct{}
}

func (o *outbox) put(msg envelope.Message) (taken bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	if o.queue = append(o.queue, msg); len(o.queue) > maxOutboxMessages {
		o.queue = o.queue[1:]
	}
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return true
}

// take returns what may go in one call.
func (o *outbox) take() (batch []envelope.Message, more bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, size := 0, 0
	for n < len(o.queue) {
		size += len(chain.ContentOf(o.queue[n].Body))
		if n > 0 && size > agentapi.MaxCallBytes {
			break
		}
		n++
	}
	batch, o.queue = o.queue[:n:n], o.queue[n:]
	return batch, len(o.queue) > 0
}

// closeIfEmpty ends the outbox if nothing waits.
func (o *outbox) closeIfEmpty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = len(o.queue) == 0
	return o.closed
}

// enqueueMessages puts messages into the outboxes of their receivers.
func (c *replicaRunner) enqueueMessages(list []envelope.Message) {
	for _, msg := range list {
		if p := c.outboxFor(outboxKey{msg.To.Addr, chain.ContentOf(msg.Body) != nil}); p != nil && !p.put(msg) {
			if p = c.outboxFor(p.key); p != nil { // it has just been removed
				p.put(msg)
			}
		}
	}
}

// outboxFor returns an outbox; nil if there are too many.
func (c *replicaRunner) outboxFor(l outboxKey) *outbox {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.outboxes[l]; p != nil {
		return p
	}
	if len(c.outboxes) >= 2*maxOutboxPeers {
		return nil
	}
	p := &outbox{key: l, ready: make(chan struct{}, 1)}
	c.outboxes[l] = p
	c.outboxesDone.Add(1)
	go c.runOutbox(p)
	return p
}

// runOutbox sends the messages of one outbox in order until nothing has come for long.
func (c *replicaRunner) runOutbox(p *outbox) {
	defer c.outboxesDone.Done()
	idle := time.NewTimer(outboxIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-c.running.Done():
			return
		case <-idle.C:
			if c.removeOutbox(p) {
				return
			}
		case <-p.ready:
			c.sendAll(p)
		}
		idle.Reset(outboxIdleTimeout)
	}
}

func (c *replicaRunner) sendAll(p *outbox) {
	for more := true; more && c.running.Err() == nil; {
		var batch []envelope.Message
		batch, more = p.take()
		body, err := codec.EncodeBatch(batch)
		if err != nil {
			panic("invariant: " + err.Error()) // each message has a form
		}
		ctx, cancel := context.WithTimeout(c.running, p.key.timeout())
		messagesCall.Invoke(ctx, c.node.Client, p.key.addr, "", body) // what is lost is sent again
		cancel()
	}
}

func (c *replicaRunner) removeOutbox(p *outbox) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !p.closeIfEmpty() {
		return false
	}
	delete(c.outboxes, p.key)
	return true
}

// serveMessages answers the other control-plane machines.
func (c *replicaRunner) serveMessages(mux *http.ServeMux) {
	messagesCall.Handle(mux, func(ctx context.Context, who rpc.RequestInfo, body rpc.Raw) (rpc.Empty, error) {
		messages, unread, err := codec.DecodeBatch(body)
		if err != nil {
			events.MessageInvalid.Log("peer", who.Peer, "err", err)
			return rpc.Empty{}, rpc.Errorf(http.StatusBadRequest, "%v", err)
		}
		for _, err := range unread {
			events.MessageInvalid.Log("peer", who.Peer, "err", err)
		}
		return rpc.Empty{}, c.do(ctx, func() {
			for _, msg := range messages {
				c.process(c.replica.Step(c.now(), msg))
			}
		})
	})
}
