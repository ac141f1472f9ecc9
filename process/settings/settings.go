package settings

import (
	"strings"
	"time"
)

// Settings is the configuration file of a node; docs/SETTINGS.md is generated from its tags.
type Settings struct {
	Node      Node      `ini:"node" doc:"Who and where the node is."`
	Gateway   Gateway   `ini:"gateway" doc:"How opaque requests are taken; a node with a listening address here serves them in place of the caller API, and needs neither [platform] nor [peers]."`
	Platform  Platform  `ini:"platform" only:"callers" doc:"Where the platform's service is."`
	Peers     Peers     `ini:"peers" only:"callers" doc:"How the nodes of a fleet back one another up."`
	Claims    Claims    `ini:"claims" doc:"How requests that may run at most once are claimed in the platform's table."`
	Limits    Limits    `ini:"limits" doc:"Bounds on what callers may ask for."`
	Recovery  Recovery  `ini:"recovery" doc:"When an attempt is taken for lost, and what follows."`
	Retry     Retry     `ini:"retry" doc:"Bounds on retries, so that failures do not multiply the load."`
	Placement Placement `ini:"placement" doc:"How upstreams are chosen."`
	Rollout   Rollout   `ini:"rollout" doc:"How the work of a service moves to another version of its upstreams."`
	Admission Admission `ini:"admission" doc:"Which of the prompts that wait for an upstream goes next, and which are rejected while there is more than upstreams can take."`
	Duties    Duties    `ini:"duties" doc:"What one node at a time does at the platform: reports of usage, and orders of upstreams."`
	Log       Log       `ini:"log" doc:"Log lines."`
	Trace     Trace     `ini:"trace" doc:"Traces."`
}

// Node identifies the node and its addresses.
type Node struct {
	VM         string        `ini:"vm" check:"required" doc:"Name of the VM on the platform's list of VMs."`
	DataCentre string        `ini:"data_centre" check:"required" doc:"Data centre that the VM stands in."`
	Bandwidth  float64       `ini:"bandwidth" default:"0" min:"0" doc:"Speed of the VM's link in Mbit/s; in a large fleet the VMs with the fastest read the store for the rest; 0 where it is not known."`
	Listen     string        `ini:"listen" default:"127.0.0.1:8080" check:"address" doc:"IP number and port for callers."`
	Admin      string        `ini:"admin" default:"127.0.0.1:8081" check:"address" doc:"IP number and port for metrics and profiles."`
	Grace      time.Duration `ini:"grace" default:"15m" min:"1s" doc:"Longest time that a stopping node lets its requests finish."`
}

