package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// judgeScene returns the verdict on one query whose observations the scene records.
func judgeScene(class string, scene func(j *Judge, q *Query)) *Verdict {
	j := New([]Class{{Name: "free-slots", Need: 0.5, Floor: 0.5}, {Name: "book-trip", Unsafe: true, Need: 1, Floor: 1}}, 2*time.Second)
	q := &Query{ID: "q", Class: class, Parts: []Part{{Shard: 0, Weight: 0.4}, {Shard: 1, Weight: 0.6}}, Due: at(0), Sent: at(0), Timeout: time.Second, Ended: at(100)}
	j.Sent(q)
	scene(j, q)
	j.Ended(q)
	return j.Judge(at(0), at(1000))
}

// A drain applies to the proxy and source that reported it. A report by another
// source does not lift it; a report by the same source and a new process do.
func TestDrainReportedBy(t *testing.T) {
	for name, c := range map[string]struct {
		scene func(j *Judge)
		mixer int
		want  int
	}{
		"after the drain":                 {func(j *Judge) { j.DrainReportedBy(1, "consul", "a", true, at(0)) }, 1, 1},
		"drain reported to another proxy": {func(j *Judge) { j.DrainReportedBy(1, "consul", "a", true, at(0)) }, 2, 0},
		"another source reports serving": {func(j *Judge) {
			j.DrainReportedBy(1, "consul", "a", true, at(0))
			j.DrainReportedBy(1, "list", "a", false, at(5))
		}, 1, 1},
		"the same source reports serving": {func(j *Judge) {
			j.DrainReportedBy(1, "consul", "a", true, at(0))
			j.DrainReportedBy(1, "consul", "a", false, at(5))
		}, 1, 0},
		"the server restarted": {func(j *Judge) { j.DrainReportedBy(1, "consul", "a", true, at(0)); j.Restarted("a", 3) }, 1, 0},
		"reported twice, the first counts": {func(j *Judge) {
			j.DrainReportedBy(1, "consul", "a", true, at(0))
			j.DrainReportedBy(1, "consul", "a", true, at(2400))
		}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			v := judgeScene("free-slots", func(j *Judge, q *Query) {
				c.scene(j)
				a := j.ArrivedFrom(c.mixer, "q.1", "a", at(2500))
				a.Ran()
				a.Finished(at(2550), "v1")
				q.Ended, q.Timeout, q.Complete, q.Hits = at(2600), 5*time.Second, true, []Hit{{Shard: 1, Value: "v1"}}
			})
			require.Equal(t, c.want, v.Drained, "%v", v.Faults)
		})
	}
	v := judgeScene("free-slots", func(j *Judge, q *Query) { j.Misrouted("q.1", "b"); q.Outcome = Refused })
	require.Equal(t, 1, v.Astray)
	require.False(t, v.Pass())
}

func served(j *Judge, part, server string, from, to int, value string) {
	a := j.Arrived(part, server, at(from))
	a.Ran()
	a.Finished(at(to), value)
}

