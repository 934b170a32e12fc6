package platform

// This file feeds arbitrary queries of clients: those recorded in testdata/fuzz/ and generated
// ones. It must never open a socket.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/internal/httpwire"
)

// FuzzQuery parses arbitrary bodies and timeouts. Nothing may panic, and no query may come out
// that the routing decisions (package choice) or a frame cannot represent.
func FuzzQuery(f *testing.F) {
	f.Fuzz(func(t *testing.T, body, timeout string) {
		r := &httpwire.Request{Header: map[string][]string{"X-Trace-Id": {"q"}, "X-Qos": {"c"},
			"X-Expires-In": {timeout}}, Body: []byte(body)}
		q, err := (&Protocol{Shards: 6}).query(r, time.Now())
		if err != nil {
			return
		}
		require.True(t, q.Timeout > 0 && q.Timeout <= maxTimeout && len(q.Parts) > 0, "%+v", q)
		for _, p := range q.Parts {
			require.True(t, p.Shard >= 0 && p.Shard < 6 && p.Cost >= 0 && p.Weight > 0 && p.Weight <= 1, "%+v", p)
		}
	})
}
