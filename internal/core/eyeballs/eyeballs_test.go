package eyeballs

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const sec = Micros(1_000_000)

func TestOrder(t *testing.T) {
	var m History
	all := []string{"10.0.0.1:80", "10.0.0.2:80", "[2001:db8::1]:80", "[2001:db8::2]:80", "unix:/run/t.sock", "trip7.example.org:80"}
	require.Equal(t, []string{"unix:/run/t.sock", "[2001:db8::1]:80", "10.0.0.1:80", "trip7.example.org:80", "[2001:db8::2]:80", "10.0.0.2:80"}, m.Order(all, 0))
	m.RecordSuccess("10.0.0.2:80", sec)
	m.RecordFailure("unix:/run/t.sock", sec)
	m.RecordFailure("[2001:db8::1]:80", sec)
	m.RecordFailure("[2001:db8::1]:80", sec) // its rest is longer
	require.Equal(t, []string{"10.0.0.2:80", "[2001:db8::2]:80", "10.0.0.1:80", "trip7.example.org:80", "unix:/run/t.sock", "[2001:db8::1]:80"}, m.Order(all, sec+1))
	require.Equal(t, "unix:/run/t.sock", m.Order(all, 3*sec)[1], "its rest is over")
	for i := range 100 { // an address's rest does not grow without end, nor does the memory
		m.RecordFailure("[2001:db8::1]:80", sec)
		m.RecordFailure(string(rune('a'+i%26))+string(rune('a'+i/26))+":1", sec)
	}
	require.LessOrEqual(t, len(m.addresses), maxAddresses)
	require.False(t, m.InBackoff("[2001:db8::1]:80", sec+maxBackoff+1))
}

// The hard cases: an address that hangs holds the next one up for the stagger alone;
// one that refuses, not at all; a second that comes up just after the first is closed.
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

// Whatever order things come in: each address is begun once at most, there is one
// winner at most, and a race whose tries are all over is over.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "n")
		var all []string
		for i := range n {
			all = append(all, string(rune('a'+i)))
		}
		r := New(all, sec/4)
		begun, wins := make(map[string]int), 0
		var out []string
		for now := Micros(0); now < 10*sec; now += Micros(rapid.IntRange(1, 400_000).Draw(t, "later")) {
			if a, ok := r.Step(now); ok {
				begun[a]++
				out = append(out, a)
			}
			if len(out) > 0 && rapid.Bool().Draw(t, "ends") {
				i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				if rapid.Bool().Draw(t, "ready") {
					if r.Connected(out[i]) {
						wins++
					}
				} else {
					r.Failed(out[i])
				}
				out = append(out[:i:i], out[i+1:]...)
			}
			if r.InFlight() != len(out) {
				t.Fatalf("%d out, want %d", r.InFlight(), len(out))
			}
		}
		for _, a := range out {
			r.Failed(a)
		}
		for a, k := range begun {
			if k > 1 {
				t.Fatalf("%s begun %d times", a, k)
			}
		}
		if wins > 1 || (wins == 1) != (r.Winner != "") || len(begun) == n && !r.Finished {
			t.Fatalf("%d winners, %q, over %v", wins, r.Winner, r.Finished)
		}
	})
}
