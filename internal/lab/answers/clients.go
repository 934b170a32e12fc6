package answers

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	nonIdempotentPrefix = "b" // starts the ids of non-idempotent requests
	clientTimeout       = 2 * time.Second
	longBody            = 200 << 10 // exceeds what a server reads before it responds early
	leaveShare          = 0.02      // share of requests whose client disconnects before the response
	leaveAfter          = 3 * time.Millisecond
)

// request is one request of a client.
type request struct {
	id, method, target, body string
	nonIdempotent, fanout    bool
	disconnects              bool // the client closes its connection before the response
}

// runClients has all clients send their requests, each one request at a time on a
// persistent connection.
func (rec *recorder) runClients(addr string) {
	var clients sync.WaitGroup
	for i := range rec.plan.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &client{rec: rec, addr: addr, rng: rand.New(rand.NewPCG(rec.plan.Seed, uint64(100+i)))}
			defer c.close()
			for n := range rec.plan.Requests / rec.plan.Clients {
				c.send(c.nextRequest(i, n))
			}
		}()
	}
	clients.Wait()
}

type client struct {
	rec  *recorder
	addr string
	rng  *rand.Rand
	conn net.Conn
	r    *bufio.Reader
}

// nextRequest returns the n-th request of a client, of a random kind.
func (c *client) nextRequest(client, n int) request {
	q := request{method: "GET", disconnects: c.rng.Float64() < leaveShare}
	switch c.rng.IntN(5) {
	case 0, 1:
		q.nonIdempotent, q.method, q.target, q.body = true, "POST", "/book/x", "order"
	case 2:
		q.nonIdempotent, q.method, q.target, q.body = true, "POST", "/book/x", strings.Repeat("long ", longBody/5*c.rng.IntN(2)+1)
	case 3:
		q.fanout, q.target = true, "/all/x"
	default:
		q.target = "/look/x"
	}
	q.id = fmt.Sprintf("r%d.%d", client, n)
	if q.nonIdempotent {
		q.id = nonIdempotentPrefix + q.id
	}
	return q
}

// send sends a request and records its outcome: status 0 for a connection that ended.
func (c *client) send(q request) {
	if c.conn == nil && !c.dial() {
		c.rec.recordOutcome(q, 0, "", "")
		return
	}
	c.conn.SetDeadline(time.Now().Add(clientTimeout))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: %s\r\nX-Saddleport-Deadline-Ms: 500\r\n", q.method, q.target, q.id)
	if q.body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	_, err := io.WriteString(c.conn, text+"\r\n"+q.body)
	if err != nil || q.disconnects {
		time.Sleep(leaveAfter)
		c.close()
		c.rec.recordOutcome(q, 0, "", "")
		return
	}
	c.readResponse(q)
}

func (c *client) readResponse(q request) {
	response, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		c.close()
		c.rec.recordOutcome(q, 0, "", "")
		return
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.close()
		c.rec.recordOutcome(q, 0, "", "")
		return
	}
	signatures := response.Header.Get("X-Saddleport-Response-Signature")
	if q.fanout {
		signatures = response.Header.Get("X-Saddleport-Part-Signatures")
	}
	c.rec.recordOutcome(q, response.StatusCode, string(text), signatures)
	if response.Close {
		c.close()
	}
}

func (c *client) dial() bool {
	conn, err := net.DialTimeout("tcp4", c.addr, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return true
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
