// Package status implements the command "status".
package status
