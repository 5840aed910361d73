// Package trials holds the tests of failures on real processes: killed, frozen, cut off and wiped.
package trials
