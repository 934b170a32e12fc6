package role

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/node/events"
	"saddleport/internal/node/rpc"
	"saddleport/internal/node/storage"
)

// Mail carries messages between core machines. Nothing is answered but that it came: what
// is lost is sent again by whoever waits for it.
type Mail struct {
	Messages []chain.Message `json:"m"`
}

var mailCall = rpc.Declare[Mail, Nothing]("POST", "/Core.Mail", 4*mostCall, "core processes").Packed()

const (
	coreTick    = 100 * time.Millisecond
	mailTime    = 900 * time.Millisecond
	mostMail    = 128 // messages that wait for one machine; the oldest go first
	mostPosts   = 64  // machines that mail is sent to
	diskRetry   = 200 * time.Millisecond
	keyState    = "pact"
	keyEntry    = "entry"
	keyServers  = "servers"
	keyKnown    = "known" // the last entry that was seen to be acknowledged
	viewAt      = "v"
	answerTime  = 4 * time.Second
	diskStalled = time.Second
)

// core runs a helm: its loop steps it, its disk goroutine writes down what a step wants
// written and only then lets go what the step wants sent and told.
type core struct {
	node *Node
	dir  string
	disk *storage.Store

	in      chan func()
	done    chan struct{}
	helm    *replica.Machine             // owned by the loop
	waiting map[string]chan chain.Result // the same
	told    uint64                       // rank of the configuration announced; the same
	epoch   uint64                       // of the view announced; the same

	mu      sync.Mutex
	queue   []replica.Output
	servers []byte       // to be kept, beside what promises rest on; nil: as they are
	known   *chain.Entry // the same
	ready   chan struct{}
	since   time.Time // when the write at hand began; zero: none is
	posts   map[string]*post
	post    sync.WaitGroup
	running context.Context
}

type post struct {
	mu    sync.Mutex
	queue []chain.Message
	ready chan struct{}
}

// openDisk reads what the disk holds. One that is empty though the system is not new, or
// that can't be read, is another disk: what it once held and promised is not known, and it
// counts for nothing until the others have taken it in.
func openDisk(boot *Boot) (*storage.Store, replica.Record, error) {
	s, r, err := readDisk(boot)
	if err != nil {
		events.Damaged.Log("dir", boot.Dir, "err", err)
		if s != nil {
			s.Close()
		}
		aside := filepath.Join(boot.Dir, "damaged")
		if err := os.RemoveAll(aside); err != nil {
			return nil, r, err
		}
		if err := os.Rename(filepath.Join(boot.Dir, "state"), aside); err != nil && !os.IsNotExist(err) {
			return nil, r, err
		}
		if s, err = storage.Open(boot.Dir); err != nil {
			return nil, r, err
		}
		r = replica.Record{}
	}
	fresh := err != nil
	if r.State.Self == (chain.Member{}) || r.State.Self.Addr != boot.Inner() {
		r.State = consensus.State{Self: chain.Member{Addr: boot.Inner(), Disk: nonce()}}
		if boot.Bootstrap && !fresh && slices.Contains(boot.SeedPeers(), boot.Inner()) {
			r.State.Self.Disk = consensus.FirstDisk
			r.State.View = consensus.Genesis(boot.SeedPeers())
		} else if !boot.Bootstrap {
			events.Filling.Log("as", r.State.Self)
		}
		if err := s.Put(storage.Entry{Key: keyState, Value: replica.Encode(r.State)}); err != nil {
			return s, r, err
		}
	}
	return s, r, nil
}

func readDisk(boot *Boot) (*storage.Store, replica.Record, error) {
	var r replica.Record
	s, err := storage.Open(boot.Dir)
	if err != nil {
		return nil, r, err
	}
	state, err := s.Get(keyState)
	if err != nil || state == nil {
		return s, r, err
	}
	if r.State, err = replica.Decode(state); err != nil {
		return s, r, err
	}
	raw, err := s.Get(keyEntry)
	if err != nil {
		return s, r, err
	}
	if raw != nil {
		r.Entry = &chain.Entry{}
		if err := json.Unmarshal(raw, r.Entry); err != nil {
			return s, r, err
		}
	}
	if held := r.Entry; r.State.View.Base > 0 && (held == nil || held.Rank < r.State.View.Base) {
		return s, r, errors.New("the configuration is older than the view says")
	}
	return s, r, nil
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
		waiting: make(map[string]chan chain.Result), ready: make(chan struct{}, 1), posts: make(map[string]*post)}
	c.helm = replica.New(c.now(), replica.Usual(boot.Faults), r, boot.SeedPeers(), nonce(), chain.Breaks{})
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
			c.helm.Pact.Seeds(c.seeds())
			c.flow(c.helm.Tick(c.now()))
		}
	}
}

