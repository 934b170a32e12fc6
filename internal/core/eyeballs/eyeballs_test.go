package eyeballs

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const sec = Micros(1_000_000)

func TestOrder(t *testing.T) {
	var m History
	addrs := []string{"10.0.0.1:80", "10.0.0.2:80", "[2001:db8::1]:80", "[2001:db8::2]:80", "unix:/run/t.sock", "trip7.example.org:80"}
	require.Equal(t, []string{"unix:/run/t.sock", "[2001:db8::1]:80", "10.0.0.1:80", "trip7.example.org:80", "[2001:db8::2]:80", "10.0.0.2:80"}, m.Order(addrs, 0))
	m.RecordSuccess("10.0.0.2:80", sec)
	m.RecordFailure("unix:/run/t.sock", sec)
	m.RecordFailure("[2001:db8::1]:80", sec)
	m.RecordFailure("[2001:db8::1]:80", sec) // a second failure doubles its backoff
	require.Equal(t, []string{"10.0.0.2:80", "[2001:db8::2]:80", "10.0.0.1:80", "trip7.example.org:80", "unix:/run/t.sock", "[2001:db8::1]:80"}, m.Order(addrs, sec+1))
	require.Equal(t, "unix:/run/t.sock", m.Order(addrs, 3*sec)[1], "its backoff is over")
	for i := range 100 { // the backoff of an address and the history are bounded
		m.RecordFailure("[2001:db8::1]:80", sec)
		m.RecordFailure(string(rune('a'+i%26))+string(rune('a'+i/26))+":1", sec)
	}
	require.LessOrEqual(t, len(m.addresses), maxAddresses)
	require.False(t, m.InBackoff("[2001:db8::1]:80", sec+maxBackoff+1))
}

// An address that hangs delays the next attempt by the stagger only, one that refuses
// does not delay it, and a second one that connects just after the first does not win.
func TestRace(t *testing.T) {
	r := New([]string{"a", "b", "c"}, sec/4)
	a, ok := r.Step(0)
	require.True(t, ok)
	require.Equal(t, "a", a)
	_, ok = r.Step(sec/4 - 1)
	require.False(t, ok)
	require.Equal(t, sec/4, r.Due())
	b, _ := r.Step(sec / 4)
	require.Equal(t, "b", b)
	r.Failed("b")
	c, _ := r.Step(sec/4 + 1)
	require.Equal(t, "c", c)
	require.True(t, r.Connected("a"))
	require.False(t, r.Connected("c"))
	require.False(t, r.Connected("a"))
	require.Zero(t, r.InFlight())
	require.Zero(t, r.Due())

	r = New([]string{"a"}, sec)
	r.Step(0)
	r.Failed("a")
	require.True(t, r.Finished)
	require.Empty(t, r.Winner)
}

// For any order of events: each address is tried at most once, there is at most one
// winner, and a race whose attempts are all over is finished.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "n")
		var addrs []string
		for i := range n {
			addrs = append(addrs, string(rune('a'+i)))
		}
		r := New(addrs, sec/4)
		attempts, wins := make(map[string]int), 0
		var inFlight []string
		for now := Micros(0); now < 10*sec; now += Micros(rapid.IntRange(1, 400_000).Draw(t, "delay")) {
			if a, ok := r.Step(now); ok {
				attempts[a]++
				inFlight = append(inFlight, a)
			}
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "ends") {
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "attempt")
				if rapid.Bool().Draw(t, "ready") {
					if r.Connected(inFlight[i]) {
						wins++
					}
				} else {
					r.Failed(inFlight[i])
				}
				inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
			}
			if r.InFlight() != len(inFlight) {
				t.Fatalf("%d in flight, want %d", r.InFlight(), len(inFlight))
			}
		}
		for _, a := range inFlight {
			r.Failed(a)
		}
		for a, k := range attempts {
			if k > 1 {
				t.Fatalf("%s tried %d times", a, k)
			}
		}
		if wins > 1 || (wins == 1) != (r.Winner != "") || len(attempts) == n && !r.Finished {
			t.Fatalf("%d winners, %q, finished %v", wins, r.Winner, r.Finished)
		}
	})
}
