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

// Several control-plane processes on loopback: an update that is sent again, another one with the same
// revision, a replacement that gets the vote of a machine that is stopped, and a machine without a quorum.
func TestControlPlaneUnderLosses(t *testing.T) {
	Convey("Three control-plane machines and a replacement", t, func() {
		f := newFleet(t)
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, true, controlplane.Run)
		}
		update := configuration(1, "a")
		waitFor("the update is acknowledged", func() bool {
			code, _ := f.call("POST", f.control(1), "/Config.Replace", update)
			return code == 200
		})
		for m := 1; m <= 3; m++ { // whichever machine gets the update
			So(f.replace(m, update), ShouldEqual, 200)
			So(f.replace(m, configuration(1, "b")), ShouldEqual, 409)
		}
		So(f.mustCall("GET", 2, "/Config.Describe", ""), ShouldEqual, update)
		So(f.replace(3, configuration(2, "c")), ShouldEqual, 200)
		for _, accepted := range []string{configuration(1, "a"), configuration(2, "c")} { // acknowledged again after newer ones
			So(f.replace(2, accepted), ShouldEqual, 200)
		}
		So(f.replace(2, configuration(1, "b")), ShouldEqual, 409)

		f.start(admin.ControlPlane, 4, false, controlplane.Run)
		waitFor("the replacement has the configuration", func() bool { return f.shows(admin.ControlPlane, 4, "\n  2 ") })
		So(f.hasVote(1, 4), ShouldBeFalse) // it has no vote yet
		f.stop(admin.ControlPlane, 1)
		waitFor("the replacement has the vote", func() bool { return f.hasVote(2, 4) && !f.hasVote(2, 1) })
		waitFor("the next update is acknowledged", func() bool {
			code, _ := f.call("POST", f.control(4), "/Config.Replace", configuration(3, "d"))
			return code == 200
		})

		server, err := standin.NewServer("i-a", nil)
		So(err, ShouldBeNil)
		defer server.Close()
		So(f.heartbeat(4, server, "s", "available", 1), ShouldEqual, 200)
		f.kill(admin.ControlPlane, 2)
		f.kill(admin.ControlPlane, 3)
		waitFor("the remaining machine knows that it has no quorum", func() bool {
			code, text := f.call("GET", f.control(4), "/Config.Describe", "")
			return code == 503 && strings.Contains(text, "out of touch")
		})
		code, _ := f.call("POST", f.control(4), "/Config.Replace", configuration(4, "e"))
		So(code, ShouldEqual, 503)
		So(f.heartbeat(4, server, "s", "available", 2), ShouldEqual, 200)
		So(f.heartbeat(4, server, "s", "draining", 3), ShouldEqual, 503) // gossiped, but not acknowledged
		for m := 2; m <= 3; m++ {
			f.start(admin.ControlPlane, m, false, controlplane.Run)
		}
		waitFor("the control plane has a quorum and the acknowledged configuration", func() bool {
			code, text := f.call("GET", f.control(4), "/Config.Describe", "")
			return code == 200 && text == configuration(3, "d")
		})
	})
}

// hasVote reports whether a machine has a vote according to another one.
func (f *fleet) hasVote(seenBy, machine int) bool {
	return f.shows(admin.ControlPlane, seenBy, fmt.Sprintf("%s:%d/", f.ip(machine), f.port))
}

// replace sends a configuration update until the response is neither an error nor 503, and returns its status.
func (f *fleet) replace(machine int, update string) (code int) {
	waitFor("the update is accepted or rejected", func() bool {
		code, _ = f.call("POST", f.control(machine), "/Config.Replace", update)
		return code != 0 && code != 503
	})
	return code
}

// mustCall repeats a call until the status is 200, and returns the body.
func (f *fleet) mustCall(method string, machine int, path, body string) (text string) {
	waitFor(method+" "+path, func() bool {
		code, answer := f.call(method, f.control(machine), path, body)
		text = answer
		return code == 200
	})
	return text
}

// All control-plane processes end, and every agent knows that they have. After their restart the agents must
// learn of the updates that are acknowledged then: agents that never called processes believed dead did not
// (issue 52).
func TestControlPlaneBack(t *testing.T) {
	Convey("An update that is acknowledged after a restart of the complete control plane", t, func() {
		f := newFleet(t)
		replace := func(revision int) {
			waitFor("the update is acknowledged", func() bool {
				code, _ := f.call("POST", f.control(1), "/Config.Replace", configuration(revision, fmt.Sprint("v", revision)))
				return code == 200
			})
		}
		inForce := func(revision int) {
			for m := 11; m <= 12; m++ {
				waitFor("the update is in force", func() bool { return f.shows(admin.Proxy, m, fmt.Sprint("routes of version ", revision)) })
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
				waitFor("the agent knows that the control plane has ended", func() bool { return !f.shows(admin.Agent, m, gossip.KindControlPlane+" ") })
			}
			for m := 1; m <= 3; m++ {
				f.start(admin.ControlPlane, m, false, controlplane.Run)
			}
			replace(revision)
			inForce(revision)
		}
	})
}

// Guards against an acknowledged departure that only the machine which acknowledged it has in memory: it
// would be lost with that machine, and a machine that has just been cut off would acknowledge it.
func TestDepartureIsReplicated(t *testing.T) {
	Convey("Three control-plane machines", t, func() {
		f := newFleet(t)
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, true, controlplane.Run)
		}
		f.replace(1, configuration(1, "a"))
		available := func(machine int, id string) bool {
			return strings.Contains(f.showRow(admin.ControlPlane, machine, id), "available")
		}
		servers := make([]*standin.Server, 6)
		for i := range servers {
			server, err := standin.NewServer(fmt.Sprint("i-", i), nil)
			So(err, ShouldBeNil)
			Reset(server.Close)
			servers[i] = server
			So(f.heartbeat(1, server, "s", "available", 1), ShouldEqual, 200)
		}
		for _, server := range servers {
			for m := 1; m <= 3; m++ {
				waitFor("every machine knows the server", func() bool { return available(m, server.ID) })
			}
		}
		Convey("acknowledge a departure once a majority knows it, however soon after another one", func() {
			leave := func(server *standin.Server, draining bool) int {
				if draining {
					return f.heartbeat(1, server, "s", "draining", 2)
				}
				code, _ := f.call("POST", f.control(1), "/Instances.Deregister/"+server.ID, "")
				return code
			}
			for i, server := range servers {
				waitFor("the departure is acknowledged", func() bool { return leave(server, i%2 == 0) == 200 })
				So(available(2, server.ID) && available(3, server.ID), ShouldBeFalse)
			}
		})
		Convey("of which one has just lost the two others: it does not acknowledge a departure", func() {
			f.kill(admin.ControlPlane, 2)
			f.kill(admin.ControlPlane, 3)
			So(f.heartbeat(1, servers[0], "s", "draining", 2), ShouldEqual, 503)
			code, _ := f.call("POST", f.control(1), "/Instances.Deregister/"+servers[1].ID, "")
			So(code, ShouldEqual, 503)
		})
	})
}
