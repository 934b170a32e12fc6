// Package segments watches the feed of the segment map: JSON over HTTP, with long polls like
// those of the platform's discovery. It owns the watch and the current map. It must never
// apply an update that the map rejects, call a failing feed without a backoff, or, after a
// server has named a newer epoch, delay the fetch for longer than placement.Refresh requires.
//
//	GET /placement                        the full map
//	GET /placement?epoch=41&wait=20000    the changes after epoch 41, waiting for them up to
//	                                      20000 milliseconds; or the full map
//
// A response is a placement.Update. A response with the requested epoch contains no change.
package segments

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"saddleport/internal/core/placement"
	"saddleport/internal/inifile"
	"saddleport/internal/logs"
)

// Settings are the operator file's section [segments].
type Settings struct {
	Feed       string        `ini:"feed" help:"host:port of the placement feed; none: the platform's settings define the shards (takes effect at the next start)"`
	MaxWait    time.Duration `ini:"watch" default:"20s" range:"100ms..60s" help:"how long one call waits for changes"`
	StaleAfter time.Duration `ini:"stale-after" default:"30s" range:"1s..24h" help:"without an answer for this long the map is reported as stale, but stays in use"`
	MaxBytes   inifile.Bytes `ini:"most-bytes" default:"16MiB" range:"64KiB..1GiB" help:"limit of one answer of the feed; a longer one is rejected"`
	MaxParts   int           `ini:"most-parts" default:"256" range:"1..4096" help:"limit of the parts of one query once its segments have split"`
}

const (
	responseTimeout = 10 * time.Second // on top of the wait of a long poll
	minInterval     = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

var log = logs.For("segments")

// MapReceiver receives each newer map.
type MapReceiver interface{ UpdateMap(m *placement.Map) }

// Feed watches one placement feed and stores the newest map.
type Feed struct {
	settings Settings
	receiver MapReceiver
	http     *http.Client
	start    time.Time

	mu         sync.Mutex
	current    *placement.Map
	refresh    placement.Refresh
	needFull   bool
	interrupt  context.CancelFunc // cancels the current call or backoff
	lastAnswer time.Time
	lastErr    string
	rejected   int64
	calls      int64
	fetchTimer *time.Timer
}

// New returns a feed that passes each newer map to a receiver. It makes no call before Run.
func New(settings Settings, receiver MapReceiver) *Feed {
	return &Feed{settings: settings, receiver: receiver, start: time.Now(), needFull: true, http: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, IdleConnTimeout: time.Minute}},
		refresh: placement.Refresh{MinInterval: minInterval.Microseconds(), MaxBackoff: maxBackoff.Microseconds()}}
}

func (f *Feed) clock() int64 { return time.Since(f.start).Microseconds() }

// RequestEpoch implements exchange.MapSource: a server named a newer epoch. It fetches the map
// as soon as the rate limit of placement.Refresh allows.
func (f *Feed) RequestEpoch(epoch int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wantEpoch(epoch)
}

// wantEpoch is RequestEpoch for callers that hold f.mu.
func (f *Feed) wantEpoch(epoch int64) {
	now := f.clock()
	switch fetchAt := f.refresh.ObserveEpoch(now, epoch, f.current.Epoch()); {
	case fetchAt == 0:
		if f.interrupt != nil {
			f.interrupt()
		}
	case fetchAt > 0 && f.fetchTimer == nil:
		f.fetchTimer = time.AfterFunc(time.Duration(fetchAt-now)*time.Microsecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.fetchTimer = nil
			f.wantEpoch(f.refresh.WantedEpoch)
		})
	}
}

// Run watches the feed until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	defer f.http.CloseIdleConnections()
	backoff := minInterval
	for ctx.Err() == nil {
		call, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.interrupt = cancel
		url, wait := fmt.Sprintf("http://%s/placement?epoch=%d&wait=%d", f.settings.Feed, f.current.Epoch(), f.settings.MaxWait.Milliseconds()), f.settings.MaxWait
		if f.refresh.Fetching { // a server named a newer epoch: request an immediate response instead of a long poll
			url, wait = fmt.Sprintf("http://%s/placement?epoch=%d&wait=0", f.settings.Feed, f.current.Epoch()), 0
		}
		if f.needFull {
			url, wait = "http://"+f.settings.Feed+"/placement", 0
		}
		f.calls++
		f.mu.Unlock()
		update, err := f.get(call, url, wait+responseTimeout)
		interrupted := call.Err() != nil && ctx.Err() == nil
		if interrupted {
			cancel()
			continue
		}
		if f.handleAnswer(update, err) {
			backoff = minInterval
			cancel()
			continue
		}
		pause := time.Duration(float64(backoff) * (0.5 + rand.Float64()/2)) // jitter: proxies must not retry in step
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-ctx.Done():
		case <-call.Done():
		case <-time.After(pause):
		}
		cancel()
	}
}

