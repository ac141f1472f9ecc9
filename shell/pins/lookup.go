package pins

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
)

// Lookup describes a caller who comes back for the rest of a stream.
type Lookup struct {
	Request   vaneyoke.RequestID
	Workspace vaneyoke.WorkspaceID
	Resumes   vaneyoke.RequestID   // attempt that brought the first event; "" if the caller does not say
	After     string               // id of the last event that the caller has
	Services  []vaneyoke.ServiceID // that the route leads to
	MaxAge    time.Duration        // longest time since the stream began
}

func (l *Lookup) stream() pinning.StreamID {
	if l.Resumes == "" {
		return ""
	}
	return pinning.NewStreamID(l.Workspace, l.Resumes)
}
