// Package membership merges what several sources say of the trip nodes into the one
// list that the decisions get. It owns the rule, and for every server the reason why
// it stands as it does. It must never do I/O or read a clock, name a server that no
// source has named, undo a drain by older news, or delay one.
//
// The rule (docs/design/membership.md weighs it):
//
//	existence   the highest-ranked source that has ever named a server decides, among
//	            those that are heard; a lower one alone can add a server, not keep one
//	            that a higher one has dropped. Where none of them is heard, the last
//	            word of the highest-ranked one stands, until Forget; then it counts as
//	            never said.
//	identity    servers are one if a source gives the other's name as an alias; two
//	            sources that give one address to two names name two servers, unless
//	            Settings.ByAddress: then the higher-ranked one's name holds.
//	address     all of the highest-ranked source that is heard and gives any; never a
//	            mix: a server that has moved may have left its old address to another.
//	cell        all sources that are heard must agree; while they do not, the server is
//	            withheld: a part must not go where its segment may not be held.
//	drain       any source's word. It is lifted by newer news of the same source, or
//	            by that source's end. When it was first told by any is kept, whatever
//	            the merge says. A source that drops what it had drained does not lift
//	            that: the others may only not have heard of it. What does is a source
//	            that names the server anew, a later start, or the time after which the
//	            source would have been forgotten. Of a source that has fallen silent, a
//	            later start that one tells who is heard does.
//	soundness   critical by any source that is heard: withheld, unless a higher-ranked
//	            source that is heard says passing.
//	start       the latest that any heard source tells.
//	older news  of a source, by its index, counts for nothing, unless the source says
//	            that its index has begun anew.
//	flaps       each return of a server that had gone costs it a penalty that halves
//	            with time; above a bound its next return waits. Its leaving never does.
//	floor       where a step would take more than a share of what was listed, those
//	            stay, until a source that is heard has said so for a while; drains are
//	            not held up.
//	new ones    of a source that is not trusted wait for a first sign: another source,
//	            or the same source again after a while. The first answer that names any
//	            server at all is believed as it is: there is nothing to set it beside,
//	            and a mixer that starts must have somebody to ask.
package membership

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Micros is a clock reading or a span in microseconds; the origin is the caller's.
type Micros = int64

// Health is what a source says of a server's checks.
type Health int

// The healths. Unknown is a source without checks.
const (
	Unknown Health = iota
	Passing
	Warning
	Critical
)

// State is how a server stands in the merged list.
type State int

// The states.
const (
	Ready State = iota
	Draining
	Withheld // named, and not to be used
	Gone
)

// States are their names.
var States = []string{"ready", "draining", "withheld", "gone"}

func (s State) String() string { return States[s] }

// Source is one source and how far it is believed.
type Source struct {
	Name        string
	Rank        int    // 0 is the highest
	SilentAfter Micros // without an answer for so long it is not heard
	ForgetAfter Micros // silent for so long, what it said is forgotten; 0: never
	Trusted     bool   // its new servers need no sign
}

// Settings are the bounds of the merge.
type Settings struct {
	Sources         []Source
	ByAddress       bool    // one address is one server
	FloorShare      float64 // a step that takes more than this share away is doubted; 0 or 1: none is
	FloorMinServers int     // and takes so many servers at least
	RemovalDelay    Micros  // until it is believed
	FlapHalfLife    Micros  // the penalty halves in
	FlapSuppress    float64 // returns wait above
	FlapReuse       float64 // until below
	ConfirmAfter    Micros  // untrusted: the same source again, so much later
	MaxServers      int     // beyond, new ones are not taken, and that is counted; 0: no bound
}

// Claim is what a source says of one server.
type Claim struct {
	Name      string
	Aliases   []string // other names of the same server
	Addresses []string
	Site      string
	Kind      string
	Cell      int
	HasCell   bool
	Drain     bool
	Health    Health
	Weight    float64
	Since     Micros // its start; 0: long ago or not known
}

// Observation is one answer of a source.
type Observation struct {
	Source   string
	Index    int64
	Complete bool // what is left out is dropped
	Reset    bool // the source's index has begun anew
	Failed   bool // no answer came: nothing is said, not even that it is empty
	Claims   []Claim
	Removed  []string // of an answer that is not whole
}

