package fleettest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/lab/standin"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/agent"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/controlplane"
	"saddleport/internal/node/events"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/proxy"
	"saddleport/internal/node/rpc"
)

// fleet is the system's processes, as goroutines, each machine at a loopback address of
// its own.
type fleet struct {
	t     *testing.T
	net   string
	port  int
	seeds string
	Dirs  map[string]string
	stops map[string]func()
	boots map[string]*nodesettings.Settings
}

func NewFleet(t *testing.T) *fleet {
	events.SetOutput(io.Discard)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	port := ln.Addr().(*net.TCPAddr).Port
	ln.Close()
	if port > 65000 {
		port -= 1000
	}
	f := &fleet{t: t, net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)), port: port,
		Dirs: make(map[string]string), stops: make(map[string]func()), boots: make(map[string]*nodesettings.Settings)}
	f.seeds = fmt.Sprintf("%s,%s,%s", f.control(1), f.control(2), f.control(3))
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
	})
	return f
}

func (f *fleet) Ip(machine int) string { return fmt.Sprintf("%s.%d", f.net, machine) }

func (f *fleet) control(machine int) string { return fmt.Sprintf("%s:%d", f.Ip(machine), f.port+9) }

func (f *fleet) front(machine int) string { return fmt.Sprintf("%s:%d", f.Ip(machine), f.port+8) }

func (f *fleet) Boot(machine int, first bool) *nodesettings.Settings {
	dir := f.Dirs[f.Ip(machine)]
	if dir == "" {
		dir = f.t.TempDir()
		f.Dirs[f.Ip(machine)] = dir
	}
	b, err := nodesettings.Parse(fmt.Sprintf("node_name=m%d\nip_address=%s\nzone=z%d\nregion=z%d\ninternal_port_range=%d,%d\nseed_addresses=%s\nbootstrap=%t\n"+
		"limits.memory_mb=200\nlimits.max_open_files=2000\ndata_directory=%s\nheartbeat_interval_ms=1000\nfault_tolerance.machines=1\n"+
		"listen_addresses.control_plane=%s\nlisten_addresses.front=%s\nlisten_addresses.readiness=%s:%d\n"+
		"bounds.drain_ms=4000\nbounds.grace_s=1\nbounds.retry_window_s=10\nbounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=58",
		machine, f.Ip(machine), machine%3, machine%3, f.port, f.port+7, f.seeds, first, dir, f.control(machine), f.front(machine), f.Ip(machine), f.port+7))
	So(err, ShouldBeNil)
	b.LoopbackIP = f.Ip(machine)
	return b
}

// start runs a program on a machine; stop ends it as SIGTERM does.
func (f *fleet) start(name string, machine int, first bool, run func(context.Context, *nodesettings.File) error) {
	key := fmt.Sprint(name, machine)
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	boot := f.Boot(machine, first)
	f.boots[key] = boot
	go func() { over <- run(ctx, nodesettings.Fixed(boot)) }()
	f.stops[key] = func() {
		cancel()
		<-over
		delete(f.stops, key)
	}
}

func (f *fleet) stop(name string, machine int) { f.stops[fmt.Sprint(name, machine)]() }

// kill ends a program without the time to hand anything over.
func (f *fleet) kill(name string, machine int) {
	boot := f.boots[fmt.Sprint(name, machine)]
	boot.Bounds.Grace = 0
	f.stop(name, machine)
}

// until waits for what must come about.
func Until(what string, f func() bool) {
	end := time.After(60 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !f() {
		select {
		case <-end:
			So(what, ShouldEqual, "come about within 60 s")
		case <-tick.C:
		}
	}
}

func (f *fleet) call(method, machine, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+machine+path, strings.NewReader(body))
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer p.Body.Close()
	b, _ := io.ReadAll(p.Body)
	return p.StatusCode, string(b)
}

func (f *fleet) beat(machine int, s *standin.Server, service, state string, seq int64) int {
	b, _ := json.Marshal(registry.Heartbeat{Service: service, Addr: s.Addr, Zone: "z1", Capacity: 3, State: state, Sequence: seq})
	code, _ := f.call("POST", f.control(machine), "/Instances.Heartbeat/"+s.ID, string(b))
	return code
}

// beating has a server beat until it is stopped.
func (f *fleet) beating(machine int, s *standin.Server, service string) (stop func()) {
	over, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(400 * time.Millisecond)
		defer tick.Stop()
		for seq := int64(2); ; seq++ {
			f.beat(machine, s, service, "available", seq)
			select {
			case <-over:
				return
			case <-tick.C:
			}
		}
	}()
	return func() { close(over); <-ended }
}