// Each case breaks one rule, and the judge must count exactly that violation. Cases
// without a violation must pass.
func TestRules(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		scene func(j *Judge, q *Query)
		want  Verdict
	}{
		"correct answer": {"free-slots", func(j *Judge, q *Query) {
			served(j, "q.1", "a", 10, 50, "v1")
			q.Complete, q.Hits = true, []Hit{{Shard: 1, Value: "v1"}}
		}, Verdict{}},
		"retried": {"free-slots", func(j *Judge, q *Query) {
			served(j, "q.1", "a", 10, 50, "")
			served(j, "q.1", "b", 51, 60, "v1")
			q.Complete, q.Hits = true, []Hit{{Shard: 1, Value: "v1"}}
		}, Verdict{}},
		"lost":                 {"free-slots", func(j *Judge, q *Query) { q.Outcome = Lost }, Verdict{Lost: 1}},
		"late":                 {"free-slots", func(j *Judge, q *Query) { q.Outcome, q.Ended = Failed, at(1051) }, Verdict{Late: 1}},
		"within the tolerance": {"free-slots", func(j *Judge, q *Query) { q.Outcome, q.Ended = Failed, at(1050) }, Verdict{}},
		"two answers":          {"free-slots", func(j *Judge, q *Query) { q.Outcome, q.ExtraAnswer = Refused, true }, Verdict{Doubled: 1}},
		"two attempts in flight": {"free-slots", func(j *Judge, q *Query) {
			served(j, "q.1", "a", 10, 90, "")
			served(j, "q.1", "b", 50, 60, "v1")
			q.Complete, q.Hits = true, []Hit{{Shard: 1, Value: "v1"}}
		}, Verdict{Doubled: 1}},
		"first attempt never ended": {"free-slots", func(j *Judge, q *Query) {
			j.Arrived("q.1", "a", at(10))
			served(j, "q.1", "b", 50, 60, "v1")
			q.Complete, q.Hits = true, []Hit{{Shard: 1, Value: "v1"}}
		}, Verdict{Doubled: 1}},
		"ran twice": {"book-trip", func(j *Judge, q *Query) {
			served(j, "q.1", "a", 10, 50, "")
			served(j, "q.1", "b", 51, 60, "v1")
			q.Outcome = Failed
		}, Verdict{Doubled: 1}},
		"refused after it ran": {"book-trip", func(j *Judge, q *Query) {
			served(j, "q.1", "a", 10, 50, "v1")
			q.Outcome = Refused
		}, Verdict{Wrong: 1}},
		"value of no server": {"free-slots", func(j *Judge, q *Query) {
			served(j, "q.1", "a", 10, 50, "v1")
			q.Complete, q.Hits = true, []Hit{{Shard: 1, Value: "v2"}}
		}, Verdict{Wrong: 1}},
		"part not requested": {"free-slots", func(j *Judge, q *Query) { q.Complete, q.Hits = true, []Hit{{Shard: 7, Value: "v"}} }, Verdict{Wrong: 1}},
		"complete below the required share": {"free-slots", func(j *Judge, q *Query) {
			served(j, "q.0", "a", 10, 50, "v")
			q.Complete, q.Hits = true, []Hit{{Shard: 0, Value: "v"}}
		}, Verdict{Wrong: 1}},
		"partial below the minimum share": {"free-slots", func(j *Judge, q *Query) {
			served(j, "q.0", "a", 10, 50, "v")
			q.Hits = []Hit{{Shard: 0, Value: "v"}}
		}, Verdict{Wrong: 1}},
		"shard twice in one answer": {"free-slots", func(j *Judge, q *Query) {
			served(j, "q.1", "a", 10, 50, "v")
			q.Complete, q.Hits = true, []Hit{{Shard: 1, Value: "v"}, {Shard: 1, Value: "v"}}
		}, Verdict{Wrong: 1}},
		"attempt without a query": {"free-slots", func(j *Judge, q *Query) {
			j.Arrived("x.1", "a", at(1)).Finished(at(2), "")
			q.Outcome = Refused
		}, Verdict{Wrong: 1}},
		"after a drain": {"free-slots", func(j *Judge, q *Query) {
			j.DrainReported("a", at(-2100))
			served(j, "q.1", "a", 10, 50, "v1")
			q.Complete, q.Hits = true, []Hit{{Shard: 1, Value: "v1"}}
		}, Verdict{Drained: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			got := judgeScene(c.class, c.scene)
			require.Equal(t, c.want, Verdict{Lost: got.Lost, Late: got.Late, Doubled: got.Doubled, Wrong: got.Wrong, Drained: got.Drained})
			require.Equal(t, name == "correct answer" || name == "retried" || name == "within the tolerance", got.Pass())
			require.Equal(t, got.Pass(), len(got.Faults) == 0)
		})
	}
}
