// Package berylplan holds pure functions over the fleet configuration: changes checked against the disruption budgets, the
// steps of maintenance waves and moves, moves of instances for load, buffer sizes, and the questionnaire for a new user.
//
// A result may be written only over the configuration version that it was computed from. The checks hold when several
// nodes write at the same time only because the whole document is replaced by compare-and-set.
package berylplan
