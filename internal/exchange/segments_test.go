package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/choice"
	"saddleport/internal/core/placement"
	"saddleport/internal/settings"
)

// manualLoop is an event loop whose clock the test advances.
type manualLoop struct{ now time.Time }

func (l *manualLoop) Now() time.Time { return l.now }
func (l *manualLoop) Wake()          {}

// recordingUpstream records the attempts that the exchange sends.
type recordingUpstream struct{ attempts []*Attempt }

func (u *recordingUpstream) Send(a []*Attempt)               { u.attempts = append(u.attempts, a...) }
func (u *recordingUpstream) Cancel(*Attempt, choice.Verdict) {}
func (u *recordingUpstream) Probe(string)                    {}
func (u *recordingUpstream) Release(string)                  {}
func (u *recordingUpstream) Watch(bool)                      {}
func (u *recordingUpstream) Fetch()                          {}

func (u *recordingUpstream) takeAttempts() []*Attempt {
	attempts := u.attempts
	u.attempts = nil
	return attempts
}

// noMapSource ignores requests for a newer map; the test calls UpdateMap itself.
type noMapSource struct{}

func (noMapSource) RequestEpoch(int64) {}

// The shards of the query are ids of segments. Segment 3, without a Range, covers all keys
// and so is the merge of segments 1 and 2. Two parts of a query are rejected one after the other because their segments have
// moved, and meanwhile the two segments have been merged. The parts that replace them
// have the same id on the wire and must not be in flight together.
func TestSegmentsMergedAfterRejection(t *testing.T) {
	loop := &manualLoop{now: time.Unix(1_000_000_000, 0)} // not the system clock
	set := settings.Settings{Router: choice.Settings{Cells: 2, Width: 1, Shards: 2, Routers: 1, AttemptCap: 4, Resolution: 1000, MaxPartsPerCall: 1, AskWithin: 10_000_000,
		Classes: []choice.Class{{Name: "report", LatencyTarget: 5_000_000, Deadline: 20_000_000, RequiredShare: 1, MinShare: 1, Value: 1}}}}
	router, err := choice.New(1, set.Router)
	require.NoError(t, err)
	x, err := NewOn(loop, router, 1, set)
	require.NoError(t, err)
	x.SetMapSource(noMapSource{}, 16) // far more targets than the query needs
	upstream := &recordingUpstream{}
	x.Attach(upstream)
	var final *Final
	runTurns := func() {
		for range 4 { // events posted during a Turn are processed in the next; 4 Turns are enough for the posts that follow each other here
			x.Turn()
		}
	}
	cells := []placement.Cell{{ID: 0, Servers: []string{"a"}}, {ID: 1, Servers: []string{"b"}}}
	initial, err := (*placement.Map)(nil).Apply(&placement.Update{Epoch: 1, Cells: cells, Segments: []placement.Segment{
		{ID: 1, Range: placement.Range{To: "m"}, Cell: 0, Since: 1}, {ID: 2, Range: placement.Range{From: "m"}, Cell: 0, Since: 1}}})
	require.NoError(t, err)
	merged, err := initial.Apply(&placement.Update{Base: 1, Epoch: 2, Removed: []uint32{1, 2}, Segments: []placement.Segment{{ID: 3, Cell: 1, Since: 2}}})
	require.NoError(t, err)
	x.UpdateMap(initial)
	x.UpdateServers(choice.List{Form: choice.Full, Version: 1, Servers: []choice.Server{{ID: "a", Cell: 0, State: choice.Ready, Scale: 1}, {ID: "b", Cell: 1, State: choice.Ready, Scale: 1}}})
	runTurns()
	x.Submit(&Query{ID: "q", Class: "report", Text: "t", ReceivedAt: loop.now, Timeout: 15 * time.Second, Done: func(f Final) { final = &f },
		Parts: []Part{{Shard: 1, Weight: 0.5}, {Shard: 2, Weight: 0.5}}})
	runTurns()
	rejected := upstream.takeAttempts()
	require.Len(t, rejected, 2)
	for _, a := range rejected {
		x.AttemptEnded(a, choice.Rejected, []choice.Reading{{Name: movedReading, Value: 2}}, "")
	}
	runTurns()
	x.UpdateMap(merged)
	runTurns()
	firstReroute := upstream.takeAttempts()
	require.Len(t, firstReroute, 1, "the second part waits for the first")
	require.Equal(t, "q.3", firstReroute[0].PartID)
	for range 10 { // the second part checks again and again and keeps waiting
		loop.now = loop.now.Add(segmentInUsePause)
		runTurns()
	}
	require.Empty(t, upstream.takeAttempts())
	x.AttemptEnded(firstReroute[0], choice.Served, nil, "v1")
	runTurns()
	loop.now = loop.now.Add(segmentInUsePause)
	runTurns()
	secondReroute := upstream.takeAttempts()
	require.Len(t, secondReroute, 1)
	require.Equal(t, "q.3", secondReroute[0].PartID)
	require.NotEqual(t, firstReroute[0].ExtraFields, secondReroute[0].ExtraFields, "the second part asks for the other keys")
	x.AttemptEnded(secondReroute[0], choice.Served, nil, "v2")
	runTurns()
	require.NotNil(t, final)
	require.True(t, final.Complete)
	require.Len(t, final.Hits, 2)
	require.NotEqual(t, final.Hits[0].Value, final.Hits[1].Value)
}
