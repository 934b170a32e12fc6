package httpserver_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/standin"
)

// one lays out a proxy with one server of the service "one" that does as told.
func one(t *testing.T, do func(n int, s standin.Seen) standin.Reply) (*proxy, *standin.Server, net.Conn, *bufio.Reader) {
	p := newProxy(t, nil)
	p.charter(four)
	s := p.stand("one", "i-one", do)
	c, r := p.client()
	return p, s, c, r
}

// stand adds a server to a service.
func (p *proxy) stand(service, id string, do func(n int, s standin.Seen) standin.Reply) *standin.Server {
	s, err := standin.NewServer(id, do)
	So(err, ShouldBeNil)
	p.t.Cleanup(s.Close)
	p.server(service, s)
	return s
}

func (p *proxy) client() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp4", p.addr)
	So(err, ShouldBeNil)
	p.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	return c, bufio.NewReader(c)
}

func ran(s *standin.Server, id string) (n int) {
	for _, x := range s.Seen() {
		if x.Attempt == id && x.Ran {
			n++
		}
	}
	return n
}

// A request that can't be repeated runs at most once, and no answer promises that it has
// not run when it may have.
func TestOnce(t *testing.T) {
	Convey("A booking", t, func() {
		Convey("whose server resets after it was read gets 502 and is not sent again", func() {
			_, s, c, r := one(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Reset: true} })
			ans, _ := ask(t, c, r, "POST", "/book/1", "b1", "body")
			So(ans.StatusCode, ShouldEqual, 502)
			So(ans.Header.Get("Retry-After"), ShouldEqual, "")
			So(ran(s, "b1"), ShouldEqual, 1)
		})
		Convey("whose server dies in the middle of its answer gets 502", func() {
			_, s, c, r := one(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "whole body", Cut: true} })
			ans, _ := ask(t, c, r, "POST", "/book/1", "b2", "body")
			So(ans.StatusCode, ShouldEqual, 502)
			So(ran(s, "b2"), ShouldEqual, 1)
		})
		Convey("whose server is silent until its time is up gets no promise", func() {
			hold := make(chan struct{})
			_, s, c, r := one(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Hold: hold} })
			fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: b3\r\nX-Saddleport-Deadline-Ms: 120\r\nContent-Length: 0\r\n\r\n")
			ans, err := http.ReadResponse(r, nil)
			So(err, ShouldBeNil)
			close(hold)
			So(ans.StatusCode, ShouldBeIn, 502, 504)
			So(ran(s, "b3"), ShouldEqual, 1)
		})
		Convey("turned away gets 503 with the time to come back", func() {
			_, s, c, r := one(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Status: 503, Not: true} })
			ans, _ := ask(t, c, r, "POST", "/book/1", "b4", "body")
			So(ans.StatusCode, ShouldEqual, 503)
			So(ans.Header.Get("Retry-After"), ShouldNotEqual, "")
			So(ran(s, "b4"), ShouldEqual, 0)
		})
		Convey("answered 503 by a server that does not say it did not run gets no promise", func() {
			_, _, c, r := one(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Status: 503} })
			ans, _ := ask(t, c, r, "POST", "/book/1", "b5", "body")
			So(ans.StatusCode, ShouldEqual, 502)
		})
		Convey("that its server failed gets the server's own answer", func() {
			_, _, c, r := one(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Status: 500, Body: "sorry"} })
			ans, body := ask(t, c, r, "POST", "/book/1", "b6", "body")
			So(ans.StatusCode, ShouldEqual, 500)
			So(body, ShouldEqual, "sorry")
		})
		Convey("answered without a stamp is no success", func() {
			_, _, c, r := one(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "x", NoStamp: true} })
			ans, _ := ask(t, c, r, "POST", "/book/1", "b7", "body")
			So(ans.StatusCode, ShouldEqual, 502)
		})
		Convey("in whose place the answer to another try comes gets its own", func() {
			_, _, c, r := one(t, func(int, standin.Seen) standin.Reply {
				return standin.Reply{Before: &standin.Reply{ID: "other", Body: "theirs"}, Body: "mine"}
			})
			ans, body := ask(t, c, r, "POST", "/book/1", "b8", "body")
			So(ans.StatusCode, ShouldEqual, 200)
			So(body, ShouldEqual, "mine")
		})
		Convey("goes out on no connection whose server has closed it", func() {
			_, s, c, r := one(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "ok"} })
			ans, _ := ask(t, c, r, "POST", "/book/1", "b9", "body")
			So(ans.StatusCode, ShouldEqual, 200)
			s.Drop()
			for i := 0; i < 20; i++ { // whatever the proxy has seen of the close, never two runs
				id := fmt.Sprint("c", i)
				ans, _ = ask(t, c, r, "POST", "/book/1", id, "body")
				So(ran(s, id), ShouldBeLessThanOrEqualTo, 1)
				So(ans.StatusCode, ShouldBeIn, 200, 502)
			}
			So(ans.StatusCode, ShouldEqual, 200)
		})
	})
}

