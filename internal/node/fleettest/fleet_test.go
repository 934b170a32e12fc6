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

// fleet runs the system's processes as goroutines. Each machine has a loopback address of its own.
type fleet struct {
	t         *testing.T
	net       string // first three bytes of the machines' addresses
	port      int    // first of the ports of every machine
	seeds     string
	dirs      map[string]string // data directory by IP address
	stopFuncs map[string]func() // by program and machine, as is started
	started   map[string]*nodesettings.Settings
}

// newFleet returns a fleet in which nothing runs yet. The machines 1 to 3 are the seeds.
func newFleet(t *testing.T) *fleet {
	events.SetOutput(io.Discard)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	port := listener.Addr().(*net.TCPAddr).Port
	listener.Close()
	if port > 65000 {
		port -= 1000
	}
	f := &fleet{t: t, net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)), port: port,
		dirs: make(map[string]string), stopFuncs: make(map[string]func()), started: make(map[string]*nodesettings.Settings)}
	f.seeds = fmt.Sprintf("%s,%s,%s", f.control(1), f.control(2), f.control(3))
	t.Cleanup(func() {
		for _, stop := range f.stopFuncs {
			stop()
		}
	})
	return f
}

func (f *fleet) ip(machine int) string { return fmt.Sprintf("%s.%d", f.net, machine) }

func (f *fleet) control(machine int) string { return fmt.Sprintf("%s:%d", f.ip(machine), f.port+9) }

func (f *fleet) downstream(machine int) string { return fmt.Sprintf("%s:%d", f.ip(machine), f.port+8) }

// settings returns the settings of all programs on a machine.
func (f *fleet) settings(machine int, bootstrap bool) *nodesettings.Settings {
	dir := f.dirs[f.ip(machine)]
	if dir == "" {
		dir = f.t.TempDir()
		f.dirs[f.ip(machine)] = dir
	}
	settings, err := nodesettings.Parse(fmt.Sprintf("node_name=m%d\nip_address=%s\nzone=z%d\nregion=z%d\ninternal_port_range=%d,%d\nseed_addresses=%s\nbootstrap=%t\n"+
		"limits.memory_mb=200\nlimits.max_open_files=2000\ndata_directory=%s\nheartbeat_interval_ms=1000\nfault_tolerance.machines=1\n"+
		"listen_addresses.control_plane=%s\nlisten_addresses.front=%s\nlisten_addresses.readiness=%s:%d\n"+
		"bounds.drain_ms=4000\nbounds.grace_s=1\nbounds.retry_window_s=10\nbounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=58",
		machine, f.ip(machine), machine%3, machine%3, f.port, f.port+7, f.seeds, bootstrap, dir, f.control(machine), f.downstream(machine), f.ip(machine), f.port+7))
	So(err, ShouldBeNil)
	settings.LoopbackIP = f.ip(machine)
	return settings
}

// start starts a program on a machine; stop ends it as a SIGTERM would.
func (f *fleet) start(name string, machine int, bootstrap bool, run func(context.Context, *nodesettings.File) error) {
	key := fmt.Sprint(name, machine)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	settings := f.settings(machine, bootstrap)
	f.started[key] = settings
	go func() { ended <- run(ctx, nodesettings.Fixed(settings)) }()
	f.stopFuncs[key] = func() {
		cancel()
		<-ended
		delete(f.stopFuncs, key)
	}
}

func (f *fleet) stop(name string, machine int) { f.stopFuncs[fmt.Sprint(name, machine)]() }

// kill ends a program without a grace period, so that it can't hand anything over.
func (f *fleet) kill(name string, machine int) {
	settings := f.started[fmt.Sprint(name, machine)]
	settings.Bounds.Grace = 0
	f.stop(name, machine)
}

// startStubAgent serves the feed of an agent with answer, until the end of the test.
func (f *fleet) startStubAgent(machine int, answer func(context.Context, rpc.RequestInfo, agentapi.FeedRequest) (agentapi.FeedUpdate, error)) {
	mux := http.NewServeMux()
	agentapi.FeedCall.Handle(mux, answer)
	listener, err := net.Listen("tcp4", f.settings(machine, true).AgentAddr())
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	Reset(cancel)
	go rpc.Serve(ctx, listener, mux, time.Minute)
}

