package exchange

// Named levels of reduced service, where an operator has set some. This file owns what
// is measured for them, and what a level gives up of a query before the decisions see
// it. It must never mark an answer whole that is not, give less than a class's least
// share, hold a query back, or choose a server; core/level decides which level is in
// force, and the decisions all else.

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

// LevelsSettings are the operator file's section [levels].
type LevelsSettings struct {
	Names    []string      `ini:"levels" help:"[level NAME] sections, from the mildest on; none: there is full service alone"`
	Evidence time.Duration `ini:"evidence" default:"3s" range:"500ms..10m" help:"a signal at twice its bound for so long enters a level; at 1.5 times, for twice as long"`
	Back     float64       `ini:"back" default:"0.5" range:"0.05..0.95" help:"below this share of its bounds a level is spoken against"`
	Calm     time.Duration `ini:"calm" default:"5s" range:"500ms..10m" help:"with all signals at 0, so long until a level may be left"`
	Stay     time.Duration `ini:"least-stay" default:"10s" range:"1s..1h"`
	MostStay time.Duration `ini:"most-stay" default:"160s" range:"1s..24h" help:"each return soon after, and each trial that fails, doubles the stay up to this"`
	Trial    time.Duration `ini:"trial" default:"5s" range:"1s..10m" help:"the better level is tried for so long before it is in force"`
	Share    float64       `ini:"trial-share" default:"0.1" range:"0.01..0.9" help:"of the queries that try it"`
	Worse    float64       `ini:"worse" default:"0.025" range:"0..1" help:"a trial fails where it loses this much more of its value than the others"`
	Seen     int           `ini:"trial-least" default:"20" range:"1..100000" help:"queries that must have tried it"`
}

// LevelSettings are a section [level NAME]. A bound of 0 is none.
type LevelSettings struct {
	Name    string
	Refused float64  `ini:"refused" default:"0" range:"0..1" help:"enter: share of the value asked for that is refused for want of room"`
	Failed  float64  `ini:"failed" default:"0" range:"0..1" help:"enter: share that fails or comes too late"`
	Cold    float64  `ini:"cold" default:"0" range:"0..1" help:"enter: share of the usable servers that are cold"`
	Unsound float64  `ini:"unsound" default:"0" range:"0..1" help:"enter: share of the cells without a usable server"`
	Queue   float64  `ini:"queue" default:"0" range:"0..60000" help:"enter: ms that what comes in waits for the exchange"`
	Give    []string `ini:"give" help:"what is given up, by class: CLASS share S (ask for so much, never less than its least share; marked not whole), CLASS refuse R (turn away this share at once)"`
}

// give is what a level gives up of a class.
type give struct{ share, refuse float64 }

// gives reads what a level gives up.
func (s *LevelSettings) gives() (map[string]give, error) {
	out := make(map[string]give)
	for _, text := range s.Give {
		w := strings.Fields(text)
		if len(w) != 3 || w[1] != "share" && w[1] != "refuse" {
			return nil, fmt.Errorf("give: %q is neither CLASS share S nor CLASS refuse R", text)
		}
		v, err := strconv.ParseFloat(w[2], 64)
		if err != nil || !(v >= 0 && v <= 1) {
			return nil, fmt.Errorf("give: %q: %s is not within 0 to 1", text, w[2])
		}
		g, known := out[w[0]]
		if !known {
			g.share = 1
		}
		if w[1] == "share" {
			g.share = v
		} else {
			g.refuse = v
		}
		out[w[0]] = g
	}
	return out, nil
}

// Check looks at what a level gives up; classes may be nil where they are not known.
func (s *LevelSettings) Check(classes []choice.Class) error {
	g, err := s.gives()
	if err != nil {
		return err
	}
	for name := range g {
		if classes != nil && !slices.ContainsFunc(classes, func(c choice.Class) bool { return c.Name == name }) {
			return fmt.Errorf("give: there is no class %s", name)
		}
	}
	return nil
}

// levels is what the exchange holds for them. Its goroutine owns it.
type levels struct {
	set   LevelsSettings
	gives []map[string]give // by level; [0] is full service
	state *level.State
	rng   *rand.Rand
	tick  *timer

	value, refused, failed float64 // of the span at hand
	asked                  int
	queue                  time.Duration
	servers                map[string]choice.Server
	past                   []LevelChange
	spent                  []LevelCost
	at                     choice.Micros // of the last reading
	signals                level.Signals
}

// LevelChange is a change of the level, for people.
type LevelChange struct {
	At       time.Time
	From, To string
	Why      string
}

// LevelCost is what a level has cost and saved since the start.
type LevelCost struct {
	Level    string
	Seconds  float64
	Asked    int64
	Refused  int64   // turned away by it
	Short    int64   // asked for less than all
	Answered float64 // value answered in time, as a share of what was asked for
	value    float64
	earned   float64
}

const (
	readEvery  = time.Second
	mostPast   = 256
	leastAsked = 5 // in a span: with fewer nothing is judged
)

