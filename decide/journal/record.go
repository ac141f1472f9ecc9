package journal

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Key identifies a session by its workspace and the key that the caller chose.
type Key struct {
	Workspace vaneyoke.WorkspaceID
	Key       string
}

// Epoch numbers the successive owners of a session, starting at 1.
type Epoch uint64

// Entry records the owner of a session.
type Entry struct {
	Request    vaneyoke.RequestID
	Owner      vaneyoke.NodeID
	Epoch      Epoch
	BodyDigest string        // digest of the request's body; detects the reuse of a key for another request
	Backup     vaneyoke.VMID // VM that stores the owner's journal, "" for none
}

// supersedes reports whether e replaces old. Within an epoch the greater owner name wins, so that all nodes agree.
func (e Entry) supersedes(old Entry) bool {
	if e.Epoch != old.Epoch {
		return e.Epoch > old.Epoch
	}
	return e.Owner.String() > old.Owner.String()
}

// Stream identifies a run on an engine.
type Stream struct {
	Name     string
	Upstream vaneyoke.UpstreamID
	Base     vaneyoke.Tokens // index of the run's first token within the answer
	Pin      vaneyoke.Pin    // of the answer to the software version that began it
}

// Result says how a session ended.
type Result struct {
	Code      vaneyoke.Code
	Detail    string
	Reason    vaneyoke.FinishReason
	Status    int // HTTP status; it, MediaType and Body are set for a non-streaming answer
	MediaType string
	Body      []byte
}

// Handle identifies a session to the node that stores its journal, in place of the key and entry.
type Handle struct {
	Owner  vaneyoke.NodeID
	Number uint64
}

// Delta is an increment of a session's state, or the whole state if it begins at 0.
type Delta struct {
	Handle   Handle
	Key      Key // zero, like Entry, if the receiver knows the handle
	Entry    Entry
	From     vaneyoke.Tokens // index of the first of IDs within the answer
	TextFrom int             // byte offset of Text within the answer
	IDs      []vaneyoke.TokenID
	Text     []byte
	Prompt   []vaneyoke.TokenID // nil if unknown or already sent
	Stream   *Stream            // the run that produced the last tokens, the zero value if nothing runs; nil for no change
	Result   *Result            // nil while the session is running
}

// record is a node's copy of a session.
type record struct {
	Delta
	updatedAt  time.Time
	hasContent bool // whether more than the entry is known
}

// Estimated memory of a record besides its text and ids, and of one token id.
const (
	recordOverheadBytes = 400
	tokenIDBytes        = 4
)

func (r *record) size() int {
	size := recordOverheadBytes + len(r.Text) + tokenIDBytes*(len(r.IDs)+len(r.Prompt))
	if r.Result != nil {
		size += len(r.Result.Body)
	}
	return size
}
