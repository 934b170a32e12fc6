package hookrule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"saddleport/choice"
	"saddleport/sdk/hookabi"
)

var testRules = New([]choice.Class{
	{Name: "free-slots", Effect: choice.Safe, RequiredShare: 0.5, MinShare: 0.5},
	{Name: "any-slot", Effect: choice.Safe, RequiredShare: 0.2, MinShare: 0.1},
	{Name: "trip-report", Effect: choice.Safe, RequiredShare: 1, MinShare: 1},
	{Name: "book-trip", Effect: choice.Unsafe, RequiredShare: 1, MinShare: 1},
})

func view(point hookabi.Point, class string) *hookabi.View {
	return &hookabi.View{Point: point, ID: "q", Class: class, Left: 100000, Part: 0, Parts: []hookabi.PartView{
		{Shard: 3, Weight: 0.3, Served: true}, {Shard: 9, Weight: 0.7, Served: true}}}
}

func TestRejected(t *testing.T) {
	for _, c := range []struct {
		point  hookabi.Point
		class  string
		result hookabi.Result
		want   string
	}{
		{hookabi.Answer, "free-slots", hookabi.Result{Claims: []string{"value"}}, "claims value: only the leaf server sets a value"},
		{hookabi.Answer, "free-slots", hookabi.Result{Claims: []string{"whole"}}, "claims whole: whether an answer is complete depends on its parts alone"},
		{hookabi.Send, "free-slots", hookabi.Result{Claims: []string{"server"}}, "claims server: a hook can't choose the server"},
		{hookabi.Answered, "book-trip", hookabi.Result{Claims: []string{"resend"}}, "claims resend: a hook can't cause another attempt"},
		{hookabi.Taken, "free-slots", hookabi.Result{Claims: []string{"id"}}, "claims id: a hook can't affect another query"},
		{hookabi.Taken, "book-trip", hookabi.Result{Class: "free-slots"}, "class free-slots: its parts may be repeated, those of book-trip may not"},
		{hookabi.Taken, "trip-report", hookabi.Result{Class: "any-slot"}, "class any-slot: its required or minimum share is below that of trip-report"},
		{hookabi.Taken, "trip-report", hookabi.Result{Class: "x"}, `class "x": unknown class`},
		{hookabi.Admission, "free-slots", hookabi.Result{Class: "trip-report"}, "class: may be changed only at the taken point"},
		{hookabi.Taken, "free-slots", hookabi.Result{Left: 100001}, "time left: 100001 us is more than the remaining 100000 us"},
		{hookabi.Taken, "free-slots", hookabi.Result{Left: 999}, "time left: 999 us is below the minimum of 1000 us"},
		{hookabi.Answered, "free-slots", hookabi.Result{Left: 5000}, "time left: can't be changed after admission"},
		{hookabi.Taken, "free-slots", hookabi.Result{Drop: []int{9}}, "drop: 0.300 of the answer would be left, but class free-slots requires 0.500"},
		{hookabi.Taken, "free-slots", hookabi.Result{Drop: []int{4}}, "drop: the query has no part for shard 4"},
		{hookabi.Taken, "free-slots", hookabi.Result{Drop: []int{3, 3}}, "drop: shard 3 is listed twice"},
		{hookabi.Send, "free-slots", hookabi.Result{Drop: []int{9}}, "drop: only the current part may be dropped, not shard 9"},
		{hookabi.Taken, "trip-report", hookabi.Result{Drop: []int{3}}, "drop: 0.700 of the answer would be left, but class trip-report requires 1.000"},
		{hookabi.Taken, "book-trip", hookabi.Result{Drop: []int{3}}, "drop: parts of class book-trip may have side effects"},
		{hookabi.Ended, "free-slots", hookabi.Result{Refuse: true}, "the query has ended: nothing can be requested any more"},
		{hookabi.Taken, "free-slots", hookabi.Result{Tags: []hookabi.Pair{{Name: "A B"}}}, `name "A B": 1 to 32 of a-z, 0-9 and -`},
		{hookabi.Taken, "free-slots", hookabi.Result{Notes: []hookabi.Pair{{Name: "a", Value: "x\r\ny"}}}, "value of a: at most 256 printable characters"},
	} {
		_, err := testRules.Check(view(c.point, c.class), &c.result, "h")
		require.EqualError(t, err, c.want)
	}
}

func TestGranted(t *testing.T) {
	v := view(hookabi.Taken, "free-slots")
	a, err := testRules.Check(v, &hookabi.Result{Class: "trip-report", Left: 50000, Tags: []hookabi.Pair{{Name: "gov", Value: "amman"}}}, "h")
	require.NoError(t, err)
	Apply(v, a)
	require.Equal(t, "trip-report", v.Class)
	require.EqualValues(t, 50000, v.Left)
	// The next hook is checked against the class and the time that the first one set.
	_, err = testRules.Check(v, &hookabi.Result{Left: 60000}, "h")
	require.Error(t, err)
	_, err = testRules.Check(v, &hookabi.Result{Drop: []int{3}}, "h")
	require.Error(t, err)

	v = view(hookabi.Taken, "free-slots")
	a, err = testRules.Check(v, &hookabi.Result{Drop: []int{3}}, "h")
	require.NoError(t, err)
	Apply(v, a)
	_, err = testRules.Check(v, &hookabi.Result{Drop: []int{9}}, "h")
	require.Error(t, err, "nothing would be left")

	a, err = testRules.Check(v, &hookabi.Result{Refuse: true}, "clinic")
	require.NoError(t, err)
	require.Equal(t, "by hook clinic", a.Reason)
}

func TestOutcomeRules(t *testing.T) {
	require.True(t, SafeToRefuse(choice.Safe, true))
	require.True(t, SafeToRefuse(choice.Unsafe, false))
	require.False(t, SafeToRefuse(choice.Unsafe, true))
	require.False(t, SafeToRefuse(choice.Keyed, true))
	c := choice.Class{RequiredShare: 0.5, MinShare: 0.2}
	require.True(t, MeetsRequiredShare(c, 0.5))
	require.False(t, MeetsRequiredShare(c, 0.49))
	require.True(t, MeetsMinShare(c, 0.2))
	require.False(t, MeetsMinShare(c, 0.1))
	require.False(t, MeetsMinShare(choice.Class{}, 0))
}