// seeds are where to ask to be taken in: what the settings name and what the news knows.
func (c *core) seeds() []string {
	seeds := c.node.set.Boot().SeedPeers()
	if !c.helm.Pact.Member() {
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
	if out.Write != nil || len(out.Send) > 0 || len(out.Results) > 0 {
		c.mu.Lock()
		c.queue = append(c.queue, out)
		c.mu.Unlock()
		c.wake()
	}
	if held := c.helm.Chain.Held(); held.Rank > c.told && c.helm.Chain.Sure() >= held.Rank {
		c.announce(held)
		c.mu.Lock()
		c.known = &held
		c.mu.Unlock()
		c.wake()
	}
	if v := c.helm.Pact.View; v.Epoch > c.epoch {
		c.epoch = v.Epoch
		events.View.Log("epoch", v.Epoch, "members", len(v.Members), "chain", fmt.Sprint(v.Chain), "member", c.helm.Pact.Member())
		if body, err := json.Marshal(v); err == nil {
			c.node.Put(gossip.Item{Key: viewAt, Rank: v.Epoch, Body: body})
		}
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
	c.told = e.Rank
	if ch, err := routeconfig.Read(e.Raw); err == nil {
		events.Acknowledged.Log("version", ch.Revision)
		c.node.Put(gossip.Item{Key: charterAt, Rank: e.Rank, Body: json.RawMessage(e.Raw)})
	}
}

// write is the disk's goroutine. What came together is written together; a disk that
// refuses is asked again, and until it has written nothing goes out.
func (c *core) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.ready:
		}
		c.mu.Lock()
		batch, servers, known := c.queue, c.servers, c.known
		c.queue, c.servers, c.known = nil, nil, nil
		c.since = time.Now()
		c.mu.Unlock()
		var r replica.Record
		dirty := false
		for _, out := range batch {
			if out.Write != nil {
				dirty, r.State = true, out.Write.State
				if out.Write.Entry != nil {
					r.Entry = out.Write.Entry
				}
			}
		}
		for dirty && ctx.Err() == nil {
			err := c.keep(r)
			if err == nil {
				break
			}
			events.Refused.Log("err", err)
			select {
			case <-ctx.Done():
			case <-time.After(diskRetry):
			}
			if s, err := storage.Open(c.dir); err == nil { // a store that failed once takes no more writes
				c.disk.Close()
				c.disk = s
			}
		}
		c.mu.Lock()
		c.since = time.Time{}
		c.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		if servers != nil { // nothing rests on it: should it fail, the next change is kept
			c.disk.Put(storage.Entry{Key: keyServers, Value: servers})
		}
		for _, out := range batch {
			c.send(out.Send)
			if len(out.Results) > 0 {
				results := out.Results
				c.do(ctx, func() { c.results(results) })
			}
		}
		if known != nil { // nothing rests on it either, and it is large: last
			if raw, err := json.Marshal(known); err == nil {
				c.disk.Put(storage.Entry{Key: keyKnown, Value: raw})
			}
		}
	}
}

func (c *core) keep(r replica.Record) error {
	entries := []storage.Entry{{Key: keyState, Value: replica.Encode(r.State)}}
	if r.Entry != nil {
		raw, err := json.Marshal(r.Entry)
		if err != nil {
			return err
		}
		entries = append(entries, storage.Entry{Key: keyEntry, Value: raw})
	}
	return c.disk.Put(entries...)
}

// remember has the servers that beat here kept on the disk, in their own time.
func (c *core) remember(servers []byte) {
	c.mu.Lock()
	c.servers = servers
	c.mu.Unlock()
	c.wake()
}

// remembered is what was kept of them.
func (c *core) remembered() (list []gossip.Item) {
	if raw, err := c.disk.Get(keyServers); err == nil && raw != nil {
		json.Unmarshal(raw, &list)
	}
	return list
}

func (c *core) results(list []chain.Result) {
	for _, r := range list {
		if ch := c.waiting[r.ID]; ch != nil {
			delete(c.waiting, r.ID)
			ch <- r
		}
	}
}

// send puts messages into the mail of their receivers.
func (c *core) send(list []chain.Message) {
	for _, msg := range list {
		c.mu.Lock()
		p := c.posts[msg.To.Addr]
		if p == nil && len(c.posts) < mostPosts {
			p = &post{ready: make(chan struct{}, 1)}
			c.posts[msg.To.Addr] = p
			c.post.Add(1)
			go c.carry(msg.To.Addr, p)
		}
		c.mu.Unlock()
		if p == nil {
			continue
		}
		p.mu.Lock()
		if p.queue = append(p.queue, msg); len(p.queue) > mostMail {
			p.queue = p.queue[1:]
		}
		p.mu.Unlock()
		select {
		case p.ready <- struct{}{}:
		default:
		}
	}
}

// carry posts the mail for one machine, in order.
func (c *core) carry(addr string, p *post) {
	defer c.post.Done()
	for {
		select {
		case <-c.running.Done():
			return
		case <-p.ready:
		}
		p.mu.Lock()
		batch := p.queue
		p.queue = nil
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(c.running, mailTime)
		mailCall.Ask(ctx, c.node.client, addr, "", Mail{batch}) // what is lost is sent again
		cancel()
	}
}

// serve answers the other core machines.
func (c *core) serve(mux *http.ServeMux) {
	mailCall.On(mux, func(ctx context.Context, _ rpc.Named, m Mail) (Nothing, error) {
		return Nothing{}, c.do(ctx, func() {
			for _, msg := range m.Messages {
				c.flow(c.helm.Got(c.now(), msg))
			}
		})
	})
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
		if !r.OK {
			return r, errors.New(r.Why)
		}
		return r, nil
	case <-ctx.Done():
		return chain.Result{}, errors.New("the chain has not answered in time")
	}
}
