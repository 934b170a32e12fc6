// Package membership merges what several sources report about servers into the one
// list that routing decisions use. It owns the merge rule and, for every server, the
// reason for its state. It never does I/O or reads a clock, never lists a server that no
// source has named, and never delays a drain or lets an outdated answer revoke one.
//
// The rule (docs/design/membership.md discusses it). A source is responsive if it
// answered within its SilentAfter:
//
//	existence   the highest-ranked responsive source that has ever named a server
//	            decides. A lower-ranked source alone can add a server, but can't keep one
//	            that a higher-ranked source has dropped. If none of them is responsive,
//	            the last report of the highest-ranked one stays valid until that source
//	            has been unresponsive for ForgetAfter; after that it counts as never
//	            made.
//	identity    two names are one server if a source gives one as an alias of the other.
//	            One address reported under two names means two servers, unless
//	            Settings.ByAddress is set: then the higher-ranked source's name is used.
//	address     all addresses of the highest-ranked source that gives any and is not
//	            forgotten, even if it is unresponsive; never a mix of sources: a server
//	            that has moved may have left its old address to another server.
//	cell        all responsive sources must agree; while they do not, the server is
//	            withheld, because a part must not go to a cell that may not store its
//	            segment.
//	drain       any source may start one. A newer answer of the same source, or the
//	            removal of that source, revokes it. The time of the first report is kept,
//	            whatever the merged state is. A source that drops a server it had drained
//	            does not revoke the drain, because the other sources may not know of it
//	            yet. The drain ends when that source names the server again, when another
//	            source starts to name it, when another source reports a start after the
//	            drain, or SilentAfter plus ForgetAfter after the source dropped the
//	            server. A drain by an unresponsive source that still names the server
//	            ends when a responsive source reports a start after the drain.
//	health      critical at any responsive source withholds the server, unless a
//	            higher-ranked responsive source reports passing or warning.
//	start       the latest start in the claims of the sources that name the server and
//	            are not forgotten.
//	index       an answer with a lower index than the source's last one is ignored,
//	            unless the source reports that its index was reset.
//	flaps       each disappearance of a listed server adds to a penalty that decays
//	            exponentially; above a bound the server's next return is delayed. Its
//	            removal is never delayed.
//	floor       if one step would remove at least FloorMinServers and more than FloorShare
//	            of the listed servers, they stay until the removal has been reported
//	            for RemovalDelay; drains, and the removal of servers for which a drain
//	            is reported, are not delayed.
//	new         servers of an untrusted source wait for a confirmation: another source, or the
//	            same source again after ConfirmAfter. The first answer that names any server
//	            is trusted as it is: there is nothing to compare it with, and a proxy that
//	            starts needs servers.
package membership

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Micros is a clock reading or a duration in microseconds; the caller chooses the origin.
type Micros = int64

// Health is the state of a server's health checks as a source reports it.
type Health int

// The health values. Sources without health checks report Unknown. Warning counts as
// Passing.
const (
	Unknown Health = iota
	Passing
	Warning
	Critical
)

// State is the state of a server in the merged list.
type State int

// The states.
const (
	Ready State = iota
	Draining
	Withheld // named by a source, but not to be used
	Gone     // not in the list: dropped, or named by no source
)

// States are the names of the states, indexed by State.
var States = []string{"ready", "draining", "withheld", "gone"}

func (s State) String() string { return States[s] }

// Source describes a source and how far it is trusted.
type Source struct {
	Name        string
	Rank        int    // 0 is the highest
	SilentAfter Micros // without an answer for this long the source is unresponsive
	ForgetAfter Micros // unresponsive for this long, its reports are discarded; 0: never
	Trusted     bool   // its new servers need no confirmation
}

