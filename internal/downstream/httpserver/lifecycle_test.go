package httpserver_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/standin"
)

// A server may answer before it has read a long body and read on later: until the body is
// written whole nothing else goes out on that connection, and nobody waits for it.
func TestEarlyAnswer(t *testing.T) {
	Convey("A server that answers early and reads no further for a while", t, func() {
		p := newProxy(t, nil)
		p.charter(strings.Replace(four, `"services"`, `"limits":{"max_header_bytes":16384,"max_body_bytes":8388608,"header_timeout_ms":3000,"idle_timeout_ms":15000},"services"`, 1))
		release := make(chan struct{})
		defer close(release)
		s, err := standin.NewServer("i-one", func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "ok"} })
		So(err, ShouldBeNil)
		first := true
		answered := make(chan struct{})
		s.Early = func(seen standin.Seen) *standin.Reply {
			if seen.Attempt != "long" || !first {
				return nil
			}
			first = false
			close(answered)
			return &standin.Reply{Status: 503, Not: true, Then: release}
		}
		s.Window.Store(8 << 10)
		heard := make(chan choice.Verdict, 99)
		p.x.OnAttemptEnd = func(h exchange.AttemptResult) { heard <- h.Verdict }
		t.Cleanup(s.Close)
		p.server("one", s)
		c, _ := p.client()
		go fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: long\r\nX-Saddleport-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s", 6<<20, strings.Repeat("x", 6<<20))
		<-answered
		d, rd := p.client()
		for i := range 3 {
			ans, body := ask(t, d, rd, "GET", "/look/y", fmt.Sprint("after", i), "")
			So(ans.StatusCode, ShouldEqual, 200)
			So(body, ShouldEqual, "ok")
		}
		for range 1 + 3 { // a write behind the one that hangs would fail with it
			So(<-heard, ShouldBeIn, choice.Rejected, choice.Served)
		}
		long := s.Seen()[0]
		So(long.Attempt, ShouldEqual, "long")
		for _, seen := range s.Seen()[1:] {
			So(seen.Attempt, ShouldStartWith, "after")
			So(seen.Conn, ShouldNotEqual, long.Conn)
		}
	})
}

// From the moment that a proxy refuses on its way out, a request is turned away plainly and its
// connection closed; what is in hand when the grace is over is answered, not cut.
func TestNothingTakenThatCannotBeFinished(t *testing.T) {
	Convey("A proxy that is about to end", t, func() {
		hold, reached := make(chan struct{}), make(chan struct{}, 9)
		p, s, c, r := one(t, func(int, standin.Seen) standin.Reply {
			reached <- struct{}{}
			return standin.Reply{Body: "ok", Hold: hold}
		})
		defer close(hold)
		late, lateR := p.client()
		fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: in-hand\r\nX-Saddleport-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n")
		<-reached
		p.front.RejectRequests()
		ans, _ := ask(t, late, lateR, "POST", "/book/2", "too-late", "x")
		So(ans.StatusCode, ShouldEqual, 503)
		So(ans.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(ans.Close, ShouldBeTrue)
		So(s.Seen(), ShouldHaveLength, 1)
		p.front.ExpireRequests()
		ans, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		So(ans.StatusCode, ShouldEqual, 504) // it may have run
		So(ans.Close, ShouldBeTrue)
	})
}

// A server need not work on for a client that has left.
func TestClientLeaves(t *testing.T) {
	Convey("A client that leaves", t, func() {
		hold, reached := make(chan struct{}), make(chan struct{}, 9)
		p, s, c, _ := one(t, func(int, standin.Seen) standin.Reply {
			reached <- struct{}{}
			return standin.Reply{Body: "ok", Hold: hold}
		})
		defer close(hold)
		ended := make(chan choice.Verdict, 9)
		p.x.OnAttemptEnd = func(h exchange.AttemptResult) { ended <- h.Verdict }
		fmt.Fprintf(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: left\r\nX-Saddleport-Deadline-Ms: 4000\r\n\r\n")
		<-reached
		began := time.Now()
		c.Close()
		So(<-ended, ShouldEqual, choice.Cancelled)
		So(time.Since(began), ShouldBeLessThan, 1500*time.Millisecond) // one that is late ends after 2 s
		So(s.Seen(), ShouldHaveLength, 1)
	})
}
