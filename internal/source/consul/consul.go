// Package consul reads leaf servers from Consul's catalogue and health API, and keeps
// the mixer registered there if it is to be. It speaks the published HTTP API: health
// and catalogue endpoints with blocking queries, the rules on their index, consistency
// modes, and the agent's service and check endpoints. It owns the calls, and what an
// answer means as an observation of core/membership. It must never log or show the
// token, press an agent that fails, read an answer without a bound, or take an answer
// that a cluster without a leader gives for news.
//
// Why not the official client: docs/design/membership.md.
package consul

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"saddleport/internal/core/membership"
	"saddleport/internal/inifile"
	"saddleport/internal/logs"
	"saddleport/internal/source/members"
)

// Settings are the operator file's section [consul].
type Settings struct {
	Addrs        []string      `ini:"addresses" help:"host:port of agents or servers, tried in turn"`
	Service      string        `ini:"service" default:"trips" help:"the service whose instances are leaf servers"`
	Datacentres  []string      `ini:"datacentres" help:"asked one by one, the first ranked highest; none: the agent's own"`
	Read         string        `ini:"read" default:"health" oneof:"health catalogue" help:"catalogue knows no checks: a stalled node stays"`
	Wait         time.Duration `ini:"wait" default:"10s" range:"100ms..10m" help:"how long one blocking query waits for news"`
	Consistency  string        `ini:"consistency" default:"stale" oneof:"default stale consistent" help:"who may answer: the leader, any server, a leader that has asked around"`
	MaxStale     time.Duration `ini:"most-stale" default:"5s" range:"100ms..1h" help:"an answer of a server that heard the leader longer ago counts as none"`
	Warning      string        `ini:"warning" default:"use" oneof:"use withhold" help:"servers with a warning"`
	TokenFile    string        `ini:"token-file" help:"a file with the ACL token; read again when a call is refused"`
	TLS          bool          `ini:"tls" default:"no"`
	CAFile       string        `ini:"ca-file" help:"with tls: a file of certificates to trust; none: the system's"`
	MaxBytes     inifile.Bytes `ini:"most-bytes" default:"16MiB" range:"64KiB..1GiB" help:"of one answer; of a longer one nothing counts"`
	RegisterAs   string        `ini:"register-as" help:"a service under which the mixer registers itself; none: it does not"`
	RegisterAddr string        `ini:"register-address" help:"host:port that is registered; none: where it listens"`
	RegisterTTL  time.Duration `ini:"register-ttl" default:"15s" range:"1s..10m" help:"of its check, which it renews three times in this"`
}

// Check looks at the addresses.
func (s *Settings) Check() error {
	for _, a := range s.Addrs {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("addresses: %q is not an address", a)
		}
	}
	if s.RegisterAddr != "" {
		if _, _, err := net.SplitHostPort(s.RegisterAddr); err != nil {
			return fmt.Errorf("register-address: %q is not an address", s.RegisterAddr)
		}
	}
	if s.CAFile != "" && !s.TLS {
		return errors.New("ca-file: is given, and tls is off")
	}
	return nil
}

const (
	answerTime  = 5 * time.Second // beyond the wait
	backoffFrom = 200 * time.Millisecond
	backoffMost = 5 * time.Second
	mostToken   = 4 << 10
	mostWords   = 256 // bytes of an error's text
)

var log = logs.For("consul")

// Client is the source, and what it registers. It may be asked from any goroutine.
type Client struct {
	set  Settings
	to   members.Sink
	http *http.Client

	mu    sync.Mutex
	token string
	next  int // of the addresses
}

// New returns a source that has not asked yet.
func New(set Settings, to members.Sink) (*Client, error) {
	c := &Client{set: set, to: to}
	t := &http.Transport{MaxConnsPerHost: len(set.Datacentres) + 2, MaxIdleConnsPerHost: len(set.Datacentres) + 2, IdleConnTimeout: time.Minute,
		DialContext: (&net.Dialer{Timeout: answerTime}).DialContext, TLSHandshakeTimeout: answerTime, ResponseHeaderTimeout: 0}
	if set.CAFile != "" {
		pem, err := os.ReadFile(set.CAFile)
		if err != nil {
			return nil, fmt.Errorf("[consul] ca-file: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("[consul] ca-file: %s holds no certificate", set.CAFile)
		}
		t.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	c.http = &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // a redirection would carry the token away
	}}
	return c, c.readToken()
}