// Settings configures the merge.
type Settings struct {
	Sources         []Source
	ByAddress       bool    // one address is one server
	FloorShare      float64 // the floor applies if a step removes more than this share; 0 or 1: no floor
	FloorMinServers int     // and at least this many servers
	RemovalDelay    Micros  // how long the floor keeps the servers
	FlapHalfLife    Micros  // half-life of the flap penalty
	FlapSuppress    float64 // above this penalty a return is delayed
	FlapReuse       float64 // a delayed server returns once the penalty is at most this
	ConfirmAfter    Micros  // untrusted source: a repeated report after this time confirms a new server
	MaxServers      int     // new servers above this number are rejected and counted; 0: no limit
}

// Claim is what a source reports about one server.
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
	Since     Micros // start of the server; 0: long ago or unknown
}

// Observation is one answer of a source, or its failure to answer.
type Observation struct {
	Source   string
	Index    int64
	Complete bool // servers that are not listed are dropped
	Reset    bool // the source's index was reset
	Failed   bool // no answer was received; the rest is ignored and nothing is dropped
	Claims   []Claim
	Removed  []string // names that an incomplete answer drops
}

// Member is a server in the merged list.
type Member struct {
	Name        string
	State       State
	Reason      string // why the server is in this state
	Addresses   []string
	Site        string
	Kind        string
	Cell        int
	Weight      float64
	Since       Micros
	DrainSince  Micros `json:"DrainTold"` // when a source first reported the drain; 0: not draining
	Unconfirmed bool   `json:"New"`       // withheld until it is confirmed
}

// equal reports whether m and o are the same to routing decisions.
func (m *Member) equal(o *Member) bool {
	return m.State == o.State && m.Cell == o.Cell && m.Site == o.Site && m.Kind == o.Kind && m.Weight == o.Weight && m.Since == o.Since &&
		slices.Equal(m.Addresses, o.Addresses)
}

// source is the state of one source.
type source struct {
	Source
	index      int64
	answeredAt Micros  // time of the last answer; 0: never
	servers    int     // number of servers that it names
	lastState  [2]bool // responsive and forgotten, as of the last step
	Calls      int64   // answers and failures to answer
	Failed     int64   // failures to answer
	Old        int64   // answers with a lower index than the last one
}

// sourceClaim is the last claim of one source about one server.
type sourceClaim struct {
	Claim
	since      Micros // since when the source has named the server without interruption
	drainSince Micros // since when it has reported the drain; 0: no drain
	dropped    bool   // it named the server once and no longer does
	droppedAt  Micros
}

// server is a server with the claims of all sources about it and its merged state.
type server struct {
	name             string
	claims           []*sourceClaim // by index in Members.sources; nil: never named by that source
	member           Member
	listed           bool // ready or draining in the last returned list
	confirmed        bool
	penalty          float64
	penaltyAt        Micros // when penalty was last updated
	damped           bool   // its return waits until the penalty has decayed
	floorSince       Micros // since when the floor has kept it; 0: it does not
	dirty            bool
	dueAt            Micros   // when the passage of time next changes something; 0: never
	indexedAddresses []string // its keys in Members.byAddress
	aliases          []string // its keys in Members.alias
}

// Members is the merge. It is not safe for concurrent use.
type Members struct {
	settings    Settings
	sources     []*source // by rank
	byName      map[string]int
	servers     map[string]*server
	alias       map[string]string // other name to the server's name
	byAddress   map[string]string
	order       []string // sorted server names
	initialized bool     // some source has named a server
	dirty       []*server
	timed       map[*server]bool // servers with a dueAt
	listed      int              // number of servers that are ready or draining
	floorKept   int              // number of servers kept by the floor
	dueAt       Micros           // when the passage of time next changes something; 0: never

	FloorActive bool  // the floor is currently keeping servers
	Damped      int64 // returns delayed for flapping
	Rejected    int64 // claims of new servers above MaxServers
}

// New returns an empty merge.
func New(set Settings) (*Members, error) {
	m := &Members{settings: set, byName: make(map[string]int), servers: make(map[string]*server), alias: make(map[string]string), byAddress: make(map[string]string), timed: make(map[*server]bool)}
	return m, m.Configure(set)
}

