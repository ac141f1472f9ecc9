package admission

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/names"
)

// String returns the mode as written to metrics.
func (m Mode) String() string { return names.Of(m, "passive", "ranked") }

// Snapshot shows operators what waits.
type Snapshot struct {
	Services []ServiceQueue `json:"services"`
	Caps     []Cap          `json:"caps,omitempty"` // in force
}

// ServiceQueue shows what waits for a service.
type ServiceQueue struct {
	Service vaneyoke.ServiceID `json:"service"`
	Mode    string             `json:"mode"`
	Drain   float64            `json:"drain"` // prompt tokens a second that it takes while requests wait; 0 if unknown
	Waiting []WaitingGroup     `json:"waiting,omitempty"`
}

// WaitingGroup shows the waiting requests of a workspace by a route.
type WaitingGroup struct {
	Route     vaneyoke.RouteID     `json:"route"`
	Workspace vaneyoke.WorkspaceID `json:"workspace"`
	Requests  int                  `json:"requests"`
	Tokens    vaneyoke.Tokens      `json:"tokens"`
	OldestMs  int64                `json:"oldest_ms"` // time that the oldest has waited
}

// Queues returns what waits, and the caps in force.
func (s *State) Queues(now time.Time) Snapshot {
	var snapshot Snapshot
	for _, q := range s.queues {
		row := ServiceQueue{Service: q.service, Mode: q.mode.String(), Drain: q.drain.rate()}
		type key struct {
			route     vaneyoke.RouteID
			workspace vaneyoke.WorkspaceID
		}
		index := map[key]int{}
		for _, e := range q.entries {
			k := key{route: e.Route, workspace: e.Workspace}
			i, ok := index[k]
			if !ok {
				i = len(row.Waiting)
				index[k] = i
				row.Waiting = append(row.Waiting, WaitingGroup{Route: e.Route, Workspace: e.Workspace})
			}
			group := &row.Waiting[i]
			group.Requests++
			group.Tokens += e.Prompt
			group.OldestMs = max(group.OldestMs, now.Sub(e.arrivedAt).Milliseconds())
		}
		snapshot.Services = append(snapshot.Services, row)
	}
	for _, c := range s.caps {
		snapshot.Caps = append(snapshot.Caps, c.Cap)
	}
	return snapshot
}
