package downstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/httpwire"
	"saddleport/internal/settings"
)

// large answers each request with more bytes than the kernel keeps for who does not read.
type large struct{}

func (large) Serve(c *Conn, r *httpwire.Request, _ time.Time) bool {
	n := 2
	if r.Path == "/large" {
		n = 32 << 20
	}
	return c.WriteBytes(httpwire.AppendResponse(nil, 200, "text/plain", make([]byte, n), true))
}

func from(ip, addr string) net.Conn {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: 10 * time.Second}
	c, err := d.DialContext(context.Background(), "tcp4", addr)
	So(err, ShouldBeNil)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func TestLanes(t *testing.T) {
	Convey("A caller that does not read, and one that does", t, func() {
		const slow, prompt = "127.0.0.2", "127.0.0.3"
		x, err := exchange.New(1, settings.Settings{Router: choice.Settings{Cells: 1, Width: 1, AttemptCap: 1, ClassesLater: true}})
		So(err, ShouldBeNil)
		saw := make(chan time.Duration, 100)
		l := &SlowLane{MaxConns: 2, Observe: func(caller string, took time.Duration) {
			if caller == slow {
				saw <- took
			}
		}}
		f := New(Config{Exchange: x, Protocol: large{}, MaxClients: 9, SlowLane: l, Limits: Limits{FirstRequest: time.Minute, Request: time.Minute, Idle: time.Minute}})
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		go f.Serve(ln)
		addr := ln.Addr().String()
		other := from(prompt, addr) // it is there before
		defer other.Close()
		third := from("127.0.0.4", addr)
		defer third.Close()
		var held []net.Conn
		for range 4 {
			c := from(slow, addr)
			defer c.Close()
			fmt.Fprintf(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
			held = append(held, c)
			So(<-saw, ShouldBeGreaterThanOrEqualTo, heldTime) // told while it is held up, not at its end
		}
		So(l.SetSlow(map[string]bool{slow: true}), ShouldEqual, 1)
		So(l.InUse(), ShouldEqual, 4)

		Convey("a further connection of the slow one is ended unread", func() {
			c := from(slow, addr)
			defer c.Close()
			fmt.Fprintf(c, "GET /small HTTP/1.1\r\nHost: h\r\n\r\n")
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			So(err, ShouldNotBeNil)
			So(l.Rejected.Load(), ShouldBeGreaterThan, 0)
			So(f.Clients(), ShouldBeLessThanOrEqualTo, 6)
		})
		Convey("the prompt one is served, on a new connection too", func() {
			c := from(prompt, addr)
			defer c.Close()
			for _, c := range []net.Conn{other, c} {
				fmt.Fprintf(c, "GET /small HTTP/1.1\r\nHost: h\r\n\r\n")
				p, err := http.ReadResponse(bufio.NewReader(c), nil)
				So(err, ShouldBeNil)
				So(p.StatusCode, ShouldEqual, 200)
			}
		})
		Convey("what the slow one has in hand is finished, if it reads after all", func() {
			p, err := http.ReadResponse(bufio.NewReader(held[0]), nil)
			So(err, ShouldBeNil)
			n, err := io.Copy(io.Discard, p.Body)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 32<<20)
		})
		Convey("when it is well again its connections are as all others", func() {
			l.SetSlow(nil)
			So(l.InUse(), ShouldEqual, 0)
			c := from(slow, addr)
			defer c.Close()
			fmt.Fprintf(c, "GET /small HTTP/1.1\r\nHost: h\r\n\r\n")
			p, err := http.ReadResponse(bufio.NewReader(c), nil)
			So(err, ShouldBeNil)
			So(p.StatusCode, ShouldEqual, 200)
		})
	})
	Convey("One caller that everything comes from is never set apart: it may be many", t, func() {
		l := &SlowLane{MaxConns: 2, conns: map[string]int{"10.0.0.1": 90, "10.0.0.2": 1}, all: 91}
		So(l.SetSlow(map[string]bool{"10.0.0.1": true}), ShouldEqual, 0)
	})
}
