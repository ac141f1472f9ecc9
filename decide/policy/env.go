package policy

import (
	"strings"
	"time"
)

// Env is the environment in which conditions are evaluated; its tags are the names that programs use.
type Env struct {
	Workspace   string `expr:"workspace"`    // name of the workspace
	Kind        string `expr:"kind"`         // kind of request, chosen by the caller
	Model       string `expr:"model"`        // model, "" for a call to a service
	Service     string `expr:"service"`      // service, "" for a generation
	PromptBytes int    `expr:"prompt_bytes"` // size of the prompt as sent
	DataCentre  string `expr:"data_centre"`  // data centre of the node that evaluates the policy
	Clock       int    `expr:"clock"`        // minutes since midnight in the policy's zone
	Hour        int    `expr:"hour"`         // hour of the day in the policy's zone
	Weekday     string `expr:"weekday"`      // mon, tue, wed, thu, fri, sat or sun
	Weekend     bool   `expr:"weekend"`      // whether it is Saturday or Sunday
}

const weekdayLetters = 3

// setTime sets the fields that depend on the local time.
func (e *Env) setTime(local time.Time) {
	day := local.Weekday()
	e.Hour = local.Hour()
	e.Clock = e.Hour*60 + local.Minute()
	e.Weekday = strings.ToLower(day.String()[:weekdayLetters])
	e.Weekend = day == time.Saturday || day == time.Sunday
}

// Query holds the properties of a request that policies depend on.
type Query struct {
	Workspace   string
	Kind        string
	Model       string
	Service     string
	PromptBytes int
	DataCentre  string
}

func (q Query) env() Env {
	return Env{
		Workspace: q.Workspace, Kind: q.Kind, Model: q.Model, Service: q.Service,
		PromptBytes: q.PromptBytes, DataCentre: q.DataCentre,
	}
}
