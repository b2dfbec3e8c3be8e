// Package berylgroup combines independent conditional writes into shared transactions, because the table accepts only a
// few hundred writes a second.
package berylgroup
