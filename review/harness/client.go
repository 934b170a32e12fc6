package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Client is a stand-in for a client: a connection that it keeps for many requests.
type Client struct {
	Addr   string
	Record *Recorder
	conn   net.Conn
	reader *bufio.Reader
}

// Answer is what a client received; Status 0: the connection ended without an answer.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// Send sends one request and waits for its answer, at most for the deadline.
func (c *Client) Send(method, host, path, id, body string, deadline time.Duration) Answer {
	c.Record.Printf("client sends %s %s %s", method, path, id)
	answer := c.send(method, host, path, id, body, deadline)
	c.Record.Printf("client gets %d for %s %s", answer.Status, method, id)
	return answer
}

func (c *Client) send(method, host, path, id, body string, deadline time.Duration) Answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.Addr, time.Second)
		if err != nil {
			return Answer{}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(deadline))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Saddleport-Attempt-Id: %s\r\nX-Saddleport-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.Copy(c.conn, strings.NewReader(text+"\r\n"+body)); err != nil {
		c.Close()
		return Answer{}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.Close()
		return Answer{}
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		c.Close()
		return Answer{}
	}
	if response.Close {
		c.Close()
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(content)}
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}
