package resolve

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const sec = Micros(1_000_000)

func settings(n int) Settings {
	return Settings{Resolvers: n, MinTTL: sec, MaxTTL: 60 * sec, StaleFor: 300 * sec, Backoff: sec / 4, MaxBackoff: 5 * sec}
}

// An answer is fresh, then stale, then discarded; its lifetime is within MinTTL and MaxTTL.
func TestLifetime(t *testing.T) {
	q := New(settings(1))
	require.Equal(t, Unknown, q.Status(0))
	require.True(t, q.RecordResponse(0, Answer, 10*sec))
	at, _ := q.Next()
	require.Equal(t, 9*sec, at)
	require.Equal(t, Fresh, q.Status(10*sec-1))
	require.Equal(t, 10*sec, q.NextStatusChange(sec))
	// A resolver times out for a minute: the answer becomes stale, and the queries back off.
	now, queries := at, 0
	for ; now < 70*sec; now, _ = q.Next() {
		require.False(t, q.RecordResponse(now, Failed, 0))
		queries++
	}
	require.Equal(t, Stale, q.Status(69*sec))
	require.Less(t, queries, 20)
	require.Equal(t, Unknown, q.Status(310*sec))
	q.RecordResponse(now, Answer, 0) // a TTL of 0 is raised to MinTTL, one of a week is reduced to MaxTTL
	require.Equal(t, Fresh, q.Status(now+sec-1))
	q.RecordResponse(now, Answer, 7*86400*sec)
	require.Equal(t, Stale, q.Status(now+60*sec))
}

func TestResolverRotation(t *testing.T) {
	q := New(settings(3))
	q.RecordResponse(0, Truncated, 0)
	at, query := q.Next()
	require.Equal(t, Query{0, true}, query)
	require.Zero(t, at)
	q.RecordResponse(0, Truncated, 0) // truncated over TCP as well
	_, query = q.Next()
	require.Equal(t, Query{1, false}, query)
	q.RecordResponse(0, Refused, 0)
	_, query = q.Next()
	require.Equal(t, 2, query.Resolver)
	q.RecordResponse(0, Failed, 0)
	at, query = q.Next()
	require.Equal(t, 0, query.Resolver)
	require.Equal(t, sec/4, at, "all resolvers have failed: backoff")
	q.RecordResponse(at, Failed, 0)
	_, query = q.Next()
	require.Equal(t, 2, query.Resolver, "the lame resolver is skipped")
}

// With two resolvers one denial is not accepted, two in a row are; a single resolver's is.
func TestNoName(t *testing.T) {
	q := New(settings(2))
	q.RecordResponse(0, Answer, 10*sec)
	require.False(t, q.RecordResponse(9*sec, NoName, 5*sec))
	require.Equal(t, Fresh, q.Status(9*sec))
	require.True(t, q.RecordResponse(9*sec, Answer, 10*sec))
	require.False(t, q.RecordResponse(18*sec, NoName, 5*sec))
	require.True(t, q.RecordResponse(18*sec, NoName, 5*sec))
	require.Equal(t, Absent, q.Status(18*sec))
	require.Equal(t, Fresh, func() Status { q.RecordResponse(20*sec, Answer, sec); return q.Status(20 * sec) }())
	one := New(settings(1))
	require.True(t, one.RecordResponse(0, NoName, sec))
}

// For any responses: no resolver is queried more often than the backoff allows.
func TestQueryRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "resolvers")
		q := New(settings(n))
		now, queries, answered := Micros(0), 0, false
		for now < 60*sec {
			at, query := q.Next()
			if query.Resolver < 0 || query.Resolver >= n {
				t.Fatalf("resolver %d of %d", query.Resolver, n)
			}
			now = max(now, at) + 1000
			queries++
			o := Outcome(rapid.IntRange(0, 4).Draw(t, "outcome"))
			ttl := Micros(rapid.IntRange(0, 100).Draw(t, "ttl")) * sec
			if q.RecordResponse(now, o, ttl) {
				answered = true
				if s := q.Status(now); s != Fresh && s != Absent {
					t.Fatalf("status %v after an answer", s)
				}
			}
			if !answered && q.Status(now) != Unknown {
				t.Fatalf("status %v without an answer", q.Status(now))
			}
		}
		if limit := 2 * n * (60*5 + 10); queries > limit {
			t.Fatalf("%d queries in a minute", queries)
		}
	})
}
