// Command berylload starts daemons with stand-in workers and a stand-in platform on loopback, and measures them under
// load and at rest. Every measurement ends by itself after a bounded time.
package main
