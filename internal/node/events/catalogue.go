package events

import "github.com/charmbracelet/log"

// The catalogue. Numbers are never given out anew: 1xx any program, 2xx the proxy, 3xx
// the agent, 4xx the core.
var (
	Started     = add(101, "started", log.InfoLevel, "the process has its addresses and begins", "")
	Stopping    = add(102, "stopping", log.InfoLevel, "SIGTERM came; what is in hand is finished within the grace", "")
	Stopped     = add(103, "stopped", log.InfoLevel, "the process ends of its own will", "")
	Failed      = add(104, "failed", log.ErrorLevel, "the process can't go on and ends", "read `err`; the platform starts it again")
	Reloaded    = add(105, "settings-reloaded", log.InfoLevel, "the settings file has changed and is in force", "")
	Unread      = add(106, "settings-unread", log.ErrorLevel, "the settings file has changed and can't be read; the old one stays in force", "`check` it")
	Joined      = add(107, "joined", log.InfoLevel, "the first other process was met", "")
	Alone       = add(108, "alone", log.WarnLevel, "no other process answers: the seeds are down or out of date", "look at `seed_addresses` and at the core")
	Broken      = add(109, "invariant-broken", log.FatalLevel, "the code's own rule does not hold; the process stops rather than go on", "report the line with its numbers")
	ProcessDead = add(110, "process-dead", log.WarnLevel, "this process's beats are missing here, and another has not heard of it either: it is told to be gone", "look at it; if it lives, at the ways to it")
	ProcessGone = add(111, "process-gone", log.InfoLevel, "another process is known to have ended", "")
	DutyTaken   = add(112, "duty-taken", log.InfoLevel, "this process is the first of a duty's order that lives, and does it from now on under `epoch`", "")
	DutyLost    = add(113, "duty-lost", log.InfoLevel, "another process has taken the duty over under a higher epoch", "")

	InForce    = add(201, "configuration-in-force", log.InfoLevel, "requests that come from now on go by this version", "")
	Unusable   = add(202, "configuration-unusable", log.ErrorLevel, "the agent brought a version that can't be made a plan of; the old one stays", "compare versions of the programs")
	AgentAway  = add(203, "agent-away", log.WarnLevel, "the agent does not answer; the proxy goes on with what it last had", "look at the agent on the same machine")
	AgentBack  = add(204, "agent-back", log.InfoLevel, "the agent answers again", "")
	Ready      = add(205, "ready", log.InfoLevel, "a configuration and servers are known; the proxy calls itself ready", "")
	Count      = add(206, "counters", log.InfoLevel, "what the proxy has taken, sent and answered since its start", "")
	CutShort   = add(207, "cut-short", log.WarnLevel, "the grace is over and requests are still out; their clients are told", "")
	ServerNews = add(208, "servers", log.DebugLevel, "news of servers was put in force", "")

	SetApart    = add(209, "set-apart", log.InfoLevel, "a server or a caller takes `times` as long as its peers, on the evidence of `mixers` mixers: it is kept away from the prompt", "look at it; `explain` tells what is known")
	BroughtBack = add(210, "brought-back", log.InfoLevel, "a server or a caller that was set apart is as all others again", "")
	ApartStill  = add(211, "apart-still", log.DebugLevel, "a server or a caller that is set apart is much slower or faster by now", "")
	Withheld    = add(212, "allowance-used-up", log.InfoLevel, "a request was answered 429: its caller's allowance is used up here for now; nothing of it was done", "`show allowance`; a larger `rate` in the configuration")

	ProxyGone = add(301, "proxy-gone", log.InfoLevel, "after SIGTERM: the proxy asks no more, and the agent ends", "")

	Acknowledged  = add(401, "configuration-acknowledged", log.InfoLevel, "a version is safe and is told to all", "")
	Invalid       = add(402, "configuration-invalid", log.WarnLevel, "an operator sent a configuration that is not valid", "`path` tells where it is wrong")
	Unsafe        = add(403, "configuration-not-safe", log.WarnLevel, "too few core machines answered to acknowledge a version; the operator is told to come again", "look at the core's view")
	ServerNew     = add(404, "server-new", log.InfoLevel, "a life of a server was heard for the first time", "")
	ServerDrains  = add(405, "server-drains", log.InfoLevel, "a server says that it leaves", "")
	ServerLeft    = add(406, "server-left", log.InfoLevel, "a server has said that it is gone", "")
	ServerSilent  = add(407, "server-silent", log.WarnLevel, "a server has missed its beats here", "look at the server")
	BadBeat       = add(408, "beat-unread", log.WarnLevel, "a heartbeat can't be read", "")
	Filling       = add(409, "disk-empty", log.WarnLevel, "this disk is empty though the system is not new: it counts for nothing until the members have taken it in", "")
	View          = add(410, "view", log.InfoLevel, "a new view of the core is in force here: its members and its chain, from head to tail", "")
	Refused       = add(412, "disk-refuses", log.ErrorLevel, "the disk did not take a write; nothing is acknowledged here until it does", "look at the disk")
	HandedOver    = add(413, "handed-over", log.InfoLevel, "after SIGTERM: another machine has this one's vote, and most members know; the process ends", "")
	NotHandedOver = add(414, "not-handed-over", log.WarnLevel, "after SIGTERM: the vote stays with this machine's disk until it comes back or another takes its place", "`why` tells; if the machine is to go for good, start its successor first")
	MailUnread    = add(415, "mail-unread", log.WarnLevel, "a message of another core machine can't be read and is passed over", "compare versions of the programs")
	Conflicting   = add(416, "configuration-conflict", log.WarnLevel, "an operator sent other content under the number of a configuration that was taken before; it is not in force", "the operator sends it under a higher number")
	OutOfTouch    = add(417, "out-of-touch", log.WarnLevel, "most of the core was not heard here for a while: this machine hands out no configuration, takes no order and no leave of a server until it is; callers are sent on", "look at the ways to the other core machines")
	InTouch       = add(418, "in-touch", log.InfoLevel, "most of the core is heard here again", "")
	Damaged       = add(411, "disk-damaged", log.ErrorLevel, "what is on this disk can't be read: it is not trusted", "replace the machine or empty its data directory")
)
