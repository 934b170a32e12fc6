package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/peer"
	"saddleport/internal/node/storage"
)

const (
	replicaTick         = 100 * time.Millisecond
	maxQueuedOutputs    = 1024 // outputs that wait for the disk
	diskRetryInterval   = 200 * time.Millisecond
	keyState            = "pact" // keys on disk; they keep the names under which earlier releases stored them
	keyEntry            = "entry"
	keyServers          = "servers"
	keyLastAcknowledged = "known" // the last entry known to be acknowledged
	ViewKey             = "v"     // the gossip key of the view
	answerTimeout       = 4 * time.Second
)

// Errors of calls to the replicated state. After ErrStopping the call was not started. After ErrNoAnswer
// it may have taken effect, or may still do so.
var (
	ErrStopping = errors.New("the process is stopping")
	ErrNoAnswer = errors.New("the chain did not answer in time")
)

// RejectedError is returned for a call that the chain rejected temporarily.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return e.Reason }

// replicaRunner runs a replica.Machine, the replicated state machine. Its loop steps that machine. Its disk
// goroutine writes the record of each step and only then releases the messages and results of that step.
type replicaRunner struct {
	node    *peer.Node
	dataDir string
	store   *storage.Store

	commands         chan func()
	done             chan struct{}
	replica          *replica.Machine             // owned by the loop
	pendingCalls     map[string]chan chain.Result // owned by the loop
	announcedVersion uint64                       // of the configuration that is announced, or queued to be; owned by the loop
	announcedEpoch   uint64                       // of the announced view; owned by the loop
	hadQuorum        bool                         // at the last check; owned by the loop

	mu               sync.Mutex
	diskQueue        []diskJob
	serversToPersist *serversCopy // written with the next batch; nil: unchanged
	serversOnDisk    int          // number of servers in the copy that was written last
	diskWake         chan struct{}
	outboxes         map[outboxKey]*outbox
	outboxesDone     sync.WaitGroup
	runCtx           context.Context
}

// diskJob is the output of a step that waits for its record to be written.
type diskJob struct {
	replica.Output
	announce *chain.Entry // an entry that has become known as acknowledged; nil: none
}

