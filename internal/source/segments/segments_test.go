package segments

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"saddleport/internal/core/placement"
	"saddleport/internal/inifile"
)

// feed is a scripted placement feed: it answers calls with the queued responses in order. A
// call that finds the queue empty waits for a response.
type feed struct {
	mu        sync.Mutex
	cond      *sync.Cond
	responses []func(w http.ResponseWriter)
	queries   []string
	closed    bool
}

func (f *feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.queries = append(f.queries, r.URL.RawQuery)
	stop := context.AfterFunc(r.Context(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cond.Broadcast()
	})
	defer stop()
	for len(f.responses) == 0 && !f.closed && r.Context().Err() == nil {
		f.cond.Wait()
	}
	var respond func(http.ResponseWriter)
	if len(f.responses) > 0 && r.Context().Err() == nil {
		respond, f.responses = f.responses[0], f.responses[1:]
	}
	f.mu.Unlock()
	if respond != nil {
		respond(w)
	}
}

func (f *feed) enqueue(u placement.Update) {
	f.enqueueFunc(func(w http.ResponseWriter) { json.NewEncoder(w).Encode(u) })
}

func (f *feed) enqueueFunc(respond func(http.ResponseWriter)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responses = append(f.responses, respond)
	f.cond.Broadcast()
}

type receiver chan *placement.Map

func (r receiver) UpdateMap(m *placement.Map) { r <- m }

var cells = []placement.Cell{{ID: 0, Servers: []string{"a"}}}

// Changes, a gap, an invalid map, malformed and oversized responses, an old epoch and a failing
// feed: the feed always uses the newest valid map.
func TestFeed(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := &feed{}
	f.cond = sync.NewCond(&f.mu)
	srv := httptest.NewServer(f)
	var s Settings
	inifile.SetDefaults(&s)
	s.MaxBytes = 64 << 10
	s.Feed = strings.TrimPrefix(srv.URL, "http://")
	maps := make(receiver, 16)
	watch := New(s, maps)
	require.True(t, watch.Report(0).Stale)
	_, err := watch.Explain("k")
	require.ErrorContains(t, err, "no map")
	ctx, cancel := context.WithCancel(t.Context())
	finished := make(chan struct{})
	go func() { watch.Run(ctx); close(finished) }()

	f.enqueue(placement.Update{Epoch: 3, Cells: cells, Segments: []placement.Segment{{ID: 1}}})
	require.EqualValues(t, 3, (<-maps).Epoch())
	f.enqueue(placement.Update{Epoch: 4, Base: 3, Removed: []uint32{1}, Segments: []placement.Segment{{ID: 2, Range: placement.Range{To: "m"}}, {ID: 3, Range: placement.Range{From: "m"}}}})
	require.Equal(t, 2, (<-maps).Len())
	f.enqueue(placement.Update{Epoch: 9, Base: 8})                                                                                 // a gap: the full map is requested
	f.enqueue(placement.Update{Epoch: 9, Cells: cells, Segments: []placement.Segment{{ID: 9, Range: placement.Range{From: "a"}}}}) // invalid: the range leaves a part of the keys uncovered
	f.enqueueFunc(func(w http.ResponseWriter) { fmt.Fprint(w, "{") })
	f.enqueueFunc(func(w http.ResponseWriter) {
		fmt.Fprint(w, `{"epoch":9,"removed":[`+strings.Repeat("1,", 40<<10)+`1]}`)
	}) // too long
	f.enqueueFunc(func(w http.ResponseWriter) { w.WriteHeader(503) })
	f.enqueue(placement.Update{Epoch: 2, Cells: cells, Segments: []placement.Segment{{ID: 1}}}) // old
	f.enqueue(placement.Update{Epoch: 10, Cells: cells, Segments: []placement.Segment{{ID: 10}}})
	require.EqualValues(t, 10, (<-maps).Epoch())
	r := watch.Report(5)
	require.EqualValues(t, 1, r.Refused)
	require.Len(t, r.List, 1)
	require.False(t, r.Stale)
	e, err := watch.Explain("karak")
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, e.Servers)

	// 10000 requests for the same epoch at once cause a single fetch.
	f.mu.Lock()
	before := len(f.queries)
	f.mu.Unlock()
	for range 10000 {
		watch.RequestEpoch(11)
	}
	for range 2 { // the interrupted call may consume one response
		f.enqueue(placement.Update{Epoch: 11, Base: 10})
	}
	require.EqualValues(t, 11, (<-maps).Epoch())
	f.mu.Lock()
	require.LessOrEqual(t, len(f.queries)-before, 4)
	f.closed = true
	f.mu.Unlock()
	cancel()
	f.cond.Broadcast()
	<-finished
	srv.Close()
}