// SetLevels turns levels on. It must be called before Run.
func (x *Exchange) SetLevels(set LevelsSettings, each []LevelSettings) error {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	s := level.Settings{Evidence: us(set.Evidence), ExitRatio: set.Back, Calm: us(set.Calm), MinStay: us(set.Stay), MaxStay: us(set.MostStay), Trial: us(set.Trial),
		MaxRegression: set.Worse, MinSamples: set.Seen}
	l := &levels{set: set, gives: []map[string]give{nil}, rng: rand.New(rand.NewPCG(x.seeds, 11)), servers: make(map[string]choice.Server), spent: []LevelCost{{Level: "full"}}}
	for _, name := range set.Names {
		i := slices.IndexFunc(each, func(e LevelSettings) bool { return e.Name == name })
		if i < 0 {
			return fmt.Errorf("levels: there is no section [level %s]", name)
		}
		if err := each[i].Check(x.set.Router.Classes); err != nil {
			return fmt.Errorf("[level %s] %w", name, err)
		}
		g, _ := each[i].gives()
		l.gives = append(l.gives, g)
		l.spent = append(l.spent, LevelCost{Level: name})
		v := level.Level{Name: name}
		for k, bound := range []float64{each[i].Refused, each[i].Failed, each[i].Cold, each[i].Unsound, each[i].Queue} {
			if bound > 0 {
				v.Enter = append(v.Enter, level.Condition{Signal: level.SignalNames[k], Above: bound})
			}
		}
		if len(v.Enter) == 0 {
			return fmt.Errorf("[level %s] names no bound: it would never be entered", name)
		}
		s.Levels = append(s.Levels, v)
	}
	l.at = x.Clock(x.drive.Now())
	l.state = level.New(s, l.at)
	x.levels = l
	return nil
}

// read closes a span of readings and lets the level be decided.
func (x *Exchange) read() {
	l, now := x.levels, x.drive.Now()
	l.tick = x.after(now.Add(readEvery), x.read)
	at := x.Clock(now)
	g := level.Signals{Queue: float64(l.queue.Microseconds()) / 1000}
	if l.asked >= leastAsked && l.value > 0 {
		g.QueryRate, g.Refused, g.Failed = float64(l.asked), l.refused/l.value, l.failed/l.value
	}
	usable, cold := 0, 0
	cells := make(map[int]bool)
	for _, s := range l.servers {
		usable++
		cells[s.Cell] = true
		if s.UpSince > 0 && at-s.UpSince < x.set.Router.SlowStart {
			cold++
		}
	}
	if usable > 0 {
		g.SlowStart = float64(cold) / float64(usable)
		g.CellsDown = 1 - float64(len(cells))/float64(max(x.set.Router.Cells, 1))
	}
	cost := &l.spent[l.state.Level()]
	cost.Seconds += float64(at-l.at) / 1e6
	l.at, l.signals = at, g
	l.asked, l.value, l.refused, l.failed, l.queue = 0, 0, 0, 0, 0
	if c, ok := l.state.Update(at, g); ok {
		x.changed(c)
	}
}

// changed notes a change of the level.
func (x *Exchange) changed(c level.Change) {
	l := x.levels
	if l.past = append(l.past, LevelChange{x.drive.Now(), l.state.Name(c.From), l.state.Name(c.To), c.Reason}); len(l.past) > mostPast {
		l.past = slices.Delete(l.past, 0, len(l.past)-mostPast)
	}
	x.Counters.LevelChanges.Add(1)
	x.Counters.Level.Store(int64(c.To))
	log.Warn("level", "from", l.state.Name(c.From), "to", l.state.Name(c.To), "why", c.Reason)
}

// eased is what a level has taken from a query.
type eased struct {
	level int
	tried bool
	need  float64 // what the decisions are to want; 0: the class's
}

// ease gives up of a query what the level says, and tells whether it goes on.
func (x *Exchange) ease(h *held) bool {
	l := x.levels
	e := &eased{level: l.state.Level()}
	if l.state.TrialActive() && l.rng.Float64() < l.set.Share {
		e.level, e.tried = e.level-1, true
	}
	h.eased = e
	cost := &l.spent[e.level]
	cost.Asked++
	g, gives := l.gives[e.level][h.class]
	if !gives {
		return true
	}
	if l.rng.Float64() < g.refuse {
		cost.Refused++
		x.Counters.LevelRefused.Add(1)
		advice := x.advice(h.class)
		advice += time.Duration(l.rng.Float64() * float64(advice)) // they must not come back together
		x.end(h, Final{Ending: Refused, RetryAfter: advice, Reason: "reduced service: " + l.state.Name(e.level)})
		return false
	}
	class := x.class(h.class)
	if g.share >= 1 || class.Effect != choice.Safe || class.MinShare >= class.RequiredShare || h.placed != nil || h.watched != nil {
		return true
	}
	if target := max(g.share, class.MinShare); target < class.RequiredShare {
		// The decisions are to want so much. All parts stay theirs to send, so one that is
		// overdue still has others to stand in for it.
		e.need = target
		// Parts whose cells are worst off are planned last.
		sound := l.sound(x)
		slices.SortStableFunc(h.parts, func(a, b *part) int { return sound(b.Shard) - sound(a.Shard) })
		cost.Short++
		x.Counters.LevelShort.Add(1)
	}
	return true
}

