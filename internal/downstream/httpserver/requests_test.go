package httpserver_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/standin"
)

// newProxyWithServer starts a proxy with one server of the service "one", which replies with do.
func newProxyWithServer(t *testing.T, do func(n int, s standin.Seen) standin.Reply) (*proxy, *standin.Server, net.Conn, *bufio.Reader) {
	p := newProxy(t, nil)
	p.configure(testConfig)
	s := p.startServer("one", "i-one", do)
	c, r := p.connect()
	return p, s, c, r
}

// startServer starts a server and adds it to a service.
func (p *proxy) startServer(service, id string, do func(n int, s standin.Seen) standin.Reply) *standin.Server {
	s, err := standin.NewServer(id, do)
	So(err, ShouldBeNil)
	p.t.Cleanup(s.Close)
	p.addServer(service, s)
	return s
}

// connect opens a client connection to the proxy.
func (p *proxy) connect() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp4", p.addr)
	So(err, ShouldBeNil)
	p.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	return c, bufio.NewReader(c)
}

// runsOf counts how often a server ran the request with an attempt id.
func runsOf(s *standin.Server, id string) (n int) {
	for _, x := range s.Seen() {
		if x.Attempt == id && x.Ran {
			n++
		}
	}
	return n
}

// A non-idempotent request runs at most once, and no response promises that it has not run when
// it may have.
func TestNonIdempotentRequests(t *testing.T) {
	Convey("A non-idempotent request", t, func() {
		Convey("whose server resets the connection after reading it gets 502 and is not sent again", func() {
			_, s, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Reset: true} })
			ans, _ := send(t, c, r, "POST", "/book/1", "b1", "body")
			So(ans.StatusCode, ShouldEqual, 502)
			So(ans.Header.Get("Retry-After"), ShouldEqual, "")
			So(runsOf(s, "b1"), ShouldEqual, 1)
		})
		Convey("whose server dies in the middle of its response gets 502", func() {
			_, s, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "whole body", Truncate: true} })
			ans, _ := send(t, c, r, "POST", "/book/1", "b2", "body")
			So(ans.StatusCode, ShouldEqual, 502)
			So(runsOf(s, "b2"), ShouldEqual, 1)
		})
		Convey("whose server does not respond before the deadline is not promised that it has not run", func() {
			hold := make(chan struct{})
			_, s, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply { return standin.Reply{HoldUntil: hold} })
			fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: b3\r\nX-Saddleport-Deadline-Ms: 120\r\nContent-Length: 0\r\n\r\n")
			ans, err := http.ReadResponse(r, nil)
			So(err, ShouldBeNil)
			close(hold)
			So(ans.StatusCode, ShouldBeIn, 502, 504)
			So(runsOf(s, "b3"), ShouldEqual, 1)
		})
		Convey("that its server rejects gets 503 with Retry-After", func() {
			_, s, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Status: 503, NotExecuted: true} })
			ans, _ := send(t, c, r, "POST", "/book/1", "b4", "body")
			So(ans.StatusCode, ShouldEqual, 503)
			So(ans.Header.Get("Retry-After"), ShouldNotEqual, "")
			So(runsOf(s, "b4"), ShouldEqual, 0)
		})
		Convey("answered with 503 by a server that does not state that it has not run gets 502", func() {
			_, _, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Status: 503} })
			ans, _ := send(t, c, r, "POST", "/book/1", "b5", "body")
			So(ans.StatusCode, ShouldEqual, 502)
		})
		Convey("that its server fails gets the response of the server", func() {
			_, _, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Status: 500, Body: "sorry"} })
			ans, body := send(t, c, r, "POST", "/book/1", "b6", "body")
			So(ans.StatusCode, ShouldEqual, 500)
			So(body, ShouldEqual, "sorry")
		})
		Convey("answered without a signature is no success", func() {
			_, _, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "x", NoSignature: true} })
			ans, _ := send(t, c, r, "POST", "/book/1", "b7", "body")
			So(ans.StatusCode, ShouldEqual, 502)
		})
		Convey("gets its own response although the response to another attempt arrives first", func() {
			_, _, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply {
				return standin.Reply{Before: &standin.Reply{ID: "other", Body: "theirs"}, Body: "mine"}
			})
			ans, body := send(t, c, r, "POST", "/book/1", "b8", "body")
			So(ans.StatusCode, ShouldEqual, 200)
			So(body, ShouldEqual, "mine")
		})
		// Guards against a second copy of "not executed" passing for the answer to the next send of the same
		// request, which then runs although the proxy sends it again.
		Convey("that is sent again after a rejection does not run twice if the rejection arrives twice", func() {
			rejection := standin.Reply{Status: 503, NotExecuted: true}
			var rejectedOn atomic.Int64
			p, s, c, r := newProxyWithServer(t, func(n int, seen standin.Seen) standin.Reply {
				if n == 1 {
					rejectedOn.Store(int64(seen.Conn))
					return rejection
				}
				if int64(seen.Conn) == rejectedOn.Load() {
					return standin.Reply{Before: &rejection, Body: "booked"}
				}
				return standin.Reply{Body: "booked"}
			})
			p.configure(strings.Replace(testConfig, `"target_service":"one","max_attempts":1`, `"target_service":"one","max_attempts":4`, 1))
			ans, _ := send(t, c, r, "POST", "/book/1", "b10", "body")
			So(runsOf(s, "b10"), ShouldEqual, 1)
			So(ans.StatusCode, ShouldEqual, 200)
		})
		Convey("runs at most once when the server has closed the connections", func() {
			_, s, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "ok"} })
			ans, _ := send(t, c, r, "POST", "/book/1", "b9", "body")
			So(ans.StatusCode, ShouldEqual, 200)
			s.CloseConns()
			for i := 0; i < 20; i++ { // never two runs, whether or not the proxy has noticed the close
				id := fmt.Sprint("c", i)
				ans, _ = send(t, c, r, "POST", "/book/1", id, "body")
				So(runsOf(s, id), ShouldBeLessThanOrEqualTo, 1)
				So(ans.StatusCode, ShouldBeIn, 200, 502)
			}
			So(ans.StatusCode, ShouldEqual, 200)
		})
	})
}

