package hookabi

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fullView returns a view with all fields set.
func fullView() *View {
	return &View{Point: Answered, ID: "9b1f", Class: "free-slots", Key: "k", Tenant: "t", Text: "c41e", Repeat: true,
		TakenAt: 1796000000000000, Left: 480000, Seed: 1<<63 + 5, Tags: []Pair{{"gov", "amman"}}, Notes: []Pair{{"n", ""}},
		Parts: []PartView{{Shard: 0, Weight: 0.5}, {Shard: 9, Weight: 0.5, Key: "x", Attempts: 2, Served: true, Value: "5be2"}},
		Part:  1, Attempt: 1, Ending: "answered", Whole: true, Share: 0.5}
}

// A message must be the same after encoding and decoding.
func TestRoundTrip(t *testing.T) {
	v := fullView()
	got, err := DecodeView(AppendView(nil, v))
	require.NoError(t, err)
	require.Equal(t, v, got)
	r := &Result{Tags: []Pair{{"a", "b"}}, Notes: []Pair{{"c", "d"}}, Class: "x", Left: 5, Drop: []int{0, 7}, NotWhole: true,
		Refuse: true, Reason: "closed", RetryAfter: 9, Log: []string{"l"}, Claims: []string{"value", "server"}}
	back, err := DecodeResult(AppendResult(nil, r))
	require.NoError(t, err)
	require.Equal(t, r, back)
}

func TestDecodeErrors(t *testing.T) {
	for bytes, want := range map[string]string{
		"":                        "does not begin with SH",
		"SH\x02":                  "version 2, not 1",
		"SH\x01\x01":              "ends in the middle of a field",
		"SH\x01\x01\x09":          "ends in the middle of a field",
		"SH\x01\x2a\x00":          "field 42: unknown in an answer",
		"SH\x01\x04\x01\x01":      "time left: below 0",
		"SH\x01\x07\x01\x04":      "field 7: neither 0 nor 1",
		"SH\x01\x03\x01\xff":      "field 3: not UTF-8",
		"SH\x01\x01\x03\x01\x01A": `name "A": 1 to 32 of a-z, 0-9 and -`,
		"SH\x01\x08\x01x":         "a reason or retry advice without a refusal",
	} {
		_, err := DecodeResult([]byte(bytes))
		require.EqualError(t, err, want, "%q", bytes)
	}
}

// Any input must give an error, or a result within its limits that can be encoded and decoded
// again.
func FuzzDecodeResult(f *testing.F) {
	f.Add(AppendResult(nil, &Result{Refuse: true, Reason: "r", Drop: []int{1}}))
	f.Add(AppendView(nil, fullView()))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := DecodeResult(b); err == nil {
			require.NoError(t, r.Check())
			again, err := DecodeResult(AppendResult(nil, r))
			require.NoError(t, err)
			require.Equal(t, r.Drop, again.Drop)
			require.Equal(t, r.Refuse, again.Refuse)
		}
		if v, err := DecodeView(b); err == nil {
			_, err := DecodeView(AppendView(nil, v))
			require.NoError(t, err)
		}
	})
}
