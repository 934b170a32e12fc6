package virtual

// Several sources of the list, in virtual time: each mixer has the merge that serves
// (core/membership), fed by models of what the sources tell. Where a scenario has no
// [members] nothing of this runs.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/membership"
	"saddleport/internal/lab/event"
	"saddleport/internal/lab/model"
	"saddleport/internal/source/members"
)

// beat is how often a source that has no news says so: a call that was waited out.
const beat = 2 * time.Second

// source is one source as it stands.
type source struct {
	list  *model.List
	told  []model.Entry // what it has told, by server
	index int64
	mute  int
	down  int
	empty int
}

// merging is a mixer's merge.
type merging struct {
	core  *membership.Members
	rows  *members.ListBuilder
	timer *event.Timer
	n     int64
	last  map[string]time.Duration
	begun bool // the decisions have had a whole list
}

func (w *world) sourcesOn() bool { return len(w.plan.Members.Sources) > 0 }

func (w *world) buildSources() {
	for i, l := range w.lists {
		s := &source{list: l, told: slices.Clone(l.Whole()), index: 1}
		w.sources = append(w.sources, s)
		l.Tell = func(news []model.Entry) {
			s.index++
			for _, e := range news {
				s.told[e.Server] = e
			}
			for _, m := range w.mixers {
				m.tells(i, news)
			}
		}
		l.Turn = func(c model.Change) { w.turn(i, c) }
	}
	w.loop.Post(beat, w.beat)
}

func (w *world) beat() {
	for i := range w.sources {
		for _, m := range w.mixers {
			m.tells(i, nil)
		}
	}
	if w.loop.Now() < w.plan.Length+overtime {
		w.loop.Post(beat, w.beat)
	}
}

// turn has a fault take hold of a source as a whole, or let it go.
func (w *world) turn(i int, c model.Change) {
	s := w.sources[i]
	step := 1
	if !c.On {
		step = -1
	}
	switch c.Do {
	case model.Mute:
		s.mute += step
	case model.Broken:
		s.down += step
	case model.Empty:
		s.empty += step
	case model.Reset:
		if !c.On {
			return
		}
		s.index = 1
	default: // truncation and junk are the sockets' alone
		return
	}
	s.index++
	for _, m := range w.mixers {
		m.tellsAll(i, c.Do == model.Reset)
	}
}

// tells has news of a source come in at a mixer.
func (m *mixer) tells(i int, news []model.Entry) {
	w, s := m.w, m.w.sources[i]
	switch {
	case m.x == nil || s.mute > 0:
		return
	case s.down > 0:
		m.observes(membership.Observation{Source: s.list.Name, Failed: true})
		return
	case s.empty > 0:
		return
	}
	o := membership.Observation{Source: s.list.Name, Index: s.index}
	for _, e := range news {
		if e.Standing == model.Deleted {
			o.Removed = append(o.Removed, w.plan.Servers[e.Server].Name)
		} else {
			o.Claims = append(o.Claims, w.claim(e))
		}
	}
	m.observes(o)
}

// tellsAll has a whole answer of a source come in at a mixer.
func (m *mixer) tellsAll(i int, reset bool) {
	w, s := m.w, m.w.sources[i]
	if m.x == nil || s.mute > 0 {
		return
	}
	if s.down > 0 {
		m.observes(membership.Observation{Source: s.list.Name, Failed: true})
		return
	}
	o := membership.Observation{Source: s.list.Name, Index: s.index, Complete: true, Reset: reset}
	for _, e := range s.told {
		if s.empty == 0 && e.Standing != model.Deleted {
			o.Claims = append(o.Claims, w.claim(e))
		}
	}
	m.observes(o)
}

func (w *world) claim(e model.Entry) membership.Claim {
	spec := &w.plan.Servers[e.Server]
	c := membership.Claim{Name: spec.Name, Addresses: []string{spec.Name}, Site: spec.Site, Kind: spec.Group, Cell: (spec.Cell + e.Shift) % w.plan.Groups[0].Cells,
		HasCell: true, Drain: e.Standing == model.Draining, Weight: 1}
	if e.Standing == model.Sick {
		c.Health = membership.Critical
	}
	if e.Since >= 0 {
		c.Since = epoch.Add(e.Since).UnixMicro()
	}
	return c
}

// observes has an answer come in after the way from the source: the mixer's own site;
// DNS is asked once in a record's lifetime.
func (m *mixer) observes(o membership.Observation) {
	w, life := m.w, m.life
	later := w.near(m)
	if ttl := w.plan.Source(o.Source).TTL; o.Source == "dns" && len(o.Claims)+len(o.Removed) > 0 {
		m.merge.n++
		later += time.Duration(model.Luck(w.plan.Draw, "dns", fmt.Sprint(m.n), fmt.Sprint(m.merge.n)) * float64(ttl))
	}
	// A source is asked one call after the other: its answers come in order.
	at := max(w.loop.Now()+later, m.merge.last[o.Source])
	m.merge.last[o.Source] = at
	w.loop.Post(at-w.loop.Now(), func() {
		if m.life != life || m.x == nil {
			return
		}
		for _, c := range o.Claims {
			w.j.DrainReportedBy(m.n, o.Source, c.Name, c.Drain, w.time())
		}
		if m.merge.core.Observe(w.time().UnixMicro(), o) == nil {
			m.step()
		}
	})
}

// merges gives a mixer that starts its merge, and what the sources say.
func (m *mixer) merges() error {
	w := m.w
	core, err := membership.New(w.plan.Members.MergeSettings(w.inForce))
	if err != nil {
		return err
	}
	m.merge = &merging{last: make(map[string]time.Duration), core: core, rows: members.NewListBuilder(w.time().UnixMicro())}
	for i := range w.sources {
		m.tellsAll(i, false)
	}
	return nil
}

// step is what source/members does in service.
func (m *mixer) step() {
	w, g := m.w, m.merge
	now := w.time().UnixMicro()
	changed := g.core.Step(now)
	if rows, _ := g.rows.Delta(now, changed); len(rows) > 0 && g.begun {
		w.version++
		m.hears(choice.List{Form: choice.Delta, Version: w.version, Servers: rows})
	}
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	if due := g.core.Due(); due > 0 {
		life := m.life
		g.timer = w.loop.After(time.Duration(max(due-now, 1))*time.Microsecond, func() {
			g.timer = nil
			if m.life == life && m.x != nil {
				m.step()
			}
		})
	}
}

// known hands the whole merged list to the decisions.
func (m *mixer) known() {
	list, _ := m.merge.rows.Full(m.w.time().UnixMicro(), m.merge.core.All())
	m.merge.begun = true
	m.w.version++
	m.hears(choice.List{Form: choice.Full, Version: m.w.version, Servers: list})
}

// reconfigure puts other sources in force at every mixer, as SIGHUP does.
func (w *world) reconfigure(c model.Change) {
	w.inForce = w.plan.Members.Sources
	if c.On {
		w.inForce = c.Others
	}
	for _, m := range w.mixers {
		if m.x == nil {
			continue
		}
		if err := m.merge.core.Configure(w.plan.Members.MergeSettings(w.inForce)); err != nil {
			w.rec.Fault(err.Error())
			continue
		}
		m.step()
		for i := range w.sources {
			m.tellsAll(i, false)
		}
	}
}

// server is the server that the decisions mean: one that changed its cell has another
// name with them.
func (w *world) server(id string) (int, bool) {
	name, _, _ := strings.Cut(id, "~")
	i, known := w.Index[name]
	return i, known
}
