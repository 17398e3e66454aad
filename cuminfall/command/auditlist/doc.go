// Package auditlist implements the command "audit list".
package auditlist
