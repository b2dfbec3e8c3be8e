// Package berylshare divides capacity: among teams by weight, and in whole units among nodes by demand.
//
// All functions are pure, and their results do not depend on the iteration order of maps.
package berylshare
