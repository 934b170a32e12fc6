package httpserver_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/stretchr/testify/require"

	"saddleport/internal/lab/standin"
)

// A request that exceeds its caller's allowance does not run, not even in part: none of 100,000
// rejected requests reaches a server, and every admitted one runs once.
func TestAllowanceRejects(t *testing.T) {
	Convey("Requests beyond their caller's allowance are rejected before they reach a server", t, func() {
		p := newProxy(t, nil)
		p.configure(strings.Replace(testConfig, `"revision":1`, `"revision":2,"allowances":[{"name":"billing","header":"X-Desk","value":"billing","rate":5}]`, 1))
		s := p.startServer("one", "i-one", func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "booked"} })
		var checked, admitted atomic.Int64
		p.handler.Allow = func(name string) (bool, time.Duration) {
			require.Equal(t, "billing", name)
			if checked.Add(1)%100 == 0 {
				admitted.Add(1)
				return true, 0
			}
			return false, 420 * time.Millisecond
		}
		c, r := p.connect()
		ans, _ := send(t, c, r, "POST", "/book/1", "b0", "body") // from another caller, so the allowance does not apply
		So(ans.StatusCode, ShouldEqual, 200)
		const clients, each = 8, 12_700
		var running sync.WaitGroup
		var rejected, full, wrong atomic.Int64
		for n := range clients {
			running.Add(1)
			go func() {
				defer running.Done()
				c, err := net.Dial("tcp4", p.addr)
				require.NoError(t, err)
				defer c.Close()
				c.SetDeadline(time.Now().Add(5 * time.Minute))
				r := bufio.NewReaderSize(c, 4096)
				for i := range each {
					fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Desk: billing\r\nX-Saddleport-Attempt-Id: a%d-%d\r\nX-Saddleport-Deadline-Ms: 60000\r\nContent-Length: 4\r\n\r\nbody", n, i)
					text, length := "", 0
					for { // reads the head by lines, which is fast enough for a hundred thousand responses
						line, err := r.ReadString('\n')
						require.NoError(t, err)
						if line == "\r\n" {
							break
						}
						text += line
						fmt.Sscanf(line, "Content-Length: %d", &length)
					}
					_, err := r.Discard(length)
					require.NoError(t, err)
					switch {
					case strings.HasPrefix(text, "HTTP/1.1 429 ") && strings.Contains(text, "Retry-After: 0.42\r\n"):
						rejected.Add(1)
					case strings.HasPrefix(text, "HTTP/1.1 503 "): // admitted, but there was no capacity; this also promises that the request has not run
						full.Add(1)
					case !strings.HasPrefix(text, "HTTP/1.1 200 "):
						wrong.Add(1)
					}
				}
			}()
		}
		running.Wait()
		So(wrong.Load(), ShouldEqual, 0)
		So(rejected.Load(), ShouldBeGreaterThanOrEqualTo, 100_000)
		seen := make(map[string]int)
		for _, x := range s.Seen() {
			seen[x.Attempt]++
		}
		So(len(seen), ShouldEqual, admitted.Load()-full.Load()+1)
		So(full.Load(), ShouldBeLessThan, admitted.Load()/10)
		for id, n := range seen {
			if n != 1 {
				t.Fatalf("%s ran %d times", id, n)
			}
		}
		c, r = p.connect()
		fmt.Fprintf(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Desk: billing\r\nX-Saddleport-Attempt-Id: z\r\n\r\n")
		_, err := r.ReadString('\n')
		So(err, ShouldBeNil)
		rest := make([]byte, 400)
		n, _ := r.Read(rest)
		So(string(rest[:n]), ShouldContainSubstring, "not done: the allowance billing (5 requests a second) is used up; come back in 0.4 s")
	})
}