func (f *Feed) get(ctx context.Context, url string, timeout time.Duration) (*placement.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var update placement.Update
	body := &io.LimitedReader{R: resp.Body, N: int64(f.settings.MaxBytes) + 1}
	err = json.NewDecoder(body).Decode(&update)
	if body.N <= 0 {
		err = fmt.Errorf("response of more than %v: see [segments] most-bytes", f.settings.MaxBytes)
	}
	if err != nil {
		return nil, err
	}
	return &update, nil
}

// handleAnswer applies the result of a call. It returns false if the call failed or its update
// was rejected, so that the caller backs off.
func (f *Feed) handleAnswer(update *placement.Update, err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.needFull = false
	defer func() { f.refresh.FetchDone(f.current.Epoch()) }()
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			f.lastErr = err.Error()
			log.Warn("feed-failed", "feed", f.settings.Feed, "err", err)
		}
		f.needFull = f.current == nil
		return false
	}
	f.lastAnswer = time.Now()
	if update.Epoch == f.current.Epoch() && f.current != nil { // no change
		return true
	}
	m, err := f.current.Apply(update)
	var gap *placement.GapError
	var stale *placement.StaleError
	switch {
	case errors.As(err, &gap):
		f.needFull = true
		return true
	case errors.As(err, &stale):
		f.lastErr = err.Error()
		log.Warn("feed-old", "feed", f.settings.Feed, "err", err)
		return false
	case err != nil:
		f.rejected++
		f.lastErr = err.Error()
		f.needFull = true
		log.Error("map-refused", "feed", f.settings.Feed, "epoch", update.Epoch, "kept", f.current.Epoch(), "err", err)
		return false
	}
	f.current, f.lastErr = m, ""
	log.Info("map", "epoch", m.Epoch(), "segments", m.Len(), "changed", len(update.Segments), "whole", update.Base == 0)
	f.receiver.UpdateMap(m)
	return true
}

// HasMap reports whether a map has been received.
func (f *Feed) HasMap() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current != nil
}

// Report is the state of the feed and of the current map.
type Report struct {
	Feed                     string
	Epoch, Wanted            int64
	Segments, Cells, Retired int
	HeardMS                  int64 // milliseconds since the last response; -1: none yet
	Stale                    bool
	Refused, Calls, Spared   int64
	Err                      string
	List                     []placement.Segment `json:",omitempty"`
}

// Report returns the current state with at most list segments.
func (f *Feed) Report(list int) Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := Report{Feed: f.settings.Feed, Epoch: f.current.Epoch(), Wanted: f.refresh.WantedEpoch, Segments: f.current.Len(), HeardMS: -1, Refused: f.rejected,
		Calls: f.calls, Spared: f.refresh.Suppressed, Err: f.lastErr, Stale: true}
	if !f.lastAnswer.IsZero() {
		report.HeardMS = time.Since(f.lastAnswer).Milliseconds()
		report.Stale = time.Since(f.lastAnswer) > f.settings.StaleAfter+f.settings.MaxWait
	}
	if f.current != nil {
		report.Cells, report.Retired = f.current.Cells(), f.current.Retired()
		report.List = f.current.Segments()[:min(list, f.current.Len())]
	}
	return report
}

// Explain is the placement of a key: its segment and the servers of the segment's cell.
type Explain struct {
	Key     string
	Epoch   int64
	Segment placement.Segment
	Servers []string
}

// Explain returns the placement of a key. It fails while no map has been received.
func (f *Feed) Explain(key string) (Explain, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.current.Lookup(key)
	if !ok {
		return Explain{}, errors.New("no map has been received yet")
	}
	return Explain{key, f.current.Epoch(), s, f.current.Servers(s.Cell)}, nil
}
