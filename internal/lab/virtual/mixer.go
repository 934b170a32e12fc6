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
func (m *proxy) Now() time.Time { return m.w.time() }

// Wake schedules a run of the exchange at the current time.
func (m *proxy) Wake() {
	if m.wakePending {
		return
	}
	m.wakePending = true
	life := m.incarnation
	m.w.loop.Post(0, func() {
		if m.incarnation == life && m.exchange != nil {
			m.runExchange()
		}
	})
}

func (m *proxy) runExchange() {
	m.wakePending = false
	next, due := m.exchange.Turn()
	if !due || m.exchange == nil {
		return
	}
	at := max(next.Sub(epoch), m.w.loop.Now())
	if m.timer != nil {
		if m.timerAt == at {
			return
		}
		m.timer.Stop()
	}
	life := m.incarnation
	m.timerAt = at
	m.timer = m.w.loop.After(at-m.w.loop.Now(), func() {
		m.timer = nil
		if m.incarnation == life && m.exchange != nil {
			m.runExchange()
		}
	})
}

// ---- Starts and stops.

func (m *proxy) start() error {
	w := m.w
	m.incarnation++
	m.attempts, m.links, m.drainStops = make(map[string]*clientAttempt), make(map[int]*link), make(map[int]time.Duration)
	m.draining, m.watches, m.wakePending = false, w.plan.Settings.PollInterval > 0, false
	m.keys, m.pollDraw = make(map[string]string), model.Rand(w.plan.RunSeed, "look", fmt.Sprint(m.n), fmt.Sprint(m.incarnation)).Float64
	seed := w.plan.ProxySeed(m.n, m.incarnation)
	d, err := w.opt.Decide(&w.World, m.n, m.incarnation, seed, w.settings.Router)
	if err != nil {
		return err
	}
	if m.exchange, err = exchange.NewOn(m, d, seed, w.settings); err != nil {
		return err
	}
	if len(w.plan.Levels.Names) > 0 {
		if err := m.exchange.SetLevels(w.plan.Levels, w.plan.Level); err != nil {
			return err
		}
	}
	var upstream exchange.Upstream = m
	if wrap := w.opt.Mutations.WrapUpstream; wrap != nil {
		upstream = wrap(m.n, upstream, m.exchange)
	}
	m.exchange.Attach(upstream)
	if w.hasSources() {
		return m.startMerge()
	}
	m.receiveListLater(w.currentList(choice.Cached))
	return nil
}

// kill ends the process at once: its open queries are lost.
func (m *proxy) kill() {
	if m.exchange == nil {
		return
	}
	m.endProcess()
	w := m.w
	life := m.incarnation
	w.loop.Post(w.plan.Proxies.DetectDelay, func() {
		if m.incarnation == life && m.exchange == nil {
			m.balanced = false
			w.updateBalanced()
		}
	})
}

// drain shuts the process down gracefully: it accepts nothing new, and ends when all its
// queries have been answered.
func (m *proxy) drain() {
	if m.exchange == nil {
		return
	}
	m.draining, m.balanced = true, false
	m.w.updateBalanced()
	m.stopIfDrained()
}

func (m *proxy) stopIfDrained() {
	if m.draining && m.exchange != nil && m.exchange.Open() == 0 && len(m.attempts) == 0 {
		m.endProcess()
	}
}

// restart starts the process again.
func (m *proxy) restart() {
	w := m.w
	if m.exchange != nil {
		if !m.draining {
			return
		}
		w.loop.Post(100*time.Millisecond, m.restart) // it has not ended yet
		return
	}
	w.loop.Post(w.plan.Proxies.StartDelay, func() {
		if m.exchange != nil {
			return
		}
		if err := m.start(); err != nil {
			w.recorder.Broke(fmt.Sprintf("mixer %d did not start again: %v", m.n, err))
			return
		}
		m.balanced = true
		w.updateBalanced()
	})
}

// endProcess ends the process at once.
func (m *proxy) endProcess() {
	m.failOpenAttempts()
	m.stop()
}

// failOpenAttempts reports to the clients of all open queries that the connection was lost.
func (m *proxy) failOpenAttempts() {
	w := m.w
	for _, id := range sortedIDs(m.attempts) {
		a := m.attempts[id]
		w.loop.Post(w.localDelay(m), func() { w.endAttempt(a, judge.Died, model.Reply{Kind: model.Lost}) })
	}
}

