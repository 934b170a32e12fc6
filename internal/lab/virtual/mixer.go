package virtual

// A mixer in virtual time: an exchange on the loop, and its life.

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

type mixer struct {
	w       *world
	n       int
	site    int
	life    int
	x       *exchange.Exchange // nil: it does not run
	fronted bool               // the front deals queries to it
	leaving bool
	watches bool
	asks    map[string]*ask
	links   map[int]*link
	stops   map[int]time.Duration // from when on nothing may go to a server
	levels  int                   // changes of the level in lives before
	merge   *merging              // nil: there is one source
	keys    map[string]string     // of queries that have one, by id
	look    func() float64        // where lists are pushed: luck of its looks at the agent
	looked  time.Duration         // the last of them that finds news

	alarm   *event.Timer
	alarmAt time.Duration
	woken   bool
}

// ---- The drive of its exchange.

// Now is virtual time.
func (m *mixer) Now() time.Time { return m.w.time() }

// Wake asks for a turn at this instant.
func (m *mixer) Wake() {
	if m.woken {
		return
	}
	m.woken = true
	life := m.life
	m.w.loop.Post(0, func() {
		if m.life == life && m.x != nil {
			m.turn()
		}
	})
}

func (m *mixer) turn() {
	m.woken = false
	next, due := m.x.Turn()
	if !due || m.x == nil {
		return
	}
	at := max(next.Sub(epoch), m.w.loop.Now())
	if m.alarm != nil {
		if m.alarmAt == at {
			return
		}
		m.alarm.Stop()
	}
	life := m.life
	m.alarmAt = at
	m.alarm = m.w.loop.After(at-m.w.loop.Now(), func() {
		m.alarm = nil
		if m.life == life && m.x != nil {
			m.turn()
		}
	})
}

// ---- Its life.

func (m *mixer) start() error {
	w := m.w
	m.life++
	m.asks, m.links, m.stops = make(map[string]*ask), make(map[int]*link), make(map[int]time.Duration)
	m.leaving, m.watches, m.woken = false, w.plan.Settings.Look > 0, false
	m.keys, m.look = make(map[string]string), model.Rand(w.plan.Draw, "look", fmt.Sprint(m.n), fmt.Sprint(m.life)).Float64
	seed := w.plan.MixerSeed(m.n, m.life)
	d, err := w.opt.Decide(&w.World, m.n, m.life, seed, w.set.Router)
	if err != nil {
		return err
	}
	if m.x, err = exchange.NewOn(m, d, seed, w.set); err != nil {
		return err
	}
	if len(w.plan.Levels.Names) > 0 {
		if err := m.x.SetLevels(w.plan.Levels, w.plan.Level); err != nil {
			return err
		}
	}
	var leaves exchange.Upstream = m
	if wrap := w.opt.Sabotage.Leaves; wrap != nil {
		leaves = wrap(m.n, leaves, m.x)
	}
	m.x.Attach(leaves)
	if w.sourcesOn() {
		return m.merges()
	}
	m.hear(w.whole(choice.Cached))
	return nil
}

// kill ends the process: what it had is gone.
func (m *mixer) kill() {
	if m.x == nil {
		return
	}
	m.drop()
	w := m.w
	life := m.life
	w.loop.Post(w.plan.Mixers.Notice, func() {
		if m.life == life && m.x == nil {
			m.fronted = false
			w.front()
		}
	})
}

// leave ends the process as planned: it takes nothing new, and ends when all that
// it has is answered.
func (m *mixer) leave() {
	if m.x == nil {
		return
	}
	m.leaving, m.fronted = true, false
	m.w.front()
	m.left()
}

func (m *mixer) left() {
	if m.leaving && m.x != nil && m.x.Open() == 0 && len(m.asks) == 0 {
		m.drop()
	}
}

// back starts the process again.
func (m *mixer) back() {
	w := m.w
	if m.x != nil {
		if !m.leaving {
			return
		}
		w.loop.Post(100*time.Millisecond, m.back) // it has not ended yet
		return
	}
	w.loop.Post(w.plan.Mixers.Boot, func() {
		if m.x != nil {
			return
		}
		if err := m.start(); err != nil {
			w.rec.Fault(fmt.Sprintf("mixer %d did not start again: %v", m.n, err))
			return
		}
		m.fronted = true
		w.front()
	})
}

// drop ends it at once.
func (m *mixer) drop() {
	m.abandon()
	m.stop()
}