// A request is forwarded with its method, path, query string, body and all headers except the
// hop-by-hop ones. Each attempt carries the id of the server and the remaining time.
func TestForwarding(t *testing.T) {
	Convey("A request reaches its server unchanged", t, func() {
		_, s, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply {
			return standin.Reply{Body: "ok", Headers: map[string]string{"X-Own": "kept", "Keep-Alive": "timeout=5"}}
		})
		fmt.Fprintf(c, "PUT /look/a%%20b?x=1&y HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: p1\r\nX-Saddleport-Deadline-Ms: 2000\r\n"+
			"X-Mine: 1\r\nConnection: keep-alive, x-hop\r\nX-Hop: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;q=1\r\nde\r\n0\r\n\r\n")
		ans, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		So(ans.StatusCode, ShouldEqual, 200)
		So(ans.Header.Get("X-Own"), ShouldEqual, "kept")
		So(ans.Header.Get("Keep-Alive"), ShouldEqual, "")
		So(ans.Header.Get("X-Saddleport-Response-Signature"), ShouldEqual, "s.i-one.p1")
		got := s.Seen()[0]
		So(got.Method+" "+got.Target, ShouldEqual, "PUT /look/a%20b?x=1&y")
		So(got.Body, ShouldEqual, "abcde")
		So(got.Header.Get("X-Mine"), ShouldEqual, "1")
		So(got.Header.Get("X-Hop"), ShouldEqual, "")
		So(got.Header.Get("X-Saddleport-Target-Instance"), ShouldEqual, "i-one")
		So(got.DeadlineMs, ShouldBeBetweenOrEqual, 1000, 2000)
	})
	Convey("A response followed by stray bytes is forwarded, and its connection is not used again", t, func() {
		_, s, c, r := newProxyWithServer(t, func(n int, _ standin.Seen) standin.Reply {
			return standin.Reply{Body: "ok", Extra: "HTTP/1.1 200 OK\r\n"}
		})
		for i := range 3 {
			ans, body := send(t, c, r, "GET", "/look/1", fmt.Sprint("e", i), "")
			So(ans.StatusCode, ShouldEqual, 200)
			So(body, ShouldEqual, "ok")
		}
		So(s.Conns(), ShouldEqual, 3)
	})
	Convey("A request without a configuration, a route or a server is answered with 503 or 404", t, func() {
		p := newProxy(t, nil)
		c, r := p.connect()
		ans, _ := send(t, c, r, "GET", "/look/1", "n1", "")
		So(ans.StatusCode, ShouldEqual, 503) // no configuration
		So(ans.Header.Get("Retry-After"), ShouldNotEqual, "")
		p.configure(testConfig)
		ans, _ = send(t, c, r, "GET", "/none/1", "n2", "")
		So(ans.StatusCode, ShouldEqual, 404)
		ans, _ = send(t, c, r, "POST", "/book/1", "n3", "x") // no server
		So(ans.StatusCode, ShouldEqual, 503)
		So(ans.Header.Get("Retry-After"), ShouldNotEqual, "")
	})
	Convey("An idempotent request is retried at another server, within its attempts", t, func() {
		p := newProxy(t, nil)
		p.configure(testConfig)
		bad := p.startServer("one", "i-bad", func(int, standin.Seen) standin.Reply { return standin.Reply{Status: 500} })
		good := p.startServer("one", "i-good", func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "ok"} })
		c, r := p.connect()
		for i := range 20 {
			ans, _ := send(t, c, r, "GET", "/look/1", fmt.Sprint("r", i), "")
			So(ans.StatusCode, ShouldEqual, 200)
		}
		So(len(bad.Seen()), ShouldBeGreaterThan, 0)
		So(len(good.Seen()), ShouldEqual, 20)
	})
}

