// Package eyeballs decides in which order the addresses of one server are tried, and
// when the next one is begun: Happy Eyeballs, RFC 8305, with Unix sockets as the
// nearest family. It owns that order and what is remembered of each address. It must
// never begin two tries of one address at once, name two winners, or forget a try
// that has been begun: each ends by Ready, Failed or Drop.
package eyeballs

import (
	"slices"
	"strings"
)

// Micros is a clock reading or a span in microseconds.
type Micros = int64

// Unix is what the address of a Unix socket begins with.
const UnixPrefix = "unix:"

// Family of an address.
type Family int

// The families, in the order in which they are preferred. Names are resolved by the
// system, so their family is not known beforehand.
const (
	Local Family = iota
	IPv6
	IPv4
	Hostname
)

// FamilyOf tells the family of an address: unix:PATH, [IPv6]:PORT, IPv4:PORT or
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

// What an address that does not work costs it.
const (
	minBackoff   = Micros(1_000_000)
	maxBackoff   = Micros(60_000_000)
	maxAddresses = 32 // addresses that are remembered of one server
)

// standing is what is remembered of an address.
type addressState struct {
	addr         string
	failures     int    // times in a row that it did not work
	backoffUntil Micros // it goes last until then
	lastSuccess  Micros // when it last worked; 0: never
}

// Memory is what has been learnt of a server's addresses. Its zero value knows
// nothing. It keeps a bounded number, those of late.
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

// Good notes that an address works.
func (m *History) RecordSuccess(addr string, now Micros) {
	s := m.findOrAdd(addr)
	s.failures, s.backoffUntil, s.lastSuccess = 0, 0, now
}

// Bad notes that an address did not come up, did not answer, or fell silent: it goes
// last for a while, which doubles each time.
func (m *History) RecordFailure(addr string, now Micros) {
	s := m.findOrAdd(addr)
	s.backoffUntil = now + min(minBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
}

// Resting tells whether an address goes last now.
func (m *History) InBackoff(addr string, now Micros) bool {
	i := slices.IndexFunc(m.addresses, func(s addressState) bool { return s.addr == addr })
	return i >= 0 && now < m.addresses[i].backoffUntil
}

// Order sorts addresses as they are to be tried: families in turn, the preferred one
// first and one address of each at a time (RFC 8305, section 4); before all the one
// that worked last, after all those that rest, the one whose rest ends first ahead.
func (m *History) Order(addrs []string, now Micros) []string {
	by := make(map[Family][]string)
	var resting []string
	last, lastGood := "", Micros(0)
	for _, a := range addrs {
		if m.InBackoff(a, now) {
			resting = append(resting, a)
			continue
		}
		if s := m.find(a); s != nil && s.lastSuccess > lastGood {
			last, lastGood = a, s.lastSuccess
		}
		by[FamilyOf(a)] = append(by[FamilyOf(a)], a)
	}
	out := make([]string, 0, len(addrs))
	if last != "" {
		out = append(out, last)
	}
	for left := true; left; {
		left = false
		for f := Local; f <= Hostname; f++ {
			if len(by[f]) > 0 {
				if by[f][0] != last {
					out = append(out, by[f][0])
				}
				by[f], left = by[f][1:], true
			}
		}
	}
	slices.SortStableFunc(resting, func(a, b string) int { return int(max(min(m.find(a).backoffUntil-m.find(b).backoffUntil, 1), -1)) })
	return append(out, resting...)
}

func (m *History) find(addr string) *addressState {
	if i := slices.IndexFunc(m.addresses, func(s addressState) bool { return s.addr == addr }); i >= 0 {
		return &m.addresses[i]
	}
	return nil
}

// Race is one try to reach a server by its addresses.
type Race struct {
	stagger  Micros
	pending  []string
	inFlight map[string]bool // begun, and not over
	dueAt    Micros          // when the next is begun at the latest; 0: none is left
	Winner   string          // the first that was ready
	Finished bool            // there is a winner, or none is left
}

// New returns a race over addresses in that order. RFC 8305 proposes a stagger of 250
// ms, and 10 ms at least.
func New(order []string, stagger Micros) *Race {
	return &Race{pending: slices.Clone(order), stagger: max(stagger, 10_000), inFlight: make(map[string]bool)}
}

// Step is what is to be begun at a time: at the start, and when Due is reached.
func (r *Race) Step(now Micros) (begin string, ok bool) {
	if r.Finished || len(r.pending) == 0 || r.dueAt > now {
		return "", false
	}
	begin, r.pending = r.pending[0], r.pending[1:]
	r.inFlight[begin] = true
	if r.dueAt = 0; len(r.pending) > 0 {
		r.dueAt = now + r.stagger
	}
	return begin, true
}

// Due is when Step is to be called next though nothing comes in; 0: never.
func (r *Race) Due() Micros {
	if r.Finished || len(r.pending) == 0 {
		return 0
	}
	return r.dueAt
}

// Failed ends a try that brought nothing; the next may begin at once.
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

// Ready ends a try that came up, and tells whether it is the winner. One that is not
// is to be closed: nothing was ever sent on it.
func (r *Race) Connected(addr string) (wins bool) {
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

// Out counts the tries that are begun and not over.
func (r *Race) InFlight() int { return len(r.inFlight) }
