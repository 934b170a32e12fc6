package hook

// This file is the host that a running mixer has: the set in force, what is known
// of each hook, and the change from one set to the next. It must never leave the
// mixer without a set because the next one is bad.

import (
	"cmp"
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/breaker"
	"saddleport/internal/core/hookrule"
	"saddleport/internal/exchange"
	"saddleport/internal/inifile"
	"saddleport/internal/logs"
	"saddleport/sdk/hookabi"
)

var log = logs.For("hook")

// Settings are the operator file's section [hooks].
type Settings struct {
	Dir         string        `ini:"dir" help:"the set's folder; none: no hooks are on"`
	Workers     int           `ini:"workers" default:"4" range:"1..64" help:"hooks that run at once (counts from the next start)"`
	Queue       int           `ini:"queue" default:"256" range:"1..65536" help:"asks that wait for a worker; beyond: the failure rule (counts from the next start)"`
	MostWait    time.Duration `ini:"most-wait" default:"10ms" range:"1ms..1s" help:"all hooks of one point together, waiting included"`
	Memory      inifile.Bytes `ini:"memory" default:"128MiB" range:"1MiB..64GiB" help:"all hooks of a set together, at their most"`
	ForwardTags bool          `ini:"forward-tags" default:"no" help:"tags go to leaf servers, in the frame's list (counts from the next start)"`
	Streak      int           `ini:"breaker-streak" default:"5" range:"1..1000" help:"failures in a row that put a hook in quarantine"`
	Share       float64       `ini:"breaker-share" default:"0.2" range:"0.01..1" help:"or this share of its calls in 10 s, of 20 at least"`
	FirstPause  time.Duration `ini:"breaker-pause" default:"1s" range:"10ms..1h" help:"the first quarantine; each further one is twice as long"`
	MostPause   time.Duration `ini:"breaker-most-pause" default:"1m" range:"10ms..24h" help:"the longest"`
	// StuckAfter beyond its budget a call that has not ended counts as one that never
	// will; 0: the usual second. It is not for the file.
	StuckAfter time.Duration
	Trials     int `ini:"breaker-trials" default:"5" range:"1..1000" help:"trial calls in a row that must succeed"`
}

// Check is for the operator file.
func (s *Settings) Check() error {
	if s.MostPause < s.FirstPause {
		return fmt.Errorf("breaker-most-pause %v is shorter than breaker-pause %v", s.MostPause, s.FirstPause)
	}
	return nil
}

func (s *Settings) breaker() breaker.Config {
	c := breaker.Default
	c.MaxFailureStreak, c.FailureRatio, c.TrialSuccesses = s.Streak, s.Share, s.Trials
	c.MinBackoff, c.MaxBackoff = s.FirstPause.Microseconds(), s.MostPause.Microseconds()
	return c
}

// unit is what is known of a hook by name. It outlives the set where the next one
// has the same hook.
type unit struct {
	name     string
	disabled atomic.Bool

	mu      sync.Mutex
	digest  [32]byte
	breaker *breaker.Breaker
	stuck   string // why it is never called again; empty: it may be
	calls   int64
	faults  map[Kind]int64
	last    string        // the last fault
	spent   time.Duration // in calls
	spans   [24]int64     // calls by the power of two of their microseconds
}

// Host runs the hooks of one mixer. It implements exchange.Hooks.
type Host struct {
	loader Loader
	rules  hookrule.Rules
	pool   *pool
	start  time.Time

	loading sync.Mutex // one set is loaded at a time

	mu       sync.Mutex
	settings Settings
	set      *Set
	units    map[string]*unit
	version  int
	swaps    int
	lastErr  string
}

// NewHost returns a host without a set.
func NewHost(s Settings, engines map[string]Engine, classes []choice.Class) *Host {
	return &Host{loader: Loader{Engines: engines, Classes: classes, Workers: s.Workers, Memory: s.Memory},
		rules: hookrule.New(classes), pool: newPool(s.Workers, s.Queue), start: time.Now(), settings: s, units: make(map[string]*unit)}
}

