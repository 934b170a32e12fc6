package app

import (
	"bytes"
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSettingEffectsFollowTheSettings checks that the explanation follows the settings: two
// configurations give two explanations.
func TestSettingEffectsFollowTheSettings(t *testing.T) {
	config, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	config = regexp.MustCompile(`"@\w+"`).ReplaceAll(config, []byte(`"127.0.0.1:1"`))
	read := func(changes ...string) map[string]SettingEffect {
		cfg, err := decode([]byte(strings.NewReplacer(changes...).Replace(string(config))), func(string) string { return "" })
		require.NoError(t, err)
		var text bytes.Buffer
		require.NoError(t, Explain(&text, cfg, true))
		var list []SettingEffect
		require.NoError(t, json.Unmarshal(text.Bytes(), &list))
		out := make(map[string]SettingEffect)
		for _, effect := range list {
			out[effect.Setting] = effect
		}
		text.Reset()
		require.NoError(t, Explain(&text, cfg, false))
		require.Equal(t, len(list)+1, strings.Count(text.String(), "\n"))
		return out
	}
	first := read()
	require.Contains(t, first["discovery"].Behaviour, "a watch stays open")
	require.Contains(t, first["limits.parallel-tries"].Behaviour, "one attempt of a part is in flight at a time")
	require.Contains(t, first["family-info.bundle-max"].Behaviour, "each part is sent in a call of its own")
	require.Contains(t, first["class book-trip"].Behaviour, "never retried")
	require.Contains(t, first["class free-slots"].Behaviour, "complete with 0.5")
	require.Contains(t, first["rules.cold"].Behaviour, "one part of it at once")
	require.Equal(t, "none", first["tenants"].Value)
	second := read(`"discovery":"ask"`, `"discovery":"push"`, `"bundle-max":1`, `"bundle-max":16`, `"per-call-work":0`, `"per-call-work":80000`,
		`"parallel-tries":false`, `"parallel-tries":true`, `"tenants":[]`, `"tenants":[{"name":"billing","quota-per-s":8}]`, `"width":1`, `"width":2`)
	require.Contains(t, second["discovery"].Behaviour, "polled every 100ms")
	require.Contains(t, second["limits.parallel-tries"].Behaviour, "hedged request")
	require.Contains(t, second["family-info.bundle-max"].Behaviour, "a call costs 80ms")
	require.Contains(t, second["tenants.billing"].Behaviour, "above 4 queries a second at this proxy")
	require.Contains(t, second["rules.cold"].Behaviour, "2 parts of it at once")
}