// Configure replaces the settings. Claims of a source whose name remains are kept under
// its new rank; claims of removed sources are discarded. After an error nothing has
// changed.
func (m *Members) Configure(set Settings) error {
	if len(set.Sources) == 0 {
		return fmt.Errorf("no sources configured")
	}
	byName := make(map[string]int)
	var sources []*source
	for _, s := range set.Sources {
		n := &source{Source: s}
		if i, known := m.byName[s.Name]; known {
			previous := *m.sources[i]
			previous.Source = s
			n = &previous
		}
		sources = append(sources, n)
	}
	slices.SortStableFunc(sources, func(a, b *source) int { return cmp.Compare(a.Rank, b.Rank) })
	for i, s := range sources {
		if _, duplicate := byName[s.Name]; duplicate || s.Name == "" {
			return fmt.Errorf("source %q: duplicate or empty name", s.Name)
		}
		byName[s.Name] = i
	}
	for _, v := range m.servers {
		claims := make([]*sourceClaim, len(sources))
		for i, s := range m.sources {
			if to, stays := byName[s.Name]; stays {
				claims[to] = v.claims[i]
			}
		}
		v.claims = claims
		m.markDirty(v)
	}
	m.settings, m.sources, m.byName = set, sources, byName
	return nil
}

// Observe records an answer of a source. The next Step returns what changes. It returns
// an error if the source is not configured.
func (m *Members) Observe(now Micros, o Observation) error {
	n, known := m.byName[o.Source]
	if !known {
		return fmt.Errorf("unknown source %q", o.Source)
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

// canonical returns the name under which the server with this name or alias is stored.
func (m *Members) canonical(name string) string {
	if to, ok := m.alias[name]; ok {
		return to
	}
	return name
}

// findOrAdd returns the server that a claim of source n is about. It adds a new server, or
// returns nil if there are MaxServers already.
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
			if other, ok := m.byAddress[a]; ok && m.servers[other] != nil {
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
	i, _ := slices.BinarySearch(m.order, c.Name)
	m.order = slices.Insert(m.order, i, c.Name)
	for _, a := range c.Aliases {
		if m.servers[a] == nil {
			m.addAlias(v, a)
		}
	}
	return v
}

// maxAliases limits the other names, and the indexed addresses, of one server.
const maxAliases = 16

// addAlias makes a server known under another name too.
func (m *Members) addAlias(v *server, name string) {
	if m.alias[name] != "" || len(v.aliases) >= maxAliases {
		return
	}
	m.alias[name] = v.name
	v.aliases = append(v.aliases, name)
}

// recordClaim stores what source n reports about a server.
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
	case sameClaim(&w.Claim, &c): // complete answers mostly repeat known claims
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
			if m.byAddress[a] != v.name {
				m.byAddress[a] = v.name
				if v.indexedAddresses = append(v.indexedAddresses, a); len(v.indexedAddresses) > maxAliases { // bounds a server that keeps moving
					if m.byAddress[v.indexedAddresses[0]] == v.name {
						delete(m.byAddress, v.indexedAddresses[0])
					}
					v.indexedAddresses = slices.Delete(v.indexedAddresses, 0, 1)
				}
			}
		}
	}
	m.markDirty(v)
}

// sameClaim reports whether two claims are equal.
func sameClaim(a, b *Claim) bool {
	return a.Site == b.Site && a.Kind == b.Kind && a.Cell == b.Cell && a.HasCell == b.HasCell && a.Drain == b.Drain && a.Health == b.Health &&
		a.Weight == b.Weight && a.Since == b.Since && a.Name == b.Name && slices.Equal(a.Addresses, b.Addresses) && slices.Equal(a.Aliases, b.Aliases)
}

// recordDrop records that source n no longer names a server.
func (m *Members) recordDrop(now Micros, v *server, n int) {
	w := v.claims[n]
	w.dropped, w.droppedAt = true, now
	m.sources[n].servers--
	m.markDirty(v)
}

