package hookrule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"saddleport/choice"
	"saddleport/sdk/hookabi"
)

var rules = New([]choice.Class{
	{Name: "free-slots", Effect: choice.Safe, RequiredShare: 0.5, MinShare: 0.5},
	{Name: "any-slot", Effect: choice.Safe, RequiredShare: 0.2, MinShare: 0.1},
	{Name: "trip-report", Effect: choice.Safe, RequiredShare: 1, MinShare: 1},
	{Name: "book-trip", Effect: choice.Unsafe, RequiredShare: 1, MinShare: 1},
})

func view(point hookabi.Point, class string) *hookabi.View {
	return &hookabi.View{Point: point, ID: "q", Class: class, Left: 100000, Part: 0, Parts: []hookabi.PartView{
		{Shard: 3, Weight: 0.3, Served: true}, {Shard: 9, Weight: 0.7, Served: true}}}
}

func TestNotGranted(t *testing.T) {
	for _, c := range []struct {
		point hookabi.Point
		class string
		ask   hookabi.Result
		want  string
	}{
		{hookabi.Answer, "free-slots", hookabi.Result{Claims: []string{"value"}}, "claims value: a value is the leaf server's alone"},
		{hookabi.Answer, "free-slots", hookabi.Result{Claims: []string{"whole"}}, "claims whole: an answer is whole or not by what is in it"},
		{hookabi.Send, "free-slots", hookabi.Result{Claims: []string{"server"}}, "claims server: which server is asked is not a hook's to say"},
		{hookabi.Answered, "book-trip", hookabi.Result{Claims: []string{"resend"}}, "claims resend: a further attempt is not a hook's to cause"},
		{hookabi.Taken, "free-slots", hookabi.Result{Claims: []string{"id"}}, "claims id: another query may not be touched"},
		{hookabi.Taken, "book-trip", hookabi.Result{Class: "free-slots"}, "class free-slots: its parts may be repeated where those of book-trip may not"},
		{hookabi.Taken, "trip-report", hookabi.Result{Class: "any-slot"}, "class any-slot: is whole, or served, with less than trip-report"},
		{hookabi.Taken, "trip-report", hookabi.Result{Class: "x"}, `class "x": there is none of that name`},
		{hookabi.Admission, "free-slots", hookabi.Result{Class: "trip-report"}, "class: only where the query is taken"},
		{hookabi.Taken, "free-slots", hookabi.Result{Left: 100001}, "time left: 100001 us is more than there is (100000 us)"},
		{hookabi.Taken, "free-slots", hookabi.Result{Left: 999}, "time left: 999 us is less than 1000 us"},
		{hookabi.Answered, "free-slots", hookabi.Result{Left: 5000}, "time left: too late for that"},
		{hookabi.Taken, "free-slots", hookabi.Result{Drop: []int{9}}, "drop: 0.300 of the answer would be left, and free-slots needs 0.500"},
		{hookabi.Taken, "free-slots", hookabi.Result{Drop: []int{4}}, "drop: the query has no part for shard 4"},
		{hookabi.Taken, "free-slots", hookabi.Result{Drop: []int{3, 3}}, "drop: shard 3 twice"},
		{hookabi.Send, "free-slots", hookabi.Result{Drop: []int{9}}, "drop: only the part at hand, not shard 9"},
		{hookabi.Taken, "trip-report", hookabi.Result{Drop: []int{3}}, "drop: 0.700 of the answer would be left, and trip-report needs 1.000"},
		{hookabi.Taken, "book-trip", hookabi.Result{Drop: []int{3}}, "drop: parts of book-trip may have an effect"},
		{hookabi.Ended, "free-slots", hookabi.Result{Refuse: true}, "the query has ended: there is nothing to ask for"},
		{hookabi.Taken, "free-slots", hookabi.Result{Tags: []hookabi.Pair{{Name: "A B"}}}, `name "A B": 1 to 32 of a-z, 0-9 and -`},
		{hookabi.Taken, "free-slots", hookabi.Result{Notes: []hookabi.Pair{{Name: "a", Value: "x\r\ny"}}}, "value of a: at most 256 printable characters"},
	} {
		_, err := rules.Check(view(c.point, c.class), &c.ask, "h")
		require.EqualError(t, err, c.want)
	}
}

func TestGranted(t *testing.T) {
	v := view(hookabi.Taken, "free-slots")
	a, err := rules.Check(v, &hookabi.Result{Class: "trip-report", Left: 50000, Tags: []hookabi.Pair{{Name: "gov", Value: "amman"}}}, "h")
	require.NoError(t, err)
	Apply(v, a)
	require.Equal(t, "trip-report", v.Class)
	require.EqualValues(t, 50000, v.Left)
	// The next hook is judged by the class and the time that the first one left.
	_, err = rules.Check(v, &hookabi.Result{Left: 60000}, "h")
	require.Error(t, err)
	_, err = rules.Check(v, &hookabi.Result{Drop: []int{3}}, "h")
	require.Error(t, err)

	v = view(hookabi.Taken, "free-slots")
	a, err = rules.Check(v, &hookabi.Result{Drop: []int{3}}, "h")
	require.NoError(t, err)
	Apply(v, a)
	_, err = rules.Check(v, &hookabi.Result{Drop: []int{9}}, "h")
	require.Error(t, err, "nothing would be left")

	a, err = rules.Check(v, &hookabi.Result{Refuse: true}, "clinic")
	require.NoError(t, err)
	require.Equal(t, "by hook clinic", a.Reason)
}

func TestEndings(t *testing.T) {
	require.True(t, SafeToRefuse(choice.Safe, true))
	require.True(t, SafeToRefuse(choice.Unsafe, false))
	require.False(t, SafeToRefuse(choice.Unsafe, true))
	require.False(t, SafeToRefuse(choice.Keyed, true))
	c := choice.Class{RequiredShare: 0.5, MinShare: 0.2}
	require.True(t, MeetsNeed(c, 0.5))
	require.False(t, MeetsNeed(c, 0.49))
	require.True(t, MeetsFloor(c, 0.2))
	require.False(t, MeetsFloor(c, 0.1))
	require.False(t, MeetsFloor(choice.Class{}, 0))
}
