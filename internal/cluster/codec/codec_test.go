package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"

	. "github.com/smartystreets/goconvey/convey"
)

// The content of an entry survives encoding byte for byte, including invalid UTF-8, and entries
// that an earlier release has stored are still read.
func TestEntryEncoding(t *testing.T) {
	Convey("An entry keeps the bytes of its content", t, func() {
		for _, raw := range []string{"", "{\"a\":\"<\\u00e9>&\u2028\"}\r\n\t", "\xff\xfe not text", "a\x00b", "\ufffd"} {
			text, err := json.Marshal(chain.Entry{Epoch: 3, Version: 7, Content: []byte(raw), Previous: []chain.PastRevision{{Revision: 6, Digest: 1}}})
			So(err, ShouldBeNil)
			var decoded chain.Entry
			So(json.Unmarshal(text, &decoded), ShouldBeNil)
			So(decoded.Viewstamp(), ShouldResemble, views.Viewstamp{Epoch: 3, Version: 7})
			So(decoded.Previous, ShouldResemble, []chain.PastRevision{{Revision: 6, Digest: 1}})
			So(string(decoded.Content), ShouldEqual, raw)
		}
		var old chain.Entry
		So(json.Unmarshal([]byte(`{"r":9,"w":"eyJhIjoxfQ=="}`), &old), ShouldBeNil)
		So(string(old.Content), ShouldEqual, `{"a":1}`)
		So(json.Unmarshal([]byte(`{"r":9,"w":"%"}`), &old), ShouldNotBeNil)
	})
}

// A message survives encoding. A message of an unknown kind fails with an error that names the
// kind, and a truncated one fails too.
func TestMessageEncoding(t *testing.T) {
	Convey("A message is decoded as it was encoded", t, func() {
		sent := envelope.Message{From: views.Member{Addr: "a", DiskID: "1"}, To: views.Member{Addr: "b", DiskID: "2"}, Epoch: 4, Body: chain.Forward{Version: 9, HistoryDigest: 3}}
		text, err := EncodeMessage(sent)
		So(err, ShouldBeNil)
		decoded, err := DecodeMessage(text)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, sent)
		for kind := range decoders {
			_, err := DecodeMessage([]byte(`{"k":"` + string(kind) + `","b":7}`))
			So(err, ShouldNotBeNil)
		}
		var unknown *UnknownKindError
		_, err = DecodeMessage([]byte(`{"k":"elect","f":{"a":"x","d":"1"},"b":{}}`))
		So(errors.As(err, &unknown), ShouldBeTrue)
		So(unknown.Error(), ShouldContainSubstring, "elect")
		_, err = DecodeMessage(text[:len(text)-3])
		So(err, ShouldNotBeNil)
	})
}

// An entry lists the revisions that it replaced, up to MaxPrevious of them.
func TestPrevious(t *testing.T) {
	Convey("Of a thousand revisions, an entry lists the last ones", t, func() {
		stored := chain.Entry{}
		for version := uint64(1); version <= 1000; version++ {
			stored = chain.NewEntry(version, []byte("x")).Following(stored, 2)
		}
		So(stored.Previous, ShouldHaveLength, chain.MaxPrevious)
		So(stored.Previous[chain.MaxPrevious-1].Revision, ShouldEqual, uint64(999))
	})
}

// A batch of messages survives encoding, with the contents of their entries. A message of an
// unknown kind doesn't affect the others in its batch, and a truncated batch is an error.
func TestBatch(t *testing.T) {
	Convey("A batch with contents, some of which are not text", t, func() {
		a, b := chain.NewEntry(3, []byte("\xff\x00 no text\n")), chain.NewEntry(4, []byte(`{"revision":4}`))
		a.Previous = []chain.PastRevision{{Revision: 2, Digest: 9}}
		sent := []envelope.Message{
			{From: views.Member{Addr: "a", DiskID: "1"}, To: views.Member{Addr: "b", DiskID: "2"}, Epoch: 4, Body: chain.Forward{Version: a.Version, HistoryDigest: a.HistoryDigest, Entry: &a}},
			{From: views.Member{Addr: "a", DiskID: "1"}, Epoch: 4, Body: consensus.Heartbeat{Viewstamp: a.Viewstamp(), HasQuorum: true}},
			{From: views.Member{Addr: "a", DiskID: "1"}, Body: chain.Repair{Entry: b}},
			{From: views.Member{Addr: "a", DiskID: "1"}, Body: consensus.Decide{View: views.View{Epoch: 5}, Entry: &chain.Entry{Version: 3, ContentOmitted: true}}},
		}
		batch, err := EncodeBatch(sent)
		So(err, ShouldBeNil)
		messages, undecodable, err := DecodeBatch(batch)
		So(err, ShouldBeNil)
		So(undecodable, ShouldBeEmpty)
		So(messages, ShouldResemble, sent)
		for n := range len(batch) {
			_, _, err := DecodeBatch(batch[:n])
			So(err, ShouldNotBeNil)
		}
		withUnknownKind := bytes.Replace(batch, []byte(`"k":"heartbeat"`), []byte(`"k":"elect"`), 1)
		messages, undecodable, err = DecodeBatch(withUnknownKind)
		So(err, ShouldBeNil)
		So(messages, ShouldHaveLength, 3)
		So(undecodable, ShouldHaveLength, 1)
		So(undecodable[0].Error(), ShouldContainSubstring, "elect")
	})
}
