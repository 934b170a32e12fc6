package report

import (
	"bytes"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/internal/lab/compare"
	"saddleport/internal/lab/judge"
	"saddleport/internal/lab/record"
)

func run() *record.Run {
	r := &record.Run{Length: 5 * time.Second, Verdict: &judge.Verdict{}, Classes: []record.Class{{Name: "free<slots>", Asked: 3, Goodput: 0.5}},
		Events: []record.Event{{At: time.Second, Text: "s-0-0 dies & returns"}}}
	for i := range 50 {
		r.Queries = append(r.Queries, record.Query{ID: "q", Class: "free<slots>", Due: int64(i) * 90000, Took: 4000, Outcome: "answered", Earned: 1, Value: 1, Tries: 1})
		r.Seconds = append(r.Seconds, record.Second{Second: int32(i % 5), Server: "s-" + string(rune('0'+i/5)), Up: i != 7, Held: int32(i)})
	}
	return r
}

// A page contains all its charts, escapes names and texts, and refers to no outside
// resource.
func TestPages(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, Run(&b, run(), nil, "[scenario]\nname = <x>\n", "here"))
	page := b.String()
	require.Equal(t, 6, bytes.Count(b.Bytes(), []byte("<svg")))
	require.Contains(t, page, "free&lt;slots&gt;")
	require.Contains(t, page, "s-0-0 dies &amp; returns")
	outside := regexp.MustCompile(`(src|href)\s*=|@import|url\(`)
	require.NotRegexp(t, outside, regexp.MustCompile(`(xlink:)?href="#[^"]*"`).ReplaceAllString(page, ""))
	b.Reset()
	require.NoError(t, Compare(&b, []compare.Row{{Variation: "-", Figure: "goodput", Verdict: compare.Better, Known: true}}, "a", "b", run(), run()))
	require.Equal(t, 12, bytes.Count(b.Bytes(), []byte("<svg")))
	empty := &record.Run{Length: time.Second, Verdict: &judge.Verdict{}}
	require.NoError(t, Run(&b, empty, nil, "", ""))
}
