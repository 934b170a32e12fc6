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
	replicaTick          = 100 * time.Millisecond
	maxQueuedOutputs     = 1024 // outputs that wait for the disk
	diskRetryInterval    = 200 * time.Millisecond
	keyState             = "pact"
	keyEntry             = "entry"
	keyRememberedServers = "servers"
	keyLastAcknowledged  = "known" // the last entry that was seen to be acknowledged
	ViewKey              = "v"
	answerTimeout        = 4 * time.Second
	diskStallTime        = time.Second
)

// Outcomes of a call of the replicated state. None of them says that nothing was done.
var (
	ErrStopping = errors.New("the process ends")
	ErrNoAnswer = errors.New("the chain has not answered in time")
)

// RejectedError is returned for a call that the chain refused for now.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return e.Reason }

// replicaRunner runs a replica.Machine. Its loop steps the machine; its disk goroutine writes
// what a step wants written, and only then releases what the step wants sent and answered.
type replicaRunner struct {
	node    *peer.Node
	dataDir string
	store   *storage.Store

	commands         chan func()
	done             chan struct{}
	replica          *replica.Machine             // owned by the loop
	callers          map[string]chan chain.Result // the same
	announcedVersion uint64                       // of the configuration, or about to be; owned by the loop
	announcedEpoch   uint64                       // of the view announced; the same
	hadQuorum        bool                         // when it was last looked at; the same

	mu             sync.Mutex
	queue          []diskJob
	servers        []byte // to be written beside what promises rest on; nil: unchanged
	diskWake       chan struct{}
	writeStartedAt time.Time // when the write at hand began; zero: none is
	outboxes       map[outboxKey]*outbox
	outboxesDone   sync.WaitGroup
	running        context.Context
}

// diskJob is the output of a step on its way through the disk.
type diskJob struct {
	replica.Output
	announce *chain.Entry // an entry that is known to be acknowledged; nil: none was before
}

func nonce() string {
	var b [6]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func newReplicaRunner(n *peer.Node, boot *nodesettings.Settings) (*replicaRunner, error) {
	disk, r, err := openStore(boot)
	if err != nil {
		return nil, err
	}
	c := &replicaRunner{node: n, dataDir: boot.DataDir, store: disk, commands: make(chan func(), 256), done: make(chan struct{}),
		callers: make(map[string]chan chain.Result), diskWake: make(chan struct{}, 1), outboxes: make(map[outboxKey]*outbox)}
	c.replica = replica.New(c.now(), replica.DefaultConfig(boot.FaultTolerance), r, boot.SeedPeers(), nonce(), chain.Mutations{})
	// What was acknowledged stays so: the proxies need not wait until the chain stands.
	if raw, err := disk.Get(keyLastAcknowledged); err == nil && raw != nil {
		var e chain.Entry
		if json.Unmarshal(raw, &e) == nil {
			c.announcedVersion = e.Version
			c.announce(e)
		}
	}
	return c, nil
}

// now is the machine's clock, in microseconds; it starts above 0.
func (c *replicaRunner) now() int64 { return c.node.Now() + 1 }

// do runs f on the loop.
func (c *replicaRunner) do(ctx context.Context, f func()) error {
	select {
	case c.commands <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return ErrStopping
	}
}

// run steps the machine until ctx ends. A broken invariant ends the process.
func (c *replicaRunner) run(ctx context.Context) {
	c.running = ctx
	defer func() {
		if x := recover(); x != nil {
			events.InvariantBroken.Log("what", fmt.Sprint(x))
			os.Exit(2)
		}
	}()
	var wait sync.WaitGroup
	wait.Add(1)
	go func() { defer wait.Done(); c.runDisk(ctx) }()
	tick := time.NewTicker(replicaTick)
	defer tick.Stop()
	c.process(replica.Output{})
	for {
		select {
		case <-ctx.Done():
			close(c.done)
			wait.Wait()
			c.outboxesDone.Wait()
			c.store.Close()
			return
		case f := <-c.commands:
			f()
		case <-tick.C:
			c.replica.Consensus.SetSeeds(c.seeds())
			c.process(c.replica.Tick(c.now()))
			c.logQuorumChange()
		}
	}
}

// logQuorumChange logs when the quorum is lost and when it is back. It is called on the loop.
func (c *replicaRunner) logQuorumChange() {
	now := c.replica.Consensus.HasQuorum(c.now())
	switch {
	case now && !c.hadQuorum:
		events.QuorumRegained.Log("epoch", c.announcedEpoch)
	case !now && c.hadQuorum:
		events.QuorumLost.Log("epoch", c.announcedEpoch)
	}
	c.hadQuorum = now
}

// seeds returns where to ask for a vote: what the settings name and what gossip knows.
func (c *replicaRunner) seeds() []string {
	seeds := c.node.Settings.Current().SeedPeers()
	if !c.replica.Consensus.IsMember() || !c.replica.Consensus.HasQuorum(c.now()) {
		for _, p := range c.node.Peers(gossip.KindControlPlane) {
			if !slices.Contains(seeds, p.Addr) {
				seeds = append(seeds, p.Addr)
			}
		}
	}
	return seeds
}

// process queues what a step returned, and announces the view. It is called on the loop.
func (c *replicaRunner) process(out replica.Output) {
	job := diskJob{Output: out, announce: c.newlyAcknowledged()}
	if out.Persist != nil || len(out.Send) > 0 || len(out.Results) > 0 || job.announce != nil {
		c.enqueue(job)
		c.wake()
	}
	c.announceView()
}

// enqueue makes an output wait for the disk. Behind a disk that stalls for long, messages are
// dropped, as a network may do; what is to be written, announced and answered is not.
func (c *replicaRunner) enqueue(job diskJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) < maxQueuedOutputs {
		c.queue = append(c.queue, job)
		return
	}
	last := &c.queue[len(c.queue)-1]
	last.Results = append(last.Results, job.Results...) // as many as wait at most
	if job.announce != nil {
		last.announce = job.announce
	}
	if job.Persist == nil {
		return
	}
	if last.Persist != nil && job.Persist.Entry == nil {
		job.Persist.Entry = last.Persist.Entry
	}
	last.Persist = job.Persist
}

