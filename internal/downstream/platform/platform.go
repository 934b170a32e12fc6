// Package platform is the downstream protocol of the proxy in service: queries and answers in
// the platform's format. It turns HTTP requests into queries of the exchange and their results
// into responses. It must never answer 429 or 503 for anything but a rejected query.
package platform

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"saddleport/choice"
	"saddleport/internal/core/placement"
	"saddleport/internal/downstream"
	"saddleport/internal/exchange"
	"saddleport/internal/httpwire"
	"saddleport/internal/logs"
)

const (
	malformedDelay  = 50 * time.Millisecond // after a malformed query, because a client may repeat it again and again
	weightTolerance = 0.01                  // the sum of rounded weights may differ from 1 by this much
	// A request may have waited up to readDelay for this process to be scheduled on a shared
	// core, while its client measures from the time of sending. That much is subtracted from
	// the client's timeout, but at most one part in readDelayDivisor of it.
	readDelay        = 30 * time.Millisecond
	readDelayDivisor = 10
	maxTimeout       = time.Minute // upper bound on a query's timeout, whatever its client asks for
	maxIDLength      = 128
)

var log = logs.For("front")

// Protocol implements downstream.Protocol.
type Protocol struct {
	Exchange *exchange.Exchange
	Shards   int             // 0: unknown
	Segments bool            // shards are segments of a placement map, and parts may name key ranges
	Classes  map[string]bool // nil: any class is accepted
	Ready    func() bool     // a further condition of readiness; nil: none
	Members  func() string   // body of /-/members; nil: the path does not exist
}

// Serve answers one request, whose first byte arrived at the time at, and reports whether the
// connection stays open.
func (p *Protocol) Serve(c *downstream.Conn, q *httpwire.Request, at time.Time) bool {
	keep := q.KeepAlive && !c.Closing()
	method := "GET"
	if q.Path == "/api" {
		method = "POST"
	}
	switch q.Path {
	case "/api", "/-/ready", "/-/healthy", "/-/counters":
	case "/-/members":
		if p.Members == nil {
			return c.WriteText(404, "no such path\n", keep)
		}
	default:
		return c.WriteText(404, "no such path\n", keep)
	}
	if q.Method != method {
		return c.WriteText(405, "only "+method+" here\n", keep, httpwire.Field{Name: "Allow", Value: method})
	}
	switch q.Path {
	case "/-/ready":
		if c.NotReady() {
			return c.WriteText(503, "stopping\n", false)
		}
		if p.Ready != nil && !p.Ready() {
			return c.WriteText(503, "nothing is known of segments or servers yet\n", keep)
		}
		return c.WriteText(200, "ready\n", keep)
	case "/-/healthy":
		return c.WriteText(200, "healthy\n", keep)
	case "/-/members":
		return c.WriteText(200, p.Members()+"\n", keep)
	case "/-/counters":
		return c.WriteText(200, p.Exchange.Counters.String()+"\n", keep)
	}
	c.NoteActivity(at)
	query, err := p.query(q, at)
	if err != nil {
		p.Exchange.Counters.MalformedRequests.Add(1)
		log.Warn("bad-query", "peer", c.Peer(), "err", err)
		if keep = c.WriteText(400, err.Error()+"\n", keep); keep {
			c.MarkIdle() // the delay counts as idle time, so the connection may be closed meanwhile
			time.Sleep(malformedDelay)
		}
		return keep
	}
	c.NoteQuery()
	return c.RunQuery(query, q.KeepAlive, func(final exchange.Final, keep bool) bool { return answer(c, final, keep) })
}

// answer writes the response to a query that has ended. 429 and 503 promise the client that it
// may safely repeat the query, so only a rejected query may get them.
func answer(c *downstream.Conn, f exchange.Final, keep bool) bool {
	var fields []httpwire.Field
	for _, n := range f.Notes {
		fields = append(fields, httpwire.Field{Name: "X-Note-" + n.Name, Value: n.Value})
	}
	reason := "\n"
	if f.Reason != "" {
		reason = ": " + f.Reason + "\n"
	}
	switch f.Ending {
	case exchange.Answered:
		body := []byte(`{"complete":`)
		body = strconv.AppendBool(body, f.Complete)
		body = append(body, `,"hits":[`...)
		for i, h := range f.Hits {
			if i > 0 {
				body = append(body, ',')
			}
			body = append(body, `{"shard":`...)
			body = strconv.AppendInt(body, int64(h.Shard), 10)
			body = append(body, `,"doc":`...)
			body = gjson.AppendJSONString(body, h.Value)
			for j, shard := range h.AlsoIn {
				body = append(body, []string{`,"in":[`, ","}[min(j, 1)]...)
				body = strconv.AppendInt(body, int64(shard), 10)
			}
			if len(h.AlsoIn) > 0 {
				body = append(body, ']')
			}
			for j, r := range h.Covers {
				body = append(body, []string{`,"covers":[`, ","}[min(j, 1)]...)
				body = gjson.AppendJSONString(append(body, `{"from":`...), r.From)
				body = gjson.AppendJSONString(append(body, `,"to":`...), r.To)
				body = append(body, '}')
			}
			if len(h.Covers) > 0 {
				body = append(body, ']')
			}
			body = append(body, '}')
		}
		body = append(body, "]}"...)
		return c.WriteBytes(httpwire.AppendResponse(nil, 200, "application/json", body, keep, fields...))
	case exchange.Refused:
		if f.RetryAfter > 0 {
			retryAfter := strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', -1, 64)
			fields = append(fields, httpwire.Field{Name: "Retry-After", Value: retryAfter})
		}
		c.WriteText(503, "refused"+reason, keep, fields...)
	case exchange.Expired:
		c.WriteText(504, "time is up\n", keep, fields...)
	default:
		c.WriteText(502, "failed"+reason, keep, fields...)
	}
	return keep
}

