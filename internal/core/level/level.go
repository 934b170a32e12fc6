// Package level decides at which level of service a mixer works: which of the named
// levels is in force, when a lower one is entered, and when a better one is tried and
// taken back. It owns that and the reasons for it. It must never change the level on a
// single reading, leave one untried, or swing with a fault that comes and goes.
//
// The way. Each level but the first (full service) has conditions on signals: a signal
// above its bound speaks for the level, by how many times it is above. What speaks is
// summed over time (a CUSUM, Page 1954, with the bound as reference value): the level
// is entered when the sum of a level reaches Evidence, so that a signal at twice its
// bound takes half as long as one at 1.5 times, and one that hovers at its bound never
// does. To leave, the sum of what speaks against (signals below Back times their bound)
// must reach Calm, and the level must have stood for its stay. Then the better level is
// *tried*: a share of the queries goes by it for Trial, and is set beside the others. A
// trial that goes badly ends at once, and doubles the stay up to MostStay; a stay is
// forgotten by half for each MostStay spent at full service. A fault that comes and goes
// meets ever longer stays: in an hour the level changes a few times, not with each of
// its comings.
package level

import (
	"fmt"
	"math"
)

// Micros is a clock reading or a span in microseconds.
type Micros = int64

// Signals are what was measured in a span that has just ended. Shares are 0 to 1.
type Signals struct {
	QueryRate float64 `json:"Asked"` // queries a second; with fewer than a few nothing is judged
	Refused   float64 // share of the value asked for that was refused for want of room
	Failed    float64 // share that failed or came too late
	SlowStart float64 `json:"Cold"`    // share of the usable servers that are cold
	CellsDown float64 `json:"Unsound"` // share of cells without a usable server
	Queue     float64 // ms that what came in waited for the exchange
}

// Names are the signals' names in the operator file, in the order of Signals.
var SignalNames = []string{"refused", "failed", "cold", "unsound", "queue"}

// of is a signal by name.
func (s *Signals) value(name string) float64 {
	switch name {
	case "refused":
		return s.Refused
	case "failed":
		return s.Failed
	case "cold":
		return s.SlowStart
	case "unsound":
		return s.CellsDown
	case "queue":
		return s.Queue
	}
	return 0
}

// Cond is a condition: a signal above a bound.
type Condition struct {
	Signal string
	Above  float64
}

// Level is a level below full service, by what speaks for it: any of its conditions.
type Level struct {
	Name  string
	Enter []Condition
}

// Settings are the bounds. Spans are in microseconds.
type Settings struct {
	Levels        []Level // from the mildest on; full service is above all and has no conditions
	Evidence      Micros  // at twice a bound, so long, until a level is entered
	ExitRatio     float64 // below this share of all its bounds a level is spoken against
	Calm          Micros  // at nothing at all, so long, until it may be left
	MinStay       Micros  // at the least
	MaxStay       Micros
	Trial         Micros
	MaxRegression float64 // a trial fails where its share of bad ends is above the others' by this
	MinSamples    int     // and it has seen so many
}

// Change is a change of the level, with its reason in figures.
type Change struct {
	At       Micros
	From, To int // 0 is full service
	Reason   string
}

// State is one mixer's level.
type State struct {
	settings  Settings
	level     int
	since     Micros
	lastRead  Micros // the last reading
	enterSums []float64
	exitSum   float64
	stay      Micros
	fullSince Micros // since when it is at full service

	trialSince   Micros // since when the better level is tried; 0: it is not
	trialGroup   group
	controlGroup group
	pin          int // below 0: none
	pinUntil     Micros
}

// group is how queries ended.
type group struct{ n, bad float64 }

func (g group) badRatio() float64 {
	if g.n == 0 {
		return 0
	}
	return g.bad / g.n
}

// New returns a mixer's level: full service.
func New(set Settings, now Micros) *State {
	return &State{settings: set, enterSums: make([]float64, len(set.Levels)), stay: set.MinStay, since: now, lastRead: now, fullSince: now, pin: -1}
}

// Level is the level in force; 0 is full service.
func (s *State) Level() int {
	if s.pin >= 0 {
		return s.pin
	}
	return s.level
}

// Name is a level's name.
func (s *State) Name(level int) string {
	if level == 0 {
		return "full"
	}
	return s.settings.Levels[level-1].Name
}

// Trying tells whether the next better level is being tried.
func (s *State) TrialActive() bool { return s.trialSince > 0 && s.pin < 0 }

// Stay is how long the level in force must stand.
func (s *State) Stay() Micros { return s.stay }

// pressure is how many times a level's bounds are exceeded, by the signal that speaks
// loudest.
func (s *State) pressure(level int, g *Signals) (float64, string) {
	most, why := 0.0, ""
	for _, c := range s.settings.Levels[level-1].Enter {
		if c.Above <= 0 {
			continue
		}
		if p := g.value(c.Signal) / c.Above; p > most {
			most, why = p, fmt.Sprintf("%s %.3g, bound %.3g", c.Signal, g.value(c.Signal), c.Above)
		}
	}
	return most, why
}

