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

// feed answers what the test has lined up, then nothing new; a call that finds
// nothing lined up waits for it.
type feed struct {
	mu    sync.Mutex
	cond  *sync.Cond
	next  []func(w http.ResponseWriter)
	asked []string
	over  bool
}

func (f *feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.asked = append(f.asked, r.URL.RawQuery)
	stop := context.AfterFunc(r.Context(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cond.Broadcast()
	})
	defer stop()
	for len(f.next) == 0 && !f.over && r.Context().Err() == nil {
		f.cond.Wait()
	}
	var do func(http.ResponseWriter)
	if len(f.next) > 0 && r.Context().Err() == nil {
		do, f.next = f.next[0], f.next[1:]
	}
	f.mu.Unlock()
	if do != nil {
		do(w)
	}
}

func (f *feed) then(u placement.Update) {
	f.say(func(w http.ResponseWriter) { json.NewEncoder(w).Encode(u) })
}

func (f *feed) say(do func(http.ResponseWriter)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = append(f.next, do)
	f.cond.Broadcast()
}

type taker chan *placement.Map

func (t taker) UpdateMap(m *placement.Map) { t <- m }

var cells = []placement.Cell{{ID: 0, Servers: []string{"a"}}}

// News, a gap, lies, garbage, an old epoch and a failing feed: what is believed is
// always the newest map that could be.
func TestFeed(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := &feed{}
	f.cond = sync.NewCond(&f.mu)
	srv := httptest.NewServer(f)
	var s Settings
	inifile.SetDefaults(&s)
	s.MaxBytes = 64 << 10
	s.Feed = strings.TrimPrefix(srv.URL, "http://")
	maps := make(taker, 16)
	w := New(s, maps)
	require.True(t, w.Report(0).Stale)
	_, err := w.Explain("k")
	require.ErrorContains(t, err, "no map")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()

	f.then(placement.Update{Epoch: 3, Cells: cells, Segments: []placement.Segment{{ID: 1}}})
	require.EqualValues(t, 3, (<-maps).Epoch())
	f.then(placement.Update{Epoch: 4, Base: 3, Removed: []uint32{1}, Segments: []placement.Segment{{ID: 2, Range: placement.Range{To: "m"}}, {ID: 3, Range: placement.Range{From: "m"}}}})
	require.Equal(t, 2, (<-maps).Len())
	f.then(placement.Update{Epoch: 9, Base: 8})                                                                                 // a gap: the whole is asked for
	f.then(placement.Update{Epoch: 9, Cells: cells, Segments: []placement.Segment{{ID: 9, Range: placement.Range{From: "a"}}}}) // a lie
	f.say(func(w http.ResponseWriter) { fmt.Fprint(w, "{") })
	f.say(func(w http.ResponseWriter) {
		fmt.Fprint(w, `{"epoch":9,"removed":[`+strings.Repeat("1,", 40<<10)+`1]}`)
	}) // too long
	f.say(func(w http.ResponseWriter) { w.WriteHeader(503) })
	f.then(placement.Update{Epoch: 2, Cells: cells, Segments: []placement.Segment{{ID: 1}}}) // old
	f.then(placement.Update{Epoch: 10, Cells: cells, Segments: []placement.Segment{{ID: 10}}})
	require.EqualValues(t, 10, (<-maps).Epoch())
	r := w.Report(5)
	require.EqualValues(t, 1, r.Refused)
	require.Len(t, r.List, 1)
	require.False(t, r.Stale)
	e, err := w.Explain("karak")
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, e.Servers)

	// Ten thousand parts find out at once: one call more.
	f.mu.Lock()
	before := len(f.asked)
	f.mu.Unlock()
	for range 10000 {
		w.RequestEpoch(11)
	}
	for range 2 { // the call that was ended may take one with it
		f.then(placement.Update{Epoch: 11, Base: 10})
	}
	require.EqualValues(t, 11, (<-maps).Epoch())
	f.mu.Lock()
	require.LessOrEqual(t, len(f.asked)-before, 4)
	f.over = true
	f.mu.Unlock()
	cancel()
	f.cond.Broadcast()
	<-ended
	srv.Close()
}
