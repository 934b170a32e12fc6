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

// A server may answer before it has read a long body, and continue reading later. Until the body
// is completely written, nothing else is sent on that connection, and no other request waits for
// it.
func TestEarlyAnswer(t *testing.T) {
	Convey("With a server that answers early and stops reading for a while", t, func() {
		p := newProxy(t, nil)
		p.configure(strings.Replace(testConfig, `"services"`, `"limits":{"max_header_bytes":16384,"max_body_bytes":8388608,"header_timeout_ms":3000,"idle_timeout_ms":15000},"services"`, 1))
		release := make(chan struct{})
		defer close(release)
		s, err := standin.NewServer("i-one", func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "ok"} })
		So(err, ShouldBeNil)
		first := true
		answered := make(chan struct{})
		s.RespondEarly = func(seen standin.Seen) *standin.Reply {
			if seen.Attempt != "long" || !first {
				return nil
			}
			first = false
			close(answered)
			return &standin.Reply{Status: 503, NotExecuted: true, StallUntil: release}
		}
		s.ReceiveWindow.Store(8 << 10)
		verdicts := make(chan choice.Verdict, 99)
		p.exchange.OnAttemptEnd = func(result exchange.AttemptResult) { verdicts <- result.Verdict }
		t.Cleanup(s.Close)
		p.addServer("one", s)
		c, _ := p.connect()
		go fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: long\r\nX-Saddleport-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s", 6<<20, strings.Repeat("x", 6<<20))
		<-answered
		d, rd := p.connect()
		for i := range 3 {
			ans, body := send(t, d, rd, "GET", "/look/y", fmt.Sprint("after", i), "")
			So(ans.StatusCode, ShouldEqual, 200)
			So(body, ShouldEqual, "ok")
		}
		for range 1 + 3 { // a write queued behind the blocked one would fail with it
			So(<-verdicts, ShouldBeIn, choice.Rejected, choice.Served)
		}
		long := s.Seen()[0]
		So(long.Attempt, ShouldEqual, "long")
		for _, seen := range s.Seen()[1:] {
			So(seen.Attempt, ShouldStartWith, "after")
			So(seen.Conn, ShouldNotEqual, long.Conn)
		}
	})
}

// Once a proxy that shuts down rejects requests, each further request gets 503 and its connection
// is closed. Requests in flight at the end of the grace period are answered, not cut off.
func TestNothingTakenThatCannotBeFinished(t *testing.T) {
	Convey("With a proxy that is about to end", t, func() {
		hold, reached := make(chan struct{}), make(chan struct{}, 9)
		p, s, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply {
			reached <- struct{}{}
			return standin.Reply{Body: "ok", HoldUntil: hold}
		})
		defer close(hold)
		late, lateR := p.connect()
		fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: in-hand\r\nX-Saddleport-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n")
		<-reached
		p.downstream.RejectRequests()
		ans, _ := send(t, late, lateR, "POST", "/book/2", "too-late", "x")
		So(ans.StatusCode, ShouldEqual, 503)
		So(ans.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(ans.Close, ShouldBeTrue)
		So(s.Seen(), ShouldHaveLength, 1)
		p.downstream.ExpireRequests()
		ans, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		So(ans.StatusCode, ShouldEqual, 504) // not 503: the request may have run
		So(ans.Close, ShouldBeTrue)
	})
}

// A server need not continue working for a client that has left.
func TestClientLeaves(t *testing.T) {
	Convey("With a client that leaves before it is answered", t, func() {
		hold, reached := make(chan struct{}), make(chan struct{}, 9)
		p, s, c, _ := newProxyWithServer(t, func(int, standin.Seen) standin.Reply {
			reached <- struct{}{}
			return standin.Reply{Body: "ok", HoldUntil: hold}
		})
		defer close(hold)
		ended := make(chan choice.Verdict, 9)
		p.exchange.OnAttemptEnd = func(result exchange.AttemptResult) { ended <- result.Verdict }
		fmt.Fprintf(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: left\r\nX-Saddleport-Deadline-Ms: 4000\r\n\r\n")
		<-reached
		began := time.Now()
		c.Close()
		So(<-ended, ShouldEqual, choice.Cancelled)
		So(time.Since(began), ShouldBeLessThan, 1500*time.Millisecond) // an attempt that is only late would end after 2 s
		So(s.Seen(), ShouldHaveLength, 1)
	})
}
