package hook_test

// Tests of the host with a fake engine, whose calls end when the test says so.

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/hook"
	"saddleport/internal/hook/starlark"
	"saddleport/internal/inifile"
	"saddleport/internal/logs"
	"saddleport/sdk/hookabi"
)

var classes = []choice.Class{{Name: "free-slots", RequiredShare: 0.5, MinShare: 0.5}, {Name: "trip-report", RequiredShare: 1, MinShare: 1},
	{Name: "book-trip", Effect: choice.Unsafe, RequiredShare: 1, MinShare: 1}}

// fakeEngine loads programs that do what the text of their file says.
type fakeEngine struct {
	mu     sync.Mutex
	calls  map[string]int
	closed map[string]int
	hold   chan struct{} // "wait" and "deaf" calls end when it is closed; "deaf" calls ignore their context
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{calls: make(map[string]int), closed: make(map[string]int), hold: make(chan struct{})}
}

type fakeProgram struct {
	e      *fakeEngine
	action string
	src    hook.Source
}

func (e *fakeEngine) Load(_ context.Context, src hook.Source) (hook.Program, error) {
	action := strings.TrimSpace(string(src.Text))
	if action == "unloadable" {
		return nil, fmt.Errorf("%s:1: on purpose", src.File)
	}
	return &fakeProgram{e, action, src}, nil
}

func (f *fakeProgram) Call(ctx context.Context, v *hookabi.View) (*hookabi.Result, error) {
	f.e.mu.Lock()
	f.e.calls[f.src.Hook]++
	f.e.mu.Unlock()
	switch f.action {
	case "wait":
		select {
		case <-f.e.hold:
		case <-ctx.Done():
			return nil, hook.Faultf(hook.Overrun, "waited")
		}
	case "deaf":
		<-f.e.hold
	case "throw":
		return nil, hook.Faultf(hook.Thrown, "on purpose")
	case "panic":
		panic("on purpose")
	}
	return &hookabi.Result{Tags: []hookabi.Pair{{Name: f.src.Hook, Value: f.action}}}, nil
}

func (f *fakeProgram) Close() {
	f.e.mu.Lock()
	defer f.e.mu.Unlock()
	f.e.closed[f.src.Hook+" "+f.action]++
}

// count returns an entry of one of the engine's maps.
func (e *fakeEngine) count(m map[string]int, k string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return m[k]
}

// writeSet writes a set and returns its directory. Each hook has the form "NAME ACTION
// KEYS", with the keys of its section separated by "; ". By default its point is taken.
func writeSet(t testing.TB, hooks ...string) string {
	dir := t.TempDir()
	text := "[set]\nname = s\n"
	for _, h := range hooks {
		f := strings.SplitN(h, " ", 3)
		keys := ""
		if len(f) > 2 {
			keys = strings.ReplaceAll(f[2], "; ", "\n")
		}
		if !strings.Contains(keys, "points") {
			keys += "\npoints = taken"
		}
		text += fmt.Sprintf("[hook %s]\nfile = %s.star\n%s\n", f[0], f[0], keys)
		require.NoError(t, os.WriteFile(filepath.Join(dir, f[0]+".star"), []byte(f[1]), 0o600))
	}
	require.NoError(t, os.WriteFile(filepath.Join(dir, hook.ManifestName), []byte(text), 0o600))
	return dir
}

// newHost returns a host with the default settings, a maximum wait of 1 s, and the changes of
// change.
func newHost(t testing.TB, e *fakeEngine, change func(*hook.Settings)) *hook.Host {
	t.Cleanup(logs.Redirect(testWriter{}))
	var s hook.Settings
	inifile.SetDefaults(&s)
	s.MaxWait = time.Second
	if change != nil {
		change(&s)
	}
	return hook.NewHost(s, map[string]hook.Engine{"starlark": e}, classes)
}

type testWriter struct{}

func (testWriter) Write(b []byte) (int, error) { return len(b), nil }

func query(class string) *hookabi.View {
	return &hookabi.View{Point: hookabi.Taken, ID: "q", Class: class, Left: 1e6, Part: -1, Parts: []hookabi.PartView{{Shard: 1, Weight: 1}}}
}

// invoke calls the hooks of a session and returns a channel for their result.
func invoke(s exchange.QueryHooks, class string, within time.Duration) chan *hookabi.Result {
	out := make(chan *hookabi.Result, 1)
	s.Invoke(query(class), within, func(r *hookabi.Result) { out <- r })
	return out
}

