// Package berylcall holds what the clients of the platform have in common: their settings, and the judgement whether a
// failed call through the AWS SDK may have taken effect.
package berylcall
