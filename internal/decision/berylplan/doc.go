// Package berylplan holds pure functions over the fleet configuration: operators' changes under the disruption
// budgets, the steps of maintenance waves and moves, buffer sizes, and the questionnaire of a new team.
//
// Every function depends on its arguments alone. A result may be written only over the configuration version that it
// was computed from; the compare-and-set on the whole document is what makes the checks hold among racing nodes.
package berylplan
