// Package berylgroup puts independent conditional writes into shared transactions, since the table takes only a few
// hundred writes a second.
package berylgroup
