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
	index   int64
	heardAt Micros  // the last answer; 0: never
	count   int     // servers that it names
	was     [2]bool // heard, forgotten: at the last step
	Calls   int64
	Failed  int64
	Old     int64 // answers that were older than what is held
}

// said is a source's word on a server.
type said struct {
	Claim
	at      Micros // since when it says so without a break
	drainAt Micros // since when it says drain; 0: it does not
	dropped bool   // it named it once, and does no more
	goneAt  Micros // since when
}

type server struct {
	name     string
	said     []*said // by the source's number; nil: it never named it
	member   Member
	listed   bool // ready or draining in the list that is out
	firstAt  Micros
	proven   bool // it has had its first sign
	penalty  float64
	penaltyA Micros // when the penalty was counted
	waiting  bool   // for its penalty to fade
	heldAt   Micros // it would have gone since then, and the floor keeps it; 0: not
	dirty    bool
	dueAt    Micros   // when time alone changes something for it; 0: never
	addrs    []string // under which byAddr has it
	aliases  []string // under which alias has it
}

// Members is the merge. It is not safe for concurrent use.
type Members struct {
	set     Settings
	sources []*source // by rank
	byName  map[string]int
	servers map[string]*server
	alias   map[string]string // another name: the server's
	byAddr  map[string]string
	order   []string // names, sorted
	begun   bool     // some source has named a server
	dirty   []*server
	timed   map[*server]bool // have a dueAt
	listed  int              // ready or draining
	held    int              // kept by the floor
	dueAt   Micros           // when time alone changes something next; 0: never

	FloorActive bool  // the floor holds now
	Damped      int64 // returns that waited
	Rejected    int64 // servers beyond the bound
}