// waitFor waits until a condition is true, and fails the test after 60 s.
func waitFor(condition string, done func() bool) {
	timeout := time.After(60 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !done() {
		select {
		case <-timeout:
			So(condition, ShouldEqual, "true within 60 s")
		case <-tick.C:
		}
	}
}

// call makes an HTTP request and returns the status and body of the response, or 0 and the error.
func (f *fleet) call(method, addr, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// heartbeat sends a server's heartbeat to a control-plane machine and returns the status of the response.
func (f *fleet) heartbeat(machine int, server *standin.Server, service, state string, sequence int64) int {
	body, _ := json.Marshal(registry.Heartbeat{Service: service, Addr: server.Addr, Zone: "z1", Capacity: 3, State: state, Sequence: sequence})
	code, _ := f.call("POST", f.control(machine), "/Instances.Heartbeat/"+server.ID, string(body))
	return code
}

// sendHeartbeats sends heartbeats of a server every 400 ms until stop is called.
func (f *fleet) sendHeartbeats(machine int, server *standin.Server, service string) (stop func()) {
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		tick := time.NewTicker(400 * time.Millisecond)
		defer tick.Stop()
		for sequence := int64(2); ; sequence++ {
			f.heartbeat(machine, server, service, "available", sequence)
			select {
			case <-stopping:
				return
			case <-tick.C:
			}
		}
	}()
	return func() { close(stopping); <-stopped }
}

// get sends a request to a proxy and returns the status and body of the response, or 0 if there is none.
func (f *fleet) get(machine int, path string) (int, string) {
	connection, err := net.DialTimeout("tcp4", f.downstream(machine), time.Second)
	if err != nil {
		return 0, ""
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: %x\r\nX-Saddleport-Deadline-Ms: 2000\r\n\r\n", path, rand.Uint64())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, ""
	}
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// show returns the show output of a program, or nothing if it does not respond.
func (f *fleet) show(program string, machine int) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	shown, err := admin.ShowCall.Invoke(ctx, rpc.NewClient(time.Second), admin.ShowAddr(program, f.settings(machine, false)), "", nil)
	if err != nil {
		return ""
	}
	return shown.Text()
}

// shows reports whether a text occurs in the show output of a program.
func (f *fleet) shows(program string, machine int, text string) bool {
	return strings.Contains(f.show(program, machine), text)
}

// showRow returns the first line of the show output of a program that contains a text, or nothing.
func (f *fleet) showRow(program string, machine int, text string) string {
	for row := range strings.Lines(f.show(program, machine)) {
		if strings.Contains(row, text) {
			return row
		}
	}
	return ""
}

// configuration returns a configuration with one route, whose path prefix is given, to the service s.
func configuration(version int, prefix string) string {
	return fmt.Sprintf(`{"revision":%d, "services":[{"name":"s","max_connections":76}],
 "routes":[{"hostname":"h","path_prefix":"/%s/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"target_service":"s","max_attempts":2}]}`, version, prefix)
}

// The complete path from configurations and heartbeats to requests works, also after restarts of the
// control plane, the agents and a proxy, and after the loss of one machine's disk.
func TestFleet(t *testing.T) {
	Convey("The complete system on loopback", t, func() {
		f := newFleet(t)
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

		// Every control-plane machine accepts a configuration, and each returns it byte for byte.
		waitFor("the update is acknowledged", func() bool {
			code, _ = f.call("POST", f.control(2), "/Config.Replace", configuration(3, "v3"))
			return code == 200
		})
		for m := 1; m <= 3; m++ {
			waitFor("the configuration is returned", func() bool { code, _ = f.call("GET", f.control(m), "/Config.Describe", ""); return code == 200 })
			_, text := f.call("GET", f.control(m), "/Config.Describe", "")
			So(text, ShouldEqual, configuration(3, "v3"))
		}
		code, text := f.call("POST", f.control(1), "/Config.Replace", strings.Replace(configuration(9, "x"), `"s","max`, `"q","max`, 1))
		So(code, ShouldEqual, 400)
		So(text, ShouldContainSubstring, "routes[0].target_service")
		code, _ = f.call("POST", f.control(3), "/Config.Replace", configuration(2, "old")) // an older revision is acknowledged and changes nothing
		So(code, ShouldEqual, 200)
		_, text = f.call("GET", f.control(1), "/Config.Describe", "")
		So(text, ShouldEqual, configuration(3, "v3"))

		// A server is known after its first heartbeat, and requests are sent to it.
		waitFor("a heartbeat is accepted", func() bool { return f.heartbeat(1, a, "s", "available", 1) == 200 })
		for m := 11; m <= 12; m++ {
			waitFor("a request is served", func() bool { code, text = f.get(m, "/v3/x"); return code == 200 })
			So(text, ShouldEqual, "a")
			ready, _ := f.call("GET", fmt.Sprintf("%s:%d", f.ip(m), f.port+7), "/readiness", "")
			So(ready, ShouldEqual, 200)
			code, _ = f.get(m, "/old/x")
			So(code, ShouldEqual, 404)
		}

		// Every proxy learns that a server is draining, and sends its requests to the other server.
		So(f.heartbeat(2, b, "s", "available", 1), ShouldEqual, 200)
		So(f.heartbeat(3, a, "s", "draining", 2), ShouldEqual, 200)
		for m := 11; m <= 12; m++ {
			waitFor("the proxy knows that the server is draining", func() bool { return f.shows(admin.Proxy, m, "draining") && f.shows(admin.Proxy, m, "i-b") })
		}
		before := len(a.Seen())
		for range 20 {
			waitFor("a request is served", func() bool { code, text = f.get(11, "/v3/x"); return code == 200 }) // a proxy on a machine that is stalled may reject a request
			So(text, ShouldEqual, "b")
		}
		So(len(a.Seen()), ShouldEqual, before)

		// A new version comes into force everywhere. The proxies go on serving when the control plane is stopped.
		waitFor("the update is acknowledged", func() bool {
			code, _ = f.call("POST", f.control(1), "/Config.Replace", configuration(5, "v5"))
			return code == 200
		})
		for m := 11; m <= 12; m++ {
			waitFor("the new version is in force", func() bool { code, _ = f.get(m, "/v5/x"); return code == 200 })
			code, _ = f.get(m, "/v3/x")
			So(code, ShouldEqual, 404)
		}
		for m := 1; m <= 3; m++ {
			f.stop(admin.ControlPlane, m)
		}
		code, _ = f.get(11, "/v5/x")
		So(code, ShouldEqual, 200)

		// A restarted proxy gets everything from its agent at once. An agent that is restarted while there
		// is no control plane gets it from its proxy and the other agents.
		f.stop(admin.Proxy, 11)
		f.start(admin.Proxy, 11, false, proxy.Run)
		waitFor("the restarted proxy serves", func() bool { code, _ = f.get(11, "/v5/x"); return code == 200 })
		f.stop(admin.Agent, 11)
		f.stop(admin.Agent, 12)
		code, _ = f.get(11, "/v5/x")
		So(code, ShouldEqual, 200)
		f.start(admin.Agent, 11, false, agent.Run)
		waitFor("the agent has got the version back from its proxy", func() bool { return f.shows(admin.Agent, 11, "\n  5 ") })
		f.stop(admin.Proxy, 11)
		f.start(admin.Proxy, 11, false, proxy.Run)
		waitFor("the configuration is in force again", func() bool { return f.shows(admin.Proxy, 11, "routes of version 5") })

		// The restarted control plane has what it acknowledged, although one machine's disk is lost.
		So(os.RemoveAll(f.dirs[f.ip(3)]+"/state"), ShouldBeNil)
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, false, controlplane.Run)
		}
		waitFor("the configuration is returned", func() bool { code, text = f.call("GET", f.control(2), "/Config.Describe", ""); return code == 200 })
		So(text, ShouldEqual, configuration(5, "v5"))
		waitFor("the machine whose disk was lost is in the chain again", func() bool {
			return f.shows(admin.ControlPlane, 1, f.ip(3)) && !f.shows(admin.ControlPlane, 1, f.ip(3)+fmt.Sprintf(":%d/0 ", f.port)) && f.shows(admin.ControlPlane, 1, "tail")
		})
	})
}