// Gateway configures the serving of opaque requests.
type Gateway struct {
	Listen          string        `ini:"listen" check:"optional_address" doc:"IP number and port for callers of opaque requests; none where it is empty."`
	Readiness       string        `ini:"readiness" check:"optional_address" doc:"IP number and port at which the node tells whether it takes new connections."`
	Store           string        `ini:"store" check:"optional_address" doc:"IP number and port of the store that holds the routes and the list of upstreams; must be set where listen is."`
	Peers           string        `ini:"peers" check:"optional_address" doc:"IP number and port at which the node tells other nodes what the store holds; without one, it reads the store itself."`
	FirstStart      bool          `ini:"first_start" default:"false" doc:"Whether the whole system starts for the first time: the node then registers itself before it reads which others there are, which spares the store two calls of each node."`
	MaxWait         time.Duration `ini:"max_wait" default:"60s" min:"10ms" doc:"Longest time for an answer where neither the route nor the caller names one."`
	HeaderWait      time.Duration `ini:"header_wait" default:"10s" min:"100ms" doc:"Longest time that a caller may take to send a request's header; the configuration may give callers more."`
	IdleWait        time.Duration `ini:"idle_wait" default:"60s" min:"1s" doc:"How long a connection without a request is kept; the configuration may give callers more."`
	HeaderBytes     int           `ini:"header_bytes" default:"65536" min:"1024" doc:"Largest header of a request in bytes, and largest request line, where the configuration gives callers no limit; a request beyond it is answered with status 431."`
	Detours         int           `ini:"detours" default:"256" min:"0" doc:"Most connections to upstreams that the node keeps open for other nodes which have lost their own path there; 0 for none."`
	DialWait        time.Duration `ini:"dial_wait" default:"120ms" min:"1ms" doc:"Longest wait for a connection to an upstream."`
	PollWait        time.Duration `ini:"feed_wait" default:"3s" min:"100ms" max:"30s" doc:"How long one call to the store waits for changes, by a node that has no others to ask."`
	RecoverWithin   time.Duration `ini:"back_within" default:"3s" min:"500ms" doc:"Time after an outage of the store, or of the way to it, within which the node goes by what the store then holds; it bounds how long one call to the store may hang."`
	RemovalGrace    time.Duration `ini:"lapse_grace" default:"1600ms" min:"0s" max:"10s" doc:"How long upstreams that are missing when the store comes back after an outage are still used; four fifths of drain_within at the longest."`
	DrainWithin     time.Duration `ini:"drain_within" default:"2s" min:"100ms" doc:"Time within which an upstream that is leaving gets no more work."`
	InForceWithin   time.Duration `ini:"in_force_within" default:"3s" min:"500ms" doc:"Time within which a change of the configuration is in force; in a large fleet it bounds how old the tables of a node may be that others rely on."`
	LameDuck        time.Duration `ini:"lame" default:"3s" min:"0s" doc:"How long a stopping node takes requests at the least, while it says that it is not ready; after that it ends as soon as none is under way."`
	LameDuckStreams time.Duration `ini:"lame_streams" default:"2500ms" min:"0s" doc:"How long a stopping node still takes calls, and streams that can go on at another node, whose answer may last longer than the node; a third of the grace at the longest."`
}

// Platform holds the addresses and credentials of the platform's services.
type Platform struct {
	TableURL  string        `ini:"table_url" check:"url" doc:"Address of the transactional table (DynamoDB's protocol)."`
	ObjectURL string        `ini:"object_url" check:"url" doc:"Address of the object store (S3's protocol)."`
	VMsURL    string        `ini:"vms_url" check:"url" doc:"Address of the list of VMs (JSON)."`
	Region    string        `ini:"region" default:"local" doc:"Region that requests to the platform are signed for."`
	AccessKey string        `ini:"access_key" default:"vaneyoke" doc:"Access key for the platform."`
	SecretKey string        `ini:"secret_key" default:"vaneyoke" secret:"true" doc:"Secret key for the platform."`
	Table     string        `ini:"table" default:"vaneyoke" doc:"Name of the table."`
	Bucket    string        `ini:"bucket" default:"vaneyoke" doc:"Name of the bucket."`
	Poll      time.Duration `ini:"poll" default:"800ms" min:"50ms" max:"2s" doc:"Period of reading the configuration's revision."`
	Fresh     time.Duration `ini:"fresh" default:"2s" min:"500ms" max:"3s" doc:"How long a confirmation of the configuration counts, by the store or by a majority of the nodes; changes are in force everywhere within this time."`
}

// Peers configures the failover between the nodes of a fleet.
type Peers struct {
	Listen       string        `ini:"listen" default:"127.0.0.1:8082" check:"address" doc:"IP number and port for other nodes; the platform's list of VMs has to name it."`
	Keys         string        `ini:"keys" check:"keys" secret:"true" doc:"Keys that nodes show one another and sign cursors with, parted by commas; the first is used, and all are taken, so that they can be rolled."`
	PushPeriod   time.Duration `ini:"push_period" default:"250ms" min:"1ms" doc:"Time between pushes of journals to their backups."`
	AckWait      time.Duration `ini:"ack_wait" default:"250ms" min:"1ms" doc:"Longest wait for a backup before another is tried."`
	CallTimeout  time.Duration `ini:"call_timeout" default:"300ms" min:"1ms" doc:"Longest wait for another node's answer."`
	Linger       time.Duration `ini:"linger" default:"30s" min:"0s" doc:"How long a request whose caller may come back runs on after the caller has gone."`
	Retention    time.Duration `ini:"retention" default:"10m" min:"1s" doc:"How long a finished answer is kept for a repeat of its request."`
	JournalBytes int           `ini:"bytes" default:"67108864" min:"1048576" doc:"Estimated memory in bytes of the journals kept for other nodes."`
	TailTokens   int           `ini:"tail_tokens" default:"32" min:"1" max:"500" doc:"Most tokens that an event id carries because the backup has not confirmed them."`
}

