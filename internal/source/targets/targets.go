// Package targets is the platform's list of leaf servers. It owns the watch on
// discovery and the reading of its answers. It must never let the watch lapse while
// it is wanted, press a service that fails, or hand on an entry that the router
// can't hold.
package targets

import (
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
	firstWait   = 250 * time.Millisecond // of a new watch: the router waits for a sign that it stands
	watchWait   = 10 * time.Second
	answerTime  = 2500 * time.Millisecond // beyond the wait: then the call has failed
	backoffFrom = 200 * time.Millisecond
	backoffMost = 2 * time.Second
	maxSince    = 1 << 50 // milliseconds; in microseconds it must still fit
)

var log = logs.For("targets")

// Addrs are the addresses of servers by name.
type Addrs map[string][]string

// Taker gets what discovery says, in order. It must not call the watch.
type Taker interface {
	// Told brings a list, or changes to it.
	Told(list choice.List, addrs Addrs)
	// Failed says that a call brought nothing.
	Failed()
}

// Watch makes the calls, one after another: Run's loop alone does.
type Watch struct {
	cells int
	more  bool // an entry may have several addresses
	to    Taker
	kick  chan struct{}

	mu    sync.Mutex
	on    bool
	whole bool // the next call asks for the whole list
	addr  string
	index int64 // of the newest list
	// current ends once what the calls under it ask for is not wanted any more: an
	// answer that comes after that is dropped.
	current context.Context
	end     context.CancelFunc
}

// New returns a watch that is not on, for a fleet of so many cells; index is the
// version of the list that is known already. With more, entries may have a list
// "addresses" beside the one address.
func New(addr string, cells int, index int64, more bool, to Taker) *Watch {
	w := &Watch{cells: cells, more: more, to: to, kick: make(chan struct{}, 1), addr: addr, index: index}
	w.current, w.end = context.WithCancel(context.Background())
	return w
}

// Watch starts or ends the watch. One that stands is not started anew.
func (w *Watch) Watch(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.on = on
	w.stir()
}

// Fetch asks for the whole list once.
func (w *Watch) Fetch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.anew()
}

// Switch turns to another discovery service. Its versions need not compare with
// those of the one before, so it is asked for the whole list, and at once.
func (w *Watch) Switch(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	w.anew()
}

// anew ends the call at hand, or the pause before the next, for the whole list.
// Asked on a line of its own, that list could overtake or be overtaken by the
// changes that the watch brings, and one of them would be lost.
func (w *Watch) anew() {
	w.whole = true
	if w.end != nil {
		w.end()
	}
	w.current, w.end = context.WithCancel(context.Background())
	w.stir()
}

func (w *Watch) stir() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

// Run makes the calls until stop is closed.
func (w *Watch) Run(stop <-chan struct{}) {
	defer context.AfterFunc(closing(stop), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end()
	})()
	var line discoveryLine
	defer line.close()
	wait, backoff := firstWait, backoffFrom
	for {
		select {
		case <-stop:
			return
		default:
		}
		w.mu.Lock()
		ctx, addr, idle := w.current, w.addr, !w.on && !w.whole
		path, within := fmt.Sprintf("/api/targets?index=%d&wait=%d", w.index, wait.Milliseconds()), wait+answerTime
		if w.whole {
			path, within = "/api/targets", answerTime
		}
		w.mu.Unlock()
		if idle {
			wait = firstWait
			select {
			case <-stop:
				return
			case <-w.kick:
			}
			continue
		}
		body, err := line.get(ctx, addr, path, within)
		ok := w.told(ctx, addr, body, err)
		if ctx.Err() != nil { // the call was for what is not wanted any more
			line.close()
			wait, backoff = firstWait, backoffFrom
			continue
		}
		if ok {
			// The next call must come at once, or changes in between are lost.
			wait, backoff = watchWait, backoffFrom
			continue
		}
		line.close()
		// All mixers share one discovery: they must not come back in step.
		pause := time.Duration(float64(backoff) * (0.5 + rand.Float64()/2))
		wait, backoff = firstWait, min(2*backoff, backoffMost)
		select {
		case <-stop:
			return
		case <-ctx.Done():
			backoff = backoffFrom
		case <-time.After(pause):
		}
	}
}

