package wire

import (
	"encoding/hex"
	"fmt"
	"strconv"

	"saddleport/choice"
)

func boolField(value bool) string {
	if value {
		return "1"
	}
	return "0"
}

func bytesField(raw []byte) string {
	if len(raw) == 0 {
		return "-"
	}
	return hex.EncodeToString(raw)
}

func peerField(peer int64) string {
	if peer < 0 {
		return "*"
	}
	return strconv.FormatInt(peer, 10)
}

// encode returns the line for one action, without the line break. It panics for an unknown type.
func encode(a choice.Action) string {
	switch a := a.(type) {
	case choice.Send:
		return fmt.Sprintf("ISSUE %s %s %d", a.ID, a.Server, a.Timeout)
	case choice.Cancel:
		return fmt.Sprintf("ABANDON %s %d", a.ID, a.Attempt)
	case choice.Answer:
		return "ANSWER " + a.ID + " " + boolField(a.Whole)
	case choice.Refuse:
		return fmt.Sprintf("BOUNCE %s %d", a.ID, a.RetryAfter)
	case choice.Fail:
		return "FINISH_ERROR " + a.ID
	case choice.Wake:
		return fmt.Sprintf("WAKE_ME %d %d", a.Delay, a.Token)
	case choice.Probe:
		return "PROBE " + a.Server
	case choice.Release:
		return "RELEASE " + a.Server
	case choice.SendToPeer:
		return "POST " + peerField(a.Peer) + " " + bytesField(a.Bytes)
	case choice.Log:
		return "JOURNAL_LINE " + a.Text
	case choice.Watch:
		return "OBSERVE " + boolField(a.On)
	case choice.Fetch:
		return "PULL"
	}
	panic(fmt.Sprintf("wire: no encoding for action %T", a))
}
