package httpserver

import (
	"fmt"
	"time"
)

// MaxShards is the number of services that can have a number at the same time.
const MaxShards = 4096

// queryEndMargin is the time after the timeout of a route by which its queries have ended.
const queryEndMargin = 2 * time.Second

// ErrNoShardNumber is returned for a further service while MaxShards services have a number.
var ErrNoShardNumber = fmt.Errorf("%d services are known, the maximum", MaxShards)

// ShardNumbers assigns a shard number to each service. Release makes the numbers of services that are not
// used any more available again. The zero value has assigned none.
type ShardNumbers struct {
	byService map[string]*shardNumber
	assigned  int   // numbers below this one have been assigned
	released  []int // numbers that may be assigned again, the one released first is first
}

// shardNumber is the number of one service.
type shardNumber struct {
	number      int
	unusedSince time.Time     // zero: in use when Release was called last, or asked for since
	maxTimeout  time.Duration // longest timeout of a route that sent requests to the service
}

// Of returns the number of a service and assigns one if the service has none.
func (s *ShardNumbers) Of(service string) (int, error) {
	if s.byService == nil {
		s.byService = make(map[string]*shardNumber)
	}
	n := s.byService[service]
	switch {
	case n != nil:
		n.unusedSince = time.Time{}
		return n.number, nil
	case s.assigned < MaxShards:
		n = &shardNumber{number: s.assigned}
		s.assigned++
	case len(s.released) > 0:
		n = &shardNumber{number: s.released[0]}
		s.released = s.released[1:]
	default:
		return 0, ErrNoShardNumber
	}
	s.byService[service] = n
	return n.number, nil
}

// forRoute returns the number of a service to which a route with a timeout sends requests.
func (s *ShardNumbers) forRoute(service string, timeout time.Duration) (int, error) {
	number, err := s.Of(service)
	if err == nil {
		n := s.byService[service]
		n.maxTimeout = max(n.maxTimeout, timeout)
	}
	return number, err
}

// Len returns the number of services that have a number.
func (s *ShardNumbers) Len() int { return len(s.byService) }

// Release takes the numbers of the services that have not been used for reuseDelay, and for so long that the
// queries of all routes to them have ended. used has the services that a configuration in force or a known
// server names.
func (s *ShardNumbers) Release(now time.Time, reuseDelay time.Duration, used map[string]bool) {
	for service, n := range s.byService {
		switch {
		case used[service]:
			n.unusedSince = time.Time{}
		case n.unusedSince.IsZero():
			n.unusedSince = now
		case now.Sub(n.unusedSince) >= max(n.maxTimeout+queryEndMargin, reuseDelay):
			delete(s.byService, service)
			s.released = append(s.released, n.number)
		}
	}
}