// get asks a proxy; 0: no answer.
func (f *fleet) get(machine int, path string) (int, string) {
	c, err := net.DialTimeout("tcp4", f.front(machine), time.Second)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: %x\r\nX-Saddleport-Deadline-Ms: 2000\r\n\r\n", path, rand.Uint64())
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	b, _ := io.ReadAll(p.Body)
	return p.StatusCode, string(b)
}

func (f *fleet) shows(program string, machine int, text string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := admin.ShowCall.Invoke(ctx, rpc.NewClient(time.Second), admin.ShowAddr(program, f.Boot(machine, false)), "", nil)
	return err == nil && strings.Contains(s.Text(), text)
}

func Config(version int, prefix string) string {
	return fmt.Sprintf(`{"revision":%d, "services":[{"name":"s","max_connections":76}],
 "routes":[{"hostname":"h","path_prefix":"/%s/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"target_service":"s","max_attempts":2}]}`, version, prefix)
}

// The whole path, and what it bears: no seeds, no core, no agent, no proxy for a while.
func TestFleet(t *testing.T) {
	Convey("The system on loopback", t, func() {
		f := NewFleet(t)
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, true, controlplane.Run)
		}
		for m := 11; m <= 12; m++ {
			f.start(admin.Agent, m, true, agent.Run)
			f.start(admin.Proxy, m, true, proxy.Run)
		}
		a, err := standin.NewServer("i-a", func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "a"} })
		So(err, ShouldBeNil)
		defer a.Close()
		b, err := standin.NewServer("i-b", func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "b"} })
		So(err, ShouldBeNil)
		defer b.Close()
		code := 0

		// A configuration is taken by any core machine and read back at any, byte by byte.
		Until("an acknowledgement", func() bool {
			code, _ = f.call("POST", f.control(2), "/Config.Replace", Config(3, "v3"))
			return code == 200
		})
		for m := 1; m <= 3; m++ {
			Until("a read", func() bool { code, _ = f.call("GET", f.control(m), "/Config.Describe", ""); return code == 200 })
			_, text := f.call("GET", f.control(m), "/Config.Describe", "")
			So(text, ShouldEqual, Config(3, "v3"))
		}
		code, text := f.call("POST", f.control(1), "/Config.Replace", strings.Replace(Config(9, "x"), `"s","max`, `"q","max`, 1))
		So(code, ShouldEqual, 400)
		So(text, ShouldContainSubstring, "routes[0].target_service")
		code, _ = f.call("POST", f.control(3), "/Config.Replace", Config(2, "old")) // acknowledged, and alters nothing
		So(code, ShouldEqual, 200)
		_, text = f.call("GET", f.control(1), "/Config.Describe", "")
		So(text, ShouldEqual, Config(3, "v3"))

		// A server is known by its beats, and a request goes there.
		Until("a beat taken", func() bool { return f.beat(1, a, "s", "available", 1) == 200 })
		for m := 11; m <= 12; m++ {
			Until("a request served", func() bool { code, text = f.get(m, "/v3/x"); return code == 200 })
			So(text, ShouldEqual, "a")
			ready, _ := f.call("GET", fmt.Sprintf("%s:%d", f.Ip(m), f.port+7), "/readiness", "")
			So(ready, ShouldEqual, 200)
			code, _ = f.get(m, "/old/x")
			So(code, ShouldEqual, 404)
		}

		// A drain reaches every proxy; work goes to the other server.
		So(f.beat(2, b, "s", "available", 1), ShouldEqual, 200)
		So(f.beat(3, a, "s", "draining", 2), ShouldEqual, 200)
		for m := 11; m <= 12; m++ {
			Until("the drain known", func() bool { return f.shows(admin.Proxy, m, "draining") && f.shows(admin.Proxy, m, "i-b") })
		}
		before := len(a.Seen())
		for range 20 {
			Until("a request served", func() bool { code, text = f.get(11, "/v3/x"); return code == 200 }) // a machine that is held up may refuse
			So(text, ShouldEqual, "b")
		}
		So(len(a.Seen()), ShouldEqual, before)

		// A new version is in force everywhere; then the core goes away, and all serve on.
		Until("an acknowledgement", func() bool {
			code, _ = f.call("POST", f.control(1), "/Config.Replace", Config(5, "v5"))
			return code == 200
		})
		for m := 11; m <= 12; m++ {
			Until("the new version in force", func() bool { code, _ = f.get(m, "/v5/x"); return code == 200 })
			code, _ = f.get(m, "/v3/x")
			So(code, ShouldEqual, 404)
		}
		for m := 1; m <= 3; m++ {
			f.stop(admin.ControlPlane, m)
		}
		code, _ = f.get(11, "/v5/x")
		So(code, ShouldEqual, 200)

		// A proxy that starts again has all of it from its agent at once; an agent that
		// starts again, without a core, from its proxy and the other agents.
		f.stop(admin.Proxy, 11)
		f.start(admin.Proxy, 11, false, proxy.Run)
		Until("the restarted proxy serves", func() bool { code, _ = f.get(11, "/v5/x"); return code == 200 })
		f.stop(admin.Agent, 11)
		f.stop(admin.Agent, 12)
		code, _ = f.get(11, "/v5/x")
		So(code, ShouldEqual, 200)
		f.start(admin.Agent, 11, false, agent.Run)
		Until("the agent has its proxy's version back", func() bool { return f.shows(admin.Agent, 11, "\n  5 ") })
		f.stop(admin.Proxy, 11)
		f.start(admin.Proxy, 11, false, proxy.Run)
		Until("the configuration in force again", func() bool { return f.shows(admin.Proxy, 11, "routes of version 5") })

		// The core comes back with what it acknowledged; one machine's disk is lost.
		So(os.RemoveAll(f.Dirs[f.Ip(3)]+"/state"), ShouldBeNil)
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, false, controlplane.Run)
		}
		Until("a read", func() bool { code, text = f.call("GET", f.control(2), "/Config.Describe", ""); return code == 200 })
		So(text, ShouldEqual, Config(5, "v5"))
		Until("the lost disk made up for", func() bool {
			return f.shows(admin.ControlPlane, 1, f.Ip(3)) && !f.shows(admin.ControlPlane, 1, f.Ip(3)+fmt.Sprintf(":%d/0 ", f.port)) && f.shows(admin.ControlPlane, 1, "tail")
		})
	})
}