// Member is a server as the merge has it.
type Member struct {
	Name        string
	State       State
	Reason      string // why it stands so
	Addresses   []string
	Site        string
	Kind        string
	Cell        int
	Weight      float64
	Since       Micros
	DrainSince  Micros `json:"DrainTold"` // when the first source told; 0: none does
	Unconfirmed bool   `json:"New"`       // withheld for want of a first sign
}

// equal tells whether two say the same to the decisions.
func (m *Member) equal(o *Member) bool {
	return m.State == o.State && m.Cell == o.Cell && m.Site == o.Site && m.Kind == o.Kind && m.Weight == o.Weight && m.Since == o.Since &&
		slices.Equal(m.Addresses, o.Addresses)
}

// source is what is held of a source.
type source struct {
	Source
	index      int64
	answeredAt Micros  // the last answer; 0: never
	servers    int     // servers that it names
	lastState  [2]bool // heard, forgotten: at the last step
	Calls      int64
	Failed     int64
	Old        int64 // answers that were older than what is held
}

// said is a source's word on a server.
type sourceClaim struct {
	Claim
	since      Micros // since when it says so without a break
	drainSince Micros // since when it says drain; 0: it does not
	dropped    bool   // it named it once, and does no more
	droppedAt  Micros // since when
}

type server struct {
	name         string
	claims       []*sourceClaim // by the source's number; nil: it never named it
	member       Member
	listed       bool // ready or draining in the list that is out
	firstNamedAt Micros
	confirmed    bool // it has had its first sign
	penalty      float64
	penaltyAt    Micros // when the penalty was counted
	damped       bool   // for its penalty to fade
	floorSince   Micros // it would have gone since then, and the floor keeps it; 0: not
	dirty        bool
	dueAt        Micros   // when time alone changes something for it; 0: never
	addrs        []string // under which byAddr has it
	aliases      []string // under which alias has it
}

// Members is the merge. It is not safe for concurrent use.
type Members struct {
	settings    Settings
	sources     []*source // by rank
	byName      map[string]int
	servers     map[string]*server
	alias       map[string]string // another name: the server's
	byAddr      map[string]string
	order       []string // names, sorted
	initialized bool     // some source has named a server
	dirty       []*server
	timed       map[*server]bool // have a dueAt
	listed      int              // ready or draining
	floorKept   int              // kept by the floor
	dueAt       Micros           // when time alone changes something next; 0: never

	FloorActive bool  // the floor holds now
	Damped      int64 // returns that waited
	Rejected    int64 // servers beyond the bound
}

// New returns a merge that knows nothing.
func New(set Settings) (*Members, error) {
	m := &Members{settings: set, byName: make(map[string]int), servers: make(map[string]*server), alias: make(map[string]string), byAddr: make(map[string]string), timed: make(map[*server]bool)}
	return m, m.Configure(set)
}

// Configure takes other settings. What a source of the same name said stands, under
// its new rank; what others said is forgotten. After an error nothing has changed.
func (m *Members) Configure(set Settings) error {
	if len(set.Sources) == 0 {
		return fmt.Errorf("no source")
	}
	byName := make(map[string]int)
	var sources []*source
	for _, s := range set.Sources {
		n := &source{Source: s}
		if i, known := m.byName[s.Name]; known {
			kept := *m.sources[i]
			kept.Source = s
			n = &kept
		}
		sources = append(sources, n)
	}
	slices.SortStableFunc(sources, func(a, b *source) int { return cmp.Compare(a.Rank, b.Rank) })
	for i, s := range sources {
		if _, twice := byName[s.Name]; twice || s.Name == "" {
			return fmt.Errorf("source %q: named twice, or without a name", s.Name)
		}
		byName[s.Name] = i
	}
	for _, v := range m.servers {
		now := make([]*sourceClaim, len(sources))
		for i, s := range m.sources {
			if to, stays := byName[s.Name]; stays {
				now[to] = v.claims[i]
			}
		}
		v.claims = now
		m.markDirty(v)
	}
	m.settings, m.sources, m.byName = set, sources, byName
	return nil
}

