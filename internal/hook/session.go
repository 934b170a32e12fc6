package hook

// The hooks of one query and their calls. Hooks must only be called on the pool.

import (
	"context"
	"sync/atomic"
	"time"

	"saddleport/internal/core/hookrule"
	"saddleport/sdk/hookabi"
)

// stuckAfter is how long after its budget a call may still run. After that the engine
// has failed to interrupt it: the hook is not called again, and the worker is replaced.
const stuckAfter = time.Second

// session implements exchange.QueryHooks for one query. It keeps a reference to its set
// until the query and all its hook calls have ended.
type session struct {
	host       *Host
	set        *Set
	maxWait    time.Duration
	stuckAfter time.Duration
	refs       atomic.Int64
}

// release drops one reference to the session, and with the last one the reference to
// its set.
func (s *session) release() {
	if s.refs.Add(-1) == 0 {
		s.set.release()
	}
}

// Wants implements exchange.QueryHooks.
func (s *session) Wants(p hookabi.Point, class string) bool {
	for _, h := range s.set.Hooks {
		if h.wants(p, class) && !h.state.disabled.Load() {
			return true
		}
	}
	return false
}

// Timeout implements exchange.QueryHooks: twice the sum of the budgets, so that there is
// as much time to wait for a worker, limited by most-wait of the settings.
func (s *session) Timeout(p hookabi.Point, class string) time.Duration {
	sum := time.Duration(0)
	for _, h := range s.set.Hooks {
		if h.wants(p, class) && !h.state.disabled.Load() {
			sum += h.Budget
		}
	}
	return min(2*sum, s.maxWait)
}

// Fallback implements exchange.QueryHooks.
func (s *session) Fallback(p hookabi.Point, class string) *hookabi.Result {
	for _, h := range s.set.Hooks {
		if h.wants(p, class) && !h.state.disabled.Load() && h.OnFailure == "refuse" {
			return h.refusal()
		}
	}
	return nil
}

// refusal returns the result that on-failure = refuse gives for a failed call.
func (h *Hook) refusal() *hookabi.Result {
	return &hookabi.Result{Refuse: true, Reason: "hook " + h.Name + " did not answer", RetryAfter: h.RetryAfter.Microseconds()}
}

// Invoke implements exchange.QueryHooks.
func (s *session) Invoke(v *hookabi.View, within time.Duration, done func(*hookabi.Result)) {
	deadline := time.Now().Add(within)
	s.refs.Add(1)
	queued := s.host.pool.push(v.Class, func(stuck func()) { s.run(v, deadline, stuck, done) }, s.release)
	if !queued {
		s.refs.Add(-1) // not the last reference: the query has one
		for _, h := range s.set.Hooks {
			if h.wants(v.Point, v.Class) && !h.state.disabled.Load() {
				h.state.countSkipped(Busy)
			}
		}
		log.Warn("hooks-busy", "class", v.Class, "point", v.Point)
		done(s.Fallback(v.Point, v.Class))
	}
}

// End implements exchange.QueryHooks.
func (s *session) End(v *hookabi.View) {
	if v != nil {
		s.Invoke(v, s.Timeout(v.Point, v.Class), func(*hookabi.Result) {})
	}
	s.release()
}

// run calls the hooks of the view's point in order. It runs on a worker of the pool.
func (s *session) run(v *hookabi.View, deadline time.Time, stuck func(), done func(*hookabi.Result)) {
	merged, class, point := &hookabi.Result{}, v.Class, v.Point
	for _, h := range s.set.Hooks {
		// v.Class may have been changed by an earlier hook, and with it the hooks to call.
		if !h.wants(point, v.Class) || h.state.disabled.Load() {
			continue
		}
		granted, f := s.callHook(h, v, deadline, stuck)
		if f != nil {
			if h.OnFailure == "refuse" && point != hookabi.Ended {
				granted = h.refusal()
			} else {
				continue
			}
		}
		hookrule.Apply(v, granted)
		merge(merged, granted)
		if granted.Refuse {
			break
		}
	}
	if merged.Class == class {
		merged.Class = ""
	}
	done(merged)
}

// merge adds what one hook was granted to what earlier hooks were granted.
func merge(into, a *hookabi.Result) {
	into.Tags, into.Notes = hookrule.Merge(into.Tags, a.Tags), hookrule.Merge(into.Notes, a.Notes)
	into.Drop = append(into.Drop, a.Drop...)
	into.NotWhole = into.NotWhole || a.NotWhole
	if a.Class != "" {
		into.Class = a.Class
	}
	if a.Left > 0 {
		into.Left = a.Left
	}
	if a.Refuse {
		into.Refuse, into.Reason, into.RetryAfter = true, a.Reason, a.RetryAfter
	}
}

// callHook calls one hook and returns what the rules grant of its result. It calls stuck
// if the call does not end within stuckAfter beyond its budget.
func (s *session) callHook(h *Hook, v *hookabi.View, deadline time.Time, stuck func()) (*hookabi.Result, *Fault) {
	left := time.Until(deadline)
	if left <= 0 {
		h.state.countSkipped(Short)
		return nil, Faultf(Short, "no time left")
	}
	ok, trial, reason := h.state.allow(s.host.now())
	if !ok {
		h.state.countSkipped(Quarantined)
		return nil, Faultf(Quarantined, "%s", reason)
	}
	budget := min(h.Budget, left)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	watchdog := time.AfterFunc(budget+s.stuckAfter, func() { s.host.markStuck(h, stuck) })
	r, err := call(ctx, h, v)
	watchdog.Stop()
	cancel()
	took := time.Since(start)
	f := faultOf(err)
	if f == nil {
		granted, rejected := s.host.rules.Check(v, r, h.Name)
		if rejected != nil {
			f = Faultf(Forbidden, "%s: %v", h.File, rejected)
		} else {
			for _, line := range r.Log {
				log.Info("hook-log", "hook", h.Name, "id", v.ID, "text", line)
			}
			r = granted
		}
	}
	if f != nil && f.Kind == Overrun && budget < h.Budget {
		f.Kind = Short // the call had less time than the hook's budget
	}
	h.state.record(s.host.now(), trial, took, f)
	if f != nil {
		log.Warn("hook-fault", "hook", h.Name, "id", v.ID, "class", v.Class, "point", v.Point, "kind", string(f.Kind),
			"took_us", took.Microseconds(), "err", f.Message)
	}
	return r, f
}

func faultOf(err error) *Fault {
	if err == nil {
		return nil
	}
	if f, ok := err.(*Fault); ok {
		return f
	}
	return Faultf(Thrown, "%v", err)
}

// markStuck disables a hook with a call that does not end, and makes the pool replace
// the worker that the call blocks.
func (h *Host) markStuck(hook *Hook, stuck func()) {
	reason := "a call did not end long after its budget"
	hook.state.mu.Lock()
	hook.state.stuckReason = reason
	hook.state.mu.Unlock()
	log.Error("hook-stuck", "hook", hook.Name, "err", reason)
	stuck()
}
