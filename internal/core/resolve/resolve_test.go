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

func TestLifetime(t *testing.T) {
	q := New(settings(1))
	require.Equal(t, Unknown, q.Status(0))
	require.True(t, q.RecordResponse(0, Answer, 10*sec))
	at, _ := q.Next()
	require.Equal(t, 9*sec, at)
	require.Equal(t, Fresh, q.Status(10*sec-1))
	require.Equal(t, 10*sec, q.NextStatusChange(sec))
	// A resolver silent for a minute: stale, and asked on, ever more slowly.
	now, asked := at, 0
	for ; now < 70*sec; now, _ = q.Next() {
		require.False(t, q.RecordResponse(now, Failed, 0))
		asked++
	}
	require.Equal(t, Stale, q.Status(69*sec))
	require.Less(t, asked, 20)
	require.Equal(t, Unknown, q.Status(310*sec))
	q.RecordResponse(now, Answer, 0) // a lifetime of 0 is lifted to the floor, one of a week cut to the cap
	require.Equal(t, Fresh, q.Status(now+sec-1))
	q.RecordResponse(now, Answer, 7*86400*sec)
	require.Equal(t, Stale, q.Status(now+60*sec))
}

func TestTurns(t *testing.T) {
	q := New(settings(3))
	q.RecordResponse(0, Truncated, 0)
	at, a := q.Next()
	require.Equal(t, Query{0, true}, a)
	require.Zero(t, at)
	q.RecordResponse(0, Truncated, 0) // over TCP as well
	_, a = q.Next()
	require.Equal(t, Query{1, false}, a)
	q.RecordResponse(0, Refused, 0)
	_, a = q.Next()
	require.Equal(t, 2, a.Resolver)
	q.RecordResponse(0, Failed, 0)
	at, a = q.Next()
	require.Equal(t, 0, a.Resolver)
	require.Equal(t, sec/4, at, "all have failed: a pause")
	q.RecordResponse(at, Failed, 0)
	_, a = q.Next()
	require.Equal(t, 2, a.Resolver, "the lame one rests")
}

// One resolver that lies that the name is not there is not believed; two are.
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

// Whatever is answered: no resolver is asked more often than the bounds let it.
func TestNotPressed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "resolvers")
		q := New(settings(n))
		now, asked, believed := Micros(0), 0, false
		for now < 60*sec {
			at, a := q.Next()
			if a.Resolver < 0 || a.Resolver >= n {
				t.Fatalf("resolver %d of %d", a.Resolver, n)
			}
			now = max(now, at) + 1000
			asked++
			o := Outcome(rapid.IntRange(0, 4).Draw(t, "outcome"))
			ttl := Micros(rapid.IntRange(0, 100).Draw(t, "ttl")) * sec
			if q.RecordResponse(now, o, ttl) {
				believed = true
				if s := q.Status(now); s != Fresh && s != Absent {
					t.Fatalf("%v after an answer", s)
				}
			}
			if !believed && q.Status(now) != Unknown {
				t.Fatalf("%v without an answer", q.Status(now))
			}
		}
		if most := 2 * n * (60*5 + 10); asked > most {
			t.Fatalf("asked %d times in a minute", asked)
		}
	})
}
