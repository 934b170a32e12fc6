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

// update writes the fixtures anew. They are those of the release before the renaming: only a
// form that did not exist then may be added.
var update = flag.Bool("update", false, "write the fixtures of the wire anew")

// sent are the bodies of all calls between the system's processes, by the name of their fixture.
var sent = map[string]any{
	"rumour-pass":         &gossip.ExchangeRequest{},
	"rumour-passed":       &gossip.ExchangeResponse{},
	"process":             &gossip.Process{},
	"ring-after":          &peer.ProbeRequest{},
	"ring-heard":          &peer.ProbeResponse{},
	"feed":                &agentapi.FeedRequest{},
	"feed-answer":         &agentapi.FeedResponse{},
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

// Each form is written as the release before wrote it, and read and written again unchanged.
func TestWireForms(t *testing.T) {
	for name, value := range sent {
		t.Run(name, func(t *testing.T) {
			fill(t, reflect.ValueOf(value).Elem(), name)
			written, err := json.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			checkGolden(t, filepath.Join("testdata", "wire", name+".json"), written)
			again := reflect.New(reflect.TypeOf(value).Elem()).Interface()
			if err := json.Unmarshal(written, again); err != nil {
				t.Fatal(err)
			}
			if rewritten, err := json.Marshal(again); err != nil || !bytes.Equal(rewritten, written) {
				t.Fatalf("read and written again: %s, %v; want %s", rewritten, err, written)
			}
		})
	}
}

// The mail between control-plane machines: every kind of message, with the contents of entries
// behind the JSON.
func TestMail(t *testing.T) {
	path := filepath.Join("testdata", "wire", "core.mail")
	if *update {
		writeMail(t, path)
	}
	mail, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	messages, unread, err := codec.DecodeBatch(mail)
	if err != nil || len(unread) > 0 || len(messages) != 20 {
		t.Fatalf("%d messages, %v unread, %v", len(messages), unread, err)
	}
	again, err := codec.EncodeBatch(messages)
	if err != nil || !bytes.Equal(again, mail) {
		t.Fatalf("the mail was written otherwise: %v", err)
	}
}

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
		t.Fatalf("%s: written as %s; was %s", path, written, want)
	}
}

func writeMail(t *testing.T, path string) {
	t.Helper()
	from, to := views.Member{Addr: "10.0.0.1:7080", DiskID: "0"}, views.Member{Addr: "10.0.0.2:7080", DiskID: "d2"}
	var list []envelope.Message
	for _, name := range names() {
		value := reflect.ValueOf(sent[name]).Elem()
		if _, is := value.Interface().(envelope.Body); is {
			fill(t, value, name)
			body := value.Interface().(envelope.Body)
			list = append(list, envelope.Message{From: from, To: to, Epoch: 7, Body: body})
		}
	}
	mail, err := codec.EncodeBatch(list)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, mail, 0o644); err != nil {
		t.Fatal(err)
	}
}

func names() []string {
	entries, err := os.ReadDir(filepath.Join("testdata", "wire"))
	if err != nil {
		return nil
	}
	var out []string
	for _, e := range entries {
		if name := e.Name(); filepath.Ext(name) == ".json" {
			out = append(out, name[:len(name)-len(".json")])
		}
	}
	return out
}
