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

// explains asks a proxy what it knows of a server.
func (f *fleet) explains(program string, machine int, about string) string {
	_, text := f.call("GET", admin.ShowAddr(program, f.Boot(machine, false)), "/Explain/"+about, "")
	return text
}

// A server that turns slow is set apart at every mixer, is kept so when the agent that
// holds the council dies, and is brought back once it is well: by whoever follows.
func TestSetApart(t *testing.T) {
	Convey("Mixers on loopback before a server that turns slow", t, func() {
		f := NewFleet(t)
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, true, controlplane.Run)
		}
		for m := 11; m <= 13; m++ {
			f.start(admin.Agent, m, true, agent.Run)
			f.start(admin.Proxy, m, true, proxy.Run)
		}
		var slow atomic.Bool
		for i := range 4 {
			s, err := standin.NewServer(fmt.Sprint("i-", i), func(int, standin.Seen) standin.Reply {
				late := make(chan struct{})
				took := 5 * time.Millisecond
				if i == 2 && slow.Load() {
					took = 300 * time.Millisecond // on a busy machine the others take tens of milliseconds too
				}
				time.AfterFunc(took, func() { close(late) })
				return standin.Reply{Body: "x", Hold: late}
			})
			So(err, ShouldBeNil)
			defer s.Close()
			Until("a beat taken", func() bool { return f.beat(1+i%3, s, "s", "available", 1) == 200 })
			defer f.beating(1+i%3, s, "s")()
		}
		// A mixer keeps away from a suspect for some aims between trials: a short aim, or three
		// mixers asked in turn have no two trials close enough to be evidence.
		Until("an acknowledgement", func() bool {
			code, _ := f.call("POST", f.control(1), "/Config.Replace", strings.Replace(Config(3, "v3"), `latency_ms":500`, `latency_ms":50`, 1))
			return code == 200
		})
		for m := 11; m <= 13; m++ {
			Until("a request served", func() bool { code, _ := f.get(m, "/v3/x"); return code == 200 && f.shows(admin.Proxy, m, "i-3") })
		}
		ask := func() { // one of each mixer at once
			over := make(chan int, 3)
			for m := 11; m <= 13; m++ {
				go func() { code, _ := f.get(m, "/v3/x"); over <- code }()
			}
			for range 3 {
				<-over
			}
		}
		for range 40 {
			ask()
		}
		for m := 11; m <= 13; m++ {
			So(f.explains(admin.Proxy, m, "i-2"), ShouldNotContainSubstring, "outlier: ejected")
		}
		slow.Store(true)
		begin := time.Now()
		Until("it set apart everywhere", func() bool {
			ask()
			for m := 11; m <= 13; m++ {
				if !strings.Contains(f.explains(admin.Proxy, m, "i-2"), "outlier: ejected") {
					return false
				}
			}
			return true
		})
		t.Logf("set apart by all after %v", time.Since(begin).Round(time.Millisecond))
		for _, other := range []string{"i-0", "i-1", "i-3"} {
			So(f.explains(admin.Proxy, 11, other), ShouldNotContainSubstring, "outlier: ejected")
		}
		code, text := f.call("GET", admin.ShowAddr(admin.Proxy, f.Boot(11, false)), "/Explain/i-99", "")
		So(code, ShouldEqual, 404)
		So(text, ShouldContainSubstring, "i-99")
		holder := 0
		for m := 11; m <= 13; m++ {
			if strings.Contains(f.explains(admin.Agent, m, "i-2"), "evidence on") {
				holder = m
			}
		}
		So(holder, ShouldNotEqual, 0)
		f.stop(admin.Agent, holder)
		for range 20 {
			ask()
		}
		for m := 11; m <= 13; m++ {
			So(f.explains(admin.Proxy, m, "i-2"), ShouldContainSubstring, "outlier: ejected")
		}
		// Once it is well it comes back, by the word of whoever holds the council next.
		slow.Store(false)
		Until("it brought back everywhere", func() bool {
			ask()
			for m := 11; m <= 13; m++ {
				if strings.Contains(f.explains(admin.Proxy, m, "i-2"), "outlier: ejected") {
					return false
				}
			}
			return true
		})
	})
}
