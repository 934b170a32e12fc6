// Package targets follows the platform's list of leaf servers. It owns the watch on the
// discovery service, or the polling of an agent that lists are pushed to, and the decoding of
// their responses. It must never let a wanted watch lapse, call a failing service without a
// backoff, or pass on an entry that the router cannot represent.
package targets

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"saddleport/choice"
	"saddleport/internal/httpwire"
	"saddleport/internal/logs"
	"saddleport/internal/settings"
)

const (
	initialWait     = 250 * time.Millisecond // first wait of a new watch, short because the router waits for proof that the watch works
	watchWait       = 10 * time.Second
	responseTimeout = 2500 * time.Millisecond // on top of the wait; after that the call has failed
	minBackoff      = 200 * time.Millisecond
	maxBackoff      = 2 * time.Second
	maxSince        = 1 << 50 // milliseconds; the value in microseconds must fit into an int64

	// An agent on this machine answers immediately and cheaply, and its list counts as
	// known to the proxy: the rule on drains leaves no time to wait for an unresponsive agent.
	defaultPollTimeout = 300 * time.Millisecond
	// A service that answers a watch immediately without changes must not be called in a
	// busy loop; the next call still comes soon enough to keep the watch alive.
	minInterval = 100 * time.Millisecond
)

var log = logs.For("targets")

// PollInterval is the pause between two polls of an agent.
const PollInterval = 100 * time.Millisecond

// Addrs maps the names of servers to their addresses.
type Addrs map[string][]string

// Receiver receives the results of calls in order. Its methods must not call the watch.
type Receiver interface {
	// UpdateList passes a full list or changes to it. List.Since is the longest time, in
	// microseconds, for which the proxy may have counted as informed of it.
	UpdateList(list choice.List, addrs Addrs)
	// FetchFailed reports a failed call.
	FetchFailed()
}

// Config configures a Watch.
type Config struct {
	Addr         string        // of the discovery service or of the agent
	Cells        int           // number of cells of the fleet
	Index        int64         // version of the list that is already known
	MultiAddress bool          // entries may have a list "addresses" in addition to "address"
	Pushed       bool          // lists are pushed to an agent, which is polled even if no watch was requested
	PollTimeout  time.Duration // with Pushed: timeout of one poll; 0: 300 ms
}

// Watch calls the discovery service or polls the agent. Run makes all calls, one at a time.
type Watch struct {
	cells        int
	multiAddress bool // an entry may have several addresses
	pushed       bool
	pollTimeout  time.Duration
	receiver     Receiver
	wake         chan struct{}

	mu       sync.Mutex
	watching bool
	needFull bool // the next call requests the full list
	addr     string
	index    int64 // of the newest list
	// callCtx is cancelled when its calls are superseded. A response that arrives after
	// that is dropped.
	callCtx    context.Context
	cancelCall context.CancelFunc
}

// New returns a watch. It is inactive until Watch or Fetch, unless lists are pushed.
func New(cfg Config, receiver Receiver) *Watch {
	w := &Watch{cells: cfg.Cells, multiAddress: cfg.MultiAddress, pushed: cfg.Pushed, receiver: receiver, wake: make(chan struct{}, 1),
		watching: cfg.Pushed, addr: cfg.Addr, index: cfg.Index, pollTimeout: cmp.Or(cfg.PollTimeout, defaultPollTimeout)}
	w.callCtx, w.cancelCall = context.WithCancel(context.Background())
	return w
}

// Watch starts or ends the watch. An active watch is not restarted. With Config.Pushed the
// watch is always active.
func (w *Watch) Watch(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watching = on || w.pushed
	w.notify()
}

// Fetch requests the full list once.
func (w *Watch) Fetch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requestFull()
}

// Switch changes to another discovery service. Its versions may not be comparable with those of
// the previous service, so the full list is requested immediately.
func (w *Watch) Switch(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	w.requestFull()
}