func (c *Client) readToken() error {
	if c.set.TokenFile == "" {
		return nil
	}
	f, err := os.Open(c.set.TokenFile)
	if err != nil {
		return fmt.Errorf("[consul] token-file: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostToken))
	if err != nil {
		return fmt.Errorf("[consul] token-file: %w", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" || strings.ContainsAny(token, "\r\n\x00") {
		return fmt.Errorf("[consul] token-file: %s holds no token", c.set.TokenFile)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token = token
	return nil
}

// Names implements members.Source: each datacentre is one in the merge.
func (c *Client) Names() []string { return Names(c.set) }

// Names are the sources that these settings make.
func Names(s Settings) []string {
	if len(s.Datacentres) == 0 {
		return []string{"consul"}
	}
	var out []string
	for _, dc := range s.Datacentres {
		out = append(out, "consul."+dc)
	}
	return out
}

// Run implements members.Source.
func (c *Client) Run(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer c.http.CloseIdleConnections()
	var all sync.WaitGroup
	dcs := c.set.Datacentres
	if len(dcs) == 0 {
		dcs = []string{""}
	}
	for i, dc := range dcs {
		all.Go(func() { c.watch(ctx, c.Names()[i], dc) })
	}
	<-stop
	cancel()
	all.Wait()
}

// addr is the address that calls go to now; failed turns to the next one.
func (c *Client) addr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set.Addrs[c.next%len(c.set.Addrs)]
}

func (c *Client) failed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.set.Addrs[c.next%len(c.set.Addrs)] == addr { // else another call has turned already
		c.next++
	}
}

// statusError is an answer that is none.
type statusError struct {
	code int
	text string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.code, e.text) }

// call makes one call and reads its answer into a value, if it has one.
func (c *Client) call(ctx context.Context, method, addr, path string, q url.Values, body io.Reader, within time.Duration, into any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	scheme := "http"
	if c.set.TLS {
		scheme = "https"
	}
	u := url.URL{Scheme: scheme, Host: addr, Path: path, RawQuery: q.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, u.String(), body)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	if c.token != "" {
		r.Header.Set("X-Consul-Token", c.token)
	}
	c.mu.Unlock()
	p, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	if p.StatusCode != 200 {
		text, _ := io.ReadAll(io.LimitReader(p.Body, mostWords))
		if p.StatusCode == 403 { // the token may have been changed
			if err := c.readToken(); err != nil {
				log.Error("consul-token", "err", err)
			}
		}
		return nil, &statusError{p.StatusCode, strings.TrimSpace(string(text))}
	}
	if into == nil {
		return p.Header, nil
	}
	limited := &io.LimitedReader{R: p.Body, N: int64(c.set.MaxBytes) + 1}
	err = json.NewDecoder(limited).Decode(into)
	if limited.N <= 0 {
		err = fmt.Errorf("an answer of more than %v: see [consul] most-bytes", c.set.MaxBytes)
	}
	return p.Header, err
}

// watch asks for one datacentre until ctx ends.
func (c *Client) watch(ctx context.Context, source, dc string) {
	index, doubt := int64(0), false // doubt: the index went back
	backoff := backoffFrom
	for ctx.Err() == nil {
		addr, from, mode := c.addr(), index, c.set.Consistency
		if doubt {
			from, mode = 0, "default"
		}
		claims, head, err := c.ask(ctx, addr, dc, mode, from)
		if ctx.Err() != nil {
			return
		}
		var now int64
		if err == nil {
			now, err = c.fresh(head)
		}
		if err != nil {
			log.Warn("consul-failed", "source", source, "addr", addr, "err", err)
			c.failed(addr)
			c.to.Observe(membership.Observation{Source: source, Failed: true})
			pause := time.Duration(float64(backoff) * (0.5 + rand.Float64()/2)) // mixers must not come back in step
			backoff = min(2*backoff, backoffMost)
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
			continue
		}
		backoff = backoffFrom
		if now < index && !doubt {
			// Either the index has begun anew, or a server that lags has answered. The
			// leader's word, without an index, tells.
			log.Warn("consul-index", "source", source, "addr", addr, "was", index, "is", now)
			doubt = true
			continue
		}
		c.to.Observe(membership.Observation{Source: source, Index: now, Complete: true, Reset: doubt, Claims: claims})
		if now == index && !doubt { // the wait was over, or there was none: do not spin
			select {
			case <-ctx.Done():
			case <-time.After(least(c.set.Wait)):
			}
		}
		index, doubt = now, false
	}
}

// least is the pause after an answer without news: some agents answer at once.
func least(wait time.Duration) time.Duration { return min(50*time.Millisecond, wait/4) }

// fresh looks at what an answer says of itself, and returns its index.
func (c *Client) fresh(h http.Header) (int64, error) {
	index, err := strconv.ParseInt(h.Get("X-Consul-Index"), 10, 64)
	if err != nil || index < 1 { // "sanity check that the index is at least 1"
		return 0, fmt.Errorf("an answer with the index %q", h.Get("X-Consul-Index"))
	}
	if h.Get("X-Consul-KnownLeader") == "false" {
		return 0, errors.New("an answer of a cluster that knows no leader")
	}
	if ms, err := strconv.ParseInt(h.Get("X-Consul-LastContact"), 10, 64); err == nil && time.Duration(ms)*time.Millisecond > c.set.MaxStale {
		return 0, fmt.Errorf("an answer of a server that heard the leader %d ms ago", ms)
	}
	return index, nil
}

// The parts of the API's objects that are read.
type (
	node struct {
		Node, Address, Datacenter string
		Meta                      map[string]string
		TaggedAddresses           map[string]string
	}
	service struct {
		ID, Service, Address string
		Port                 int
		Tags                 []string
		Meta                 map[string]string
		Weights              struct{ Passing, Warning int }
		TaggedAddresses      map[string]struct {
			Address string
			Port    int
		}
	}
	check struct{ Node, CheckID, Status, ServiceID string }
	entry struct {
		Node    node
		Service service
		Checks  []check
	}
	catalogued struct {
		Node, Address, Datacenter              string
		NodeMeta, TaggedAddresses              map[string]string
		ServiceID, ServiceName, ServiceAddress string
		ServicePort                            int
		ServiceTags                            []string
		ServiceMeta                            map[string]string
		ServiceWeights                         struct{ Passing, Warning int }
		ServiceTaggedAddresses                 map[string]struct {
			Address string
			Port    int
		}
	}
)

// ask makes one blocking query.
func (c *Client) ask(ctx context.Context, addr, dc, mode string, index int64) ([]membership.Claim, http.Header, error) {
	q := url.Values{}
	if dc != "" {
		q.Set("dc", dc)
	}
	if mode != "default" {
		q.Set(mode, "")
	}
	within := answerTime
	if index > 0 {
		q.Set("index", strconv.FormatInt(index, 10))
		q.Set("wait", strconv.FormatInt(c.set.Wait.Milliseconds(), 10)+"ms")
		within += c.set.Wait + c.set.Wait/16 // the agent adds up to a sixteenth
	}
	var entries []entry
	if c.set.Read == "catalogue" {
		var all []catalogued
		head, err := c.call(ctx, "GET", addr, "/v1/catalog/service/"+url.PathEscape(c.set.Service), q, nil, within, &all)
		if err != nil {
			return nil, nil, err
		}
		for _, s := range all {
			entries = append(entries, entry{Node: node{s.Node, s.Address, s.Datacenter, s.NodeMeta, s.TaggedAddresses},
				Service: service{s.ServiceID, s.ServiceName, s.ServiceAddress, s.ServicePort, s.ServiceTags, s.ServiceMeta, s.ServiceWeights, s.ServiceTaggedAddresses}})
		}
		return c.claims(entries), head, nil
	}
	head, err := c.call(ctx, "GET", addr, "/v1/health/service/"+url.PathEscape(c.set.Service), q, nil, within, &entries)
	return c.claims(entries), head, err
}

// claims reads what entries say. One that can't be used costs no other.
func (c *Client) claims(entries []entry) []membership.Claim {
	ids := make(map[string]int)
	for _, e := range entries {
		ids[e.Service.ID]++
	}
	var out []membership.Claim
	for _, e := range entries {
		s := e.Service
		word := func(key string) string {
			if v, ok := s.Meta[key]; ok {
				return v
			}
			for _, t := range s.Tags {
				if k, v, ok := strings.Cut(t, "="); ok && k == key {
					return v
				}
			}
			return e.Node.Meta[key]
		}
		m := membership.Claim{Name: word("name"), Kind: word("kind"), Site: word("site")}
		switch {
		case m.Name != "":
		case ids[s.ID] > 1: // an id is one agent's own
			m.Name = e.Node.Node + "/" + s.ID
		default:
			m.Name = s.ID
		}
		if m.Site == "" {
			m.Site = e.Node.Datacenter
		}
		if m.Addresses = addresses(e); m.Name == "" || len(m.Addresses) == 0 {
			log.Warn("consul-entry-skipped", "node", e.Node.Node, "id", s.ID)
			continue
		}
		if n, err := strconv.Atoi(word("cell")); err == nil {
			m.Cell, m.HasCell = n, true
		}
		if ms, err := strconv.ParseInt(word("since_ms"), 10, 64); err == nil && ms > 0 && ms < 1<<50 {
			m.Since = ms * 1000
		}
		m.Health = membership.Unknown
		if c.set.Read == "health" {
			m.Health = membership.Passing
		}
		for _, k := range e.Checks {
			switch {
			case k.CheckID == "_node_maintenance", strings.HasPrefix(k.CheckID, "_service_maintenance:"):
				m.Drain = m.Drain || k.Status == "critical"
			case k.Status == "critical":
				m.Health = membership.Critical
			case k.Status == "warning" && m.Health != membership.Critical:
				m.Health = membership.Warning
			}
		}
		if c.set.Warning == "withhold" && m.Health == membership.Warning {
			m.Health = membership.Critical
		}
		for _, t := range s.Tags {
			m.Drain = m.Drain || t == "draining"
		}
		m.Drain = m.Drain || word("state") == "draining"
		m.Weight = 1
		if w, err := strconv.ParseFloat(word("weight"), 64); err == nil && w > 0 && w <= 1000 {
			m.Weight = w
		} else if m.Health == membership.Warning && s.Weights.Passing > 0 && s.Weights.Warning > 0 {
			m.Weight = float64(s.Weights.Warning) / float64(s.Weights.Passing)
		}
		out = append(out, m)
	}
	return out
}

// addresses are an instance's: its own, those it is tagged with, a Unix socket.
func addresses(e entry) []string {
	s := e.Service
	host := s.Address
	if host == "" {
		host = e.Node.Address
	}
	var out []string
	put := func(host string, port int) {
		if a := net.JoinHostPort(host, strconv.Itoa(port)); host != "" && port > 0 && port < 1<<16 {
			for _, o := range out {
				if o == a {
					return
				}
			}
			out = append(out, a)
		}
	}
	put(host, s.Port)
	for _, tag := range []string{"lan_ipv6", "lan_ipv4", "lan"} {
		if t, ok := s.TaggedAddresses[tag]; ok {
			put(t.Address, t.Port)
		} else if s.Address == "" {
			put(e.Node.TaggedAddresses[tag], s.Port)
		}
	}
	if u := s.Meta["unix"]; strings.HasPrefix(u, "/") {
		out = append(out, "unix:"+u)
	}
	return out
}

// ---- The mixer's own entry.

// Keep registers the mixer and keeps its check up until stop is closed; then it takes
// it out.
func (c *Client) KeepRegistered(name, listen string, stop <-chan struct{}) {
	at := c.set.RegisterAddr
	if at == "" {
		at = listen
	}
	host, port, _ := net.SplitHostPort(at)
	n, _ := strconv.Atoi(port)
	id := c.set.RegisterAs + "-" + name
	ctx := context.Background()
	put := func(path string, body any) error {
		addr := c.addr()
		var text io.Reader
		if body != nil {
			b, err := json.Marshal(body)
			if err != nil {
				return err
			}
			text = strings.NewReader(string(b))
		}
		_, err := c.call(ctx, "PUT", addr, path, nil, text, answerTime, nil)
		var status *statusError
		if err != nil && !errors.As(err, &status) {
			c.failed(addr)
		}
		return err
	}
	registered := false
	renew := func() error {
		if registered {
			err := put("/v1/agent/check/pass/service:"+id, nil)
			var status *statusError
			if err == nil || !errors.As(err, &status) {
				return err
			}
			registered = false // the agent knows it no more: it was started anew, or is another
		}
		err := put("/v1/agent/service/register", map[string]any{"ID": id, "Name": c.set.RegisterAs, "Address": host, "Port": n,
			"Check": map[string]any{"CheckID": "service:" + id, "TTL": c.set.RegisterTTL.String(), "Status": "passing", "DeregisterCriticalServiceAfter": (20 * c.set.RegisterTTL).String()}})
		registered = err == nil
		return err
	}
	log.Info("consul-register", "id", id, "address", at)
	for {
		pause := c.set.RegisterTTL / 3
		if err := renew(); err != nil {
			log.Warn("consul-register-failed", "id", id, "err", err)
			pause = min(pause, time.Second)
		}
		select {
		case <-stop:
			if err := put("/v1/agent/service/deregister/"+id, nil); err != nil {
				log.Warn("consul-register-failed", "id", id, "err", err)
			}
			c.http.CloseIdleConnections()
			return
		case <-time.After(pause):
		}
	}
}
