package model

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat"

	"saddleport/internal/lab/event"
)

type sched struct{ *event.Loop }

func (s sched) After(d time.Duration, f func()) Timer { return s.Loop.After(d, f) }

const ms = time.Millisecond

type outcomes struct {
	end map[string]End
	at  map[string]time.Duration
	l   *event.Loop
}

func submitAt(l *event.Loop, s *Server, got *outcomes, at time.Duration, id, class string, work time.Duration) *Job {
	j := &Job{ID: id, Class: class, Work: work, Done: func(j *Job, e End) { got.end[j.ID], got.at[j.ID] = e, l.Now() }}
	l.Post(at, func() { s.Submit(j) })
	return j
}

func newTestServer(spec Spec) (*event.Loop, *Server, *outcomes) {
	l := &event.Loop{}
	return l, NewServer(sched{l}, spec), &outcomes{make(map[string]End), make(map[string]time.Duration), l}
}

// Two cores share the parts in four slots; the fifth part waits and the seventh is rejected.
func TestServerWork(t *testing.T) {
	l, s, got := newTestServer(Spec{Cores: 2, Speed: 2, Slots: 4, QueueLimit: 2, Queue: FIFO})
	for i, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		submitAt(l, s, got, time.Duration(i)*time.Nanosecond, id, "x", 40*ms)
	}
	require.NoError(t, l.Run(time.Second))
	require.Equal(t, Busy, got.end["g"])
	// Four parts of 40 ms on two cores of speed 2: 40 ms; then two more alone: 20 ms.
	require.InDelta(t, 40, got.at["d"].Seconds()*1000, 0.1)
	require.InDelta(t, 60, got.at["f"].Seconds()*1000, 0.1)
	st := s.TakeStats()
	require.EqualValues(t, 7, st.Received)
	require.EqualValues(t, 6, st.Served)
	require.EqualValues(t, 1, st.Busy)
	require.InDelta(t, 240, st.Work.Seconds()*1000, 0.5)
}

func TestQueues(t *testing.T) {
	for how, want := range map[Discipline]string{FIFO: "a b c d", LIFO: "a d c b", Shortest: "a c d b", Fair: "a c b d"} {
		l, s, got := newTestServer(Spec{Cores: 1, Speed: 1, QueueLimit: 9, Queue: how})
		submitAt(l, s, got, 0, "a", "x", 10*ms)
		submitAt(l, s, got, 1*ms, "b", "x", 30*ms)
		submitAt(l, s, got, 2*ms, "c", "y", 10*ms)
		submitAt(l, s, got, 3*ms, "d", "x", 20*ms)
		require.NoError(t, l.Run(time.Second))
		var order []string
		for range 4 {
			first := ""
			for id, at := range got.at {
				if first == "" || at < got.at[first] {
					first = id
				}
			}
			order = append(order, first)
			delete(got.at, first)
		}
		require.Equal(t, want, strings.Join(order, " "), how)
	}
}

// A server with too many pending parts works slower; a part cancelled while it waits never
// runs; a part that hangs stays pending; a pause delays everything and answers nothing
// meanwhile.
func TestServerFaults(t *testing.T) {
	l, s, got := newTestServer(Spec{Cores: 1, Speed: 1, QueueLimit: 50, Queue: FIFO, Knee: 1, KneeLoss: 1})
	j := submitAt(l, s, got, 1*ms, "given-up", "x", 10*ms)
	submitAt(l, s, got, 0, "a", "x", 10*ms)
	l.Post(2*ms, func() { s.Cancel(j) })
	require.NoError(t, l.Run(time.Second))
	require.NotContains(t, got.end, "given-up")
	require.InDelta(t, 10.5, got.at["a"].Seconds()*1000, 0.1) // half as fast during the millisecond with two parts

	l, s, got = newTestServer(Spec{Cores: 1, Speed: 1, QueueLimit: 1, Queue: FIFO})
	on := Change{On: true, Fault: &Fault{Do: Pause}}
	off := Change{Fault: &Fault{Do: Pause}}
	l.Post(5*ms, func() { s.Apply(on); s.Apply(on) })
	l.Post(10*ms, func() { s.Apply(off) })
	l.Post(25*ms, func() { s.Apply(off) })
	submitAt(l, s, got, 0, "a", "x", 10*ms)
	for i, id := range []string{"b", "c", "d"} {
		submitAt(l, s, got, time.Duration(6+i)*ms, id, "x", 10*ms)
	}
	require.NoError(t, l.Run(time.Second))
	require.InDelta(t, 30, got.at["a"].Seconds()*1000, 0.1)
	require.Equal(t, Busy, got.end["c"])
	require.GreaterOrEqual(t, got.at["c"], 25*ms)

	l, s, got = newTestServer(Spec{Cores: 4, Speed: 1, QueueLimit: 9, Queue: FIFO})
	for _, c := range []Change{{On: true, Fault: &Fault{Do: Slow, Factor: 2}}, {On: true, Fault: &Fault{Do: Slow, Factor: 3}},
		{On: true, Fault: &Fault{Do: Hang, Class: "y", PartShare: 1}}, {On: true, Fault: &Fault{Do: Fail, Class: "z", PartShare: 1}}} {
		s.Apply(c)
	}
	l.Post(60*ms, func() { s.Apply(Change{Fault: &Fault{Do: Slow, Factor: 3}}) })
	for _, class := range []string{"x", "y", "z"} {
		submitAt(l, s, got, 0, class, class, 20*ms)
	}
	require.NoError(t, l.Run(time.Second))
	require.InDelta(t, 80, got.at["x"].Seconds()*1000, 0.1) // 60 ms at a sixth, then 10 ms of work at a half
	require.Equal(t, Err, got.end["z"])
	require.NotContains(t, got.end, "y")
	require.Equal(t, 1, s.Pending())
}

