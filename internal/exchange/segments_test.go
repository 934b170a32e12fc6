package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/choice"
	"saddleport/internal/core/placement"
	"saddleport/internal/settings"
)

// stepped is a drive whose clock the test moves.
type stepped struct{ now time.Time }

func (s *stepped) Now() time.Time { return s.now }
func (s *stepped) Wake()          {}

// sent records what the exchange hands over.
type sent struct{ all []*Attempt }

func (s *sent) Send(a []*Attempt)               { s.all = append(s.all, a...) }
func (s *sent) Cancel(*Attempt, choice.Verdict) {}
func (s *sent) Probe(string)                    {}
func (s *sent) Release(string)                  {}
func (s *sent) Watch(bool)                      {}
func (s *sent) Fetch()                          {}

func (s *sent) take() []*Attempt {
	out := s.all
	s.all = nil
	return out
}

type noFeed struct{}

func (noFeed) RequestEpoch(int64) {}

// Two segments of a query are turned away one by one, and have merged by then: the
// parts that replace them have one name on the wire, and must not be out together.
func TestMergedAfterTurnedAway(t *testing.T) {
	d := &stepped{now: time.Now()}
	set := settings.Settings{Router: choice.Settings{Cells: 2, Width: 1, Shards: 2, Routers: 1, AttemptCap: 4, Resolution: 1000, MaxPartsPerCall: 1, AskWithin: 10_000_000,
		Classes: []choice.Class{{Name: "report", LatencyTarget: 5_000_000, Deadline: 20_000_000, RequiredShare: 1, MinShare: 1, Value: 1}}}}
	router, err := choice.New(1, set.Router)
	require.NoError(t, err)
	x, err := NewOn(d, router, 1, set)
	require.NoError(t, err)
	x.SetMapSource(noFeed{}, 16)
	out := &sent{}
	x.Attach(out)
	var final *Final
	turn := func() {
		for range 4 { // what a turn posts is done in the next
			x.Turn()
		}
	}
	cells := []placement.Cell{{ID: 0, Servers: []string{"a"}}, {ID: 1, Servers: []string{"b"}}}
	old, err := (*placement.Map)(nil).Apply(&placement.Update{Epoch: 1, Cells: cells, Segments: []placement.Segment{
		{ID: 1, Range: placement.Range{To: "m"}, Cell: 0, Since: 1}, {ID: 2, Range: placement.Range{From: "m"}, Cell: 0, Since: 1}}})
	require.NoError(t, err)
	merged, err := old.Apply(&placement.Update{Base: 1, Epoch: 2, Removed: []uint32{1, 2}, Segments: []placement.Segment{{ID: 3, Cell: 1, Since: 2}}})
	require.NoError(t, err)
	x.UpdateMap(old)
	x.UpdateServers(choice.List{Form: choice.Full, Version: 1, Servers: []choice.Server{{ID: "a", Cell: 0, State: choice.Ready, Scale: 1}, {ID: "b", Cell: 1, State: choice.Ready, Scale: 1}}})
	turn()
	x.Submit(&Query{ID: "q", Class: "report", Text: "t", ReceivedAt: d.now, Timeout: 15 * time.Second, Done: func(f Final) { final = &f },
		Parts: []Part{{Shard: 1, Weight: 0.5}, {Shard: 2, Weight: 0.5}}})
	turn()
	first := out.take()
	require.Len(t, first, 2)
	for _, a := range first {
		x.AttemptEnded(a, choice.Rejected, []choice.Reading{{Name: movedReading, Value: 2}}, "")
	}
	turn()
	x.UpdateMap(merged)
	turn()
	one := out.take()
	require.Len(t, one, 1, "the second waits for the first")
	require.Equal(t, "q.3", one[0].PartID)
	for range 10 { // it looks again and again, and waits on
		d.now = d.now.Add(segmentInUsePause)
		turn()
	}
	require.Empty(t, out.take())
	x.AttemptEnded(one[0], choice.Served, nil, "v1")
	turn()
	d.now = d.now.Add(segmentInUsePause)
	turn()
	two := out.take()
	require.Len(t, two, 1)
	require.Equal(t, "q.3", two[0].PartID)
	require.NotEqual(t, one[0].ExtraFields, two[0].ExtraFields, "it asks for the other keys")
	x.AttemptEnded(two[0], choice.Served, nil, "v2")
	turn()
	require.NotNil(t, final)
	require.True(t, final.Complete)
	require.Len(t, final.Hits, 2)
	require.NotEqual(t, final.Hits[0].Value, final.Hits[1].Value)
}
