// Package httpserver is the server side's protocol in the system: HTTP/1.1 requests on routes
// of the configuration in force. It owns how a request becomes a query of the exchange,
// how parts are merged into one answer, and what the client is told. It must never answer
// 429 or 503 for a request that may have run, put parts of two versions of the
// configuration into one answer, or hold back an answer that is due.
package httpserver

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"saddleport/internal/downstream"
	"saddleport/internal/exchange"
	"saddleport/internal/httpwire"
)

const (
	headID       = "X-Saddleport-Attempt-Id"
	headDeadline = "X-Saddleport-Deadline-Ms"
	headTarget   = "X-Saddleport-Target-Instance"
	headStamps   = "X-Saddleport-Part-Signatures"
	headMissing  = "X-Saddleport-Missing-Parts"

	mostPatience = 5 * time.Minute
	maxID        = 200
	recordBytes  = 16
	lateRetry    = 250 * time.Millisecond // advice where there is no configuration yet
	endingRetry  = 50 * time.Millisecond  // advice of a process that ends: others are there
	mostAfter    = 30 * time.Second       // advice to a caller whose allowance is used up
	shareOfTime  = 0.02                   // of a client's patience, set aside for the way back
)

// Handler implements downstream.Protocol.
type Handler struct {
	Exchange *exchange.Exchange
	Unrouted atomic.Int64 // requests that no route is for
	// Allow takes a request off an allowance, or tells when one may be admitted; nil: there
	// are no allowances.
	Allow func(name string) (ok bool, after time.Duration)

	plan   atomic.Pointer[Plan]
	number atomic.Int64
}

// SetPlan puts a plan in force for the requests that come from now on.
func (g *Handler) SetPlan(p *Plan) { g.plan.Store(p) }

// Plan returns the plan in force; nil: there is none yet.
func (g *Handler) Plan() *Plan { return g.plan.Load() }

// Serve implements downstream.Protocol.
func (g *Handler) Serve(c *downstream.Conn, r *httpwire.Request, at time.Time) bool {
	keep := r.KeepAlive && !c.Closing()
	c.NoteActivity(at)
	if c.Rejecting() {
		return c.WriteText(503, "this process is about to end\n", false, retry(endingRetry))
	}
	p := g.plan.Load()
	if p == nil {
		return c.WriteText(503, "no configuration yet\n", keep, retry(lateRetry))
	}
	route := p.Config.MatchRoute(r.Header.Get("Host"), r.Path)
	if route == nil {
		g.Unrouted.Add(1)
		return c.WriteText(404, "no such route\n", keep)
	}
	c.NoteQuery()
	if len(p.Config.Allowances) > 0 && g.Allow != nil {
		// Before anything of it is sent: who is turned away here has had nothing of it done.
		if a := p.Config.MatchAllowance(route, r.Header.Get); a != nil {
			if ok, after := g.Allow(a.Name); !ok {
				after = min(after, mostAfter)
				return c.WriteText(429, fmt.Sprintf("not done: the allowance %s (%g requests a second) is used up; come back in %.1f s\n", a.Name, a.Rate, after.Seconds()), keep, retry(after))
			}
		}
	}
	l := p.lanes[route]
	q := &exchange.Query{ID: r.Header.Get(headID), Class: l.class, ReceivedAt: at, FanOut: len(route.FanoutServices) > 0,
		NonIdempotent: !route.Idempotent, MinShare: route.MinSuccessRatio}
	if q.ID == "" || len(q.ID) > maxID {
		q.ID = "~" + strconv.FormatInt(g.number.Add(1), 10)
	}
	if q.Timeout = route.Timeout; true {
		if ms, err := strconv.ParseFloat(r.Header.Get(headDeadline), 64); err == nil && ms >= 0 {
			told := time.Duration(min(ms, float64(mostPatience.Milliseconds())) * float64(time.Millisecond))
			q.Timeout = min(q.Timeout, told-time.Duration(float64(told)*shareOfTime))
		}
	}
	if q.FanOut {
		q.Parts = make([]exchange.Part, len(l.shards))
		for i, shard := range l.shards {
			q.Parts[i] = exchange.Part{Shard: shard, Weight: 1 / float64(len(l.shards))}
		}
	} else {
		i := l.pick(rand.Float64())
		q.Class = l.classes[i]
		q.Parts = []exchange.Part{{Shard: l.shards[i], Weight: 1}}
	}
	q.Text = request(r, q.ID)
	return c.RunQuery(q, r.KeepAlive, func(f exchange.Final, keep bool) bool {
		if f.Ending == exchange.Answered {
			if q.FanOut {
				return c.WriteBytes(merge(f.Hits, len(q.Parts), route.ResultLimit, keep))
			}
			return c.WriteBytes(closing(f.Hits[0].Value, keep))
		}
		return g.fail(c, f, keep)
	})
}

