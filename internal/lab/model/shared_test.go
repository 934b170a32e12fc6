package model

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/internal/lab/event"
)

// The first part of a call includes the work of the call. A recently used key is less work;
// the cache is bounded in size and time, and a restart empties it.
func TestCallsAndKeys(t *testing.T) {
	l, s, got := newTestServer(Spec{Cores: 1, Speed: 1, Slots: 1, QueueLimit: 20, Queue: FIFO, CallWork: 80 * ms, KeyCache: KeyCache{Gain: 0.5, TTL: time.Second, MaxKeys: 2}})
	at := time.Duration(0)
	for _, c := range []struct {
		id, key string
		call    bool
		wait    time.Duration
		want    float64 // milliseconds
	}{
		{"a", "", true, 0, 180}, {"b", "", false, 0, 100}, // a call of two parts
		{"c", "k1", false, 0, 100}, {"d", "k1", false, 0, 50},
		{"e", "k1", true, 2 * time.Second, 180},                                            // expired
		{"f", "k2", false, 0, 100}, {"g", "k3", false, 0, 100}, {"h", "k1", false, 0, 100}, // the third key evicted the first
		{"i", "k3", false, 0, 50},
	} {
		at += c.wait
		j := submitAt(l, s, got, at-l.Now(), c.id, "x", 100*ms)
		j.FirstOfCall, j.Key = c.call, c.key
		at += time.Duration(c.want * float64(ms))
		require.NoError(t, l.Run(at+time.Microsecond))
		require.InDelta(t, at.Seconds()*1000, got.at[c.id].Seconds()*1000, 0.1, c.id)
		at += ms
	}
	l.Post(at-l.Now(), func() { s.Die(); s.Start(false) })
	at += ms
	j := submitAt(l, s, got, at-l.Now(), "z", "x", 100*ms)
	j.Key = "k3"
	require.NoError(t, l.Run(at+time.Second))
	require.InDelta(t, 100, (got.at["z"]-at).Seconds()*1000, 0.1)
}

// runClients lets clients send requests for a while and returns all requests.
func runClients(c *Clients, length time.Duration) []*Request {
	var all []*Request
	l := &event.Loop{}
	c.Sched, c.Seed, c.Length = sched{l}, 3, length
	c.SelectProxy = func(uint64) int { return 0 }
	c.Send = func(t *Attempt) { all = append(all, t.Request); c.Reply(t, Reply{Kind: Answered, Complete: true}) }
	c.Begin()
	l.Run(length + time.Second)
	return all
}

// The shards of a query are consecutive, and requests with the same key need the same shards.
func TestContiguousShardsAndKeys(t *testing.T) {
	class := &Class{Name: "x", Parts: 4, MaxParts: 7, Contiguous: true, Shards: 48, Zipf: NewZipf(48, 0.3, 1), Keys: NewZipf(50, 0.5, 1), Timeout: time.Second, Value: 1,
		Arrivals: Arrivals{Rate: 50}}
	byKey, sizes := make(map[string][]int), make(map[int]bool)
	for _, a := range runClients(&Clients{Classes: []*Class{class}}, 20*time.Second) {
		var shards []int
		for i, p := range a.Parts {
			shards = append(shards, p.Shard)
			require.Equal(t, (a.Parts[0].Shard+i)%48, p.Shard)
		}
		sizes[len(shards)] = true
		if known, ok := byKey[a.Key]; ok {
			require.Equal(t, known, shards)
		}
		byKey[a.Key] = shards
	}
	require.Len(t, byKey, 50)
	require.Equal(t, map[int]bool{4: true, 5: true, 6: true, 7: true}, sizes)
}

// Load is distributed by usage. A tenant's burst affects that tenant only, and its queries
// above its quota have a lower value, while those of the others keep theirs.
func TestTenants(t *testing.T) {
	tenants := []*Tenant{{Name: "a", Usage: 3, Quota: 100}, {Name: "b", Usage: 1, Quota: 20, Bursts: []Burst{{At: 20 * time.Second, For: 20 * time.Second, Factor: 4}}}}
	class := &Class{Name: "x", Parts: 1, Zipf: NewZipf(8, 0, 1), Timeout: time.Second, Value: 2, Arrivals: Arrivals{Rate: 40, Bursts: []Burst{{At: 20 * time.Second, For: 20 * time.Second, Factor: 1.75}}}}
	n, overQuota := make(map[string][2]int), make(map[string]int)
	for _, a := range runClients(&Clients{Classes: []*Class{class}, Tenants: tenants, OverQuotaValue: 0.2}, 40*time.Second) {
		half := n[a.Tenant]
		half[int(a.Due/(20*time.Second))]++
		n[a.Tenant] = half
		want := 2.0
		if a.OverQuota {
			overQuota[a.Tenant]++
			want = 0.4
		}
		require.Equal(t, want, a.Value)
	}
	requireNear := func(want float64, got int) { require.InDelta(t, want, got, 5*math.Sqrt(want)) }
	requireNear(600, n["a"][0])
	requireNear(600, n["a"][1])
	requireNear(200, n["b"][0])
	requireNear(800, n["b"][1])
	require.Zero(t, overQuota["a"])
	requireNear(400, overQuota["b"]) // 20 of 40 per second are within the quota
}
