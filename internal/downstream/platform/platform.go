// Package platform is the server side's protocol in service: the platform's form of
// queries and answers. It turns requests into the exchange's queries and finals into
// responses. It must never answer 429 or 503 for anything but a refusal.
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
	badPause    = 50 * time.Millisecond // after a bad query: it may come again and again
	weightSlack = 0.01                  // shares that are rounded may miss 1 by this
	// A request may have waited so long for this program, unseen, on a core that
	// others share; its client counts from when it sent. At most this share of
	// its patience is set aside for that.
	unseen      = 30 * time.Millisecond
	unseenShare = 10
	maxPatience = time.Minute // a query is not held for longer, whatever its client says
	maxID       = 128
)

var log = logs.For("front")

// Protocol implements downstream.Protocol.
type Protocol struct {
	Exchange *exchange.Exchange
	Shards   int  // 0: not told
	Segments bool // shards are segments of a map, and parts may name ranges of keys
	Classes  map[string]bool
	Ready    func() bool   // beside all else; nil: at once
	Members  func() string // what /-/members answers; nil: there is no such path
}

// Serve answers one request and tells whether the connection goes on.
func (f *Protocol) Serve(c *downstream.Conn, q *httpwire.Request, at time.Time) bool {
	keep := q.KeepAlive && !c.Closing()
	method := "GET"
	if q.Path == "/api" {
		method = "POST"
	}
	switch q.Path {
	case "/api", "/-/ready", "/-/healthy", "/-/counters":
	case "/-/members":
		if f.Members == nil {
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
		if f.Ready != nil && !f.Ready() {
			return c.WriteText(503, "nothing is known of segments or servers yet\n", keep)
		}
		return c.WriteText(200, "ready\n", keep)
	case "/-/healthy":
		return c.WriteText(200, "healthy\n", keep)
	case "/-/members":
		return c.WriteText(200, f.Members()+"\n", keep)
	case "/-/counters":
		return c.WriteText(200, f.Exchange.Counters.String()+"\n", keep)
	}
	c.NoteActivity(at)
	query, err := f.query(q, at)
	if err != nil {
		f.Exchange.Counters.MalformedRequests.Add(1)
		log.Warn("bad-query", "peer", c.Peer(), "err", err)
		if keep = c.WriteText(400, err.Error()+"\n", keep); keep {
			c.MarkIdle() // what it waits here is its own time, and it may be closed meanwhile
			time.Sleep(badPause)
		}
		return keep
	}
	c.NoteQuery()
	return c.RunQuery(query, q.KeepAlive, func(final exchange.Final, keep bool) bool { return answer(c, final, keep) })
}

// answer writes a query's final answer. 429 and 503 promise that asking again
// does no harm, so nothing but a refusal may use them.
func answer(c *downstream.Conn, f exchange.Final, keep bool) bool {
	var fields []httpwire.Field
	for _, n := range f.Notes {
		fields = append(fields, httpwire.Field{Name: "X-Note-" + n.Name, Value: n.Value})
	}
	because := "\n"
	if f.Reason != "" {
		because = ": " + f.Reason + "\n"
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
			after := strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', -1, 64)
			fields = append(fields, httpwire.Field{Name: "Retry-After", Value: after})
		}
		c.WriteText(503, "refused"+because, keep, fields...)
	case exchange.Expired:
		c.WriteText(504, "time is up\n", keep, fields...)
	default:
		c.WriteText(502, "failed"+because, keep, fields...)
	}
	return keep
}

// query reads a query out of a request.
func (f *Protocol) query(r *httpwire.Request, at time.Time) (*exchange.Query, error) {
	q := &exchange.Query{ID: r.Header.Get("X-Trace-Id"), Class: r.Header.Get("X-Qos"),
		Tenant: r.Header.Get("X-Customer"), Key: r.Header.Get("X-Object"),
		ClientRetry: r.Header.Get("X-Second-Try") == "1", ReceivedAt: at}
	if !printable(q.ID) {
		return nil, errors.New("X-Trace-Id: not a printable word of 1 to 128 characters")
	}
	if f.Classes != nil && !f.Classes[q.Class] {
		return nil, errors.New("X-Qos: not the name of a class")
	}
	patience, err := span(r.Header.Get("X-Expires-In"))
	if err != nil {
		return nil, err
	}
	q.Timeout = patience - min(unseen, patience/unseenShare)
	doc := gjson.ParseBytes(r.Body)
	if !gjson.ValidBytes(r.Body) || !doc.IsObject() {
		return nil, errors.New("body: not a JSON object")
	}
	text, shards := doc.Get("q"), doc.Get("shards")
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
			f.Shards > 0 && n >= int64(f.Shards) {
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
		p := exchange.Part{Shard: int(n), Weight: weight.Num, Key: e.Get("key").String()}
		if f.Segments {
			p.Range = placement.Range{From: e.Get("from").String(), To: e.Get("to").String()}
			if p.Key != "" && p.Range == (placement.Range{}) { // one key: from it to the next one that could be
				p.Range = placement.Range{From: p.Key, To: p.Key + "\x00"}
			}
			if len(p.Range.From) > placement.MaxKey || len(p.Range.To) > placement.MaxKey {
				return nil, errors.New("key: more than 128 bytes")
			}
		}
		if cost.Type == gjson.Number && cost.Num >= 0 && cost.Num < float64(maxPatience.Microseconds()) {
			p.Hinted, p.Cost = true, choice.Micros(cost.Num)
		}
		q.Parts = append(q.Parts, p)
	}
	if len(q.Parts) == 0 {
		return nil, errors.New("shards: empty")
	}
	if math.Abs(sum-1) > weightSlack {
		return nil, errors.New("weights: do not add up to 1")
	}
	return q, nil
}

// printable tells whether an id can stand in a frame's line.
func printable(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] >= 0x7f {
			return false
		}
	}
	return id != "" && len(id) <= maxID
}

// span reads X-Expires-In: a whole number and m for milliseconds or u for microseconds.
func span(s string) (time.Duration, error) {
	unit := time.Duration(0)
	if s != "" {
		unit = map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[s[len(s)-1]]
	}
	if unit == 0 {
		return 0, errors.New("X-Expires-In: neither m nor u behind a number")
	}
	n, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if err != nil || strings.Trim(s[:len(s)-1], "0123456789.") != "" || n <= 0 { // "Inf" and "0x1p3" are numbers to ParseFloat
		return 0, errors.New("X-Expires-In: not a number of units")
	}
	return time.Duration(min(n*float64(unit), float64(maxPatience))), nil
}