// Observe takes an answer of a source. Step then says what changes.
func (m *Members) Observe(now Micros, o Observation) error {
	n, known := m.byName[o.Source]
	if !known {
		return fmt.Errorf("there is no source %q", o.Source)
	}
	s := m.sources[n]
	s.Calls++
	if o.Failed {
		s.Failed++
		return nil
	}
	if o.Index < s.index && !o.Reset && s.answeredAt > 0 {
		s.Old++
		return nil
	}
	s.index, s.answeredAt = o.Index, now
	named := make(map[string]bool, len(o.Claims))
	for _, c := range o.Claims {
		if v := m.findOrAdd(c, n); v != nil {
			named[v.name] = true
			m.recordClaim(now, v, n, c)
		}
	}
	if o.Complete {
		for _, v := range m.servers {
			if w := v.claims[n]; w != nil && !w.dropped && !named[v.name] {
				m.recordDrop(now, v, n)
			}
		}
	}
	for _, name := range o.Removed {
		if v := m.servers[m.canonical(name)]; v != nil && v.claims[n] != nil && !v.claims[n].dropped && !named[v.name] {
			m.recordDrop(now, v, n)
		}
	}
	return nil
}

func (m *Members) canonical(name string) string {
	if to, ok := m.alias[name]; ok {
		return to
	}
	return name
}

// find is the server that a claim is of; a new one is made where there is room.
func (m *Members) findOrAdd(c Claim, n int) *server {
	name := m.canonical(c.Name)
	v := m.servers[name]
	if v == nil {
		for _, a := range c.Aliases {
			if v = m.servers[m.canonical(a)]; v != nil {
				m.addAlias(v, c.Name)
				break
			}
		}
	}
	if v == nil && m.settings.ByAddress {
		for _, a := range c.Addresses {
			if other, ok := m.byAddr[a]; ok && m.servers[other] != nil {
				v = m.servers[other]
				m.addAlias(v, c.Name)
				break
			}
		}
	}
	if v != nil {
		return v
	}
	if m.settings.MaxServers > 0 && len(m.servers) >= m.settings.MaxServers {
		m.Rejected++
		return nil
	}
	v = &server{name: c.Name, claims: make([]*sourceClaim, len(m.sources)), member: Member{Name: c.Name, State: Gone}}
	m.servers[c.Name] = v
	at, _ := slices.BinarySearch(m.order, c.Name)
	m.order = slices.Insert(m.order, at, c.Name)
	for _, a := range c.Aliases {
		if m.servers[a] == nil {
			m.addAlias(v, a)
		}
	}
	return v
}

// mostAliases bounds the names under which one server is known.
const maxAliases = 16

// also has a server known under another name too.
func (m *Members) addAlias(v *server, name string) {
	if m.alias[name] != "" || len(v.aliases) >= maxAliases {
		return
	}
	m.alias[name] = v.name
	v.aliases = append(v.aliases, name)
}

func (m *Members) recordClaim(now Micros, v *server, n int, c Claim) {
	w := v.claims[n]
	switch {
	case w == nil:
		w = &sourceClaim{since: now}
		v.claims[n] = w
		m.sources[n].servers++
	case w.dropped:
		w.since, w.dropped, w.drainSince = now, false, 0
		m.sources[n].servers++
	case sameClaim(&w.Claim, &c): // nothing new: a whole answer says most things again
		if !v.confirmed {
			m.markDirty(v)
		}
		return
	}
	switch {
	case !c.Drain:
		w.drainSince = 0
	case w.drainSince == 0:
		w.drainSince = max(now, 1)
	}
	w.Claim = c
	if m.settings.ByAddress {
		for _, a := range c.Addresses {
			if m.byAddr[a] != v.name {
				m.byAddr[a] = v.name
				if v.addrs = append(v.addrs, a); len(v.addrs) > maxAliases { // one that moves on and on
					if m.byAddr[v.addrs[0]] == v.name {
						delete(m.byAddr, v.addrs[0])
					}
					v.addrs = slices.Delete(v.addrs, 0, 1)
				}
			}
		}
	}
	if v.firstNamedAt == 0 {
		v.firstNamedAt = max(now, 1)
	}
	m.markDirty(v)
}

