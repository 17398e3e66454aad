// Package requestshow implements the command "request show". It collects the log lines of one request from the
// logs of several processes.
package requestshow
