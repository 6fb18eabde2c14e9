// Package quantile estimates quantiles of recent durations in constant space and
// time. It is deterministic: it reads no clock and uses no random numbers.
package quantile
