package exchange

// This file implements named levels of reduced service, for operators who configure
// some. It measures the signals for them and applies the level in force to a query
// before the router sees it. It never marks an incomplete answer complete, never lets an
// answer fall below the minimum share of its class, never delays a query and never
// chooses a server. core/level decides which level is in force; the router decides
// everything else.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/hookrule"
	"saddleport/internal/core/level"
)

// LevelsSettings is the section [levels] of the operator file. Some keys differ from the
// field names: back is ExitRatio, worse is MaxRegression and trial-least is MinSamples.
// core/level describes how the fields are used.
type LevelsSettings struct {
	Names         []string      `ini:"levels" help:"names of the [level NAME] sections, the least degraded first; none: there is only full service"`
	Evidence      time.Duration `ini:"evidence" default:"3s" range:"500ms..10m" help:"a level is entered once a signal has been at twice its bound for this time, or at 1.5 times its bound for twice as long"`
	ExitRatio     float64       `ini:"back" default:"0.5" range:"0.05..0.95" help:"signals below this ratio of their bounds are evidence for leaving a level"`
	Calm          time.Duration `ini:"calm" default:"5s" range:"500ms..10m" help:"with all signals at 0, a level may be left after this time"`
	MinStay       time.Duration `ini:"least-stay" default:"10s" range:"1s..1h"`
	MaxStay       time.Duration `ini:"most-stay" default:"160s" range:"1s..24h" help:"each failed trial, and each change to a more degraded level soon after the last change, doubles the minimum time at a level, up to this limit"`
	Trial         time.Duration `ini:"trial" default:"5s" range:"1s..10m" help:"the better level is tried for this time before it is adopted"`
	TrialShare    float64       `ini:"trial-share" default:"0.1" range:"0.01..0.9" help:"share of the queries that are served at the better level during a trial"`
	MaxRegression float64       `ini:"worse" default:"0.025" range:"0..1" help:"a trial fails if the share of the value that its queries lose exceeds that of the other queries by more than this"`
	MinSamples    int           `ini:"trial-least" default:"20" range:"1..100000" help:"queries that a trial must have served before it is judged"`
}

// LevelSettings is a section [level NAME] of the operator file. A bound of 0 means that
// the signal cannot cause the level to be entered. Some keys differ from the field names:
// cold is SlowStart, unsound is CellsDown and give is Reductions.
type LevelSettings struct {
	Name       string
	Refused    float64  `ini:"refused" default:"0" range:"0..1" help:"enter above this share of the requested value that is refused for lack of capacity"`
	Failed     float64  `ini:"failed" default:"0" range:"0..1" help:"enter above this share of the requested value that fails or is answered too late"`
	SlowStart  float64  `ini:"cold" default:"0" range:"0..1" help:"enter above this share of usable servers that are still warming up"`
	CellsDown  float64  `ini:"unsound" default:"0" range:"0..1" help:"enter above this share of cells without a usable server"`
	Queue      float64  `ini:"queue" default:"0" range:"0..60000" help:"enter above this queueing delay of events for the exchange, in ms"`
	Reductions []string `ini:"give" help:"the reductions, by class: CLASS share S (settle for this share of the answer, but never less than the class's minimum; such answers are not marked complete), CLASS refuse R (refuse this share of the queries at once)"`
}

// reduction is how a level reduces the service of a class: the share of the answer that
// the router may settle for, and the fraction of the queries that are refused at once.
type reduction struct{ share, refuse float64 }

// reductions parses Reductions, by class.
func (s *LevelSettings) reductions() (map[string]reduction, error) {
	out := make(map[string]reduction)
	for _, text := range s.Reductions {
		fields := strings.Fields(text)
		if len(fields) != 3 || fields[1] != "share" && fields[1] != "refuse" {
			return nil, fmt.Errorf("give: %q is neither CLASS share S nor CLASS refuse R", text)
		}
		v, err := strconv.ParseFloat(fields[2], 64)
		if err != nil || !(v >= 0 && v <= 1) {
			return nil, fmt.Errorf("give: %q: %s is not within 0 to 1", text, fields[2])
		}
		red, known := out[fields[0]]
		if !known {
			red.share = 1
		}
		if fields[1] == "share" {
			red.share = v
		} else {
			red.refuse = v
		}
		out[fields[0]] = red
	}
	return out, nil
}

// Check validates the reductions of a level. If classes is nil, the class names are not
// checked.
func (s *LevelSettings) Check(classes []choice.Class) error {
	byClass, err := s.reductions()
	if err != nil {
		return err
	}
	for name := range byClass {
		if classes != nil && !slices.ContainsFunc(classes, func(c choice.Class) bool { return c.Name == name }) {
			return fmt.Errorf("give: there is no class %s", name)
		}
	}
	return nil
}

