package events

import "github.com/charmbracelet/log"

// The catalogue. The number of a removed event is never reused. Numbers 1xx belong to events of any
// program, 2xx of the proxy, 3xx of the agent and 4xx of the control plane.
var (
	Started         = register(101, "started", log.InfoLevel, "the process has bound its addresses and starts", "")
	Stopping        = register(102, "stopping", log.InfoLevel, "SIGTERM was received; requests in progress are finished within the grace period", "")
	Stopped         = register(103, "stopped", log.InfoLevel, "the process ends as requested", "")
	Failed          = register(104, "failed", log.ErrorLevel, "the process cannot continue and ends", "read `err`; the platform restarts the process")
	Reloaded        = register(105, "settings-reloaded", log.InfoLevel, "the settings file has changed and the new settings are in force", "")
	SettingsInvalid = register(106, "settings-invalid", log.ErrorLevel, "the settings file has changed and is invalid; the previous settings stay in force", "`check` it")
	Joined          = register(107, "joined", log.InfoLevel, "the first other process was contacted", "")
	NoPeers         = register(108, "no-peers", log.WarnLevel, "no other process answers: the seeds are down or outdated", "check `seed_addresses` and the control plane")
	InvariantBroken = register(109, "invariant-broken", log.FatalLevel, "an invariant of the code is violated; the process stops instead of continuing", "report the log line with its values")
	ProcessDead     = register(110, "process-dead", log.WarnLevel, "heartbeats of this process are missing here and at another watcher: the process is announced as dead", "check the process; if it runs, check the network to it")
	ProcessGone     = register(111, "process-gone", log.InfoLevel, "another process is known to have ended", "")
	RoleTaken       = register(112, "role-taken", log.InfoLevel, "this process is the first live one in the order of a singleton role, and holds the role from now on under `epoch`", "")
	RoleLost        = register(113, "role-lost", log.InfoLevel, "another process has taken over a singleton role under a higher epoch", "")
	KindAbsent      = register(114, "kind-absent", log.WarnLevel, "no other process of this kind is known to be alive: nothing is sent to such processes, and none of their updates arrive here", "`show` the processes of this kind; if they run, check the network, then which processes they know")
	KindPresent     = register(115, "kind-present", log.InfoLevel, "processes of this kind are known; none was known before", "")

	ConfigInForce    = register(201, "configuration-in-force", log.InfoLevel, "requests are handled by this revision from now on", "")
	ConfigUnusable   = register(202, "configuration-unusable", log.ErrorLevel, "the agent delivered a configuration that cannot be applied; the previous one stays in force", "compare the releases of the programs")
	AgentUnreachable = register(203, "agent-away", log.WarnLevel, "the agent does not answer; the proxy continues with the last state that it received", "check the agent on the same machine")
	AgentReachable   = register(204, "agent-back", log.InfoLevel, "the agent answers again", "")
	Ready            = register(205, "ready", log.InfoLevel, "a configuration and servers are known; the proxy reports that it is ready", "")
	Counters         = register(206, "counters", log.InfoLevel, "counts of what the proxy has accepted, forwarded and answered since its start", "")
	GraceExpired     = register(207, "cut-short", log.WarnLevel, "the grace period is over and requests are still in progress; their clients receive an error", "")
	ServersChanged   = register(208, "servers", log.DebugLevel, "changes of servers were applied", "")

	Ejected         = register(209, "ejected", log.InfoLevel, "a server or a caller takes `times` as long as its peers, on the evidence of `proxies` proxies: requests avoid it", "check it; `explain` shows the evidence")
	Restored        = register(210, "restored", log.InfoLevel, "a server or a caller that was ejected is used again", "")
	EjectionChanged = register(211, "ejection-changed", log.DebugLevel, "an ejected server or caller became much slower or faster", "")
	QuotaExhausted  = register(212, "allowance-used-up", log.InfoLevel, "a request was answered 429: the quota of its caller is exhausted here for now; no part of the request was executed", "`show allowance`; a larger `rate` in the configuration")

	ProxyGone     = register(301, "proxy-gone", log.InfoLevel, "after SIGTERM: the proxy has ended, and the agent ends", "")
	ConfigLearned = register(302, "configuration-learned", log.InfoLevel, "gossip delivered this revision; the agent forwards it to the proxy", "")

	ConfigAcknowledged = register(401, "configuration-acknowledged", log.InfoLevel, "a configuration is durable and is announced to all processes", "")
	ConfigInvalid      = register(402, "configuration-invalid", log.WarnLevel, "an operator sent an invalid configuration", "`path` names the invalid element")
	ConfigNotDurable   = register(403, "configuration-not-durable", log.WarnLevel, "too few control-plane machines answered to acknowledge a configuration; the operator gets 503", "check the view of the control plane")
	ServerNew          = register(404, "server-new", log.InfoLevel, "the first heartbeat of an incarnation of a server was received", "")
	ServerDraining     = register(405, "server-draining", log.InfoLevel, "a server reports that it is draining", "")
	ServerDeregistered = register(406, "server-deregistered", log.InfoLevel, "a server has deregistered", "")
	ServerUnresponsive = register(407, "server-silent", log.WarnLevel, "a server has missed its heartbeats here", "check the server")
	HeartbeatInvalid   = register(408, "heartbeat-invalid", log.WarnLevel, "a heartbeat is invalid", "check the server")
	DiskEmpty          = register(409, "disk-empty", log.WarnLevel, "this disk is empty although the system is not new: the machine has no vote until the members grant it one", "")
	ViewChanged        = register(410, "view", log.InfoLevel, "a new view of the control plane is in force here: its members and its chain, from head to tail", "")
	DiskWriteFailed    = register(412, "disk-refuses", log.ErrorLevel, "the disk rejected a write; this machine acknowledges nothing until a write succeeds", "check the disk")
	VoteHandedOver     = register(413, "handed-over", log.InfoLevel, "after SIGTERM: another machine has this machine's vote and a majority knows; the process ends", "")
	VoteNotHandedOver  = register(414, "not-handed-over", log.WarnLevel, "after SIGTERM: the vote stays with the disk of this machine until the machine returns or another one replaces it", "read `why`; to remove the machine permanently, start its successor first")
	MessageInvalid     = register(415, "message-invalid", log.WarnLevel, "a message of another control-plane machine cannot be decoded and is skipped", "compare the releases of the programs")
	ConfigConflict     = register(416, "configuration-conflict", log.WarnLevel, "an operator sent different content under a revision that was accepted before; it is not in force", "send it under a higher revision")
	QuorumLost         = register(417, "quorum-lost", log.WarnLevel, "no majority of the control plane has responded here for a while: until one does, this machine returns no configuration, accepts none and does not acknowledge the leave of a server; callers are redirected", "check the network to the other control-plane machines")
	QuorumRegained     = register(418, "quorum-regained", log.InfoLevel, "a majority of the control plane responds here again", "")
	DiskDamaged        = register(411, "disk-damaged", log.ErrorLevel, "the state on this disk cannot be read and is not trusted", "replace the machine or empty its data directory")
)
