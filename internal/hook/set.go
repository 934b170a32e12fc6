package hook

// This file owns sets of hooks: loading, self-tests, and their life from the
// first query to the last. It must never free a set that a query still has.

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/hookrule"
	"saddleport/internal/inifile"
	"saddleport/sdk/hookabi"
)

const (
	loadTime = 30 * time.Second // for one hook to be compiled and start itself
	testTime = 2 * time.Second  // for one self-test: machines are slow when a set is checked
)

// Loader is what sets are loaded with.
type Loader struct {
	Engines map[string]Engine // by the manifest's words; "wasm-fresh" for instance = fresh
	Classes []choice.Class    // of the deployment; none: any class goes
	Workers int               // calls at once
	Memory  inifile.Bytes     // all hooks of a set together, at their most; 0: no bound
}

// Hook is a hook that has been loaded.
type Hook struct {
	Spec
	points  [hookabi.Points]bool
	program Program
	digest  [32]byte
	unit    *unit
}

// wants tells whether the hook is for a point and a class.
func (h *Hook) wants(p hookabi.Point, class string) bool {
	return h.points[p] && (len(h.Classes) == 0 || slices.Contains(h.Classes, class))
}

// Set is a set that has been loaded.
type Set struct {
	Manifest *Manifest
	Hooks    []*Hook
	Version  int // counts the sets of this process

	mu      sync.Mutex
	users   int
	retired bool
	freed   chan struct{}
}

// Load reads, compiles and self-tests the set in a folder.
func (l *Loader) Load(dir string) (*Set, error) {
	s, err := l.compile(dir)
	if err != nil {
		return nil, err
	}
	if results, err := s.Test(l); err != nil {
		s.retire()
		for _, r := range results {
			if r.Err != nil {
				return nil, r.Err
			}
		}
		return nil, err
	}
	return s, nil
}

func (l *Loader) compile(dir string) (*Set, error) {
	var names []string
	for _, c := range l.Classes {
		names = append(names, c.Name)
	}
	m, err := ReadManifest(dir, names)
	if err != nil {
		return nil, err
	}
	return l.load(m)
}

func (l *Loader) load(m *Manifest) (*Set, error) {
	s := &Set{Manifest: m, freed: make(chan struct{})}
	modules, scripts, calls := inifile.Bytes(0), inifile.Bytes(0), inifile.Bytes(max(l.Workers, 1))
	for _, spec := range m.Hooks {
		// A module's instances keep their memory; a script's is a call's, and no more
		// calls run at once than there are workers.
		if spec.Engine == "wasm" {
			modules += spec.Memory * calls
		} else {
			scripts = max(scripts, spec.Memory*calls)
		}
		if total := modules + scripts; l.Memory > 0 && total > l.Memory {
			s.retire()
			return nil, m.lines["hook "+spec.Name].Errorf("memory", "the set could need %v with %d calls at once, and may have %v",
				total, l.Workers, l.Memory)
		}
		name := spec.Engine
		if name == "wasm" && spec.Instance == "fresh" {
			name = "wasm-fresh"
		}
		engine := l.Engines[name]
		if engine == nil {
			s.retire()
			return nil, m.lines["hook "+spec.Name].Errorf("engine", "%s: there is no such engine here", name)
		}
		h := &Hook{Spec: spec, digest: m.digest(spec)}
		src := Source{Hook: spec.Name, File: spec.File, Text: m.Files[spec.File], Memory: int64(spec.Memory),
			Steps: spec.Steps, Calls: max(l.Workers, 1)}
		for _, word := range spec.Points {
			p, _ := hookabi.PointOf(word)
			h.points[p] = true
			src.Points = append(src.Points, p)
		}
		ctx, cancel := context.WithTimeout(context.Background(), loadTime)
		program, err := engine.Load(ctx, src)
		cancel()
		if err != nil {
			s.retire()
			return nil, m.lines["hook "+spec.Name].Errorf("file", "%v", err)
		}
		h.program = program
		s.Hooks = append(s.Hooks, h)
	}
	return s, nil
}

// TestResult is one self-test's.
type TestResult struct {
	Test Test
	Took time.Duration
	Err  error // nil: passed
}

