package operator

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Wait time.Duration `ini:"wait" default:"1s" range:"1ms..1m" help:"how long"`
	Dir  string        `ini:"dir"`
}

func sections(into *sample) []Section {
	return []Section{{Name: "one", Help: "the first", Into: into, Check: func() error {
		if into.Dir == "bad" {
			return &KeyError{"dir", "is bad"}
		}
		return nil
	}}}
}

func TestFile(t *testing.T) {
	var got sample
	f, err := Parse("/etc/op.ini", []byte("[one]\nwait = 2s\n"), sections(&got))
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, got.Wait)
	var out strings.Builder
	require.NoError(t, f.Print(&out))
	require.Contains(t, out.String(), "(op.ini:2)")
	require.Contains(t, out.String(), "(default)")
	require.Equal(t, "op.ini:2", f.Values()[0].Origin)

	f, err = Load("", sections(&got))
	require.NoError(t, err)
	require.Equal(t, time.Second, got.Wait)
	require.Equal(t, "default", f.Values()[0].Origin)
}

func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		"[one]\ndir = bad":          "op.ini:2: [one] dir: is bad",
		"[one]\nwait=1s\n\n[two]\n": "op.ini:4: [two]: no such section; there are: one",
		"[one]\nwat=1s":             "op.ini:2: [one] wat: no such key here; is wait meant?",
		"[one]\nwait=2h":            `op.ini:2: [one] wait: "2h" is not within 1ms to 1m`,
		"[one]\nwait=1s\nwait = 2s": "op.ini:3: [one] wait: already set on line 2",
	} {
		_, err := Parse("op.ini", []byte(text), sections(&sample{}))
		require.EqualError(t, err, want)
	}
}

// Any text gives either an error or values within their ranges.
func FuzzOperator(f *testing.F) {
	f.Add("[one]\nwait = 2s\ndir = x\n")
	f.Add("[one]\r\nwait=9999999999h\n")
	f.Fuzz(func(t *testing.T, text string) {
		var got sample
		if _, err := Parse("op.ini", []byte(text), sections(&got)); err == nil {
			require.GreaterOrEqual(t, got.Wait, time.Millisecond)
			require.LessOrEqual(t, got.Wait, time.Minute)
		}
	})
}
