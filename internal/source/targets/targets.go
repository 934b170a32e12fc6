// Package targets is the platform's list of leaf servers. It owns the watch on
// discovery, or the calls to an agent that lists are pushed to, and the reading of
// their answers. It must never let the watch lapse while it is wanted, press a
// service that fails, or hand on an entry that the router can't hold.
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
	initialWait     = 250 * time.Millisecond // of a new watch: the router waits for a sign that it stands
	watchWait       = 10 * time.Second
	responseTimeout = 2500 * time.Millisecond // beyond the wait: then the call has failed
	minBackoff      = 200 * time.Millisecond
	maxBackoff      = 2 * time.Second
	maxSince        = 1 << 50 // milliseconds; in microseconds it must still fit

	// An agent on this machine answers at once and at no cost, and what it holds counts
	// as told: the rule on drains leaves no time to wait for one that is silent.
	defaultPollTimeout = 300 * time.Millisecond
	// A service that answers a watch at once with nothing must not be called in a
	// loop; the next call still comes soon enough for the watch to go on.
	minInterval = 100 * time.Millisecond
)

var log = logs.For("targets")

// LookEvery is the pause between looks at an agent.
const PollInterval = 100 * time.Millisecond

// Addrs are the addresses of servers by name.
type Addrs map[string][]string

// Taker gets what discovery says, in order. It must not call the watch.
type Receiver interface {
	// Told brings a list, or changes to it; List.Since says how long ago it may have
	// counted as told.
	UpdateList(list choice.List, addrs Addrs)
	// Failed says that a call brought nothing.
	FetchFailed()
}

// Config is what a Watch is told at its start.
type Config struct {
	Addr         string        // of discovery, or of the agent
	Cells        int           // of the fleet
	Index        int64         // version of the list that is known already
	MultiAddress bool          // entries may have a list "addresses" beside the one address
	Pushed       bool          // an agent holds what it is sent: it is looked at whether or not a watch was asked for
	PollTimeout  time.Duration // where lists are pushed: an answer that takes longer is given up; 0: 300 ms
}

// Watch makes the calls, one after another: Run's loop alone does.
type Watch struct {
	cells        int
	multiAddress bool // an entry may have several addresses
	pushed       bool
	pollTimeout  time.Duration
	receiver     Receiver
	wake         chan struct{}

	mu       sync.Mutex
	watching bool
	needFull bool // the next call asks for the whole list
	addr     string
	index    int64 // of the newest list
	// current ends once what the calls under it ask for is not wanted any more: an
	// answer that comes after that is dropped.
	callCtx    context.Context
	cancelCall context.CancelFunc
}

// New returns a watch; it is not on yet, unless lists are pushed.
func New(cfg Config, receiver Receiver) *Watch {
	w := &Watch{cells: cfg.Cells, multiAddress: cfg.MultiAddress, pushed: cfg.Pushed, receiver: receiver, wake: make(chan struct{}, 1),
		watching: cfg.Pushed, addr: cfg.Addr, index: cfg.Index, pollTimeout: cmp.Or(cfg.PollTimeout, defaultPollTimeout)}
	w.callCtx, w.cancelCall = context.WithCancel(context.Background())
	return w
}

// Watch starts or ends the watch. One that stands is not started anew.
func (w *Watch) Watch(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watching = on || w.pushed
	w.notify()
}

// Fetch asks for the whole list once.
func (w *Watch) Fetch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requestFull()
}

// Switch turns to another discovery service. Its versions need not compare with
// those of the one before, so it is asked for the whole list, and at once.
func (w *Watch) Switch(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	w.requestFull()
}

// anew ends the call at hand, or the pause before the next, for the whole list.
// Asked on a line of its own, that list could overtake or be overtaken by the
// changes that the watch brings, and one of them would be lost.
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
	// Until then the service had nothing to tell that it did not tell.
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
		if ctx.Err() != nil { // the call was for what is not wanted any more
			conn.close()
			wait, backoff = initialWait, minBackoff
			continue
		}
		if ok {
			// The next call must come at once, or changes in between are lost.
			wait, backoff = watchWait, minBackoff
			if upToDateAt = sentAt; !w.pushed && (changed || time.Since(sentAt) >= minInterval) {
				continue
			}
		} else {
			conn.close()
		}
		// All mixers share one discovery: they must not come back in step.
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

// told hands on an answer of discovery, or that there was none; it tells whether there
// was one, and whether it had news. What answers a call that has been ended since is
// dropped: it may be of another service.
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
		err = errors.New("the whole list was asked for, and changes came")
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

// Parse reads discovery's form of the list. An entry that can't be used is
// passed over with a log line: one bad line must not cost the others.
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

// mostAddrs bounds the addresses of one server.
const maxAddrs = 8

// addresses adds what an entry lists beside its one address.
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

// closing is a context that ends when stop is closed.
func stopContext(stop <-chan struct{}) context.Context {
	return chanContext{context.Background(), stop}
}

type chanContext struct {
	context.Context
	stop <-chan struct{}
}

func (s chanContext) Done() <-chan struct{} { return s.stop }

func (s chanContext) Err() error {
	select {
	case <-s.stop:
		return context.Canceled
	default:
		return nil
	}
}

// discoveryLine is a connection to discovery, kept from call to call.
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

// get makes one call, which must be over within the time given, and ends at once
// when ctx does.
func (c *discoveryConn) get(ctx context.Context, addr, path string, timeout time.Duration) ([]byte, error) {
	if c.addr != addr { // the service has moved while none was asked
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