// told hands on an answer of discovery, or that there was none. What answers a
// call that has been ended since is dropped: it may be of another service.
func (w *Watch) told(ctx context.Context, addr string, body []byte, err error) bool {
	var list choice.List
	var addrs Addrs
	if err == nil {
		list, addrs, err = Parse(body, w.cells, w.more)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	if err == nil && w.whole && list.Form != choice.Full {
		err = errors.New("the whole list was asked for, and changes came")
	}
	if err != nil {
		log.Warn("discovery-failed", "addr", addr, "err", err)
		w.to.Failed()
		return false
	}
	w.whole, w.index = false, list.Version
	w.to.Told(list, addrs)
	return true
}

var states = map[string]choice.State{"SERVING": choice.Ready, "DRAINING": choice.Draining, "DELETED": choice.Gone}

// Parse reads discovery's form of the list. An entry that can't be used is
// passed over with a log line: one bad line must not cost the others.
func Parse(body []byte, cells int, more bool) (list choice.List, addrs Addrs, err error) {
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
	for _, e := range endpoints.Array() {
		s := choice.Server{ID: e.Get("name").String(), Zone: e.Get("zone").String(), Kind: e.Get("type").String(),
			Cell: int(e.Get("group").Int()), Scale: 1, UpSince: min(max(e.Get("since_ms").Int(), 0), maxSince) * 1000}
		if w := e.Get("weight"); w.Type == gjson.Number {
			s.Scale = w.Float()
		}
		state, known := states[e.Get("status").String()]
		s.State = state
		_, _, badAddr := net.SplitHostPort(e.Get("address").String())
		if s.ID == "" || !known || s.Cell < 0 || s.Cell >= cells || badAddr != nil && state != choice.Gone {
			log.Warn("list-entry-skipped", "entry", e.Raw[:min(len(e.Raw), 120)])
			continue
		}
		list.Servers = append(list.Servers, s)
		addrs[s.ID] = []string{e.Get("address").String()}
		if more {
			addrs[s.ID] = addresses(e, addrs[s.ID])
		}
	}
	return list, addrs, nil
}

// mostAddrs bounds the addresses of one server.
const mostAddrs = 8

// addresses adds what an entry lists beside its one address.
func addresses(e gjson.Result, out []string) []string {
	for _, a := range e.Get("addresses").Array() {
		addr := a.String()
		_, _, bad := net.SplitHostPort(addr)
		if (bad == nil || strings.HasPrefix(addr, "unix:/")) && !slices.Contains(out, addr) && len(out) < mostAddrs {
			out = append(out, addr)
		}
	}
	return out
}

// closing is a context that ends when stop is closed.
func closing(stop <-chan struct{}) context.Context { return stopped{context.Background(), stop} }

type stopped struct {
	context.Context
	stop <-chan struct{}
}

func (s stopped) Done() <-chan struct{} { return s.stop }

func (s stopped) Err() error {
	select {
	case <-s.stop:
		return context.Canceled
	default:
		return nil
	}
}

// discoveryLine is a connection to discovery, kept from call to call.
type discoveryLine struct {
	addr string
	nc   net.Conn
	r    *httpwire.Reader
}

func (l *discoveryLine) close() {
	if l.nc != nil {
		l.nc.Close()
		l.nc = nil
	}
}

// get makes one call, which must be over within the time given, and ends at once
// when ctx does.
func (l *discoveryLine) get(ctx context.Context, addr, path string, within time.Duration) ([]byte, error) {
	if l.addr != addr { // the service has moved while none was asked
		l.close()
	}
	if l.nc == nil {
		dial := net.Dialer{Timeout: answerTime}
		nc, err := dial.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		l.addr, l.nc, l.r = addr, nc, httpwire.NewReader(nc)
	}
	nc := l.nc
	nc.SetDeadline(time.Now().Add(within))
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	if _, err := l.nc.Write(httpwire.AppendGet(nil, addr, path)); err != nil {
		return nil, err
	}
	if err := l.r.Await(); err != nil {
		return nil, err
	}
	p, err := l.r.Response()
	if err != nil {
		return nil, err
	}
	if !p.KeepAlive {
		l.close()
	}
	if p.Status != 200 {
		return nil, errors.New("status " + fmt.Sprint(p.Status))
	}
	return p.Body, nil
}
