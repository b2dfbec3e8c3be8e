// Package berylshare divides capacity among teams by weight and integer units among nodes by demand.
//
// All functions are pure, and their results do not depend on map iteration order.
package berylshare
