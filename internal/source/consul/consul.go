// Package consul discovers leaf servers through Consul's catalogue and health API and, if
// configured, keeps the proxy registered as a service. It uses the published HTTP API: the
// health and catalogue endpoints with blocking queries, the rules for their index, the
// consistency modes, and the agent's service and check endpoints. The package owns the calls
// and translates responses into observations for core/membership. It must never log or
// print the token, call a failing agent without a backoff, read a response without a size
// limit, or accept a response of a cluster without a leader as an update.
//
// docs/design/membership.md explains why the official client is not used.
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
	Addrs        []string      `ini:"addresses" help:"host:port of agents or servers; after a failure the next is used"`
	Service      string        `ini:"service" default:"trips" help:"the service whose instances are leaf servers"`
	Datacentres  []string      `ini:"datacentres" help:"datacentres to query, highest rank first; none: the agent's own"`
	Read         string        `ini:"read" default:"health" oneof:"health catalogue" help:"the catalogue has no health checks: a stalled node stays listed"`
	Wait         time.Duration `ini:"wait" default:"10s" range:"100ms..10m" help:"how long one blocking query waits for changes"`
	Consistency  string        `ini:"consistency" default:"stale" oneof:"default stale consistent" help:"who may answer: the leader, any server, a leader that has confirmed its role with its peers"`
	MaxStale     time.Duration `ini:"most-stale" default:"5s" range:"100ms..1h" help:"an answer of a server whose last contact with the leader is longer ago is rejected"`
	Warning      string        `ini:"warning" default:"use" oneof:"use withhold" help:"whether servers with a check in the warning state are used"`
	TokenFile    string        `ini:"token-file" help:"file with the ACL token; read again when a call is rejected"`
	TLS          bool          `ini:"tls" default:"no"`
	CAFile       string        `ini:"ca-file" help:"with tls: file of trusted certificates; none: the system's"`
	MaxBytes     inifile.Bytes `ini:"most-bytes" default:"16MiB" range:"64KiB..1GiB" help:"limit of one answer; a longer one is rejected"`
	RegisterAs   string        `ini:"register-as" help:"service name under which the proxy registers itself; none: it does not register"`
	RegisterAddr string        `ini:"register-address" help:"host:port to register; none: the listen address"`
	RegisterTTL  time.Duration `ini:"register-ttl" default:"15s" range:"1s..10m" help:"TTL of the registered check, which is renewed three times in this period"`
}

// Check validates the addresses and that a CA file is only given with TLS.
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
		return errors.New("ca-file: requires tls = yes")
	}
	return nil
}

const (
	responseTimeout = 5 * time.Second // on top of the wait of a blocking query
	minBackoff      = 200 * time.Millisecond
	maxBackoff      = 5 * time.Second
	maxTokenBytes   = 4 << 10
	maxErrorText    = 256 // bytes of an error response that are read
)

var log = logs.For("consul")

// Client is the Consul source; it also registers the proxy. It is safe for concurrent use.
type Client struct {
	settings Settings
	sink     members.Sink
	http     *http.Client

	mu       sync.Mutex
	token    string
	nextAddr int // index into Settings.Addrs, modulo their number
}

