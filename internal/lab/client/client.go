// Package client provides the scripted booking clients of a drill: an open-loop load
// generator that speaks the platform's HTTP to a proxy. It owns the clients'
// connections and arrival times. It must never delay a query because an earlier
// answer is late, nor wait for an answer longer than the query's timeout and
// ExtraWait: a slow proxy must not slow its own load.
package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"saddleport/internal/core/placement"
	"saddleport/internal/lab/judge"
)

// Class is a request class and the load of its queries.
type Class struct {
	Name    string
	Rate    float64 // queries a second, Poisson
	Parts   int     // parts of each query
	Timeout time.Duration
	Text    string
	Booking bool // with a map: each query books one key, which other queries book too
}

// Config configures the clients.
type Config struct {
	Addr      func() string // returns the address of the proxy for the next query
	Shards    int
	Seed      uint64
	Judge     *judge.Judge
	MaxIdle   int           // idle connections kept per proxy address
	ExtraWait time.Duration // time to wait for an answer after the query's timeout; default 2s
	// Map, if set, returns the segment map that the clients use. Keys are all keys, in
	// order.
	Map  func() *placement.Map
	Keys []string
}

// Clients are all clients of a drill.
type Clients struct {
	Config
	mu       sync.Mutex
	idle     map[string][]*conn // by the proxy's address
	conns    int
	keyOrder []int // random order in which the keys are booked
	pending  sync.WaitGroup
}

type conn struct {
	nc      net.Conn
	addr    string
	r       *bufio.Reader
	used    bool // a query was sent on it
	closing bool // the proxy announced that it closes the connection
}

// New returns clients that send no load yet.
func New(c Config) *Clients {
	if c.ExtraWait <= 0 {
		c.ExtraWait = 2 * time.Second
	}
	return &Clients{Config: c, idle: make(map[string][]*conn), keyOrder: rand.New(rand.NewPCG(c.Seed, 5)).Perm(len(c.Keys))}
}

// Run sends a class's load until ctx is done, and returns when every query has ended.
// The first arrival is drawn from begin. The same seed gives the same queries at the
// same times.
func (d *Clients) Run(ctx context.Context, class Class, begin time.Time) {
	r := rand.New(rand.NewPCG(d.Seed, hash(class.Name)))
	due := begin
	for n := 0; ; n++ {
		due = due.Add(time.Duration(r.ExpFloat64() / class.Rate * float64(time.Second)))
		q := d.query(class, n, due, r)
		select {
		case <-ctx.Done():
			d.pending.Wait()
			return
		case <-time.After(time.Until(due)):
		}
		if d.Map != nil {
			d.partsFromMap(class, q, n)
		}
		d.pending.Add(1)
		d.Judge.Sent(q)
		go func() {
			defer d.pending.Done()
			d.Do(context.Background(), Request{Addr: d.Addr(), Text: class.Text, NamesKeys: class.Booking}, q)
			d.Judge.Ended(q)
		}()
	}
}

func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

func (d *Clients) query(class Class, n int, due time.Time, r *rand.Rand) *judge.Query {
	q := &judge.Query{ID: fmt.Sprintf("%016x", hash(class.Name)^r.Uint64()), Class: class.Name, Due: due, Timeout: class.Timeout}
	if d.Map != nil {
		return q // the parts depend on the map at the time of sending
	}
	for _, shard := range r.Perm(d.Shards)[:min(class.Parts, d.Shards)] {
		q.Parts = append(q.Parts, judge.Part{Shard: shard, Weight: 1 / float64(min(class.Parts, d.Shards))})
	}
	return q
}

// partsFromMap sets a query's parts from the clients' segment map: adjacent segments,
// or, for a booking, the segment that contains one key.
func (d *Clients) partsFromMap(class Class, q *judge.Query, n int) {
	m := d.Map()
	segs := m.Segments()
	r := rand.New(rand.NewPCG(d.Seed, hash(q.ID)))
	if class.Booking {
		// Bookings advance through the keys in random order. Each key is booked about
		// three times within a short time, as by clients that retry.
		key := d.Keys[d.keyOrder[(n/3+r.IntN(20))%len(d.Keys)]]
		if s, ok := m.Lookup(key); ok {
			q.Parts = []judge.Part{{Shard: int(s.ID), Weight: 1, Keys: []string{key}}}
		}
		return
	}
	parts := min(class.Parts, len(segs))
	first := r.IntN(len(segs) - parts + 1)
	for _, s := range segs[first : first+parts] {
		p := judge.Part{Shard: int(s.ID), Weight: 1 / float64(parts), Keys: []string{}}
		for i := sort.SearchStrings(d.Keys, s.From); i < len(d.Keys) && s.Contains(d.Keys[i]); i++ {
			p.Keys = append(p.Keys, d.Keys[i])
		}
		q.Parts = append(q.Parts, p)
	}
}

// Request holds how a query is sent to a proxy.
type Request struct {
	Addr      string
	Text      string
	NamesKeys bool // a part that has exactly one key names the key
	Retry     bool // marks the query as a retry by the client
	Tenant    string
	Key       string // object key of the query; with the shard, of each part
}

