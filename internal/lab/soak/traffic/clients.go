package traffic

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"saddleport/internal/lab/soak/judge"
)

const (
	connectionsPerProxy = 3 // connections that are kept open to one proxy
	requestTimeout      = 2500 * time.Millisecond
	timeoutSlack        = 1500 * time.Millisecond // after the request's deadline, until the client cancels
	dialTimeout         = time.Second
	redialPause         = 50 * time.Millisecond
	abandonDelay        = 5 * time.Millisecond
	oneInAbandoned      = 40
	oneInPipelined      = 15
	lagTimeout          = 10 * time.Second // a change that is not seen within this time counts as not seen
	lagInterval         = 10 * time.Millisecond
)

// Clients send requests to proxies. They use a connection until it is closed.
type Clients struct {
	ProxyAddr     func(machine string) string
	IncarnationAt func(machine string, at time.Duration) int // number of starts of its proxy by then
	Current       *Current
	Recorder      *Recorder
}

// Run sends requests to one proxy until ctx ends.
func (c *Clients) Run(ctx context.Context, machine string, requestsPerSecond float64, seed uint64) {
	var connections sync.WaitGroup
	for i := range connectionsPerProxy {
		rng := rand.New(rand.NewPCG(seed, uint64(80+i)))
		connections.Go(func() {
			for ctx.Err() == nil {
				c.useConnection(ctx, machine, requestsPerSecond/connectionsPerProxy, rng)
				sleep(ctx, redialPause)
			}
		})
	}
	connections.Wait()
}

// useConnection opens a connection and sends requests on it until it is closed.
func (c *Clients) useConnection(ctx context.Context, machine string, rate float64, rng *rand.Rand) {
	conn, err := net.DialTimeout("tcp4", c.ProxyAddr(machine), dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for sleep(ctx, time.Duration(rng.ExpFloat64()/rate*float64(time.Second))) {
		batch := 1
		if rng.IntN(oneInPipelined) == 0 {
			batch = 2
		}
		if !c.sendBatch(conn, reader, machine, batch, rng) {
			return
		}
	}
}

// sendBatch sends requests in one write and reads their responses. It returns false if the
// connection cannot be used any more.
func (c *Clients) sendBatch(conn net.Conn, reader *bufio.Reader, machine string, batch int, rng *rand.Rand) (keepOpen bool) {
	var text strings.Builder
	requests := make([]judge.Request, batch)
	for i := range requests {
		prefix, route := c.Current.pickRequest(rng)
		requests[i] = judge.Request{Proxy: machine, Attempt: c.Recorder.newAttempt(), Prefix: prefix, NonIdempotent: route.NonIdempotent, Gathered: route.Gathered}
		writeRequest(&text, requests[i])
	}
	begin := c.Recorder.now()
	for i := range requests {
		requests[i].SentAt = begin
	}
	conn.SetDeadline(time.Now().Add(requestTimeout + timeoutSlack))
	defer func() { c.record(requests) }()
	if _, err := io.WriteString(conn, text.String()); err != nil {
		c.setEnd(requests)
		return false
	}
	if rng.IntN(oneInAbandoned) == 0 {
		time.Sleep(abandonDelay)
		c.setEnd(requests)
		for i := range requests {
			requests[i].Abandoned = true
		}
		return false
	}
	for i := range requests {
		last, err := readResponse(reader, &requests[i])
		requests[i].EndedAt = c.Recorder.now()
		if timeout, is := err.(net.Error); is && timeout.Timeout() {
			c.setEnd(requests[i:])
			for k := range requests[i:] {
				requests[i+k].Abandoned = true
			}
			return false
		}
		if err != nil || last {
			c.setEnd(requests[i+1:])
			for k := range requests[i+1:] { // the responses to later requests were not read, so the client abandons those requests
				requests[i+1+k].Abandoned = true
			}
			return false
		}
	}
	return true
}

func (c *Clients) setEnd(requests []judge.Request) {
	now := c.Recorder.now()
	for i := range requests {
		requests[i].EndedAt = now
	}
}

func (c *Clients) record(requests []judge.Request) {
	for i := range requests {
		r := &requests[i]
		if before, after := c.IncarnationAt(r.Proxy, r.SentAt), c.IncarnationAt(r.Proxy, r.EndedAt); before == after {
			r.Life = before
		}
	}
	c.Recorder.update(func(record *judge.Record) { record.Requests = append(record.Requests, requests...) })
}

func writeRequest(out *strings.Builder, r judge.Request) {
	fmt.Fprintf(out, "GET %sx HTTP/1.1\r\nHost: %s\r\nX-Saddleport-Attempt-Id: %s\r\nX-Saddleport-Deadline-Ms: %d\r\n\r\n", r.Prefix, host, r.Attempt, requestTimeout.Milliseconds())
}

// readResponse reads a response into its request. It returns whether it is the last one of the
// connection.
func readResponse(reader *bufio.Reader, r *judge.Request) (last bool, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return true, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return true, err
	}
	r.Status, r.Body = response.StatusCode, string(body)
	if stamp := response.Header.Get("X-Saddleport-Response-Signature"); stamp != "" {
		r.Stamps = append(r.Stamps, stamp)
	}
	for _, line := range response.Header.Values("X-Saddleport-Part-Signatures") {
		for _, stamp := range strings.Split(line, ",") {
			r.Stamps = append(r.Stamps, strings.TrimSpace(stamp))
		}
	}
	r.Missing, _ = strconv.Atoi(response.Header.Get("X-Saddleport-Missing-Parts"))
	return response.Close, nil
}

// MeasureLag requests a route that was just added from a proxy until it is served, and records the
// time since the change was acknowledged.
func (c *Clients) MeasureLag(ctx context.Context, machine, prefix string, revision int64, ackedAt time.Duration) {
	lag := Lag{Revision: revision, Proxy: machine, AckedAt: ackedAt}
	for c.Recorder.now() < ackedAt+lagTimeout && !lag.Seen {
		lag.Seen = c.requestOnce(machine, prefix)
		lag.Took = c.Recorder.now() - ackedAt
		if !lag.Seen && !sleep(ctx, lagInterval) {
			return
		}
	}
	c.Recorder.addLag(lag)
}

// requestOnce sends a request on a new connection, and reports whether the route is served.
func (c *Clients) requestOnce(machine, prefix string) bool {
	conn, err := net.DialTimeout("tcp4", c.ProxyAddr(machine), dialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(requestTimeout + timeoutSlack))
	request := judge.Request{Proxy: machine, Attempt: c.Recorder.newAttempt(), Prefix: prefix, SentAt: c.Recorder.now()}
	var text strings.Builder
	writeRequest(&text, request)
	if _, err = io.WriteString(conn, text.String()); err == nil {
		_, err = readResponse(bufio.NewReader(conn), &request)
	}
	request.EndedAt = c.Recorder.now()
	if timeout, is := err.(net.Error); is && timeout.Timeout() {
		request.Abandoned = true
	}
	c.record([]judge.Request{request})
	return request.Status == http.StatusOK
}
