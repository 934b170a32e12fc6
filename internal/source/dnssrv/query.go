package dnssrv

// This file sends one question to one resolver and decides whether a message is a valid
// response to it.

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

// queryResult is the result of one query.
type queryResult struct {
	outcome resolve.Outcome
	records []dns.RR
	extra   []dns.RR
	ttl     time.Duration
	err     error
}

func failure(err error) queryResult { return queryResult{outcome: resolve.Failed, err: err} }

// query sends one question and waits for the response, within the timeout of the settings.
// If the resolver does not support EDNS, the question is sent again without it.
func (s *Source) query(ctx context.Context, resolver string, tcp bool, name string, recordType uint16) queryResult {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	for _, edns := range []bool{true, false} {
		msg := new(dns.Msg).SetQuestion(name, recordType)
		if edns {
			msg.SetEdns0(uint16(s.settings.UDPSize), false)
		}
		resp, err := s.exchange(ctx, resolver, tcp, msg)
		switch {
		case err != nil:
			return failure(err)
		case edns && (resp.Rcode == dns.RcodeFormatError || resp.Rcode == dns.RcodeNotImplemented):
			continue
		}
		return s.interpret(resp, name, recordType)
	}
	return failure(errors.New("unreachable"))
}

// exchange sends a question and waits for the matching response. Over UDP, up to
// maxUnrelated messages that do not match the question are skipped.
func (s *Source) exchange(ctx context.Context, resolver string, tcp bool, msg *dns.Msg) (*dns.Msg, error) {
	network := "udp"
	if tcp {
		network = "tcp"
	}
	nc, err := (&net.Dialer{}).DialContext(ctx, network, resolver) // each question has its own source port
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	if deadline, ok := ctx.Deadline(); ok {
		nc.SetDeadline(deadline)
	}
	c := &dns.Conn{Conn: nc, UDPSize: uint16(s.settings.UDPSize)}
	if err := c.WriteMsg(msg); err != nil {
		return nil, err
	}
	for range maxUnrelated {
		resp, err := c.ReadMsg()
		var nerr net.Error
		switch {
		case err != nil && (tcp || errors.As(err, &nerr) || errors.Is(err, net.ErrClosed) || ctx.Err() != nil):
			return nil, err
		case err != nil: // a malformed datagram may come from any sender
			continue
		case resp.Id != msg.Id || !resp.Response || len(resp.Question) != 1 || resp.Question[0].Qtype != msg.Question[0].Qtype ||
			resp.Question[0].Qclass != dns.ClassINET || !strings.EqualFold(resp.Question[0].Name, msg.Question[0].Name):
			if tcp {
				return nil, errors.New("the response does not match the question")
			}
			continue
		}
		return resp, nil
	}
	return nil, fmt.Errorf("%d datagrams that do not answer the question", maxUnrelated)
}

// interpret returns the result that a response gives for its question.
func (s *Source) interpret(resp *dns.Msg, name string, recordType uint16) queryResult {
	switch {
	case resp.Truncated:
		return queryResult{outcome: resolve.Truncated}
	case resp.Rcode == dns.RcodeRefused, resp.Rcode == dns.RcodeNotImplemented:
		return queryResult{outcome: resolve.Refused, err: errors.New(dns.RcodeToString[resp.Rcode])}
	case resp.Rcode != dns.RcodeSuccess && resp.Rcode != dns.RcodeNameError:
		return failure(errors.New(dns.RcodeToString[resp.Rcode]))
	}
	result := queryResult{outcome: resolve.Answer, ttl: 1 << 62}
	owner := name
	for range 8 { // the owner name and at most 7 CNAME records
		next := ""
		for _, rr := range resp.Answer {
			h := rr.Header()
			if !strings.EqualFold(h.Name, owner) || h.Class != dns.ClassINET {
				continue
			}
			switch c, alias := rr.(*dns.CNAME); {
			case h.Rrtype == recordType:
				result.records = append(result.records, rr)
				result.ttl = min(result.ttl, time.Duration(h.Ttl)*time.Second)
			case alias && next == "":
				next = c.Target
				result.ttl = min(result.ttl, time.Duration(h.Ttl)*time.Second)
			}
		}
		if len(result.records) > 0 || next == "" {
			break
		}
		owner = next
	}
	if len(result.records) > 0 && resp.Rcode == dns.RcodeSuccess {
		result.extra = resp.Extra
		return result
	}
	result = queryResult{outcome: resolve.NoName}
	soa := false
	for _, rr := range resp.Ns {
		if r, ok := rr.(*dns.SOA); ok { // RFC 2308, section 5
			result.ttl, soa = time.Duration(min(r.Hdr.Ttl, r.Minttl))*time.Second, true
		}
	}
	if !soa && !resp.Authoritative && !resp.RecursionAvailable {
		return queryResult{outcome: resolve.Refused, err: errors.New("lame: neither authoritative nor recursive")}
	}
	return result
}
