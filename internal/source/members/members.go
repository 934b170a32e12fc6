// Package members runs the merge of several sources of leaf servers: it has the
// clock, the timer and the log that core/membership must not have, and turns what
// the merge says into the list that the client side and the decisions get. It must
// never hold back a drain, hand on a server whose cell the fleet does not have, or
// let the decisions see one server's parts go to a cell it is not in: a server that
// changes its cell gets another name with them.
package members

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/membership"
	"saddleport/internal/logs"
	"saddleport/internal/source/targets"
)

// Settings are the operator file's section [members].
type Settings struct {
	Sources         []string      `ini:"sources" oneof:"list consul dns" help:"where leaf servers come from, the highest-ranked first; none: the platform's list alone, as ever"`
	SilentAfter     time.Duration `ini:"silent-after" default:"30s" range:"1s..1h" help:"without an answer for so long a source is silent: it neither adds nor drops, and its word on cells and checks does not count"`
	ForgetAfter     time.Duration `ini:"forget-after" default:"1h" range:"0s..720h" help:"silent for so long, what it said counts as never said; 0s: never"`
	Trusted         []string      `ini:"trusted" default:"list" oneof:"list consul dns" help:"sources whose new servers need no first sign"`
	ConfirmAfter    time.Duration `ini:"first-sign" default:"1s" range:"0s..1h" help:"a new server of another source waits for a second source, or for the same one again after so long"`
	FloorShare      float64       `ini:"floor-share" default:"0.5" range:"0..1" help:"where more than this share would go at once, they stay for believe-after; 0: no floor"`
	FloorMinServers int           `ini:"floor-least" default:"3" range:"1..100000" help:"and so many servers at least"`
	RemovalDelay    time.Duration `ini:"believe-after" default:"20s" range:"0s..1h" help:"a mass disappearance is believed once it has been said for so long"`
	FlapHalfLife    time.Duration `ini:"flap-half-life" default:"15s" range:"0s..1h" help:"each time a server goes costs it a penalty of 1, which halves in this time; 0s: flaps are not damped"`
	FlapSuppress    float64       `ini:"flap-most" default:"2.5" range:"0.1..100" help:"above this penalty a return waits"`
	FlapReuse       float64       `ini:"flap-again" default:"1" range:"0.1..100" help:"until it is below this"`
	ByAddress       bool          `ini:"same-address" default:"no" help:"two names at one address are one server"`
	MaxServers      int           `ini:"most-servers" default:"20000" range:"1..1000000" help:"beyond, new ones are not taken, and counted"`
	Stagger         time.Duration `ini:"stagger" default:"250ms" range:"10ms..10s" help:"between tries of the addresses of one server (RFC 8305)"`
}

// Check looks at what keys say of each other.
func (s *Settings) Check() error {
	for i, name := range s.Sources {
		if slices.Contains(s.Sources[:i], name) {
			return fmt.Errorf("sources: %s stands twice", name)
		}
	}
	if s.FlapReuse > s.FlapSuppress {
		return fmt.Errorf("flap-again: %v is above flap-most, %v", s.FlapReuse, s.FlapSuppress)
	}
	return nil
}

// Merge are the settings of the merge. ranked are the sources as the merge knows
// them, highest first: a source may be several there, such as a datacentre each.
func (s *Settings) MergeSettings(ranked []string) membership.Settings {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	out := membership.Settings{ByAddress: s.ByAddress, FloorShare: s.FloorShare, FloorMinServers: s.FloorMinServers, RemovalDelay: us(s.RemovalDelay), FlapHalfLife: us(s.FlapHalfLife),
		FlapSuppress: s.FlapSuppress, FlapReuse: s.FlapReuse, ConfirmAfter: us(s.ConfirmAfter), MaxServers: s.MaxServers}
	for i, name := range ranked {
		kind, _, _ := strings.Cut(name, ".")
		out.Sources = append(out.Sources, membership.Source{Name: name, Rank: i, SilentAfter: us(s.SilentAfter), ForgetAfter: us(s.ForgetAfter), Trusted: slices.Contains(s.Trusted, kind)})
	}
	return out
}