// sound says of a shard: 0, no usable server holds it; 1, none that is warm; 2.
func (l *levels) sound(x *Exchange) func(shard int) int {
	at := x.Clock(x.drive.Now())
	cells := make([]int, max(x.set.Router.Cells, 1))
	for _, s := range l.servers {
		if s.Cell < 0 || s.Cell >= len(cells) {
			continue
		}
		n := 2
		if s.UpSince > 0 && at-s.UpSince < x.set.Router.SlowStart {
			n = 1
		}
		cells[s.Cell] = max(cells[s.Cell], n)
	}
	return func(shard int) int {
		best := 0
		for j := range max(x.set.Router.Width, 1) {
			best = max(best, cells[(shard+j)%len(cells)])
		}
		return best
	}
}

// easedFinal marks the answer to a query that was not asked for as a whole.
func (x *Exchange) easedFinal(h *held, f Final) Final {
	class, share := x.class(h.class), h.share()
	f.Whole = f.Whole && hookrule.MeetsRequiredShare(class, share)
	if !hookrule.MeetsMinShare(class, share) {
		return Final{Ending: Failed}
	}
	return f
}

// weigh notes how a query has ended.
func (l *levels) weigh(x *Exchange, h *held, f Final) {
	class := x.class(h.class)
	late := x.drive.Now().Sub(h.TakenAt).Microseconds() > class.LatencyTarget
	l.asked++
	l.value += class.Value
	lost, earned := 0.0, class.Value
	switch {
	case f.Ending == Gone:
		l.asked--
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
	case !f.Whole && class.RequiredShare > 0:
		earned *= min(h.share()/class.RequiredShare, 1) * class.PartialValue
		lost = class.Value - earned
	}
	if h.eased != nil {
		cost := &l.spent[h.eased.level]
		cost.value += class.Value
		cost.earned += earned
		l.state.RecordQuery(h.eased.tried, class.Value, lost)
	}
}

// heard takes news of the list.
func (l *levels) heard(list choice.List) {
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

// ---- What operators see and say.

// LevelReport is what is known of the levels.
type LevelReport struct {
	Level   string
	Trying  string `json:",omitempty"`
	StayS   float64
	Pinned  time.Time
	Signals level.Signals
	Past    []LevelChange
	Cost    []LevelCost
}

// Levels tells of the levels, and does first what is asked: pin or release. It waits
// for the exchange's goroutine, up to a bound.
func (x *Exchange) Levels(pin string, span time.Duration, release bool) (*LevelReport, error) {
	type answer struct {
		r   *LevelReport
		err error
	}
	out := make(chan answer, 1)
	x.post(func() {
		r, err := x.levelReport(pin, span, release)
		out <- answer{r, err}
	})
	select {
	case a := <-out:
		return a.r, a.err
	case <-time.After(10 * time.Second):
		return nil, fmt.Errorf("the exchange did not answer in time")
	}
}

// LevelsNow is Levels for who owns the exchange's goroutine; nil: there are none.
func (x *Exchange) LevelsNow() *LevelReport {
	r, err := x.levelReport("", 0, false)
	if err != nil {
		return nil
	}
	return r
}

func (x *Exchange) levelReport(pin string, span time.Duration, release bool) (*LevelReport, error) {
	l := x.levels
	if l == nil {
		return nil, fmt.Errorf("this mixer has no levels: [levels] levels names none")
	}
	now := x.Clock(x.drive.Now())
	if pin != "" {
		n := 0
		if pin != "full" {
			if n = slices.Index(l.set.Names, pin) + 1; n == 0 {
				return nil, fmt.Errorf("there is no level %.40s; there are: full, %s", pin, strings.Join(l.set.Names, ", "))
			}
		}
		if c, ok := l.state.Pin(now, n, now+span.Microseconds()); ok {
			x.changed(c)
		}
	}
	if release {
		if c, ok := l.state.Release(now); ok {
			x.changed(c)
		}
	}
	r := &LevelReport{Level: l.state.Name(l.state.Level()), StayS: float64(l.state.Stay()) / 1e6, Signals: l.signals, Past: slices.Clone(l.past)}
	if l.state.TrialActive() {
		r.Trying = l.state.Name(l.state.Level() - 1)
	}
	if until := l.state.PinnedUntil(); until > 0 {
		r.Pinned = x.drive.Now().Add(time.Duration(until-now) * time.Microsecond)
	}
	for _, c := range l.spent {
		if c.value > 0 {
			c.Answered = c.earned / c.value
		}
		r.Cost = append(r.Cost, c)
	}
	return r, nil
}
