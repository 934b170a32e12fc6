package traffic

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"saddleport/internal/lab/soak/judge"
)

// Recorder collects what clients, operators and servers see. It is safe for concurrent use.
type Recorder struct {
	now      func() time.Duration
	attempts atomic.Uint64

	mu     sync.Mutex
	record judge.Record
	lags   []Lag
}

// Lag is how long an acknowledged change took until a proxy was seen to act on it.
type Lag struct {
	Revision int64         `json:"revision"`
	Proxy    string        `json:"proxy"`
	AckedAt  time.Duration `json:"acked_at"`
	Took     time.Duration `json:"took"`
	Seen     bool          `json:"seen"` // false: not within the time that was waited
}

// NewRecorder returns an empty recorder with a clock.
func NewRecorder(now func() time.Duration) *Recorder { return &Recorder{now: now} }

// newAttempt returns an id that no other attempt has.
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

// Record returns what was collected.
func (r *Recorder) Record() judge.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record
}

// Lags returns how long changes took.
func (r *Recorder) Lags() []Lag {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Lag(nil), r.lags...)
}