var log = logs.For("members")

// Source is a source that runs beside the merge and tells it what it hears.
type Source interface {
	// Names are the sources that it is in the merge.
	Names() []string
	// Run asks until stop is closed.
	Run(stop <-chan struct{})
}

// Sink takes what sources hear. Service is one; a virtual drive has its own.
type Sink interface {
	Observe(o membership.Observation)
}

// Service is the merge in service.
type Service struct {
	cells    int
	receiver targets.Receiver
	start    time.Time

	mu          sync.Mutex
	core        *membership.Members
	listWanted  bool // the decisions wait for a list
	listSent    bool // the decisions have had a whole list
	answered    bool // some source has answered
	builder     *ListBuilder
	version     int64
	timer       *time.Timer
	floorActive bool
	changes     int64
	skipped     int64 // claims of cells that are not there
	stopped     bool
	probeServer func(addrs []string) bool // nil: probes are not allowed
	probeSlots  chan struct{}
}

// mostProving bounds the new servers that are probed at once.
const maxProbes = 4

// Prove gives the way to probe a new server: one that answers has had its first sign.
// It must be called before anything is observed.
func (s *Service) SetProbe(probe func(addrs []string) bool) {
	s.probeServer, s.probeSlots = probe, make(chan struct{}, maxProbes)
}

// probe probes a new server, where there is room. Under the lock.
func (s *Service) probe(m membership.Member) {
	select {
	case s.probeSlots <- struct{}{}:
	default: // the same source again will do as a sign
		return
	}
	go func() {
		defer func() { <-s.probeSlots }()
		if s.probeServer(m.Addresses) {
			s.Confirm(m.Name)
		}
	}()
}

// New returns a merge that has heard nothing. What it believes goes to a taker.
func New(settings membership.Settings, cells int, receiver targets.Receiver) (*Service, error) {
	core, err := membership.New(settings)
	if err != nil {
		return nil, err
	}
	s := &Service{core: core, cells: cells, receiver: receiver, start: time.Now()}
	s.builder = NewListBuilder(s.clock())
	return s, nil
}

// clock is the exchange's: Unix time at the start, and monotonic from there.
func (s *Service) clock() membership.Micros {
	return s.start.UnixMicro() + time.Since(s.start).Microseconds()
}

// Configure takes other settings and sources; what sources that stay have said
// stands.
func (s *Service) Configure(settings membership.Settings) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.core.Configure(settings); err != nil {
		return err
	}
	s.step()
	return nil
}

// Observe implements Sink.
func (s *Service) Observe(o membership.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var outOfRange []membership.Claim
	for i := range o.Claims {
		if claim := &o.Claims[i]; claim.HasCell && (claim.Cell < 0 || claim.Cell >= s.cells) {
			outOfRange = append(outOfRange, *claim)
			claim.HasCell = false
			s.skipped++
		}
	}
	if err := s.core.Observe(s.clock(), o); err != nil { // a source that has just been taken out
		log.Debug("member-late", "err", err)
		return
	}
	s.answered = s.answered || !o.Failed
	s.step()
	for _, claim := range outOfRange {
		log.Warn("member-cell", "source", o.Source, "server", claim.Name, "cell", claim.Cell, "cells", s.cells)
	}
}

// Sign notes that a server has answered: its first sign, if it wants one.
func (s *Service) Confirm(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Confirm(name)
	s.step()
}

// step hands on what has changed, and sets the timer. Lines are written after that: a
// log that is slow must not hold a drain up. Under the lock.
func (s *Service) step() {
	if s.stopped {
		return
	}
	now := s.clock()
	changed := s.core.Step(now)
	if rows, addrs := s.builder.Delta(now, changed); s.listWanted && s.answered {
		s.listWanted, s.listSent = false, true
		s.version++
		rowList, allAddrs := s.builder.Full(now, s.core.All())
		s.receiver.UpdateList(choice.List{Form: choice.Full, Version: s.version, Servers: rowList}, allAddrs)
	} else if len(rows) > 0 && s.listSent {
		s.version++
		s.receiver.UpdateList(choice.List{Form: choice.Delta, Version: s.version, Servers: rows}, addrs)
	}
	for _, m := range changed {
		s.changes++
		if m.Unconfirmed && s.probeServer != nil && len(m.Addresses) > 0 {
			s.probe(m)
		}
		log.Info("member", "server", m.Name, "state", m.State, "cell", m.Cell, "why", m.Reason)
	}
	if s.core.FloorActive != s.floorActive {
		s.floorActive = s.core.FloorActive
		log.Warn("member-floor", "on", s.floorActive)
	}
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if due := s.core.Due(); due > 0 {
		s.timer = time.AfterFunc(time.Duration(max(due-now, 1000))*time.Microsecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.step()
		})
	}
}

