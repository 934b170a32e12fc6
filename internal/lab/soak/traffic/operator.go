package traffic

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"saddleport/internal/lab/soak/judge"
)

const (
	orderTimeout    = 10 * time.Second // an order without a definite response is sent again within this time
	minOrderBackoff = 50 * time.Millisecond
	maxOrderBackoff = time.Second
	parallelOrders  = 4
	readInterval    = 700 * time.Millisecond
)

// Operator changes the configuration continuously.
type Operator struct {
	control  *Control
	recorder *Recorder
	current  *Current
	onAck    func(change judge.Change, prefix string) // called after the acknowledgement of each change that added a route; may be nil

	mu   sync.Mutex
	sent map[int64][][]byte // by revision: the contents that were sent and not refused
}

// Current is the configuration that was sent last. Clients select their requests from it.
type Current struct {
	mu            sync.Mutex
	configuration *configuration
	withdrawn     []string
}

func (c *Current) set(next *configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.configuration != nil {
		for _, prefix := range c.configuration.added {
			if _, still := next.routes[prefix]; !still {
				c.withdrawn = append(c.withdrawn, prefix)
			}
		}
		c.withdrawn = c.withdrawn[max(len(c.withdrawn)-maxAddedRoutes, 0):]
	}
	c.configuration = next
}

// pickRequest returns a random prefix to request, and its route. The route of a withdrawn prefix is
// empty.
func (c *Current) pickRequest(rng *rand.Rand) (prefix string, route judge.Route) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch choice := rng.IntN(10); {
	case choice < 2:
		prefix = fanOutPrefix
	case choice < 4:
		prefix = writePrefix
	case choice < 5:
		prefix = weightedPrefix
	case choice < 6:
		prefix = movedPrefix
	case choice < 9 && len(c.configuration.added) > 0:
		prefix = c.configuration.added[rng.IntN(len(c.configuration.added))]
	case len(c.withdrawn) > 0:
		prefix = c.withdrawn[rng.IntN(len(c.withdrawn))]
	default:
		prefix = movedPrefix
	}
	return prefix, c.configuration.routes[prefix]
}

// NewOperator returns an operator that has not sent any configuration.
func NewOperator(control *Control, recorder *Recorder, onAck func(judge.Change, string)) *Operator {
	return &Operator{control: control, recorder: recorder, current: &Current{}, onAck: onAck, sent: make(map[int64][][]byte)}
}

// Current returns the configuration that clients select their requests from.
func (o *Operator) Current() *Current { return o.current }

// Begin sends the first configuration until it is acknowledged, and returns it. ok is false if it
// was refused or not acknowledged in time.
func (o *Operator) Begin(ctx context.Context, fillers int, rng *rand.Rand) (first *configuration, ok bool) {
	first = firstConfiguration(fillers)
	o.current.set(first)
	o.recorder.update(func(r *judge.Record) {
		r.Changes = append(r.Changes, judge.Change{Revision: first.revision, Routes: first.routes})
	})
	o.remember(first.revision, first.bytes())
	status := o.send(ctx, first.revision, first.bytes(), rng)
	o.recorder.update(func(r *judge.Record) {
		if status == http.StatusOK {
			r.Changes[0].AckedAt = o.recorder.now()
		}
	})
	return first, status == http.StatusOK
}

// Run changes the configuration at the given rate until ctx ends. It returns once every order has a
// definite response or has timed out.
func (o *Operator) Run(ctx context.Context, first *configuration, changesPerSecond float64, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 71))
	var orders sync.WaitGroup
	defer orders.Wait()
	orders.Go(func() { o.readBack(ctx, rand.New(rand.NewPCG(seed, 72))) })
	slots := make(chan struct{}, parallelOrders)
	last := first
	for sleep(ctx, time.Duration(rng.ExpFloat64()/changesPerSecond*float64(time.Second))) {
		slots <- struct{}{}
		orderSeed, kind := rng.Uint64(), rng.IntN(20)
		switch {
		case kind == 0: // an invalid configuration, with a revision that no other one uses
			last = last.clone()
			last.revision++
			invalid := last
			raw := invalid.corrupt(rng)
			orders.Go(func() { defer func() { <-slots }(); o.order(ctx, invalid.revision, nil, raw, "", orderSeed) })
		case kind == 1: // two concurrent configurations with one revision
			one, two := last.edit(rng), last.edit(rng)
			two.revision = one.revision
			last = one
			if rng.IntN(2) == 0 {
				last = two
			}
			var pair sync.WaitGroup
			pair.Go(func() { o.order(ctx, one.revision, one.routes, one.bytes(), "", orderSeed) })
			pair.Go(func() { o.order(ctx, two.revision, two.routes, two.bytes(), "", orderSeed+1) })
			orders.Go(func() { defer func() { <-slots }(); pair.Wait() })
		default:
			next := last.edit(rng)
			added := ""
			if len(next.added) > 0 && (len(last.added) == 0 || next.added[len(next.added)-1] != last.added[len(last.added)-1]) {
				added = next.added[len(next.added)-1]
			}
			last = next
			orders.Go(func() {
				defer func() { <-slots }()
				o.order(ctx, next.revision, next.routes, next.bytes(), added, orderSeed)
			})
		}
		o.current.set(last)
	}
}

