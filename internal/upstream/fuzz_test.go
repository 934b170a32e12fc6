package upstream

// This file feeds arbitrary bytes as the input of leaf servers and of discovery: those recorded
// in testdata/fuzz/ and generated ones. It must never open a socket.

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

// FuzzPeers parses arbitrary bytes as the frames of a leaf server and as the list of discovery.
// Nothing may panic, and no entry may come out that the router cannot represent.
func FuzzPeers(f *testing.F) {
	set := settings.Settings{Router: choice.Settings{Cells: 2, Width: 1, AttemptCap: 1,
		Classes: []choice.Class{{Name: "c", LatencyTarget: 1, Deadline: 1, RequiredShare: 1}}}}
	f.Fuzz(func(t *testing.T, raw string) {
		x, err := exchange.New(1, set)
		require.NoError(t, err)
		p := New(Config{Exchange: x, Settings: set})
		c := &conn{pool: p, server: &server{name: "a"}, calls: make(map[string]*call), ended: map[string]time.Time{"q.1": {}}}
		c.calls["q.0"] = &call{attempt: &exchange.Attempt{PartID: "q.0"}, server: c.server, conn: c, state: callSent}
		c.probes = []*call{{server: c.server, conn: c, state: callSent}}
		for r := bufio.NewReader(strings.NewReader(raw)); c.handleFrame(r) == nil; {
		}
		if list, addrs, err := targets.Parse([]byte(raw), set.Router.Cells, true); err == nil {
			for _, s := range list.Servers {
				require.True(t, s.ID != "" && s.Cell >= 0 && s.Cell < 2 && s.UpSince >= 0, "%+v", s)
				require.Contains(t, addrs, s.ID)
			}
			p.UpdateList(list, addrs)
		}
	})
}
