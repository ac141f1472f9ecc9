package measure

import (
	"fmt"
	"slices"
	"strings"
)

// Markers that enclose the generated tables of the page.
const (
	PageBegin  = "<!-- tables: written by vaneyoke measure -->"
	PageEnd    = "<!-- end of tables -->"
	SweepBegin = "<!-- sweep: written by vaneyoke measure -->"
	SweepEnd   = "<!-- end of sweep -->"
)

// Size describes a fleet and its peak load.
type Size struct {
	Name              string
	Nodes             float64
	Engines           float64
	Workspaces        float64
	RequestsPerSecond float64 // requests of callers
	TokensPerSecond   float64 // generated tokens
	ChangesPerDay     float64 // changes of the configuration
}

const (
	pollPeriod           = 0.72 // seconds, including jitter
	pollsPerPeriod       = 2    // one of the revision and one of the list of VMs
	directoryPeersPerKey = 2    // nodes that are informed of each key's session

	tokenInterval = 0.029 // seconds between two tokens of a stream
	pushPeriod    = 0.25  // seconds
	// pushOverhead is the number of bytes that HTTP adds to a push and its answer, as for the queries that nodes send each other during an outage of the store.
	pushOverhead   = 460.0
	retention      = 600  // seconds for which a finished answer is kept
	claimShare     = 0.05 // assumed share of requests that are claimed calls
	usPerSecond    = 1e6
	nsPerSecond    = 1e9
	daySeconds     = 86_400
	megabyte       = 1 << 20
	maxStoreWrites = 300 // per second; the store's limit is given as "some hundred writes"
	maxMemoryMB    = 128 // megabytes
)

// PlannedSize returns the size that the users expect within two years.
func PlannedSize() Size {
	return Size{Name: "letter", Nodes: 410, Engines: 690, Workspaces: 5300, RequestsPerSecond: 1500, TokensPerSecond: 520_000, ChangesPerDay: 770}
}

// CurrentSize returns the size of a current deployment. Its load is assumed to be the planned load scaled by the number of engines.
func CurrentSize() Size {
	const engines = 27
	planned := PlannedSize()
	share := engines / planned.Engines
	return Size{
		Name: "today", Nodes: 7, Engines: engines, Workspaces: 10,
		RequestsPerSecond: planned.RequestsPerSecond * share, TokensPerSecond: planned.TokensPerSecond * share, ChangesPerDay: planned.ChangesPerDay * share,
	}
}

// DataCentreLostSize returns the planned size after the loss of one of its eight data centres at peak load; the load stays the same.
func DataCentreLostSize() Size {
	const left = 7.0 / 8
	size := PlannedSize()
	size.Name = "data centre lost"
	size.Nodes *= left
	size.Engines *= left
	return size
}

func (s Size) openStreams() float64 { return s.TokensPerSecond * tokenInterval }

// row is one row of the page's table of figures.
type row struct {
	role, figure, unit, mechanism, series string
	bound                                 float64 // 0 for none
	value                                 func(Size) float64
}

// slope returns the cost per unit in a series.
func (r *Report) slope(name string) float64 { return r.Find(name).Slope }

// at returns the cost of a series at size x.
func (r *Report) at(name string, x float64) float64 { return r.Find(name).At(x) }

// perNode divides a load by the number of nodes.
func perNode(s Size, total float64) float64 { return total / s.Nodes }

// rows returns the figures of the page, each computed from a measured series or from settings.
func (r *Report) rows() []row {
	return slices.Concat(r.requestRows(), r.controlRows(), r.storeRows())
}

// requestRows returns the figures that grow with requests and tokens.
func (r *Report) requestRows() []row {
	return []row{
		{"caller front, generation owner", "processor", "% of a core", "relay: parser, state machine, encoder", "token_time", 0, func(s Size) float64 {
			return 100 * perNode(s, s.TokensPerSecond) * r.slope("token_time") / tokensPerStream / usPerSecond
		}},
		{"generation owner", "memory", "MB", "session: transcript and links", "session_memory", 0, func(s Size) float64 {
			return perNode(s, s.openStreams()) * r.slope("session_memory") / megabyte
		}},
		{"generation owner", "journal pushes, if every request has a key", "bytes/s", "push of deltas by handle each 250 ms", "journal_wire", MaxBytesPerSecond, func(s Size) float64 {
			return perNode(s, s.TokensPerSecond)*r.slope("journal_wire") + pushOverhead/pushPeriod
		}},
		{"backup", "processor", "% of a core", "journal store, encoding among it", "journal_time", MaxCorePercent, func(s Size) float64 {
			return 100 * perNode(s, s.openStreams()) / pushPeriod * r.slope("journal_time") / usPerSecond
		}},
		{"backup", "memory, finished answers for 10 min", "MB", "journal store, oldest finished first", "journal_memory", maxMemoryMB, func(s Size) float64 {
			return perNode(s, s.openStreams()+s.RequestsPerSecond*retention) * r.slope("journal_memory") / megabyte
		}},
		{"placement", "processor", "% of a core", "choice of two among the candidates", "placement_time", MaxCorePercent, func(s Size) float64 {
			return 100 * perNode(s, s.RequestsPerSecond) * r.at("placement_time", s.Engines) / nsPerSecond
		}},
		{"generation owner", "messages to other nodes, if every request has a key", "messages/s", "two homes for each key, a push each 250 ms", "settings", 0, func(s Size) float64 {
			return directoryPeersPerKey*perNode(s, s.RequestsPerSecond) + 1/pushPeriod
		}},
		{"backup, home", "messages from other nodes, if every request has a key", "messages/s", "the same, seen from the other side", "settings", 0, func(s Size) float64 {
			return directoryPeersPerKey*perNode(s, s.RequestsPerSecond) + 1/pushPeriod
		}},
		{"caller front", "requests", "requests/s", "balancer of the platform", "settings", 0, func(s Size) float64 { return perNode(s, s.RequestsPerSecond) }},
	}
}

