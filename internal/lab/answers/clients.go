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
	onceMark   = "b" // the ids of requests that may run once begin so
	clientTime = 2 * time.Second
	longBody   = 200 << 10 // more than a server reads before it answers early
	leaveShare = 0.02      // of the clients' requests are left before their answer
	leaveAfter = 3 * time.Millisecond
)

// request is one try of a client.
type request struct {
	id, method, target, body string
	once, gather             bool
	leaves                   bool // the client closes its connection before the answer
}

// playClients has all clients send their requests, one after another on kept connections.
func (l *ledger) playClients(addr string) {
	var wait sync.WaitGroup
	for i := range l.plan.Clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &client{l: l, addr: addr, rng: rand.New(rand.NewPCG(l.plan.Seed, uint64(100+i)))}
			defer c.close()
			for n := range l.plan.Requests / l.plan.Clients {
				c.ask(c.draw(i, n))
			}
		}()
	}
	wait.Wait()
}

type client struct {
	l    *ledger
	addr string
	rng  *rand.Rand
	conn net.Conn
	r    *bufio.Reader
}

// draw makes a client's next request.
func (c *client) draw(client, n int) request {
	q := request{method: "GET", leaves: c.rng.Float64() < leaveShare}
	switch c.rng.IntN(5) {
	case 0, 1:
		q.once, q.method, q.target, q.body = true, "POST", "/book/x", "order"
	case 2:
		q.once, q.method, q.target, q.body = true, "POST", "/book/x", strings.Repeat("long ", longBody/5*c.rng.IntN(2)+1)
	case 3:
		q.gather, q.target = true, "/all/x"
	default:
		q.target = "/look/x"
	}
	q.id = fmt.Sprintf("r%d.%d", client, n)
	if q.once {
		q.id = onceMark + q.id
	}
	return q
}

// ask sends a request and tells the ledger what came back: 0 for a connection that ended.
func (c *client) ask(q request) {
	if c.conn == nil && !c.dial() {
		c.l.told(q, 0, "", "")
		return
	}
	c.conn.SetDeadline(time.Now().Add(clientTime))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: %s\r\nX-Saddleport-Deadline-Ms: 500\r\n", q.method, q.target, q.id)
	if q.body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	_, err := io.WriteString(c.conn, text+"\r\n"+q.body)
	if err != nil || q.leaves {
		time.Sleep(leaveAfter)
		c.close()
		c.l.told(q, 0, "", "")
		return
	}
	c.answer(q)
}

func (c *client) answer(q request) {
	p, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		c.close()
		c.l.told(q, 0, "", "")
		return
	}
	text, err := io.ReadAll(p.Body)
	if err != nil {
		c.close()
		c.l.told(q, 0, "", "")
		return
	}
	stamps := p.Header.Get("X-Saddleport-Response-Signature")
	if q.gather {
		stamps = p.Header.Get("X-Saddleport-Part-Signatures")
	}
	c.l.told(q, p.StatusCode, string(text), stamps)
	if p.Close {
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