// newlyAcknowledged returns the stored entry if it has become known to be acknowledged. It is
// announced only behind the disk: the tail of a chain acknowledges what it is about to write.
func (c *replicaRunner) newlyAcknowledged() *chain.Entry {
	stored := c.replica.Chain.Stored()
	if stored.Version <= c.announcedVersion || c.replica.Chain.Acknowledged() < stored.Version {
		return nil
	}
	c.announcedVersion = stored.Version
	return &stored
}

func (c *replicaRunner) announceView() {
	v := c.replica.Consensus.View
	if v.Epoch <= c.announcedEpoch {
		return
	}
	c.announcedEpoch = v.Epoch
	events.ViewChanged.Log("epoch", v.Epoch, "members", len(v.Members), "chain", fmt.Sprint(v.Chain), "member", c.replica.Consensus.IsMember())
	if body, err := json.Marshal(v); err == nil {
		c.node.Put(gossip.Entry{Key: ViewKey, Version: v.Epoch, Value: body})
	}
}

// wake makes the disk goroutine look at the queue.
func (c *replicaRunner) wake() {
	select {
	case c.diskWake <- struct{}{}:
	default:
	}
}

// announce gossips an acknowledged configuration.
func (c *replicaRunner) announce(e chain.Entry) {
	if ch, err := routeconfig.Parse(e.Content); err == nil {
		events.ConfigAcknowledged.Log("revision", ch.Revision)
		c.node.Put(gossip.Entry{Key: agentapi.ConfigurationKey, Version: e.Version, Value: json.RawMessage(e.Content)})
	}
}

func (c *replicaRunner) deliver(list []chain.Result) {
	for _, r := range list {
		if ch := c.callers[r.ID]; ch != nil {
			delete(c.callers, r.ID)
			ch <- r
		}
	}
}

// call steps the machine for a caller and waits for the result.
func (c *replicaRunner) call(ctx context.Context, step func(now int64) (string, replica.Output)) (chain.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	ch := make(chan chain.Result, 1)
	err := c.do(ctx, func() {
		id, out := step(c.now())
		c.callers[id] = ch
		c.process(out)
	})
	if err != nil {
		return chain.Result{}, err
	}
	select {
	case r := <-ch:
		if !r.OK() {
			return r, &RejectedError{r.Reason}
		}
		return r, nil
	case <-ctx.Done():
		return chain.Result{}, ErrNoAnswer
	}
}
