package fleettest

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/lab/standin"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/agent"
	"saddleport/internal/node/controlplane"
	"saddleport/internal/node/proxy"
)

// A caller sends ten times its allowance to three proxies. Together they admit no more than the allowance,
// other callers are not affected, and a change of the allowances takes effect at once.
func TestAllowanceAcrossProxies(t *testing.T) {
	Convey("A burst at three proxies", t, func() {
		f := newFleet(t)
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, true, controlplane.Run)
		}
		for m := 11; m <= 13; m++ {
			f.start(admin.Agent, m, true, agent.Run)
			f.start(admin.Proxy, m, true, proxy.Run)
		}
		server, err := standin.NewServer("i-a", func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "a"} })
		So(err, ShouldBeNil)
		defer server.Close()
		defer f.sendHeartbeats(1, server, "s")()
		const rate, burst = 20, 10
		withAllowances := func(version int, allowances string) string {
			return strings.Replace(configuration(version, "v"), `"routes"`, `"allowances":`+allowances+`,"routes"`, 1)
		}
		replace := func(text string) {
			waitFor("the update is acknowledged", func() bool { code, _ := f.call("POST", f.control(1), "/Config.Replace", text); return code == 200 })
		}
		replace(withAllowances(1, fmt.Sprintf(`[{"name":"billing","header":"X-Desk","value":"billing","rate":%d,"burst":%d}]`, rate, burst)))
		for m := 11; m <= 13; m++ {
			waitFor("a request is served", func() bool { code, _ := f.get(m, "/v/x"); return code == 200 && f.shows(admin.Proxy, m, "billing") })
		}
		before := len(server.Seen())
		var admitted, refused, dispatched, other atomic.Int64
		begin := time.Now()
		var wait sync.WaitGroup
		for n := range 9 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				connection, err := net.Dial("tcp4", f.downstream(11+n%3))
				if err != nil {
					return
				}
				defer connection.Close()
				connection.SetDeadline(time.Now().Add(30 * time.Second))
				reader := bufio.NewReader(connection)
				for admitted.Load() <= 60 && time.Since(begin) < time.Minute {
					caller := "billing"
					if rand.IntN(20) == 0 {
						caller = "dispatch"
					}
					fmt.Fprintf(connection, "GET /v/x HTTP/1.1\r\nHost: h\r\nX-Desk: %s\r\nX-Saddleport-Attempt-Id: %x\r\nX-Saddleport-Deadline-Ms: 2000\r\n\r\n", caller, rand.Uint64())
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						return
					}
					response.Body.Close()
					switch {
					case caller == "dispatch" && response.StatusCode == 200:
						dispatched.Add(1)
					case caller == "billing" && response.StatusCode == 200:
						admitted.Add(1)
					case caller == "billing" && response.StatusCode == 429 && response.Header.Get("Retry-After") != "":
						refused.Add(1)
					default:
						other.Add(1)
					}
				}
			}()
		}
		wait.Wait()
		seconds := time.Since(begin).Seconds()
		t.Logf("%d admitted of %.0f, %d refused, %d of others in %.1f s", admitted.Load(), rate*seconds+burst, refused.Load(), dispatched.Load(), seconds)
		So(float64(admitted.Load()), ShouldBeLessThanOrEqualTo, rate*seconds+burst+3)
		So(admitted.Load(), ShouldBeGreaterThan, 60)
		So(other.Load(), ShouldBeLessThan, 1+dispatched.Load()/10)                                               // on a busy machine a request may be rejected for lack of capacity
		So(len(server.Seen())-before, ShouldBeLessThanOrEqualTo, admitted.Load()+dispatched.Load()+other.Load()) // no refused request reached the server
		lessors := 0
		for m := 11; m <= 13; m++ {
			if f.shows(admin.Agent, m, "the lessor is here") {
				lessors++
			}
		}
		So(lessors, ShouldEqual, 1)
		replace(withAllowances(2, `[]`))
		waitFor("the allowance is removed everywhere", func() bool {
			for m := 11; m <= 13; m++ {
				if f.shows(admin.Proxy, m, "billing") || !f.shows(admin.Proxy, m, "routes of version 2") {
					return false
				}
			}
			return true
		})
	})
}