// Test runs the self-tests. Its error says how many failed.
func (s *Set) Test(l *Loader) ([]TestResult, error) {
	var out []TestResult
	failed := 0
	for _, t := range s.Manifest.Tests {
		start := time.Now()
		err := s.test(l, t)
		if err != nil {
			failed++
			err = s.Manifest.lines["test "+t.Name].Errorf("", "%v", err)
		}
		out = append(out, TestResult{t, time.Since(start), err})
	}
	if failed > 0 {
		return out, fmt.Errorf("%d of %d self-tests failed", failed, len(out))
	}
	return out, nil
}

func (s *Set) test(l *Loader, t Test) error {
	v, err := ParseView(s.Manifest.Files[t.View])
	if err != nil {
		return fmt.Errorf("%s: %w", t.View, err)
	}
	h := s.Hooks[slices.IndexFunc(s.Hooks, func(h *Hook) bool { return h.Name == t.Hook })]
	if !h.points[v.Point] {
		return fmt.Errorf("%s: hook %s is not asked at %s", t.View, h.Name, v.Point)
	}
	budget := testTime
	if t.Fault == string(Overrun) {
		budget = h.Budget
	}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	got, err := call(ctx, h, v)
	if err == nil && len(l.Classes) > 0 {
		if _, ruled := hookrule.New(l.Classes).Check(v, got, h.Name); ruled != nil {
			err = Faultf(Forbidden, "%v", ruled)
		}
	}
	if t.Fault != "" {
		var f *Fault
		if !errors.As(err, &f) || string(f.Kind) != t.Fault {
			return fmt.Errorf("wanted the fault %s, got %s", t.Fault, describe(got, err))
		}
		return nil
	}
	want, bad := ParseResult(s.Manifest.Files[t.Expect])
	if bad != nil {
		return fmt.Errorf("%s: %w", t.Expect, bad)
	}
	if err != nil {
		return err
	}
	got.Log = nil // what is logged is for people
	if !reflect.DeepEqual(normal(want), normal(got)) {
		return fmt.Errorf("wanted %s, got %s", ResultJSON(want), ResultJSON(got))
	}
	return nil
}

func describe(r *hookabi.Result, err error) string {
	if err != nil {
		return err.Error()
	}
	return "the answer " + ResultJSON(r)
}

// normal puts lists that have no order into one, and empty ones alike.
func normal(r *hookabi.Result) hookabi.Result {
	n := *r
	n.Log = nil
	byName := func(a, b hookabi.Pair) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	}
	n.Tags, n.Notes = append([]hookabi.Pair{}, r.Tags...), append([]hookabi.Pair{}, r.Notes...)
	slices.SortFunc(n.Tags, byName)
	slices.SortFunc(n.Notes, byName)
	n.Drop = append([]int{}, r.Drop...)
	slices.Sort(n.Drop)
	n.Claims = append([]string{}, r.Claims...)
	return n
}

// call calls a hook; a panic of its engine is the hook's fault.
func call(ctx context.Context, h *Hook, v *hookabi.View) (r *hookabi.Result, err error) {
	defer func() {
		if p := recover(); p != nil {
			r, err = nil, Faultf(Thrown, "%s: the engine panicked: %v", h.File, p)
		}
	}()
	if r, err = h.program.Call(ctx, v); err == nil {
		if bad := r.Check(); bad != nil {
			return nil, Faultf(Garbage, "%s: %v", h.File, bad)
		}
	}
	return r, err
}

// acquire counts a query that begins under the set; false: it is freed already.
func (s *Set) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return false
	}
	s.users++
	return true
}

// release ends a query's hold.
func (s *Set) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.users--; s.retired && s.users == 0 {
		go s.free()
	}
}

// retire frees the set once its last query has ended.
func (s *Set) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return
	}
	if s.retired = true; s.users == 0 {
		go s.free()
	}
}

func (s *Set) free() {
	for _, h := range s.Hooks {
		h.program.Close()
	}
	close(s.freed)
}

// Freed is closed once the set is freed.
func (s *Set) Freed() <-chan struct{} { return s.freed }

// TestAll loads the set in a folder and runs all its self-tests; the second result
// says how many failed, the third that the set does not load.
func (l *Loader) TestAll(dir string) (results []TestResult, failed, err error) {
	s, err := l.compile(dir)
	if err != nil {
		return nil, nil, err
	}
	defer s.retire()
	results, failed = s.Test(l)
	return results, failed, nil
}