// now is the breakers' clock.
func (h *Host) now() int64 { return time.Since(h.start).Microseconds() }

// Apply takes settings over. Those of the pool stay.
func (h *Host) Apply(s Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settings = s
	for _, u := range h.units {
		u.mu.Lock()
		u.breaker.Config = s.breaker()
		u.mu.Unlock()
	}
}

// Reload loads the set in a folder beside the one in force and puts it in its
// place: for queries taken from then on. A set that does not load, or fails its
// self-tests, changes nothing. An empty name takes the hooks away.
func (h *Host) Reload(dir string) error {
	h.loading.Lock()
	defer h.loading.Unlock()
	start := time.Now()
	var set *Set
	if dir != "" {
		var err error
		h.mu.Lock()
		loader := h.loader
		loader.Memory = h.settings.Memory
		h.mu.Unlock()
		if set, err = loader.Load(dir); err != nil {
			h.mu.Lock()
			h.lastErr = err.Error()
			h.mu.Unlock()
			log.Error("hooks-rejected", "dir", dir, "err", err)
			return err
		}
	}
	h.mu.Lock()
	old := h.set
	units := make(map[string]*unit)
	if set != nil {
		h.version++
		set.Version = h.version
		for _, k := range set.Hooks {
			u := h.units[k.Name]
			if u == nil {
				u = &unit{name: k.Name, faults: make(map[Kind]int64)}
			}
			u.mu.Lock()
			if u.breaker == nil || u.digest != k.digest { // another hook under the same name: it starts anew
				u.digest, u.breaker, u.stuck = k.digest, breaker.New(h.settings.breaker(), h.now()), ""
			}
			u.mu.Unlock()
			k.unit, units[k.Name] = u, u
		}
	}
	h.set, h.units, h.lastErr = set, units, ""
	h.swaps++
	h.mu.Unlock()
	if old != nil {
		old.retire()
	}
	if set == nil {
		log.Info("hooks-loaded", "dir", "", "hooks", 0)
	} else {
		log.Info("hooks-loaded", "dir", dir, "set", set.Manifest.About.Name, "version", set.Version, "hooks", len(set.Hooks),
			"tests", len(set.Manifest.Tests), "took", time.Since(start).Round(time.Millisecond))
	}
	return nil
}

// Close frees the set and ends the workers. No query may begin any more.
func (h *Host) Close() {
	h.mu.Lock()
	set := h.set
	h.set = nil
	h.mu.Unlock()
	if set != nil {
		set.retire()
	}
	h.pool.close()
}

// Begin implements exchange.Hooks.
func (h *Host) Begin(class string) exchange.QueryHooks {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.set == nil {
		return nil
	}
	for p := range hookabi.Points {
		for _, k := range h.set.Hooks {
			if k.wants(p, class) && !k.unit.disabled.Load() {
				if !h.set.acquire() {
					return nil
				}
				s := &session{host: h, set: h.set, most: h.settings.MostWait, stuck: cmp.Or(h.settings.StuckAfter, stuckAfter)}
				s.users.Store(1)
				return s
			}
		}
	}
	return nil
}

// ErrUnknown is for a hook that the set in force does not have.
var ErrUnknown = errors.New("no such hook in the set that is in force")

// Enable turns a hook on or off. One that is on again is out of quarantine.
func (h *Host) Enable(name string, on bool) error {
	h.mu.Lock()
	u, config := h.units[name], h.settings.breaker()
	h.mu.Unlock() // the exchange takes it for each query: nothing slow under it
	if u == nil {
		return fmt.Errorf("%s: %w", name, ErrUnknown)
	}
	u.disabled.Store(!on)
	if on {
		u.mu.Lock()
		u.breaker, u.stuck = breaker.New(config, h.now()), ""
		u.mu.Unlock()
	}
	log.Info("hook-enabled", "hook", name, "on", on)
	return nil
}

