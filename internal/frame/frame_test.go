package frame

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRoundTrip(t *testing.T) {
	parts := []Part{{"q.3", 3, "d=240,t.gov=amman", "c41e\n77"}, {"q.9", 9, "d=1", ""}}
	payload := AppendPart(AppendPart(nil, parts[0]), parts[1])
	frameType, read, err := Read(bufio.NewReader(bytes.NewReader(Append(nil, 'Q', payload))))
	require.NoError(t, err)
	require.Equal(t, byte('Q'), frameType)
	parsed, err := ParseParts(read)
	require.NoError(t, err)
	require.Equal(t, parts, parsed)
	require.Equal(t, 240, parsed[0].TimeoutMS())
	answer := Answer{"q.3", "ok", 7, "inflight=1", []byte("v")}
	parsedAnswer, err := ParseAnswer(AppendAnswer(nil, answer))
	require.NoError(t, err)
	require.Equal(t, answer, parsedAnswer)
}

// Any input gives an error or a message within the size limit that survives a round trip
// through its encoding.
func FuzzRead(f *testing.F) {
	f.Add(Append(nil, 'Q', AppendPart(nil, Part{"q.3", 3, "d=240", "text"})))
	f.Add(Append(nil, 'A', AppendAnswer(nil, Answer{"q.3", "ok", 1, "-", []byte("v")})))
	f.Fuzz(func(t *testing.T, b []byte) {
		frameType, payload, err := Read(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(payload), MaxSize)
		_ = frameType
		if parts, err := ParseParts(payload); err == nil {
			var encoded []byte
			for _, p := range parts {
				encoded = AppendPart(encoded, p)
			}
			parsed, err := ParseParts(encoded)
			require.NoError(t, err)
			require.Equal(t, parts, parsed)
		}
		if answer, err := ParseAnswer(payload); err == nil {
			_, err := ParseAnswer(AppendAnswer(nil, answer))
			require.NoError(t, err)
		}
	})
}
