package hook

// This file has the hooks of one query, and the asks they are given. It must
// never call a hook but on the pool.

import (
	"context"
	"sync/atomic"
	"time"

	"saddleport/internal/core/hookrule"
	"saddleport/sdk/hookabi"
)

// stuckAfter beyond its time an engine that does not end a call has failed to
// interrupt it: the hook is never called again, and the worker is replaced.
const stuckAfter = time.Second

// session implements exchange.Hooked for one query. The set is its own until the
// query and all its asks have ended.
type session struct {
	host  *Host
	set   *Set
	most  time.Duration
	stuck time.Duration
	users atomic.Int64
}

func (s *session) leave() {
	if s.users.Add(-1) == 0 {
		s.set.release()
	}
}

// Wants implements exchange.Hooked.
func (s *session) Wants(p hookabi.Point, class string) bool {
	for _, h := range s.set.Hooks {
		if h.wants(p, class) && !h.unit.disabled.Load() {
			return true
		}
	}
	return false
}

// Timeout implements exchange.Hooked: the budgets, and as much again for a worker to
// come free, up to what the operators allow.
func (s *session) Timeout(p hookabi.Point, class string) time.Duration {
	sum := time.Duration(0)
	for _, h := range s.set.Hooks {
		if h.wants(p, class) && !h.unit.disabled.Load() {
			sum += h.Budget
		}
	}
	return min(2*sum, s.most)
}

// Fallback implements exchange.Hooked.
func (s *session) Fallback(p hookabi.Point, class string) *hookabi.Result {
	for _, h := range s.set.Hooks {
		if h.wants(p, class) && !h.unit.disabled.Load() && h.OnFailure == "refuse" {
			return h.refusal()
		}
	}
	return nil
}

// refusal is what on-failure = refuse makes of a query.
func (h *Hook) refusal() *hookabi.Result {
	return &hookabi.Result{Refuse: true, Reason: "hook " + h.Name + " did not answer", RetryAfter: h.RetryAfter.Microseconds()}
}

// Invoke implements exchange.Hooked.
func (s *session) Invoke(v *hookabi.View, within time.Duration, done func(*hookabi.Result)) {
	until := time.Now().Add(within)
	s.users.Add(1)
	taken := s.host.pool.push(v.Class, func(lost func()) { s.run(v, until, lost, done) }, s.leave)
	if !taken {
		s.users.Add(-1) // not the last: the query holds one
		for _, h := range s.set.Hooks {
			if h.wants(v.Point, v.Class) && !h.unit.disabled.Load() {
				h.unit.missed(Busy)
			}
		}
		log.Warn("hooks-busy", "class", v.Class, "point", v.Point)
		done(s.Fallback(v.Point, v.Class))
	}
}

// End implements exchange.Hooked.
func (s *session) End(v *hookabi.View) {
	if v != nil {
		s.Invoke(v, s.Timeout(v.Point, v.Class), func(*hookabi.Result) {})
	}
	s.leave()
}

// run asks the hooks of a view's point in order, on the pool.
func (s *session) run(v *hookabi.View, until time.Time, lost func(), done func(*hookabi.Result)) {
	merged, class, point := &hookabi.Result{}, v.Class, v.Point
	for _, h := range s.set.Hooks {
		// A hook that rewrote the class may have brought others in.
		if !h.wants(point, v.Class) || h.unit.disabled.Load() {
			continue
		}
		granted, f := s.one(h, v, until, lost)
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

// merge adds what one hook was granted to what those before it were.
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

// one asks one hook.
func (s *session) one(h *Hook, v *hookabi.View, until time.Time, lost func()) (*hookabi.Result, *Fault) {
	left := time.Until(until)
	if left <= 0 {
		h.unit.missed(Short)
		return nil, Faultf(Short, "no time left")
	}
	ok, trial, why := h.unit.allow(s.host.now())
	if !ok {
		h.unit.missed(Quarantined)
		return nil, Faultf(Quarantined, "%s", why)
	}
	budget := min(h.Budget, left)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	guard := time.AfterFunc(budget+s.stuck, func() { s.host.stick(h, lost) })
	r, err := call(ctx, h, v)
	guard.Stop()
	cancel()
	took := time.Since(start)
	f := faultOf(err)
	if f == nil {
		granted, refused := s.host.rules.Check(v, r, h.Name)
		if refused != nil {
			f = Faultf(Forbidden, "%s: %v", h.File, refused)
		} else {
			for _, line := range r.Log {
				log.Info("hook-log", "hook", h.Name, "id", v.ID, "text", line)
			}
			r = granted
		}
	}
	if f != nil && f.Kind == Overrun && budget < h.Budget {
		f.Kind = Short // it was given less than its budget
	}
	h.unit.record(s.host.now(), trial, took, f)
	if f != nil {
		log.Warn("hook-fault", "hook", h.Name, "id", v.ID, "class", v.Class, "point", v.Point, "kind", string(f.Kind),
			"took_us", took.Microseconds(), "err", f.What)
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

// stick puts a hook out of use whose call does not end, and gives the pool a
// worker for the one that is lost.
func (h *Host) stick(k *Hook, lost func()) {
	why := "a call did not end long after its budget"
	k.unit.mu.Lock()
	k.unit.stuck = why
	k.unit.mu.Unlock()
	log.Error("hook-stuck", "hook", k.Name, "err", why)
	lost()
}
