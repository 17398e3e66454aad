// Package rpc holds the messages and services between cuminfall's own processes.
//
// The code is generated from fleet.proto with protoc-gen-go and
// protoc-gen-twirp and committed, so that a build needs neither.
package rpc
