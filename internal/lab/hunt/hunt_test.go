package hunt

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"saddleport/internal/lab/scenario"
)

const text = `[scenario]
name = h
length = 6s
warmup = 1s
[mixers]
count = 1
[fleet]
cells = 2
shards = 4
cores = 1
[list]
lag = 2s
[class a]
rate = 60
parts = 3
[class idle]
rate = 1
[fault f]
do = fail
at = 2s
for = 3s
share = 0.5
[fault nothing]
do = list-late
at = 1s
`

// A hunt finds at least about the loss it started with; the result can be reproduced from its
// text, and the shrunk scenario is smaller; the same hunt gives the same result.
func TestHunt(t *testing.T) {
	doc, err := scenario.Parse("h.ini", []byte(text))
	require.NoError(t, err)
	begin, err := evaluate(context.Background(), doc, nil, 1)
	require.NoError(t, err)
	opt := Options{Rounds: 2, Candidates: 4, Seed: 1, Logf: func(string, ...any) {}}
	f, err := Hunt(context.Background(), doc, opt)
	require.NoError(t, err)
	require.Greater(t, f.Loss, 0.7*begin.Loss)
	require.Less(t, strings.Count(f.Text, "\n"), strings.Count(text, "\n"))
	require.NotContains(t, f.Text, "nothing")
	again, err := scenario.Parse("found.ini", []byte(f.Text))
	require.NoError(t, err)
	g, err := evaluate(context.Background(), again, nil, f.Seed)
	require.NoError(t, err)
	require.Equal(t, f.Loss, g.Loss)
	same, err := Hunt(context.Background(), doc, opt)
	require.NoError(t, err)
	require.Equal(t, f.Text, same.Text)
}