// stop stops the exchange and closes the connections.
func (m *proxy) stop() {
	if m.exchange == nil {
		return
	}
	m.recordLevels()
	m.exchange = nil
	if m.timer != nil {
		m.timer.Stop()
		m.timer = nil
	}
	for _, i := range sortedServers(m.links) {
		m.links[i].close()
	}
}

// recordLevels records the level changes of a proxy that stops.
func (m *proxy) recordLevels() {
	r := m.exchange.LevelsSnapshot()
	if r == nil {
		return
	}
	for _, c := range r.Past {
		m.w.recorder.Level(c.At.Sub(epoch), m.n, c.From, c.To, c.Why)
	}
	m.levelChanges += len(r.Past)
	if limit := m.w.plan.Expect.MaxLevelChanges; limit > 0 && m.levelChanges > limit {
		m.w.recorder.Broke(fmt.Sprintf("mixer %d changed its level %d times, and %d are allowed", m.n, m.levelChanges, limit))
	}
}

// ---- Queries.

func (m *proxy) receiveQuery(a *clientAttempt) {
	w := m.w
	if m.exchange == nil || a.finished {
		if !a.finished { // the connection is refused
			w.loop.Post(w.localDelay(m), func() { w.endAttempt(a, judge.Died, model.Reply{Kind: model.Failed}) })
		}
		return
	}
	a.incarnation = m.incarnation
	t := a.t
	q := &exchange.Query{ID: t.ID, Class: t.Request.Class.Name, Text: t.Request.Class.Name, ClientRetry: t.IsRetry, ReceivedAt: w.time(),
		Timeout: t.Timeout - min(networkAllowance, t.Timeout/networkAllowanceDivisor), Tenant: t.Request.Tenant, Key: t.Request.Key}
	for _, p := range t.Request.Parts {
		q.Parts = append(q.Parts, exchange.Part{Shard: p.Shard, Weight: p.Weight, Key: t.Request.Key})
	}
	if q.Key != "" {
		m.keys[q.ID] = q.Key
	}
	q.Done = func(f exchange.Final) {
		delete(m.keys, q.ID)
		w.deliverFinal(a, f)
		if m.draining {
			w.loop.Post(time.Millisecond, m.stopIfDrained)
		}
	}
	a.q = q
	m.exchange.Submit(q)
}

// ---- The server list.

// receiveListLater applies a list after the network delay within the proxy's site, where
// discovery runs.
func (m *proxy) receiveListLater(l choice.List) {
	life := m.incarnation
	m.w.loop.Post(m.w.localDelay(m), func() {
		if m.incarnation != life || m.exchange == nil {
			return
		}
		m.applyList(l)
	})
}

// applyList updates the drain times of the links and hands the list to the exchange.
func (m *proxy) applyList(l choice.List) {
	listed := make(map[int]bool, len(l.Servers))
	for _, row := range l.Servers {
		i, _ := m.w.server(row.ID)
		listed[i] = true
		m.updateDrainStop(i, row.State == choice.Ready, l.Since)
	}
	if l.Form != choice.Delta {
		for i := range m.w.Servers {
			if !listed[i] {
				m.updateDrainStop(i, false, l.Since)
			}
		}
	}
	m.exchange.UpdateServers(l)
}

// updateDrainStop records from when on nothing may be sent to a server. since is how long ago
// the list may have become known to the proxy's agent, in microseconds.
func (m *proxy) updateDrainStop(server int, ready bool, since choice.Micros) {
	if ready || m.w.opt.Mutations.IgnoreDrain {
		delete(m.drainStops, server)
	} else if _, stopping := m.drainStops[server]; !stopping {
		m.drainStops[server] = m.w.loop.Now() + max(m.w.plan.Settings.DrainGrace-drainMargin-time.Duration(since)*time.Microsecond, 0)
	}
}

// Watch subscribes to changes of the list, or unsubscribes. Discovery answers a subscription
// with the full list.
func (m *proxy) Watch(on bool) {
	if m.watches = on; on {
		m.Fetch()
	}
}

// Fetch requests the full list once.
func (m *proxy) Fetch() {
	life := m.incarnation
	m.w.loop.Post(m.w.localDelay(m), func() {
		if m.incarnation == life && m.exchange != nil && m.merge != nil {
			m.deliverFullList()
		} else if m.incarnation == life && m.exchange != nil {
			m.receiveListLater(m.w.currentList(choice.Full))
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
