package events

import "github.com/charmbracelet/log"

// The catalogue. A number is never used again for another event: 1xx any program, 2xx the
// proxy, 3xx the agent, 4xx the control plane.
var (
	Started         = add(101, "started", log.InfoLevel, "the process has its addresses and begins", "")
	Stopping        = add(102, "stopping", log.InfoLevel, "SIGTERM came; requests in progress are finished within the grace period", "")
	Stopped         = add(103, "stopped", log.InfoLevel, "the process ends as it was asked to", "")
	Failed          = add(104, "failed", log.ErrorLevel, "the process can't go on and ends", "read `err`; the platform starts it again")
	Reloaded        = add(105, "settings-reloaded", log.InfoLevel, "the settings file has changed and is in force", "")
	SettingsInvalid = add(106, "settings-invalid", log.ErrorLevel, "the settings file has changed and cannot be read; the old settings stay in force", "`check` it")
	Joined          = add(107, "joined", log.InfoLevel, "the first other process was met", "")
	NoPeers         = add(108, "no-peers", log.WarnLevel, "no other process answers: the seeds are down or outdated", "check `seed_addresses` and the control plane")
	InvariantBroken = add(109, "invariant-broken", log.FatalLevel, "an invariant of the code does not hold; the process stops rather than go on", "report the line with its numbers")
	ProcessDead     = add(110, "process-dead", log.WarnLevel, "heartbeats of this process are missing here and at another watcher: it is announced to be gone", "look at it; if it lives, at the network to it")
	ProcessGone     = add(111, "process-gone", log.InfoLevel, "another process is known to have ended", "")
	RoleTaken       = add(112, "role-taken", log.InfoLevel, "this process is the first live one in the order of a singleton role, and holds it from now on under `epoch`", "")
	RoleLost        = add(113, "role-lost", log.InfoLevel, "another process has taken a singleton role over under a higher epoch", "")
	KindAbsent      = add(114, "kind-absent", log.WarnLevel, "no other process of this kind is known to be alive: nothing goes to them, and what they know does not come here", "`show` the processes of this kind; if they run, look at the network, then at whom they know")
	KindPresent     = add(115, "kind-present", log.InfoLevel, "processes of this kind are known, and none was before", "")

	ConfigInForce    = add(201, "configuration-in-force", log.InfoLevel, "requests are handled by this revision from now on", "")
	ConfigUnusable   = add(202, "configuration-unusable", log.ErrorLevel, "the agent delivered a configuration that cannot be put in force; the old one stays", "compare the releases of the programs")
	AgentUnreachable = add(203, "agent-away", log.WarnLevel, "the agent does not answer; the proxy goes on with what it last had", "look at the agent on the same machine")
	AgentReachable   = add(204, "agent-back", log.InfoLevel, "the agent answers again", "")
	Ready            = add(205, "ready", log.InfoLevel, "a configuration and servers are known; the proxy calls itself ready", "")
	Counters         = add(206, "counters", log.InfoLevel, "what the proxy has taken, sent and answered since its start", "")
	GraceExpired     = add(207, "cut-short", log.WarnLevel, "the grace period is over and requests are still in progress; their clients get an error", "")
	ServersChanged   = add(208, "servers", log.DebugLevel, "changes of servers were put in force", "")

	Ejected         = add(209, "ejected", log.InfoLevel, "a server or a caller takes `times` as long as its peers, on the evidence of `proxies` proxies: requests avoid it", "look at it; `explain` shows the evidence")
	Restored        = add(210, "restored", log.InfoLevel, "a server or a caller that was ejected is used as before", "")
	EjectionChanged = add(211, "ejection-changed", log.DebugLevel, "a server or a caller that is ejected became much slower or faster", "")
	QuotaExhausted  = add(212, "allowance-used-up", log.InfoLevel, "a request was answered 429: the allowance of its caller is used up here for now; nothing of it was executed", "`show allowance`; a larger `rate` in the configuration")

	ProxyGone     = add(301, "proxy-gone", log.InfoLevel, "after SIGTERM: the proxy has ended, and the agent ends", "")
	ConfigLearned = add(302, "configuration-learned", log.InfoLevel, "gossip has brought this revision; the proxy is fed it", "")

	ConfigAcknowledged = add(401, "configuration-acknowledged", log.InfoLevel, "a configuration is durable and is announced to all processes", "")
	ConfigInvalid      = add(402, "configuration-invalid", log.WarnLevel, "an operator sent a configuration that is not valid", "`path` says where it is wrong")
	ConfigNotDurable   = add(403, "configuration-not-durable", log.WarnLevel, "too few control-plane machines answered to acknowledge a configuration; the operator gets 503", "look at the view of the control plane")
	ServerNew          = add(404, "server-new", log.InfoLevel, "an incarnation of a server was heard for the first time", "")
	ServerDraining     = add(405, "server-draining", log.InfoLevel, "a server says that it is draining", "")
	ServerDeregistered = add(406, "server-deregistered", log.InfoLevel, "a server has deregistered", "")
	ServerUnresponsive = add(407, "server-silent", log.WarnLevel, "a server has missed its heartbeats here", "look at the server")
	HeartbeatInvalid   = add(408, "heartbeat-invalid", log.WarnLevel, "a heartbeat is not valid", "look at the server")
	DiskEmpty          = add(409, "disk-empty", log.WarnLevel, "this disk is empty although the system is not new: the machine has no vote until the members give it one", "")
	ViewChanged        = add(410, "view", log.InfoLevel, "a new view of the control plane is in force here: its members and its chain, from head to tail", "")
	DiskWriteFailed    = add(412, "disk-refuses", log.ErrorLevel, "the disk did not take a write; nothing is acknowledged here until it does", "look at the disk")
	VoteHandedOver     = add(413, "handed-over", log.InfoLevel, "after SIGTERM: another machine has this one's vote and a majority knows; the process ends", "")
	VoteNotHandedOver  = add(414, "not-handed-over", log.WarnLevel, "after SIGTERM: the vote stays with the disk of this machine until it comes back or another takes its place", "read `why`; if the machine is to go for good, start its successor first")
	MessageInvalid     = add(415, "message-invalid", log.WarnLevel, "a message of another control-plane machine cannot be read and is skipped", "compare the releases of the programs")
	ConfigConflict     = add(416, "configuration-conflict", log.WarnLevel, "an operator sent other content under a revision that was accepted before; it is not in force", "the operator sends it under a higher revision")
	QuorumLost         = add(417, "quorum-lost", log.WarnLevel, "no majority of the control plane was heard here for a while: until it is, this machine hands out no configuration and accepts none, nor the leave of a server; callers are sent elsewhere", "look at the network to the other control-plane machines")
	QuorumRegained     = add(418, "quorum-regained", log.InfoLevel, "a majority of the control plane is heard here again", "")
	DiskDamaged        = add(411, "disk-damaged", log.ErrorLevel, "what is on this disk cannot be read: it is not trusted", "replace the machine or empty its data directory")
)
