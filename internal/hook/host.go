package hook

// The host of a running mixer: the active set, the state of each hook, and the change
// from one set to the next. The active set must stay in use if the next one can't be
// loaded.

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

// Settings is the section [hooks] of the operator file.
type Settings struct {
	Dir           string        `ini:"dir" help:"the set's folder; none: no hooks are on"`
	Workers       int           `ini:"workers" default:"4" range:"1..64" help:"hooks that run at once (counts from the next start)"`
	Queue         int           `ini:"queue" default:"256" range:"1..65536" help:"asks that wait for a worker; beyond: the failure rule (counts from the next start)"`
	MaxWait       time.Duration `ini:"most-wait" default:"10ms" range:"1ms..1s" help:"all hooks of one point together, waiting included"`
	Memory        inifile.Bytes `ini:"memory" default:"128MiB" range:"1MiB..64GiB" help:"all hooks of a set together, at their most"`
	ForwardTags   bool          `ini:"forward-tags" default:"no" help:"tags go to leaf servers, in the frame's list (counts from the next start)"`
	FailureStreak int           `ini:"breaker-streak" default:"5" range:"1..1000" help:"failures in a row that put a hook in quarantine"`
	FailureRatio  float64       `ini:"breaker-share" default:"0.2" range:"0.01..1" help:"or this share of its calls in 10 s, of 20 at least"`
	MinQuarantine time.Duration `ini:"breaker-pause" default:"1s" range:"10ms..1h" help:"the first quarantine; each further one is twice as long"`
	MaxQuarantine time.Duration `ini:"breaker-most-pause" default:"1m" range:"10ms..24h" help:"the longest"`
	// StuckAfter is how long after its budget a call that still runs is taken to be stuck
	// for good; 0: 1 s. It has no key in the file.
	StuckAfter time.Duration
	TrialCalls int `ini:"breaker-trials" default:"5" range:"1..1000" help:"trial calls in a row that must succeed"`
}

// Check checks the constraints between the keys of the section. Constraints on single keys
// are in their tags.
func (s *Settings) Check() error {
	if s.MaxQuarantine < s.MinQuarantine {
		return fmt.Errorf("breaker-most-pause %v is shorter than breaker-pause %v", s.MaxQuarantine, s.MinQuarantine)
	}
	return nil
}

func (s *Settings) breaker() breaker.Config {
	c := breaker.Default
	c.MaxFailureStreak, c.FailureRatio, c.TrialSuccesses = s.FailureStreak, s.FailureRatio, s.TrialCalls
	c.MinBackoff, c.MaxBackoff = s.MinQuarantine.Microseconds(), s.MaxQuarantine.Microseconds()
	return c
}

// hookState is the state of the hook of one name. If the next set has a hook of the same
// name, it takes over the state.
type hookState struct {
	name     string
	disabled atomic.Bool

	mu          sync.Mutex
	digest      [32]byte
	breaker     *breaker.Breaker
	stuckReason string // why the hook is not called any more; empty: it is not stuck
	calls       int64
	faults      map[Kind]int64
	lastFault   string
	totalTime   time.Duration // of all calls
	latencies   [24]int64     // histogram: calls by bit length of their duration in microseconds
}

// Host runs the hooks of one mixer. It implements exchange.Hooks, and its methods may be
// called from any goroutine.
type Host struct {
	loader Loader
	rules  hookrule.Rules
	pool   *pool
	start  time.Time

	loading sync.Mutex // serializes Reload

	mu       sync.Mutex
	settings Settings
	set      *Set
	states   map[string]*hookState
	version  int
	swaps    int
	lastErr  string // why the last reload was rejected
}

// NewHost returns a host without a set. Reload loads one.
func NewHost(s Settings, engines map[string]Engine, classes []choice.Class) *Host {
	return &Host{loader: Loader{Engines: engines, Classes: classes, Workers: s.Workers, Memory: s.Memory},
		rules: hookrule.New(classes), pool: newPool(s.Workers, s.Queue), start: time.Now(), settings: s, states: make(map[string]*hookState)}
}

// now returns the time of the breakers' clock, in microseconds since the start.
func (h *Host) now() int64 { return time.Since(h.start).Microseconds() }

// Apply applies new settings, except those of the worker pool: they take effect at the
// next start.
func (h *Host) Apply(s Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settings = s
	for _, state := range h.states {
		state.mu.Lock()
		state.breaker.Config = s.breaker()
		state.mu.Unlock()
	}
}

// Reload loads the set in a directory and makes it the active one, for queries received
// from then on. If the set can't be loaded or fails its self-tests, the active set stays.
// With an empty name, there are no hooks any more.
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
	states := make(map[string]*hookState)
	if set != nil {
		h.version++
		set.Version = h.version
		for _, hook := range set.Hooks {
			state := h.states[hook.Name]
			if state == nil {
				state = &hookState{name: hook.Name, faults: make(map[Kind]int64)}
			}
			state.mu.Lock()
			if state.breaker == nil || state.digest != hook.digest { // new or changed: its breaker is reset
				state.digest, state.breaker, state.stuckReason = hook.digest, breaker.New(h.settings.breaker(), h.now()), ""
			}
			state.mu.Unlock()
			hook.state, states[hook.Name] = state, state
		}
	}
	h.set, h.states, h.lastErr = set, states, ""
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

// Close retires the set and stops the workers once the queue is empty. No query may begin
// after it.
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