// Claims configures the claims of requests that may run at most once.
type Claims struct {
	Window      time.Duration `ini:"window" default:"3ms" min:"0s" max:"1s" doc:"Time for which writes are gathered into one transaction."`
	Wait        time.Duration `ini:"wait" default:"2s" min:"10ms" doc:"Longest wait for a claim to stand before the request is refused."`
	SaveWait    time.Duration `ini:"save_wait" default:"10s" min:"10ms" doc:"Longest try to keep an answer for those who ask again."`
	SettleEvery time.Duration `ini:"settle_every" default:"1s" min:"10ms" doc:"Pause between tries to revoke a claim whose write has an unknown outcome."`
}

// Limits bounds the requests of callers.
type Limits struct {
	Memory       float64       `ini:"memory" default:"256" min:"0" doc:"Megabytes of memory that the process may have: at four fifths of it, less for a small one, the garbage collector works against its growth, and buffer_bytes and the number of connections follow from it; 0 for no bound."`
	BodyBytes    int64         `ini:"body_bytes" default:"4194304" min:"1024" doc:"Largest request body in bytes."`
	HeadBytes    int           `ini:"head_bytes" default:"131072" min:"16384" max:"1048576" doc:"Largest head of an answer in bytes, from an upstream, another node or the store, together with the heads of status 1xx before it. One in trouble may send a head without end, which takes the node's memory; twice as much as header_bytes by default, since an answer may repeat the request's header."`
	MaxWait      time.Duration `ini:"max_wait" default:"30s" min:"10ms" doc:"Longest time without progress before a request is given up."`
	WriteTimeout time.Duration `ini:"write_timeout" default:"30s" min:"100ms" doc:"Longest time that a caller may take to read a piece of its answer."`
	UnreadBytes  int64         `ini:"unread_bytes" default:"1048576" min:"0" doc:"Bytes of a streamed answer that its caller has not read, from which the node reads no more of it from the upstream; 0 for no bound."`
	SocketBytes  int           `ini:"socket_bytes" default:"262144" min:"0" doc:"Size in bytes of the send buffer that the system keeps for a connection of a caller of opaque requests; 0 for the system's own choice, which may be megabytes."`
	ReceiveBytes int           `ini:"receive_bytes" default:"16384" min:"0" doc:"Bytes that the system receives for a connection that the node has accepted, or not yet, before the node reads them. For a large body it grows with what has been read of it, to 256 KiB, so that a caller far away is not held up; 0 for the system's own choice, which may be megabytes."`
	BufferBytes  int64         `ini:"buffer_bytes" default:"0" min:"0" doc:"Bytes of bodies and unread answers that the node holds for all callers of opaque requests, at most half of memory: a request whose body has no room is refused before it is read, and from half of what bodies leave, who holds more than an equal share of answers waits; an answer that is not streamed may have a quarter of it, and 32 MiB at the most; 0 for half of memory."`
	Descriptors  int           `ini:"descriptors" default:"0" min:"0" doc:"File descriptors that the process may have open; 0.3 of them are for connections of callers, 0.1 for those of other nodes, 0.06 for readiness and metrics, and the rest for those to upstreams, the store and other nodes. Beyond that a new connection takes the place of one on which no request is being handled; at most the limit of the system, and 0 for just that."`
	StalledAfter time.Duration `ini:"stalled_after" default:"5s" min:"100ms" doc:"How long a caller that holds more than its share of buffer_bytes may read nothing before it is cut off, while others wait for memory."`
	CallSilence  time.Duration `ini:"call_silence" default:"5s" min:"10ms" doc:"Silence of a service that makes a call suspect."`
	UnaryTimeout time.Duration `ini:"whole_limit" default:"10m" min:"1s" doc:"Longest time that an engine may take for an answer that is not streamed."`
}

