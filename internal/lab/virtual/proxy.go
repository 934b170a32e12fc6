package virtual

// This file models a proxy in virtual time: an exchange on the event loop, with starts and
// stops.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/event"
	"saddleport/internal/lab/judge"
	"saddleport/internal/lab/model"
)

// proxy is one proxy process, or the absence of one while it is down.
type proxy struct {
	w            *world
	n            int
	site         int
	incarnation  int
	exchange     *exchange.Exchange // nil: the process is not running
	balanced     bool               // the load balancer sends it queries
	draining     bool
	watches      bool
	attempts     map[string]*clientAttempt
	links        map[int]*link
	drainStops   map[int]time.Duration // the time from which nothing may be sent to a server
	levelChanges int                   // changes of the service level in earlier incarnations
	merge        *sourceMerge          // nil: there is one source
	keys         map[string]string     // keys of queries by query ID
	pollDraw     func() float64        // pushed lists: random delay until the proxy polls its agent
	lastPoll     time.Duration         // time of the last poll that found a change

	timer       *event.Timer
	timerAt     time.Duration
	wakePending bool
}

// ---- The event loop of its exchange.

// Now returns the virtual time.
func (p *proxy) Now() time.Time { return p.w.time() }

// Wake schedules a run of the exchange at the current time.
func (p *proxy) Wake() {
	if p.wakePending {
		return
	}
	p.wakePending = true
	incarnation := p.incarnation
	p.w.loop.Post(0, func() {
		if p.incarnation == incarnation && p.exchange != nil {
			p.runExchange()
		}
	})
}

// runExchange runs the exchange and sets the timer for its next run.
func (p *proxy) runExchange() {
	p.wakePending = false
	next, due := p.exchange.Turn()
	if !due || p.exchange == nil {
		return
	}
	at := max(next.Sub(epoch), p.w.loop.Now())
	if p.timer != nil {
		if p.timerAt == at {
			return
		}
		p.timer.Stop()
	}
	incarnation := p.incarnation
	p.timerAt = at
	p.timer = p.w.loop.After(at-p.w.loop.Now(), func() {
		p.timer = nil
		if p.incarnation == incarnation && p.exchange != nil {
			p.runExchange()
		}
	})
}

// ---- Starts and stops.

// start starts the process with new decisions and an empty list.
func (p *proxy) start() error {
	w := p.w
	p.incarnation++
	p.attempts, p.links, p.drainStops = make(map[string]*clientAttempt), make(map[int]*link), make(map[int]time.Duration)
	p.draining, p.watches, p.wakePending = false, w.plan.Settings.PollInterval > 0, false
	p.keys, p.pollDraw = make(map[string]string), model.Rand(w.plan.RunSeed, "look", fmt.Sprint(p.n), fmt.Sprint(p.incarnation)).Float64
	seed := w.plan.ProxySeed(p.n, p.incarnation)
	d, err := w.opt.Decide(&w.World, p.n, p.incarnation, seed, w.settings.Router)
	if err != nil {
		return err
	}
	if p.exchange, err = exchange.NewOn(p, d, seed, w.settings); err != nil {
		return err
	}
	if len(w.plan.Levels.Names) > 0 {
		if err := p.exchange.SetLevels(w.plan.Levels, w.plan.Level); err != nil {
			return err
		}
	}
	var upstream exchange.Upstream = p
	if wrap := w.opt.Mutations.WrapUpstream; wrap != nil {
		upstream = wrap(p.n, upstream, p.exchange)
	}
	p.exchange.Attach(upstream)
	if w.hasSources() {
		return p.startMerge()
	}
	p.receiveListLater(w.currentList(choice.Cached))
	return nil
}

// kill ends the process at once: its open queries are lost.
func (p *proxy) kill() {
	if p.exchange == nil {
		return
	}
	p.endProcess()
	w := p.w
	incarnation := p.incarnation
	w.loop.Post(w.plan.Proxies.DetectDelay, func() {
		if p.incarnation == incarnation && p.exchange == nil {
			p.balanced = false
			w.updateBalanced()
		}
	})
}

// drain shuts the process down gracefully: it accepts nothing new, and ends when all its
// queries have been answered.
func (p *proxy) drain() {
	if p.exchange == nil {
		return
	}
	p.draining, p.balanced = true, false
	p.w.updateBalanced()
	p.stopIfDrained()
}

// stopIfDrained ends a draining process that has nothing left to answer.
func (p *proxy) stopIfDrained() {
	if p.draining && p.exchange != nil && p.exchange.Open() == 0 && len(p.attempts) == 0 {
		p.endProcess()
	}
}

// restart starts the process again.
func (p *proxy) restart() {
	w := p.w
	if p.exchange != nil {
		if !p.draining {
			return
		}
		w.loop.Post(100*time.Millisecond, p.restart) // it has not ended yet
		return
	}
	w.loop.Post(w.plan.Proxies.StartDelay, func() {
		if p.exchange != nil {
			return
		}
		if err := p.start(); err != nil {
			w.recorder.Fault(fmt.Sprintf("mixer %d did not start again: %v", p.n, err))
			return
		}
		p.balanced = true
		w.updateBalanced()
	})
}

