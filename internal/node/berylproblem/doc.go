// Package berylproblem writes refusals as RFC 9457 problem details.
package berylproblem
