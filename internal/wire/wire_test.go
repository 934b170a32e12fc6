package wire

import (
	"reflect"
	"strings"
	"testing"

	"saddleport/choice"
)

const start = "NEW_INSTANCE 7 family-info.places=2 family-info.width=2 family-info.slices=2 limits.send-cap=2 " +
	"request-classes.count=1 request-classes.0.name=c request-classes.0.aim=1000000 " +
	"request-classes.0.deadline=2000000 request-classes.0.effect=free family-info.need-by-class=1.0 " +
	"family-info.class-floor=1.0 an.unknown-setting=x"

const list = "REGISTER 0 2\nROW a z k 0 1 1 -\nROW b z k 1 1 1.5 6100000\nANNOUNCE 2 1 0\n"

func run(t *testing.T, in string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := Run(strings.NewReader(in), &out)
	return out.String(), err
}

func TestEmptyBatchGetsAnEmptyReply(t *testing.T) {
	if out, err := run(t, "SYNC 5\nGO\nSYNC 6\nGO\n"); err != nil || out != "NEXT\nNEXT\n" {
		t.Fatalf("%q, %v", out, err)
	}
}

func TestQueryIsSentAndAnswered(t *testing.T) {
	in := "SYNC 100\nINSTANCE router-1\n" + start + "\n" + list + "GO\n" +
		"SYNC 200\nINSTANCE router-1\nNEW_REQUEST q c 1 - 2000000 - 0 -1 1 -\nNEW_REQUEST p c 1 - 2000000 - 0 0 1 -\nGO\n"
	out, err := run(t, in)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out, "\n")
	if lines[0] != "NEXT" || lines[1] != "AT router-1" || !strings.HasPrefix(lines[2], "ISSUE p ") {
		t.Fatalf("reply %q", out)
	}
	server := strings.Split(lines[2], " ")[1+1]
	out, err = run(t, in+"SYNC 300\nINSTANCE router-1\nREPLY p "+server+" 100 1 0 served depth:3\nGO\n")
	if err != nil || !strings.Contains(out, "ANSWER q 1\n") {
		t.Fatalf("reply %q, %v", out, err)
	}
}

func TestDetachedInstanceLosesItsStateAndMayRestartInTheSameBatch(t *testing.T) {
	in := "SYNC 100\nINSTANCE r\n" + start + "\n" + list + "GO\n" +
		"SYNC 200\nINSTANCE r\nNEW_REQUEST q c 1 - 2000000 - 0 -1 1 -\nNEW_REQUEST p c 1 - 2000000 - 0 0 1 -\n" +
		"DETACH\n" + start + "\n" + list + "REPLY p a 100 1 0 served -\nGO\n"
	out, err := run(t, in)
	if err != nil || out != "NEXT\nNEXT\n" {
		t.Fatalf("%q, %v", out, err)
	}
	out, err = run(t, "SYNC 1\nINSTANCE r\n"+start+"\nDETACH\nCLIENT_LEFT q\nELAPSED 3\nGO\n")
	if err != nil || out != "NEXT\n" {
		t.Fatalf("events after the detach: %q, %v", out, err)
	}
}

func TestReusedListNumberIsReadInOrder(t *testing.T) {
	in := "SYNC 100\nINSTANCE r\n" + start + "\n" + list +
		"REGISTER 0 1\nROW b z k 1 0 1 -\nANNOUNCE 0 2 0\nREGISTER 0 0\nGO\n" +
		"SYNC 200\nINSTANCE r\nNEW_REQUEST q c 1 - 2000000 - 0 -1 1 -\nNEW_REQUEST p c 1 - 2000000 - 0 0 1 -\nGO\n"
	if out, err := run(t, in); err != nil || !strings.Contains(out, "ISSUE p a ") {
		t.Fatalf("%q, %v", out, err)
	}
}

