// Package httpserver is the downstream protocol of the proxies that package node/proxy runs:
// HTTP/1.1 requests on the routes of the configuration in force. It owns how a request becomes a query of the exchange, how
// parts are merged into one response, and what the client receives. It must never answer 429
// or 503 for a request that may have run, combine parts of two versions of the configuration
// in one response, or delay a response that is due.
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
	headerAttemptID      = "X-Saddleport-Attempt-Id"
	headerDeadline       = "X-Saddleport-Deadline-Ms"
	headerTarget         = "X-Saddleport-Target-Instance"
	headerPartSignatures = "X-Saddleport-Part-Signatures"
	headerMissingParts   = "X-Saddleport-Missing-Parts"

	maxDeadline        = 5 * time.Minute
	maxAttemptIDLength = 200                    // of an id by which the exchange tells requests apart; a longer one is only passed on
	generatedIDPrefix  = " "                    // of the exchange's ids for other requests; no header value begins with a space
	recordSize         = 16                     // bytes of a record in the answer to a part
	defaultRetryAfter  = 250 * time.Millisecond // used while there is no configuration, and if the exchange gives no time
	shutdownRetryAfter = 50 * time.Millisecond  // from a process that is shutting down: other proxies are available
	maxRetryAfter      = 30 * time.Second       // for a caller whose allowance is used up
	responseReserve    = 0.02                   // fraction of a client's deadline reserved for the transfer of the response
)

// Handler implements downstream.Protocol.
type Handler struct {
	Exchange *exchange.Exchange
	Unrouted atomic.Int64 // requests that match no route
	// Allow counts one request against the allowance with the given name, a limit on requests
	// a second. If the allowance is used up, Allow returns false and the time after which a
	// request may be admitted. nil: allowances are not enforced.
	Allow func(name string) (ok bool, after time.Duration)

	plan   atomic.Pointer[Plan]
	number atomic.Int64 // number of the last request that got a generated id
}

// SetPlan puts a plan in force for the requests that arrive from now on.
func (h *Handler) SetPlan(p *Plan) { h.plan.Store(p) }

// Plan returns the plan in force, or nil if there is none yet.
func (h *Handler) Plan() *Plan { return h.plan.Load() }

// Serve implements downstream.Protocol. A request without a usable id gets a generated one for the exchange,
// which is not sent to servers.
func (h *Handler) Serve(c *downstream.Conn, r *httpwire.Request, at time.Time) bool {
	keep := r.KeepAlive && !c.Closing()
	c.NoteActivity(at)
	if c.Rejecting() {
		return c.WriteText(503, "this process is about to end\n", false, retryAfter(shutdownRetryAfter))
	}
	p := h.plan.Load()
	if p == nil {
		return c.WriteText(503, "no configuration yet\n", keep, retryAfter(defaultRetryAfter))
	}
	route := p.Config.MatchRoute(r.Header.Get("Host"), r.Path)
	if route == nil {
		h.Unrouted.Add(1)
		return c.WriteText(404, "no such route\n", keep)
	}
	c.NoteQuery()
	if len(p.Config.Allowances) > 0 && h.Allow != nil {
		// The allowance is checked before anything is sent, so a request that is rejected here
		// has not run, not even in part.
		if a := p.Config.MatchAllowance(route, r.Header.Get); a != nil {
			if ok, after := h.Allow(a.Name); !ok {
				after = min(after, maxRetryAfter)
				return c.WriteText(429, fmt.Sprintf("not done: the allowance %s (%g requests a second) is used up; come back in %.1f s\n", a.Name, a.Rate, after.Seconds()), keep, retryAfter(after))
			}
		}
	}
	targets := p.targets[route]
	q := &exchange.Query{ID: r.Header.Get(headerAttemptID), UpstreamID: r.Header.Get(headerAttemptID), Class: targets.class, ReceivedAt: at, FanOut: len(route.FanoutServices) > 0,
		NonIdempotent: !route.Idempotent, MinShare: route.MinSuccessRatio}
	if q.ID == "" || len(q.ID) > maxAttemptIDLength {
		q.ID = generatedIDPrefix + strconv.FormatInt(h.number.Add(1), 10)
	}
	if q.Timeout = route.Timeout; true {
		if ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64); err == nil && ms >= 0 {
			requested := time.Duration(min(ms, float64(maxDeadline.Milliseconds())) * float64(time.Millisecond))
			q.Timeout = min(q.Timeout, requested-time.Duration(float64(requested)*responseReserve))
		}
	}
	if q.FanOut {
		q.Parts = make([]exchange.Part, len(targets.shards))
		for i, shard := range targets.shards {
			q.Parts[i] = exchange.Part{Shard: shard, Weight: 1 / float64(len(targets.shards))}
		}
	} else {
		i := targets.pick(rand.Float64())
		q.Class = targets.classes[i]
		q.Parts = []exchange.Part{{Shard: targets.shards[i], Weight: 1}}
	}
	q.Text = upstreamRequest(r, q.UpstreamID)
	return c.RunQuery(q, r.KeepAlive, func(f exchange.Final, keep bool) bool {
		if f.Ending == exchange.Answered {
			if q.FanOut {
				return c.WriteBytes(mergeParts(f.Hits, len(q.Parts), route.ResultLimit, keep))
			}
			return c.WriteBytes(completeHead(f.Hits[0].Value, keep))
		}
		return h.fail(c, f, keep)
	})
}

