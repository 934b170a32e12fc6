// Package level decides at which service level a proxy works: which of the configured
// levels is active, when a more degraded one is entered, and when a better one is tried
// and adopted or rejected. It also gives the reason for each change. It never changes
// the level on a single reading, never adopts a better level without a trial, and does
// not oscillate with a fault that comes and goes.
//
// Each level but the first (full service) has conditions on signals. A signal above its
// bound is evidence for the level, in proportion to how many times it is above. The
// evidence is summed over time (CUSUM, Page 1954, with the bound as reference value).
// A level is entered when its sum reaches Evidence: a signal at twice its bound takes
// half as long as one at 1.5 times, and one that hovers at its bound never gets there.
// To leave a level, the sum of the evidence against it (signals below ExitRatio times
// their bound) must reach Calm, and the level must have been active for its minimum stay. Then
// the better level is tried: for Trial, a share of the queries is served at the better
// level and compared with the others. A trial with worse results ends at once and
// doubles the stay, up to MaxStay; each MaxStay spent at full service halves the stay
// again. A recurring fault therefore meets longer and longer stays: the level changes a
// few times an hour and not with every recurrence. Levels are numbered from 0 (full service);
// a higher number is a more degraded level.
package level

import (
	"fmt"
	"math"
)

// Micros is a clock reading or a duration in microseconds.
type Micros = int64

// Signals are the measurements of an interval that has just ended. Shares are 0 to 1.
type Signals struct {
	QueryRate float64 `json:"Asked"` // queries per second; 0 if there were too few to judge
	Refused   float64 // share of the requested value that was refused for lack of capacity
	Failed    float64 // share that failed or was late
	SlowStart float64 `json:"Cold"`    // share of the usable servers that are in slow start
	CellsDown float64 `json:"Unsound"` // share of cells without a usable server
	Queue     float64 // time that arrivals waited for the exchange, ms
}

// SignalNames are the names of the signals in the operator file, in the order of the
// fields of Signals. QueryRate has no name, because no condition can use it.
var SignalNames = []string{"refused", "failed", "cold", "unsound", "queue"}

// value returns a signal by its name; 0 for an unknown name.
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

// Condition is met while a signal is above a bound.
type Condition struct {
	Signal string
	Above  float64
}

// Level is a level below full service. Any one of its conditions is evidence for it.
type Level struct {
	Name  string
	Enter []Condition // a condition whose Above is not positive is ignored
}

// Settings are the levels and the parameters of the decision. Times are in microseconds.
type Settings struct {
	Levels        []Level // the least degraded first; full service is not listed and has no conditions
	Evidence      Micros  // time until a level is entered with a signal at twice its bound
	ExitRatio     float64 // signals below this ratio of their bounds are evidence against a level
	Calm          Micros  // time until a level may be left with all signals at 0
	MinStay       Micros  // minimum time at a level
	MaxStay       Micros  // limit of the minimum time after failed trials
	Trial         Micros  // duration of a trial
	MaxRegression float64 // a trial fails if the lost share of its queries' value exceeds that of the others by more
	MinSamples    int     // queries that a trial must have seen before it is judged
}

// Change is a change of the level, with the figures that caused it.
type Change struct {
	At       Micros
	From, To int // 0 is full service
	Reason   string
}

// State is the service level of one proxy.
type State struct {
	settings  Settings
	level     int       // the level by the signals, regardless of a pin
	since     Micros    // when that level was entered, or its last trial failed
	lastRead  Micros    // time of the last reading
	enterSums []float64 // by level - 1: the evidence for the level
	exitSum   float64   // the evidence against the active level
	stay      Micros    // minimum time at a level before it may be left
	fullSince Micros    // start of the current period at full service

	trialSince   Micros // start of the trial of the better level; 0: no trial
	trialGroup   group  // queries served at the better level
	controlGroup group  // all other queries since the start of the trial
	pin          int    // pinned level; negative: none
	pinUntil     Micros
}

// group counts queries (n) and sums the share of its value that each of them lost (bad).
type group struct{ n, bad float64 }

// badRatio returns the average share of its value that a query lost.
func (g group) badRatio() float64 {
	if g.n == 0 {
		return 0
	}
	return g.bad / g.n
}

// New returns the state of a proxy at full service.
func New(set Settings, now Micros) *State {
	return &State{settings: set, enterSums: make([]float64, len(set.Levels)), stay: set.MinStay, since: now, lastRead: now, fullSince: now, pin: -1}
}

// Level returns the active level; 0 is full service.
func (s *State) Level() int {
	if s.pin >= 0 {
		return s.pin
	}
	return s.level
}

// Name returns the name of a level.
func (s *State) Name(level int) string {
	if level == 0 {
		return "full"
	}
	return s.settings.Levels[level-1].Name
}

// TrialActive reports whether the next better level is being tried. It is false while a
// level is pinned.
func (s *State) TrialActive() bool { return s.trialSince > 0 && s.pin < 0 }

// Stay returns how long the level must be active before it may be left.
func (s *State) Stay() Micros { return s.stay }