// controlRows returns the figures of a node's control work, most of which do not depend on callers.
func (r *Report) controlRows() []row {
	return []row{
		{"policy follower", "processor of decisions", "% of a core", "decision remembered for a minute", "policy_time", MaxCorePercent, func(s Size) float64 {
			return 100 * perNode(s, s.RequestsPerSecond) * r.at("policy_time", s.Workspaces) / nsPerSecond
		}},
		{"policy follower", "bytes of changes, on average", "bytes/s", "rows that changed", "change_caught_up", MaxBytesPerSecond, func(s Size) float64 {
			return s.ChangesPerDay / daySeconds * r.at("change_caught_up", s.Workspaces)
		}},
		{"policy follower", "the same, if all rows were read", "bytes/s", "(rejected)", "change_whole", MaxBytesPerSecond, func(s Size) float64 {
			return s.ChangesPerDay / daySeconds * r.at("change_whole", s.Workspaces)
		}},
		{"policy follower", "memory of the configuration", "MB", "snapshot", "configuration_memory", maxMemoryMB, func(s Size) float64 {
			return r.at("configuration_memory", s.Workspaces) / megabyte
		}},
		{"policy follower, membership", "messages, store up", "messages/s", "revision and list of VMs", "settings", 0, func(Size) float64 {
			return pollsPerPeriod / pollPeriod
		}},
		{"policy follower", "messages, store down", "messages/s", "each node asks a majority", "settings", 0, func(s Size) float64 {
			const share = 0.5 // each node asks a majority
			return share * s.Nodes / pollPeriod
		}},
		{"policy follower", "bytes, store down", "bytes/s", "each node asks a majority", "settings", MaxBytesPerSecond, func(s Size) float64 {
			const share, question = 0.5, 816 // bytes of a query and its answer, in both directions, measured in outages with 6 to 40 nodes
			return share * s.Nodes / pollPeriod * question
		}},
	}
}

// storeRows returns the figures of the platform's table.
func (r *Report) storeRows() []row {
	return []row{
		{"claim writer, platform's table", "writes, if 5% of requests are claimed", "rows/s", "claim and kept answer", "claim_writes", maxStoreWrites, func(s Size) float64 {
			return s.RequestsPerSecond * claimShare * r.slope("claim_writes")
		}},
		{"operator API, platform's table", "writes at the busiest", "rows/s", "revision, row, trace, audit for each change", "-", maxStoreWrites, func(s Size) float64 {
			const rowsEach, busiest = 4, 100 // 100 times the daily average
			return s.ChangesPerDay / daySeconds * rowsEach * busiest
		}},
	}
}

// Tables returns the tables of docs/CAPACITY.md.
func (r *Report) Tables() string {
	var b strings.Builder
	sizes := []Size{CurrentSize(), PlannedSize(), DataCentreLostSize()}
	b.WriteString("| role | figure for one node, if not said otherwise | unit | today | letter | data centre lost | bound | mechanism | slope |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, row := range r.rows() {
		fmt.Fprintf(&b, "| %s | %s | %s |", row.role, row.figure, row.unit)
		for _, size := range sizes {
			fmt.Fprintf(&b, " %s |", formatFigure(row.value(size), row.bound))
		}
		fmt.Fprintf(&b, " %s | %s | `%s` |\n", formatBound(row.bound), row.mechanism, row.series)
	}
	b.WriteString("\n| slope | size | measured at | cost at size 0 | for each more | r² | spread | cost |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.Series {
		var at []string
		for _, p := range s.Points {
			at = append(at, fmt.Sprintf("%g", p.X))
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %.4g | %.4g | %.3f | %.0f%% | %s |\n", s.Name, s.X, strings.Join(at, ", "), s.Intercept, s.Slope, s.R2, 100*s.Spread, s.Y)
	}
	return b.String()
}

// formatFigure formats a figure, in bold if it exceeds its bound.
func formatFigure(v, bound float64) string {
	text := fmt.Sprintf("%.3g", v)
	if v >= 1000 {
		text = fmt.Sprintf("%.0f", v)
	}
	if bound > 0 && v > bound {
		return "**" + text + "**"
	}
	return text
}

func formatBound(bound float64) string {
	if bound == 0 {
		return "-"
	}
	return fmt.Sprintf("%g", bound)
}

// ReplaceTables returns the page with its tables replaced by those of the report.
func (r *Report) ReplaceTables(page string) string {
	return replaceBetween(page, PageBegin, PageEnd, r.Tables())
}

// ReplaceTable returns the page with its sweep table replaced.
func (s *Sweep) ReplaceTable(page string) string {
	return replaceBetween(page, SweepBegin, SweepEnd, s.Table())
}

// replaceBetween replaces the text between two markers; a page without them is returned unchanged.
func replaceBetween(page, begin, end, text string) string {
	head, rest, found := strings.Cut(page, begin)
	_, tail, ended := strings.Cut(rest, end)
	if !found || !ended {
		return page
	}
	return head + begin + "\n\n" + text + "\n" + end + tail
}