// same tells whether two claims say the same.
func sameClaim(a, b *Claim) bool {
	return a.Site == b.Site && a.Kind == b.Kind && a.Cell == b.Cell && a.HasCell == b.HasCell && a.Drain == b.Drain && a.Health == b.Health &&
		a.Weight == b.Weight && a.Since == b.Since && a.Name == b.Name && slices.Equal(a.Addresses, b.Addresses) && slices.Equal(a.Aliases, b.Aliases)
}

func (m *Members) recordDrop(now Micros, v *server, n int) {
	w := v.claims[n]
	w.dropped, w.droppedAt = true, now
	m.sources[n].servers--
	m.markDirty(v)
}

func (m *Members) markDirty(v *server) {
	if !v.dirty {
		v.dirty = true
		m.dirty = append(m.dirty, v)
	}
}

// turned has the servers of sources that have begun or ceased to be heard looked at
// anew, and those for which time has changed something.
func (m *Members) markTimeChanges(now Micros) {
	var turned []int
	for i, s := range m.sources {
		if is := [2]bool{m.responsive(now, s), m.forgotten(now, s)}; is != s.lastState {
			s.lastState = is
			turned = append(turned, i)
		}
	}
	if len(turned) > 0 {
		for _, v := range m.servers {
			for _, i := range turned {
				if v.claims[i] != nil {
					m.markDirty(v)
				}
			}
		}
	}
	for v := range m.timed {
		if now >= v.dueAt {
			m.markDirty(v)
		}
	}
}

// heard tells whether a source counts as heard.
func (m *Members) responsive(now Micros, s *source) bool {
	return s.answeredAt > 0 && now-s.answeredAt < s.SilentAfter
}

// forgotten tells whether a source has been silent for so long that what it said
// counts as never said.
func (m *Members) forgotten(now Micros, s *source) bool {
	return s.answeredAt == 0 || s.ForgetAfter > 0 && now-s.answeredAt >= s.SilentAfter+s.ForgetAfter
}

