package claim

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Stage is the state of a claimed request, as stored.
type Stage string

// The stages of a claim.
const (
	StageClaimed Stage = "claimed" // it may have been sent to an upstream
	StageDone    Stage = "done"    // it ran and its answer is stored
	StageRevoked Stage = "revoked" // it did not run, and will never run under this key
)

// Answer is the upstream's answer to a request that ran.
type Answer struct {
	Status    int    `json:"status"`
	MediaType string `json:"media_type"`
	Body      []byte `json:"body"`
}

// Record is the stored state of a claim.
type Record struct {
	Stage      Stage              `json:"stage"`
	Owner      vaneyoke.NodeID    `json:"owner"`
	Request    vaneyoke.RequestID `json:"request"`
	BodyDigest string             `json:"body_digest"`
	ClaimedAt  time.Time          `json:"claimed_at"`
	Answer     *Answer            `json:"answer,omitempty"`
	NotRun     vaneyoke.Code      `json:"not_run,omitempty"` // why a revoked request did not run
}

// Version counts the writes to a record's row from 1; 0 stands for no row.
type Version uint64

// Versioned is a record with the version of its row.
type Versioned struct {
	Record
	Version Version
}
