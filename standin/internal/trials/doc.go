// Package trials contains failure tests with real processes that are killed, frozen, disconnected or lose their disk.
package trials