// A class whose hooks hang must not take the last worker: another class is still served.
// Once the hanging class has filled its part of the queue, further calls get the result of
// its failure rule at once.
func TestPoolIsShared(t *testing.T) {
	defer goleak.VerifyNone(t)
	e := newFakeEngine()
	h := newHost(t, e, func(s *hook.Settings) { s.Workers, s.Queue, s.StuckAfter = 3, 8, time.Hour })
	defer h.Close()
	require.NoError(t, h.Reload(writeSet(t, "slow deaf classes = trip-report; on-failure = refuse; budget = 100ms", "quick ok classes = free-slots")))
	slow := h.Begin("trip-report")
	var pending []chan *hookabi.Result
	for range 2 { // the two workers that the class may use
		pending = append(pending, invoke(slow, "trip-report", time.Hour))
	}
	for e.count(e.calls, "slow") < 2 {
		time.Sleep(time.Millisecond)
	}
	for range 4 { // and half of the queue
		pending = append(pending, invoke(slow, "trip-report", time.Hour))
	}
	rejected := <-invoke(slow, "trip-report", time.Hour)
	require.True(t, rejected.Refuse, "the queue is full: the failure rule applies at once")
	require.Equal(t, "hook slow did not answer", rejected.Reason)
	quick := h.Begin("free-slots")
	require.Equal(t, []hookabi.Pair{{Name: "quick", Value: "ok"}}, (<-invoke(quick, "free-slots", time.Hour)).Tags)
	require.GreaterOrEqual(t, h.Report().Running, 2)
	close(e.hold)
	for _, c := range pending {
		<-c
	}
	slow.End(nil)
	quick.End(nil)
}

// Ten sets are loaded one after another, with a query in progress for each. A query must end
// with the set that it began with, and each set must be freed with its last query, not
// before.
func TestSwaps(t *testing.T) {
	defer goleak.VerifyNone(t)
	e := newFakeEngine()
	h := newHost(t, e, nil)
	var sessions []exchange.QueryHooks
	for i := range 10 {
		require.NoError(t, h.Reload(writeSet(t, fmt.Sprintf("h%d ok", i))))
		sessions = append(sessions, h.Begin("free-slots"))
	}
	require.Equal(t, 10, h.Report().Swaps)
	for i, s := range sessions {
		name := fmt.Sprintf("h%d", i)
		require.Equal(t, name, (<-invoke(s, "free-slots", time.Hour)).Tags[0].Name)
		require.Zero(t, e.count(e.closed, name+" ok"))
		s.End(query("free-slots"))
		if i < 9 {
			for e.count(e.closed, name+" ok") == 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}
	h.Close()
	for e.count(e.closed, "h9 ok") == 0 {
		time.Sleep(time.Millisecond)
	}
}

// If a set can't be loaded or fails its self-tests, the active set must stay.
func TestBadSet(t *testing.T) {
	e := newFakeEngine()
	h := newHost(t, e, nil)
	defer h.Close()
	require.NoError(t, h.Reload(writeSet(t, "good ok")))
	err := h.Reload(writeSet(t, "good ok", "bad unloadable"))
	require.ErrorContains(t, err, "hooks.ini:8: [hook bad] file: bad.star:1: on purpose")
	require.Contains(t, h.Report().Rejected, "on purpose")
	require.Equal(t, 1, h.Report().Version)
	require.Equal(t, 1, h.Report().Swaps)
	dir := writeSet(t, "good ok")
	f, err := os.OpenFile(filepath.Join(dir, hook.ManifestName), os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = f.WriteString("[test t]\nhook = good\nview = v.json\nexpect = e.json\n")
	require.NoError(t, err)
	require.NoError(t, f.Close())
	require.NoError(t, os.WriteFile(filepath.Join(dir, "v.json"), []byte(`{"point":"taken","class":"free-slots"}`), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "e.json"), []byte(`{"tags":{"good":"other"}}`), 0o600))
	require.ErrorContains(t, h.Reload(dir), `[test t]: expected {"tags":{"good":"other"}}, got {"tags":{"good":"ok"}}`)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "e.json"), []byte(`{"tags":{"good":"ok"}}`), 0o600))
	require.NoError(t, h.Reload(dir))
	require.Empty(t, h.Report().Rejected)
}

