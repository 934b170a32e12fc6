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
	messageTimeout    = 900 * time.Millisecond // for small messages
	bulkTimeout       = 4 * time.Second        // for messages that carry an entry: links may be slow
	maxOutboxMessages = 128                    // queued messages for one machine; the oldest are dropped first
	maxOutboxPeers    = 64                     // machines that have outboxes, two each; messages to more machines are dropped
	outboxIdleTimeout = time.Minute            // an idle outbox is removed after this time
)

// messagesCall transfers messages between control-plane machines (codec.EncodeBatch). The response only
// confirms receipt. The sender's state machine resends a lost message if it still needs an answer.
var messagesCall = rpc.Declare[rpc.Raw, rpc.Empty]("POST", "/Core.Mail", 4*agentapi.MaxCallBytes, "control-plane processes").WithCompression()

// outboxKey identifies one of the two outboxes of a machine. Messages that carry an entry are large and
// have their own outbox, so that the heartbeats between members do not wait behind them.
type outboxKey struct {
	addr string
	bulk bool
}

func (key outboxKey) timeout() time.Duration {
	if key.bulk {
		return bulkTimeout
	}
	return messageTimeout
}

// outbox queues messages for one machine.
type outbox struct {
	key    outboxKey
	mu     sync.Mutex
	queue  []envelope.Message
	closed bool // no goroutine sends its messages any more
	ready  chan struct{}
}

// enqueue adds a message and drops the oldest one above maxOutboxMessages. It reports false if the
// outbox is closed.
func (o *outbox) enqueue(msg envelope.Message) (accepted bool) {
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

// nextBatch removes and returns the messages that fit into one call, at least one if any is queued, and
// reports whether more are queued. Only the content of entries counts, as the other bytes are few.
func (o *outbox) nextBatch() (batch []envelope.Message, more bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	count, size := 0, 0
	for count < len(o.queue) {
		size += len(chain.ContentOf(o.queue[count].Body))
		if count > 0 && size > agentapi.MaxCallBytes {
			break
		}
		count++
	}
	batch, o.queue = o.queue[:count:count], o.queue[count:]
	return batch, len(o.queue) > 0
}

// closeIfEmpty closes the outbox and returns true if no message is queued.
func (o *outbox) closeIfEmpty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = len(o.queue) == 0
	return o.closed
}

// enqueueMessages adds messages to the outboxes of their receivers. A message for which there is no outbox
// is dropped.
func (c *replicaRunner) enqueueMessages(messages []envelope.Message) {
	for _, msg := range messages {
		if box := c.outboxFor(outboxKey{msg.To.Addr, chain.ContentOf(msg.Body) != nil}); box != nil && !box.enqueue(msg) {
			if box = c.outboxFor(box.key); box != nil { // the outbox has just been removed: use a new one
				box.enqueue(msg)
			}
		}
	}
}

// outboxFor returns the outbox of a key and creates it if needed. It returns nil if there are too many.
func (c *replicaRunner) outboxFor(key outboxKey) *outbox {
	c.mu.Lock()
	defer c.mu.Unlock()
	if box := c.outboxes[key]; box != nil {
		return box
	}
	if len(c.outboxes) >= 2*maxOutboxPeers {
		return nil
	}
	box := &outbox{key: key, ready: make(chan struct{}, 1)}
	c.outboxes[key] = box
	c.outboxesDone.Add(1)
	go c.runOutbox(box)
	return box
}

// runOutbox sends the messages of one outbox in order until the outbox was idle for outboxIdleTimeout.
func (c *replicaRunner) runOutbox(box *outbox) {
	defer c.outboxesDone.Done()
	idle := time.NewTimer(outboxIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-c.runCtx.Done():
			return
		case <-idle.C:
			if c.removeIfEmpty(box) {
				return
			}
		case <-box.ready:
			c.sendAll(box)
		}
		idle.Reset(outboxIdleTimeout)
	}
}

// sendAll sends the queued messages of an outbox, one call after another.
func (c *replicaRunner) sendAll(box *outbox) {
	for more := true; more && c.runCtx.Err() == nil; {
		var batch []envelope.Message
		batch, more = box.nextBatch()
		body, err := codec.EncodeBatch(batch)
		if err != nil {
			panic("invariant: " + err.Error()) // every message type can be encoded
		}
		ctx, cancel := context.WithTimeout(c.runCtx, box.key.timeout())
		messagesCall.Invoke(ctx, c.node.Client, box.key.addr, "", body) // a lost message is resent by the state machine
		cancel()
	}
}

// removeIfEmpty closes and removes an outbox without queued messages, and reports whether it did.
func (c *replicaRunner) removeIfEmpty(box *outbox) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !box.closeIfEmpty() {
		return false
	}
	delete(c.outboxes, box.key)
	return true
}

// serveMessages registers the handler of messagesCall.
func (c *replicaRunner) serveMessages(mux *http.ServeMux) {
	messagesCall.Handle(mux, func(ctx context.Context, caller rpc.RequestInfo, body rpc.Raw) (rpc.Empty, error) {
		messages, decodeErrors, err := codec.DecodeBatch(body)
		if err != nil {
			events.MessageInvalid.Log("peer", caller.Peer, "err", err)
			return rpc.Empty{}, rpc.Errorf(http.StatusBadRequest, "%v", err)
		}
		for _, err := range decodeErrors {
			events.MessageInvalid.Log("peer", caller.Peer, "err", err)
		}
		return rpc.Empty{}, c.runOnLoop(ctx, func() {
			for _, msg := range messages {
				c.processOutput(c.replica.Step(c.now(), msg))
			}
		})
	})
}
