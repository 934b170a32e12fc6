package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/node/events"
	"saddleport/internal/node/rpc"
)

// The operators' pages are printed by the code, and held to it.
func TestPages(t *testing.T) {
	Convey("The pages of events and calls are what the code prints", t, func() {
		for name, page := range map[string]string{"events.md": events.Page(), "calls.md": rpc.Page()} {
			text, err := os.ReadFile(filepath.Join("../../../docs/operate", name))
			So(err, ShouldBeNil)
			So(string(text), ShouldEqual, page)
		}
	})
}

func run(args ...string) (string, error) {
	var out bytes.Buffer
	c := Toolbox()
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

// What people type, right and wrong.
func TestToolbox(t *testing.T) {
	Convey("Files are checked", t, func() {
		dir := t.TempDir()
		put := func(name, text string) string {
			at := filepath.Join(dir, name)
			So(os.WriteFile(at, []byte(text), 0o600), ShouldBeNil)
			return at
		}
		boot := "node_name=n\nip_address=10.0.0.1\ninternal_port_range=7000,7010\nseed_addresses=10.0.0.2:80\nnew.field=x\n"
		out, err := run("check", "settings", put("good", boot))
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "good: n")
		for bad, says := range map[string]string{"ip_address=10.0.0.1": "node_name: is missing", "x": "line 1",
			boot + "limits.memory_mb=many": "limits.memory_mb", boot + "seed_addresses=nowhere": "seed_addresses[0]",
			"node_name=n\nip_address=x\ninternal_port_range=7000,7010": "ip_address", "node_name=n\nip_address=1.1.1.1\ninternal_port_range=9": "internal_port_range"} {
			_, err := run("check", "settings", put("bad", bad))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, says)
		}
		out, err = run("check", "config", put("c.json", `{"revision":3,"routes":[],"services":[]}`))
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "version 3, 0 routes")
		_, err = run("check", "config", put("d.json", `{"revision":3,"routes":[{}],"services":[]}`))
		So(err.Error(), ShouldContainSubstring, "routes[0].hostname: is missing")
		_, err = run("check", "settings", filepath.Join(dir, "none"))
		So(err, ShouldNotBeNil)
		_, err = run("show", "proxy")
		So(err.Error(), ShouldContainSubstring, "--addr")
	})
}