// What is passed on is what came: method, path with its query, body, and all headers but
// those of one connection; each send names its server and what time is left.
func TestPassedOn(t *testing.T) {
	Convey("A request reaches its server as it was sent", t, func() {
		_, s, c, r := one(t, func(int, standin.Seen) standin.Reply {
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
	Convey("An answer with bytes behind it is passed on, and its connection is not used again", t, func() {
		_, s, c, r := one(t, func(n int, _ standin.Seen) standin.Reply {
			return standin.Reply{Body: "ok", Extra: "HTTP/1.1 200 OK\r\n"}
		})
		for i := range 3 {
			ans, body := ask(t, c, r, "GET", "/look/1", fmt.Sprint("e", i), "")
			So(ans.StatusCode, ShouldEqual, 200)
			So(body, ShouldEqual, "ok")
		}
		So(s.Conns(), ShouldEqual, 3)
	})
	Convey("What has no way is told so", t, func() {
		p := newProxy(t, nil)
		c, r := p.client()
		ans, _ := ask(t, c, r, "GET", "/look/1", "n1", "")
		So(ans.StatusCode, ShouldEqual, 503) // no configuration
		So(ans.Header.Get("Retry-After"), ShouldNotEqual, "")
		p.charter(four)
		ans, _ = ask(t, c, r, "GET", "/none/1", "n2", "")
		So(ans.StatusCode, ShouldEqual, 404)
		ans, _ = ask(t, c, r, "POST", "/book/1", "n3", "x") // no server
		So(ans.StatusCode, ShouldEqual, 503)
		So(ans.Header.Get("Retry-After"), ShouldNotEqual, "")
	})
	Convey("A repeatable request is tried at another server, within its attempts", t, func() {
		p := newProxy(t, nil)
		p.charter(four)
		bad := p.stand("one", "i-bad", func(int, standin.Seen) standin.Reply { return standin.Reply{Status: 500} })
		good := p.stand("one", "i-good", func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "ok"} })
		c, r := p.client()
		for i := range 20 {
			ans, _ := ask(t, c, r, "GET", "/look/1", fmt.Sprint("r", i), "")
			So(ans.StatusCode, ShouldEqual, 200)
		}
		So(len(bad.Seen()), ShouldBeGreaterThan, 0)
		So(len(good.Seen()), ShouldEqual, 20)
	})
}

func records(from byte, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(strings.Repeat(string(rune(from+byte(i))), 16))
	}
	return b.String()
}

// Gathered answers: the greatest records of the parts that are in, with their stamps and
// the count of those that are not.
func TestGather(t *testing.T) {
	give := func(body string) func(int, standin.Seen) standin.Reply {
		return func(int, standin.Seen) standin.Reply { return standin.Reply{Body: body} }
	}
	Convey("All parts in", t, func() {
		p := newProxy(t, nil)
		p.charter(four)
		for i, name := range []string{"a", "b", "c", "d"} {
			p.stand(name, "i-"+name, give(records("aeim"[i], 3)+"rest"))
		}
		c, r := p.client()
		ans, body := ask(t, c, r, "GET", "/all/1", "g1", "")
		So(ans.StatusCode, ShouldEqual, 200)
		So(body, ShouldEqual, strings.Repeat("o", 16)+strings.Repeat("n", 16)+strings.Repeat("m", 16))
		So(strings.Split(ans.Header.Get("X-Saddleport-Part-Signatures"), ", "), ShouldHaveLength, 4)
		So(ans.Header.Get("X-Saddleport-Missing-Parts"), ShouldBeIn, "", "0")
	})
	Convey("A shard without servers is counted as missing while the share allows", t, func() {
		p := newProxy(t, nil)
		p.charter(four)
		for _, name := range []string{"a", "b", "c"} {
			p.stand(name, "i-"+name, give(records('a', 1)))
		}
		c, r := p.client()
		ans, body := ask(t, c, r, "GET", "/all/1", "g2", "")
		So(ans.StatusCode, ShouldEqual, 200)
		So(ans.Header.Get("X-Saddleport-Missing-Parts"), ShouldEqual, "1")
		So(body, ShouldEqual, strings.Repeat("a", 48)) // equal records all count
	})
	Convey("Fewer than the share are no success", t, func() {
		p := newProxy(t, nil)
		p.charter(four)
		p.stand("a", "i-a", give(records('a', 1)))
		c, r := p.client()
		ans, _ := ask(t, c, r, "GET", "/all/1", "g3", "")
		So(ans.StatusCode, ShouldEqual, 503)
	})
	Convey("A failure that carries a stamp is no part", t, func() {
		p := newProxy(t, nil)
		p.charter(four)
		for _, name := range []string{"a", "b", "c"} {
			p.stand(name, "i-"+name, give(records('a', 1)))
		}
		p.stand("d", "i-d", func(int, standin.Seen) standin.Reply { return standin.Reply{Status: 500, Body: records('z', 3)} })
		c, r := p.client()
		ans, body := ask(t, c, r, "GET", "/all/1", "g4", "")
		So(ans.StatusCode, ShouldEqual, 200)
		So(ans.Header.Get("X-Saddleport-Missing-Parts"), ShouldEqual, "1")
		So(body, ShouldNotContainSubstring, "z")
	})
	Convey("Over a new cut every answer is of one version, and what is out finishes", t, func() {
		p := newProxy(t, func(s *choice.Settings) { s.RetryBudgetMin = 0 })
		p.charter(four)
		hold, reached := make(chan struct{}), make(chan struct{}, 99)
		for _, name := range []string{"a", "b", "c", "d"} {
			p.stand(name, "i-"+name, func(int, standin.Seen) standin.Reply {
				reached <- struct{}{}
				return standin.Reply{Body: records('a', 1), Hold: hold}
			})
		}
		c1, r1 := p.client()
		fmt.Fprintf(c1, "GET /all/1 HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: old\r\nX-Saddleport-Deadline-Ms: 2000\r\n\r\n")
		<-reached // it is out
		p.charter(strings.NewReplacer(`"revision":1`, `"revision":2`, `["a","b","c","d"]`, `["e","f"]`,
			`{"name":"one"}`, `{"name":"one"},{"name":"e"},{"name":"f"}`).Replace(four))
		p.stand("e", "i-e", give(records('e', 1)))
		p.stand("f", "i-f", give(records('f', 1)))
		c2, r2 := p.client()
		ans, body := ask(t, c2, r2, "GET", "/all/1", "new", "")
		So(ans.StatusCode, ShouldEqual, 200)
		So(body, ShouldEqual, records('f', 1)+records('e', 1))
		So(ans.Header.Get("X-Saddleport-Missing-Parts"), ShouldBeIn, "", "0")
		close(hold)
		first, err := http.ReadResponse(r1, nil)
		So(err, ShouldBeNil)
		So(first.StatusCode, ShouldEqual, 200)
		for _, stamp := range strings.Split(first.Header.Get("X-Saddleport-Part-Signatures"), ", ") {
			So(stamp, ShouldEndWith, ".old")
		}
		So(len(p.servers["e"].Seen()), ShouldEqual, 1)
	})
}

// The limits of the configuration in force are what a client is held to.
func TestLimits(t *testing.T) {
	Convey("Limits are taken from the configuration, on open connections too", t, func() {
		p, s, c, r := one(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "ok"} })
		large := strings.Repeat("x", 200<<10)
		ans, _ := ask(t, c, r, "POST", "/look/1", "k1", large)
		So(ans.StatusCode, ShouldEqual, 200)
		So(s.Seen()[0].Body, ShouldEqual, large)
		p.charter(strings.Replace(four, `"revision":1`, `"revision":2,"limits":{"max_header_bytes":400,"max_body_bytes":50,"header_timeout_ms":40,"idle_timeout_ms":30000}`, 1))
		ans, _ = ask(t, c, r, "POST", "/look/1", "k2", large[:50])
		So(ans.StatusCode, ShouldEqual, 200)
		ans, _ = ask(t, c, r, "POST", "/look/1", "k3", large[:51])
		So(ans.StatusCode, ShouldEqual, 413)
		c, r = p.client()
		ans, _ = ask(t, c, r, "GET", "/look/"+large[:500], "k4", "")
		So(ans.StatusCode, ShouldBeIn, 413, 431)
		c, r = p.client()
		fmt.Fprintf(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\n") // and no more: its time for a head is soon over
		ans, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		So(ans.StatusCode, ShouldEqual, 408)
		So(ans.Close, ShouldBeTrue)
		So(len(s.Seen()), ShouldEqual, 2)
	})
}