// endProcess ends the process at once.
func (p *proxy) endProcess() {
	p.failOpenAttempts()
	p.stop()
}

// failOpenAttempts reports to the clients of all open queries that the connection was lost.
func (p *proxy) failOpenAttempts() {
	w := p.w
	for _, id := range sortedIDs(p.attempts) {
		a := p.attempts[id]
		w.loop.Post(w.localDelay(p), func() { w.endAttempt(a, judge.ProxyKilled, model.Reply{Kind: model.Lost}) })
	}
}

// stop stops the exchange and closes the connections.
func (p *proxy) stop() {
	if p.exchange == nil {
		return
	}
	p.recordLevels()
	p.exchange = nil
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	for _, i := range sortedServers(p.links) {
		p.links[i].close()
	}
}

// recordLevels records the level changes of a proxy that stops.
func (p *proxy) recordLevels() {
	r := p.exchange.LevelsSnapshot()
	if r == nil {
		return
	}
	for _, c := range r.Past {
		p.w.recorder.Level(c.At.Sub(epoch), p.n, c.From, c.To, c.Why)
	}
	p.levelChanges += len(r.Past)
	if limit := p.w.plan.Expect.MaxLevelChanges; limit > 0 && p.levelChanges > limit {
		p.w.recorder.Fault(fmt.Sprintf("mixer %d changed its level %d times, and %d are allowed", p.n, p.levelChanges, limit))
	}
}

// ---- Queries.

// receiveQuery submits a client's query to the exchange.
func (p *proxy) receiveQuery(a *clientAttempt) {
	w := p.w
	if p.exchange == nil || a.finished {
		if !a.finished { // the connection is refused
			w.loop.Post(w.localDelay(p), func() { w.endAttempt(a, judge.ProxyKilled, model.Reply{Kind: model.Failed}) })
		}
		return
	}
	a.incarnation = p.incarnation
	t := a.t
	q := &exchange.Query{ID: t.ID, Class: t.Request.Class.Name, Text: t.Request.Class.Name, ClientRetry: t.IsRetry, ReceivedAt: w.time(),
		Timeout: t.Timeout - min(networkAllowance, t.Timeout/networkAllowanceDivisor), Tenant: t.Request.Tenant, Key: t.Request.Key}
	for _, part := range t.Request.Parts {
		q.Parts = append(q.Parts, exchange.Part{Shard: part.Shard, Weight: part.Weight, Key: t.Request.Key})
	}
	if q.Key != "" {
		p.keys[q.ID] = q.Key
	}
	q.Done = func(f exchange.Final) {
		delete(p.keys, q.ID)
		w.deliverFinal(a, f)
		if p.draining {
			w.loop.Post(time.Millisecond, p.stopIfDrained)
		}
	}
	a.q = q
	p.exchange.Submit(q)
}

// ---- The server list.

// receiveListLater applies a list after the network delay within the proxy's site, where
// discovery runs.
func (p *proxy) receiveListLater(l choice.List) {
	incarnation := p.incarnation
	p.w.loop.Post(p.w.localDelay(p), func() {
		if p.incarnation != incarnation || p.exchange == nil {
			return
		}
		p.applyList(l)
	})
}

// applyList updates the drain times of the links and hands the list to the exchange.
func (p *proxy) applyList(l choice.List) {
	listed := make(map[int]bool, len(l.Servers))
	for _, row := range l.Servers {
		i, _ := p.w.server(row.ID)
		listed[i] = true
		p.updateDrainStop(i, row.State == choice.Ready, l.Since)
	}
	if l.Form != choice.Delta {
		for i := range p.w.Servers {
			if !listed[i] {
				p.updateDrainStop(i, false, l.Since)
			}
		}
	}
	p.exchange.UpdateServers(l)
}

// updateDrainStop records from when on nothing may be sent to a server. since is how long ago
// the list may have become known to the proxy's agent, in microseconds.
func (p *proxy) updateDrainStop(server int, ready bool, since choice.Micros) {
	if ready || p.w.opt.Mutations.IgnoreDrain {
		delete(p.drainStops, server)
	} else if _, stopping := p.drainStops[server]; !stopping {
		p.drainStops[server] = p.w.loop.Now() + max(p.w.plan.Settings.DrainGrace-drainMargin-time.Duration(since)*time.Microsecond, 0)
	}
}

// Watch subscribes to changes of the list, or unsubscribes. Discovery answers a subscription
// with the full list.
func (p *proxy) Watch(on bool) {
	if p.watches = on; on {
		p.Fetch()
	}
}

// Fetch requests the full list once.
func (p *proxy) Fetch() {
	incarnation := p.incarnation
	p.w.loop.Post(p.w.localDelay(p), func() {
		if p.incarnation == incarnation && p.exchange != nil && p.merge != nil {
			p.deliverFullList()
		} else if p.incarnation == incarnation && p.exchange != nil {
			p.receiveListLater(p.w.currentList(choice.Full))
		}
	})
}

func sortedIDs(m map[string]*clientAttempt) []string {
	out := make([]string, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}

func sortedServers(m map[int]*link) []int {
	out := make([]int, 0, len(m))
	for i := range m {
		out = append(out, i)
	}
	slices.Sort(out)
	return out
}
