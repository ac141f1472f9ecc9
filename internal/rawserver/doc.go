// Package rawserver is a stand-in server for tests that answers HTTP requests with bytes which may be no HTTP.
package rawserver
