// Package observed is a sink for what sources of leaf servers tell, for the tests of
// sources. It must never keep what a test has already looked past.
package observed

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/internal/core/membership"
)

// patience is how long a test waits: no verdict hangs on a pace.
const patience = 20 * time.Second

// Sink gathers observations. Its zero value is ready.
type Sink struct {
	mu  sync.Mutex
	all []membership.Observation
}

// Observe implements members.Sink.
func (s *Sink) Observe(o membership.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, o)
}

// Until waits for an observation that is as wanted; what came before it is dropped.
func (s *Sink) WaitFor(t testing.TB, what string, want func(o membership.Observation) bool) membership.Observation {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		s.mu.Lock()
		if i := slices.IndexFunc(s.all, want); i >= 0 {
			o := s.all[i]
			s.all = s.all[i+1:]
			s.mu.Unlock()
			return o
		}
		s.mu.Unlock()
	}
	t.Fatalf("never heard: %s", what)
	return membership.Observation{}
}

// Never fails the test if something was observed since the last that was waited for.
func (s *Sink) RequireNone(t testing.TB, what string, bad func(o membership.Observation) bool) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	require.False(t, slices.ContainsFunc(s.all, bad), what)
}

// Named is the claim on a server; nil: there is none.
func ClaimOn(o membership.Observation, name string) *membership.Claim {
	if i := slices.IndexFunc(o.Claims, func(c membership.Claim) bool { return c.Name == name }); i >= 0 {
		return &o.Claims[i]
	}
	return nil
}
