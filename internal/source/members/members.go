// Package members merges several sources of leaf servers. It provides the clock, the timer and
// the log that core/membership must not have, and converts the merged members into the list
// that the upstream pool and the decisions receive. It must never delay a drain, pass on a
// server of a cell that the fleet does not have, or let the decisions send parts to a server
// for a cell that it is not in: a server that changes its cell gets another name in the list.
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
	Sources         []string      `ini:"sources" oneof:"list consul dns" help:"where leaf servers come from, highest rank first; none: the platform's list only"`
	SilentAfter     time.Duration `ini:"silent-after" default:"30s" range:"1s..1h" help:"a source without an answer for this long is unresponsive: it neither adds nor removes servers, and its cells and checks do not count"`
	ForgetAfter     time.Duration `ini:"forget-after" default:"1h" range:"0s..720h" help:"the reports of a source that is unresponsive for this long are discarded; 0s: never"`
	Trusted         []string      `ini:"trusted" default:"list" oneof:"list consul dns" help:"sources whose new servers need no confirmation"`
	ConfirmAfter    time.Duration `ini:"first-sign" default:"1s" range:"0s..1h" help:"a new server of another source is confirmed by a second source, or by the same one again after this time"`
	FloorShare      float64       `ini:"floor-share" default:"0.5" range:"0..1" help:"if more than this share of the servers would be removed at once, they stay for believe-after; 0: no floor"`
	FloorMinServers int           `ini:"floor-least" default:"3" range:"1..100000" help:"the floor applies only if at least this many servers would be removed"`
	RemovalDelay    time.Duration `ini:"believe-after" default:"20s" range:"0s..1h" help:"a mass removal takes effect once it has been reported for this long"`
	FlapHalfLife    time.Duration `ini:"flap-half-life" default:"15s" range:"0s..1h" help:"each removal of a server adds a penalty of 1, which halves in this time; 0s: flaps are not damped"`
	FlapSuppress    float64       `ini:"flap-most" default:"2.5" range:"0.1..100" help:"above this penalty the return of a server is delayed"`
	FlapReuse       float64       `ini:"flap-again" default:"1" range:"0.1..100" help:"until its penalty is below this"`
	ByAddress       bool          `ini:"same-address" default:"no" help:"two names with the same address are one server"`
	MaxServers      int           `ini:"most-servers" default:"20000" range:"1..1000000" help:"limit of servers; further ones are rejected and counted"`
	Stagger         time.Duration `ini:"stagger" default:"250ms" range:"10ms..10s" help:"delay between attempts on the addresses of one server (RFC 8305)"`
}

// Check validates the keys against each other.
func (s *Settings) Check() error {
	for i, name := range s.Sources {
		if slices.Contains(s.Sources[:i], name) {
			return fmt.Errorf("sources: %s is listed twice", name)
		}
	}
	if s.FlapReuse > s.FlapSuppress {
		return fmt.Errorf("flap-again: %v is above flap-most, %v", s.FlapReuse, s.FlapSuppress)
	}
	return nil
}

// MergeSettings returns the settings of the merge. ranked are the names of its sources, highest
// rank first. One configured source may be several there, such as one for each datacentre.
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

// Source discovers servers and reports its observations to a Sink.
type Source interface {
	// Names returns the names of the source in the merge; it may count as several there.
	Names() []string
	// Run queries the source until stop is closed.
	Run(stop <-chan struct{})
}

// Sink receives the observations of sources. Service implements it; the simulation has its own.
type Sink interface {
	Observe(o membership.Observation)
}

// Service runs the merge and passes its results to a targets.Receiver.
type Service struct {
	cells    int
	receiver targets.Receiver
	start    time.Time

	mu          sync.Mutex
	core        *membership.Members
	listWanted  bool // the decisions wait for a full list
	listSent    bool // the decisions have received a full list
	answered    bool // at least one source has answered
	builder     *ListBuilder
	version     int64
	timer       *time.Timer
	floorActive bool
	changes     int64
	skipped     int64 // claims with a cell that the fleet does not have
	stopped     bool
	probeServer func(addrs []string) bool // nil: new servers are not probed
	probeSlots  chan struct{}
}

