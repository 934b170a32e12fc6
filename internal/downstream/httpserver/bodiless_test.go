package httpserver_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/lab/standin"
)

// Guards against a refusal of HEAD with a body, which a client reads as the beginning of the answer to its
// next request.
func TestNoBodyForHead(t *testing.T) {
	for _, method := range []string{"HEAD", "GET"} {
		Convey(method+": the proxy's own answers", t, func() {
			request := func(target, id, fields string) string {
				return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: %s\r\nX-Saddleport-Deadline-Ms: 300\r\n%s\r\n", method, target, id, fields)
			}
			readAnswer := func(r *bufio.Reader) *http.Response {
				answer, err := http.ReadResponse(r, &http.Request{Method: method})
				So(err, ShouldBeNil)
				body, err := io.ReadAll(answer.Body)
				So(err, ShouldBeNil)
				So(len(body) == 0, ShouldEqual, method == "HEAD")
				return answer
			}
			Convey("do not disturb the answer to a pipelined request", func() {
				hold := make(chan struct{})
				p := newProxy(t, nil)
				c, r := p.connect()
				io.WriteString(c, request("/look/1", "n1", "")+request("/look/1", "n2", ""))
				So(readAnswer(r).StatusCode, ShouldEqual, 503) // no configuration
				So(readAnswer(r).StatusCode, ShouldEqual, 503)
				p.configure(testConfig)
				p.startServer("one", "i-one", func(_ int, seen standin.Seen) standin.Reply {
					switch seen.Target {
					case "/book/reset":
						return standin.Reply{Reset: true}
					case "/book/hang":
						return standin.Reply{HoldUntil: hold}
					}
					return standin.Reply{Status: 503, NotExecuted: true}
				})
				Reset(func() { close(hold) })
				for target, statuses := range map[string][]int{"/none/1": {404}, "/look/full": {503}, "/book/reset": {502}, "/book/hang": {502, 504}, "/all/1": {503}} {
					io.WriteString(c, request(target, "a"+target, "")+request("/none/2", "b"+target, ""))
					So(statuses, ShouldContain, readAnswer(r).StatusCode)
					So(readAnswer(r).StatusCode, ShouldEqual, 404)
				}
				p.configure(strings.Replace(testConfig, `"revision":1`, `"revision":2,"allowances":[{"name":"x","header":"X-Desk","value":"x","rate":5}]`, 1))
				p.handler.Allow = func(string) (bool, time.Duration) { return false, time.Second }
				io.WriteString(c, request("/look/1", "q1", "X-Desk: x\r\n")+request("/none/3", "q2", ""))
				So(readAnswer(r).StatusCode, ShouldEqual, 429)
				So(readAnswer(r).StatusCode, ShouldEqual, 404)
				p.downstream.RejectRequests()
				io.WriteString(c, request("/look/1", "e1", ""))
				So(readAnswer(r).StatusCode, ShouldEqual, 503)
				_, err := r.ReadByte()
				So(err, ShouldEqual, io.EOF)
			})
			Convey("end with the head also where the request cannot be read", func() {
				p := newProxy(t, nil)
				p.configure(strings.Replace(testConfig, `"revision":1`, `"revision":2,"limits":{"max_header_bytes":400,"max_body_bytes":50,"header_timeout_ms":40,"idle_timeout_ms":30000}`, 1))
				for text, statuses := range map[string][]int{
					request("/look/1", "l1", "Content-Length: 51\r\n"):                     {413},
					request("/look/1", "l2", "X-Long: "+strings.Repeat("x", 500)+"\r\n"):   {413, 431},
					strings.Replace(request("/look/1", "l3", ""), "HTTP/1.1", "HTTP/3", 1): {505},
					method + " /look/1 HTTP/1.1\r\nHost: h\r\n":                            {408},
					request("/look/1", "l4", "Content-Length: x\r\n"):                      {400},
				} {
					c, r := p.connect()
					io.WriteString(c, text)
					So(statuses, ShouldContain, readAnswer(r).StatusCode)
					_, err := r.ReadByte()
					So(err, ShouldEqual, io.EOF)
				}
			})
		})
	}
}
