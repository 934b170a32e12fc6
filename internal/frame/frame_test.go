package frame

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRound(t *testing.T) {
	parts := []Part{{"q.3", 3, "d=240,t.gov=amman", "c41e\n77"}, {"q.9", 9, "d=1", ""}}
	rest := AppendPart(AppendPart(nil, parts[0]), parts[1])
	letter, got, err := Read(bufio.NewReader(bytes.NewReader(Append(nil, 'Q', rest))))
	require.NoError(t, err)
	require.Equal(t, byte('Q'), letter)
	back, err := ParseParts(got)
	require.NoError(t, err)
	require.Equal(t, parts, back)
	require.Equal(t, 240, back[0].TimeoutMS())
	a := Answer{"q.3", "ok", 7, "inflight=1", []byte("v")}
	again, err := ParseAnswer(AppendAnswer(nil, a))
	require.NoError(t, err)
	require.Equal(t, a, again)
}

// Whatever comes: an error, or a message within its bounds that survives its form.
func FuzzRead(f *testing.F) {
	f.Add(Append(nil, 'Q', AppendPart(nil, Part{"q.3", 3, "d=240", "text"})))
	f.Add(Append(nil, 'A', AppendAnswer(nil, Answer{"q.3", "ok", 1, "-", []byte("v")})))
	f.Fuzz(func(t *testing.T, b []byte) {
		letter, rest, err := Read(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(rest), Max)
		_ = letter
		if parts, err := ParseParts(rest); err == nil {
			var again []byte
			for _, p := range parts {
				again = AppendPart(again, p)
			}
			back, err := ParseParts(again)
			require.NoError(t, err)
			require.Equal(t, parts, back)
		}
		if a, err := ParseAnswer(rest); err == nil {
			_, err := ParseAnswer(AppendAnswer(nil, a))
			require.NoError(t, err)
		}
	})
}