// records returns n records, each of one repeated character, ascending from the character from.
func records(from byte, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(strings.Repeat(string(rune(from+byte(i))), 16))
	}
	return b.String()
}

// The response to a fan-out request has the greatest records of the answered parts, the
// signatures of those parts, and the number of missing ones.
func TestGather(t *testing.T) {
	replyWith := func(body string) func(int, standin.Seen) standin.Reply {
		return func(int, standin.Seen) standin.Reply { return standin.Reply{Body: body} }
	}
	Convey("With all parts answered", t, func() {
		p := newProxy(t, nil)
		p.configure(testConfig)
		for i, name := range []string{"a", "b", "c", "d"} {
			p.startServer(name, "i-"+name, replyWith(records("aeim"[i], 3)+"rest"))
		}
		c, r := p.connect()
		ans, body := send(t, c, r, "GET", "/all/1", "g1", "")
		So(ans.StatusCode, ShouldEqual, 200)
		So(body, ShouldEqual, strings.Repeat("o", 16)+strings.Repeat("n", 16)+strings.Repeat("m", 16))
		So(strings.Split(ans.Header.Get("X-Saddleport-Part-Signatures"), ", "), ShouldHaveLength, 4)
		So(ans.Header.Get("X-Saddleport-Missing-Parts"), ShouldBeIn, "", "0")
	})
	Convey("A shard without servers counts as missing while the minimum success ratio is met", t, func() {
		p := newProxy(t, nil)
		p.configure(testConfig)
		for _, name := range []string{"a", "b", "c"} {
			p.startServer(name, "i-"+name, replyWith(records('a', 1)))
		}
		c, r := p.connect()
		ans, body := send(t, c, r, "GET", "/all/1", "g2", "")
		So(ans.StatusCode, ShouldEqual, 200)
		So(ans.Header.Get("X-Saddleport-Missing-Parts"), ShouldEqual, "1")
		So(body, ShouldEqual, strings.Repeat("a", 48)) // equal records are not merged
	})
	Convey("Fewer parts than the minimum success ratio are no success", t, func() {
		p := newProxy(t, nil)
		p.configure(testConfig)
		p.startServer("a", "i-a", replyWith(records('a', 1)))
		c, r := p.connect()
		ans, _ := send(t, c, r, "GET", "/all/1", "g3", "")
		So(ans.StatusCode, ShouldEqual, 503)
	})
	Convey("A failure with a signature does not count as a part", t, func() {
		p := newProxy(t, nil)
		p.configure(testConfig)
		for _, name := range []string{"a", "b", "c"} {
			p.startServer(name, "i-"+name, replyWith(records('a', 1)))
		}
		p.startServer("d", "i-d", func(int, standin.Seen) standin.Reply { return standin.Reply{Status: 500, Body: records('z', 3)} })
		c, r := p.connect()
		ans, body := send(t, c, r, "GET", "/all/1", "g4", "")
		So(ans.StatusCode, ShouldEqual, 200)
		So(ans.Header.Get("X-Saddleport-Missing-Parts"), ShouldEqual, "1")
		So(body, ShouldNotContainSubstring, "z")
	})
	Convey("When the services of a route change, each response is of one version and requests in flight finish", t, func() {
		p := newProxy(t, func(s *choice.Settings) { s.RetryBudgetMin = 0 })
		p.configure(testConfig)
		hold, reached := make(chan struct{}), make(chan struct{}, 99)
		for _, name := range []string{"a", "b", "c", "d"} {
			p.startServer(name, "i-"+name, func(int, standin.Seen) standin.Reply {
				reached <- struct{}{}
				return standin.Reply{Body: records('a', 1), HoldUntil: hold}
			})
		}
		c1, r1 := p.connect()
		fmt.Fprintf(c1, "GET /all/1 HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: old\r\nX-Saddleport-Deadline-Ms: 2000\r\n\r\n")
		<-reached // the request is in flight
		p.configure(strings.NewReplacer(`"revision":1`, `"revision":2`, `["a","b","c","d"]`, `["e","f"]`,
			`{"name":"one"}`, `{"name":"one"},{"name":"e"},{"name":"f"}`).Replace(testConfig))
		p.startServer("e", "i-e", replyWith(records('e', 1)))
		p.startServer("f", "i-f", replyWith(records('f', 1)))
		c2, r2 := p.connect()
		ans, body := send(t, c2, r2, "GET", "/all/1", "new", "")
		So(ans.StatusCode, ShouldEqual, 200)
		So(body, ShouldEqual, records('f', 1)+records('e', 1))
		So(ans.Header.Get("X-Saddleport-Missing-Parts"), ShouldBeIn, "", "0")
		close(hold)
		first, err := http.ReadResponse(r1, nil)
		So(err, ShouldBeNil)
		So(first.StatusCode, ShouldEqual, 200)
		for _, signature := range strings.Split(first.Header.Get("X-Saddleport-Part-Signatures"), ", ") {
			So(signature, ShouldEndWith, ".old")
		}
		So(len(p.servers["e"].Seen()), ShouldEqual, 1)
	})
}

