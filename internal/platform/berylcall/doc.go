// Package berylcall tells whether a failed call through the AWS SDK may have taken effect.
package berylcall
