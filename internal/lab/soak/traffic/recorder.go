package traffic

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"saddleport/internal/lab/soak/judge"
)

// Recorder collects the observations of clients, operators and servers. It is safe for concurrent
// use.
type Recorder struct {
	now      func() time.Duration
	attempts atomic.Uint64

	mu     sync.Mutex
	record judge.Record
	lags   []Lag
}

// Lag is the time from the acknowledgement of a change until a proxy was seen to apply it.
type Lag struct {
	Revision int64         `json:"revision"`
	Proxy    string        `json:"proxy"`
	AckedAt  time.Duration `json:"acked_at"`
	Took     time.Duration `json:"took"`
	Seen     bool          `json:"seen"` // false: not within lagTimeout
}

// NewRecorder returns an empty recorder. now returns the time since the start of the run.
func NewRecorder(now func() time.Duration) *Recorder { return &Recorder{now: now} }

// newAttempt returns a unique attempt id.
func (r *Recorder) newAttempt() string { return fmt.Sprintf("%016x", r.attempts.Add(1)) }

func (r *Recorder) update(f func(record *judge.Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.record)
}

func (r *Recorder) addLag(lag Lag) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lags = append(r.lags, lag)
}

// Record returns the observations recorded so far.
func (r *Recorder) Record() judge.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record
}

// Lags returns the lags recorded so far.
func (r *Recorder) Lags() []Lag {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Lag(nil), r.lags...)
}