// query parses a request into a query. Its error is the body of the 400 response.
func (p *Protocol) query(r *httpwire.Request, at time.Time) (*exchange.Query, error) {
	q := &exchange.Query{ID: r.Header.Get("X-Trace-Id"), Class: r.Header.Get("X-Qos"),
		Tenant: r.Header.Get("X-Customer"), Key: r.Header.Get("X-Object"),
		ClientRetry: r.Header.Get("X-Second-Try") == "1", ReceivedAt: at}
	if !validID(q.ID) {
		return nil, errors.New("X-Trace-Id: not a printable word of 1 to 128 characters")
	}
	if p.Classes != nil && !p.Classes[q.Class] {
		return nil, errors.New("X-Qos: not the name of a class")
	}
	timeout, err := parseTimeout(r.Header.Get("X-Expires-In"))
	if err != nil {
		return nil, err
	}
	q.Timeout = timeout - min(readDelay, timeout/readDelayDivisor)
	body := gjson.ParseBytes(r.Body)
	if !gjson.ValidBytes(r.Body) || !body.IsObject() {
		return nil, errors.New("body: not a JSON object")
	}
	text, shards := body.Get("q"), body.Get("shards")
	if text.Type != gjson.String {
		return nil, errors.New("q: not a string")
	}
	q.Text = text.String()
	if !shards.IsArray() {
		return nil, errors.New("shards: not a list")
	}
	seen, sum := make(map[int]bool), 0.0
	for _, e := range shards.Array() {
		shard, weight, cost := e.Get("shard"), e.Get("weight"), e.Get("cost")
		n := shard.Int()
		if shard.Type != gjson.Number || shard.Num != math.Trunc(shard.Num) || shard.Num < 0 || n < 0 || n > math.MaxInt32 ||
			p.Shards > 0 && n >= int64(p.Shards) {
			return nil, errors.New("shard: not the number of a shard")
		}
		if seen[int(n)] {
			return nil, errors.New("shard: named twice")
		}
		seen[int(n)] = true
		if weight.Type != gjson.Number || !(weight.Num > 0 && weight.Num <= 1) {
			return nil, errors.New("weight: not a share")
		}
		sum += weight.Num
		part := exchange.Part{Shard: int(n), Weight: weight.Num, Key: e.Get("key").String()}
		if p.Segments {
			part.Range = placement.Range{From: e.Get("from").String(), To: e.Get("to").String()}
			if part.Key != "" && part.Range == (placement.Range{}) { // a single key is the range up to its immediate successor
				part.Range = placement.Range{From: part.Key, To: part.Key + "\x00"}
			}
			if len(part.Range.From) > placement.MaxKey || len(part.Range.To) > placement.MaxKey {
				return nil, errors.New("key: more than 128 bytes")
			}
		}
		if cost.Type == gjson.Number && cost.Num >= 0 && cost.Num < float64(maxTimeout.Microseconds()) {
			part.Hinted, part.Cost = true, choice.Micros(cost.Num)
		}
		q.Parts = append(q.Parts, part)
	}
	if len(q.Parts) == 0 {
		return nil, errors.New("shards: empty")
	}
	if math.Abs(sum-1) > weightTolerance {
		return nil, errors.New("weights: do not add up to 1")
	}
	return q, nil
}

// validID reports whether an id can be written in the line of a frame.
func validID(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] >= 0x7f {
			return false
		}
	}
	return id != "" && len(id) <= maxIDLength
}

// parseTimeout parses X-Expires-In: a decimal number followed by m for milliseconds or u for
// microseconds. The result is at most maxTimeout.
func parseTimeout(s string) (time.Duration, error) {
	unit := time.Duration(0)
	if s != "" {
		unit = map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[s[len(s)-1]]
	}
	if unit == 0 {
		return 0, errors.New("X-Expires-In: neither m nor u behind a number")
	}
	n, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if err != nil || strings.Trim(s[:len(s)-1], "0123456789.") != "" || n <= 0 { // ParseFloat accepts "Inf" and "0x1p3" too
		return 0, errors.New("X-Expires-In: not a number of units")
	}
	return time.Duration(min(n*float64(unit), float64(maxTimeout))), nil
}
