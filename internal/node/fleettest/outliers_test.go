package fleettest

import (
	"fmt"
	"strings"
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

// explain returns the explain output of a program for a server or caller.
func (f *fleet) explain(program string, machine int, about string) string {
	_, text := f.call("GET", admin.ShowAddr(program, f.settings(machine, false)), "/Explain/"+about, "")
	return text
}

// A server that becomes slow is ejected by every proxy, stays ejected when the agent that runs the aggregator
// is stopped, and is restored by the next aggregator once it is fast again.
func TestEjection(t *testing.T) {
	Convey("Proxies on loopback and a server that becomes slow", t, func() {
		f := newFleet(t)
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, true, controlplane.Run)
		}
		for m := 11; m <= 13; m++ {
			f.start(admin.Agent, m, true, agent.Run)
			f.start(admin.Proxy, m, true, proxy.Run)
		}
		var slow atomic.Bool
		for i := range 4 {
			server, err := standin.NewServer(fmt.Sprint("i-", i), func(int, standin.Seen) standin.Reply {
				released := make(chan struct{})
				latency := 5 * time.Millisecond
				if i == 2 && slow.Load() {
					latency = 300 * time.Millisecond // on a busy machine the others take tens of milliseconds too
				}
				time.AfterFunc(latency, func() { close(released) })
				return standin.Reply{Body: "x", HoldUntil: released}
			})
			So(err, ShouldBeNil)
			defer server.Close()
			waitFor("a heartbeat is accepted", func() bool { return f.heartbeat(1+i%3, server, "s", "available", 1) == 200 })
			defer f.sendHeartbeats(1+i%3, server, "s")()
		}
		// Between two trials a proxy avoids a suspect for several latency targets. With a long target, three
		// proxies that get requests in turn would make no two trials close enough together to be evidence.
		waitFor("the update is acknowledged", func() bool {
			code, _ := f.call("POST", f.control(1), "/Config.Replace", strings.Replace(configuration(3, "v3"), `latency_ms":500`, `latency_ms":50`, 1))
			return code == 200
		})
		for m := 11; m <= 13; m++ {
			waitFor("a request is served", func() bool { code, _ := f.get(m, "/v3/x"); return code == 200 && f.shows(admin.Proxy, m, "i-3") })
		}
		requestAll := func() { // one request to each proxy, at the same time
			done := make(chan int, 3)
			for m := 11; m <= 13; m++ {
				go func() { code, _ := f.get(m, "/v3/x"); done <- code }()
			}
			for range 3 {
				<-done
			}
		}
		for range 40 {
			requestAll()
		}
		for m := 11; m <= 13; m++ {
			So(f.explain(admin.Proxy, m, "i-2"), ShouldNotContainSubstring, "outlier: ejected")
		}
		slow.Store(true)
		begin := time.Now()
		waitFor("the slow server is ejected everywhere", func() bool {
			requestAll()
			for m := 11; m <= 13; m++ {
				if !strings.Contains(f.explain(admin.Proxy, m, "i-2"), "outlier: ejected") {
					return false
				}
			}
			return true
		})
		t.Logf("ejected by all proxies after %v", time.Since(begin).Round(time.Millisecond))
		for _, other := range []string{"i-0", "i-1", "i-3"} {
			So(f.explain(admin.Proxy, 11, other), ShouldNotContainSubstring, "outlier: ejected")
		}
		code, text := f.call("GET", admin.ShowAddr(admin.Proxy, f.settings(11, false)), "/Explain/i-99", "")
		So(code, ShouldEqual, 404)
		So(text, ShouldContainSubstring, "i-99")
		holder := 0
		for m := 11; m <= 13; m++ {
			if strings.Contains(f.explain(admin.Agent, m, "i-2"), "evidence on") {
				holder = m
			}
		}
		So(holder, ShouldNotEqual, 0)
		f.stop(admin.Agent, holder)
		for range 20 {
			requestAll()
		}
		for m := 11; m <= 13; m++ {
			So(f.explain(admin.Proxy, m, "i-2"), ShouldContainSubstring, "outlier: ejected")
		}
		// Once the server is fast again the agent that now runs the aggregator restores it.
		slow.Store(false)
		waitFor("the server is restored everywhere", func() bool {
			requestAll()
			for m := 11; m <= 13; m++ {
				if strings.Contains(f.explain(admin.Proxy, m, "i-2"), "outlier: ejected") {
					return false
				}
			}
			return true
		})
	})
}
