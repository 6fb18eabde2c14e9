// Package timeplot plots a merged timeline: the rates of requests and of refusals
// by kind, and state changes as labelled vertical marks.
package timeplot