// Watch implements upstream.Lister: the decisions get the whole list at once, or as soon
// as any source has answered.
func (s *Service) Watch(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listWanted = on; on {
		s.step()
	}
}

// Fetch implements upstream.Lister.
func (s *Service) Fetch() { s.Watch(true) }

// Run implements upstream.Lister.
func (s *Service) Run(stop <-chan struct{}) {
	<-stop
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// Heard tells whether any source has answered.
func (s *Service) AnySourceAnswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// Rows turns members into the decisions' rows. It holds what they were told, and of
// a bounded number of names the cell that they first had.
type ListBuilder struct {
	sent       map[string]row
	firstCells map[string]int
	settledAt  membership.Micros // servers that appear before this have run for long, unless a source says when they started
}

// settleTime is how long after its start a mixer hears of servers for the first time
// that are not new: its sources answer one after the other, and first signs take time.
const settleTime = 5 * time.Second

// longAgo is a start that the decisions take for one of long ago. With none they
// would take a server that appears among changes for one that has just started.
const startedLongAgo = 1

// mostCells bounds the names whose first cell is held.
const maxFirstCells = 1 << 16

type row struct {
	id string
	choice.Server
	addrs []string
}

// NewRows returns rows of which nothing has been told.
func NewListBuilder(now membership.Micros) *ListBuilder {
	return &ListBuilder{sent: make(map[string]row), firstCells: make(map[string]int), settledAt: now + settleTime.Microseconds()}
}

func (r *ListBuilder) toRow(now membership.Micros, m membership.Member) row {
	out := row{id: m.Name, addrs: m.Addresses, Server: choice.Server{Zone: m.Site, Kind: m.Kind, Cell: m.Cell, Scale: m.Weight, UpSince: m.Since}}
	if out.Scale <= 0 {
		out.Scale = 1
	}
	switch m.State {
	case membership.Ready:
		out.State = choice.Ready
	case membership.Draining:
		out.State = choice.Draining
	}
	// The decisions never move a server: in another cell it is another one to them.
	firstCell, known := r.firstCells[m.Name]
	if !known && len(r.firstCells) < maxFirstCells {
		firstCell, known = m.Cell, true
		r.firstCells[m.Name] = firstCell
	}
	if !known || firstCell != m.Cell {
		out.id = fmt.Sprintf("%s~%d", m.Name, m.Cell)
	}
	if prev, seen := r.sent[m.Name]; out.UpSince == 0 && (now < r.settledAt || seen && prev.UpSince == startedLongAgo) {
		out.UpSince = startedLongAgo
	}
	out.ID = out.id
	return out
}

// Delta are the rows that members which changed make; a row that says what was told
// is none.
func (r *ListBuilder) Delta(now membership.Micros, changed []membership.Member) (list []choice.Server, addrs targets.Addrs) {
	addrs = make(targets.Addrs)
	for _, m := range changed {
		prev, known := r.sent[m.Name]
		next := r.toRow(now, m)
		if next.State == choice.Gone {
			delete(r.sent, m.Name)
			if known {
				list = append(list, choice.Server{ID: prev.id, Zone: prev.Zone, Kind: prev.Kind, Cell: prev.Cell, Scale: prev.Scale, State: choice.Gone})
			}
			continue
		}
		if known && prev.id != next.id {
			list = append(list, choice.Server{ID: prev.id, Zone: prev.Zone, Kind: prev.Kind, Cell: prev.Cell, Scale: prev.Scale, State: choice.Gone})
			known = false
		}
		if known && prev.Server == next.Server && slices.Equal(prev.addrs, next.addrs) {
			continue
		}
		r.sent[m.Name] = next
		list = append(list, next.Server)
		addrs[next.id] = next.addrs
	}
	return list, addrs
}

// Whole are the rows of all members, which now count as told.
func (r *ListBuilder) Full(now membership.Micros, all []membership.Member) (list []choice.Server, addrs targets.Addrs) {
	addrs = make(targets.Addrs)
	for _, m := range all {
		if next := r.toRow(now, m); next.State != choice.Gone {
			r.sent[m.Name] = next
			list = append(list, next.Server)
			addrs[next.id] = next.addrs
		}
	}
	return list, addrs
}

// ---- What operators see.

// Report is what is believed at a moment.
type Report struct {
	Ready, Draining, Withheld, Gone int
	Floor                           bool
	Changes, Damped, Refused        int64
	Skipped                         int64
	Sources                         []membership.SourceStatus
	Members                         []membership.Explanation
	More                            int // members that are not listed here
}

// Report tells what is believed: of one server, or of all, but of so many at most.
func (s *Service) Report(name string, limit int) (*Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	r := &Report{Floor: s.core.FloorActive, Changes: s.changes, Damped: s.core.Damped, Refused: s.core.Rejected, Skipped: s.skipped, Sources: s.core.Sources(now)}
	all := s.core.All()
	for _, m := range all {
		*[]*int{&r.Ready, &r.Draining, &r.Withheld, &r.Gone}[m.State]++
	}
	if name != "" {
		explanation, known := s.core.Explain(now, name)
		if !known {
			return nil, errors.New("no source has ever named " + name + ", or all have forgotten it")
		}
		r.Members = append(r.Members, explanation)
		return r, nil
	}
	for i, m := range all {
		if i == limit {
			r.More = len(all) - limit
			break
		}
		explanation, _ := s.core.Explain(now, m.Name)
		r.Members = append(r.Members, explanation)
	}
	return r, nil
}

// Counters are the figures for the mixer's counters.
func (s *Service) Counters(put func(name string, v int64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ready, floor := 0, int64(0)
	for _, m := range s.core.All() {
		if m.State == membership.Ready {
			ready++
		}
	}
	if s.core.FloorActive {
		floor = 1
	}
	put("members_ready", int64(ready))
	put("member_changes", s.changes)
	put("member_damped", s.core.Damped)
	put("member_refused", s.core.Rejected)
	put("member_skipped", s.skipped)
	put("member_floor", floor)
	for _, source := range s.core.Sources(s.clock()) {
		name := strings.NewReplacer(".", "_", "-", "_").Replace(source.Name)
		put("source_"+name+"_calls", source.Calls)
		put("source_"+name+"_failed", source.Failed)
		put("source_"+name+"_old", source.Old)
		put("source_"+name+"_servers", int64(source.Servers))
		put("source_"+name+"_age_ms", source.Age/1000)
	}
}

// List is the platform's list as a source. It implements targets.Taker.
type List struct{ To Sink }

// ListName is its name in the merge.
const ListName = "list"

// Told implements targets.Taker.
func (l List) UpdateList(list choice.List, addrs targets.Addrs) {
	observation := membership.Observation{Source: ListName, Index: list.Version, Complete: list.Form != choice.Delta, Reset: list.Form == choice.Full}
	for _, row := range list.Servers {
		if row.State == choice.Gone {
			observation.Removed = append(observation.Removed, row.ID)
			continue
		}
		observation.Claims = append(observation.Claims, membership.Claim{Name: row.ID, Addresses: addrs[row.ID], Site: row.Zone, Kind: row.Kind, Cell: row.Cell, HasCell: true,
			Drain: row.State == choice.Draining, Weight: row.Scale, Since: row.UpSince})
	}
	l.To.Observe(observation)
}

// Failed implements targets.Taker.
func (l List) FetchFailed() {
	l.To.Observe(membership.Observation{Source: ListName, Failed: true})
}
