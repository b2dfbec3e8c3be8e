// Command berylmeasure measures the product's policies and plain variants of them side by side.
package main
