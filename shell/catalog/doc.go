// Package catalog holds the fleet's configuration: its upstreams, workspaces, policies and nodes, as stored in the platform's table.
package catalog
