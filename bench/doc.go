// Command chicorybench generates traces, replays them and reports the measurements.
package main