// Hundreds of routes more, and the last is served as the first.
func TestManyRoutes(t *testing.T) {
	Convey("350 routes added", t, func() {
		p, _, c, r := one(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "ok"} })
		var more strings.Builder
		for i := range 350 {
			fmt.Fprintf(&more, `{"hostname":"h","path_prefix":"/more/%d/","route_type":"idempotent","timeout_ms":4000,"target_latency_ms":800,"target_service":"one","max_attempts":2},`, i)
		}
		p.charter(strings.NewReplacer(`"revision":1`, `"revision":2`, `"routes":[`, `"routes":[`+more.String()).Replace(four))
		So(len(p.gate.Plan().Classes), ShouldEqual, 3) // they learn together
		for _, path := range []string{"/look/1", "/more/0/1", "/more/349/1"} {
			ans, _ := ask(t, c, r, "GET", path, "m"+path, "")
			So(ans.StatusCode, ShouldEqual, 200)
		}
		p.charter(strings.Replace(four, `"revision":1`, `"revision":3`, 1))
		ans, _ := ask(t, c, r, "GET", "/more/0/1", "m4", "")
		So(ans.StatusCode, ShouldEqual, 404)
	})
}

// What a service receives beyond each request's first arrival is within the budget.
func TestBudgetAtTheService(t *testing.T) {
	Convey("Two proxies before servers that all fail stay within the shared budget", t, func() {
		const slack, ratio, each = 12, 0.2, 60
		seen := 0
		bad := func(int, standin.Seen) standin.Reply { return standin.Reply{Status: 500} }
		var servers []*standin.Server
		first := newProxy(t, func(s *choice.Settings) { s.RetryBudgetRatio, s.RetryBudgetMin, s.Routers = ratio, slack/2, 2 })
		second := newProxy(t, func(s *choice.Settings) { s.RetryBudgetRatio, s.RetryBudgetMin, s.Routers = ratio, slack/2, 2 })
		first.charter(four)
		second.charter(four)
		for i := range 4 {
			s := first.stand("one", fmt.Sprint("i-", i), bad)
			second.server("one", s)
			servers = append(servers, s)
		}
		for n, p := range []*proxy{first, second} {
			c, r := p.client()
			for i := range each * (1 + 2*n) { // one carries thrice what the other does
				ask(t, c, r, "GET", "/look/1", fmt.Sprint("p", n, ".", i), "")
			}
		}
		ids := make(map[string]bool)
		for _, s := range servers {
			for _, x := range s.Seen() {
				ids[x.Attempt] = true
				seen++
			}
		}
		extras := seen - len(ids)
		So(float64(extras), ShouldBeLessThanOrEqualTo, ratio*4*each+slack)
		So(extras, ShouldBeGreaterThan, slack)
	})
}

