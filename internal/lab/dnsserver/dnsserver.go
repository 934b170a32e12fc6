// Package dnsserver is a stand-in for a DNS server with one SRV name and its targets, over UDP
// and TCP at one port. It injects faults: no response, truncation, wrong answers, floods of
// datagrams. It never sends an answer that a real resolver could not be made to send.
package dnsserver

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// Target is one target of the SRV name.
type Target struct {
	Name     string // without the trailing dot
	Addrs    []string
	Port     uint16
	Priority uint16
	Weight   uint16
	Text     string // of its TXT record; empty: no TXT record
}

// Faults are the injected faults. Each may change at any time.
type Faults struct {
	Silent        bool
	Truncate      bool          // over UDP
	Rcode         int           // instead of an answer; 0: none
	NXDomain      bool          // NXDOMAIN for the SRV name
	Lame          bool          // the response is neither authoritative nor offers recursion
	JunkDatagrams int           // unrelated datagrams sent before each answer
	WrongQuestion bool          // the answer names another question, over UDP
	NoAdditional  bool          // no additional section
	NoEDNS        bool          // FORMERR for queries with EDNS
	Delay         time.Duration // before each answer
	TTL           uint32
	WrongAddr     string // replaces every address
}

// Server is one DNS server.
type Server struct {
	Addr string
	// OnSent, if set, is called after an answer with the target's TXT record has been written.
	OnSent func(t Target, at time.Time)

	name     string
	udp, tcp *dns.Server

	mu        sync.Mutex
	faults    Faults
	targets   map[string]Target
	order     []string
	questions map[string]int // questions by type; those over TCP also count as "tcp"
}

// Listen starts a server for an SRV name.
func Listen(name string, ttl uint32, targets []Target) (*Server, error) {
	var pc net.PacketConn
	var ln net.Listener
	var err error
	for range 20 { // the port must be free over both UDP and TCP
		if ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		if pc, err = net.ListenPacket("udp", ln.Addr().String()); err == nil {
			break
		}
		ln.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("no port is free over both UDP and TCP: %w", err)
	}
	s := &Server{Addr: ln.Addr().String(), name: dns.Fqdn(strings.ToLower(name)), targets: make(map[string]Target), questions: make(map[string]int)}
	s.faults.TTL = ttl
	for _, t := range targets {
		s.put(t)
	}
	s.udp = &dns.Server{PacketConn: pc, Handler: dns.HandlerFunc(func(w dns.ResponseWriter, q *dns.Msg) { s.serve(w, q, false) })}
	s.tcp = &dns.Server{Listener: ln, Handler: dns.HandlerFunc(func(w dns.ResponseWriter, q *dns.Msg) { s.serve(w, q, true) })}
	go s.udp.ActivateAndServe()
	go s.tcp.ActivateAndServe()
	return s, nil
}

// Close stops the server.
func (s *Server) Close() {
	s.udp.Shutdown()
	s.tcp.Shutdown()
}

func (s *Server) put(t Target) {
	key := strings.ToLower(t.Name)
	if _, known := s.targets[key]; !known {
		s.order = append(s.order, key)
	}
	s.targets[key] = t
}

// Put changes or adds a target.
func (s *Server) Put(t Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(t)
}

// Remove removes a target.
func (s *Server) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := strings.ToLower(name)
	delete(s.targets, key)
	s.order = slices.DeleteFunc(s.order, func(o string) bool { return o == key })
}

// Set changes the faults.
func (s *Server) Set(f func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.faults)
}

// QuestionCount returns the number of questions of a type, such as "SRV"; the type "tcp"
// counts all questions over TCP.
func (s *Server) QuestionCount(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.questions[kind]
}

func (s *Server) serve(w dns.ResponseWriter, q *dns.Msg, tcp bool) {
	if len(q.Question) != 1 {
		return
	}
	s.mu.Lock()
	f := s.faults
	s.questions[dns.TypeToString[q.Question[0].Qtype]]++
	if tcp {
		s.questions["tcp"]++
	}
	m, sent := s.answer(q, f)
	s.mu.Unlock()
	if f.Silent {
		return
	}
	time.Sleep(f.Delay)
	if !tcp {
		for i := range f.JunkDatagrams { // answers with another id, answers to another question, malformed datagrams
			junk := m.Copy()
			switch i % 3 {
			case 0:
				junk.Id++
			case 1:
				junk.Question[0].Name = "other.example.org."
			case 2:
				w.Write([]byte("noise"))
				continue
			}
			w.WriteMsg(junk)
		}
		if f.WrongQuestion {
			m.Question[0].Name = "other.example.org."
		}
		if f.Truncate {
			m.Answer, m.Extra, m.Truncated = nil, nil, true
			sent = nil
		} else if m.Len() > limit(q) {
			m.Truncate(limit(q))
			sent = nil
		}
	}
	if w.WriteMsg(m) == nil && s.OnSent != nil {
		at := time.Now()
		for _, t := range sent {
			s.OnSent(t, at)
		}
	}
}