// levels is the state behind the levels of service. The exchange's goroutine owns it.
type levels struct {
	settings    LevelsSettings
	reductions  []map[string]reduction // by level, then by class; [0] is full service
	state       *level.State
	rng         *rand.Rand
	sampleTimer *timer

	value, refused, failed float64       // sums of Class.Value since the last sample: requested, refused, failed or answered late
	queries                int           // queries that ended since the last sample
	queueDelay             time.Duration // the longest wait of a posted event since the last sample
	servers                map[string]choice.Server
	changes                []LevelChange
	costs                  []LevelCost
	sampledAt              choice.Micros
	signals                level.Signals
}

// LevelChange is a change of the level, as shown to operators.
type LevelChange struct {
	At       time.Time
	From, To string
	Why      string
}

// LevelCost describes the time and the queries served at a level since the start of the
// proxy, and the value that was lost.
type LevelCost struct {
	Level    string
	Seconds  float64 // time at the level
	Asked    int64   // queries handled at the level
	Refused  int64   // queries refused by the level
	Short    int64   // queries for which the level lowered the share to settle for; Counters.LevelReduced is the sum over the levels
	Answered float64 // value answered in time, as a share of the value requested
	value    float64 // sum of Class.Value of the queries
	earned   float64 // the part of it that their answers earned
}

const (
	sampleInterval  = time.Second
	maxLevelChanges = 256 // kept for reports
	minQueries      = 5   // per sample; with fewer queries the query rate and the refused and failed shares are 0
)

// SetLevels enables levels of reduced service. It must be called before Run or Attach.
func (x *Exchange) SetLevels(set LevelsSettings, each []LevelSettings) error {
	micros := func(d time.Duration) int64 { return d.Microseconds() }
	s := level.Settings{Evidence: micros(set.Evidence), ExitRatio: set.ExitRatio, Calm: micros(set.Calm), MinStay: micros(set.MinStay), MaxStay: micros(set.MaxStay), Trial: micros(set.Trial),
		MaxRegression: set.MaxRegression, MinSamples: set.MinSamples}
	l := &levels{settings: set, reductions: []map[string]reduction{nil}, rng: rand.New(rand.NewPCG(x.hookSeed, 11)), servers: make(map[string]choice.Server), costs: []LevelCost{{Level: "full"}}}
	for _, name := range set.Names {
		i := slices.IndexFunc(each, func(e LevelSettings) bool { return e.Name == name })
		if i < 0 {
			return fmt.Errorf("levels: there is no section [level %s]", name)
		}
		if err := each[i].Check(x.settings.Router.Classes); err != nil {
			return fmt.Errorf("[level %s] %w", name, err)
		}
		byClass, _ := each[i].reductions()
		l.reductions = append(l.reductions, byClass)
		l.costs = append(l.costs, LevelCost{Level: name})
		v := level.Level{Name: name}
		// The bounds are in the order of level.SignalNames.
		for k, bound := range []float64{each[i].Refused, each[i].Failed, each[i].SlowStart, each[i].CellsDown, each[i].Queue} {
			if bound > 0 {
				v.Enter = append(v.Enter, level.Condition{Signal: level.SignalNames[k], Above: bound})
			}
		}
		if len(v.Enter) == 0 {
			return fmt.Errorf("[level %s] sets no bound, so it would never be entered", name)
		}
		s.Levels = append(s.Levels, v)
	}
	l.sampledAt = x.Micros(x.loop.Now())
	l.state = level.New(s, l.sampledAt)
	x.levels = l
	return nil
}

// sampleLevels computes the signals since the last sample and lets core/level decide on
// the level.
func (x *Exchange) sampleLevels() {
	l, now := x.levels, x.loop.Now()
	l.sampleTimer = x.startTimer(now.Add(sampleInterval), x.sampleLevels)
	at := x.Micros(now)
	sample := level.Signals{Queue: float64(l.queueDelay.Microseconds()) / 1000}
	if l.queries >= minQueries && l.value > 0 {
		// The interval is one second, so the number of queries is the rate.
		sample.QueryRate, sample.Refused, sample.Failed = float64(l.queries), l.refused/l.value, l.failed/l.value
	}
	usable, warmingUp := 0, 0
	cells := make(map[int]bool)
	for _, s := range l.servers {
		usable++
		cells[s.Cell] = true
		if s.UpSince > 0 && at-s.UpSince < x.settings.Router.SlowStart {
			warmingUp++
		}
	}
	if usable > 0 {
		sample.SlowStart = float64(warmingUp) / float64(usable)
		sample.CellsDown = 1 - float64(len(cells))/float64(max(x.settings.Router.Cells, 1))
	}
	cost := &l.costs[l.state.Level()]
	cost.Seconds += float64(at-l.sampledAt) / 1e6
	l.sampledAt, l.signals = at, sample
	l.queries, l.value, l.refused, l.failed, l.queueDelay = 0, 0, 0, 0, 0
	if c, ok := l.state.Update(at, sample); ok {
		x.recordLevelChange(c)
	}
}

