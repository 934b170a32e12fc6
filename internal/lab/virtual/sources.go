package virtual

// This file models several sources of the server list in virtual time: each proxy runs the
// production merge (core/membership) on the answers of model sources. It is used only if the
// scenario has [members].

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

// idleAnswerInterval is how often a source without changes answers, as at the end of a long
// poll.
const idleAnswerInterval = 2 * time.Second

// source is the current state of one source.
type source struct {
	list    *model.List
	entries []model.Entry // what it has published, by server
	index   int64
	silent  int
	down    int
	empty   int
}

// sourceMerge is the merge of one proxy.
type sourceMerge struct {
	core            *membership.Members
	list            *members.ListBuilder
	timer           *event.Timer
	dnsObservations int64
	lastArrival     map[string]time.Duration
	delivered       bool // the decisions have received a full list
}

func (w *world) hasSources() bool { return len(w.plan.Members.Sources) > 0 }

// buildSources connects the lists of the scenario to the proxies' merges.
func (w *world) buildSources() {
	for i, l := range w.lists {
		s := &source{list: l, entries: slices.Clone(l.Entries()), index: 1}
		w.sources = append(w.sources, s)
		l.Publish = func(changes []model.Entry) {
			s.index++
			for _, e := range changes {
				s.entries[e.Server] = e
			}
			for _, p := range w.proxies {
				p.sendChanges(i, changes)
			}
		}
		l.OnFault = func(c model.Change) { w.applySourceFault(i, c) }
	}
	w.loop.Post(idleAnswerInterval, w.sendIdleAnswers)
}

// sendIdleAnswers sends an answer without changes from every source to every proxy.
func (w *world) sendIdleAnswers() {
	for i := range w.sources {
		for _, p := range w.proxies {
			p.sendChanges(i, nil)
		}
	}
	if w.loop.Now() < w.plan.Length+overtime {
		w.loop.Post(idleAnswerInterval, w.sendIdleAnswers)
	}
}

// applySourceFault starts or ends a fault of a whole source.
func (w *world) applySourceFault(i int, c model.Change) {
	s := w.sources[i]
	step := 1
	if !c.On {
		step = -1
	}
	switch c.Do {
	case model.ListSilent:
		s.silent += step
	case model.ListDown:
		s.down += step
	case model.ListEmpty:
		s.empty += step
	case model.ListReset:
		if !c.On {
			return
		}
		s.index = 1
	default: // truncated and unrelated datagrams exist only with real sockets
		return
	}
	s.index++
	for _, p := range w.proxies {
		p.sendFullAnswer(i, c.Do == model.ListReset)
	}
}

// sendChanges sends changes from a source to a proxy.
func (p *proxy) sendChanges(i int, changes []model.Entry) {
	w, s := p.w, p.w.sources[i]
	switch {
	case p.exchange == nil || s.silent > 0:
		return
	case s.down > 0:
		p.observeLater(membership.Observation{Source: s.list.Name, Failed: true})
		return
	case s.empty > 0:
		return
	}
	o := membership.Observation{Source: s.list.Name, Index: s.index}
	for _, e := range changes {
		if e.Status == model.Deleted {
			o.Removed = append(o.Removed, w.plan.Servers[e.Server].Name)
		} else {
			o.Claims = append(o.Claims, w.claim(e))
		}
	}
	p.observeLater(o)
}

// sendFullAnswer sends a full answer from a source to a proxy.
func (p *proxy) sendFullAnswer(i int, reset bool) {
	w, s := p.w, p.w.sources[i]
	if p.exchange == nil || s.silent > 0 {
		return
	}
	if s.down > 0 {
		p.observeLater(membership.Observation{Source: s.list.Name, Failed: true})
		return
	}
	o := membership.Observation{Source: s.list.Name, Index: s.index, Complete: true, Reset: reset}
	for _, e := range s.entries {
		if s.empty == 0 && e.Status != model.Deleted {
			o.Claims = append(o.Claims, w.claim(e))
		}
	}
	p.observeLater(o)
}