// Recovery configures when an attempt counts as lost, and how often a request may lose attempts.
type Recovery struct {
	FirstToken time.Duration `ini:"first_token" default:"3s" min:"10ms" doc:"Silence before the first token that makes an attempt suspect."`
	Floor      time.Duration `ini:"floor" default:"300ms" min:"10ms" doc:"Shortest silence between tokens that makes an attempt suspect."`
	Ceiling    time.Duration `ini:"ceiling" default:"2s" min:"10ms" doc:"Longest silence between tokens that does not."`
	Deviations float64       `ini:"deviations" default:"8" min:"1" doc:"Mean deviations over the mean gap that make an attempt suspect."`
	Patience   float64       `ini:"patience" default:"4" min:"1" doc:"Times the suspect silence that a frugal workspace's attempt is waited for."`
	Crashes    int           `ini:"crashes" default:"3" min:"0" max:"10" doc:"Upstreams that a request may end as they begin to run it, over all repeats with the same path, workspace and body and at all nodes, before it is sent to none; 0 for no bound."`
	Quarantine time.Duration `ini:"quarantine" default:"1h" min:"1s" doc:"How long such a request is sent to no upstream."`
	UsefulOnly bool          `ini:"useful_only" default:"true" doc:"Whether a further attempt at an opaque request, a continuation or a replica is begun only if it can still end before the caller's deadline, as far as recent answers tell."`
	MaxLosses  int           `ini:"max_losses" default:"8" min:"1" doc:"Losses in a row without a token between them before a request is given up."`
}

// Retry configures the retry budget and the circuit breakers.
type Retry struct {
	Ratio       float64       `ini:"ratio" default:"0.2" min:"0" doc:"Retries allowed for each admitted request."`
	PerSecond   float64       `ini:"per_second" default:"10" min:"0" doc:"Retries allowed each second whatever the traffic."`
	Burst       float64       `ini:"burst" default:"500" min:"1" doc:"Retries that can be saved up."`
	FleetRatio  float64       `ini:"fleet_ratio" default:"0" min:"0" doc:"Retries that the upstreams of a service may get for each request, from all nodes together; where it is set, it goes before ratio, with a margin."`
	FleetBurst  float64       `ini:"fleet_burst" default:"0" min:"0" doc:"Retries beyond fleet_ratio that all nodes together may save up for a service; where it is set, each node gets its share of it in place of burst."`
	FleetWindow time.Duration `ini:"fleet_window" default:"0s" min:"0s" max:"5m" doc:"Time over which fleet_ratio and fleet_burst hold; where it is 0, retries are saved up instead."`
	Failures    int           `ini:"failures" default:"3" min:"1" doc:"Failures in a row that open an upstream's circuit breaker."`
	OpenFor     time.Duration `ini:"open_for" default:"500ms" min:"10ms" doc:"First pause before an open breaker lets a trial through."`
	OpenMax     time.Duration `ini:"open_max" default:"15s" min:"10ms" doc:"Longest pause before an open breaker lets a trial through."`
}

// Placement configures the choice of upstreams.
type Placement struct {
	Spread string `ini:"spread" default:"auto" check:"spread" doc:"Which services have their requests spread over upstreams by free memory, work left and speed: on is all, off is none, auto is those whose routes differ in priority and those whose upstreams are seen to differ in speed."`
}

// Rollout configures the rollout of new versions of a service's upstreams.
type Rollout struct {
	Exposure float64       `ini:"exposure" default:"0" min:"0" max:"1" doc:"Share of a service's requests that a version which is not judged good may get, from all nodes together; where it is 0, orders for roll-outs are not followed."`
	Hold     time.Duration `ini:"hold" default:"2s" min:"0s" max:"1m" doc:"How long a version that is new to a service gets nothing while others are there, because the order for it may not be known yet."`
}