// After all processes were killed, servers are known before they have beaten again; one
// that does not is silent soon.
func TestRemembered(t *testing.T) {
	Convey("A core that starts again knows the servers that beat at it", t, func() {
		f := NewFleet(t)
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, true, controlplane.Run)
		}
		a, err := standin.NewServer("i-a", func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "a"} })
		So(err, ShouldBeNil)
		defer a.Close()
		Until("a beat taken", func() bool { return f.beat(2, a, "s", "available", 1) == 200 })
		Until("it remembered", func() bool {
			f.beat(2, a, "s", "available", 2)
			return f.shows(admin.ControlPlane, 2, "\n  1             1\n")
		})
		for m := 1; m <= 3; m++ {
			f.stop(admin.ControlPlane, m)
		}
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, false, controlplane.Run)
		}
		f.start(admin.Agent, 11, false, agent.Run)
		Until("it known at an agent that starts", func() bool { return f.shows(admin.Agent, 11, "i-a") && f.shows(admin.Agent, 11, "available") })
		Until("its silence noticed", func() bool { return f.shows(admin.Agent, 11, "silent") })
	})
}

// A machine goes back to no older version, whatever its agent tells.
func TestNeverBack(t *testing.T) {
	Convey("A proxy that holds version 5 stays there when its agent, started anew, tells 4", t, func() {
		f := NewFleet(t)
		var raw bytes.Buffer
		So(json.Compact(&raw, []byte(Config(5, "v5"))), ShouldBeNil)
		loop, given := http.NewServeMux(), make(chan agentapi.FeedRequest, 100)
		agentapi.FeedCall.Handle(loop, func(ctx context.Context, _ rpc.RequestInfo, q agentapi.FeedRequest) (agentapi.FeedResponse, error) {
			given <- q
			switch {
			case len(q.Entries) > 0:
				<-ctx.Done()
			case q.Incarnation == "":
				return agentapi.FeedResponse{Incarnation: "one", Seq: 1, Entries: []gossip.Entry{{Key: agentapi.ConfigurationKey, Version: 5 << 16, Value: raw.Bytes()}}}, nil
			}
			return agentapi.FeedResponse{Incarnation: "two", Seq: 1, WantConfig: true, Entries: []gossip.Entry{{Key: agentapi.ConfigurationKey, Version: 4 << 16, Value: raw.Bytes()}}}, nil
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ln, err := net.Listen("tcp4", f.Boot(11, true).AgentAddr())
		So(err, ShouldBeNil)
		go rpc.Serve(ctx, ln, loop, time.Minute)
		f.start(admin.Proxy, 11, true, proxy.Run)
		So((<-given).Incarnation, ShouldEqual, "")
		So((<-given).ConfigVersion, ShouldEqual, uint64(5<<16)) // it says what it holds
		back := <-given
		So(back.Entries, ShouldHaveLength, 1) // and gives it back to an agent that lacks it
		So(back.Entries[0].Version, ShouldEqual, uint64(5<<16))
	})
}
