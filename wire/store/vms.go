package store

import (
	"context"

	"github.com/vaneyoke/vaneyoke"
)

// VM is an entry of the platform's list of VMs, which is eventually consistent.
type VM struct {
	ID         vaneyoke.VMID         `json:"id"`
	DataCentre vaneyoke.DataCentreID `json:"data_centre"`
	Leaving    bool                  `json:"leaving"`
	Address    string                `json:"address"` // IP address and port of the VM's peer API
}

// VMs lists the live and leaving VMs; its errors carry CodeStoreDown.
type VMs interface {
	// List returns the VMs known to the platform.
	List(ctx context.Context) ([]VM, error)
}