// Step merges what has come since the last one, and what time alone has changed. It
// returns the members that changed, by name; a caller that never saw one has it Gone.
func (m *Members) Step(now Micros) []Member {
	m.markTimeChanges(now)
	if !m.initialized && len(m.servers) > 0 { // in a step, so that the order of answers does not matter
		m.initialized = true
		for _, v := range m.servers {
			v.confirmed = true
		}
	}
	dirty := m.dirty
	m.dirty = nil
	slices.SortFunc(dirty, func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	next := make([]Member, len(dirty))
	for i, v := range dirty {
		v.dirty = false
		next[i] = m.merge(now, v)
	}
	m.applyFloor(now, dirty, next)
	var out []Member
	for i, v := range dirty {
		to := next[i]
		m.dampFlaps(now, v, &to)
		was := v.member
		v.member = to
		if is, had := to.State <= Draining, was.State <= Draining; is && !had {
			m.listed++
		} else if had && !is {
			m.listed--
		}
		if !was.equal(&to) {
			out = append(out, to)
		}
	}
	m.removeForgotten(now, dirty)
	m.dueAt = m.nextDue(now)
	return out
}

// merge is the rule, but for floor and flaps, which look at more than one server or
// at what was before.
func (m *Members) merge(now Micros, v *server) Member {
	to := Member{Name: v.name, State: Gone, Reason: "no source names it", Cell: v.member.Cell, Weight: 1}
	decides := -1
	for i, s := range m.sources {
		if w := v.claims[i]; w == nil || m.forgotten(now, s) {
			continue
		} else if m.responsive(now, s) {
			decides = i
			break
		} else if decides < 0 {
			decides = i
		}
	}
	cells, cellBy := -1, ""
	critical, passing := "", math.MaxInt
	addressed := false
	disagree := ""
	for i, s := range m.sources {
		w := v.claims[i]
		if w == nil || m.forgotten(now, s) {
			continue
		}
		heard := m.responsive(now, s)
		if i == decides {
			if w.dropped {
				to.Reason = s.Name + " has dropped it"
				if !heard {
					to.Reason += ", and is silent since"
				}
			} else {
				to.State, to.Reason = Ready, s.Name+" names it"
				if !heard {
					to.Reason = s.Name + " named it, and is silent since"
				}
			}
		}
		if w.dropped {
			if w.drainSince > 0 && !m.drainLifted(now, v, i) && (to.DrainSince == 0 || w.drainSince < to.DrainSince) {
				to.DrainSince = w.drainSince
			}
			continue
		}
		if w.drainSince > 0 && (heard || !m.startedAfter(now, v, w.drainSince)) && (to.DrainSince == 0 || w.drainSince < to.DrainSince) {
			to.DrainSince = w.drainSince
		}
		to.Since = max(to.Since, w.Since)
		if len(w.Addresses) > 0 && (!addressed || heard && !m.hasHigherAddress(now, v, i)) {
			if !addressed {
				to.Addresses, to.Site, to.Kind = w.Addresses, w.Site, w.Kind
				if w.Weight > 0 {
					to.Weight = w.Weight
				}
			}
			addressed = true
		}
		if !heard {
			continue
		}
		if w.HasCell {
			switch {
			case cells < 0:
				cells, cellBy = w.Cell, s.Name
			case cells != w.Cell && disagree == "":
				disagree = fmt.Sprintf("%s says cell %d, %s cell %d", cellBy, cells, s.Name, w.Cell)
			}
		}
		switch w.Health {
		case Critical:
			if critical == "" && passing > i {
				critical = s.Name
			}
		case Passing, Warning:
			passing = min(passing, i)
		}
	}
	if cells < 0 { // only sources that are silent tell one
		for i, s := range m.sources {
			if w := v.claims[i]; w != nil && !w.dropped && w.HasCell && !m.forgotten(now, s) && cells < 0 {
				cells = w.Cell
			}
		}
	}
	if cells >= 0 {
		to.Cell = cells
	}
	if to.State == Gone {
		return to
	}
	switch {
	case cells < 0:
		to.State, to.Reason = Withheld, "no source tells its cell"
	case !addressed:
		to.State, to.Reason = Withheld, "no source tells its address"
	case disagree != "":
		to.State, to.Reason = Withheld, disagree
	case critical != "":
		to.State, to.Reason = Withheld, critical+" says that its checks are critical"
	case !m.confirmed(now, v):
		to.State, to.Reason, to.Unconfirmed = Withheld, "new, and without a first sign", true
	case to.DrainSince > 0:
		to.State, to.Reason = Draining, "told to drain"
	}
	return to
}

// lifted tells whether the drain of a server that its source has dropped since holds
// no more.
func (m *Members) drainLifted(now Micros, v *server, by int) bool {
	w, s := v.claims[by], m.sources[by]
	if now-w.droppedAt >= s.SilentAfter+s.ForgetAfter {
		return true
	}
	for i, o := range v.claims {
		if i != by && o != nil && !o.dropped && (o.since > w.droppedAt || o.Since > w.drainSince) {
			return true
		}
	}
	return false
}

// later tells whether a source that is heard says that a server started after a time.
func (m *Members) startedAfter(now Micros, v *server, than Micros) bool {
	for i, o := range v.claims {
		if o != nil && !o.dropped && o.Since > than && m.responsive(now, m.sources[i]) {
			return true
		}
	}
	return false
}

// addressedBy tells whether a higher-ranked source that is heard gives addresses.
func (m *Members) hasHigherAddress(now Micros, v *server, below int) bool {
	for i := range below {
		if w := v.claims[i]; w != nil && !w.dropped && len(w.Addresses) > 0 && m.responsive(now, m.sources[i]) {
			return true
		}
	}
	return false
}

// proven tells whether a server has had its first sign.
func (m *Members) confirmed(now Micros, v *server) bool {
	if v.confirmed {
		return true
	}
	by := 0
	for i, s := range m.sources {
		w := v.claims[i]
		if w == nil || w.dropped || !m.responsive(now, s) {
			continue
		}
		by++
		if s.Trusted || by > 1 || s.answeredAt-w.since >= m.settings.ConfirmAfter {
			v.confirmed = true
		}
	}
	return v.confirmed
}

// Sign is a first sign from elsewhere: the server has answered.
func (m *Members) Confirm(name string) {
	if v := m.servers[m.canonical(name)]; v != nil && !v.confirmed {
		v.confirmed = true
		m.markDirty(v)
	}
}

// floor keeps a mass disappearance from emptying the list: those that would go at
// once stay as they are until that has been said for Believe.
func (m *Members) applyFloor(now Micros, dirty []*server, next []Member) {
	if m.settings.FloorShare <= 0 || m.settings.FloorShare >= 1 {
		return
	}
	listed, going := m.listed, m.floorKept
	leaves := func(i int) bool {
		was := dirty[i].member.State
		return (was == Ready || was == Draining) && next[i].State > Draining && next[i].DrainSince == 0
	}
	for i, v := range dirty {
		switch {
		case leaves(i) && v.floorSince == 0:
			going++
		case !leaves(i) && v.floorSince > 0: // it is named again
			m.setFloorSince(v, 0)
			going--
		}
	}
	m.FloorActive = going >= max(m.settings.FloorMinServers, 1) && float64(going) > m.settings.FloorShare*float64(listed)
	for i, v := range dirty {
		if !leaves(i) {
			continue
		}
		if v.floorSince == 0 && !m.FloorActive {
			continue
		}
		if v.floorSince == 0 {
			m.setFloorSince(v, max(now, 1))
		}
		if now-v.floorSince >= m.settings.RemovalDelay || !m.FloorActive {
			m.setFloorSince(v, 0)
			continue
		}
		reason := next[i].Reason
		next[i] = v.member
		next[i].Reason = fmt.Sprintf("%s; too many go at once, so it is kept until that has been said for %d s", reason, m.settings.RemovalDelay/1e6)
	}
}

// hold notes since when the floor keeps a server; 0: it does not.
func (m *Members) setFloorSince(v *server, at Micros) {
	switch {
	case v.floorSince == 0 && at > 0:
		m.floorKept++
	case v.floorSince > 0 && at == 0:
		m.floorKept--
	}
	v.floorSince = at
}

// faded is a penalty that is as good as none: a server that is gone is remembered
// for it no longer.
const negligiblePenalty = 0.1

// flap holds a return back while a server has come and gone too often.
func (m *Members) dampFlaps(now Micros, v *server, to *Member) {
	if m.settings.FlapHalfLife <= 0 || m.settings.FlapSuppress <= 0 {
		return
	}
	v.penalty *= math.Exp2(-float64(now-v.penaltyAt) / float64(m.settings.FlapHalfLife))
	v.penaltyAt = now
	up := to.State == Ready || to.State == Draining
	if !up {
		if v.listed {
			v.penalty++
		}
		v.listed, v.damped = false, false
		return
	}
	if !v.listed && !v.damped && v.penalty > m.settings.FlapSuppress {
		v.damped = true
		m.Damped++
	}
	if v.damped && v.penalty <= m.settings.FlapReuse {
		v.damped = false
	}
	if v.damped {
		to.State, to.Reason = Withheld, fmt.Sprintf("it comes and goes: kept back until it stays (penalty %.1f, back at %.1f)", v.penalty, m.settings.FlapReuse)
		return
	}
	v.listed = true
}

// forget lets go of servers that no source names any more.
func (m *Members) removeForgotten(now Micros, dirty []*server) {
	for _, v := range dirty {
		if v.member.State != Gone || v.floorSince > 0 {
			m.schedule(now, v)
			continue
		}
		keep := v.penalty > negligiblePenalty && m.settings.FlapHalfLife > 0
		for i, s := range m.sources {
			w := v.claims[i]
			keep = keep || w != nil && !w.dropped && !m.forgotten(now, s)
		}
		if keep {
			m.schedule(now, v)
			continue
		}
		for i, w := range v.claims {
			if w != nil && !w.dropped {
				m.sources[i].servers--
			}
		}
		delete(m.timed, v)
		delete(m.servers, v.name)
		if at, ok := slices.BinarySearch(m.order, v.name); ok {
			m.order = slices.Delete(m.order, at, at+1)
		}
		for _, a := range v.aliases {
			if m.alias[a] == v.name {
				delete(m.alias, a)
			}
		}
		for _, a := range v.addrs {
			if m.byAddr[a] == v.name {
				delete(m.byAddr, a)
			}
		}
	}
}

// time notes when time alone changes something for a server.
func (m *Members) schedule(now Micros, v *server) {
	at := Micros(math.MaxInt64)
	soon := func(t Micros) {
		if t > now && t < at {
			at = t
		}
	}
	if v.floorSince > 0 {
		soon(v.floorSince + m.settings.RemovalDelay)
	}
	// The penalty halves in FlapHalf: it is at a value after so long.
	fades := func(to float64) { soon(now + Micros(float64(m.settings.FlapHalfLife)*math.Log2(v.penalty/to)) + 1) }
	if v.damped {
		fades(m.settings.FlapReuse)
	}
	if v.penalty > negligiblePenalty && v.member.State == Gone {
		fades(negligiblePenalty)
	}
	for i, w := range v.claims {
		if w != nil && w.dropped && w.drainSince > 0 {
			soon(w.droppedAt + m.sources[i].SilentAfter + m.sources[i].ForgetAfter)
		}
	}
	if at == math.MaxInt64 {
		v.dueAt = 0
		delete(m.timed, v)
		return
	}
	v.dueAt = at
	m.timed[v] = true
}

// due is when time alone changes something next.
func (m *Members) nextDue(now Micros) Micros {
	at := Micros(math.MaxInt64)
	soon := func(t Micros) {
		if t > now && t < at {
			at = t
		}
	}
	for _, s := range m.sources {
		if s.answeredAt > 0 {
			soon(s.answeredAt + s.SilentAfter)
			if s.ForgetAfter > 0 {
				soon(s.answeredAt + s.SilentAfter + s.ForgetAfter)
			}
		}
	}
	for v := range m.timed {
		soon(v.dueAt)
	}
	if at == math.MaxInt64 {
		return 0
	}
	return at
}

// Due is when Step should be called next though nothing comes in; 0: never.
func (m *Members) Due() Micros { return m.dueAt }

// Word is what one source says of a server.
type SourceReport struct {
	Source     string
	Responsive bool   `json:"Heard"`
	Age        Micros // since its last answer
	Dropped    bool
	Drain      bool
	Health     Health
	Addresses  []string
	Cell       int
	HasCell    bool
}

// Belief is a member with what it rests on.
type Explanation struct {
	Member
	Penalty float64
	Reports []SourceReport `json:"Words"`
}

// Explain tells what is believed of a server, and why; false: nobody ever named it.
func (m *Members) Explain(now Micros, name string) (Explanation, bool) {
	v := m.servers[m.canonical(name)]
	if v == nil {
		return Explanation{}, false
	}
	b := Explanation{Member: v.member, Penalty: v.penalty}
	for i, s := range m.sources {
		if w := v.claims[i]; w != nil {
			b.Reports = append(b.Reports, SourceReport{Source: s.Name, Responsive: m.responsive(now, s), Age: now - s.answeredAt, Dropped: w.dropped, Drain: w.drainSince > 0,
				Health: w.Health, Addresses: w.Addresses, Cell: w.Cell, HasCell: w.HasCell})
		}
	}
	return b, true
}

// All are the members by name.
func (m *Members) All() []Member {
	out := make([]Member, 0, len(m.order))
	for _, name := range m.order {
		out = append(out, m.servers[name].member)
	}
	return out
}

// Told is a source's standing.
type SourceStatus struct {
	Name               string
	Responsive         bool   `json:"Heard"`
	Age                Micros // since its last answer; below 0: there was none
	Index              int64
	Calls, Failed, Old int64
	Servers            int
}

// Sources are the sources' standings, by rank.
func (m *Members) Sources(now Micros) []SourceStatus {
	var out []SourceStatus
	for _, s := range m.sources {
		t := SourceStatus{Name: s.Name, Responsive: m.responsive(now, s), Age: -1, Index: s.index, Calls: s.Calls, Failed: s.Failed, Old: s.Old}
		if s.answeredAt > 0 {
			t.Age = now - s.answeredAt
		}
		t.Servers = s.servers
		out = append(out, t)
	}
	return out
}