// recordLevelChange records, counts and logs a change of the level.
func (x *Exchange) recordLevelChange(c level.Change) {
	l := x.levels
	if l.changes = append(l.changes, LevelChange{x.loop.Now(), l.state.Name(c.From), l.state.Name(c.To), c.Reason}); len(l.changes) > maxLevelChanges {
		l.changes = slices.Delete(l.changes, 0, len(l.changes)-maxLevelChanges)
	}
	x.Counters.LevelChanges.Add(1)
	x.Counters.Level.Store(int64(c.To))
	log.Warn("level", "from", l.state.Name(c.From), "to", l.state.Name(c.To), "why", c.Reason)
}

// degraded is how a level reduces the service of a query.
type degraded struct {
	level    int
	trial    bool    // the query takes part in the trial of a better level
	minShare float64 // share that the router may settle for; 0: only the share that the class requires
}

// applyLevel reduces the service of a query as its level says, and reports whether the
// query continues. The refusals of a level apply to all queries of a class. The lower
// share applies only to classes with effect Safe whose MinShare is below RequiredShare,
// and to neither queries routed by the map of segments nor queries that hooks watch.
func (x *Exchange) applyLevel(qs *queryState) bool {
	l := x.levels
	d := &degraded{level: l.state.Level()}
	if l.state.TrialActive() && l.rng.Float64() < l.settings.TrialShare {
		d.level, d.trial = d.level-1, true
	}
	qs.degraded = d
	cost := &l.costs[d.level]
	cost.Asked++
	red, reduced := l.reductions[d.level][qs.class]
	if !reduced {
		return true
	}
	if l.rng.Float64() < red.refuse {
		cost.Refused++
		x.Counters.LevelRefused.Add(1)
		retryAfter := x.retryAfter(qs.class)
		retryAfter += time.Duration(l.rng.Float64() * float64(retryAfter)) // spreads the retries of clients refused together
		x.finish(qs, Final{Ending: Refused, RetryAfter: retryAfter, Reason: "reduced service: " + l.state.Name(d.level)})
		return false
	}
	class := x.class(qs.class)
	if red.share >= 1 || class.Effect != choice.Safe || class.MinShare >= class.RequiredShare || qs.routing != nil || qs.hookState != nil {
		return true
	}
	if target := max(red.share, class.MinShare); target < class.RequiredShare {
		// Only the share that the router may settle for is lowered. The router still gets
		// all parts, so that other parts can replace a part that is overdue.
		d.minShare = target
		// The router considers the parts in the order of their events. Those of the least
		// healthy cells come last.
		health := l.shardHealth(x)
		slices.SortStableFunc(qs.parts, func(a, b *partState) int { return health(b.Shard) - health(a.Shard) })
		cost.Short++
		x.Counters.LevelReduced.Add(1)
	}
	return true
}

// shardHealth returns a function that rates a shard: 0 without a usable server for it,
// 1 if all usable servers are warming up, else 2.
func (l *levels) shardHealth(x *Exchange) func(shard int) int {
	at := x.Micros(x.loop.Now())
	cells := make([]int, max(x.settings.Router.Cells, 1))
	for _, s := range l.servers {
		if s.Cell < 0 || s.Cell >= len(cells) {
			continue
		}
		rating := 2
		if s.UpSince > 0 && at-s.UpSince < x.settings.Router.SlowStart {
			rating = 1
		}
		cells[s.Cell] = max(cells[s.Cell], rating)
	}
	return func(shard int) int {
		best := 0
		for j := range max(x.settings.Router.Width, 1) {
			best = max(best, cells[(shard+j)%len(cells)])
		}
		return best
	}
}

// degradedFinal corrects the final answer of a query for which the router was allowed to
// settle for less than the class needs: the answer is marked complete only if the share
// served reaches RequiredShare, and the query fails if that share is below MinShare.
func (x *Exchange) degradedFinal(qs *queryState, f Final) Final {
	class, share := x.class(qs.class), qs.servedShare()
	f.Complete = f.Complete && hookrule.MeetsRequiredShare(class, share)
	if !hookrule.MeetsMinShare(class, share) {
		return Final{Ending: Failed}
	}
	return f
}

