// Package status implements "status".
package status