func retryAfter(after time.Duration) httpwire.Field {
	return httpwire.Field{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', -1, 64)}
}

// fail answers a request that ended without success. If the request has not run and never
// will, the response is 503 with Retry-After. Otherwise the response is that of a server that
// failed, if there is one; else 504 if the deadline has passed, and 502 in all other cases.
func (h *Handler) fail(c *downstream.Conn, f exchange.Final, keep bool) bool {
	switch {
	case !f.MayHaveRun && f.Ending != exchange.ClientGone:
		return c.WriteText(503, "refused\n", keep, retryAfter(cmp.Or(f.RetryAfter, defaultRetryAfter)))
	case f.FailureValue != "":
		return c.WriteBytes(completeHead(f.FailureValue, keep))
	case f.Ending == exchange.Expired:
		return c.WriteText(504, "time is up\n", keep)
	}
	return c.WriteText(502, "failed\n", keep)
}

// completeHead completes the head of a response from a server: if the connection is not kept,
// it adds Connection: close.
func completeHead(value string, keep bool) []byte {
	at := strings.Index(value, "\r\n\r\n") + 2
	b := make([]byte, 0, len(value)+24)
	b = append(b, value[:at]...)
	if !keep {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, value[at:]...)
}

// mergeParts builds one response from the parts that have been answered: at most limit
// records, the greatest first.
func mergeParts(hits []exchange.Hit, parts, limit int, keep bool) []byte {
	signatures := make([]string, 0, len(hits))
	var records []string
	for _, h := range hits {
		signature, body, _ := strings.Cut(h.Value, "\n")
		signatures = append(signatures, signature)
		for ; len(body) >= recordSize; body = body[recordSize:] {
			records = append(records, body[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b string) int { return cmp.Compare(b, a) })
	records = records[:min(len(records), max(limit, 0))]
	fields := []httpwire.Field{{Name: headerPartSignatures, Value: strings.Join(signatures, ", ")}}
	if missing := parts - len(hits); missing > 0 {
		fields = append(fields, httpwire.Field{Name: headerMissingParts, Value: strconv.Itoa(missing)})
	}
	return httpwire.AppendResponse(nil, 200, "application/octet-stream", []byte(strings.Join(records, "")), keep, fields...)
}

// notForwarded are the request headers that are not passed on: hop-by-hop headers, and those
// that the proxy sets itself.
var notForwarded = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
	headerAttemptID: true, headerDeadline: true, headerTarget: true}

// upstreamRequest serializes the request for a server: "...\r\n" + "\r\n" + body. It leaves out
// the headers that httpclient adds at the end of the head for each attempt.
func upstreamRequest(r *httpwire.Request, id string) string {
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
	if id != "" {
		field(headerAttemptID, id)
	}
	var connectionOptions []string
	for _, v := range r.Header["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			connectionOptions = append(connectionOptions, strings.TrimSpace(option))
		}
	}
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		if !notForwarded[name] && !slices.ContainsFunc(connectionOptions, func(o string) bool { return strings.EqualFold(o, name) }) {
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