// requestFull cancels the current call, or the pause before the next, and requests the full
// list on the same connection. On a connection of its own, the full list and the changes of the
// watch could overtake each other, and one of them would be lost. The caller holds w.mu.
func (w *Watch) requestFull() {
	w.needFull = true
	if w.cancelCall != nil {
		w.cancelCall()
	}
	w.callCtx, w.cancelCall = context.WithCancel(context.Background())
	w.notify()
}

func (w *Watch) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run makes the calls until stop is closed.
func (w *Watch) Run(stop <-chan struct{}) {
	defer context.AfterFunc(stopContext(stop), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cancelCall()
	})()
	var conn discoveryConn
	defer conn.close()
	wait, backoff := initialWait, minBackoff
	// The start of the last successful call, initially of Run: by then the service had reported
	// all earlier changes.
	upToDateAt := time.Now()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if w.pushed {
			wait = 0
		}
		w.mu.Lock()
		ctx, addr, idle := w.callCtx, w.addr, !w.watching && !w.needFull
		path, timeout := fmt.Sprintf("/api/targets?index=%d&wait=%d", w.index, wait.Milliseconds()), wait+responseTimeout
		if w.needFull {
			path, timeout = "/api/targets", responseTimeout
		}
		if w.pushed {
			timeout = w.pollTimeout
		}
		w.mu.Unlock()
		if idle {
			wait = initialWait
			select {
			case <-stop:
				return
			case <-w.wake:
			}
			continue
		}
		sentAt := time.Now()
		body, err := conn.get(ctx, addr, path, timeout)
		ok, changed := w.handleAnswer(ctx, addr, upToDateAt, body, err)
		if ctx.Err() != nil { // the call was superseded
			conn.close()
			wait, backoff = initialWait, minBackoff
			continue
		}
		if ok {
			// The next call must follow immediately, or changes in between are lost.
			wait, backoff = watchWait, minBackoff
			if upToDateAt = sentAt; !w.pushed && (changed || time.Since(sentAt) >= minInterval) {
				continue
			}
		} else {
			conn.close()
		}
		// Jitter: all proxies share one discovery service and must not retry in step.
		pause := time.Duration(float64(backoff) * (0.5 + rand.Float64()/2))
		switch {
		case w.pushed:
			pause = PollInterval
		case ok:
			pause = minInterval - time.Since(sentAt)
		default:
			wait, backoff = initialWait, min(2*backoff, maxBackoff)
		}
		select {
		case <-stop:
			return
		case <-ctx.Done():
			backoff = minBackoff
		case <-time.After(pause):
		}
	}
}

// handleAnswer passes the result of a call to the receiver. It reports whether the call
// succeeded and whether the response contained changes. The response to a call that has been
// superseded is dropped, because it may be of another service.
func (w *Watch) handleAnswer(ctx context.Context, addr string, upToDateAt time.Time, body []byte, err error) (ok, changed bool) {
	var list choice.List
	var addrs Addrs
	if err == nil {
		list, addrs, err = Parse(body, w.cells, w.multiAddress)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false, false
	}
	if err == nil && w.needFull && list.Form != choice.Full {
		err = errors.New("the full list was requested, but the response contains only changes")
	}
	if err != nil {
		log.Warn("discovery-failed", "addr", addr, "err", err)
		w.receiver.FetchFailed()
		return false, false
	}
	if w.pushed {
		if list.Since = time.Since(upToDateAt).Microseconds(); list.Form == choice.Delta && len(list.Servers) == 0 {
			w.index = list.Version
			return true, false
		}
	}
	w.needFull, w.index = false, list.Version
	w.receiver.UpdateList(list, addrs)
	return true, list.Form != choice.Delta || len(list.Servers) > 0
}

var states = map[string]choice.State{"SERVING": choice.Ready, "DRAINING": choice.Draining, "DELETED": choice.Gone}

