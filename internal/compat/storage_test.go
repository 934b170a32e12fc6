package compat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"saddleport/internal/app"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/node/nodesettings"
	"saddleport/internal/node/storage"
)

// The data directories were written by three control-plane machines of the earlier release. Machine 1 was
// killed after revisions 3 and 7. Machines 2 and 3 went on in a new view, accepted revisions 12 and 20, and
// were killed in turn.
func TestDataDirectories(t *testing.T) {
	for machine, want := range map[int]struct {
		revision uint64
		epoch    uint64
		servers  int // servers that sent heartbeats to this machine when it last stored them
	}{1: {7, 1, 0}, 2: {20, 2, 2}, 3: {20, 2, 0}} {
		t.Run(fmt.Sprint(machine), func(t *testing.T) {
			store := openCopy(t, machine)
			state := mustGet(t, store, "pact")
			record, err := replica.DecodeState(state)
			if err != nil {
				t.Fatal(err)
			}
			if encoded := replica.EncodeState(record); !bytes.Equal(encoded, state) {
				t.Errorf("the state is encoded as %s; want %s", encoded, state)
			}
			if record.State.View.Epoch != want.epoch || record.State.View.Check() != nil {
				t.Errorf("the view is %+v; want epoch %d", record.State.View, want.epoch)
			}
			for _, key := range []string{"entry", "known"} {
				var entry chain.Entry
				checkRoundTrip(t, mustGet(t, store, key), &entry)
				if got := chain.RevisionOf(entry.Version); got != want.revision {
					t.Errorf("%s: revision %d; want %d", key, got, want.revision)
				}
				if _, err := routeconfig.Parse(entry.Content); err != nil {
					t.Errorf("%s: %v", key, err)
				}
			}
			var servers []gossip.Entry
			checkRoundTrip(t, mustGet(t, store, "servers"), &servers)
			if len(servers) != want.servers {
				t.Errorf("%d servers are stored; want %d", len(servers), want.servers)
			}
		})
	}
}

// A settings file and a configuration of the earlier release are parsed as that release did.
func TestFiles(t *testing.T) {
	settings, err := nodesettings.Load(filepath.Join("testdata", "settings.conf"))
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(settings.Name, " ", settings.Role, " ", settings.PeerAddr(), " ", settings.AgentAddr(), " ", settings.Control, " ", settings.Zone, " ", settings.Region,
		" ", len(settings.Regions), " ", settings.SeedPeers(), " ", settings.Bootstrap, " ", settings.Bounds.Drain, " ", settings.Bounds.Grace, " ", settings.DataDir)
	const want = "core-2 controlplane 127.77.7.2:17070 127.77.7.2:17071 127.77.7.2:17079 zone-2 region-1 3 " +
		"[127.77.7.1:17070 127.77.7.2:17070 127.77.7.3:17070] true 4s 6s /var/lib/saddleport"
	if got != want {
		t.Errorf("settings.conf: %s; want %s", got, want)
	}
	raw, err := os.ReadFile(filepath.Join("testdata", "configuration.json"))
	if err != nil {
		t.Fatal(err)
	}
	config, err := routeconfig.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	if config.Revision != 20 || len(config.Routes) != 1 || len(config.Services) != 2 || !bytes.Equal(config.Raw, raw) {
		t.Errorf("configuration.json: revision %d, %d routes, %d services", config.Revision, len(config.Routes), len(config.Services))
	}
}

func openCopy(t *testing.T, machine int) *storage.Store {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", fmt.Sprint("controlplane-", machine)))); err != nil {
		t.Fatal(err)
	}
	store, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

func mustGet(t *testing.T, store *storage.Store, key string) []byte {
	t.Helper()
	value, err := store.Get(key)
	if err != nil || value == nil {
		t.Fatalf("%s: %v, %v", key, value, err)
	}
	return value
}

// checkRoundTrip decodes JSON into value and requires that encoding value gives the same bytes.
func checkRoundTrip(t *testing.T, encoded []byte, value any) {
	t.Helper()
	if err := json.Unmarshal(encoded, value); err != nil {
		t.Fatal(err)
	}
	if rewritten, err := json.Marshal(value); err != nil || !bytes.Equal(rewritten, encoded) {
		t.Errorf("encoded as %s, %v; want %s", rewritten, err, encoded)
	}
}

// The operator file is printed as the earlier release printed it: every section, key and default.
func TestOperatorFile(t *testing.T) {
	operator, err := app.LoadOperator(filepath.Join("..", "..", "deploy", "operator.ini"))
	if err != nil {
		t.Fatal(err)
	}
	var printed bytes.Buffer
	if err := operator.File.Print(&printed); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "operator.txt"))
	if err != nil {
		t.Fatal(err)
	}
	_, got, _ := strings.Cut(printed.String(), "\n") // the first line is the path
	if _, rest, _ := strings.Cut(string(want), "\n"); got != rest {
		t.Errorf("printed as:\n%s\nwant:\n%s", got, rest)
	}
}