// Failures put a hook in quarantine: it is not called, and its failure rule applies. A
// reload keeps the state of an unchanged hook and resets the state of a changed one. Enabling
// a hook resets its state too.
func TestQuarantine(t *testing.T) {
	e := newFakeEngine()
	h := newHost(t, e, func(s *hook.Settings) { s.MinQuarantine, s.MaxQuarantine = time.Hour, time.Hour })
	defer h.Close()
	dir := writeSet(t, "bad throw on-failure = refuse; retry-after = 2s", "well ok order = 200")
	require.NoError(t, h.Reload(dir))
	s := h.Begin("free-slots")
	for range 9 {
		r := <-invoke(s, "free-slots", time.Hour)
		require.True(t, r.Refuse)
		require.EqualValues(t, 2e6, r.RetryAfter)
	}
	s.End(nil)
	require.Equal(t, 5, e.count(e.calls, "bad"))
	st := h.Report().Hooks[0]
	require.Equal(t, "quarantine", st.State)
	require.Equal(t, "5 failures in a row: thrown", st.Reason)
	require.Equal(t, map[hook.Kind]int64{hook.Thrown: 5, hook.Quarantined: 4}, st.Faults)

	require.NoError(t, h.Reload(dir))
	require.Equal(t, "quarantine", h.Report().Hooks[0].State)
	require.NoError(t, h.Enable("bad", false))
	require.Equal(t, "disabled", h.Report().Hooks[0].State)
	s = h.Begin("free-slots")
	require.False(t, (<-invoke(s, "free-slots", time.Hour)).Refuse, "the failure rule of a disabled hook must not apply")
	s.End(nil)
	require.NoError(t, h.Enable("bad", true))
	require.Equal(t, "in service", h.Report().Hooks[0].State)
	require.ErrorIs(t, h.Enable("none", true), hook.ErrUnknown)

	require.NoError(t, os.WriteFile(filepath.Join(dir, "bad.star"), []byte("ok"), 0o600))
	require.NoError(t, h.Reload(dir))
	s = h.Begin("free-slots")
	require.False(t, (<-invoke(s, "free-slots", time.Hour)).Refuse)
	s.End(nil)
}

// If an engine can't interrupt a call, the hook must be disabled and the worker replaced. A
// panic of an engine must be a fault like any other.
func TestStuckAndPanic(t *testing.T) {
	e := newFakeEngine()
	h := newHost(t, e, func(s *hook.Settings) { s.Workers, s.StuckAfter = 1, time.Millisecond })
	defer h.Close()
	require.NoError(t, h.Reload(writeSet(t, "deaf deaf classes = trip-report; budget = 1ms", "well ok classes = free-slots", "odd panic classes = book-trip")))
	stuck, well, odd := h.Begin("trip-report"), h.Begin("free-slots"), h.Begin("book-trip")
	lost := invoke(stuck, "trip-report", time.Hour)
	for h.Report().Hooks[0].State != "stuck" {
		time.Sleep(time.Millisecond)
	}
	require.NotNil(t, <-invoke(well, "free-slots", time.Hour))
	again := <-invoke(stuck, "trip-report", time.Hour)
	require.Empty(t, again.Tags)
	require.Equal(t, 1, e.count(e.calls, "deaf"))
	require.Empty(t, (<-invoke(odd, "book-trip", time.Hour)).Tags)
	require.Contains(t, h.Report().Hooks[2].LastFault, "the engine panicked: on purpose")
	close(e.hold)
	<-lost
	for _, s := range []exchange.QueryHooks{stuck, well, odd} {
		s.End(nil)
	}
}

// If the time of a query is over before a worker is free, the hook must not be called, and
// its breaker must not count a failure.
func TestShort(t *testing.T) {
	e := newFakeEngine()
	h := newHost(t, e, nil)
	defer h.Close()
	require.NoError(t, h.Reload(writeSet(t, "h ok on-failure = refuse")))
	s := h.Begin("free-slots")
	r := <-invoke(s, "free-slots", -time.Second)
	require.True(t, r.Refuse)
	require.Zero(t, e.count(e.calls, "h"))
	require.Equal(t, map[hook.Kind]int64{hook.Short: 1}, h.Report().Hooks[0].Faults)
	s.End(nil)
	require.Nil(t, newHost(t, e, nil).Begin("free-slots"), "there are no hooks without a set")
}