// New returns a source that reports to a sink. It makes no call before Run or KeepRegistered.
// It fails if the CA file or the token file cannot be read.
func New(settings Settings, sink members.Sink) (*Client, error) {
	c := &Client{settings: settings, sink: sink}
	transport := &http.Transport{MaxConnsPerHost: len(settings.Datacentres) + 2, MaxIdleConnsPerHost: len(settings.Datacentres) + 2, IdleConnTimeout: time.Minute,
		DialContext: (&net.Dialer{Timeout: responseTimeout}).DialContext, TLSHandshakeTimeout: responseTimeout, ResponseHeaderTimeout: 0}
	if settings.CAFile != "" {
		pem, err := os.ReadFile(settings.CAFile)
		if err != nil {
			return nil, fmt.Errorf("[consul] ca-file: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("[consul] ca-file: %s contains no certificate", settings.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	c.http = &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // following a redirect could send the token to another server
	}}
	return c, c.readToken()
}

func (c *Client) readToken() error {
	if c.settings.TokenFile == "" {
		return nil
	}
	f, err := os.Open(c.settings.TokenFile)
	if err != nil {
		return fmt.Errorf("[consul] token-file: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxTokenBytes))
	if err != nil {
		return fmt.Errorf("[consul] token-file: %w", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" || strings.ContainsAny(token, "\r\n\x00") {
		return fmt.Errorf("[consul] token-file: %s contains no valid token", c.settings.TokenFile)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token = token
	return nil
}

// Names implements members.Source: each datacentre is a separate source of the merge.
func (c *Client) Names() []string { return Names(c.settings) }

// Names returns the names of the sources that the settings define: "consul", or
// "consul.NAME" for each configured datacentre.
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
	var watches sync.WaitGroup
	dcs := c.settings.Datacentres
	if len(dcs) == 0 {
		dcs = []string{""}
	}
	for i, dc := range dcs {
		watches.Go(func() { c.watch(ctx, c.Names()[i], dc) })
	}
	<-stop
	cancel()
	watches.Wait()
}

// currentAddr returns the address that calls currently use. markFailed switches to the next.
func (c *Client) currentAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings.Addrs[c.nextAddr%len(c.settings.Addrs)]
}

// markFailed switches to the next address if addr is the current one.
func (c *Client) markFailed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settings.Addrs[c.nextAddr%len(c.settings.Addrs)] == addr { // otherwise another call has already switched
		c.nextAddr++
	}
}

// statusError is a response with a status other than 200.
type statusError struct {
	code int
	text string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.code, e.text) }

// call makes one HTTP call, bounded by timeout. It decodes the response into result, unless
// that is nil, and returns the response header. A status other than 200 is a *statusError.
func (c *Client) call(ctx context.Context, method, addr, path string, query url.Values, body io.Reader, timeout time.Duration, result any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	scheme := "http"
	if c.settings.TLS {
		scheme = "https"
	}
	u := url.URL{Scheme: scheme, Host: addr, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), body)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	if c.token != "" {
		req.Header.Set("X-Consul-Token", c.token)
	}
	c.mu.Unlock()
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
		if resp.StatusCode == 403 { // the token may have been changed
			if err := c.readToken(); err != nil {
				log.Error("consul-token", "err", err)
			}
		}
		return nil, &statusError{resp.StatusCode, strings.TrimSpace(string(text))}
	}
	if result == nil {
		return resp.Header, nil
	}
	limited := &io.LimitedReader{R: resp.Body, N: int64(c.settings.MaxBytes) + 1}
	err = json.NewDecoder(limited).Decode(result)
	if limited.N <= 0 {
		err = fmt.Errorf("response of more than %v: see [consul] most-bytes", c.settings.MaxBytes)
	}
	return resp.Header, err
}

// watch follows the service in one datacentre by blocking queries until ctx ends.
func (c *Client) watch(ctx context.Context, source, dc string) {
	index, verifying := int64(0), false // verifying: the index went backwards
	backoff := minBackoff
	for ctx.Err() == nil {
		addr, since, consistency := c.currentAddr(), index, c.settings.Consistency
		if verifying {
			since, consistency = 0, "default"
		}
		claims, header, err := c.fetch(ctx, addr, dc, consistency, since)
		if ctx.Err() != nil {
			return
		}
		var newIndex int64
		if err == nil {
			newIndex, err = c.checkHeader(header)
		}
		if err != nil {
			log.Warn("consul-failed", "source", source, "addr", addr, "err", err)
			c.markFailed(addr)
			c.sink.Observe(membership.Observation{Source: source, Failed: true})
			pause := time.Duration(float64(backoff) * (0.5 + rand.Float64()/2)) // jitter: proxies must not retry in step
			backoff = min(2*backoff, maxBackoff)
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
			continue
		}
		backoff = minBackoff
		if newIndex < index && !verifying {
			// Either the index was reset, or a lagging server has answered. A query to the
			// leader (consistency mode default) without an index decides which.
			log.Warn("consul-index", "source", source, "addr", addr, "was", index, "is", newIndex)
			verifying = true
			continue
		}
		c.sink.Observe(membership.Observation{Source: source, Index: newIndex, Complete: true, Reset: verifying, Claims: claims})
		if newIndex == index && !verifying { // the wait expired, or the agent did not wait: avoid a busy loop
			select {
			case <-ctx.Done():
			case <-time.After(idlePause(c.settings.Wait)):
			}
		}
		index, verifying = newIndex, false
	}
}

