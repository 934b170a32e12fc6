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
	askTime = 10 * time.Second // beyond the wait
	least   = 50 * time.Millisecond
	most    = 2 * time.Second
)

var log = logs.For("segments")

// Taker gets each newer map.
type MapReceiver interface{ UpdateMap(m *placement.Map) }

// Feed is the watch on one feed.
type Feed struct {
	set   Settings
	to    MapReceiver
	http  *http.Client
	start time.Time

	mu      sync.Mutex
	now     *placement.Map
	refresh placement.Refresh
	whole   bool
	kick    context.CancelFunc // ends the call, or the pause, at hand
	heard   time.Time
	lastErr string
	refused int64
	calls   int64
	later   *time.Timer
}

// New returns a feed that has not been asked yet.
func New(s Settings, to MapReceiver) *Feed {
	return &Feed{set: s, to: to, start: time.Now(), whole: true, http: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, IdleConnTimeout: time.Minute}},
		refresh: placement.Refresh{MinInterval: least.Microseconds(), MaxBackoff: most.Microseconds()}}
}

func (f *Feed) clock() int64 { return time.Since(f.start).Microseconds() }

// RequestEpoch implements exchange.Segments: a server named a newer epoch.
func (f *Feed) RequestEpoch(epoch int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.want(epoch)
}

// want is under mu.
func (f *Feed) want(epoch int64) {
	now := f.clock()
	switch at := f.refresh.ObserveEpoch(now, epoch, f.now.Epoch()); {
	case at == 0:
		if f.kick != nil {
			f.kick()
		}
	case at > 0 && f.later == nil:
		f.later = time.AfterFunc(time.Duration(at-now)*time.Microsecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.later = nil
			f.want(f.refresh.WantedEpoch)
		})
	}
}

// Run watches until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	defer f.http.CloseIdleConnections()
	backoff := least
	for ctx.Err() == nil {
		call, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.kick = cancel
		url, wait := fmt.Sprintf("http://%s/placement?epoch=%d&wait=%d", f.set.Feed, f.now.Epoch(), f.set.MaxWait.Milliseconds()), f.set.MaxWait
		if f.refresh.Fetching { // a server named a newer epoch: now, not when something changes
			url, wait = fmt.Sprintf("http://%s/placement?epoch=%d&wait=0", f.set.Feed, f.now.Epoch()), 0
		}
		if f.whole {
			url, wait = "http://"+f.set.Feed+"/placement", 0
		}
		f.calls++
		f.mu.Unlock()
		u, err := f.get(call, url, wait+askTime)
		kicked := call.Err() != nil && ctx.Err() == nil
		if kicked {
			cancel()
			continue
		}
		if f.took(u, err) {
			backoff = least
			cancel()
			continue
		}
		pause := time.Duration(float64(backoff) * (0.5 + rand.Float64()/2)) // mixers must not come back in step
		backoff = min(2*backoff, most)
		select {
		case <-ctx.Done():
		case <-call.Done():
		case <-time.After(pause):
		}
		cancel()
	}
}

func (f *Feed) get(ctx context.Context, url string, within time.Duration) (*placement.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, "GET", url, nil)
	if err != nil {
		return nil, err
	}
	p, err := f.http.Do(q)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	if p.StatusCode != 200 {
		return nil, fmt.Errorf("status %d", p.StatusCode)
	}
	var u placement.Update
	body := &io.LimitedReader{R: p.Body, N: int64(f.set.MaxBytes) + 1}
	err = json.NewDecoder(body).Decode(&u)
	if body.N <= 0 {
		err = fmt.Errorf("an answer of more than %v: see [segments] most-bytes", f.set.MaxBytes)
	}
	if err != nil {
		return nil, err
	}
	return &u, nil
}

// took takes an answer and tells whether it was one that can be used.
func (f *Feed) took(u *placement.Update, err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.whole = false
	defer func() { f.refresh.FetchDone(f.now.Epoch()) }()
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			f.lastErr = err.Error()
			log.Warn("feed-failed", "feed", f.set.Feed, "err", err)
		}
		f.whole = f.now == nil
		return false
	}
	f.heard = time.Now()
	if u.Epoch == f.now.Epoch() && f.now != nil { // no news
		return true
	}
	m, err := f.now.Apply(u)
	var gap *placement.GapError
	var old *placement.StaleError
	switch {
	case errors.As(err, &gap):
		f.whole = true
		return true
	case errors.As(err, &old):
		f.lastErr = err.Error()
		log.Warn("feed-old", "feed", f.set.Feed, "err", err)
		return false
	case err != nil:
		f.refused++
		f.lastErr = err.Error()
		f.whole = true
		log.Error("map-refused", "feed", f.set.Feed, "epoch", u.Epoch, "kept", f.now.Epoch(), "err", err)
		return false
	}
	f.now, f.lastErr = m, ""
	log.Info("map", "epoch", m.Epoch(), "segments", m.Len(), "changed", len(u.Segments), "whole", u.Base == 0)
	f.to.UpdateMap(m)
	return true
}

// Held tells whether there is a map.
func (f *Feed) HasMap() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now != nil
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
	r := Report{Feed: f.set.Feed, Epoch: f.now.Epoch(), Wanted: f.refresh.WantedEpoch, Segments: f.now.Len(), HeardMS: -1, Refused: f.refused,
		Calls: f.calls, Spared: f.refresh.Suppressed, Err: f.lastErr, Stale: true}
	if !f.heard.IsZero() {
		r.HeardMS = time.Since(f.heard).Milliseconds()
		r.Stale = time.Since(f.heard) > f.set.StaleAfter+f.set.MaxWait
	}
	if f.now != nil {
		r.Cells, r.Retired = f.now.Cells(), f.now.Retired()
		r.List = f.now.Segments()[:min(list, f.now.Len())]
	}
	return r
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
	s, ok := f.now.Lookup(key)
	if !ok {
		return Explain{}, errors.New("no map is held yet")
	}
	return Explain{key, f.now.Epoch(), s, f.now.Servers(s.Cell)}, nil
}
