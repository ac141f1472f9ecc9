// Package aws implements package store over the protocols of DynamoDB and S3, and a list of VMs in JSON.
package aws
