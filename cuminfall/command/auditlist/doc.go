// Package auditlist implements "audit list".
package auditlist