// Admission configures the queues of prompts.
type Admission struct {
	Mode      string `ini:"mode" default:"auto" check:"admission_mode" doc:"How the prompts of a service wait: ranked among each other, and rejected when they cannot be served in their callers' time; passive, each by itself and sent after half of its caller's time in any case; auto ranks them where routes of different priority lead to the service, or where its upstreams are seen to differ in speed."`
	MaxQueued int    `ini:"max_queued" default:"4096" min:"1" doc:"Most prompts of ranked services that wait on the node; over that, those that lose least are rejected."`
	MaxBytes  int    `ini:"max_bytes" default:"268435456" min:"1048576" doc:"Most bytes of their requests that are held."`
}

// Duties configures the duties: tasks at the platform that one node at a time performs under a lease.
type Duties struct {
	Platform       string        `ini:"platform" check:"optional_address" doc:"IP number and port that takes the calls of duties; where it is empty, no node has any."`
	Lease          time.Duration `ini:"lease" default:"3s" min:"500ms" max:"1m" doc:"Time within which the platform counts two holders of a duty as rivals; a lease lasts as long."`
	Fencing        bool          `ini:"fencing" default:"false" doc:"Whether the platform refuses calls with a lower token than it has seen; where it does not, a new holder waits for a lease's time, unless the one before gave the lease up with nothing under way."`
	Window         time.Duration `ini:"window" default:"0s" min:"0s" max:"1h" doc:"Length of the windows of the wall clock that usage is reported for; where it is 0, usage is not reported."`
	ReportDeadline time.Duration `ini:"late" default:"10s" min:"1s" max:"1h" doc:"Time after a window's end within which its usage is to be reported; at half of it the counts are fixed."`
}

// Log configures what is logged.
type Log struct {
	UneventfulLogEvery int    `ini:"plain_every" default:"1" min:"1" doc:"Of so many requests that went well at the first attempt and in time, one is logged; all others always are."`
	Level              string `ini:"level" default:"info" check:"level" doc:"Least severe level that is logged: debug, info, warning or error."`
}

// Trace configures the output and sampling of traces.
type Trace struct {
	Output string  `ini:"output" default:"off" doc:"off, stdout, or the path of a file that spans are appended to."`
	Ratio  float64 `ini:"ratio" default:"1" min:"0" max:"1" doc:"Share of requests that are traced where the caller does not say."`
}

const (
	megabyte       = 1_000_000
	collectorShare = 0.8      // of the memory, at most; the rest is for the program, what waits in sockets, and what the collector is late for
	socketShare    = 0.15     // of the memory, for what waits in sockets
	programBytes   = 12 << 20 // of the executable that are in memory
	bufferShare    = 0.5      // of the memory
	answerShare    = 4        // one part in so many of what may be held for callers, so that an answer and the copy that is delivered fit into the half which is beyond pressure
	maxAnswerBytes = 32 << 20
)

// CollectorBytes returns the memory from which the garbage collector works against the growth of the process; ok is false if there is no bound.
func (l Limits) CollectorBytes() (bytes int64, ok bool) {
	memory := l.Memory * megabyte
	return int64(max(min(memory*collectorShare, memory*(1-socketShare)-programBytes), memory*bufferShare)), l.Memory > 0
}

// MemoryBytes returns the memory that the process may have; 0 for no bound.
func (l Limits) MemoryBytes() int64 { return int64(l.Memory * megabyte) }

// MaxBufferBytes returns how much the node may hold for callers; 0 for no bound.
func (l Limits) MaxBufferBytes() int64 {
	if l.BufferBytes > 0 {
		return l.BufferBytes
	}
	return int64(l.Memory * megabyte * bufferShare)
}

// MaxAnswerBytes returns the largest body of a whole answer that is read from an upstream.
func (l Limits) MaxAnswerBytes() int {
	if bound := l.MaxBufferBytes(); bound > 0 {
		return int(min(bound/answerShare, maxAnswerBytes))
	}
	return maxAnswerBytes
}

// ServesOpaque reports whether the node serves opaque requests.
func (g Gateway) ServesOpaque() bool { return g.Listen != "" }

// KeyList returns the keys shared by the nodes, the one in use first.
func (p Peers) KeyList() []string {
	var keys []string
	for key := range strings.SplitSeq(p.Keys, ",") {
		if key = strings.TrimSpace(key); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}