// maxProbes limits the new servers that are probed at the same time.
const maxProbes = 4

// SetProbe sets the function that probes a new server: a server that answers is confirmed. It
// must be called before the first observation.
func (s *Service) SetProbe(probe func(addrs []string) bool) {
	s.probeServer, s.probeSlots = probe, make(chan struct{}, maxProbes)
}

// probe probes a new server in the background, unless maxProbes are running. The caller holds
// s.mu.
func (s *Service) probe(m membership.Member) {
	select {
	case s.probeSlots <- struct{}{}:
	default: // a second observation by the same source confirms the server too
		return
	}
	go func() {
		defer func() { <-s.probeSlots }()
		if s.probeServer(m.Addresses) {
			s.Confirm(m.Name)
		}
	}()
}

// New returns a merge without observations that passes its results to a receiver.
func New(settings membership.Settings, cells int, receiver targets.Receiver) (*Service, error) {
	core, err := membership.New(settings)
	if err != nil {
		return nil, err
	}
	s := &Service{core: core, cells: cells, receiver: receiver, start: time.Now()}
	s.builder = NewListBuilder(s.clock())
	return s, nil
}

// clock returns the time as the exchange counts it: Unix time at the start, monotonic after.
func (s *Service) clock() membership.Micros {
	return s.start.UnixMicro() + time.Since(s.start).Microseconds()
}

// Configure replaces the settings and the set of sources. Observations of sources that remain
// stay valid.
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
	if err := s.core.Observe(s.clock(), o); err != nil { // the source has just been removed
		log.Debug("member-late", "err", err)
		return
	}
	s.answered = s.answered || !o.Failed
	s.step()
	for _, claim := range outOfRange {
		log.Warn("member-cell", "source", o.Source, "server", claim.Name, "cell", claim.Cell, "cells", s.cells)
	}
}

// Confirm records that a server has answered a probe, which confirms a new server.
func (s *Service) Confirm(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Confirm(name)
	s.step()
}