// limit returns the largest size of a datagram that the query allows.
func limit(q *dns.Msg) int {
	if o := q.IsEdns0(); o != nil {
		return int(o.UDPSize())
	}
	return dns.MinMsgSize
}

// answer builds the response and returns the targets whose TXT records it contains. The caller
// holds s.mu.
func (s *Server) answer(q *dns.Msg, f Faults) (m *dns.Msg, sent []Target) {
	m = new(dns.Msg).SetReply(q)
	m.Authoritative, m.RecursionAvailable = !f.Lame, !f.Lame
	question := q.Question[0]
	name := strings.ToLower(question.Name)
	header := func(owner string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: owner, Rrtype: kind, Class: dns.ClassINET, Ttl: f.TTL}
	}
	switch {
	case f.NoEDNS && q.IsEdns0() != nil:
		m.Rcode = dns.RcodeFormatError
		return m, nil
	case f.Rcode != 0:
		m.Rcode = f.Rcode
		return m, nil
	case f.Lame:
		return m, nil
	}
	soa := &dns.SOA{Hdr: header("example.org.", dns.TypeSOA), Ns: "ns.example.org.", Mbox: "ops.example.org.", Minttl: f.TTL}
	if name == s.name {
		if f.NXDomain {
			m.Rcode, m.Ns = dns.RcodeNameError, []dns.RR{soa}
			return m, nil
		}
		for _, key := range s.order {
			t := s.targets[key]
			if question.Qtype == dns.TypeSRV {
				m.Answer = append(m.Answer, &dns.SRV{Hdr: header(question.Name, dns.TypeSRV), Target: dns.Fqdn(t.Name), Port: t.Port, Priority: t.Priority, Weight: t.Weight})
			}
			if !f.NoAdditional {
				m.Extra = append(m.Extra, s.addrs(t, 0, f, header)...)
			}
		}
	} else if t, known := s.targets[strings.TrimSuffix(name, ".")]; known {
		switch question.Qtype {
		case dns.TypeA, dns.TypeAAAA:
			m.Answer = s.addrs(t, question.Qtype, f, header)
		case dns.TypeTXT:
			if t.Text != "" {
				m.Answer = append(m.Answer, &dns.TXT{Hdr: header(question.Name, dns.TypeTXT), Txt: []string{t.Text}})
				sent = append(sent, t)
			}
		}
	} else {
		m.Rcode = dns.RcodeNameError
	}
	if len(m.Answer) == 0 {
		m.Ns = []dns.RR{soa}
	}
	return m, sent
}

// addrs returns the address records of a target, of one type or, for 0, of both.
func (s *Server) addrs(t Target, kind uint16, f Faults, header func(string, uint16) dns.RR_Header) (out []dns.RR) {
	for _, a := range t.Addrs {
		if f.WrongAddr != "" {
			a = f.WrongAddr
		}
		ip := net.ParseIP(a)
		four := ip.To4() != nil
		switch {
		case four && kind != dns.TypeAAAA:
			out = append(out, &dns.A{Hdr: header(dns.Fqdn(t.Name), dns.TypeA), A: ip})
		case !four && kind != dns.TypeA:
			out = append(out, &dns.AAAA{Hdr: header(dns.Fqdn(t.Name), dns.TypeAAAA), AAAA: ip})
		}
	}
	return out
}

// TXTRecord returns the text of the TXT record of a leaf server's target.
func TXTRecord(name, site, kind string, cell int, draining bool, since int64) string {
	text := "cell=" + strconv.Itoa(cell) + " name=" + name + " site=" + site + " kind=" + kind
	if since > 0 {
		text += " since_ms=" + strconv.FormatInt(since, 10)
	}
	if draining {
		text += " state=draining"
	}
	return text
}
