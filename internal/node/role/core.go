package role

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
	"saddleport/internal/node/events"
	"saddleport/internal/node/storage"
)

const (
	coreTick    = 100 * time.Millisecond
	mostQueued  = 1024 // outputs that wait for the disk
	diskRetry   = 200 * time.Millisecond
	keyState    = "pact"
	keyEntry    = "entry"
	keyServers  = "servers"
	keyKnown    = "known" // the last entry that was seen to be acknowledged
	viewAt      = "v"
	answerTime  = 4 * time.Second
	diskStalled = time.Second
)

// core runs a replica: its loop steps it, its disk goroutine writes down what a step wants
// written and only then lets go what the step wants sent and told.
type core struct {
	node *Node
	dir  string
	disk *storage.Store

	in      chan func()
	done    chan struct{}
	replica *replica.Machine             // owned by the loop
	waiting map[string]chan chain.Result // the same
	told    uint64                       // rank of the configuration announced; the same
	epoch   uint64                       // of the view announced; the same
	inTouch bool                         // when it was last looked at; the same

	mu      sync.Mutex
	queue   []replica.Output
	servers []byte       // to be kept, beside what promises rest on; nil: as they are
	known   *chain.Entry // the same
	ready   chan struct{}
	since   time.Time // when the write at hand began; zero: none is
	posts   map[lane]*post
	post    sync.WaitGroup
	running context.Context
}

func nonce() string {
	var b [6]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func newCore(n *Node, boot *Boot) (*core, error) {
	disk, r, err := openDisk(boot)
	if err != nil {
		return nil, err
	}
	c := &core{node: n, dir: boot.Dir, disk: disk, in: make(chan func(), 256), done: make(chan struct{}),
		waiting: make(map[string]chan chain.Result), ready: make(chan struct{}, 1), posts: make(map[lane]*post)}
	c.replica = replica.New(c.now(), replica.DefaultConfig(boot.Faults), r, boot.SeedPeers(), nonce(), chain.Mutations{})
	// What was acknowledged stays so: the proxies need not wait until the chain stands.
	if raw, err := disk.Get(keyKnown); err == nil && raw != nil {
		var e chain.Entry
		if json.Unmarshal(raw, &e) == nil {
			c.announce(e)
		}
	}
	return c, nil
}

// now is the machines' clock: it starts above 0.
func (c *core) now() int64 { return c.node.now() + 1 }

// do runs f on the loop.
func (c *core) do(ctx context.Context, f func()) error {
	select {
	case c.in <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errors.New("the process ends")
	}
}

// run steps the machine until ctx ends. A broken invariant ends the process.
func (c *core) run(ctx context.Context) {
	c.running = ctx
	defer func() {
		if x := recover(); x != nil {
			events.Broken.Log("what", fmt.Sprint(x))
			os.Exit(2)
		}
	}()
	var wait sync.WaitGroup
	wait.Add(1)
	go func() { defer wait.Done(); c.write(ctx) }()
	tick := time.NewTicker(coreTick)
	defer tick.Stop()
	c.flow(replica.Output{})
	for {
		select {
		case <-ctx.Done():
			close(c.done)
			wait.Wait()
			c.post.Wait()
			c.disk.Close()
			return
		case f := <-c.in:
			f()
		case <-tick.C:
			c.replica.Consensus.SetSeeds(c.seeds())
			c.flow(c.replica.Tick(c.now()))
			c.noteTouch()
		}
	}
}

// noteTouch tells when most of the core is heard no more, and when it is again. On the loop.
func (c *core) noteTouch() {
	now := c.replica.Consensus.HasQuorum(c.now())
	switch {
	case now && !c.inTouch:
		events.InTouch.Log("epoch", c.epoch)
	case !now && c.inTouch:
		events.OutOfTouch.Log("epoch", c.epoch)
	}
	c.inTouch = now
}

// seeds are where to ask to be taken in: what the settings name and what the news knows.
func (c *core) seeds() []string {
	seeds := c.node.set.Boot().SeedPeers()
	if !c.replica.Consensus.IsMember() || !c.replica.Consensus.HasQuorum(c.now()) {
		for _, p := range c.node.Peers("keel") {
			if !slices.Contains(seeds, p.Addr) {
				seeds = append(seeds, p.Addr)
			}
		}
	}
	return seeds
}

// flow queues what a step returned, and makes known what is safe. On the loop.
func (c *core) flow(out replica.Output) {
	if out.Persist != nil || len(out.Send) > 0 || len(out.Results) > 0 {
		c.enqueue(out)
		c.wake()
	}
	c.announceHeld()
	c.announceView()
}

// enqueue has an output wait for the disk. Behind a disk that stalls for long, what is to be
// sent is dropped, as a network may do; what is to be written and told is not.
func (c *core) enqueue(out replica.Output) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) < mostQueued {
		c.queue = append(c.queue, out)
		return
	}
	last := &c.queue[len(c.queue)-1]
	last.Results = append(last.Results, out.Results...) // as many as wait at most
	if out.Persist == nil {
		return
	}
	if last.Persist != nil && out.Persist.Entry == nil {
		out.Persist.Entry = last.Persist.Entry
	}
	last.Persist = out.Persist
}

func (c *core) announceHeld() {
	held := c.replica.Chain.Stored()
	if held.Version <= c.told || c.replica.Chain.Acknowledged() < held.Version {
		return
	}
	c.announce(held)
	c.mu.Lock()
	c.known = &held
	c.mu.Unlock()
	c.wake()
}

func (c *core) announceView() {
	v := c.replica.Consensus.View
	if v.Epoch <= c.epoch {
		return
	}
	c.epoch = v.Epoch
	events.View.Log("epoch", v.Epoch, "members", len(v.Members), "chain", fmt.Sprint(v.Chain), "member", c.replica.Consensus.IsMember())
	if body, err := json.Marshal(v); err == nil {
		c.node.Put(gossip.Entry{Key: viewAt, Version: v.Epoch, Value: body})
	}
}

// wake has the disk's goroutine look at what there is to write.
func (c *core) wake() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// announce makes an acknowledged configuration known to all.
func (c *core) announce(e chain.Entry) {
	c.told = e.Version
	if ch, err := routeconfig.Parse(e.Content); err == nil {
		events.Acknowledged.Log("version", ch.Revision)
		c.node.Put(gossip.Entry{Key: charterAt, Version: e.Version, Value: json.RawMessage(e.Content)})
	}
}

func (c *core) results(list []chain.Result) {
	for _, r := range list {
		if ch := c.waiting[r.ID]; ch != nil {
			delete(c.waiting, r.ID)
			ch <- r
		}
	}
}

// ask steps the machine for a caller and waits for its result.
func (c *core) ask(ctx context.Context, step func(now int64) (string, replica.Output)) (chain.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	ch := make(chan chain.Result, 1)
	err := c.do(ctx, func() {
		id, out := step(c.now())
		c.waiting[id] = ch
		c.flow(out)
	})
	if err != nil {
		return chain.Result{}, err
	}
	select {
	case r := <-ch:
		if !r.OK() {
			return r, errors.New(r.Reason)
		}
		return r, nil
	case <-ctx.Done():
		return chain.Result{}, errors.New("the chain has not answered in time")
	}
}
