package role

import (
	"net"
	"time"

	"saddleport/internal/node/events"
)

// The steps of a proxy's end, from SIGTERM on.
const (
	stayTime     = 2500 * time.Millisecond // until the platform has seen that this proxy is not ready
	refuseTime   = 2800 * time.Millisecond // from then on a request might not be finished within the grace
	graceShare   = 2                       // both within one part in so many of the grace
	endMargin    = 700 * time.Millisecond  // before the grace is over
	answerMargin = 200 * time.Millisecond  // for the last answers to be written
	lastChance   = 100 * time.Millisecond  // for a request that is on its way on a connection at rest
	quietTime    = 300 * time.Millisecond  // without a request, after which nobody is taken to come
	pollTime     = 20 * time.Millisecond
)

// shutDown ends the proxy in order: it goes on serving until the platform sends nobody any
// more, then each answer ends its connection, then what comes is refused, and what is still
// in hand shortly before the grace is over is answered as if its time were up.
func (t *tide) shutDown(ln net.Listener, grace time.Duration) {
	begun := time.Now()
	over := begun.Add(grace - endMargin)
	events.Stopping.Log("open", t.x.Open())
	t.front.Stop()
	sleepUntil(begun.Add(min(stayTime, grace/graceShare)))
	t.front.Close()
	refuseAt := begun.Add(min(refuseTime, grace/graceShare))
	for time.Now().Before(over) && (t.x.Open() > 0 || !t.front.Quiet(quietTime)) {
		if time.Now().After(refuseAt) {
			t.front.Refuse()
		}
		t.front.CloseIdle(lastChance)
		time.Sleep(pollTime)
	}
	t.front.Refuse()
	ln.Close()
	t.cutShort(over)
}

// cutShort waits for the last connections, and ends those that last too long.
func (t *tide) cutShort(over time.Time) {
	for cut := false; t.front.Clients() > 0 && time.Now().Before(over.Add(answerMargin)); {
		if !cut && !time.Now().Before(over) {
			cut = true
			events.CutShort.Log("open", t.x.Open())
			t.front.CutShort()
		}
		t.front.CloseIdle(lastChance)
		time.Sleep(pollTime)
	}
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }
