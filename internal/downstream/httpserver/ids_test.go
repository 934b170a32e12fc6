package httpserver_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/lab/standin"
)

// Guards against a request that ends as failed although its server has served it, since the proxy sent another id
// than the one that it expects in the answer.
func TestUnusualIDs(t *testing.T) {
	for name, id := range map[string]string{"no id": "", "an id of 201 bytes": strings.Repeat("i", 201), "an id like a generated one": "~1"} {
		Convey("A request with "+name, t, func() {
			fields := ""
			if id != "" {
				fields = "X-Saddleport-Attempt-Id: " + id + "\r\n"
			}
			_, server, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "ok"} })
			for range 2 {
				fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\n%sContent-Length: 0\r\n\r\n", fields)
				answer, err := http.ReadResponse(r, nil)
				So(err, ShouldBeNil)
				body, err := io.ReadAll(answer.Body)
				So(err, ShouldBeNil)
				So(answer.StatusCode, ShouldEqual, 200)
				So(string(body), ShouldEqual, "ok")
			}
			seen := server.Seen()
			So(seen, ShouldHaveLength, 2)
			So(seen[0].Attempt, ShouldEqual, id)
			So(seen[1].Conn != seen[0].Conn, ShouldEqual, id == "") // without an id, a second answer could pass for the next one
		})
	}
	Convey("The answer to another request is not taken for that to a request without an id", t, func() {
		_, _, c, r := newProxyWithServer(t, func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "ok", ID: "other"} })
		fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Saddleport-Deadline-Ms: 200\r\nContent-Length: 0\r\n\r\n")
		answer, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		So(answer.StatusCode, ShouldBeGreaterThanOrEqualTo, 500)
	})
}