// idlePause returns the pause after a response without a change, because some agents answer
// blocking queries immediately.
func idlePause(wait time.Duration) time.Duration { return min(50*time.Millisecond, wait/4) }

// checkHeader returns the index of a response. It rejects a response without a valid index,
// from a cluster without a leader, or from a server whose last contact with the leader is
// more than MaxStale ago.
func (c *Client) checkHeader(header http.Header) (int64, error) {
	index, err := strconv.ParseInt(header.Get("X-Consul-Index"), 10, 64)
	if err != nil || index < 1 { // "sanity check that the index is at least 1"
		return 0, fmt.Errorf("response with index %q", header.Get("X-Consul-Index"))
	}
	if header.Get("X-Consul-KnownLeader") == "false" {
		return 0, errors.New("response of a cluster without a leader")
	}
	if ms, err := strconv.ParseInt(header.Get("X-Consul-LastContact"), 10, 64); err == nil && time.Duration(ms)*time.Millisecond > c.settings.MaxStale {
		return 0, fmt.Errorf("response of a server whose last contact with the leader was %d ms ago", ms)
	}
	return index, nil
}

// The fields of the API's objects that are used.
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
	catalogueEntry struct {
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

// fetch makes one query, a blocking one if index is above 0, and returns the claims and the
// response header.
func (c *Client) fetch(ctx context.Context, addr, dc, consistency string, index int64) ([]membership.Claim, http.Header, error) {
	query := url.Values{}
	if dc != "" {
		query.Set("dc", dc)
	}
	if consistency != "default" {
		query.Set(consistency, "")
	}
	timeout := responseTimeout
	if index > 0 {
		query.Set("index", strconv.FormatInt(index, 10))
		query.Set("wait", strconv.FormatInt(c.settings.Wait.Milliseconds(), 10)+"ms")
		timeout += c.settings.Wait + c.settings.Wait/16 // the agent adds up to 1/16 of the wait as jitter
	}
	var entries []entry
	if c.settings.Read == "catalogue" {
		var catalogue []catalogueEntry
		header, err := c.call(ctx, "GET", addr, "/v1/catalog/service/"+url.PathEscape(c.settings.Service), query, nil, timeout, &catalogue)
		if err != nil {
			return nil, nil, err
		}
		for _, s := range catalogue {
			entries = append(entries, entry{Node: node{s.Node, s.Address, s.Datacenter, s.NodeMeta, s.TaggedAddresses},
				Service: service{s.ServiceID, s.ServiceName, s.ServiceAddress, s.ServicePort, s.ServiceTags, s.ServiceMeta, s.ServiceWeights, s.ServiceTaggedAddresses}})
		}
		return c.claims(entries), header, nil
	}
	header, err := c.call(ctx, "GET", addr, "/v1/health/service/"+url.PathEscape(c.settings.Service), query, nil, timeout, &entries)
	return c.claims(entries), header, err
}

// claims converts entries into claims. An entry without a name or address is logged and skipped.
func (c *Client) claims(entries []entry) []membership.Claim {
	idCounts := make(map[string]int)
	for _, e := range entries {
		idCounts[e.Service.ID]++
	}
	var out []membership.Claim
	for _, e := range entries {
		s := e.Service
		attribute := func(key string) string {
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
		claim := membership.Claim{Name: attribute("name"), Kind: attribute("kind"), Site: attribute("site")}
		switch {
		case claim.Name != "":
		case idCounts[s.ID] > 1: // a service ID is unique only within one agent
			claim.Name = e.Node.Node + "/" + s.ID
		default:
			claim.Name = s.ID
		}
		if claim.Site == "" {
			claim.Site = e.Node.Datacenter
		}
		if claim.Addresses = addresses(e); claim.Name == "" || len(claim.Addresses) == 0 {
			log.Warn("consul-entry-skipped", "node", e.Node.Node, "id", s.ID)
			continue
		}
		if n, err := strconv.Atoi(attribute("cell")); err == nil {
			claim.Cell, claim.HasCell = n, true
		}
		if ms, err := strconv.ParseInt(attribute("since_ms"), 10, 64); err == nil && ms > 0 && ms < 1<<50 {
			claim.Since = ms * 1000
		}
		claim.Health = membership.Unknown
		if c.settings.Read == "health" {
			claim.Health = membership.Passing
		}
		for _, k := range e.Checks {
			switch {
			case k.CheckID == "_node_maintenance", strings.HasPrefix(k.CheckID, "_service_maintenance:"):
				claim.Drain = claim.Drain || k.Status == "critical"
			case k.Status == "critical":
				claim.Health = membership.Critical
			case k.Status == "warning" && claim.Health != membership.Critical:
				claim.Health = membership.Warning
			}
		}
		if c.settings.Warning == "withhold" && claim.Health == membership.Warning {
			claim.Health = membership.Critical
		}
		for _, t := range s.Tags {
			claim.Drain = claim.Drain || t == "draining"
		}
		claim.Drain = claim.Drain || attribute("state") == "draining"
		claim.Weight = 1
		if w, err := strconv.ParseFloat(attribute("weight"), 64); err == nil && w > 0 && w <= 1000 {
			claim.Weight = w
		} else if claim.Health == membership.Warning && s.Weights.Passing > 0 && s.Weights.Warning > 0 {
			claim.Weight = float64(s.Weights.Warning) / float64(s.Weights.Passing)
		}
		out = append(out, claim)
	}
	return out
}

// addresses returns the addresses of an instance: its own, its tagged LAN addresses, and its
// Unix socket.
func addresses(e entry) []string {
	s := e.Service
	host := s.Address
	if host == "" {
		host = e.Node.Address
	}
	var out []string
	add := func(host string, port int) {
		if a := net.JoinHostPort(host, strconv.Itoa(port)); host != "" && port > 0 && port < 1<<16 {
			for _, o := range out {
				if o == a {
					return
				}
			}
			out = append(out, a)
		}
	}
	add(host, s.Port)
	for _, tag := range []string{"lan_ipv6", "lan_ipv4", "lan"} {
		if t, ok := s.TaggedAddresses[tag]; ok {
			add(t.Address, t.Port)
		} else if s.Address == "" {
			add(e.Node.TaggedAddresses[tag], s.Port)
		}
	}
	if u := s.Meta["unix"]; strings.HasPrefix(u, "/") {
		out = append(out, "unix:"+u)
	}
	return out
}

// ---- Registration of the proxy.

// KeepRegistered registers the proxy as a service and renews its TTL check until stop is
// closed; then it deregisters the proxy. The registered address is Settings.RegisterAddr or,
// if that is empty, listen.
func (c *Client) KeepRegistered(name, listen string, stop <-chan struct{}) {
	address := c.settings.RegisterAddr
	if address == "" {
		address = listen
	}
	host, port, _ := net.SplitHostPort(address)
	portNumber, _ := strconv.Atoi(port)
	id := c.settings.RegisterAs + "-" + name
	ctx := context.Background()
	put := func(path string, body any) error {
		addr := c.currentAddr()
		var payload io.Reader
		if body != nil {
			b, err := json.Marshal(body)
			if err != nil {
				return err
			}
			payload = strings.NewReader(string(b))
		}
		_, err := c.call(ctx, "PUT", addr, path, nil, payload, responseTimeout, nil)
		var status *statusError
		if err != nil && !errors.As(err, &status) {
			c.markFailed(addr)
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
			registered = false // the agent no longer knows the service: it has restarted, or it is another agent
		}
		err := put("/v1/agent/service/register", map[string]any{"ID": id, "Name": c.settings.RegisterAs, "Address": host, "Port": portNumber,
			"Check": map[string]any{"CheckID": "service:" + id, "TTL": c.settings.RegisterTTL.String(), "Status": "passing", "DeregisterCriticalServiceAfter": (20 * c.settings.RegisterTTL).String()}})
		registered = err == nil
		return err
	}
	log.Info("consul-register", "id", id, "address", address)
	for {
		pause := c.settings.RegisterTTL / 3
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