// step passes changes on and sets the timer. Log lines are written after that, because a slow
// log must not delay a drain. The caller holds s.mu.
func (s *Service) step() {
	if s.stopped {
		return
	}
	now := s.clock()
	changed := s.core.Step(now)
	if changes, addrs := s.builder.Delta(now, changed); s.listWanted && s.answered {
		s.listWanted, s.listSent = false, true
		s.version++
		entries, allAddrs := s.builder.Full(now, s.core.All())
		s.receiver.UpdateList(choice.List{Form: choice.Full, Version: s.version, Servers: entries}, allAddrs)
	} else if len(changes) > 0 && s.listSent {
		s.version++
		s.receiver.UpdateList(choice.List{Form: choice.Delta, Version: s.version, Servers: changes}, addrs)
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

// Watch implements upstream.Lister: the decisions get the full list immediately, or as soon as
// any source has answered.
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

// AnySourceAnswered reports whether any source has answered.
func (s *Service) AnySourceAnswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// ListBuilder converts members into the entries of the decisions' server list. It stores the
// entries last sent and, for a bounded number of names, the cell that each had first.
type ListBuilder struct {
	sent       map[string]entry
	firstCells map[string]int
	settledAt  membership.Micros // servers that appear before this count as long started, unless a source reports their start
}

// settleTime is the time after the start of a proxy in which servers that appear for the first
// time are not assumed to be new: the sources answer one after the other, and confirmation
// takes time.
const settleTime = 5 * time.Second

// startedLongAgo is a start time that the decisions treat as long ago. Without a start time they
// would treat a server that appears in a list of changes as just started.
const startedLongAgo = 1

// maxFirstCells limits the names whose first cell is stored.
const maxFirstCells = 1 << 16

type entry struct {
	id string
	choice.Server
	addrs []string
}

// NewListBuilder returns a builder that has sent no entries yet.
func NewListBuilder(now membership.Micros) *ListBuilder {
	return &ListBuilder{sent: make(map[string]entry), firstCells: make(map[string]int), settledAt: now + settleTime.Microseconds()}
}

func (b *ListBuilder) toEntry(now membership.Micros, m membership.Member) entry {
	e := entry{id: m.Name, addrs: m.Addresses, Server: choice.Server{Zone: m.Site, Kind: m.Kind, Cell: m.Cell, Scale: m.Weight, UpSince: m.Since}}
	if e.Scale <= 0 {
		e.Scale = 1
	}
	switch m.State {
	case membership.Ready:
		e.State = choice.Ready
	case membership.Draining:
		e.State = choice.Draining
	}
	// The decisions never move a server between cells: in another cell it gets another name.
	firstCell, known := b.firstCells[m.Name]
	if !known && len(b.firstCells) < maxFirstCells {
		firstCell, known = m.Cell, true
		b.firstCells[m.Name] = firstCell
	}
	if !known || firstCell != m.Cell {
		e.id = fmt.Sprintf("%s~%d", m.Name, m.Cell)
	}
	if prev, seen := b.sent[m.Name]; e.UpSince == 0 && (now < b.settledAt || seen && prev.UpSince == startedLongAgo) {
		e.UpSince = startedLongAgo
	}
	e.ID = e.id
	return e
}

// Delta returns the entries for changed members. An entry equal to the one last sent is omitted.
func (b *ListBuilder) Delta(now membership.Micros, changed []membership.Member) (list []choice.Server, addrs targets.Addrs) {
	addrs = make(targets.Addrs)
	for _, m := range changed {
		prev, known := b.sent[m.Name]
		next := b.toEntry(now, m)
		if next.State == choice.Gone {
			delete(b.sent, m.Name)
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
		b.sent[m.Name] = next
		list = append(list, next.Server)
		addrs[next.id] = next.addrs
	}
	return list, addrs
}

// Full returns the entries of all members and records them as sent.
func (b *ListBuilder) Full(now membership.Micros, all []membership.Member) (list []choice.Server, addrs targets.Addrs) {
	addrs = make(targets.Addrs)
	for _, m := range all {
		if next := b.toEntry(now, m); next.State != choice.Gone {
			b.sent[m.Name] = next
			list = append(list, next.Server)
			addrs[next.id] = next.addrs
		}
	}
	return list, addrs
}

// ---- Reports and counters.

// Report is the state of the merge at one moment.
type Report struct {
	Ready, Draining, Withheld, Gone int
	Floor                           bool
	Changes, Damped, Refused        int64
	Skipped                         int64
	Sources                         []membership.SourceStatus
	Members                         []membership.Explanation
	More                            int // number of members omitted from Members
}

// Report returns the state of the merge: with an empty name for at most limit members, else
// for one server. It fails if the server is unknown.
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
			return nil, errors.New("no source has reported the server " + name + ", or its entry has expired")
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

// Counters passes the figures of the merge to the proxy's counters.
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

// List makes the platform's list a source of the merge. It implements targets.Receiver.
type List struct{ To Sink }

// ListName is the name of List in the merge.
const ListName = "list"

// UpdateList implements targets.Receiver.
func (l List) UpdateList(list choice.List, addrs targets.Addrs) {
	observation := membership.Observation{Source: ListName, Index: list.Version, Complete: list.Form != choice.Delta, Reset: list.Form == choice.Full}
	for _, server := range list.Servers {
		if server.State == choice.Gone {
			observation.Removed = append(observation.Removed, server.ID)
			continue
		}
		observation.Claims = append(observation.Claims, membership.Claim{Name: server.ID, Addresses: addrs[server.ID], Site: server.Zone, Kind: server.Kind, Cell: server.Cell, HasCell: true,
			Drain: server.State == choice.Draining, Weight: server.Scale, Since: server.UpSince})
	}
	l.To.Observe(observation)
}

// FetchFailed implements targets.Receiver.
func (l List) FetchFailed() {
	l.To.Observe(membership.Observation{Source: ListName, Failed: true})
}