// A restarted control plane knows the servers before their next heartbeat, and a server that sends none is
// soon unresponsive.
func TestControlPlaneRemembersServers(t *testing.T) {
	Convey("A restarted control plane knows the servers that sent it heartbeats", t, func() {
		f := newFleet(t)
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, true, controlplane.Run)
		}
		a, err := standin.NewServer("i-a", func(int, standin.Seen) standin.Reply { return standin.Reply{Body: "a"} })
		So(err, ShouldBeNil)
		defer a.Close()
		waitFor("a heartbeat is accepted", func() bool { return f.heartbeat(2, a, "s", "available", 1) == 200 })
		waitFor("the server is stored", func() bool {
			f.heartbeat(2, a, "s", "available", 2)
			return f.shows(admin.ControlPlane, 2, "\n  1             1\n")
		})
		for m := 1; m <= 3; m++ {
			f.stop(admin.ControlPlane, m)
		}
		for m := 1; m <= 3; m++ {
			f.start(admin.ControlPlane, m, false, controlplane.Run)
		}
		f.start(admin.Agent, 11, false, agent.Run)
		waitFor("an agent that starts knows the server", func() bool { return f.shows(admin.Agent, 11, "i-a") && f.shows(admin.Agent, 11, "available") })
		waitFor("the missing heartbeats are noticed", func() bool { return f.shows(admin.Agent, 11, "silent") })
	})
}

