// Package servicecreate implements "service create".
package servicecreate