// Parse decodes a list in the format of the discovery service. An unusable entry is logged and
// skipped, so that it does not affect the others. With multiAddress, the entries' additional
// addresses are read too.
func Parse(body []byte, cells int, multiAddress bool) (list choice.List, addrs Addrs, err error) {
	doc := gjson.ParseBytes(body)
	if !gjson.ValidBytes(body) || !doc.IsObject() {
		return list, nil, &settings.FieldError{Path: "endpoints", Problem: "not a JSON object"}
	}
	index, endpoints := doc.Get("index"), doc.Get("endpoints")
	if index.Type != gjson.Number || index.Int() < 0 {
		return list, nil, &settings.FieldError{Path: "index", Problem: "not a whole number"}
	}
	if !endpoints.IsArray() {
		return list, nil, &settings.FieldError{Path: "endpoints", Problem: "not a list"}
	}
	list = choice.List{Form: choice.Delta, Version: index.Int()}
	if doc.Get("snapshot").Bool() {
		list.Form = choice.Full
	}
	addrs = make(Addrs)
	for _, entry := range endpoints.Array() {
		server := choice.Server{ID: entry.Get("name").String(), Zone: entry.Get("zone").String(), Kind: entry.Get("type").String(),
			Cell: int(entry.Get("group").Int()), Scale: 1, UpSince: min(max(entry.Get("since_ms").Int(), 0), maxSince) * 1000}
		if w := entry.Get("weight"); w.Type == gjson.Number {
			server.Scale = w.Float()
		}
		state, known := states[entry.Get("status").String()]
		server.State = state
		_, _, badAddr := net.SplitHostPort(entry.Get("address").String())
		if server.ID == "" || !known || server.Cell < 0 || server.Cell >= cells || badAddr != nil && state != choice.Gone {
			log.Warn("list-entry-skipped", "entry", entry.Raw[:min(len(entry.Raw), 120)])
			continue
		}
		list.Servers = append(list.Servers, server)
		addrs[server.ID] = []string{entry.Get("address").String()}
		if multiAddress {
			addrs[server.ID] = addresses(entry, addrs[server.ID])
		}
	}
	return list, addrs, nil
}

// maxAddrs limits the addresses of one server.
const maxAddrs = 8

// addresses appends the valid additional addresses of an entry to out, up to maxAddrs in all.
func addresses(entry gjson.Result, out []string) []string {
	for _, a := range entry.Get("addresses").Array() {
		addr := a.String()
		_, _, bad := net.SplitHostPort(addr)
		if (bad == nil || strings.HasPrefix(addr, "unix:/")) && !slices.Contains(out, addr) && len(out) < maxAddrs {
			out = append(out, addr)
		}
	}
	return out
}

// stopContext returns a context that ends when stop is closed.
func stopContext(stop <-chan struct{}) context.Context {
	return chanContext{context.Background(), stop}
}

type chanContext struct {
	context.Context
	stop <-chan struct{}
}

func (c chanContext) Done() <-chan struct{} { return c.stop }

func (c chanContext) Err() error {
	select {
	case <-c.stop:
		return context.Canceled
	default:
		return nil
	}
}

// discoveryConn is a connection to the discovery service, reused between calls.
type discoveryConn struct {
	addr string
	nc   net.Conn
	r    *httpwire.Reader
}

func (c *discoveryConn) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// get makes one call and returns the response body. The call fails after timeout, or as soon as
// ctx ends.
func (c *discoveryConn) get(ctx context.Context, addr, path string, timeout time.Duration) ([]byte, error) {
	if c.addr != addr { // the service has changed since the last call
		c.close()
	}
	if c.nc == nil {
		dial := net.Dialer{Timeout: responseTimeout}
		nc, err := dial.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		c.addr, c.nc, c.r = addr, nc, httpwire.NewReader(nc)
	}
	nc := c.nc
	nc.SetDeadline(time.Now().Add(timeout))
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	if _, err := c.nc.Write(httpwire.AppendGet(nil, addr, path)); err != nil {
		return nil, err
	}
	if err := c.r.Await(); err != nil {
		return nil, err
	}
	resp, err := c.r.Response()
	if err != nil {
		return nil, err
	}
	if !resp.KeepAlive {
		c.close()
	}
	if resp.Status != 200 {
		return nil, errors.New("status " + fmt.Sprint(resp.Status))
	}
	return resp.Body, nil
}