// recordEnding adds the ending of a query to the current sample and to the cost of its
// level.
func (l *levels) recordEnding(x *Exchange, qs *queryState, f Final) {
	class := x.class(qs.class)
	late := x.loop.Now().Sub(qs.ReceivedAt).Microseconds() > class.LatencyTarget
	l.queries++
	l.value += class.Value
	lost, earned := 0.0, class.Value
	switch {
	case f.Ending == ClientGone:
		l.queries--
		l.value -= class.Value
		return
	case f.Ending == Refused:
		lost, earned = class.Value, 0
		l.refused += class.Value
	case f.Ending != Answered:
		lost, earned = class.Value, 0
		l.failed += class.Value
	case late:
		lost = class.Value * (1 - class.LateValue)
		earned -= lost
		l.failed += lost
	case !f.Complete && class.RequiredShare > 0:
		// The value is linear in the share: Class.PartialExponent is not applied.
		earned *= min(qs.servedShare()/class.RequiredShare, 1) * class.PartialValue
		lost = class.Value - earned
	}
	if qs.degraded != nil {
		cost := &l.costs[qs.degraded.level]
		cost.value += class.Value
		cost.earned += earned
		l.state.RecordQuery(qs.degraded.trial, class.Value, lost)
	}
}

// updateServers applies the server list or a change of it.
func (l *levels) updateServers(list choice.List) {
	if list.Form == choice.Failed {
		return
	}
	if list.Form != choice.Delta {
		clear(l.servers)
	}
	for _, s := range list.Servers {
		if s.State == choice.Ready {
			l.servers[s.ID] = s
		} else {
			delete(l.servers, s.ID)
		}
	}
}

// ---- Reports and commands for operators.

// LevelReport is a report for operators. It describes the level in force, its signals, and the changes and costs so far.
type LevelReport struct {
	Level   string
	Trying  string        `json:",omitempty"` // the better level that is on trial
	StayS   float64       // minimum time at the level, in seconds
	Pinned  time.Time     // when the pin of the level ends; zero: the level is not pinned
	Signals level.Signals // of the last sample
	Past    []LevelChange // the last maxLevelChanges changes, the oldest first
	Cost    []LevelCost
}

// Levels reports on the levels after executing a command, if there is one: a pin that is
// not empty pins that level for the span, release removes the pin. Levels waits for the
// exchange's goroutine for 10 s at most.
func (x *Exchange) Levels(pin string, span time.Duration, release bool) (*LevelReport, error) {
	type result struct {
		report *LevelReport
		err    error
	}
	done := make(chan result, 1)
	x.post(func() {
		report, err := x.levelReport(pin, span, release)
		done <- result{report, err}
	})
	select {
	case res := <-done:
		return res.report, res.err
	case <-time.After(10 * time.Second):
		return nil, fmt.Errorf("the exchange did not answer within 10 s")
	}
}

// LevelsSnapshot is like Levels without a command, for callers on the exchange's
// goroutine. It returns nil if there are no levels.
func (x *Exchange) LevelsSnapshot() *LevelReport {
	r, err := x.levelReport("", 0, false)
	if err != nil {
		return nil
	}
	return r
}

func (x *Exchange) levelReport(pin string, span time.Duration, release bool) (*LevelReport, error) {
	l := x.levels
	if l == nil {
		return nil, fmt.Errorf("this proxy has no levels: the setting levels in section [levels] is empty")
	}
	now := x.Micros(x.loop.Now())
	if pin != "" {
		index := 0
		if pin != "full" {
			if index = slices.Index(l.settings.Names, pin) + 1; index == 0 {
				return nil, fmt.Errorf("unknown level %.40s; the levels are: full, %s", pin, strings.Join(l.settings.Names, ", "))
			}
		}
		if c, ok := l.state.Pin(now, index, now+span.Microseconds()); ok {
			x.recordLevelChange(c)
		}
	}
	if release {
		if c, ok := l.state.Release(now); ok {
			x.recordLevelChange(c)
		}
	}
	r := &LevelReport{Level: l.state.Name(l.state.Level()), StayS: float64(l.state.Stay()) / 1e6, Signals: l.signals, Past: slices.Clone(l.changes)}
	if l.state.TrialActive() {
		r.Trying = l.state.Name(l.state.Level() - 1)
	}
	if until := l.state.PinnedUntil(); until > 0 {
		r.Pinned = x.loop.Now().Add(time.Duration(until-now) * time.Microsecond)
	}
	for _, c := range l.costs {
		if c.value > 0 {
			c.Answered = c.earned / c.value
		}
		r.Cost = append(r.Cost, c)
	}
	return r, nil
}
