// Package httpcheck fails HTTP/1 requests whose responses violate the protocol where package net/http lets them pass, before anything is read from them.
package httpcheck
