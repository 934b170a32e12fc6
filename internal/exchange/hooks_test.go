package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/choice"
	"saddleport/internal/settings"
	"saddleport/sdk/hookabi"
)

// refusingHooks refuses every query when its first attempt is about to be sent.
type refusingHooks struct {
	calls, maxTimeLeft int64 // Send hooks called; microseconds that a view had left at most
}

func (h *refusingHooks) Begin(string) QueryHooks                        { return h }
func (h *refusingHooks) Wants(p hookabi.Point, _ string) bool           { return p == hookabi.Send }
func (h *refusingHooks) Timeout(hookabi.Point, string) time.Duration    { return time.Second }
func (h *refusingHooks) Fallback(hookabi.Point, string) *hookabi.Result { return nil }
func (h *refusingHooks) End(*hookabi.View)                              {}
func (h *refusingHooks) Invoke(v *hookabi.View, _ time.Duration, done func(*hookabi.Result)) {
	h.calls++
	h.maxTimeLeft = max(h.maxTimeLeft, v.Left)
	done(&hookabi.Result{Refuse: true, Reason: "no"})
}

// Guards against attempts that never end, and so hold their part and a place at their server for ever, because a
// hook refused their query when they were about to be sent.
func TestRefusalBySendHook(t *testing.T) {
	loop := &manualLoop{now: time.Unix(1_000_000_000, 0)} // not the system clock
	set := settings.Settings{Router: choice.Settings{Cells: 1, Width: 1, Shards: 1, Routers: 1, AttemptCap: 4, Resolution: 1000, MaxPartsPerCall: 1, AskWithin: 10_000_000,
		Classes: []choice.Class{{Name: "report", LatencyTarget: 5_000_000, Deadline: 20_000_000, RequiredShare: 1, MinShare: 1, Value: 1}}}}
	router, err := choice.New(1, set.Router)
	require.NoError(t, err)
	x, err := NewOn(loop, router, 1, set)
	require.NoError(t, err)
	hooks := &refusingHooks{}
	x.SetHooks(hooks, false)
	upstream := &recordingUpstream{}
	x.Attach(upstream)
	x.UpdateServers(choice.List{Form: choice.Full, Version: 1, Servers: []choice.Server{{ID: "a", State: choice.Ready, Scale: 1}}})
	const queries = 200 // more than one server may have in flight
	refused := 0
	for i := range queries {
		x.Submit(&Query{ID: string(rune('a' + i)), Class: "report", Text: "t", ReceivedAt: loop.now, Timeout: 15 * time.Second, Parts: []Part{{Weight: 1}},
			Done: func(f Final) {
				if f.Ending == Refused && !f.MayHaveRun {
					refused++
				}
			}})
		for range 4 {
			x.Turn()
		}
		loop.now = loop.now.Add(time.Millisecond)
	}
	require.Equal(t, queries, refused)
	require.EqualValues(t, queries, hooks.calls, "no attempt holds a place at the server")
	require.Empty(t, upstream.takeAttempts())
	require.Empty(t, x.parts)
	require.LessOrEqual(t, hooks.maxTimeLeft, (15 * time.Second).Microseconds())
}