// The limits of the configuration in force apply to clients.
func TestLimits(t *testing.T) {
	Convey("The limits of a new configuration apply to open connections too", t, func() {
		p, s, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "ok"} })
		large := strings.Repeat("x", 200<<10)
		ans, _ := send(t, c, r, "POST", "/look/1", "k1", large)
		So(ans.StatusCode, ShouldEqual, 200)
		So(s.Seen()[0].Body, ShouldEqual, large)
		p.configure(strings.Replace(testConfig, `"revision":1`, `"revision":2,"limits":{"max_header_bytes":400,"max_body_bytes":50,"header_timeout_ms":40,"idle_timeout_ms":30000}`, 1))
		ans, _ = send(t, c, r, "POST", "/look/1", "k2", large[:50])
		So(ans.StatusCode, ShouldEqual, 200)
		ans, _ = send(t, c, r, "POST", "/look/1", "k3", large[:51])
		So(ans.StatusCode, ShouldEqual, 413)
		c, r = p.connect()
		ans, _ = send(t, c, r, "GET", "/look/"+large[:500], "k4", "")
		So(ans.StatusCode, ShouldBeIn, 413, 431)
		c, r = p.connect()
		fmt.Fprintf(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\n") // the head is never completed, so the header timeout expires
		ans, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		So(ans.StatusCode, ShouldEqual, 408)
		So(ans.Close, ShouldBeTrue)
		So(len(s.Seen()), ShouldEqual, 2)
	})
}

// With hundreds of routes added, the last one is served like the first.
func TestManyRoutes(t *testing.T) {
	Convey("With 350 routes added", t, func() {
		p, _, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "ok"} })
		var more strings.Builder
		for i := range 350 {
			fmt.Fprintf(&more, `{"hostname":"h","path_prefix":"/more/%d/","route_type":"idempotent","timeout_ms":4000,"target_latency_ms":800,"target_service":"one","max_attempts":2},`, i)
		}
		p.configure(strings.NewReplacer(`"revision":1`, `"revision":2`, `"routes":[`, `"routes":[`+more.String()).Replace(testConfig))
		So(len(p.handler.Plan().Classes), ShouldEqual, 3) // the added routes share a class
		for _, path := range []string{"/look/1", "/more/0/1", "/more/349/1"} {
			ans, _ := send(t, c, r, "GET", path, "m"+path, "")
			So(ans.StatusCode, ShouldEqual, 200)
		}
		p.configure(strings.Replace(testConfig, `"revision":1`, `"revision":3`, 1))
		ans, _ := send(t, c, r, "GET", "/more/0/1", "m4", "")
		So(ans.StatusCode, ShouldEqual, 404)
	})
}