func retry(after time.Duration) httpwire.Field {
	return httpwire.Field{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', -1, 64)}
}

// fail answers a request that has no answer: with 503 and a time to come back where it
// has not run and never will, else with what its server said, or 502 or 504.
func (g *Handler) fail(c *downstream.Conn, f exchange.Final, keep bool) bool {
	switch {
	case !f.MayHaveRun && f.Ending != exchange.ClientGone:
		return c.WriteText(503, "refused\n", keep, retry(cmp.Or(f.RetryAfter, lateRetry)))
	case f.FailureValue != "":
		return c.WriteBytes(closing(f.FailureValue, keep))
	case f.Ending == exchange.Expired:
		return c.WriteText(504, "time is up\n", keep)
	}
	return c.WriteText(502, "failed\n", keep)
}

// closing ends the head of an answer that a server gave.
func closing(value string, keep bool) []byte {
	at := strings.Index(value, "\r\n\r\n") + 2
	b := make([]byte, 0, len(value)+24)
	b = append(b, value[:at]...)
	if !keep {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, value[at:]...)
}

// merge makes one answer of the parts that are in: the greatest records, falling.
func merge(hits []exchange.Hit, parts, limit int, keep bool) []byte {
	stamps := make([]string, 0, len(hits))
	var records []string
	for _, h := range hits {
		stamp, body, _ := strings.Cut(h.Value, "\n")
		stamps = append(stamps, stamp)
		for ; len(body) >= recordBytes; body = body[recordBytes:] {
			records = append(records, body[:recordBytes])
		}
	}
	slices.SortFunc(records, func(a, b string) int { return cmp.Compare(b, a) })
	records = records[:min(len(records), max(limit, 0))]
	fields := []httpwire.Field{{Name: headStamps, Value: strings.Join(stamps, ", ")}}
	if missing := parts - len(hits); missing > 0 {
		fields = append(fields, httpwire.Field{Name: headMissing, Value: strconv.Itoa(missing)})
	}
	return httpwire.AppendResponse(nil, 200, "application/octet-stream", []byte(strings.Join(records, "")), keep, fields...)
}

// Of one connection only, or told anew for each send.
var dropped = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
	headID: true, headDeadline: true, headTarget: true}

// request writes what a server is sent, but for what each send adds to the head:
// "...\r\n" + "\r\n" + body.
func request(r *httpwire.Request, id string) string {
	var b strings.Builder
	b.Grow(len(r.Body) + len(r.Target) + 256)
	field := func(name, value string) {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(value)
		b.WriteString("\r\n")
	}
	b.WriteString(r.Method)
	b.WriteString(" ")
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\n")
	field("Host", r.Header.Get("Host"))
	if id[0] != '~' {
		field(headID, id)
	}
	var own []string
	for _, v := range r.Header["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			own = append(own, strings.TrimSpace(option))
		}
	}
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		if !dropped[name] && !slices.ContainsFunc(own, func(o string) bool { return strings.EqualFold(o, name) }) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		for _, v := range r.Header[name] {
			field(name, v)
		}
	}
	if len(r.Body) > 0 || r.Header.Get("Content-Length") != "" || r.Header.Get("Transfer-Encoding") != "" {
		field("Content-Length", strconv.Itoa(len(r.Body)))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.String()
}
