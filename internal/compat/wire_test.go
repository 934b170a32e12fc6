package compat

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/codec"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/outlier"
	"saddleport/internal/cluster/registry"
	"saddleport/internal/cluster/views"
	"saddleport/internal/node/admin"
	"saddleport/internal/node/agentapi"
	"saddleport/internal/node/controlplane"
	"saddleport/internal/node/peer"
)

// update makes the tests write the fixtures. They are those of the release before the packages were renamed,
// so only the fixture of a message that did not exist then may be added.
var update = flag.Bool("update", false, "write the fixtures of the wire format")

// messageTypes are the bodies of all calls between the system's processes, by the name of the fixture. The
// names are older than those of the types.
var messageTypes = map[string]any{
	"rumour-pass":         &gossip.ExchangeRequest{},
	"rumour-passed":       &gossip.ExchangeResponse{},
	"rumour-pass-all":     &gossip.PassRequest{},
	"rumour-passed-sync":  &gossip.PassResponse{},
	"process":             &gossip.Process{},
	"ring-after":          &peer.ProbeRequest{},
	"ring-heard":          &peer.ProbeResponse{},
	"feed":                &agentapi.FeedRequest{},
	"feed-answer":         &agentapi.FeedResponse{},
	"feed-update":         &agentapi.FeedUpdate{},
	"herd-witness":        &agentapi.EvidenceReport{},
	"herd-assignment":     &outlier.Assignment{},
	"allow-claims":        &agentapi.ClaimRequest{},
	"allow-grants":        &agentapi.ClaimResponse{},
	"server":              &registry.Server{},
	"server-heartbeat":    &registry.Heartbeat{},
	"heartbeat-answer":    &controlplane.HeartbeatResponse{},
	"show":                &admin.Report{},
	"replica-view":        &views.View{},
	"replica-entry":       &chain.Entry{},
	"core-enter":          &chain.UpdateRequest{},
	"core-entered":        &chain.UpdateResponse{},
	"core-pass":           &chain.Forward{},
	"core-ack":            &chain.Acknowledge{},
	"core-lacks":          &chain.EntryMissing{},
	"core-read":           &chain.QueryRequest{},
	"core-read-result":    &chain.QueryResponse{},
	"core-confirm":        &chain.ConfirmView{},
	"core-confirmed":      &chain.ViewConfirmed{},
	"core-repair":         &chain.Repair{},
	"core-waiting":        &chain.RequestPending{},
	"core-heartbeat":      &consensus.Heartbeat{},
	"core-join":           &consensus.Join{},
	"core-prepare":        &consensus.Prepare{},
	"core-promise":        &consensus.Promise{},
	"core-accept":         &consensus.Accept{},
	"core-accepted":       &consensus.Accepted{},
	"core-nack":           &consensus.Nack{},
	"core-decide":         &consensus.Decide{},
	"core-suspect":        &consensus.Suspect{},
	"core-stamp":          &views.Viewstamp{},
	"core-previous-order": &chain.PastRevision{},
}

// Each message is encoded as the earlier release encoded it, and decoding and encoding it again changes
// nothing.
func TestWireFormat(t *testing.T) {
	for name, value := range messageTypes {
		t.Run(name, func(t *testing.T) {
			fill(t, reflect.ValueOf(value).Elem(), name)
			written, err := json.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			checkGolden(t, filepath.Join("testdata", "wire", name+".json"), written)
			decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
			if err := json.Unmarshal(written, decoded); err != nil {
				t.Fatal(err)
			}
			if rewritten, err := json.Marshal(decoded); err != nil || !bytes.Equal(rewritten, written) {
				t.Fatalf("decoded and encoded again: %s, %v; want %s", rewritten, err, written)
			}
		})
	}
}

// A batch of messages between control-plane machines, with every kind of message, and the contents of entries
// after the JSON, is decoded and encoded again unchanged.
func TestMessageBatch(t *testing.T) {
	path := filepath.Join("testdata", "wire", "core.mail")
	if *update {
		writeBatch(t, path)
	}
	batch, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	messages, unread, err := codec.DecodeBatch(batch)
	if err != nil || len(unread) > 0 || len(messages) != 20 {
		t.Fatalf("%d messages, %v unread, %v", len(messages), unread, err)
	}
	rewritten, err := codec.EncodeBatch(messages)
	if err != nil || !bytes.Equal(rewritten, batch) {
		t.Fatalf("encoding the decoded batch changed it: %v", err)
	}
}

// checkGolden requires that the fixture at a path has the bytes in written.
func checkGolden(t *testing.T, path string, written []byte) {
	t.Helper()
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, want) {
		t.Fatalf("%s: encoded as %s; want %s", path, written, want)
	}
}

// writeBatch writes the fixture of the batch, with one message of each type.
func writeBatch(t *testing.T, path string) {
	t.Helper()
	from, to := views.Member{Addr: "10.0.0.1:7080", DiskID: "0"}, views.Member{Addr: "10.0.0.2:7080", DiskID: "d2"}
	var messages []envelope.Message
	for _, name := range fixtureNames() {
		value := reflect.ValueOf(messageTypes[name]).Elem()
		if _, ok := value.Interface().(envelope.Body); ok {
			fill(t, value, name)
			body := value.Interface().(envelope.Body)
			messages = append(messages, envelope.Message{From: from, To: to, Epoch: 7, Body: body})
		}
	}
	batch, err := codec.EncodeBatch(messages)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, batch, 0o644); err != nil {
		t.Fatal(err)
	}
}

// fixtureNames returns the names of the JSON fixtures in alphabetical order.
func fixtureNames() []string {
	entries, err := os.ReadDir(filepath.Join("testdata", "wire"))
	if err != nil {
		return nil
	}
	var fixtures []string
	for _, e := range entries {
		if name := e.Name(); filepath.Ext(name) == ".json" {
			fixtures = append(fixtures, name[:len(name)-len(".json")])
		}
	}
	return fixtures
}