func TestMalformedInputIsReportedAndEndsTheRun(t *testing.T) {
	open := "SYNC 1\nINSTANCE r\n" + start + "\n"
	for _, c := range []struct{ name, in, want string }{
		{"GO without SYNC", "GO\n", "line 1: GO: a batch must start with SYNC"},
		{"clock", "SYNC x\n", "line 1: SYNC: field clock"},
		{"clock missing", "SYNC\n", "line 1: SYNC: field clock: missing"},
		{"no GO", "SYNC 1\n", "input ended before GO"},
		{"unknown message", open + "HELLO 1\nGO\n", `line 4: "HELLO": unknown message`},
		{"no instance", "SYNC 1\nELAPSED 3\nGO\n", "line 2: ELAPSED: no INSTANCE selected"},
		{"never started", "SYNC 1\nINSTANCE q\nELAPSED 3\nGO\n", "line 3: ELAPSED: instance q was never started"},
		{"detach of none", "SYNC 1\nINSTANCE q\nDETACH\nGO\n", "line 3: DETACH: instance q was never started"},
		{"cookie", open + "ELAPSED -3\nGO\n", "line 4: ELAPSED: field cookie"},
		{"verdict", open + "REPLY p a 1 1 0 fine -\nGO\n", `line 4: REPLY: field verdict: unknown verdict "fine"`},
		{"bool", open + "REPLY p a 1 2 0 served -\nGO\n", "line 4: REPLY: field complete"},
		{"gauge", open + "REPLY p a 1 1 0 served depth\nGO\n", "line 4: REPLY: field gauge"},
		{"missing", open + "REPLY p a 1 1 0 served\nGO\n", "line 4: REPLY: field gauge: missing"},
		{"too many", open + "CLIENT_LEFT p q\nGO\n", "line 4: CLIENT_LEFT: 1 fields too many"},
		{"not finite", open + "NEW_REQUEST q c 1 - 1 - 0 0 NaN -\nGO\n", "line 4: NEW_REQUEST: field amount"},
		{"parts", open + "NEW_REQUEST q c 1 - 1 - 0 -1 1.5 -\nGO\n", "line 4: NEW_REQUEST: field amount"},
		{"shard", open + "NEW_REQUEST q c 1 - 1 - 0 x 1 -\nGO\n", "line 4: NEW_REQUEST: field slab"},
		{"hex", open + "MAIL 1 zz\nGO\n", "line 4: MAIL: field bytes"},
		{"list number", open + "REGISTER 16 0\nGO\n", "line 4: REGISTER: field list"},
		{"list unknown", open + "ANNOUNCE 1 1 5\nGO\n", "line 4: ANNOUNCE: field list: list 5 was never registered"},
		{"form", open + "ANNOUNCE 9 1 0\nGO\n", "line 4: ANNOUNCE: field form"},
		{"rows", open + "REGISTER 0 2\nROW a z k 0 1 1 -\nGO\n", "line 6: REGISTER: field entries: got 1 of 2 rows"},
		{"state", open + "REGISTER 0 1\nROW a z k 0 3 1 -\nGO\n", "line 5: ROW: field state"},
		{"seed", "SYNC 1\nINSTANCE r\nNEW_INSTANCE x\nGO\n", "line 3: NEW_INSTANCE: field init-seed"},
		{"pair", "SYNC 1\nINSTANCE r\nNEW_INSTANCE 1 x\nGO\n", "line 3: NEW_INSTANCE: field profile-data"},
		{"setting", "SYNC 1\nINSTANCE r\n" + start + " rules.cold=x\nGO\n", "NEW_INSTANCE: field rules.cold"},
		{"flag", "SYNC 1\nINSTANCE r\n" + start + " limits.cancel=1\nGO\n", "NEW_INSTANCE: field limits.cancel"},
		{"contradiction", "SYNC 1\nINSTANCE r\nNEW_INSTANCE 1 a=b\nGO\n", "NEW_INSTANCE: setting Classes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, err := run(t, c.in)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v, want %q", err, c.want)
			}
			if strings.Contains(err.Error(), "\n") || strings.Contains(out, "AT ") {
				t.Fatalf("error %q, output %q", err, out)
			}
		})
	}
}

