// Package observed provides a sink for the observations of sources of leaf servers, for the
// tests of sources. It drops observations that a test has already passed.
package observed

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/internal/core/membership"
)

// waitTimeout limits how long a test waits. It is long, so that no result depends on the speed
// of the machine.
const waitTimeout = 20 * time.Second

// Sink collects observations. Its zero value is ready to use.
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

// WaitFor waits for an observation that want accepts and returns it; it drops all earlier ones.
// It fails the test after 20 s.
func (s *Sink) WaitFor(t testing.TB, what string, want func(o membership.Observation) bool) membership.Observation {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		s.mu.Lock()
		if i := slices.IndexFunc(s.all, want); i >= 0 {
			o := s.all[i]
			s.all = s.all[i+1:]
			s.mu.Unlock()
			return o
		}
		s.mu.Unlock()
	}
	t.Fatalf("no such observation: %s", what)
	return membership.Observation{}
}

// RequireNone fails the test if an observation after the last one that WaitFor returned matches
// bad.
func (s *Sink) RequireNone(t testing.TB, what string, bad func(o membership.Observation) bool) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	require.False(t, slices.ContainsFunc(s.all, bad), what)
}

// ClaimOn returns the claim on a server, or nil if there is none.
func ClaimOn(o membership.Observation, name string) *membership.Claim {
	if i := slices.IndexFunc(o.Claims, func(c membership.Claim) bool { return c.Name == name }); i >= 0 {
		return &o.Claims[i]
	}
	return nil
}
