// Package segments holds message bodies in segments. A body grows without being copied,
// so the memory that it takes is the memory that was reserved for it: a contiguous buffer
// that doubles takes up to three times its content while it grows.
package segments