// On SIGTERM what is in hand is finished, and a connection that rests is closed.
func TestLeaving(t *testing.T) {
	Convey("A request in hand is answered, and told that its connection ends", t, func() {
		hold, reached := make(chan struct{}), make(chan struct{}, 9)
		p, _, c, r := one(t, func(int, standin.Seen) standin.Reply {
			reached <- struct{}{}
			return standin.Reply{Body: "ok", Hold: hold}
		})
		rests, _ := p.client()
		fmt.Fprintf(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: l1\r\nX-Saddleport-Deadline-Ms: 2000\r\n\r\n")
		<-reached
		p.front.MarkNotReady()
		p.front.CloseAfterResponses()
		p.front.CloseIdle(0)
		_, err := rests.Read(make([]byte, 1))
		So(err, ShouldNotBeNil) // the one that rested is closed
		close(hold)
		ans, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		So(ans.StatusCode, ShouldEqual, 200)
		So(ans.Close, ShouldBeTrue)
	})
}

// A part that was called off, for another copy served it, ends with its own answer: a late
// server is told from a silent one. One whose answer never comes ends all the same.
func TestLateAnswersTell(t *testing.T) {
	Convey("Of two servers of a service", t, func() {
		p := newProxy(t, nil)
		heard := make(chan exchange.AttemptResult, 1000)
		p.x.OnAttemptEnd = func(h exchange.AttemptResult) { heard <- h }
		p.charter(four)
		hold := make(chan struct{})
		var slow atomic.Int64 // the request whose first copy is held
		for _, id := range []string{"i-1", "i-2"} {
			p.stand("one", id, func(_ int, s standin.Seen) standin.Reply {
				if s.Attempt == "held" && slow.Add(1) == 1 {
					return standin.Reply{Hold: hold}
				}
				return standin.Reply{}
			})
		}
		c, r := p.client()
		for i := range 20 {
			ans, _ := ask(t, c, r, "GET", "/look/1", fmt.Sprint("w", i), "")
			So(ans.StatusCode, ShouldEqual, 200)
			So((<-heard).Verdict, ShouldEqual, choice.Served)
		}
		ans, _ := ask(t, c, r, "GET", "/look/1", "held", "")
		So(ans.StatusCode, ShouldEqual, 200)
		quick := <-heard
		So(quick.Verdict, ShouldEqual, choice.Served)
		Convey("the late one's answer is heard", func() {
			close(hold)
			late := <-heard
			So(late.Verdict, ShouldEqual, choice.Served)
			So(late.Server, ShouldNotEqual, quick.Server)
			So(late.Latency, ShouldBeGreaterThan, quick.Latency)
		})
		Convey("the silent one's part ends as called off", func() {
			defer close(hold)
			So((<-heard).Verdict, ShouldEqual, choice.Cancelled)
		})
	})
}
