package fleettest

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/lab/standin"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/agent"
	"saddleport/internal/node/controlplane"
	"saddleport/internal/node/proxy"
)

// Several core processes on loopback: an order sent again and another one under its number, a
// replacement that takes the vote of a machine that is told to stop, and one machine alone.
func TestControlUnderLosses(t *testing.T) {
	Convey("Three core machines and their successor", t, func() {
		f := NewFleet(t)
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, true, controlplane.Run)
		}
		order := Config(1, "a")
		Until("an order acknowledged", func() bool {
			code, _ := f.call("POST", f.control(1), "/Config.Replace", order)
			return code == 200
		})
		for m := 1; m <= 3; m++ { // to any machine
			So(f.clear(m, order), ShouldEqual, 200)
			So(f.clear(m, Config(1, "b")), ShouldEqual, 409)
		}
		So(f.must("GET", 2, "/Config.Describe", ""), ShouldEqual, order)
		So(f.clear(3, Config(2, "c")), ShouldEqual, 200)
		for _, late := range []string{Config(1, "a"), Config(2, "c")} { // also after newer ones
			So(f.clear(2, late), ShouldEqual, 200)
		}
		So(f.clear(2, Config(1, "b")), ShouldEqual, 409)

		f.start(admin.ControlPlane, 4, false, controlplane.Run)
		Until("the successor learns", func() bool { return f.shows(admin.ControlPlane, 4, "\n  2 ") })
		So(f.votes(1, 4), ShouldBeFalse) // and has no vote yet
		f.stop(admin.ControlPlane, 1)
		Until("it has the vote", func() bool { return f.votes(2, 4) && !f.votes(2, 1) })
		Until("the next order acknowledged", func() bool {
			code, _ := f.call("POST", f.control(4), "/Config.Replace", Config(3, "d"))
			return code == 200
		})

		s, err := standin.NewServer("i-a", nil)
		So(err, ShouldBeNil)
		defer s.Close()
		So(f.beat(4, s, "s", "available", 1), ShouldEqual, 200)
		f.kill(admin.ControlPlane, 2)
		f.kill(admin.ControlPlane, 3)
		Until("the machine that is left knows that it is alone", func() bool {
			code, text := f.call("GET", f.control(4), "/Config.Describe", "")
			return code == 503 && strings.Contains(text, "out of touch")
		})
		code, _ := f.call("POST", f.control(4), "/Config.Replace", Config(4, "e"))
		So(code, ShouldEqual, 503)
		So(f.beat(4, s, "s", "available", 2), ShouldEqual, 200)
		So(f.beat(4, s, "s", "draining", 3), ShouldEqual, 503) // it is told on, and not acknowledged
		for m := 2; m <= 3; m++ {
			f.start(admin.ControlPlane, m, false, controlplane.Run)
		}
		Until("the core again, with what it acknowledged", func() bool {
			code, text := f.call("GET", f.control(4), "/Config.Describe", "")
			return code == 200 && text == Config(3, "d")
		})
	})
}

// votes tells whether a machine has a vote, as another one sees it.
func (f *fleet) votes(seenBy, machine int) bool {
	return f.shows(admin.ControlPlane, seenBy, fmt.Sprintf("%s:%d/", f.Ip(machine), f.port))
}

// clear sends an order until there is a clear answer.
func (f *fleet) clear(machine int, order string) (code int) {
	Until("a clear answer", func() bool {
		code, _ = f.call("POST", f.control(machine), "/Config.Replace", order)
		return code != 0 && code != 503
	})
	return code
}

// must calls until it is answered 200.
func (f *fleet) must(method string, machine int, path, body string) (text string) {
	Until(method+" "+path, func() bool {
		code, answer := f.call(method, f.control(machine), path, body)
		text = answer
		return code == 200
	})
	return text
}

// The control plane ends as a whole, in order or killed, and every agent knows that it has. Once it
// is back the agents hear of what it acknowledges (issue 52).
func TestControlPlaneBack(t *testing.T) {
	Convey("A change that a control plane acknowledges after all of it was restarted", t, func() {
		f := NewFleet(t)
		replace := func(revision int) {
			Until("an order acknowledged", func() bool {
				code, _ := f.call("POST", f.control(1), "/Config.Replace", Config(revision, fmt.Sprint("v", revision)))
				return code == 200
			})
		}
		inForce := func(revision int) {
			for m := 11; m <= 12; m++ {
				Until("the change in force", func() bool { return f.shows(admin.Proxy, m, fmt.Sprint("routes of version ", revision)) })
			}
		}
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, true, controlplane.Run)
		}
		for m := 11; m <= 12; m++ {
			f.start(admin.Agent, m, true, agent.Run)
			f.start(admin.Proxy, m, true, proxy.Run)
		}
		replace(1)
		inForce(1)
		for revision := 2; revision <= 3; revision++ {
			for m := 1; m <= 3; m++ {
				f.stop(admin.ControlPlane, m)
			}
			for m := 11; m <= 12; m++ {
				Until("its end known", func() bool { return !f.shows(admin.Agent, m, gossip.KindControlPlane+" ") })
			}
			for m := 1; m <= 3; m++ {
				f.start(admin.ControlPlane, m, false, controlplane.Run)
			}
			replace(revision)
			inForce(revision)
		}
	})
}
