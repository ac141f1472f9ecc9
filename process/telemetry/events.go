package telemetry

import (
	"fmt"
	"strings"
)

// Event is a kind of log line.
type Event struct {
	Name string
	Keys []string // in addition to time, level and msg
	Text string   // what happened, in one sentence
}

// Events returns every kind of log line that a node writes, sorted by name.
func Events() []Event { return events }

var events = []Event{
	{"answer_aborted", []string{"request", "host", "path", "cause", "code", "error", "sent_bytes", "age_ms", "opened_ms", "configured_ms", "reloaded_ms", "stopping_ms"}, "A caller got no complete response, and its connection was closed: the answer ended midway (interrupted, code says why), the caller left (caller_gone) or did not take a part (write_failed), or the handler panicked midway (panicked). configured_ms, reloaded_ms and stopping_ms are since the node last got a configuration, SIGHUP and SIGTERM, -1 for never."},
	{"answer_paused", []string{"request", "attempt", "upstream", "reason"}, "A stream is read no further from its upstream, because its caller has not read unread_bytes of it (caller), or because the node holds more than half of buffer_bytes and more than an equal share of it for this caller (node)."},
	{"answers_not_kept", []string{"count"}, "A stopping node could not keep all answers that callers were given for those who ask again."},
	{"attempt_lost", []string{"request", "content", "attempt", "upstream", "cause", "error", "begun", "pieces", "head_ms", "age_ms"}, "An attempt on an upstream was lost; cause says how. head_ms is when the head of its answer had come (-1 for not at all), pieces how many pieces had, and age_ms when it was lost, all since it was sent; requests with the same content ask the same."},
	{"attempt_not_begun", []string{"request", "attempt", "reason", "remaining_ms", "expected_first_ms", "expected_rest_ms"}, "A further attempt was not begun, or a replica not kept (replica_useless), because its first chunk (first_chunk_late) or the end of the answer (answer_late) is expected after the caller's deadline, which is in remaining_ms; the expected times are those of fast upstreams, 0 for unknown."},
	{"attempt_started", []string{"request", "attempt", "upstream", "software", "from", "replica", "from_replica"}, "A further attempt was sent; from counts the pieces that the caller has, software is the version of the upstream's software."},
	{"attempt_suspect", []string{"request", "attempt", "upstream", "cause", "pieces", "head_ms", "age_ms", "left_ms"}, "Another attempt is to replace one that is silent, or whose upstream is not reached. It goes on until the other one is placed (attempt_lost), and its answer goes on with it if it sends something before; the fields are those of attempt_lost, left_ms the caller's remaining time."},
	{"caller_cut_off", []string{"request", "reason", "unread_bytes", "node_bytes", "error"}, "A caller that does not read its answer was cut off: it read nothing for stalled_after while others waited for memory (stalled), its upstream cut the answer off (upstream_cut_off), or it did not take a piece within write_timeout (write). unread_bytes is what it had not read, node_bytes what the node held for all callers."},
	{"cancel_failed", []string{"request", "upstream", "stream", "error"}, "An engine could not be told to stop a run."},
	{"cap_cleared", []string{"workspace", "route", "before"}, "An operator's cap on a workspace or a route is no longer in force; before is the share that it left, and an empty name stands for all."},
	{"cap_set", []string{"workspace", "route", "share", "before"}, "An operator's cap on a workspace or a route is in force: share is the part of its requests that is still admitted while others wait, 0 for none at all; before is the share until then, and an empty name stands for all."},
	{"claim_not_settled", []string{"request"}, "A claim whose write has an unknown outcome could not be settled."},
	{"configuration_applied", []string{"policy"}, "The policies and upstreams of a revision are in force."},
	{"configuration_changed", []string{"actor", "action", "policy"}, "An operator's change was committed with the revision that policy names."},
	{"configuration_does_not_encode", []string{"error"}, "The configuration could not be told to another node."},
	{"configuration_from_peer_broken", []string{"peer", "error"}, "Another node told a configuration that cannot be read."},
	{"configuration_in_force", []string{"version", "before"}, "The node goes by a newer configuration."},
	{"configuration_read_failed", []string{"error"}, "The configuration could not be read from the table."},
	{"connection_cut_off", []string{"request", "phase", "age_ms", "opened_ms", "stopping_ms"}, "A stopping node closes a connection in the middle of a request; phase says whether the request was being read or answered, and age_ms since when."},
	{"content_admitted", []string{"content"}, "What a request asks may be sent to upstreams again: it was answered in whole meanwhile, or its quarantine is over."},
	{"content_barred", []string{"content", "crashes"}, "What a request asks has ended as many upstreams as the settings allow, and is sent to none; crashes names them."},
	{"counts_not_taken", []string{"batches", "error"}, "What the node counted was not taken over by the node above (debug); it is offered again."},
	{"counts_unsound", []string{"peer", "seq"}, "Another node handed on counts that no node of this build does, and they are left aside: of no origin, less than nothing, or of a window far from now."},
	{"crash_dismissed", []string{"content", "upstream", "incarnation", "again", "reason"}, "An upstream ended as it began to run a request with this content, which does not count: `same_life` (it had ended once, under two requests), `together` (it fell with another, which counts) or `barred` (enough are known)."},
	{"crash_told", []string{"content", "upstream", "incarnation", "again"}, "An upstream ended as it began to run a request with this content, and the other nodes are told; again counts its lives under the same incarnation that ended so before."},
	{"crashes_removed", []string{"content", "error"}, "A content's crashes were removed from the store, unless there is an error."},
	{"crashes_written", []string{"content", "error"}, "A content's crashes were written to the store, unless there is an error."},
	{"detour_ended", []string{"address", "peer", "ms", "sent_bytes", "received_bytes", "error"}, "A connection to an upstream that this node kept open for another one has ended; peer is that node's address."},
	{"detour_refused", []string{"upstream", "address", "peer", "reason", "error", "ms"}, "Another node was asked to connect to an upstream and did not: missed (it reaches others, but not this one), no_path (its own path may be lost), busy (it keeps as many connections for others as it may), no_answer (not in time), or unusable (it stops, is gone, or knows no such upstream). At most one line a second for each node and reason."},
	{"frame_unwritable", []string{"error"}, "The node cannot tell another its tables."},
	{"handler_panicked", []string{"request", "host", "path", "answered", "error", "stack"}, "The handler of a request panicked, a fault of the node: stack names the functions that were being called, the innermost first. Its caller got a 500 with code 200 (answered), or its connection was closed as the answer had begun."},
	{"history_lost", []string{"table", "version"}, "The store has forgotten the changes since a version, and the table is read anew."},
	{"homes_not_told", []string{"request", "error"}, "The homes of a request could not be told who owns it."},
	{"journal_unreachable", []string{"peer", "error"}, "A node that may hold a journal did not answer."},
	{"lease_gained", []string{"duty", "fence", "before", "before_fence", "clean"}, "The node holds a duty from now on; before is the VM that held it before, clean whether that one gave it up with nothing under way."},
	{"lease_lost", []string{"duty", "fence", "reason"}, "The node does not hold a duty any more: its lease lapsed without a renewal that the store confirmed, was taken by another node, was released, or the platform refused its token."},
	{"lease_unwritten", []string{"duty", "fence", "error"}, "A write of a lease got no answer or was refused; it may have been carried out."},
	{"leave_failed", []string{"error"}, "A stopping node could not take itself off the members."},
	{"leaves_store", []string{}, "The node reads the store no more, because it has its tables from another node or found that the store does not answer."},
	{"limit_named", []string{"upstream", "incarnation", "named", "rate", "age_ms", "peer"}, "An upstream named how many requests a second it takes from all nodes together, another number than before, or none any more; age_ms is how long ago, and peer the node that told it, empty where the upstream told this one."},
	{"limit_recorded", []string{"upstream", "named", "rate", "error"}, "The store was told that an upstream names a limit, for nodes that start, or that it names none any more, unless there is an error."},
	{"limit_used", []string{"upstream", "rate", "ms", "first", "repeats", "questions"}, "What this node has sent in ms to an upstream that names a limit: first attempts, repeats, and questions of its own."},
	{"listen_failed", []string{"error"}, "The address of metrics and profiles, or the one at which other nodes offer their tables, cannot be opened; the node serves without it."},
	{"log_lines_lost", []string{"count"}, "Log lines were lost because nobody read them in time."},
	{"loss_outlived", []string{"content", "upstream", "incarnation", "age_ms"}, "An upstream lost a request with this content as it began to run it, and goes on: that is no crash; age_ms is the time since the request was sent to it."},
	{"member_taken_off", []string{"peer", "error"}, "A node that has not answered for ten minutes was taken off the list of members, unless there is an error."},
	{"membership_unchanged", []string{"event", "error"}, "The list of members could not be changed."},
	{"node_joined", []string{"vm"}, "The node has become a member whose confirmation counts."},
	{"node_removed", []string{"vm"}, "A VM that is gone was taken off the members."},
	{"node_started", []string{"vm", "data_centre", "listen", "admin", "peer", "build", "speaks", "buffer_bytes"}, "The node serves; buffer_bytes is how much it may hold for callers of opaque requests, build names what it was built from, and speaks what it understands of what nodes say to one another."},
	{"node_stopped", []string{"interrupted", "cut_off", "drained_ms", "ms"}, "The node has ended; interrupted counts the requests whose answer it ended because the grace was over, cut_off the connections that it closed without one, drained_ms says how long the stop took until all connections of callers were answered or cut off, and ms until its counts were handed on and its tasks had ended."},
	{"node_stopping", []string{"open", "grace", "lame"}, "The node was told to stop; open counts the requests being answered."},
	{"open_failed", []string{"peer", "error"}, "A home could not be asked who owns a request."},
	{"owner_unreachable", []string{"peer", "error"}, "The owner of a request did not answer."},
	{"path_lost", []string{"upstream", "address", "peer", "connected_ms"}, "This node's own path to an upstream is lost: it could not connect although another node could (peer, empty where that was known before). connected_ms is the time since it last could, -1 for never. It connects through other nodes until its path works again."},
	{"path_restored", []string{"upstream", "address", "ms"}, "This node connected to an upstream over its own path again, which had been lost for ms."},
	{"peer_asked", []string{"peer", "age_ms", "known", "reader", "error"}, "Another node was asked how old its tables are, because the own ones are old or missing, or come from another node than the first choice."},
	{"peer_lost", []string{"peer", "relied", "error"}, "Another node cannot be relied on for the store's tables any more."},
	{"permit_withheld", []string{"request", "upstream", "ms", "retry_after_ms"}, "An upstream names a limit that left an attempt nothing, and another one is looked for; ms is until it may have something again, and retry_after_ms when a caller would be told to come back."},
	{"policy_not_understood", []string{"policy", "problem"}, "A policy in the table cannot be read; it is left aside."},
	{"process_ending", []string{"ms", "log_ms"}, "The process has nothing left to do but to write out its log, for log_ms at the longest; ms is the time since its stop began. What it runs on after that is the kernel's."},
	{"prompt_found", []string{"request", "attempt", "upstream"}, "A caller came back for the rest of its answer, and its prompt is still kept by an upstream, which gets the attempt."},
	{"push_failed", []string{"peer", "sessions", "error"}, "Journals could not be pushed to their backup."},
	{"reads_store", []string{"reading", "members"}, "The node reads the store itself: all tables, the members alone, or once, to find out whether the store answers."},
	{"register_failed", []string{"error"}, "The node could not register itself among the members."},
	{"report_failed", []string{"peer", "error"}, "What was counted of a roll-out could not be told to the node above."},
	{"request_refused", []string{"request", "code", "host", "path", "error", "retry_after_ms", "opened_ms"}, "A request was refused before any upstream was chosen."},
	{"request_rejected", []string{"request", "service", "route", "workspace", "urgency", "reason", "waited_ms", "ahead_tokens", "expected_ms", "deadline_ms", "retry_after_ms"}, "A prompt was rejected before any upstream was chosen, because it could not be served in its time or others go first; ahead_tokens are the prompt tokens that were queued before it, expected_ms the time that its first token was expected to take, deadline_ms what was left of its caller's time."},
	{"requests_divided", []string{"service", "target", "share", "barred", "held"}, "A service's requests are divided among the versions of its upstreams in another way: target gets share of them, nothing at all where barred; held are versions that get nothing yet, because an order for them may come."},
	{"retry_borrowed", []string{"peer", "service"}, "The own share of the fleet's retries on a service was spent, and another node lent one of its own."},
	{"retry_not_lent", []string{"service"}, "The own share of the fleet's retries on a service was spent, and none of the nodes that were asked had one left; nobody is asked for half a second."},
	{"rollout_stopped", []string{"service", "target", "reason", "answers", "failed"}, "The node gives the target of a roll-out nothing more; answers and failed are those of the target that it and the nodes below it have counted, and reason is empty where another node told it."},
	{"rollout_written", []string{"service", "target", "stage", "reason", "order", "error"}, "The next stage of a roll-out was written to the store; where there is an error, the row tells whether it was."},
	{"room_awaited", []string{"request", "ms", "looks", "room"}, "No upstream that was asked had room for a prompt, and it was held until one had (room), or for half of the caller's time; looks is how often they were asked."},
	{"row_unreadable", []string{"key", "error"}, "A row of the store cannot be read, or something else than what it is for wrote it; a configuration that it held before is kept, and it names no upstream."},
	{"run_given_up", []string{"request", "attempt", "remaining_ms", "expected_rest_ms"}, "The run of an answer was ended before the caller's deadline, because the chunks that are missing take longer than remaining_ms even on a fast upstream."},
	{"sent_while_held", []string{"upstream", "ms", "first", "repeats", "questions"}, "What this node has sent in ms to an upstream that told it to stay away: first attempts, repeats, and questions of its own."},
	{"server_error", []string{"error"}, "A server told of an error that it went on after, such as a connection that could not be accepted."},
	{"server_failed", []string{"error"}, "A listener ended."},
	{"service_brittle", []string{"upstream", "service", "rejections", "brittle"}, "An upstream said that it falls over if it has to make more rejections in a second, or (brittle=false) the last one of its service no longer does. While any does, this node sends each of them no more at once than its share of the slots, and nothing for a while after a rejection."},
	{"session_dropped", []string{"request", "route", "upstream", "sent", "tokens", "attempts", "ms", "left_ms"}, "A request was being answered when the node ended, and was left where it stood; sent says whether an upstream may have run it."},
	{"session_ended", []string{"request", "content", "workspace", "policy", "route", "upstream", "version", "code", "tokens", "attempts", "losses", "discarded", "first_ms", "gap_ms", "ms", "left_ms", "prompt"}, "A request has been answered or has failed."},
	{"session_given_up", []string{"request", "peer"}, "A session was given to another node, which can go on with its run. While none can, it goes on here, and the node that its caller has asked repeats its question every 0.1 s without a line."},
	{"session_panicked", []string{"request", "error", "stack", "age_ms"}, "Work on a request panicked, a fault of the node: stack names the functions that were being called, the innermost first. Its caller got a 500 with code 200, or its connection was closed as the answer had begun; no other request was touched."},
	{"session_superseded", []string{"request"}, "A session ended here because another node goes on with it."},
	{"session_taken_over", []string{"request", "epoch", "tokens", "finished"}, "A session of another node goes on here."},
	{"settings_refused", []string{"code", "error"}, "Changed settings have errors and are left aside."},
	{"settings_reloaded", []string{"taken", "grace", "lame", "needs_restart"}, "Changed settings were taken in."},
	{"shares_alone", []string{"age_ms"}, "The node has no totals of the fleet's demand any more and goes by its own; age_ms is how long ago the last ones that included other nodes came. At most one line in 10 s."},
	{"shares_joined", []string{"nodes"}, "The node goes by the fleet's demand again; nodes is how many nodes' demand is in it."},
	{"signal_received", []string{"signal", "stopping"}, "The process got a signal; one that comes while it stops changes nothing."},
	{"signal_unreadable", []string{"upstream", "header"}, "An upstream said something of itself in a header whose value means nothing; it is left aside. Told once a second at the most."},
	{"store_clock_unknown", []string{"error"}, "The store's clock could not be read; a roll-out waits for it."},
	{"store_lost", []string{"table", "version", "error"}, "The store cannot be read; the node goes on with what it has."},
	{"store_regained", []string{"table", "version", "failures"}, "The store can be read again."},
	{"stream_continued", []string{"request", "attempt", "upstream", "software", "origin", "origin_software", "basis", "resumes", "after", "age_ms"}, "An attempt goes on with a stream of which the caller has events up to after: software is the version of its upstream's software, origin_software the version that began the stream, and origin the upstream that did so where this node was told by it. basis says why: first_output (within this answer), own_record, peer_record or only_version (see stream_looked_up). resumes is the attempt that brought the caller its first event where that was another one, age_ms the time since the request came."},
	{"stream_looked_up", []string{"request", "resumes", "after", "basis", "service", "software", "peer", "asked", "answered", "candidates", "covered_ms", "max_age_ms", "ms"}, "A caller came back for the rest of a stream that the attempt resumes began; service and software began it, by the record of this node (own_record) or of peer (peer_record), or because no node that answered knows of a second version (only_version). It cannot go on where no node has a record and candidates may have begun it (none), or two streams have the same id, or its version was not known (ambiguous). asked and answered count other nodes. Without a record, covered_ms is the longest time for which a node that was asked has known all versions, and max_age_ms how old the stream may be."},
	{"stream_not_continued", []string{"request", "attempt", "software", "origin", "tokens", "code", "error", "age_ms"}, "An answer of which the caller has tokens pieces from this node cannot go on: no upstream of the software version that began it takes work any more, or the version was taken back. origin is the upstream that began it where this node was told by it."},
	{"stream_repinned", []string{"request", "upstream", "incarnation", "before_incarnation", "software", "before_software", "known"}, "The upstream that began an answer turned out to have restarted before: the answer goes on at software, which is the version of its later incarnation, or at this process only while that is not known. It goes on at none until its next event, if its upstream told a later incarnation so late that it may have restarted meanwhile."},
	{"tables_fresh", []string{"peer", "age_ms", "reader"}, "The node's tables are not old any more; peer is the node that it follows, reader the one that the store confirmed them to."},
	{"tables_offered", []string{"peer", "age_ms", "reader"}, "Another node offered its tables to this one, which holds none yet."},
	{"tables_old", []string{"peer", "age_ms", "reader"}, "The store has not confirmed the node's tables for long; it serves on with them and looks for a node that knows better."},
	{"taken_while_stopping", []string{"request", "stopping_ms", "grace_left_ms", "wait_ms", "opened_ms"}, "A stopping node takes a request; wait_ms is how long the answer may take, grace_left_ms how long the node may still run."},
	{"upstream_asked", []string{"request", "attempt", "upstream", "work", "made", "silent_ms"}, "An upstream that has been silent was asked what it does for the run: work is running, queued, none or unknown (no answer), made how many events it has made. Where it works on it, it is waited for as long again."},
	{"upstream_heard", []string{"upstream", "kind", "peer", "hops"}, "Another node told what it saw of an upstream, and it is believed: lost (it broke off or fell silent), unreachable, gone (another has its address), well, or paced (how slow it is); peer saw it, hops is how often it was told on. Losses, which count at the circuit breaker, and paces are told at debug level."},
	{"upstream_leaves", []string{"upstream", "incarnation"}, "An upstream said in an answer that it is about to end; this node sends it nothing more, whatever the list says."},
	{"upstream_not_reached", []string{"upstream", "address", "cause", "ms", "connected_ms", "reached", "unreached", "lost"}, "This node could not connect to an upstream: cause is timed_out, refused or failed, connected_ms the time since it last could (-1 for never). reached and unreached count the upstreams to which its last attempts of the last second succeeded and failed, lost those that only other nodes reach: where none is reached, its own links are more likely lost than the upstreams. At most one line a second for an address."},
	{"upstream_pushed_back", []string{"upstream", "incarnation", "asked_ms", "ms"}, "An upstream turned something away and asked for nothing for asked_ms; this node keeps to that for ms, or longer where it has asked before."},
	{"upstream_replaced", []string{"request", "upstream"}, "While the list may be out of date, the upstream that a request was to go to was asked who it is, and is another; the request goes elsewhere."},
	{"upstreams_ordered", []string{"service", "data_centre", "preemptible", "count", "before", "need", "reason", "fence", "outcome", "error"}, "The holder of the duty ordered how many upstreams a data centre is to have; before is how many there are, need how many serve the load, reason is cheaper, load, short or again, outcome taken, refused, declined or none (no answer: it may be carried out later)."},
	{"usage_missed", []string{"window", "requests"}, "Requests are in no report: they came after the counts of their window had been fixed, their window holds as many workspaces as a row does, or nobody took them for so long that the node kept newer ones instead (window is then the newest of theirs)."},
	{"usage_reported", []string{"window", "workspaces", "requests", "fence", "age_ms", "outcome", "error"}, "The holder of the duty reported the counts of a window; age_ms is the time since its end."},
	{"usage_unread", []string{"error"}, "What the store holds of usage could not be read; it is tried again."},
	{"usage_unwritten", []string{"windows", "error"}, "Counts were not written, or got no answer; they are written again, once."},
	{"vm_suspended", []string{"ms"}, "The VM was suspended for a while that the node's clock has not counted; callers' deadlines and the age of tables do."},
	{"vms_read_failed", []string{"error"}, "The list of VMs could not be read."},
}

// EventsTable returns the Markdown table of events in docs/OPERATIONS.md.
func EventsTable() string {
	var b strings.Builder
	b.WriteString("| event | keys | meaning |\n| --- | --- | --- |\n")
	for _, e := range events {
		fmt.Fprintf(&b, "| `%s` | `%s` | %s |\n", e.Name, strings.Join(e.Keys, "`, `"), e.Text)
	}
	return b.String()
}