// Status is what is known of a hook.
type Status struct {
	Name, Engine, State, Reason string
	Points, Classes             []string
	Order                       int
	OnFailure                   string
	Calls                       int64
	Faults                      map[Kind]int64
	LastFault                   string
	P50us, P99us                int64 // of its calls, to the next power of two
	QuarantineLeftMS            int64
	Opened                      int
}

// Report is what is known of all.
type Report struct {
	Set, Dir         string
	Version, Swaps   int
	Running, Waiting int
	Rejected         string // why the last reload was, if it was
	Hooks            []Status
}

// Report tells what is in force.
func (h *Host) Report() Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Report{Swaps: h.swaps, Rejected: h.lastErr, Hooks: []Status{}}
	r.Running, r.Waiting = h.pool.load()
	if h.set == nil {
		return r
	}
	r.Set, r.Dir, r.Version = h.set.Manifest.About.Name, h.set.Manifest.Dir, h.set.Version
	for _, k := range h.set.Hooks {
		u := k.unit
		u.mu.Lock()
		s := Status{Name: k.Name, Engine: k.Engine, Points: k.Points, Classes: k.Classes, Order: k.Order, OnFailure: k.OnFailure,
			Calls: u.calls, Faults: make(map[Kind]int64), LastFault: u.last, P50us: u.quantile(0.5), P99us: u.quantile(0.99),
			Opened: u.breaker.OpenCount}
		for kind, n := range u.faults {
			s.Faults[kind] = n
		}
		switch {
		case u.disabled.Load():
			s.State, s.Reason = "disabled", "by an operator"
		case u.stuck != "":
			s.State, s.Reason = "stuck", u.stuck
		case u.breaker.State == breaker.Open:
			s.State, s.Reason = "quarantine", u.breaker.Reason
			s.QuarantineLeftMS = max(u.breaker.Until-h.now(), 0) / 1000
		case u.breaker.State == breaker.HalfOpen:
			s.State, s.Reason = "trial", u.breaker.Reason
		default:
			s.State = "in service"
		}
		u.mu.Unlock()
		r.Hooks = append(r.Hooks, s)
	}
	slices.SortStableFunc(r.Hooks, func(a, b Status) int { return cmp.Compare(a.Order, b.Order) })
	return r
}

// quantile is under mu.
func (u *unit) quantile(q float64) int64 {
	total, sum := int64(0), int64(0)
	for _, n := range u.spans {
		total += n
	}
	for i, n := range u.spans {
		if sum += n; total > 0 && float64(sum) >= q*float64(total) {
			return 1 << i
		}
	}
	return 0
}

// allow tells whether a call may be made, and as a trial or not.
func (u *unit) allow(now int64) (ok, trial bool, why string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stuck != "" {
		return false, false, u.stuck
	}
	ok, trial = u.breaker.Allow(now)
	return ok, trial, u.breaker.Reason
}

// record notes how a call ended; f is nil where it ended well.
func (u *unit) record(now int64, trial bool, took time.Duration, f *Fault) {
	c, pause, changed := u.note(now, trial, took, f)
	if changed { // not under mu: a log that is slow must hold up nobody who asks for the state
		log.Warn("hook-state", "hook", u.name, "from", c.From, "to", c.To, "pause_ms", pause/1000, "reason", c.Reason)
	}
}

// note is record without its line.
func (u *unit) note(now int64, trial bool, took time.Duration, f *Fault) (c breaker.Change, pause int64, changed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.calls++
	u.spent += took
	u.spans[min(bits.Len64(uint64(max(took.Microseconds(), 0))), len(u.spans)-1)]++
	if f != nil {
		u.faults[f.Kind]++
		u.last = f.Error()
	}
	if f != nil && !f.Kind.own() {
		u.breaker.Skip(trial)
		return c, 0, false
	}
	what := ""
	if f != nil {
		what = string(f.Kind)
	}
	c, changed = u.breaker.Record(now, trial, f != nil, what)
	return c, u.breaker.Backoff, changed
}

// missed counts a call that was not made.
func (u *unit) missed(k Kind) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults[k]++
}