// markDirty schedules a server for the merge in the next Step.
func (m *Members) markDirty(v *server) {
	if !v.dirty {
		v.dirty = true
		m.dirty = append(m.dirty, v)
	}
}

// markTimeChanges marks the servers of sources that became responsive, unresponsive or
// forgotten, and the servers for which the passage of time changes something.
func (m *Members) markTimeChanges(now Micros) {
	var changed []int
	for i, s := range m.sources {
		if state := [2]bool{m.responsive(now, s), m.forgotten(now, s)}; state != s.lastState {
			s.lastState = state
			changed = append(changed, i)
		}
	}
	if len(changed) > 0 {
		for _, v := range m.servers {
			for _, i := range changed {
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

// responsive reports whether a source answered within its SilentAfter.
func (m *Members) responsive(now Micros, s *source) bool {
	return s.answeredAt > 0 && now-s.answeredAt < s.SilentAfter
}

// forgotten reports whether a source has been unresponsive for so long that its claims
// count as never made.
func (m *Members) forgotten(now Micros, s *source) bool {
	return s.answeredAt == 0 || s.ForgetAfter > 0 && now-s.answeredAt >= s.SilentAfter+s.ForgetAfter
}

// Step merges the answers since the last step and the effects of the passage of time.
// It returns the changed members, sorted by name; to a caller a member that was never
// returned counts as Gone.
func (m *Members) Step(now Micros) []Member {
	m.markTimeChanges(now)
	if !m.initialized && len(m.servers) > 0 { // in Step, so that the order of the first answers does not matter
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
		if isListed, wasListed := to.State <= Draining, was.State <= Draining; isListed && !wasListed {
			m.listed++
		} else if wasListed && !isListed {
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

// merge applies the rule to one server, except for the floor and flap damping, which
// need other servers or the previous state.
func (m *Members) merge(now Micros, v *server) Member {
	to := Member{Name: v.name, State: Gone, Reason: "no source names it", Cell: v.member.Cell, Weight: 1}
	decider := -1
	for i, s := range m.sources {
		if w := v.claims[i]; w == nil || m.forgotten(now, s) {
			continue
		} else if m.responsive(now, s) {
			decider = i
			break
		} else if decider < 0 {
			decider = i
		}
	}
	cell, cellSource := -1, ""
	criticalSource, passingRank := "", math.MaxInt
	hasAddress := false
	cellConflict := ""
	for i, s := range m.sources {
		w := v.claims[i]
		if w == nil || m.forgotten(now, s) {
			continue
		}
		responsive := m.responsive(now, s)
		if i == decider {
			if w.dropped {
				to.Reason = s.Name + " dropped it"
				if !responsive {
					to.Reason += " and is unresponsive now"
				}
			} else {
				to.State, to.Reason = Ready, s.Name+" names it"
				if !responsive {
					to.Reason = s.Name + " named it earlier and is unresponsive now"
				}
			}
		}
		if w.dropped {
			if w.drainSince > 0 && !m.drainLifted(now, v, i) && (to.DrainSince == 0 || w.drainSince < to.DrainSince) {
				to.DrainSince = w.drainSince
			}
			continue
		}
		if w.drainSince > 0 && (responsive || !m.startedAfter(now, v, w.drainSince)) && (to.DrainSince == 0 || w.drainSince < to.DrainSince) {
			to.DrainSince = w.drainSince
		}
		to.Since = max(to.Since, w.Since)
		if len(w.Addresses) > 0 && (!hasAddress || responsive && !m.hasHigherAddress(now, v, i)) {
			if !hasAddress {
				to.Addresses, to.Site, to.Kind = w.Addresses, w.Site, w.Kind
				if w.Weight > 0 {
					to.Weight = w.Weight
				}
			}
			hasAddress = true
		}
		if !responsive {
			continue
		}
		if w.HasCell {
			switch {
			case cell < 0:
				cell, cellSource = w.Cell, s.Name
			case cell != w.Cell && cellConflict == "":
				cellConflict = fmt.Sprintf("%s reports cell %d, %s reports cell %d", cellSource, cell, s.Name, w.Cell)
			}
		}
		switch w.Health {
		case Critical:
			if criticalSource == "" && passingRank > i {
				criticalSource = s.Name
			}
		case Passing, Warning:
			passingRank = min(passingRank, i)
		}
	}
	if cell < 0 { // only unresponsive sources give a cell
		for i, s := range m.sources {
			if w := v.claims[i]; w != nil && !w.dropped && w.HasCell && !m.forgotten(now, s) && cell < 0 {
				cell = w.Cell
			}
		}
	}
	if cell >= 0 {
		to.Cell = cell
	}
	if to.State == Gone {
		return to
	}
	switch {
	case cell < 0:
		to.State, to.Reason = Withheld, "no source gives its cell"
	case !hasAddress:
		to.State, to.Reason = Withheld, "no source gives its address"
	case cellConflict != "":
		to.State, to.Reason = Withheld, cellConflict
	case criticalSource != "":
		to.State, to.Reason = Withheld, criticalSource+" reports critical checks"
	case !m.confirmed(now, v):
		to.State, to.Reason, to.Unconfirmed = Withheld, "new and not confirmed yet", true
	case to.DrainSince > 0:
		to.State, to.Reason = Draining, "drain requested"
	}
	return to
}

// drainLifted reports whether a drain has ended that was reported by a source (by its
// index) that has dropped the server since.
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

// startedAfter reports whether a responsive source gives a start of the server after t.
func (m *Members) startedAfter(now Micros, v *server, t Micros) bool {
	for i, o := range v.claims {
		if o != nil && !o.dropped && o.Since > t && m.responsive(now, m.sources[i]) {
			return true
		}
	}
	return false
}

// hasHigherAddress reports whether a responsive source with an index less than below, so of
// a higher rank, gives addresses.
func (m *Members) hasHigherAddress(now Micros, v *server, below int) bool {
	for i := range below {
		if w := v.claims[i]; w != nil && !w.dropped && len(w.Addresses) > 0 && m.responsive(now, m.sources[i]) {
			return true
		}
	}
	return false
}

// confirmed reports whether a server is confirmed, and records it.
func (m *Members) confirmed(now Micros, v *server) bool {
	if v.confirmed {
		return true
	}
	namedBy := 0
	for i, s := range m.sources {
		w := v.claims[i]
		if w == nil || w.dropped || !m.responsive(now, s) {
			continue
		}
		namedBy++
		if s.Trusted || namedBy > 1 || s.answeredAt-w.since >= m.settings.ConfirmAfter {
			v.confirmed = true
		}
	}
	return v.confirmed
}

// Confirm confirms a new server independently of the sources: it answered a request.
func (m *Members) Confirm(name string) {
	if v := m.servers[m.canonical(name)]; v != nil && !v.confirmed {
		v.confirmed = true
		m.markDirty(v)
	}
}

// applyFloor prevents a mass disappearance from emptying the list: if too many servers
// would leave in one step, they stay as they are until their removal has been reported for
// RemovalDelay. next are the merged members of the servers in dirty; applyFloor replaces
// those that stay by their previous state.
func (m *Members) applyFloor(now Micros, dirty []*server, next []Member) {
	if m.settings.FloorShare <= 0 || m.settings.FloorShare >= 1 {
		return
	}
	listed, leaving := m.listed, m.floorKept
	wouldLeave := func(i int) bool {
		was := dirty[i].member.State
		return (was == Ready || was == Draining) && next[i].State > Draining && next[i].DrainSince == 0
	}
	for i, v := range dirty {
		switch {
		case wouldLeave(i) && v.floorSince == 0:
			leaving++
		case !wouldLeave(i) && v.floorSince > 0: // it is named again
			m.setFloorSince(v, 0)
			leaving--
		}
	}
	m.FloorActive = leaving >= max(m.settings.FloorMinServers, 1) && float64(leaving) > m.settings.FloorShare*float64(listed)
	for i, v := range dirty {
		if !wouldLeave(i) {
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
		next[i].Reason = fmt.Sprintf("%s; too many servers would leave at once: kept until that has been reported for %d s", reason, m.settings.RemovalDelay/1e6)
	}
}

// setFloorSince sets since when the floor has kept a server; 0: it does not.
func (m *Members) setFloorSince(v *server, at Micros) {
	switch {
	case v.floorSince == 0 && at > 0:
		m.floorKept++
	case v.floorSince > 0 && at == 0:
		m.floorKept--
	}
	v.floorSince = at
}

// negligiblePenalty is the penalty below which a server that is gone can be forgotten.
const negligiblePenalty = 0.1

// dampFlaps delays the return of a server that has disappeared too often: it changes to,
// the server's next state, to Withheld.
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
		to.State, to.Reason = Withheld, fmt.Sprintf("it comes and goes: withheld until it stays up (penalty %.1f, listed again at %.1f)", v.penalty, m.settings.FlapReuse)
		return
	}
	v.listed = true
}

// removeForgotten deletes the servers in dirty that no source names any more and whose flap
// penalty is negligible. For the others it computes when they are next due.
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
		for _, a := range v.indexedAddresses {
			if m.byAddress[a] == v.name {
				delete(m.byAddress, a)
			}
		}
	}
}

// schedule computes when the passage of time next changes something for a server.
func (m *Members) schedule(now Micros, v *server) {
	at := Micros(math.MaxInt64)
	consider := func(t Micros) {
		if t > now && t < at {
			at = t
		}
	}
	if v.floorSince > 0 {
		consider(v.floorSince + m.settings.RemovalDelay)
	}
	// The penalty halves every FlapHalfLife; this is when it reaches a value.
	considerDecay := func(to float64) { consider(now + Micros(float64(m.settings.FlapHalfLife)*math.Log2(v.penalty/to)) + 1) }
	if v.damped {
		considerDecay(m.settings.FlapReuse)
	}
	if v.penalty > negligiblePenalty && v.member.State == Gone {
		considerDecay(negligiblePenalty)
	}
	for i, w := range v.claims {
		if w != nil && w.dropped && w.drainSince > 0 {
			consider(w.droppedAt + m.sources[i].SilentAfter + m.sources[i].ForgetAfter)
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

// nextDue returns when the passage of time next changes something; 0: never.
func (m *Members) nextDue(now Micros) Micros {
	at := Micros(math.MaxInt64)
	consider := func(t Micros) {
		if t > now && t < at {
			at = t
		}
	}
	for _, s := range m.sources {
		if s.answeredAt > 0 {
			consider(s.answeredAt + s.SilentAfter)
			if s.ForgetAfter > 0 {
				consider(s.answeredAt + s.SilentAfter + s.ForgetAfter)
			}
		}
	}
	for v := range m.timed {
		consider(v.dueAt)
	}
	if at == math.MaxInt64 {
		return 0
	}
	return at
}

// Due returns when Step should be called next if no answer arrives before; 0: never.
func (m *Members) Due() Micros { return m.dueAt }

// SourceReport is what one source reports about a server.
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

// Explanation is a member with the reports that it is based on.
type Explanation struct {
	Member
	Penalty float64
	Reports []SourceReport `json:"Words"`
}

// Explain returns the state of a server and the reports that led to it; false if no server
// is known under this name or alias.
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

// All returns all members, sorted by name.
func (m *Members) All() []Member {
	out := make([]Member, 0, len(m.order))
	for _, name := range m.order {
		out = append(out, m.servers[name].member)
	}
	return out
}

// SourceStatus is the state of a source.
type SourceStatus struct {
	Name               string
	Responsive         bool   `json:"Heard"`
	Age                Micros // since its last answer; negative: there was none
	Index              int64
	Calls, Failed, Old int64 // all calls; those without an answer; answers ignored for a lower index
	Servers            int   // number of servers that the source names
}

// Sources returns the state of each source, by rank.
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
