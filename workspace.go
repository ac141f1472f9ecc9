package vaneyoke

// KeyHash is the hex SHA-256 of a caller's key; the key itself is never kept.
type KeyHash string

// Role says what the holder of a key may do.
type Role string

// The roles, from the least to the most allowed.
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
	// Scope holds the workspaces that an operator's rights are bound to; nil for all.
	Scope []WorkspaceID `json:"scope,omitempty"`
}

// Workspace is a customer of the fleet, with the keys that speak for it.
type Workspace struct {
	ID       WorkspaceID `json:"id"`
	Keys     []Key       `json:"keys"`
	Recovery Recovery    `json:"recovery"`
}

// Recovery weighs what a lost attempt may cost.
type Recovery string

// The recovery settings that a workspace chooses between.
const (
	RecoverFast   Recovery = "fast"   // spends extra work on a shorter resume latency
	RecoverFrugal Recovery = "frugal" // waits longer and spends no extra work
)
