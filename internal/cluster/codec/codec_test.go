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

// An operator's bytes come back as they were, whatever they are; and what an older
// program kept on its disk is read.
func TestEntryForm(t *testing.T) {
	Convey("An entry keeps its bytes", t, func() {
		for _, raw := range []string{"", "{\"a\":\"<\\u00e9>&\u2028\"}\r\n\t", "\xff\xfe not text", "a\x00b", "\ufffd"} {
			text, err := json.Marshal(chain.Entry{Epoch: 3, Version: 7, Content: []byte(raw), Previous: []chain.PastRevision{{Revision: 6, Digest: 1}}})
			So(err, ShouldBeNil)
			var back chain.Entry
			So(json.Unmarshal(text, &back), ShouldBeNil)
			So(back.Viewstamp(), ShouldResemble, views.Viewstamp{Epoch: 3, Version: 7})
			So(back.Previous, ShouldResemble, []chain.PastRevision{{Revision: 6, Digest: 1}})
			So(string(back.Content), ShouldEqual, raw)
		}
		var old chain.Entry
		So(json.Unmarshal([]byte(`{"r":9,"w":"eyJhIjoxfQ=="}`), &old), ShouldBeNil)
		So(string(old.Content), ShouldEqual, `{"a":1}`)
		So(json.Unmarshal([]byte(`{"r":9,"w":"%"}`), &old), ShouldNotBeNil)
	})
}

// A message of a kind that is not spoken here, or cut short, is an error that names it.
func TestMessageForm(t *testing.T) {
	Convey("A message is read as it was written", t, func() {
		sent := envelope.Message{From: views.Member{Addr: "a", DiskID: "1"}, To: views.Member{Addr: "b", DiskID: "2"}, Epoch: 4, Body: chain.Forward{Version: 9, HistoryDigest: 3}}
		text, err := EncodeMessage(sent)
		So(err, ShouldBeNil)
		back, err := DecodeMessage(text)
		So(err, ShouldBeNil)
		So(back, ShouldResemble, sent)
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

// An entry names the orders before it, a bounded number.
func TestPrevious(t *testing.T) {
	Convey("Of a thousand orders the last ones are named", t, func() {
		held := chain.Entry{}
		for version := uint64(1); version <= 1000; version++ {
			held = chain.NewEntry(version, []byte("x")).Following(held, 2)
		}
		So(held.Previous, ShouldHaveLength, chain.MaxPrevious)
		So(held.Previous[chain.MaxPrevious-1].Revision, ShouldEqual, uint64(999))
	})
}

// Mail comes as it was sent, contents and all; one message that can't be read takes no other
// with it, and mail that is cut short is an error.
func TestMail(t *testing.T) {
	Convey("Mail with contents, some of them no text", t, func() {
		a, b := chain.NewEntry(3, []byte("\xff\x00 no text\n")), chain.NewEntry(4, []byte(`{"revision":4}`))
		a.Previous = []chain.PastRevision{{Revision: 2, Digest: 9}}
		sent := []envelope.Message{
			{From: views.Member{Addr: "a", DiskID: "1"}, To: views.Member{Addr: "b", DiskID: "2"}, Epoch: 4, Body: chain.Forward{Version: a.Version, HistoryDigest: a.HistoryDigest, Entry: &a}},
			{From: views.Member{Addr: "a", DiskID: "1"}, Epoch: 4, Body: consensus.Heartbeat{Viewstamp: a.Viewstamp(), HasQuorum: true}},
			{From: views.Member{Addr: "a", DiskID: "1"}, Body: chain.Repair{Entry: b}},
			{From: views.Member{Addr: "a", DiskID: "1"}, Body: consensus.Decide{View: views.View{Epoch: 5}, Entry: &chain.Entry{Version: 3, ContentOmitted: true}}},
		}
		mail, err := EncodeBatch(sent)
		So(err, ShouldBeNil)
		list, unread, err := DecodeBatch(mail)
		So(err, ShouldBeNil)
		So(unread, ShouldBeEmpty)
		So(list, ShouldResemble, sent)
		for n := range len(mail) {
			_, _, err := DecodeBatch(mail[:n])
			So(err, ShouldNotBeNil)
		}
		strange := bytes.Replace(mail, []byte(`"k":"heartbeat"`), []byte(`"k":"elect"`), 1)
		list, unread, err = DecodeBatch(strange)
		So(err, ShouldBeNil)
		So(list, ShouldHaveLength, 3)
		So(unread, ShouldHaveLength, 1)
		So(unread[0].Error(), ShouldContainSubstring, "elect")
	})
}
