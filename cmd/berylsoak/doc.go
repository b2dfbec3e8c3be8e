// Command berylsoak runs beryljobd processes under injected faults and checks the promises of the platform's pages.
package main
