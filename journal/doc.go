// Package journal stores the durable state of one member of the control group in files: its
// identity and hard state, its log and its latest snapshot.
package journal
