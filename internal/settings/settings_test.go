package settings

// This file tests that both forms of the settings decode to the same values. It must use only
// settings that were recorded in testdata/.

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
)

// TestForms decodes the same recorded settings in both forms: the proxy must get exactly the
// settings that the simulator's instance gets.
func TestForms(t *testing.T) {
	nested, err := os.ReadFile("testdata/nested.json")
	require.NoError(t, err)
	pairs, err := os.ReadFile("testdata/pairs.txt")
	require.NoError(t, err)
	values, err := ParsePairs(strings.Fields(string(pairs)))
	require.NoError(t, err)
	want, err := Decode(values)
	require.NoError(t, err)
	require.Len(t, want.Router.Classes, 2)
	require.Equal(t, 0.15, want.Router.RetryBudgetRatio)
	require.Equal(t, 243, want.MaxInFlight)
	got, err := Decode(Flatten(gjson.ParseBytes(nested)))
	require.NoError(t, err)
	require.Equal(t, want, got)
}