// mostPressure bounds what one reading can say.
const maxPressure = 4

// Read takes the signals of a span that ends now, and returns a change of the level, if
// that is one. A clock that has gone back or stood still brings nothing.
func (s *State) Update(now Micros, g Signals) (Change, bool) {
	dt := now - s.lastRead
	s.lastRead = now
	if dt <= 0 {
		return Change{}, false
	}
	dt = min(dt, s.settings.Evidence/2) // a gap is no evidence
	if s.pin >= 0 && now >= s.pinUntil {
		from := s.pin
		s.pin = -1
		if from != s.level {
			return Change{now, from, s.level, "the pin has expired"}, true
		}
	}
	if s.level == 0 && now-s.fullSince >= s.settings.MaxStay { // long well: what flapping had earned fades
		s.stay, s.fullSince = max(s.stay/2, s.settings.MinStay), now
	}
	to, why := s.level, ""
	for l := 1; l <= len(s.settings.Levels); l++ {
		p, said := s.pressure(l, &g)
		s.enterSums[l-1] = max(0, s.enterSums[l-1]+min((min(p, maxPressure)-1)*float64(dt), float64(s.settings.Evidence)/2)) // no single reading is enough
		s.enterSums[l-1] = min(s.enterSums[l-1], 2*float64(s.settings.Evidence))
		if l > s.level && s.enterSums[l-1] >= float64(s.settings.Evidence) {
			to, why = l, said
		}
	}
	if to > s.level {
		return s.changeTo(now, to, why), true
	}
	if s.level == 0 {
		return Change{}, false
	}
	p, _ := s.pressure(s.level, &g)
	s.exitSum = max(0, s.exitSum+(s.settings.ExitRatio-p)/s.settings.ExitRatio*float64(dt))
	s.exitSum = min(s.exitSum, 2*float64(s.settings.Calm))
	if s.trialSince > 0 {
		return s.evaluateTrial(now)
	}
	if s.exitSum >= float64(s.settings.Calm) && now-s.since >= s.stay {
		s.trialSince, s.trialGroup, s.controlGroup = now, group{}, group{}
	}
	return Change{}, false
}

// tryOn looks at a trial that is under way.
func (s *State) evaluateTrial(now Micros) (Change, bool) {
	worse := s.trialGroup.n >= float64(s.settings.MinSamples) && s.trialGroup.badRatio() > s.controlGroup.badRatio()+s.settings.MaxRegression
	switch {
	case worse || s.exitSum == 0: // at once: the queries that try it pay for it
		s.trialSince, s.exitSum, s.since = 0, 0, now
		s.stay = min(2*s.stay, s.settings.MaxStay)
	case now-s.trialSince >= s.settings.Trial && s.trialGroup.n >= float64(s.settings.MinSamples):
		why := fmt.Sprintf("tried by %.0f queries, %.1f%% ended badly, and %.1f%% of %.0f others", s.trialGroup.n, 100*s.trialGroup.badRatio(), 100*s.controlGroup.badRatio(), s.controlGroup.n)
		return s.changeTo(now, s.level-1, why), true
	}
	return Change{}, false
}

func (s *State) changeTo(now Micros, to int, why string) Change {
	c := Change{now, s.level, to, why}
	if to > s.level && s.level > 0 || to > s.level && now-s.since < s.stay { // back soon after it was left: it had been left too early
		s.stay = min(2*s.stay, s.settings.MaxStay)
	}
	s.level, s.since, s.exitSum, s.trialSince = to, now, 0, 0
	for i := range s.enterSums {
		if i < to || i == to { // what spoke for this or for less has been heard
			s.enterSums[i] = 0
		}
	}
	if to == 0 {
		s.fullSince = now
	}
	return c
}

// Ended notes how a query ended: whether it went by the better level, and how much of
// its value was lost.
func (s *State) RecordQuery(tried bool, value, lost float64) {
	if s.trialSince == 0 {
		return
	}
	g := &s.controlGroup
	if tried {
		g = &s.trialGroup
	}
	g.n++
	if value > 0 {
		g.bad += math.Min(lost/value, 1)
	}
}

// Pin holds a level until a time, whatever the signals say; they are read on. It
// returns the change, if it is one.
func (s *State) Pin(now Micros, level int, until Micros) (Change, bool) {
	from := s.Level()
	s.pin, s.pinUntil = level, until
	return Change{now, from, level, "pinned"}, from != level
}

// Release lets go of a pin.
func (s *State) Release(now Micros) (Change, bool) {
	from := s.Level()
	s.pin = -1
	return Change{now, from, s.level, "the pin was released"}, from != s.level
}

// Pinned tells until when a level is pinned; 0: none is.
func (s *State) PinnedUntil() Micros {
	if s.pin < 0 {
		return 0
	}
	return s.pinUntil
}
