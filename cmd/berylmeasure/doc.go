// Command berylmeasure compares the product's policies with simpler variants, by simulation on a virtual clock.
package main
