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

// Three mixers on loopback, a caller that asks ten times its allowance at all of them:
// together they hold it to that; who is within is not touched; a change counts at once.
func TestOneAllowance(t *testing.T) {
	Convey("A burst over three mixers", t, func() {
		f := NewFleet(t)
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, true, controlplane.Run)
		}
		for m := 11; m <= 13; m++ {
			f.start(admin.Agent, m, true, agent.Run)
			f.start(admin.Proxy, m, true, proxy.Run)
		}
		s, err := standin.NewServer("i-a", func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "a"} })
		So(err, ShouldBeNil)
		defer s.Close()
		defer f.beating(1, s, "s")()
		const rate, burst = 20, 10
		stated := func(version int, list string) string {
			return strings.Replace(Config(version, "v"), `"routes"`, `"allowances":`+list+`,"routes"`, 1)
		}
		replace := func(text string) {
			Until("an acknowledgement", func() bool { code, _ := f.call("POST", f.control(1), "/Config.Replace", text); return code == 200 })
		}
		replace(stated(1, fmt.Sprintf(`[{"name":"billing","header":"X-Desk","value":"billing","rate":%d,"burst":%d}]`, rate, burst)))
		for m := 11; m <= 13; m++ {
			Until("a request served", func() bool { code, _ := f.get(m, "/v/x"); return code == 200 && f.shows(admin.Proxy, m, "billing") })
		}
		before := len(s.Seen())
		var admitted, refused, urgent, other atomic.Int64
		begin := time.Now()
		var wait sync.WaitGroup
		for n := range 9 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				c, err := net.Dial("tcp4", f.front(11+n%3))
				if err != nil {
					return
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(30 * time.Second))
				r := bufio.NewReader(c)
				for admitted.Load() <= 60 && time.Since(begin) < time.Minute {
					desk := "billing"
					if rand.IntN(20) == 0 {
						desk = "dispatch"
					}
					fmt.Fprintf(c, "GET /v/x HTTP/1.1\r\nHost: h\r\nX-Desk: %s\r\nX-Saddleport-Attempt-Id: %x\r\nX-Saddleport-Deadline-Ms: 2000\r\n\r\n", desk, rand.Uint64())
					p, err := http.ReadResponse(r, nil)
					if err != nil {
						return
					}
					p.Body.Close()
					switch {
					case desk == "dispatch" && p.StatusCode == 200:
						urgent.Add(1)
					case desk == "billing" && p.StatusCode == 200:
						admitted.Add(1)
					case desk == "billing" && p.StatusCode == 429 && p.Header.Get("Retry-After") != "":
						refused.Add(1)
					default:
						other.Add(1)
					}
				}
			}()
		}
		wait.Wait()
		span := time.Since(begin).Seconds()
		t.Logf("%d admitted of %.0f, %d refused, %d of others in %.1f s", admitted.Load(), rate*span+burst, refused.Load(), urgent.Load(), span)
		So(float64(admitted.Load()), ShouldBeLessThanOrEqualTo, rate*span+burst+3)
		So(admitted.Load(), ShouldBeGreaterThan, 60)
		So(other.Load(), ShouldBeLessThan, 1+urgent.Load()/10)                                          // a busy machine may find no room
		So(len(s.Seen())-before, ShouldBeLessThanOrEqualTo, admitted.Load()+urgent.Load()+other.Load()) // nobody who was refused got there
		shown := 0
		for m := 11; m <= 13; m++ {
			if f.shows(admin.Agent, m, "the lessor is here") {
				shown++
			}
		}
		So(shown, ShouldEqual, 1)
		replace(stated(2, `[]`))
		Until("it gone everywhere", func() bool {
			for m := 11; m <= 13; m++ {
				if f.shows(admin.Proxy, m, "billing") || !f.shows(admin.Proxy, m, "routes of version 2") {
					return false
				}
			}
			return true
		})
	})
}