// newNonce returns a random string that distinguishes a start of the process, or a disk, from all others.
func newNonce() string {
	var b [6]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func newReplicaRunner(node *peer.Node, boot *nodesettings.Settings) (*replicaRunner, error) {
	store, record, err := openStore(boot)
	if err != nil {
		return nil, err
	}
	c := &replicaRunner{node: node, dataDir: boot.DataDir, store: store, commands: make(chan func(), 256), done: make(chan struct{}),
		pendingCalls: make(map[string]chan chain.Result), diskWake: make(chan struct{}, 1), outboxes: make(map[outboxKey]*outbox)}
	// Mutations disable rules of the protocol, for the model checker; the empty value disables none.
	c.replica = replica.New(c.now(), replica.DefaultConfig(boot.FaultTolerance), record, boot.SeedPeers(), newNonce(), chain.Mutations{})
	// An acknowledged entry stays acknowledged: proxies can use it before there is a quorum.
	if raw, err := store.Get(keyLastAcknowledged); err == nil && raw != nil {
		var entry chain.Entry
		if json.Unmarshal(raw, &entry) == nil {
			c.announcedVersion = entry.Version
			c.announce(entry)
		}
	}
	return c, nil
}

// now returns the time since the start of this process in microseconds, plus 1: it is always above 0.
func (c *replicaRunner) now() int64 { return c.node.Now() + 1 }

// runOnLoop queues f to run on the loop and does not wait for it. It returns an error, and f is not run,
// if ctx ends or the loop has ended before f is queued. An f that is queued when the loop ends is not run
// either.
func (c *replicaRunner) runOnLoop(ctx context.Context, f func()) error {
	select {
	case c.commands <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return ErrStopping
	}
}

// runAndWait runs f on the loop and waits until it has returned. After an error f may still run, so the
// caller must not use what it sets.
func (c *replicaRunner) runAndWait(ctx context.Context, f func()) error {
	done := make(chan struct{})
	if err := c.runOnLoop(ctx, func() { f(); close(done) }); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run steps the state machine until ctx ends. A panic on the loop, a violated invariant, ends the
// process with exit status 2.
func (c *replicaRunner) run(ctx context.Context) {
	c.runCtx = ctx
	defer func() {
		if x := recover(); x != nil {
			events.InvariantBroken.Log("what", fmt.Sprint(x))
			os.Exit(2)
		}
	}()
	var diskDone sync.WaitGroup
	diskDone.Add(1)
	go func() { defer diskDone.Done(); c.runDisk(ctx) }()
	tick := time.NewTicker(replicaTick)
	defer tick.Stop()
	c.processOutput(replica.Output{}) // announces the view that was read from disk
	for {
		select {
		case <-ctx.Done():
			close(c.done)
			diskDone.Wait()
			c.outboxesDone.Wait()
			c.store.Close()
			return
		case f := <-c.commands:
			f()
		case <-tick.C:
			c.replica.Consensus.SetSeeds(c.seeds())
			c.processOutput(c.replica.Tick(c.now()))
			c.logQuorumChange()
		}
	}
}

// logQuorumChange logs the loss and the return of the quorum. It must be called on the loop.
func (c *replicaRunner) logQuorumChange() {
	hasQuorum := c.replica.Consensus.HasQuorum(c.now())
	switch {
	case hasQuorum && !c.hadQuorum:
		events.QuorumRegained.Log("epoch", c.announcedEpoch)
	case !hasQuorum && c.hadQuorum:
		events.QuorumLost.Log("epoch", c.announcedEpoch)
	}
	c.hadQuorum = hasQuorum
}

// seeds returns the addresses to request a vote from: the seeds of the settings, and also the control-plane
// machines known by gossip if this machine is not a member or has no quorum.
func (c *replicaRunner) seeds() []string {
	seeds := c.node.Settings.Current().SeedPeers()
	if !c.replica.Consensus.IsMember() || !c.replica.Consensus.HasQuorum(c.now()) {
		for _, process := range c.node.Peers(gossip.KindControlPlane) {
			if !slices.Contains(seeds, process.Addr) {
				seeds = append(seeds, process.Addr)
			}
		}
	}
	return seeds
}

// processOutput queues the output of a step for the disk and announces the view. It must be called on
// the loop.
func (c *replicaRunner) processOutput(out replica.Output) {
	job := diskJob{Output: out, announce: c.newlyAcknowledged()}
	if out.Persist != nil || len(out.Send) > 0 || len(out.Results) > 0 || job.announce != nil {
		c.enqueueDisk(job)
		c.wakeDisk()
	}
	c.announceView()
}

// enqueueDisk queues an output for the disk. If the queue is full because the disk stalls, messages are
// dropped, as a network may do. Records, announcements and results are merged into the last output
// and never dropped, except results that no caller waits for any more. It must be called on the loop.
func (c *replicaRunner) enqueueDisk(job diskJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.diskQueue) < maxQueuedOutputs {
		c.diskQueue = append(c.diskQueue, job)
		return
	}
	last := &c.diskQueue[len(c.diskQueue)-1]
	last.Results = append(last.Results, job.Results...)
	last.Results = slices.DeleteFunc(last.Results, func(r chain.Result) bool { return c.pendingCalls[r.ID] == nil }) // leaves at most one for each waiting caller
	if job.announce != nil {
		last.announce = job.announce
	}
	if job.Persist == nil {
		return
	}
	if last.Persist != nil && job.Persist.Entry == nil { // nil: unchanged since the record before
		job.Persist.Entry = last.Persist.Entry
	}
	last.Persist = job.Persist
}

// newlyAcknowledged returns the stored entry if it has become known as acknowledged. The entry must be
// written before it is announced: the tail of a chain counts an entry as acknowledged in memory before the
// entry is on its own disk.
func (c *replicaRunner) newlyAcknowledged() *chain.Entry {
	stored := c.replica.Chain.Stored()
	if stored.Version <= c.announcedVersion || c.replica.Chain.Acknowledged() < stored.Version {
		return nil
	}
	c.announcedVersion = stored.Version
	return &stored
}

func (c *replicaRunner) announceView() {
	view := c.replica.Consensus.View
	if view.Epoch <= c.announcedEpoch {
		return
	}
	c.announcedEpoch = view.Epoch
	events.ViewChanged.Log("epoch", view.Epoch, "members", len(view.Members), "chain", fmt.Sprint(view.Chain), "member", c.replica.Consensus.IsMember())
	if body, err := json.Marshal(view); err == nil {
		c.node.Put(gossip.Entry{Key: ViewKey, Version: view.Epoch, Value: body})
	}
}

// wakeDisk signals the disk goroutine to check the queue.
func (c *replicaRunner) wakeDisk() {
	select {
	case c.diskWake <- struct{}{}:
	default:
	}
}

// announce gossips an acknowledged configuration.
func (c *replicaRunner) announce(entry chain.Entry) {
	if config, err := routeconfig.Parse(entry.Content); err == nil {
		events.ConfigAcknowledged.Log("revision", config.Revision)
		c.node.Put(gossip.Entry{Key: agentapi.ConfigurationKey, Version: entry.Version, Value: json.RawMessage(entry.Content)})
	}
}

func (c *replicaRunner) deliverResults(results []chain.Result) {
	for _, r := range results {
		if caller := c.pendingCalls[r.ID]; caller != nil {
			delete(c.pendingCalls, r.ID)
			caller <- r
		}
	}
}

// call runs step on the loop and waits for the result of the id that step returns. A rejected call
// returns a RejectedError; a call without a result before answerTimeout, or before ctx ends,
// ErrNoAnswer; and a call that could not be queued the error of runOnLoop.
func (c *replicaRunner) call(ctx context.Context, step func(now int64) (string, replica.Output)) (chain.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	result := make(chan chain.Result, 1)
	var id string // owned by the loop
	err := c.runOnLoop(ctx, func() {
		var out replica.Output
		id, out = step(c.now())
		c.pendingCalls[id] = result
		c.processOutput(out)
	})
	if err != nil {
		return chain.Result{}, err
	}
	select {
	case r := <-result:
		if !r.OK() {
			return r, &RejectedError{r.Reason}
		}
		return r, nil
	case <-ctx.Done():
		c.runOnLoop(context.Background(), func() { delete(c.pendingCalls, id) }) // runs after step
		return chain.Result{}, ErrNoAnswer
	}
}
