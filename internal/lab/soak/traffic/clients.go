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
	connectionsOfClient = 3 // that are kept to one proxy
	requestPatience     = 2500 * time.Millisecond
	patienceSlack       = 1500 * time.Millisecond // beyond the deadline until the client gives up
	dialTimeout         = time.Second
	redialPause         = 50 * time.Millisecond
	abandonDelay        = 5 * time.Millisecond
	oneInAbandoned      = 40
	oneInPipelined      = 15
	lagPatience         = 10 * time.Second // a change that takes longer to be seen counts as not seen
	lagInterval         = 10 * time.Millisecond
)

// Clients ask proxies on connections that they use until these end.
type Clients struct {
	FrontOf  func(machine string) string
	LifeOf   func(machine string, at time.Duration) int // how often its proxy had been started
	Current  *Current
	Recorder *Recorder
}

// Run asks one proxy until ctx ends.
func (c *Clients) Run(ctx context.Context, machine string, requestsPerSecond float64, seed uint64) {
	var wait sync.WaitGroup
	for i := range connectionsOfClient {
		rng := rand.New(rand.NewPCG(seed, uint64(80+i)))
		wait.Go(func() {
			for ctx.Err() == nil {
				c.useConnection(ctx, machine, requestsPerSecond/connectionsOfClient, rng)
				pause(ctx, redialPause)
			}
		})
	}
	wait.Wait()
}

// useConnection opens a connection and uses it until it ends.
func (c *Clients) useConnection(ctx context.Context, machine string, rate float64, rng *rand.Rand) {
	conn, err := net.DialTimeout("tcp4", c.FrontOf(machine), dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for pause(ctx, time.Duration(rng.ExpFloat64()/rate*float64(time.Second))) {
		batch := 1
		if rng.IntN(oneInPipelined) == 0 {
			batch = 2
		}
		if !c.ask(conn, reader, machine, batch, rng) {
			return
		}
	}
}

// ask sends requests at once and reads their answers; false: the connection is at its end.
func (c *Clients) ask(conn net.Conn, reader *bufio.Reader, machine string, batch int, rng *rand.Rand) (goesOn bool) {
	var text strings.Builder
	requests := make([]judge.Request, batch)
	for i := range requests {
		prefix, route := c.Current.draw(rng)
		requests[i] = judge.Request{Proxy: machine, Attempt: c.Recorder.newAttempt(), Prefix: prefix, NonIdempotent: route.NonIdempotent, Gathered: route.Gathered}
		writeRequest(&text, requests[i])
	}
	begin := c.Recorder.now()
	for i := range requests {
		requests[i].SentAt = begin
	}
	conn.SetDeadline(time.Now().Add(requestPatience + patienceSlack))
	defer func() { c.record(requests) }()
	if _, err := io.WriteString(conn, text.String()); err != nil {
		c.end(requests)
		return false
	}
	if rng.IntN(oneInAbandoned) == 0 {
		time.Sleep(abandonDelay)
		c.end(requests)
		for i := range requests {
			requests[i].Abandoned = true
		}
		return false
	}
	for i := range requests {
		last, err := readAnswer(reader, &requests[i])
		requests[i].EndedAt = c.Recorder.now()
		if timeout, is := err.(net.Error); is && timeout.Timeout() {
			c.end(requests[i:])
			for k := range requests[i:] {
				requests[i+k].Abandoned = true
			}
			return false
		}
		if err != nil || last {
			c.end(requests[i+1:])
			for k := range requests[i+1:] { // those behind were not read, or their answers would come
				requests[i+1+k].Abandoned = true
			}
			return false
		}
	}
	return true
}

func (c *Clients) end(requests []judge.Request) {
	now := c.Recorder.now()
	for i := range requests {
		requests[i].EndedAt = now
	}
}

func (c *Clients) record(requests []judge.Request) {
	for i := range requests {
		r := &requests[i]
		if before, after := c.LifeOf(r.Proxy, r.SentAt), c.LifeOf(r.Proxy, r.EndedAt); before == after {
			r.Life = before
		}
	}
	c.Recorder.update(func(record *judge.Record) { record.Requests = append(record.Requests, requests...) })
}

func writeRequest(out *strings.Builder, r judge.Request) {
	fmt.Fprintf(out, "GET %sx HTTP/1.1\r\nHost: %s\r\nX-Saddleport-Attempt-Id: %s\r\nX-Saddleport-Deadline-Ms: %d\r\n\r\n", r.Prefix, host, r.Attempt, requestPatience.Milliseconds())
}

// readAnswer reads one answer into its request; last: the connection ends with it.
func readAnswer(reader *bufio.Reader, r *judge.Request) (last bool, err error) {
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return true, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return true, err
	}
	r.Status, r.Body = answer.StatusCode, string(body)
	if stamp := answer.Header.Get("X-Saddleport-Response-Signature"); stamp != "" {
		r.Stamps = append(r.Stamps, stamp)
	}
	for _, line := range answer.Header.Values("X-Saddleport-Part-Signatures") {
		for _, stamp := range strings.Split(line, ",") {
			r.Stamps = append(r.Stamps, strings.TrimSpace(stamp))
		}
	}
	r.Missing, _ = strconv.Atoi(answer.Header.Get("X-Saddleport-Missing-Parts"))
	return answer.Close, nil
}

// MeasureLag asks a proxy for a route that was just added until it is served, and notes how long
// that took after the acknowledgement.
func (c *Clients) MeasureLag(ctx context.Context, machine, prefix string, revision int64, ackedAt time.Duration) {
	lag := Lag{Revision: revision, Proxy: machine, AckedAt: ackedAt}
	for c.Recorder.now() < ackedAt+lagPatience && !lag.Seen {
		lag.Seen = c.askOnce(machine, prefix)
		lag.Took = c.Recorder.now() - ackedAt
		if !lag.Seen && !pause(ctx, lagInterval) {
			return
		}
	}
	c.Recorder.addLag(lag)
}

// askOnce asks on a connection of its own; true: the route is known.
func (c *Clients) askOnce(machine, prefix string) bool {
	conn, err := net.DialTimeout("tcp4", c.FrontOf(machine), dialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(requestPatience + patienceSlack))
	request := judge.Request{Proxy: machine, Attempt: c.Recorder.newAttempt(), Prefix: prefix, SentAt: c.Recorder.now()}
	var text strings.Builder
	writeRequest(&text, request)
	if _, err = io.WriteString(conn, text.String()); err == nil {
		_, err = readAnswer(bufio.NewReader(conn), &request)
	}
	request.EndedAt = c.Recorder.now()
	if timeout, is := err.(net.Error); is && timeout.Timeout() {
		request.Abandoned = true
	}
	c.record([]judge.Request{request})
	return request.Status == http.StatusOK
}