func TestEveryEventDecodes(t *testing.T) {
	for line, want := range map[string]choice.Event{
		"NEW_REQUEST q c 3 k 9 t 7 -1 4 50": choice.Query{ID: "q", Class: "c", Number: 3, Key: "k", Grace: 9, Tenant: "t",
			Hinted: true, Repeat: true, Write: true, Parts: 4, Predicted: 50},
		"NEW_REQUEST p c 3 - 9 - 0 5 0.25 -": choice.Part{ID: "p", Class: "c", Number: 3, Shard: 5, Weight: 0.25},
		"REPLY p a 8 1 2 turned_away depth:3,x:0.5": choice.Outcome{ID: "p", Server: "a", Delay: 8, Closed: true, Attempt: 2,
			Verdict: choice.Rejected, Load: []choice.Reading{{Name: "depth", Value: 3}, {Name: "x", Value: 0.5}}},
		"CHECK_RESULT 8 no_connection a -": choice.ProbeResult{Server: "a", Delay: 8, Verdict: choice.NoConnection},
		"CLIENT_LEFT q":                    choice.ClientLeft{ID: "q"},
		"ELAPSED 77":                       choice.Elapsed{Token: 77},
		"HEAD_RECEIVED p 8 1 a":            choice.Started{ID: "p", Server: "a", Delay: 8, Attempt: 1},
		"MAIL 2 0aff":                      choice.PeerMessage{From: 2, Bytes: []byte{10, 255}},
	} {
		name, _, _ := strings.Cut(line, " ")
		got, known, err := decodeEvent(name, line)
		if !known || err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %#v, %v, want %#v", line, got, err, want)
		}
	}
}

func TestEveryActionEncodes(t *testing.T) {
	for want, action := range map[string]choice.Action{
		"ISSUE p a 80":    choice.Send{ID: "p", Server: "a", Timeout: 80},
		"ABANDON p 1":     choice.Cancel{ID: "p", Attempt: 1},
		"ANSWER q 0":      choice.Answer{ID: "q"},
		"BOUNCE q 50":     choice.Refuse{ID: "q", RetryAfter: 50},
		"FINISH_ERROR q":  choice.Fail{ID: "q"},
		"WAKE_ME 5 7":     choice.Wake{Delay: 5, Token: 7},
		"PROBE a":         choice.Probe{Server: "a"},
		"RELEASE a":       choice.Release{Server: "a"},
		"POST * 0aff":     choice.SendToPeer{Peer: -1, Bytes: []byte{10, 255}},
		"POST 2 -":        choice.SendToPeer{Peer: 2},
		"JOURNAL_LINE hi": choice.Log{Text: "hi"},
		"OBSERVE 1":       choice.Watch{On: true},
		"PULL":            choice.Fetch{},
	} {
		if got := encode(action); got != want {
			t.Errorf("%#v: %q, want %q", action, got, want)
		}
	}
}

func TestSettingsDecode(t *testing.T) {
	seed, s, err := decodeStart(start + " rules.extra-window=5 rules.extra-ratio=0.05 discovery=ask tenants.count=1 " +
		"tenants.0.name=t tenants.0.quota-per-s=2.5 limits.cancel=true tenants=")
	if err != nil || seed != 7 {
		t.Fatal(seed, err)
	}
	if !s.RetryBudget || s.RetryBudgetRatio != 0.05 || !s.AskDiscovery || !s.Cancel || s.Tenants[0].QuotaPerS != 2.5 ||
		s.Classes[0].RequiredShare != 1 || s.Classes[0].Effect != choice.Safe {
		t.Fatalf("%+v", s)
	}
}

func FuzzRunNeverPanics(f *testing.F) {
	f.Add("SYNC 100\nINSTANCE r\n" + start + "\n" + list + "GO\n")
	f.Add("SYNC 1\nINSTANCE r\n" + start + "\nREPLY p a 1 1 0 served depth:1\nGO\n")
	f.Add("SYNC 1\nREGISTER 0 1\nROW a z k 0 1 1 -\nGO")
	f.Fuzz(func(t *testing.T, in string) {
		var out strings.Builder
		err := Run(strings.NewReader(in), &out)
		if err != nil && (err.Error() == "" || strings.Contains(err.Error(), "\n")) {
			t.Fatalf("error %q is not one line", err)
		}
		for line := range strings.SplitSeq(strings.TrimSuffix(out.String(), "\n"), "\n") {
			if strings.HasPrefix(line, "SYNC") {
				t.Fatalf("output %q is not a reply", line)
			}
		}
	})
}