// Do sends a query, stores its answer in q and returns the Retry-After delay of a
// refusal. If a reused connection breaks before the first byte of the answer, the
// proxy may have closed it while the query was on its way; the query is then sent
// once more on a new connection, as the platform's clients do. When ctx ends, the
// client closes the connection, and the outcome of an unanswered query is ClientGone.
func (d *Clients) Do(ctx context.Context, req Request, q *judge.Query) (after time.Duration) {
	q.Sent = time.Now()
	for try := 0; ; try++ {
		c, err := d.openConn(req.Addr, try > 0)
		if err == nil {
			leave := context.AfterFunc(ctx, func() { c.nc.Close() })
			var staleConn bool
			staleConn, after, err = d.exchange(c, req, q)
			leave()
			if staleConn && try == 0 && ctx.Err() == nil {
				d.drop(c)
				continue
			}
			if err != nil || ctx.Err() != nil {
				d.drop(c)
			} else {
				d.keep(c)
			}
		}
		if err != nil {
			q.Ended, q.Outcome, q.Detail = time.Now(), judge.Lost, err.Error()
			if ctx.Err() != nil {
				q.Outcome = judge.ClientGone
			}
		}
		return after
	}
}

func (d *Clients) openConn(addr string, fresh bool) (*conn, error) {
	d.mu.Lock()
	if idle := d.idle[addr]; !fresh && len(idle) > 0 {
		c := idle[len(idle)-1]
		d.idle[addr] = idle[:len(idle)-1]
		d.mu.Unlock()
		return c, nil
	}
	d.conns++
	d.mu.Unlock()
	nc, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		d.mu.Lock()
		d.conns--
		d.mu.Unlock()
		return nil, err
	}
	return &conn{nc: nc, addr: addr, r: bufio.NewReader(nc)}, nil
}

func (d *Clients) keep(c *conn) {
	d.mu.Lock()
	if len(d.idle[c.addr]) < d.MaxIdle && !c.closing {
		d.idle[c.addr] = append(d.idle[c.addr], c)
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	d.drop(c)
}

func (d *Clients) drop(c *conn) {
	c.nc.Close()
	d.mu.Lock()
	d.conns--
	d.mu.Unlock()
}

// Close closes the idle connections and returns how many of them had received an
// unsolicited answer.
func (d *Clients) Close() (unasked int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, idle := range d.idle {
		for _, c := range idle {
			if hasUnsolicited(c) {
				unasked++
			}
			c.nc.Close()
		}
	}
	clear(d.idle)
	return unasked
}

// hasUnsolicited reports whether data arrived on a connection without a request.
func hasUnsolicited(c *conn) bool {
	if c.r.Buffered() > 0 {
		return true
	}
	c.nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	return err == nil
}

func (d *Clients) exchange(c *conn, req Request, q *judge.Query) (staleConn bool, after time.Duration, err error) {
	body := []byte(`{"shards":[`)
	for i, response := range q.Parts {
		if i > 0 {
			body = append(body, ',')
		}
		body = fmt.Appendf(body, `{"shard":%d,"weight":%.9f`, response.Shard, response.Weight)
		if req.NamesKeys && len(response.Keys) == 1 {
			body = fmt.Appendf(body, `,"key":%q`, response.Keys[0])
		}
		if req.Key != "" {
			body = fmt.Appendf(body, `,"key":%q`, req.Key)
		}
		body = append(body, '}')
	}
	body = fmt.Appendf(body, `],"q":%q}`, req.Text)
	extraHeaders := map[bool]string{true: "X-Second-Try: 1\r\n"}[req.Retry]
	if req.Tenant != "" {
		extraHeaders += "X-Customer: " + req.Tenant + "\r\n"
	}
	if req.Key != "" {
		extraHeaders += "X-Object: " + req.Key + "\r\n"
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n%sContent-Length: %d\r\n\r\n",
		q.ID, q.Class, q.Timeout.Milliseconds(), extraHeaders, len(body))
	b.Write(body)
	reused := c.used
	c.used = true
	if c.r.Buffered() > 0 {
		q.ExtraAnswer = true
	}
	q.Sent = time.Now()
	c.nc.SetDeadline(q.Sent.Add(q.Timeout + d.ExtraWait))
	if _, err := c.nc.Write(b.Bytes()); err != nil {
		return reused, 0, err
	}
	if _, err := c.r.Peek(1); err != nil {
		var timeout net.Error
		return reused && !(errors.As(err, &timeout) && timeout.Timeout()), 0, err
	}
	response, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return false, 0, err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	response.Body.Close()
	if err != nil {
		return false, 0, err
	}
	q.Ended = time.Now()
	if c.r.Buffered() > 0 {
		q.ExtraAnswer = true
	}
	switch response.StatusCode {
	case 200:
		q.Outcome = judge.Answered
		doc := gjson.ParseBytes(text)
		q.Complete = doc.Get("complete").Bool()
		for _, h := range doc.Get("hits").Array() {
			q.Hits = append(q.Hits, judge.Hit{Shard: int(h.Get("shard").Int()), Value: h.Get("doc").String(),
				AlsoIn: h.Get("in").Exists(), Incomplete: h.Get("covers").Exists()})
		}
	case 429, 503:
		q.Outcome = judge.Refused
		if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
			after = time.Duration(s * float64(time.Second))
		}
	default:
		q.Outcome = judge.Failed
	}
	q.Detail = string(bytes.TrimSpace(text[:min(len(text), 80)]))
	c.closing = response.Close
	return false, after, nil
}
