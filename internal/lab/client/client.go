// Package desk is the scripted booking desks of a drill: open-loop clients that
// speak the platform's HTTP to a mixer. It owns their connections and arrivals.
// It must never send a query later because an answer is late, nor wait longer for
// one than its patience says: a slow mixer must not slow its own load.
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

// Class is one class of query and its load.
type Class struct {
	Name    string
	Rate    float64 // queries a second, Poisson
	Parts   int     // of each query
	Timeout time.Duration
	Text    string
	Booking bool // where there is a map: one key, which others book too
}

// Config is what the desks are told.
type Config struct {
	Addr      func() string // of the mixer
	Shards    int
	Seed      uint64
	Judge     *judge.Judge
	MaxIdle   int           // at once, at most
	ExtraWait time.Duration // wait for an answer beyond the patience
	// Map, if set, is the map of segments that a desk knows, and Keys all keys.
	Map  func() *placement.Map
	Keys []string
}

// Desks are all desks of a drill.
type Clients struct {
	Config
	mu       sync.Mutex
	idle     map[string][]*conn // by the mixer's address
	conns    int
	keyOrder []int // of the keys that are booked
	pending  sync.WaitGroup
}

type conn struct {
	nc      net.Conn
	addr    string
	r       *bufio.Reader
	used    bool // has carried a query
	closing bool // the mixer said that it ends
}

// New returns desks without load.
func New(c Config) *Clients {
	if c.ExtraWait <= 0 {
		c.ExtraWait = 2 * time.Second
	}
	return &Clients{Config: c, idle: make(map[string][]*conn), keyOrder: rand.New(rand.NewPCG(c.Seed, 5)).Perm(len(c.Keys))}
}

// Run sends a class's load until ctx is done, and returns once all is answered.
// begin is the time from which the queries are due; the same seed gives the same
// queries at the same times.
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
		return q // its parts hang on the map of the moment
	}
	for _, shard := range r.Perm(d.Shards)[:min(class.Parts, d.Shards)] {
		q.Parts = append(q.Parts, judge.Part{Shard: shard, Weight: 1 / float64(min(class.Parts, d.Shards))})
	}
	return q
}

// byMap names a query's parts by the map that the desk knows: segments side by side,
// or the one that holds a key.
func (d *Clients) partsFromMap(class Class, q *judge.Query, n int) {
	m := d.Map()
	segs := m.Segments()
	r := rand.New(rand.NewPCG(d.Seed, hash(q.ID)))
	if class.Booking {
		// Bookings roll forward over the keys, drawn in no order; each key is booked three
		// times or so within a moment, as by desks that ask again.
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

// Request is how a query is put to a mixer.
type Request struct {
	Addr      string
	Text      string
	NamesKeys bool // a part of one key names it
	Retry     bool // it is marked as a later try
	Tenant    string
	Key       string // of the query and, with its shard, of each part
}

// Do sends a query and takes its answer into q; it returns the advice on when to
// come back. A connection that broke before a byte of the answer came, and that had
// carried others, may have crossed its end: the platform's clients send once more.
// When ctx ends, the client closes the connection: it is gone.
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

// Close ends idle connections. What came on them unasked is told as a second
// answer to nobody: the count.
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

// stray tells whether something came on a connection that nobody asked for.
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