// New returns a merge that knows nothing.
func New(set Settings) (*Members, error) {
	m := &Members{set: set, byName: make(map[string]int), servers: make(map[string]*server), alias: make(map[string]string), byAddr: make(map[string]string), timed: make(map[*server]bool)}
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
		now := make([]*said, len(sources))
		for i, s := range m.sources {
			if to, stays := byName[s.Name]; stays {
				now[to] = v.said[i]
			}
		}
		v.said = now
		m.touch(v)
	}
	m.set, m.sources, m.byName = set, sources, byName
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
	if o.Index < s.index && !o.Reset && s.heardAt > 0 {
		s.Old++
		return nil
	}
	s.index, s.heardAt = o.Index, now
	named := make(map[string]bool, len(o.Claims))
	for _, c := range o.Claims {
		if v := m.find(c, n); v != nil {
			named[v.name] = true
			m.claim(now, v, n, c)
		}
	}
	if o.Complete {
		for _, v := range m.servers {
			if w := v.said[n]; w != nil && !w.dropped && !named[v.name] {
				m.drop(now, v, n)
			}
		}
	}
	for _, name := range o.Removed {
		if v := m.servers[m.canonical(name)]; v != nil && v.said[n] != nil && !v.said[n].dropped && !named[v.name] {
			m.drop(now, v, n)
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
func (m *Members) find(c Claim, n int) *server {
	name := m.canonical(c.Name)
	v := m.servers[name]
	if v == nil {
		for _, a := range c.Aliases {
			if v = m.servers[m.canonical(a)]; v != nil {
				m.also(v, c.Name)
				break
			}
		}
	}
	if v == nil && m.set.ByAddress {
		for _, a := range c.Addresses {
			if other, ok := m.byAddr[a]; ok && m.servers[other] != nil {
				v = m.servers[other]
				m.also(v, c.Name)
				break
			}
		}
	}
	if v != nil {
		return v
	}
	if m.set.MaxServers > 0 && len(m.servers) >= m.set.MaxServers {
		m.Rejected++
		return nil
	}
	v = &server{name: c.Name, said: make([]*said, len(m.sources)), member: Member{Name: c.Name, State: Gone}}
	m.servers[c.Name] = v
	at, _ := slices.BinarySearch(m.order, c.Name)
	m.order = slices.Insert(m.order, at, c.Name)
	for _, a := range c.Aliases {
		if m.servers[a] == nil {
			m.also(v, a)
		}
	}
	return v
}

// mostAliases bounds the names under which one server is known.
const mostAliases = 16

// also has a server known under another name too.
func (m *Members) also(v *server, name string) {
	if m.alias[name] != "" || len(v.aliases) >= mostAliases {
		return
	}
	m.alias[name] = v.name
	v.aliases = append(v.aliases, name)
}

func (m *Members) claim(now Micros, v *server, n int, c Claim) {
	w := v.said[n]
	switch {
	case w == nil:
		w = &said{at: now}
		v.said[n] = w
		m.sources[n].count++
	case w.dropped:
		w.at, w.dropped, w.drainAt = now, false, 0
		m.sources[n].count++
	case same(&w.Claim, &c): // nothing new: a whole answer says most things again
		if !v.proven {
			m.touch(v)
		}
		return
	}
	switch {
	case !c.Drain:
		w.drainAt = 0
	case w.drainAt == 0:
		w.drainAt = max(now, 1)
	}
	w.Claim = c
	if m.set.ByAddress {
		for _, a := range c.Addresses {
			if m.byAddr[a] != v.name {
				m.byAddr[a] = v.name
				if v.addrs = append(v.addrs, a); len(v.addrs) > mostAliases { // one that moves on and on
					if m.byAddr[v.addrs[0]] == v.name {
						delete(m.byAddr, v.addrs[0])
					}
					v.addrs = slices.Delete(v.addrs, 0, 1)
				}
			}
		}
	}
	if v.firstAt == 0 {
		v.firstAt = max(now, 1)
	}
	m.touch(v)
}

// same tells whether two claims say the same.
func same(a, b *Claim) bool {
	return a.Site == b.Site && a.Kind == b.Kind && a.Cell == b.Cell && a.HasCell == b.HasCell && a.Drain == b.Drain && a.Health == b.Health &&
		a.Weight == b.Weight && a.Since == b.Since && a.Name == b.Name && slices.Equal(a.Addresses, b.Addresses) && slices.Equal(a.Aliases, b.Aliases)
}

func (m *Members) drop(now Micros, v *server, n int) {
	w := v.said[n]
	w.dropped, w.goneAt = true, now
	m.sources[n].count--
	m.touch(v)
}

func (m *Members) touch(v *server) {
	if !v.dirty {
		v.dirty = true
		m.dirty = append(m.dirty, v)
	}
}

// turned has the servers of sources that have begun or ceased to be heard looked at
// anew, and those for which time has changed something.
func (m *Members) turned(now Micros) {
	var turned []int
	for i, s := range m.sources {
		if is := [2]bool{m.heard(now, s), m.forgotten(now, s)}; is != s.was {
			s.was = is
			turned = append(turned, i)
		}
	}
	if len(turned) > 0 {
		for _, v := range m.servers {
			for _, i := range turned {
				if v.said[i] != nil {
					m.touch(v)
				}
			}
		}
	}
	for v := range m.timed {
		if now >= v.dueAt {
			m.touch(v)
		}
	}
}

// heard tells whether a source counts as heard.
func (m *Members) heard(now Micros, s *source) bool {
	return s.heardAt > 0 && now-s.heardAt < s.SilentAfter
}

// forgotten tells whether a source has been silent for so long that what it said
// counts as never said.
func (m *Members) forgotten(now Micros, s *source) bool {
	return s.heardAt == 0 || s.ForgetAfter > 0 && now-s.heardAt >= s.SilentAfter+s.ForgetAfter
}

// Step merges what has come since the last one, and what time alone has changed. It
// returns the members that changed, by name; a caller that never saw one has it Gone.
func (m *Members) Step(now Micros) []Member {
	m.turned(now)
	if !m.begun && len(m.servers) > 0 { // in a step, so that the order of answers does not matter
		m.begun = true
		for _, v := range m.servers {
			v.proven = true
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
	m.floor(now, dirty, next)
	var out []Member
	for i, v := range dirty {
		to := next[i]
		m.flap(now, v, &to)
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
	m.forget(now, dirty)
	m.dueAt = m.due(now)
	return out
}

// merge is the rule, but for floor and flaps, which look at more than one server or
// at what was before.
func (m *Members) merge(now Micros, v *server) Member {
	to := Member{Name: v.name, State: Gone, Reason: "no source names it", Cell: v.member.Cell, Weight: 1}
	decides := -1
	for i, s := range m.sources {
		if w := v.said[i]; w == nil || m.forgotten(now, s) {
			continue
		} else if m.heard(now, s) {
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
		w := v.said[i]
		if w == nil || m.forgotten(now, s) {
			continue
		}
		heard := m.heard(now, s)
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
			if w.drainAt > 0 && !m.lifted(now, v, i) && (to.DrainSince == 0 || w.drainAt < to.DrainSince) {
				to.DrainSince = w.drainAt
			}
			continue
		}
		if w.drainAt > 0 && (heard || !m.later(now, v, w.drainAt)) && (to.DrainSince == 0 || w.drainAt < to.DrainSince) {
			to.DrainSince = w.drainAt
		}
		to.Since = max(to.Since, w.Since)
		if len(w.Addresses) > 0 && (!addressed || heard && !m.addressedBy(now, v, i)) {
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
			if w := v.said[i]; w != nil && !w.dropped && w.HasCell && !m.forgotten(now, s) && cells < 0 {
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
	case !m.proven(now, v):
		to.State, to.Reason, to.Unconfirmed = Withheld, "new, and without a first sign", true
	case to.DrainSince > 0:
		to.State, to.Reason = Draining, "told to drain"
	}
	return to
}

// lifted tells whether the drain of a server that its source has dropped since holds
// no more.
func (m *Members) lifted(now Micros, v *server, by int) bool {
	w, s := v.said[by], m.sources[by]
	if now-w.goneAt >= s.SilentAfter+s.ForgetAfter {
		return true
	}
	for i, o := range v.said {
		if i != by && o != nil && !o.dropped && (o.at > w.goneAt || o.Since > w.drainAt) {
			return true
		}
	}
	return false
}

// later tells whether a source that is heard says that a server started after a time.
func (m *Members) later(now Micros, v *server, than Micros) bool {
	for i, o := range v.said {
		if o != nil && !o.dropped && o.Since > than && m.heard(now, m.sources[i]) {
			return true
		}
	}
	return false
}

// addressedBy tells whether a higher-ranked source that is heard gives addresses.
func (m *Members) addressedBy(now Micros, v *server, below int) bool {
	for i := range below {
		if w := v.said[i]; w != nil && !w.dropped && len(w.Addresses) > 0 && m.heard(now, m.sources[i]) {
			return true
		}
	}
	return false
}

// proven tells whether a server has had its first sign.
func (m *Members) proven(now Micros, v *server) bool {
	if v.proven {
		return true
	}
	by := 0
	for i, s := range m.sources {
		w := v.said[i]
		if w == nil || w.dropped || !m.heard(now, s) {
			continue
		}
		by++
		if s.Trusted || by > 1 || s.heardAt-w.at >= m.set.ConfirmAfter {
			v.proven = true
		}
	}
	return v.proven
}

// Sign is a first sign from elsewhere: the server has answered.
func (m *Members) Confirm(name string) {
	if v := m.servers[m.canonical(name)]; v != nil && !v.proven {
		v.proven = true
		m.touch(v)
	}
}

// floor keeps a mass disappearance from emptying the list: those that would go at
// once stay as they are until that has been said for Believe.
func (m *Members) floor(now Micros, dirty []*server, next []Member) {
	if m.set.FloorShare <= 0 || m.set.FloorShare >= 1 {
		return
	}
	listed, going := m.listed, m.held
	leaves := func(i int) bool {
		was := dirty[i].member.State
		return (was == Ready || was == Draining) && next[i].State > Draining && next[i].DrainSince == 0
	}
	for i, v := range dirty {
		switch {
		case leaves(i) && v.heldAt == 0:
			going++
		case !leaves(i) && v.heldAt > 0: // it is named again
			m.hold(v, 0)
			going--
		}
	}
	m.FloorActive = going >= max(m.set.FloorMinServers, 1) && float64(going) > m.set.FloorShare*float64(listed)
	for i, v := range dirty {
		if !leaves(i) {
			continue
		}
		if v.heldAt == 0 && !m.FloorActive {
			continue
		}
		if v.heldAt == 0 {
			m.hold(v, max(now, 1))
		}
		if now-v.heldAt >= m.set.RemovalDelay || !m.FloorActive {
			m.hold(v, 0)
			continue
		}
		reason := next[i].Reason
		next[i] = v.member
		next[i].Reason = fmt.Sprintf("%s; too many go at once, so it is kept until that has been said for %d s", reason, m.set.RemovalDelay/1e6)
	}
}

// hold notes since when the floor keeps a server; 0: it does not.
func (m *Members) hold(v *server, at Micros) {
	switch {
	case v.heldAt == 0 && at > 0:
		m.held++
	case v.heldAt > 0 && at == 0:
		m.held--
	}
	v.heldAt = at
}

// faded is a penalty that is as good as none: a server that is gone is remembered
// for it no longer.
const faded = 0.1

// flap holds a return back while a server has come and gone too often.
func (m *Members) flap(now Micros, v *server, to *Member) {
	if m.set.FlapHalfLife <= 0 || m.set.FlapSuppress <= 0 {
		return
	}
	v.penalty *= math.Exp2(-float64(now-v.penaltyA) / float64(m.set.FlapHalfLife))
	v.penaltyA = now
	up := to.State == Ready || to.State == Draining
	if !up {
		if v.listed {
			v.penalty++
		}
		v.listed, v.waiting = false, false
		return
	}
	if !v.listed && !v.waiting && v.penalty > m.set.FlapSuppress {
		v.waiting = true
		m.Damped++
	}
	if v.waiting && v.penalty <= m.set.FlapReuse {
		v.waiting = false
	}
	if v.waiting {
		to.State, to.Reason = Withheld, fmt.Sprintf("it comes and goes: kept back until it stays (penalty %.1f, back at %.1f)", v.penalty, m.set.FlapReuse)
		return
	}
	v.listed = true
}

// forget lets go of servers that no source names any more.
func (m *Members) forget(now Micros, dirty []*server) {
	for _, v := range dirty {
		if v.member.State != Gone || v.heldAt > 0 {
			m.time(now, v)
			continue
		}
		keep := v.penalty > faded && m.set.FlapHalfLife > 0
		for i, s := range m.sources {
			w := v.said[i]
			keep = keep || w != nil && !w.dropped && !m.forgotten(now, s)
		}
		if keep {
			m.time(now, v)
			continue
		}
		for i, w := range v.said {
			if w != nil && !w.dropped {
				m.sources[i].count--
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
func (m *Members) time(now Micros, v *server) {
	at := Micros(math.MaxInt64)
	soon := func(t Micros) {
		if t > now && t < at {
			at = t
		}
	}
	if v.heldAt > 0 {
		soon(v.heldAt + m.set.RemovalDelay)
	}
	// The penalty halves in FlapHalf: it is at a value after so long.
	fades := func(to float64) { soon(now + Micros(float64(m.set.FlapHalfLife)*math.Log2(v.penalty/to)) + 1) }
	if v.waiting {
		fades(m.set.FlapReuse)
	}
	if v.penalty > faded && v.member.State == Gone {
		fades(faded)
	}
	for i, w := range v.said {
		if w != nil && w.dropped && w.drainAt > 0 {
			soon(w.goneAt + m.sources[i].SilentAfter + m.sources[i].ForgetAfter)
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
func (m *Members) due(now Micros) Micros {
	at := Micros(math.MaxInt64)
	soon := func(t Micros) {
		if t > now && t < at {
			at = t
		}
	}
	for _, s := range m.sources {
		if s.heardAt > 0 {
			soon(s.heardAt + s.SilentAfter)
			if s.ForgetAfter > 0 {
				soon(s.heardAt + s.SilentAfter + s.ForgetAfter)
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
		if w := v.said[i]; w != nil {
			b.Reports = append(b.Reports, SourceReport{Source: s.Name, Responsive: m.heard(now, s), Age: now - s.heardAt, Dropped: w.dropped, Drain: w.drainAt > 0,
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
		t := SourceStatus{Name: s.Name, Responsive: m.heard(now, s), Age: -1, Index: s.index, Calls: s.Calls, Failed: s.Failed, Old: s.Old}
		if s.heardAt > 0 {
			t.Age = now - s.heardAt
		}
		t.Servers = s.count
		out = append(out, t)
	}
	return out
}
