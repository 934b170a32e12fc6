package upstream

// This file plays odd bytes of leaf servers and discovery, those recorded in
// testdata/fuzz/ and any others. It must never open a socket.

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/settings"
	"saddleport/internal/source/targets"
)

// FuzzPeers feeds any bytes as a leaf server's frames and as discovery's list:
// nothing may panic, and no entry may come out that the router can't hold.
func FuzzPeers(f *testing.F) {
	set := settings.Settings{Router: choice.Settings{Cells: 2, Width: 1, AttemptCap: 1,
		Classes: []choice.Class{{Name: "c", LatencyTarget: 1, Deadline: 1, RequiredShare: 1}}}}
	f.Fuzz(func(t *testing.T, raw string) {
		x, err := exchange.New(1, set)
		require.NoError(t, err)
		b := New(Config{Exchange: x, Settings: set})
		c := &conn{b: b, s: &server{name: "a"}, calls: make(map[string]*call), stale: map[string]time.Time{"q.1": {}}}
		c.calls["q.0"] = &call{a: &exchange.Attempt{PartID: "q.0"}, s: c.s, c: c, state: out}
		c.probes = []*call{{s: c.s, c: c, state: out}}
		for r := bufio.NewReader(strings.NewReader(raw)); c.frame(r) == nil; {
		}
		if list, addrs, err := targets.Parse([]byte(raw), set.Router.Cells, true); err == nil {
			for _, s := range list.Servers {
				require.True(t, s.ID != "" && s.Cell >= 0 && s.Cell < 2 && s.UpSince >= 0, "%+v", s)
				require.Contains(t, addrs, s.ID)
			}
			b.UpdateList(list, addrs)
		}
	})
}
