package record

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"
	"github.com/stretchr/testify/require"

	"saddleport/internal/lab/judge"
)

func sample() *Run {
	return &Run{Summary: Summary{Scenario: "x", Seed: 3, Goodput: 0.5, Variation: "-"}, Verdict: &judge.Verdict{Queries: 2}, Length: 10 * time.Second,
		Queries: []Query{{ID: "a", Class: "c", Due: 5, Took: 7, Outcome: "answered", Earned: 1, Value: 1}}, Seconds: []Second{{Second: 1, Server: "s-0-0", Held: 4}},
		Events: []Event{{time.Second, "s-0-0 dies"}}, Machine: Machine{Wall: time.Second}}
}

// A run folder holds the whole run, and its digest excludes figures that depend on
// the machine.
func TestFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "deep", "run")
	r := sample()
	digest, err := r.Save(dir, "[scenario]\n")
	require.NoError(t, err)
	r.Machine.Wall *= 2
	again, err := r.Save(dir, "[scenario]\n")
	require.NoError(t, err)
	require.Equal(t, digest, again)
	back, saved, err := Load(dir)
	require.NoError(t, err)
	require.Equal(t, r.Queries, back.Queries)
	require.Equal(t, r.Seconds, back.Seconds)
	require.Equal(t, r.Summary, saved.Summary)
	require.Equal(t, r.Events, back.Events)
	// The Parquet columns have the names of the schema.
	f, err := os.Open(filepath.Join(dir, QueriesFile))
	require.NoError(t, err)
	defer f.Close()
	info, err := f.Stat()
	require.NoError(t, err)
	p, err := parquet.OpenFile(f, info.Size())
	require.NoError(t, err)
	_, found := p.Schema().Lookup("due_us")
	require.True(t, found)
	r.Queries[0].Took++
	other, err := r.Save(dir, "[scenario]\n")
	require.NoError(t, err)
	require.NotEqual(t, digest, other)
	_, _, err = Load(t.TempDir())
	require.ErrorContains(t, err, "is no run folder")
}

// fullDisk is a file on a disk with a limited number of bytes left.
type fullDisk struct{ remaining *int }

var errFull = errors.New("no space left on device")

func (f fullDisk) Write(b []byte) (int, error) {
	if *f.remaining -= len(b); *f.remaining < 0 {
		return 0, errFull
	}
	return len(b), nil
}
func (f fullDisk) Close() error { return nil }

// On a full disk, Save returns the write error, the previous run folder stays, and no
// incomplete folder is left.
func TestDiskFull(t *testing.T) {
	root := t.TempDir()
	dir := filepath.Join(root, "run")
	r := sample()
	_, err := r.Save(dir, "old")
	require.NoError(t, err)
	was := createFile
	defer func() { createFile = was }()
	for _, room := range []int{0, 100, 1500, 3000} {
		left := room
		createFile = func(string) (io.WriteCloser, error) { return fullDisk{&left}, nil }
		_, err = r.Save(dir, "new")
		require.ErrorIs(t, err, errFull)
	}
	text, err := os.ReadFile(filepath.Join(dir, ScenarioFile))
	require.NoError(t, err)
	require.Equal(t, "old", string(text))
	list, err := os.ReadDir(root)
	require.NoError(t, err)
	require.Len(t, list, 1)
}
