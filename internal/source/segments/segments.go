// Package segments is the feed of the map of segments: JSON over HTTP, in the
// manner of the platform's discovery. It owns the watch and what is believed of it.
// It must never put an update in force that the map refuses, press a feed that
// fails, or be slower to ask for news than what a server named allows.
//
//	GET /placement                        the whole map
//	GET /placement?epoch=41&wait=20000    changes after epoch 41, waiting for them so
//	                                      many milliseconds at most; or the whole map
//
// An answer is a placement.Update; one whose epoch is the one asked for brings no
// news.
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
	Feed       string        `ini:"feed" help:"host:port of the placement feed; none: shards are what the platform's settings say (counts from the next start)"`
	MaxWait    time.Duration `ini:"watch" default:"20s" range:"100ms..60s" help:"how long one call waits for news"`
	StaleAfter time.Duration `ini:"stale-after" default:"30s" range:"1s..24h" help:"without an answer for so long the map counts as stale: told, and used all the same"`
	MaxBytes   inifile.Bytes `ini:"most-bytes" default:"16MiB" range:"64KiB..1GiB" help:"of one answer of the feed; of a longer one nothing counts"`
	MaxParts   int           `ini:"most-parts" default:"256" range:"1..4096" help:"parts that one query may bring once its segments have split"`
}

const (
	responseTimeout = 10 * time.Second // beyond the wait
	minInterval     = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

var log = logs.For("segments")

// Taker gets each newer map.
type MapReceiver interface{ UpdateMap(m *placement.Map) }

// Feed is the watch on one feed.
type Feed struct {
	settings Settings
	receiver MapReceiver
	http     *http.Client
	start    time.Time

	mu         sync.Mutex
	current    *placement.Map
	refresh    placement.Refresh
	needFull   bool
	interrupt  context.CancelFunc // ends the call, or the pause, at hand
	lastAnswer time.Time
	lastErr    string
	rejected   int64
	calls      int64
	fetchTimer *time.Timer
}

// New returns a feed that has not been asked yet.
func New(s Settings, to MapReceiver) *Feed {
	return &Feed{settings: s, receiver: to, start: time.Now(), needFull: true, http: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, IdleConnTimeout: time.Minute}},
		refresh: placement.Refresh{MinInterval: minInterval.Microseconds(), MaxBackoff: maxBackoff.Microseconds()}}
}

func (f *Feed) clock() int64 { return time.Since(f.start).Microseconds() }

// RequestEpoch implements exchange.Segments: a server named a newer epoch.
func (f *Feed) RequestEpoch(epoch int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wantEpoch(epoch)
}

// want is under mu.
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

// Run watches until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	defer f.http.CloseIdleConnections()
	backoff := minInterval
	for ctx.Err() == nil {
		call, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.interrupt = cancel
		url, wait := fmt.Sprintf("http://%s/placement?epoch=%d&wait=%d", f.settings.Feed, f.current.Epoch(), f.settings.MaxWait.Milliseconds()), f.settings.MaxWait
		if f.refresh.Fetching { // a server named a newer epoch: now, not when something changes
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
		pause := time.Duration(float64(backoff) * (0.5 + rand.Float64()/2)) // mixers must not come back in step
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
		err = fmt.Errorf("an answer of more than %v: see [segments] most-bytes", f.settings.MaxBytes)
	}
	if err != nil {
		return nil, err
	}
	return &update, nil
}

// took takes an answer and tells whether it was one that can be used.
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
	if update.Epoch == f.current.Epoch() && f.current != nil { // no news
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

// Held tells whether there is a map.
func (f *Feed) HasMap() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current != nil
}

// Report is what is believed at a moment, and why.
type Report struct {
	Feed                     string
	Epoch, Wanted            int64
	Segments, Cells, Retired int
	HeardMS                  int64 // ago; below 0: never
	Stale                    bool
	Refused, Calls, Spared   int64
	Err                      string
	List                     []placement.Segment `json:",omitempty"`
}

// Report tells what is believed.
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

// Explain tells where a key is, and what is known of its segment.
type Explain struct {
	Key     string
	Epoch   int64
	Segment placement.Segment
	Servers []string
}

// Explain explains a key.
func (f *Feed) Explain(key string) (Explain, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.current.Lookup(key)
	if !ok {
		return Explain{}, errors.New("no map is held yet")
	}
	return Explain{key, f.current.Epoch(), s, f.current.Servers(s.Cell)}, nil
}