func TestManifestFaults(t *testing.T) {
	head := "[set]\nname = s\n"
	for text, want := range map[string]string{
		"":                         "hooks.ini: section [set] is missing",
		"[set]\nname = S":          "hooks.ini:2: [set] name: must be 1 to 32 characters of a-z, 0-9 and -",
		"[set]\nname = s\nabi = 2": `hooks.ini:3: [set] abi: "2" is not within 1 to 1`,
		head + "[hook A]\n":        "hooks.ini:3: [hook A]: a name must be 1 to 32 characters of a-z, 0-9 and -",
		head + "[hook a]\n":        "must be given",
		head + "[hook a]\nfile=a.py\npoints=taken":                             "hooks.ini:4: [hook a] file: a.py: the extension is neither .star nor .wasm: engine must be set",
		head + "[hook a]\nfile=a.star\npoints=late":                            `hooks.ini:5: [hook a] points: "late" is none of: taken, admission, send, answered, answer, ended`,
		head + "[hook a]\nfile=a.star\npoints=":                                "hooks.ini:5: [hook a] points: at least one point is required",
		head + "[hook a]\nfile=a.star\npoints=taken\nclasses=x":                "hooks.ini:6: [hook a] classes: x: unknown class; the classes are: free-slots, trip-report, book-trip",
		head + "[hook a]\nfile=a.star\npoints=taken\nbudget=1s":                `hooks.ini:6: [hook a] budget: "1s" is not within 100us to 100ms`,
		head + "[hook a]\nfile=a.star\npoints=taken\nonfailure=skip":           "hooks.ini:6: [hook a] onfailure: no such key here; is on-failure meant?",
		head + "[test t]\nhook=a\nview=v\nexpect=e":                            "hooks.ini:4: [test t] hook: a: unknown hook",
		head + "[hook a]\nfile=a.star\npoints=taken\n[test t]\nhook=a\nview=v": "hooks.ini:6: [test t]: exactly one of expect and fault must be set",
		head + "[other]": "hooks.ini:3: [other]: unknown section; the sections are: set, hook NAME, test NAME",
	} {
		_, err := hook.ParseManifest("hooks.ini", []byte(text), []string{"free-slots", "trip-report", "book-trip"})
		require.ErrorContains(t, err, want, text)
	}
	// A wrong key, or too much memory; then files outside the directory or missing.
	for _, c := range [][2]string{
		{"a ok file2", "no such key"},
		{"a ok memory = 64MiB", "[hook a] memory: the set may need 256MiB with 4 concurrent calls, the limit is 128MiB"},
	} {
		l := hook.Loader{Engines: map[string]hook.Engine{"starlark": newFakeEngine()}, Classes: classes, Workers: 4, Memory: 128 << 20}
		_, err := l.Load(writeSet(t, strings.Replace(c[0], "file2", "filee = x", 1)))
		require.ErrorContains(t, err, c[1])
	}
	for file, want := range map[string]string{"../x.star": "[hook a] file: ../x.star: path escapes", "none.star": "no such file", ".": "the extension is neither .star"} {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, "hooks.ini"), []byte(head+"[hook a]\nfile = "+file+"\npoints = taken\n"), 0o600))
		_, err := hook.ReadManifest(dir, nil)
		require.ErrorContains(t, err, want)
	}
}

// Any manifest must give an error, or hooks within their limits.
func FuzzManifest(f *testing.F) {
	for _, dir := range []string{"../../deploy/hooks-example", "../../drills/sets/broken", "../app/testdata/sets/play"} {
		text, err := os.ReadFile(filepath.Join(dir, "hooks.ini"))
		require.NoError(f, err)
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		m, err := hook.ParseManifest("f", []byte(text), nil)
		if err != nil {
			return
		}
		for _, h := range m.Hooks {
			require.True(t, hookabi.Name(h.Name))
			require.NotEmpty(t, h.Points)
			require.LessOrEqual(t, h.Budget, 100*time.Millisecond)
			require.LessOrEqual(t, h.Memory, inifile.Bytes(64<<20))
		}
	})
}

// The sets in the repository must load and pass their self-tests, except the one that is
// meant to fail.
func TestShippedSets(t *testing.T) {
	l := hook.Loader{Engines: map[string]hook.Engine{"starlark": starlark.Engine{}}, Classes: classes, Workers: 4, Memory: 128 << 20}
	for _, name := range []string{"../../deploy/hooks-example", "../../drills/sets/good", "../../drills/sets/broken", "../../drills/sets/slow",
		"../../drills/sets/pool", "../../drills/sets/afterrun", "../../drills/sets/stop"} {
		_, err := l.Load(name)
		require.NoError(t, err, name)
	}
	_, err := l.Load("../../drills/sets/bad")
	require.ErrorContains(t, err, "[test says-amman]: expected")
}

// Simulate must return the result of each hook and the outcome that a mixer would give.
func TestSimulate(t *testing.T) {
	l := hook.Loader{Engines: map[string]hook.Engine{"starlark": starlark.Engine{}}, Classes: classes, Workers: 1}
	s, err := l.Load("../../deploy/hooks-example")
	require.NoError(t, err)
	q, err := hook.ParseView([]byte(`{"id":"q","class":"book-trip","text":"gov=zarqa;clinic=7","parts":[{"shard":1,"weight":1,"value":"v"}]}`))
	require.NoError(t, err)
	steps, outcome := l.Simulate(s, q)
	require.Len(t, steps, 2)
	require.Equal(t, `{"tags":{"governorate":"zarqa"},"notes":{"governorate":"zarqa"}}`, steps[0].Answer)
	require.Equal(t, "refused: clinic 7 is closed: renovation until Sunday", outcome)
	_, err = hook.ParseView([]byte(`{"clas":"x"}`))
	require.EqualError(t, err, "clas: unknown field of a view")
	_, err = hook.ParseView([]byte(`{"parts":[{"shard":"x"}]}`))
	require.EqualError(t, err, "parts.0.shard: not a number")
}
