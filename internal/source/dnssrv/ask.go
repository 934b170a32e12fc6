package dnssrv

// This file asks one resolver one question. It owns what counts as an answer to it.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/miekg/dns"

	"saddleport/internal/core/resolve"
)

// answer is how a question ended.
type answer struct {
	outcome resolve.Outcome
	records []dns.RR
	extra   []dns.RR
	ttl     time.Duration
	err     error
}

func failed(err error) answer { return answer{outcome: resolve.Failed, err: err} }

// ask asks, within the timeout. A resolver that does not know EDNS is asked again
// without it.
func (s *Source) ask(ctx context.Context, resolver string, tcp bool, name string, kind uint16) answer {
	ctx, cancel := context.WithTimeout(ctx, s.set.Timeout)
	defer cancel()
	for _, edns := range []bool{true, false} {
		q := new(dns.Msg).SetQuestion(name, kind)
		if edns {
			q.SetEdns0(uint16(s.set.UDPSize), false)
		}
		m, err := s.exchange(ctx, resolver, tcp, q)
		switch {
		case err != nil:
			return failed(err)
		case edns && (m.Rcode == dns.RcodeFormatError || m.Rcode == dns.RcodeNotImplemented):
			continue
		}
		return s.read(m, name, kind)
	}
	return failed(errors.New("unreachable"))
}

// exchange sends a question and waits for the answer to it: what answers another is
// passed over, up to a bound.
func (s *Source) exchange(ctx context.Context, resolver string, tcp bool, q *dns.Msg) (*dns.Msg, error) {
	network := "udp"
	if tcp {
		network = "tcp"
	}
	nc, err := (&net.Dialer{}).DialContext(ctx, network, resolver) // a port of its own for each question
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	if until, ok := ctx.Deadline(); ok {
		nc.SetDeadline(until)
	}
	c := &dns.Conn{Conn: nc, UDPSize: uint16(s.set.UDPSize)}
	if err := c.WriteMsg(q); err != nil {
		return nil, err
	}
	for range mostJunk {
		m, err := c.ReadMsg()
		var nerr net.Error
		switch {
		case err != nil && (tcp || errors.As(err, &nerr) || errors.Is(err, net.ErrClosed) || ctx.Err() != nil):
			return nil, err
		case err != nil: // a datagram that can't be read may be anybody's
			continue
		case m.Id != q.Id || !m.Response || len(m.Question) != 1 || m.Question[0].Qtype != q.Question[0].Qtype ||
			m.Question[0].Qclass != dns.ClassINET || !strings.EqualFold(m.Question[0].Name, q.Question[0].Name):
			if tcp {
				return nil, errors.New("an answer to another question")
			}
			continue
		}
		return m, nil
	}
	return nil, fmt.Errorf("%d datagrams that answer nothing", mostJunk)
}

// read tells what a message says to its question.
func (s *Source) read(m *dns.Msg, name string, kind uint16) answer {
	switch {
	case m.Truncated:
		return answer{outcome: resolve.Truncated}
	case m.Rcode == dns.RcodeRefused, m.Rcode == dns.RcodeNotImplemented:
		return answer{outcome: resolve.Refused, err: errors.New(dns.RcodeToString[m.Rcode])}
	case m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError:
		return failed(errors.New(dns.RcodeToString[m.Rcode]))
	}
	a := answer{outcome: resolve.Answer, ttl: 1 << 62}
	owner := name
	for range 8 { // a chain of names, as far as is sensible
		next := ""
		for _, rr := range m.Answer {
			h := rr.Header()
			if !strings.EqualFold(h.Name, owner) || h.Class != dns.ClassINET {
				continue
			}
			switch c, alias := rr.(*dns.CNAME); {
			case h.Rrtype == kind:
				a.records = append(a.records, rr)
				a.ttl = min(a.ttl, time.Duration(h.Ttl)*time.Second)
			case alias && next == "":
				next = c.Target
				a.ttl = min(a.ttl, time.Duration(h.Ttl)*time.Second)
			}
		}
		if len(a.records) > 0 || next == "" {
			break
		}
		owner = next
	}
	if len(a.records) > 0 && m.Rcode == dns.RcodeSuccess {
		a.extra = m.Extra
		return a
	}
	a = answer{outcome: resolve.NoName}
	soa := false
	for _, rr := range m.Ns {
		if r, ok := rr.(*dns.SOA); ok { // RFC 2308, section 5
			a.ttl, soa = time.Duration(min(r.Hdr.Ttl, r.Minttl))*time.Second, true
		}
	}
	if !soa && !m.Authoritative && !m.RecursionAvailable {
		return answer{outcome: resolve.Refused, err: errors.New("lame: neither an authority nor a resolver")}
	}
	return a
}