// order sends one configuration until there is a definite response, and records the result.
func (o *Operator) order(ctx context.Context, revision int64, routes map[string]judge.Route, raw []byte, added string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 73))
	index := 0
	o.recorder.update(func(r *judge.Record) {
		index = len(r.Changes)
		r.Changes = append(r.Changes, judge.Change{Revision: revision, Routes: routes, SentAt: o.recorder.now()})
	})
	if routes != nil {
		o.remember(revision, raw)
	}
	status := o.send(context.WithoutCancel(ctx), revision, raw, rng)
	var change judge.Change
	o.recorder.update(func(r *judge.Record) {
		c := &r.Changes[index]
		c.Refused = status/100 == 4
		if status == http.StatusOK {
			c.AckedAt = o.recorder.now()
		}
		change = *c
	})
	if status/100 == 4 {
		o.forget(revision, raw)
	}
	if status != http.StatusOK || routes == nil {
		return
	}
	if added != "" && o.onAck != nil {
		o.onAck(change, added)
	}
	if rng.IntN(10) == 0 { // simulates a lost response: the order is sent again, to any machine
		if again := o.send(context.WithoutCancel(ctx), revision, raw, rng); again/100 == 4 {
			o.recorder.update(func(r *judge.Record) { r.Changes[index].RefusedAgain = true })
		}
	}
}

// send calls one machine after another until one gives a definite response: 200, or 4xx except 408
// and 429. It returns 0 after orderTimeout.
func (o *Operator) send(ctx context.Context, revision int64, raw []byte, rng *rand.Rand) int {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	machines := o.control.Machines
	wait := minOrderBackoff
	for turn := rng.IntN(len(machines)); ; turn++ {
		status, _ := o.control.call(ctx, http.MethodPost, machines[turn%len(machines)], "/Config.Replace", raw)
		if status == http.StatusOK || status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status
		}
		if !sleep(ctx, wait) {
			return 0
		}
		wait = min(2*wait, maxOrderBackoff)
	}
}

func (o *Operator) remember(revision int64, raw []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[revision] = append(o.sent[revision], raw)
}

func (o *Operator) forget(revision int64, raw []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var rest [][]byte
	for _, other := range o.sent[revision] {
		if !bytes.Equal(other, raw) {
			rest = append(rest, other)
		}
	}
	o.sent[revision] = rest
}

// readBack reads the configuration at a random machine at each readInterval.
func (o *Operator) readBack(ctx context.Context, rng *rand.Rand) {
	for sleep(ctx, readInterval) {
		o.Read(ctx, o.control.Machines[rng.IntN(len(o.control.Machines))])
	}
}

// Read reads the configuration at a machine and records the result.
func (o *Operator) Read(ctx context.Context, machine string) (status int) {
	read := judge.Read{Machine: machine, SentAt: o.recorder.now()}
	status, text := o.control.call(ctx, http.MethodGet, machine, "/Config.Describe", nil)
	read.EndedAt, read.Status = o.recorder.now(), status
	var document struct {
		Revision int64 `json:"revision"`
	}
	if status == http.StatusOK && json.Unmarshal(text, &document) == nil {
		read.Revision = document.Revision
		o.mu.Lock()
		for _, raw := range o.sent[read.Revision] {
			read.SameContent = read.SameContent || bytes.Equal(raw, text)
		}
		o.mu.Unlock()
	}
	o.recorder.update(func(r *judge.Record) { r.Reads = append(r.Reads, read) })
	return status
}
