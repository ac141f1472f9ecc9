package vaneyoke

// KeyHash is the hex SHA-256 of a caller's key; the key itself is never stored.
type KeyHash string

// Role defines what the holder of a key may do.
type Role string

// The roles, in order of increasing privilege.
const (
	RoleCaller        Role = "caller"
	RoleViewer        Role = "viewer"
	RoleOperator      Role = "operator"
	RoleAdministrator Role = "administrator"
)

// Key is one credential of a workspace.
type Key struct {
	Hash KeyHash `json:"hash"`
	Role Role    `json:"role"`
	// Scope lists the workspaces to which an operator's rights are limited; nil for all.
	Scope []WorkspaceID `json:"scope,omitempty"`
}

// Workspace is a customer of the fleet, with its API keys.
type Workspace struct {
	ID       WorkspaceID `json:"id"`
	Keys     []Key       `json:"keys"`
	Recovery Recovery    `json:"recovery"`
}

// Recovery selects the trade-off between resume latency and extra work when an attempt is lost.
type Recovery string

// The recovery settings that a workspace chooses between.
const (
	RecoverFast   Recovery = "fast"   // spends extra work for a shorter resume latency
	RecoverFrugal Recovery = "frugal" // waits longer and does no extra work
)