// claim converts a list entry to the claim that a source makes about the server.
func (w *world) claim(e model.Entry) membership.Claim {
	spec := &w.plan.Servers[e.Server]
	c := membership.Claim{Name: spec.Name, Addresses: []string{spec.Name}, Site: spec.Site, Kind: spec.Group, Cell: (spec.Cell + e.CellShift) % w.plan.Groups[0].Cells,
		HasCell: true, Drain: e.Status == model.Draining, Weight: 1}
	if e.Status == model.Unhealthy {
		c.Health = membership.Critical
	}
	if e.Since >= 0 {
		c.Since = epoch.Add(e.Since).UnixMicro()
	}
	return c
}

// observeLater delivers an answer after the network delay within the proxy's site, where the
// source runs. DNS changes are found at a random time within the lifetime of a record.
func (p *proxy) observeLater(o membership.Observation) {
	w, incarnation := p.w, p.incarnation
	delay := w.localDelay(p)
	if ttl := w.plan.Source(o.Source).TTL; o.Source == "dns" && len(o.Claims)+len(o.Removed) > 0 {
		p.merge.dnsObservations++
		delay += time.Duration(model.Uniform(w.plan.RunSeed, "dns", fmt.Sprint(p.n), fmt.Sprint(p.merge.dnsObservations)) * float64(ttl))
	}
	// A proxy calls a source sequentially: its answers arrive in order.
	at := max(w.loop.Now()+delay, p.merge.lastArrival[o.Source])
	p.merge.lastArrival[o.Source] = at
	w.loop.Post(at-w.loop.Now(), func() {
		if p.incarnation != incarnation || p.exchange == nil {
			return
		}
		for _, c := range o.Claims {
			w.judge.DrainReportedBy(p.n, o.Source, c.Name, c.Drain, w.time())
		}
		if p.merge.core.Observe(w.time().UnixMicro(), o) == nil {
			p.stepMerge()
		}
	})
}

// startMerge creates the merge of a starting proxy and requests full answers from all sources.
func (p *proxy) startMerge() error {
	w := p.w
	core, err := membership.New(w.plan.Members.MergeSettings(w.activeSources))
	if err != nil {
		return err
	}
	p.merge = &sourceMerge{lastArrival: make(map[string]time.Duration), core: core, list: members.NewListBuilder(w.time().UnixMicro())}
	for i := range w.sources {
		p.sendFullAnswer(i, false)
	}
	return nil
}

// stepMerge does what source/members does in production.
func (p *proxy) stepMerge() {
	w, g := p.w, p.merge
	now := w.time().UnixMicro()
	changed := g.core.Step(now)
	if rows, _ := g.list.Delta(now, changed); len(rows) > 0 && g.delivered {
		w.version++
		p.applyList(choice.List{Form: choice.Delta, Version: w.version, Servers: rows})
	}
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	if due := g.core.Due(); due > 0 {
		incarnation := p.incarnation
		g.timer = w.loop.After(time.Duration(max(due-now, 1))*time.Microsecond, func() {
			g.timer = nil
			if p.incarnation == incarnation && p.exchange != nil {
				p.stepMerge()
			}
		})
	}
}

// deliverFullList hands the full merged list to the decisions.
func (p *proxy) deliverFullList() {
	list, _ := p.merge.list.Full(p.w.time().UnixMicro(), p.merge.core.All())
	p.merge.delivered = true
	p.w.version++
	p.applyList(choice.List{Form: choice.Full, Version: p.w.version, Servers: list})
}

// reconfigure changes the active sources of every proxy, as SIGHUP does.
func (w *world) reconfigure(c model.Change) {
	w.activeSources = w.plan.Members.Sources
	if c.On {
		w.activeSources = c.SwitchTo
	}
	for _, p := range w.proxies {
		if p.exchange == nil {
			continue
		}
		if err := p.merge.core.Configure(w.plan.Members.MergeSettings(w.activeSources)); err != nil {
			w.recorder.Fault(err.Error())
			continue
		}
		p.stepMerge()
		for i := range w.sources {
			p.sendFullAnswer(i, false)
		}
	}
}

// server returns the index of the server with an ID of the decisions, in which a server that
// changed its cell has a suffix.
func (w *world) server(id string) (int, bool) {
	name, _, _ := strings.Cut(id, "~")
	i, known := w.Index[name]
	return i, known
}
