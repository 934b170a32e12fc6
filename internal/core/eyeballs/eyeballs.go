// Package eyeballs decides in which order the addresses of one server are tried and when
// the next attempt starts: Happy Eyeballs (RFC 8305), with Unix sockets as the most
// preferred family. It owns that order and the history of each address. It never starts
// two attempts for one address at once, never names two winners, and never loses a
// started attempt: each ends with Connected or Failed.
package eyeballs

import (
	"slices"
	"strings"
)

// Micros is a clock reading or a duration in microseconds.
type Micros = int64

// UnixPrefix is the prefix of a Unix socket's address.
const UnixPrefix = "unix:"

// Family is the family of an address.
type Family int

// The families, the most preferred first. The system resolves host names, so their
// family is not known in advance.
const (
	Local Family = iota
	IPv6
	IPv4
	Hostname
)

// FamilyOf returns the family of an address: unix:PATH, [IPv6]:PORT, IPv4:PORT or
// NAME:PORT.
func FamilyOf(addr string) Family {
	if strings.HasPrefix(addr, UnixPrefix) {
		return Local
	}
	if strings.HasPrefix(addr, "[") {
		return IPv6
	}
	host, _, _ := strings.Cut(addr, ":")
	if host == "" || strings.Trim(host, "0123456789.") != "" {
		return Hostname
	}
	return IPv4
}

// Backoff of a failing address, and the size of the history.
const (
	minBackoff   = Micros(1_000_000)
	maxBackoff   = Micros(60_000_000)
	maxAddresses = 32 // addresses that are remembered per server
)

// addressState is the history of one address.
type addressState struct {
	addr         string
	failures     int    // consecutive failures
	backoffUntil Micros // until then the address is tried last
	lastSuccess  Micros // 0: never
}

// History is the history of a server's addresses. The zero value is empty. It keeps the
// maxAddresses most recently added ones.
type History struct{ addresses []addressState }

func (m *History) findOrAdd(addr string) *addressState {
	i := slices.IndexFunc(m.addresses, func(s addressState) bool { return s.addr == addr })
	if i >= 0 {
		return &m.addresses[i]
	}
	if len(m.addresses) >= maxAddresses {
		m.addresses = slices.Delete(m.addresses, 0, 1)
	}
	m.addresses = append(m.addresses, addressState{addr: addr})
	return &m.addresses[len(m.addresses)-1]
}

// RecordSuccess records that an address works.
func (m *History) RecordSuccess(addr string, now Micros) {
	s := m.findOrAdd(addr)
	s.failures, s.backoffUntil, s.lastSuccess = 0, 0, now
}

// RecordFailure records that an address could not be connected, did not answer or became
// unresponsive. It is tried last for a time that doubles with each consecutive failure.
func (m *History) RecordFailure(addr string, now Micros) {
	s := m.findOrAdd(addr)
	s.backoffUntil = now + min(minBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
}

// InBackoff reports whether an address is currently tried last.
func (m *History) InBackoff(addr string, now Micros) bool {
	i := slices.IndexFunc(m.addresses, func(s addressState) bool { return s.addr == addr })
	return i >= 0 && now < m.addresses[i].backoffUntil
}

// Order returns the addresses in the order in which to try them: the one that worked
// last, then the families in turn, the most preferred first and one address of each at a
// time (RFC 8305, section 4), and at the end those in backoff, the shortest remaining
// backoff first.
func (m *History) Order(addrs []string, now Micros) []string {
	byFamily := make(map[Family][]string)
	var backingOff []string
	preferred, lastSuccess := "", Micros(0)
	for _, a := range addrs {
		if m.InBackoff(a, now) {
			backingOff = append(backingOff, a)
			continue
		}
		if s := m.find(a); s != nil && s.lastSuccess > lastSuccess {
			preferred, lastSuccess = a, s.lastSuccess
		}
		byFamily[FamilyOf(a)] = append(byFamily[FamilyOf(a)], a)
	}
	out := make([]string, 0, len(addrs))
	if preferred != "" {
		out = append(out, preferred)
	}
	for more := true; more; {
		more = false
		for f := Local; f <= Hostname; f++ {
			if len(byFamily[f]) > 0 {
				if byFamily[f][0] != preferred {
					out = append(out, byFamily[f][0])
				}
				byFamily[f], more = byFamily[f][1:], true
			}
		}
	}
	slices.SortStableFunc(backingOff, func(a, b string) int { return int(max(min(m.find(a).backoffUntil-m.find(b).backoffUntil, 1), -1)) })
	return append(out, backingOff...)
}

func (m *History) find(addr string) *addressState {
	if i := slices.IndexFunc(m.addresses, func(s addressState) bool { return s.addr == addr }); i >= 0 {
		return &m.addresses[i]
	}
	return nil
}

// Race is one connection attempt to a server over several of its addresses.
type Race struct {
	stagger  Micros
	pending  []string
	inFlight map[string]bool // attempts that are started and not over
	dueAt    Micros          // when the next attempt starts at the latest; 0: at once, or none is left
	Winner   string          // the first address that connected
	Finished bool            // there is a winner, or no attempt is left
}

// New returns a race over addresses in the given order. RFC 8305 proposes a stagger of
// 250 ms, and at least 10 ms, which New enforces.
func New(order []string, stagger Micros) *Race {
	return &Race{pending: slices.Clone(order), stagger: max(stagger, 10_000), inFlight: make(map[string]bool)}
}

// Step returns the address to try next, if an attempt is due: at the start, when Due is
// reached, and after Failed.
func (r *Race) Step(now Micros) (addr string, ok bool) {
	if r.Finished || len(r.pending) == 0 || r.dueAt > now {
		return "", false
	}
	addr, r.pending = r.pending[0], r.pending[1:]
	r.inFlight[addr] = true
	if r.dueAt = 0; len(r.pending) > 0 {
		r.dueAt = now + r.stagger
	}
	return addr, true
}

// Due returns when Step should be called next if no attempt ends before; 0: not needed.
func (r *Race) Due() Micros {
	if r.Finished || len(r.pending) == 0 {
		return 0
	}
	return r.dueAt
}

// Failed ends an attempt without a connection; the next one may start at once.
func (r *Race) Failed(addr string) {
	if !r.inFlight[addr] {
		return
	}
	delete(r.inFlight, addr)
	r.dueAt = 0
	if len(r.pending) == 0 && len(r.inFlight) == 0 {
		r.Finished = true
	}
}

// Connected ends an attempt that connected and reports whether it won. The caller must
// close a connection that did not; nothing was sent on it.
func (r *Race) Connected(addr string) (won bool) {
	if !r.inFlight[addr] {
		return false
	}
	delete(r.inFlight, addr)
	if r.Finished {
		return false
	}
	r.Finished, r.Winner = true, addr
	return true
}

// InFlight returns the number of attempts that are started and not over.
func (r *Race) InFlight() int { return len(r.inFlight) }