// pressure returns the largest ratio of a signal to its bound among a level's
// conditions, and a description of that signal.
func (s *State) pressure(level int, g *Signals) (float64, string) {
	highest, reason := 0.0, ""
	for _, c := range s.settings.Levels[level-1].Enter {
		if c.Above <= 0 {
			continue
		}
		if p := g.value(c.Signal) / c.Above; p > highest {
			highest, reason = p, fmt.Sprintf("%s %.3g, bound %.3g", c.Signal, g.value(c.Signal), c.Above)
		}
	}
	return highest, reason
}

// maxPressure limits the ratio of a signal to its bound, and so the evidence of a single
// reading.
const maxPressure = 4

// Update takes the signals of the interval that ends now. It returns a change of the
// level and true if there is one, while a level is pinned also a change of the level by
// the signals. A clock that went backwards or stood still has no
// effect.
func (s *State) Update(now Micros, g Signals) (Change, bool) {
	dt := now - s.lastRead
	s.lastRead = now
	if dt <= 0 {
		return Change{}, false
	}
	dt = min(dt, s.settings.Evidence/2) // the time of a gap between readings does not count as evidence
	if s.pin >= 0 && now >= s.pinUntil {
		from := s.pin
		s.pin = -1
		if from != s.level {
			return Change{now, from, s.level, "the pin has expired"}, true
		}
	}
	if s.level == 0 && now-s.fullSince >= s.settings.MaxStay { // after long full service the stay that earlier flapping caused is halved
		s.stay, s.fullSince = max(s.stay/2, s.settings.MinStay), now
	}
	to, reason := s.level, ""
	for l := 1; l <= len(s.settings.Levels); l++ {
		p, levelReason := s.pressure(l, &g)
		s.enterSums[l-1] = max(0, s.enterSums[l-1]+min((min(p, maxPressure)-1)*float64(dt), float64(s.settings.Evidence)/2)) // at least two readings are needed
		s.enterSums[l-1] = min(s.enterSums[l-1], 2*float64(s.settings.Evidence))
		if l > s.level && s.enterSums[l-1] >= float64(s.settings.Evidence) {
			to, reason = l, levelReason
		}
	}
	if to > s.level {
		return s.changeTo(now, to, reason), true
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

// evaluateTrial ends a trial that failed, or adopts the better level if the trial is
// complete. It returns a change of the level and true in the second case.
func (s *State) evaluateTrial(now Micros) (Change, bool) {
	worse := s.trialGroup.n >= float64(s.settings.MinSamples) && s.trialGroup.badRatio() > s.controlGroup.badRatio()+s.settings.MaxRegression
	switch {
	case worse || s.exitSum == 0: // ends before Trial is over, because the queries in the trial get the worse result
		s.trialSince, s.exitSum, s.since = 0, 0, now
		s.stay = min(2*s.stay, s.settings.MaxStay)
	case now-s.trialSince >= s.settings.Trial && s.trialGroup.n >= float64(s.settings.MinSamples):
		reason := fmt.Sprintf("trial of %.0f queries lost %.1f%% of their value, against %.1f%% for %.0f others", s.trialGroup.n, 100*s.trialGroup.badRatio(), 100*s.controlGroup.badRatio(), s.controlGroup.n)
		return s.changeTo(now, s.level-1, reason), true
	}
	return Change{}, false
}

// changeTo makes a level active and restarts the sums.
func (s *State) changeTo(now Micros, to int, reason string) Change {
	c := Change{now, s.level, to, reason}
	if to > s.level && s.level > 0 || to > s.level && now-s.since < s.stay { // entered again soon after it was left: it was left too early
		s.stay = min(2*s.stay, s.settings.MaxStay)
	}
	s.level, s.since, s.exitSum, s.trialSince = to, now, 0, 0
	for i := range s.enterSums {
		if i < to || i == to { // the evidence for this level, for better ones and for the next more degraded one is used up
			s.enterSums[i] = 0
		}
	}
	if to == 0 {
		s.fullSince = now
	}
	return c
}

// RecordQuery records the end of a query: whether it was part of the trial, its value, and
// how much of that value was lost. It has no effect while there is no trial.
func (s *State) RecordQuery(inTrial bool, value, lost float64) {
	if s.trialSince == 0 {
		return
	}
	g := &s.controlGroup
	if inTrial {
		g = &s.trialGroup
	}
	g.n++
	if value > 0 {
		g.bad += math.Min(lost/value, 1)
	}
}

// Pin makes a level active until a time, regardless of the signals. Update must still be
// called: it keeps the level by the signals up to date and removes the pin once it has
// expired. Pin returns the change and true if the active level changes.
func (s *State) Pin(now Micros, level int, until Micros) (Change, bool) {
	from := s.Level()
	s.pin, s.pinUntil = level, until
	return Change{now, from, level, "pinned"}, from != level
}

// Release removes a pin. It returns the change and true if the active level changes.
func (s *State) Release(now Micros) (Change, bool) {
	from := s.Level()
	s.pin = -1
	return Change{now, from, s.level, "the pin was released"}, from != s.level
}

// PinnedUntil returns when the pin expires; 0 if no level is pinned.
func (s *State) PinnedUntil() Micros {
	if s.pin < 0 {
		return 0
	}
	return s.pinUntil
}
