// Command berylsoak runs beryljobd processes under injected faults and checks the platform's rules.
package main