// abandon tells the clients of what is open that nobody will answer.
func (m *mixer) abandon() {
	w := m.w
	for _, id := range sorted(m.asks) {
		a := m.asks[id]
		w.loop.Post(w.near(m), func() { w.reply(a, judge.ProxyKilled, model.Reply{Kind: model.Lost}) })
	}
}

// stop ends the exchange and its connections.
func (m *mixer) stop() {
	if m.x == nil {
		return
	}
	m.levelsOver()
	m.x = nil
	if m.alarm != nil {
		m.alarm.Stop()
		m.alarm = nil
	}
	for _, i := range sortedInts(m.links) {
		m.links[i].close()
	}
}

// levelsOver notes what the levels of a mixer that ends have done.
func (m *mixer) levelsOver() {
	r := m.x.LevelsSnapshot()
	if r == nil {
		return
	}
	for _, c := range r.Past {
		m.w.rec.Level(c.At.Sub(epoch), m.n, c.From, c.To, c.Why)
	}
	m.levels += len(r.Past)
	if most := m.w.plan.Expect.Levels; most > 0 && m.levels > most {
		m.w.rec.Fault(fmt.Sprintf("mixer %d changed its level %d times, and %d are allowed", m.n, m.levels, most))
	}
}

// ---- Queries.

func (m *mixer) take(a *ask) {
	w := m.w
	if m.x == nil || a.over {
		if !a.over { // the connection is refused
			w.loop.Post(w.near(m), func() { w.reply(a, judge.ProxyKilled, model.Reply{Kind: model.Failed}) })
		}
		return
	}
	a.life = m.life
	t := a.t
	q := &exchange.Query{ID: t.ID, Class: t.Ask.Class.Name, Text: t.Ask.Class.Name, ClientRetry: t.Repeat, ReceivedAt: w.time(),
		Timeout: t.Patience - min(unseen, t.Patience/unseenShare), Tenant: t.Ask.Tenant, Key: t.Ask.Key}
	for _, p := range t.Ask.Parts {
		q.Parts = append(q.Parts, exchange.Part{Shard: p.Shard, Weight: p.Weight, Key: t.Ask.Key})
	}
	if q.Key != "" {
		m.keys[q.ID] = q.Key
	}
	q.Done = func(f exchange.Final) {
		delete(m.keys, q.ID)
		w.final(a, f)
		if m.leaving {
			w.loop.Post(time.Millisecond, m.left)
		}
	}
	a.q = q
	m.x.Submit(q)
}

// ---- The list.

// hear has news of the list come in, after the way from discovery: the mixer's own site.
func (m *mixer) hear(l choice.List) {
	life := m.life
	m.w.loop.Post(m.w.near(m), func() {
		if m.life != life || m.x == nil {
			return
		}
		m.hears(l)
	})
}

// hears takes a list for the links and hands it to the exchange.
func (m *mixer) hears(l choice.List) {
	named := make(map[int]bool, len(l.Servers))
	for _, row := range l.Servers {
		i, _ := m.w.server(row.ID)
		named[i] = true
		m.mayStart(i, row.State == choice.Ready, l.Since)
	}
	if l.Form != choice.Delta {
		for i := range m.w.Servers {
			if !named[i] {
				m.mayStart(i, false, l.Since)
			}
		}
	}
	m.x.UpdateServers(l)
}

// mayStart notes from when on nothing may start on a server; since is how long ago the
// news may have counted as told.
func (m *mixer) mayStart(server int, ready bool, since choice.Micros) {
	if ready || m.w.opt.Sabotage.Undrain {
		delete(m.stops, server)
	} else if _, told := m.stops[server]; !told {
		m.stops[server] = m.w.loop.Now() + max(m.w.plan.Settings.Grace-drainMargin-time.Duration(since)*time.Microsecond, 0)
	}
}

// Watch is the exchange's wish to be told of the list. Discovery answers the whole.
func (m *mixer) Watch(on bool) {
	if m.watches = on; on {
		m.Fetch()
	}
}

// Fetch asks for the whole list once.
func (m *mixer) Fetch() {
	life := m.life
	m.w.loop.Post(m.w.near(m), func() {
		if m.life == life && m.x != nil && m.merge != nil {
			m.known()
		} else if m.life == life && m.x != nil {
			m.hear(m.w.whole(choice.Full))
		}
	})
}

func sorted(m map[string]*ask) []string {
	out := make([]string, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}

func sortedInts(m map[int]*link) []int {
	out := make([]int, 0, len(m))
	for i := range m {
		out = append(out, i)
	}
	slices.Sort(out)
	return out
}
