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

// largeResponses is a Protocol that answers /large with more bytes than the kernel buffers for a
// client that does not read.
type largeResponses struct{}

func (largeResponses) Serve(c *Conn, r *httpwire.Request, _ time.Time) bool {
	n := 2
	if r.Path == "/large" {
		n = 32 << 20
	}
	return c.WriteBytes(httpwire.AppendResponse(nil, 200, "text/plain", make([]byte, n), true))
}

// dialFrom connects to addr from the local address ip.
func dialFrom(ip, addr string) net.Conn {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: 10 * time.Second}
	c, err := d.DialContext(context.Background(), "tcp4", addr)
	So(err, ShouldBeNil)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func TestSlowLane(t *testing.T) {
	Convey("With one caller that does not read and one that does", t, func() {
		const slow, prompt = "127.0.0.2", "127.0.0.3"
		x, err := exchange.New(1, settings.Settings{Router: choice.Settings{Cells: 1, Width: 1, AttemptCap: 1, ClassesLater: true}})
		So(err, ShouldBeNil)
		observed := make(chan time.Duration, 100)
		lane := &SlowLane{MaxConns: 2, Observe: func(caller string, took time.Duration) {
			if caller == slow {
				observed <- took
			}
		}}
		s := New(Config{Exchange: x, Protocol: largeResponses{}, MaxClients: 9, SlowLane: lane, Limits: Limits{FirstRequest: time.Minute, Request: time.Minute, Idle: time.Minute}})
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		go s.Serve(ln)
		addr := ln.Addr().String()
		promptConn := dialFrom(prompt, addr) // connected before the lane fills
		defer promptConn.Close()
		third := dialFrom("127.0.0.4", addr)
		defer third.Close()
		var blocked []net.Conn
		for range 4 {
			c := dialFrom(slow, addr)
			defer c.Close()
			fmt.Fprintf(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
			blocked = append(blocked, c)
			So(<-observed, ShouldBeGreaterThanOrEqualTo, slowWriteAfter) // reported while the write is blocked, not at its end
		}
		So(lane.SetSlow(map[string]bool{slow: true}), ShouldEqual, 1)
		So(lane.InUse(), ShouldEqual, 4)

		Convey("a further connection of the slow caller is closed unread", func() {
			c := dialFrom(slow, addr)
			defer c.Close()
			fmt.Fprintf(c, "GET /small HTTP/1.1\r\nHost: h\r\n\r\n")
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			So(err, ShouldNotBeNil)
			So(lane.Rejected.Load(), ShouldBeGreaterThan, 0)
			So(s.Clients(), ShouldBeLessThanOrEqualTo, 6)
		})
		Convey("the prompt caller is served, on a new connection too", func() {
			c := dialFrom(prompt, addr)
			defer c.Close()
			for _, c := range []net.Conn{promptConn, c} {
				fmt.Fprintf(c, "GET /small HTTP/1.1\r\nHost: h\r\n\r\n")
				p, err := http.ReadResponse(bufio.NewReader(c), nil)
				So(err, ShouldBeNil)
				So(p.StatusCode, ShouldEqual, 200)
			}
		})
		Convey("a response to the slow caller is completed if it starts to read", func() {
			p, err := http.ReadResponse(bufio.NewReader(blocked[0]), nil)
			So(err, ShouldBeNil)
			n, err := io.Copy(io.Discard, p.Body)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 32<<20)
		})
		Convey("the connections of a caller that is no longer slow are not limited", func() {
			lane.SetSlow(nil)
			So(lane.InUse(), ShouldEqual, 0)
			c := dialFrom(slow, addr)
			defer c.Close()
			fmt.Fprintf(c, "GET /small HTTP/1.1\r\nHost: h\r\n\r\n")
			p, err := http.ReadResponse(bufio.NewReader(c), nil)
			So(err, ShouldBeNil)
			So(p.StatusCode, ShouldEqual, 200)
		})
	})
	Convey("The only caller with a large share of the connections never enters the lane: it may stand for many clients", t, func() {
		lane := &SlowLane{MaxConns: 2, connsByCaller: map[string]int{"10.0.0.1": 90, "10.0.0.2": 1}, conns: 91}
		So(lane.SetSlow(map[string]bool{"10.0.0.1": true}), ShouldEqual, 0)
	})
}