// A server in slow start warms up with time; overloaded, it crashes and restarts. If two
// faults keep it down, it restarts only after both have ended.
func TestSlowStart(t *testing.T) {
	cold := SlowStart{InitialShare: 0.2, WarmupTime: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: time.Second, Downtime: 500 * ms}
	l, s, got := newTestServer(Spec{Cores: 1, Speed: 1, QueueLimit: 1000, Queue: FIFO, SlowStart: cold})
	overloads, ups := 0, 0
	s.OnOverload, s.OnUp = func(*Server) { overloads++ }, func(*Server) { ups++ }
	die := Change{On: true, Fault: &Fault{Do: Die}}
	s.Apply(die)
	s.Apply(die)
	die.On = false
	s.Apply(die)
	up, _ := s.Running()
	require.False(t, up)
	s.Apply(die)
	require.InDelta(t, 0.2, s.CapacityShare(), 1e-9)
	submitAt(l, s, got, 0, "a", "x", 20*ms)
	require.NoError(t, l.Run(time.Second))
	require.InDelta(t, 95, got.at["a"].Seconds()*1000, 6) // at a fifth of the speed, and a little more with each step
	for i := range 100 {
		submitAt(l, s, got, time.Duration(i)*ms, "p", "x", 20*ms)
	}
	require.NoError(t, l.Run(1200*ms))
	require.Equal(t, 1, overloads)
	require.NoError(t, l.Run(3*time.Second))
	require.Equal(t, 2, ups)
	require.NoError(t, l.Run(20*time.Second))
	require.Equal(t, 1.0, s.CapacityShare())
}

func TestDist(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "d"), []byte("# seen\n10ms\n20ms\n30ms\n"), 0o600))
	for _, text := range []string{"fixed 10ms", "exp 10ms", "lognormal 10ms 0.5", "gamma 10ms 3", "pareto 5ms 3", "empirical d"} {
		d, err := ParseDist(text, dir)
		require.NoError(t, err, text)
		w := Work{Dist: d, QuerySigma: 0.3, Seed: 1}
		var all []float64
		for i := range 40000 {
			all = append(all, w.Of(string(rune('a'+i%26))+string(rune(i)), "3").Seconds())
		}
		require.InEpsilon(t, d.Mean().Seconds(), stat.Mean(all, nil), 0.05, text)
		require.Equal(t, w.Of("q", "1"), w.Of("q", "1"))
	}
	// The work of parts of one query is correlated, that of two queries is not.
	d, err := ParseDist("fixed 10ms", "")
	require.NoError(t, err)
	w := Work{Dist: d, QuerySigma: 1, Seed: 1}
	require.Equal(t, w.Of("q", "1"), w.Of("q", "2"))
	require.NotEqual(t, w.Of("q", "1"), w.Of("p", "1"))
	for _, bad := range []string{"", "fixed", "fixed 0s", "fixed -3ms", "gauss 1ms 2", "lognormal 1ms", "lognormal 1ms -1", "pareto 1ms 1", "exp 3", "exp 1ms 4 5", "empirical none", "fixed 1ms most 0s"} {
		_, err := ParseDist(bad, dir)
		require.Error(t, err, bad)
	}
}

// Arrivals follow rate, curve and bursts; the times of a trace are used unchanged.
func TestArrivals(t *testing.T) {
	curve, err := ParseCurve("0s:1, 10s:1, 20s:3")
	require.NoError(t, err)
	a := Arrivals{Rate: 200, Curve: curve, Bursts: []Burst{{At: 5 * time.Second, For: time.Second, Factor: 4}}}
	a.Begin(1, "x")
	count := make([]float64, 20)
	for {
		at, ok := a.Next(20 * time.Second)
		if !ok {
			break
		}
		count[int(at/time.Second)]++
	}
	require.InDelta(t, 200, count[2], 50)
	require.InDelta(t, 800, count[5], 100)
	require.InDelta(t, 580, count[19], 90)
	for _, bad := range []string{"1:2", "0s:-1", "5s:1, 5s:2", "0s:1e9", "x"} {
		_, err := ParseCurve(bad)
		require.Error(t, err, bad)
	}
	file := filepath.Join(t.TempDir(), "trace")
	require.NoError(t, os.WriteFile(file, []byte("0.5,free\n1.25\n"), 0o600))
	trace, err := ReadTrace(file)
	require.NoError(t, err)
	require.Equal(t, []time.Duration{500 * ms, 1250 * ms}, trace)
	require.NoError(t, os.WriteFile(file, []byte("2\n1\n"), 0o600))
	_, err = ReadTrace(file)
	require.ErrorContains(t, err, ":2:")
}

