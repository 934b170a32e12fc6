package platform

// This file plays odd queries of clients, those recorded in testdata/fuzz/ and any
// others. It must never open a socket.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/internal/httpwire"
)

// FuzzQuery feeds any body and patience: nothing may panic, and no query may come
// out that the decisions or a frame can't hold.
func FuzzQuery(f *testing.F) {
	f.Fuzz(func(t *testing.T, body, patience string) {
		r := &httpwire.Request{Header: map[string][]string{"X-Trace-Id": {"q"}, "X-Qos": {"c"},
			"X-Expires-In": {patience}}, Body: []byte(body)}
		q, err := (&Protocol{Shards: 6}).query(r, time.Now())
		if err != nil {
			return
		}
		require.True(t, q.Timeout > 0 && q.Timeout <= maxPatience && len(q.Parts) > 0, "%+v", q)
		for _, p := range q.Parts {
			require.True(t, p.Shard >= 0 && p.Shard < 6 && p.Cost >= 0 && p.Weight > 0 && p.Weight <= 1, "%+v", p)
		}
	})
}
