// Package intrusive provides a doubly linked list whose links are fields of the
// listed values. Adding and removing a value therefore allocates no memory and takes
// constant time. The order is deterministic, unlike that of a map.
package intrusive