// Begin implements exchange.Hooks. It returns nil if no enabled hook is to be called for the
// class at any point.
func (h *Host) Begin(class string) exchange.QueryHooks {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.set == nil {
		return nil
	}
	for p := range hookabi.Points {
		for _, hook := range h.set.Hooks {
			if hook.wants(p, class) && !hook.state.disabled.Load() {
				if !h.set.acquire() {
					return nil
				}
				s := &session{host: h, set: h.set, maxWait: h.settings.MaxWait, stuckAfter: cmp.Or(h.settings.StuckAfter, stuckAfter)}
				s.refs.Store(1)
				return s
			}
		}
	}
	return nil
}

// ErrUnknown is returned for a hook that is not in the active set.
var ErrUnknown = errors.New("no such hook in the active set")

// Enable enables or disables a hook. Enabling it also ends its quarantine, and the state
// of being stuck.
func (h *Host) Enable(name string, on bool) error {
	h.mu.Lock()
	state, config := h.states[name], h.settings.breaker()
	h.mu.Unlock() // the exchange locks it for each query: nothing slow may be done under it
	if state == nil {
		return fmt.Errorf("%s: %w", name, ErrUnknown)
	}
	state.disabled.Store(!on)
	if on {
		state.mu.Lock()
		state.breaker, state.stuckReason = breaker.New(config, h.now()), ""
		state.mu.Unlock()
	}
	log.Info("hook-enabled", "hook", name, "on", on)
	return nil
}

// Status is the state of one hook and the counts of its calls.
type Status struct {
	Name, Engine, State, Reason string
	Points, Classes             []string
	Order                       int
	OnFailure                   string
	Calls                       int64
	Faults                      map[Kind]int64
	LastFault                   string
	P50us, P99us                int64 // upper bounds of quantiles of the call duration: powers of two
	QuarantineLeftMS            int64
	Opened                      int // how often the breaker opened
}

// Report is the state of the host and of its hooks.
type Report struct {
	Set, Dir         string
	Version, Swaps   int
	Running, Waiting int    // jobs of the pool
	Rejected         string // why the last reload was rejected; empty: it was not
	Hooks            []Status
}

// Report returns the active set and the state of its hooks, in the order in which they
// are called.
func (h *Host) Report() Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Report{Swaps: h.swaps, Rejected: h.lastErr, Hooks: []Status{}}
	r.Running, r.Waiting = h.pool.load()
	if h.set == nil {
		return r
	}
	r.Set, r.Dir, r.Version = h.set.Manifest.About.Name, h.set.Manifest.Dir, h.set.Version
	for _, hook := range h.set.Hooks {
		state := hook.state
		state.mu.Lock()
		s := Status{Name: hook.Name, Engine: hook.Engine, Points: hook.Points, Classes: hook.Classes, Order: hook.Order, OnFailure: hook.OnFailure,
			Calls: state.calls, Faults: make(map[Kind]int64), LastFault: state.lastFault, P50us: state.quantile(0.5), P99us: state.quantile(0.99),
			Opened: state.breaker.OpenCount}
		for kind, n := range state.faults {
			s.Faults[kind] = n
		}
		switch {
		case state.disabled.Load():
			s.State, s.Reason = "disabled", "by an operator"
		case state.stuckReason != "":
			s.State, s.Reason = "stuck", state.stuckReason
		case state.breaker.State == breaker.Open:
			s.State, s.Reason = "quarantine", state.breaker.Reason
			s.QuarantineLeftMS = max(state.breaker.Until-h.now(), 0) / 1000
		case state.breaker.State == breaker.HalfOpen:
			s.State, s.Reason = "trial", state.breaker.Reason
		default:
			s.State = "in service"
		}
		state.mu.Unlock()
		r.Hooks = append(r.Hooks, s)
	}
	slices.SortStableFunc(r.Hooks, func(a, b Status) int { return cmp.Compare(a.Order, b.Order) })
	return r
}

// quantile returns an upper bound of a quantile of the call durations, in microseconds:
// a power of two. s.mu must be locked.
func (s *hookState) quantile(q float64) int64 {
	total, sum := int64(0), int64(0)
	for _, n := range s.latencies {
		total += n
	}
	for i, n := range s.latencies {
		if sum += n; total > 0 && float64(sum) >= q*float64(total) {
			return 1 << i
		}
	}
	return 0
}

// allow reports whether a call may be made, and whether it is a trial call of the breaker.
func (s *hookState) allow(now int64) (ok, trial bool, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stuckReason != "" {
		return false, false, s.stuckReason
	}
	ok, trial = s.breaker.Allow(now)
	return ok, trial, s.breaker.Reason
}

// record records the outcome of a call; f is nil if it succeeded. It logs a change of the
// breaker's state.
func (s *hookState) record(now int64, trial bool, took time.Duration, f *Fault) {
	c, backoff, changed := s.update(now, trial, took, f)
	if changed { // logged without the lock: a slow log must not block callers that read the state
		log.Warn("hook-state", "hook", s.name, "from", c.From, "to", c.To, "pause_ms", backoff/1000, "reason", c.Reason)
	}
}

// update does the work of record, without logging.
func (s *hookState) update(now int64, trial bool, took time.Duration, f *Fault) (c breaker.Change, backoff int64, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.totalTime += took
	s.latencies[min(bits.Len64(uint64(max(took.Microseconds(), 0))), len(s.latencies)-1)]++
	if f != nil {
		s.faults[f.Kind]++
		s.lastFault = f.Error()
	}
	if f != nil && !f.Kind.causedByHook() {
		s.breaker.Skip(trial)
		return c, 0, false
	}
	cause := ""
	if f != nil {
		cause = string(f.Kind)
	}
	c, changed = s.breaker.Record(now, trial, f != nil, cause)
	return c, s.breaker.Backoff, changed
}

// countSkipped counts a call that was not made.
func (s *hookState) countSkipped(k Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[k]++
}