// A proxy must not return to an older configuration when its agent was restarted and sends one.
func TestProxyKeepsNewerConfiguration(t *testing.T) {
	Convey("A proxy with version 5 keeps it when its restarted agent sends version 4", t, func() {
		f := newFleet(t)
		var raw bytes.Buffer
		So(json.Compact(&raw, []byte(configuration(5, "v5"))), ShouldBeNil)
		requests := make(chan agentapi.FeedRequest, 100)
		f.startStubAgent(11, func(ctx context.Context, _ rpc.RequestInfo, request agentapi.FeedRequest) (agentapi.FeedUpdate, error) {
			requests <- request
			switch {
			case len(request.Entries) > 0:
				<-ctx.Done()
			case request.Incarnation == "":
				return agentapi.FeedUpdate{FeedResponse: agentapi.FeedResponse{Incarnation: "one", Seq: 1, Entries: []gossip.Entry{{Key: agentapi.ConfigurationKey, Version: 5 << 16, Value: raw.Bytes()}}}}, nil
			}
			return agentapi.FeedUpdate{FeedResponse: agentapi.FeedResponse{Incarnation: "two", Seq: 1, WantConfig: true, Entries: []gossip.Entry{{Key: agentapi.ConfigurationKey, Version: 4 << 16, Value: raw.Bytes()}}}}, nil
		})
		f.start(admin.Proxy, 11, true, proxy.Run)
		So((<-requests).Incarnation, ShouldEqual, "")
		So((<-requests).ConfigVersion, ShouldEqual, uint64(5<<16)) // the proxy reports its version
		returned := <-requests
		So(returned.Entries, ShouldHaveLength, 1) // and sends its configuration to the agent that asks for it
		So(returned.Entries[0].Version, ShouldEqual, uint64(5<<16))
	})
}

// Guards against a proxy that goes on using servers which left while its agent was down: it must drop what a
// restarted agent does not have, once that agent has everything, and not before.
func TestProxyDropsServersThatLeft(t *testing.T) {
	Convey("A proxy whose agent is restarted", t, func() {
		f := newFleet(t)
		serverEntry := func(id string) gossip.Entry {
			return gossip.Entry{Key: registry.Prefix + id, Version: 4, Value: []byte(`{"s":"s","a":"127.0.0.1:9","z":"z1","c":3,"t":0,"b":"x"}`)}
		}
		restarted, synced := make(chan struct{}), make(chan struct{})
		f.startStubAgent(11, func(ctx context.Context, _ rpc.RequestInfo, request agentapi.FeedRequest) (agentapi.FeedUpdate, error) {
			update := agentapi.FeedUpdate{FeedResponse: agentapi.FeedResponse{Incarnation: "two", Seq: 1, Entries: []gossip.Entry{serverEntry("i-stays")}}}
			switch request.Incarnation {
			case "":
				update.Incarnation, update.Entries = "one", append(update.Entries, serverEntry("i-leaves"))
			case "one":
				<-restarted
			case "two":
				select {
				case <-synced:
					update.Synced = true
				case <-ctx.Done():
				}
			}
			return update, nil
		})
		f.start(admin.Proxy, 11, true, proxy.Run)
		waitFor("the proxy knows the servers", func() bool { return f.shows(admin.Proxy, 11, "i-leaves") && f.shows(admin.Proxy, 11, "i-stays") })
		close(restarted)
		So(f.shows(admin.Proxy, 11, "i-leaves"), ShouldBeTrue)
		close(synced)
		waitFor("the proxy has dropped the server that left", func() bool { return !strings.Contains(f.showRow(admin.Proxy, 11, "i-leaves"), "available") })
		So(f.shows(admin.Proxy, 11, "i-stays"), ShouldBeTrue)
	})
}
