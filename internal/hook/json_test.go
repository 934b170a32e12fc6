package hook

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseResultDrop(t *testing.T) {
	for _, text := range []string{`{"drop":3}`, `{"drop":{"a":1}}`, `{"drop":null}`} {
		_, err := ParseResult([]byte(text))
		require.EqualError(t, err, "drop: not a list of numbers", text)
	}
	result, err := ParseResult([]byte(`{"drop":[3,4]}`))
	require.NoError(t, err)
	require.Equal(t, []int{3, 4}, result.Drop)
}
