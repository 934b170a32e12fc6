package back

// The list of leaf servers. This file owns the watch on discovery and the
// reading of its answers. It must never let the watch lapse while it is wanted,
// press a service that fails, or hand on an entry that the router can't hold.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/tidwall/gjson"

	"saddleport/choice"
	"saddleport/internal/httpwire"
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

// watcher makes the calls, one after another. Its fields but kick are under
// Back.mu; Run's loop alone makes calls.
type watcher struct {
	kick  chan struct{}
	on    bool
	whole bool // the next call asks for the whole list
	addr  string
	index int64 // of the newest list
	// current ends once what the calls under it ask for is not wanted any more: an
	// answer that comes after that is dropped.
	current context.Context
	end     context.CancelFunc
}

// Watch starts or ends the watch. One that stands is not started anew.
func (b *Back) Watch(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watch.on = on
	b.watch.stir()
}

// Fetch asks for the whole list once.
func (b *Back) Fetch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watch.anew()
}

// Switch turns to another discovery service. Its versions need not compare with
// those of the one before, so it is asked for the whole list, and at once.
func (b *Back) Switch(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watch.addr = addr
	b.watch.anew()
}

// anew ends the call at hand, or the pause before the next, for the whole list.
// Asked on a line of its own, that list could overtake or be overtaken by the
// changes that the watch brings, and one of them would be lost.
func (w *watcher) anew() {
	w.whole = true
	if w.end != nil {
		w.end()
	}
	w.current, w.end = context.WithCancel(context.Background())
	w.stir()
}

func (w *watcher) stir() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

func (b *Back) runWatch(stop <-chan struct{}) {
	w := &b.watch
	var line discoveryLine
	defer line.close()
	wait, backoff := firstWait, backoffFrom
	for {
		select {
		case <-stop:
			return
		default:
		}
		b.mu.Lock()
		ctx, addr, idle := w.current, w.addr, !w.on && !w.whole
		path, within := fmt.Sprintf("/api/targets?index=%d&wait=%d", w.index, wait.Milliseconds()), wait+answerTime
		if w.whole {
			path, within = "/api/targets", answerTime
		}
		b.mu.Unlock()
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
		ok := b.told(ctx, addr, body, err)
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
func (b *Back) told(ctx context.Context, addr string, body []byte, err error) bool {
	var list choice.List
	var addrs map[string]string
	if err == nil {
		list, addrs, err = ParseList(body, b.Settings.Router.Cells)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	if err == nil && b.watch.whole && list.Form != choice.Full {
		err = errors.New("the whole list was asked for, and changes came")
	}
	if err != nil {
		b.Exchange.Counters.ListFails.Add(1)
		log.Warn("discovery-failed", "addr", addr, "err", err)
		b.Exchange.Listed(choice.List{Form: choice.Failed})
		return false
	}
	b.Exchange.Counters.Lists.Add(1)
	b.watch.whole = false
	b.apply(list, addrs)
	return true
}

// Apply takes a list for the connections and hands it to the exchange.
func (b *Back) Apply(list choice.List, addrs map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(list, addrs)
}

func (b *Back) apply(list choice.List, addrs map[string]string) {
	b.watch.index = list.Version
	named := make(map[string]bool, len(list.Servers))
	for _, row := range list.Servers {
		named[row.ID] = true
		s := b.servers[row.ID]
		if s == nil {
			s = &server{name: row.ID}
			b.servers[row.ID] = s
		}
		if addr := addrs[row.ID]; addr != "" {
			s.addr = addr
		}
		b.mayStart(s, row.State == choice.Ready)
	}
	if list.Form != choice.Delta {
		for name, s := range b.servers {
			if !named[name] {
				b.mayStart(s, false)
			}
		}
	}
	for name, s := range b.servers { // gone for long, with nothing left
		if s.drained() && !named[name] && len(s.conns) == 0 && len(s.waiting) == 0 && !s.dialing {
			delete(b.servers, name)
		}
	}
	if len(list.Servers) > 0 || list.Form != choice.Delta {
		log.Info("list", "form", int(list.Form), "version", list.Version, "entries", len(list.Servers))
	}
	b.Exchange.Listed(list)
}

// mayStart notes from when on nothing may start on a server.
func (b *Back) mayStart(s *server, ready bool) {
	if ready {
		s.stopAt = time.Time{}
	} else if s.stopAt.IsZero() {
		grace := time.Duration(b.Settings.Router.DrainGrace) * time.Microsecond
		s.stopAt = time.Now().Add(max(grace-drainMargin, 0))
	}
}

var states = map[string]choice.State{"SERVING": choice.Ready, "DRAINING": choice.Draining, "DELETED": choice.Gone}

// ParseList reads discovery's form of the list. An entry that can't be used is
// passed over with a log line: one bad line must not cost the others.
func ParseList(body []byte, cells int) (list choice.List, addrs map[string]string, err error) {
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
	addrs = make(map[string]string)
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
		addrs[s.ID] = e.Get("address").String()
	}
	return list, addrs, nil
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
