// Package berylmeasure runs the node's decisions through scripted sessions on a virtual clock and measures what they
// cost and deliver, for several policies side by side.
//
// The decisions are the real ones: several Reducers with berylshare and berylplan. The table is a map with
// compare-and-set, and a worker is slots, run times and a state; docs/MEASURES.md defines the measures.
package berylmeasure