func TestZipf(t *testing.T) {
	z, r := NewZipf(50, 1, 3), Rand(1)
	count := make([]float64, 50)
	for range 5000 {
		got := z.Draw(r, 4)
		require.Len(t, got, 4)
		for _, s := range got {
			count[s]++
		}
	}
	require.Greater(t, count[z.byRank[0]], 3*count[z.byRank[10]])
	require.Len(t, z.Draw(r, 99), 50)
}

// Each loss adds a retransmission timeout, jitter adds its mean, and a partition drops
// everything, in one direction or both.
func TestNetwork(t *testing.T) {
	n := NewNetwork([]string{"a", "b"}, Link{Delay: ms}, Link{Delay: 5 * ms, Jitter: 2 * ms, Loss: 0.1}, 1)
	sum := 0.0
	for range 20000 {
		d, ok := n.Delay(0, 1)
		require.True(t, ok)
		sum += d.Seconds() * 1000 / 20000
	}
	// 5 + 2 + 0.1 * 200 + 0.01 * 400 + ...
	require.InDelta(t, 7+200*0.1/(1-0.2), sum, 1.5)
	n.Cut(0, 1, true)
	n.Cut(0, 1, true)
	n.Cut(0, 1, false)
	_, ok := n.Delay(0, 1)
	require.False(t, ok)
	_, ok = n.Delay(1, 0)
	require.True(t, ok)
}

// The changes depend on the seed: shares, chance, repetitions, and the steps of a release.
func TestScript(t *testing.T) {
	f := []*Fault{{Name: "a", Do: Die, At: time.Second, For: 500 * ms, Every: 2 * time.Second, Times: 3, Chance: 1, Targets: []int{0, 1, 2, 3, 4, 5, 6, 7}, Share: 0.25},
		{Name: "r", Do: Release, At: 0, For: 3 * time.Second, Delay: time.Second, Chance: 1, Targets: []int{5}, Share: 1},
		{Name: "never", Do: ListSilent, At: 0, Chance: 0}}
	one, err := Script(f, 1, 10*time.Second)
	require.NoError(t, err)
	again, err := Script(f, 1, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, one, again)
	other, err := Script(f, 2, 10*time.Second)
	require.NoError(t, err)
	require.NotEqual(t, one, other)
	require.Len(t, one, 3*2*2+4)
	require.Equal(t, Drain, one[0].Do)
	_, err = Script([]*Fault{{Name: "m", Do: ListSilent, For: 1, Every: 1, Chance: 1}}, 1, time.Second)
	require.ErrorContains(t, err, "more than")
}

// Clients follow Retry-After, stop at their timeout or their last retry, and disconnect early.
func TestClients(t *testing.T) {
	l := &event.Loop{}
	class := &Class{Name: "x", Arrivals: Arrivals{Trace: []time.Duration{0}}, Parts: 2, Zipf: NewZipf(4, 0, 1), LatencyTarget: 100 * ms, Timeout: time.Second, Value: 1, RequiredShare: 1, MinShare: 0.5, PartialValue: 0.8, LateValue: 0.1}
	var tries []*Attempt
	var over []*Request
	c := &Clients{Sched: sched{l}, Classes: []*Class{class}, Retry: Retry{MaxRetries: 5, Backoff: 10 * ms, BackoffFactor: 1, AdviceShare: 1, MarkRetries: true}, Length: time.Second,
		SelectProxy: func(uint64) int { return 0 }, OnFinish: func(a *Request) { over = append(over, a) }, Disconnect: func(*Attempt) {}}
	c.Send = func(t *Attempt) {
		tries = append(tries, t)
		l.Post(5*ms, func() { c.Reply(t, Reply{Kind: Refused, RetryAfter: 300 * ms}) })
	}
	c.Begin()
	require.NoError(t, l.Run(10*time.Second))
	require.Len(t, over, 1)
	require.Len(t, tries, 4) // at 0, 305, 610, 915 ms; the next would be after the timeout
	require.False(t, tries[0].IsRetry)
	require.True(t, tries[3].IsRetry)
	require.Equal(t, 85*ms, tries[3].Timeout)
	require.Zero(t, c.InFlight)
	for _, w := range []struct {
		r     Reply
		after time.Duration
		want  float64
	}{{Reply{Complete: true}, 50 * ms, 1}, {Reply{Complete: true}, 500 * ms, 0.1}, {Reply{Share: 0.75}, 50 * ms, 0.6}, {Reply{Share: 0.25}, 50 * ms, 0},
		{Reply{Kind: Refused}, 0, 0}, {Reply{Complete: true}, 2 * time.Second, 0}} {
		require.InDelta(t, w.want, class.ValueShare(w.r, w.after), 1e-9)
	}
	require.False(t, math.IsNaN(class.ValueShare(Reply{}, 0)))
}
