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

// The operators' pages of events and calls are generated; they must not differ from what the code prints.
func TestPages(t *testing.T) {
	Convey("The pages of events and calls are those that the code prints", t, func() {
		for name, page := range map[string]string{"events.md": events.Page(), "calls.md": rpc.Page()} {
			text, err := os.ReadFile(filepath.Join("../../../docs/operate", name))
			So(err, ShouldBeNil)
			So(string(text), ShouldEqual, page)
		}
	})
}

// run runs saddlectl with arguments and returns its output.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	root := Toolbox()
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

// Valid files are accepted; errors name the line, path or flag that is wrong or missing.
func TestToolbox(t *testing.T) {
	Convey("saddlectl checks files", t, func() {
		dir := t.TempDir()
		writeFile := func(name, text string) string {
			path := filepath.Join(dir, name)
			So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
			return path
		}
		settings := "node_name=n\nip_address=10.0.0.1\ninternal_port_range=7000,7010\nseed_addresses=10.0.0.2:80\nnew.field=x\n"
		out, err := run("check", "settings", writeFile("good", settings))
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "good: n")
		for invalid, message := range map[string]string{"ip_address=10.0.0.1": "node_name: is missing", "x": "line 1",
			settings + "limits.memory_mb=many": "limits.memory_mb", settings + "seed_addresses=nowhere": "seed_addresses[0]",
			"node_name=n\nip_address=x\ninternal_port_range=7000,7010": "ip_address", "node_name=n\nip_address=1.1.1.1\ninternal_port_range=9": "internal_port_range"} {
			_, err := run("check", "settings", writeFile("bad", invalid))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, message)
		}
		out, err = run("check", "config", writeFile("c.json", `{"revision":3,"routes":[],"services":[]}`))
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "version 3, 0 routes")
		_, err = run("check", "config", writeFile("d.json", `{"revision":3,"routes":[{}],"services":[]}`))
		So(err.Error(), ShouldContainSubstring, "routes[0].hostname: is missing")
		_, err = run("check", "settings", filepath.Join(dir, "none"))
		So(err, ShouldNotBeNil)
		_, err = run("show", "proxy")
		So(err.Error(), ShouldContainSubstring, "--addr")
	})
}
