package sweep

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"saddleport/internal/lab/scenario"
)

const text = `[scenario]
name = s
length = 3s
warmup = 1s
repeats = 4
[mixers]
count = 1
[fleet]
cells = 2
shards = 4
[class a]
rate = 20
parts = 2
[vary]
rate = 1, 2
`

func doc(t *testing.T, text string) *scenario.Doc {
	t.Helper()
	d, err := scenario.Parse("s.ini", []byte(text))
	require.NoError(t, err)
	return d
}

// An interrupted sweep resumes where it stopped and gives the same results as an uninterrupted
// one; finished runs of a scenario that has changed since are not reused.
func TestResume(t *testing.T) {
	uninterrupted, err := Run(context.Background(), doc(t, text), Options{Dir: t.TempDir(), Workers: 3})
	require.NoError(t, err)
	require.Len(t, uninterrupted.Runs, 8)
	require.True(t, uninterrupted.Pass())

	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	done := 0
	_, err = Run(ctx, doc(t, text), Options{Dir: dir, Workers: 1, Progress: func(share float64, remark string) {
		if strings.HasPrefix(remark, "3 of") {
			cancel()
		}
	}})
	require.ErrorIs(t, err, context.Canceled)
	// A directory without a digest is an unfinished run.
	require.NoError(t, os.MkdirAll(filepath.Join(dir, "v001-s4"), 0o755))
	again, err := Run(context.Background(), doc(t, text), Options{Dir: dir, Workers: 2})
	require.NoError(t, err)
	for i, o := range again.Runs {
		if o.Skipped {
			done++
		}
		require.Equal(t, uninterrupted.Runs[i].Digest, o.Digest)
		require.Equal(t, uninterrupted.Runs[i].Summary, o.Summary)
	}
	require.Equal(t, 3, done)
	loaded, err := Load(dir)
	require.NoError(t, err)
	require.Len(t, loaded.Runs, 8)

	other, err := Run(context.Background(), doc(t, strings.Replace(text, "rate = 20", "rate = 21", 1)), Options{Dir: dir})
	require.NoError(t, err)
	for _, o := range other.Runs {
		require.False(t, o.Skipped)
	}
	_, err = Load(t.TempDir())
	require.ErrorContains(t, err, "contains no finished run")
}
