// Package berylcall holds what the clients of the platform share: their settings, and the decision whether a call that
// failed in the AWS SDK may have taken effect.
package berylcall
