// Package wire holds the log entries and the snapshot of the ledger.
//
// The code is generated from ledger.proto with protoc-gen-go and committed; see ../generate.sh.
package wire