// The attempts that a service receives beyond the first of each request stay within the retry
// budget.
func TestBudgetAtTheService(t *testing.T) {
	Convey("Two proxies whose servers all fail stay within the shared retry budget", t, func() {
		const slack, ratio, each = 12, 0.2, 60
		seen := 0
		failing := func(int, standin.Seen) standin.Reply { return standin.Reply{Status: 500} }
		var servers []*standin.Server
		first := newProxy(t, func(s *choice.Settings) { s.RetryBudgetRatio, s.RetryBudgetMin, s.Routers = ratio, slack/2, 2 })
		second := newProxy(t, func(s *choice.Settings) { s.RetryBudgetRatio, s.RetryBudgetMin, s.Routers = ratio, slack/2, 2 })
		first.configure(testConfig)
		second.configure(testConfig)
		for i := range 4 {
			s := first.startServer("one", fmt.Sprint("i-", i), failing)
			second.addServer("one", s)
			servers = append(servers, s)
		}
		for n, p := range []*proxy{first, second} {
			c, r := p.connect()
			for i := range each * (1 + 2*n) { // the second proxy sends three times as many requests as the first
				send(t, c, r, "GET", "/look/1", fmt.Sprint("p", n, ".", i), "")
			}
		}
		ids := make(map[string]bool)
		for _, s := range servers {
			for _, x := range s.Seen() {
				ids[x.Attempt] = true
				seen++
			}
		}
		retries := seen - len(ids)
		So(float64(retries), ShouldBeLessThanOrEqualTo, ratio*4*each+slack)
		So(retries, ShouldBeGreaterThan, slack)
	})
}

// On SIGTERM, requests in flight are finished and idle connections are closed.
func TestShutdown(t *testing.T) {
	Convey("A request in flight is answered, and its response announces that the connection closes", t, func() {
		hold, reached := make(chan struct{}), make(chan struct{}, 9)
		p, _, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply {
			reached <- struct{}{}
			return standin.Reply{Body: "ok", HoldUntil: hold}
		})
		idle, _ := p.connect()
		fmt.Fprintf(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: l1\r\nX-Saddleport-Deadline-Ms: 2000\r\n\r\n")
		<-reached
		for p.downstream.Clients() < 2 { // until then, the idle connection waits to be accepted
			runtime.Gosched()
		}
		p.downstream.MarkNotReady()
		p.downstream.CloseAfterResponses()
		p.downstream.CloseIdle(0)
		_, err := idle.Read(make([]byte, 1))
		So(err, ShouldNotBeNil) // the idle connection is closed
		close(hold)
		ans, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		So(ans.StatusCode, ShouldEqual, 200)
		So(ans.Close, ShouldBeTrue)
	})
}

// An attempt that was cancelled because its hedge was answered first ends with its own answer,
// which distinguishes a slow server from an unresponsive one. If the answer never arrives, the
// attempt ends as cancelled.
func TestLateAnswers(t *testing.T) {
	Convey("With two servers of a service, one of them slow", t, func() {
		p := newProxy(t, nil)
		outcomes := make(chan exchange.AttemptResult, 1000)
		p.exchange.OnAttemptEnd = func(result exchange.AttemptResult) { outcomes <- result }
		p.configure(testConfig)
		hold := make(chan struct{})
		var arrivals atomic.Int64 // arrivals of the request whose first attempt is delayed
		for _, id := range []string{"i-1", "i-2"} {
			p.startServer("one", id, func(_ int, s standin.Seen) standin.Reply {
				if s.Attempt == "slow" && arrivals.Add(1) == 1 {
					return standin.Reply{HoldUntil: hold}
				}
				return standin.Reply{}
			})
		}
		c, r := p.connect()
		for i := range 20 {
			ans, _ := send(t, c, r, "GET", "/look/1", fmt.Sprint("w", i), "")
			So(ans.StatusCode, ShouldEqual, 200)
			So((<-outcomes).Verdict, ShouldEqual, choice.Served)
		}
		ans, _ := send(t, c, r, "GET", "/look/1", "slow", "")
		So(ans.StatusCode, ShouldEqual, 200)
		quick := <-outcomes
		So(quick.Verdict, ShouldEqual, choice.Served)
		Convey("the slow server's answer is reported", func() {
			close(hold)
			late := <-outcomes
			So(late.Verdict, ShouldEqual, choice.Served)
			So(late.Server, ShouldNotEqual, quick.Server)
			So(late.Latency, ShouldBeGreaterThan, quick.Latency)
		})
		Convey("the unresponsive server's attempt ends as cancelled", func() {
			defer close(hold)
			So((<-outcomes).Verdict, ShouldEqual, choice.Cancelled)
		})
	})
}
