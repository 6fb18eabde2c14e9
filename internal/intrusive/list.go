package intrusive

// Element links a value into a list. It is a field of the value and can be in at most
// one list at a time. Value must point to the value that contains the element.
type Element[T any] struct {
	Value      *T
	list       *List[T]
	prev, next *Element[T]
}

// Listed reports whether the element is in a list.
func (e *Element[T]) Listed() bool { return e.list != nil }

// Next returns the next value of the list, or nil at its end.
func (e *Element[T]) Next() *T { return valueOf(e.next) }

// Unlink removes the element from its list. It must be in one.
func (e *Element[T]) Unlink() {
	l := e.list
	if e.prev == nil {
		l.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.list, e.prev, e.next = nil, nil, nil
	l.length--
}

// List is a doubly linked list. The zero value is an empty list, ready to use. It is
// not safe for concurrent use.
type List[T any] struct {
	head, tail *Element[T]
	length     int
}

// Len returns the number of elements.
func (l *List[T]) Len() int { return l.length }

// Head returns the first value, or nil if the list is empty.
func (l *List[T]) Head() *T { return valueOf(l.head) }

// Tail returns the last value, or nil if the list is empty.
func (l *List[T]) Tail() *T { return valueOf(l.tail) }

// Push appends an element, which must not be in a list.
func (l *List[T]) Push(e *Element[T]) {
	e.list, e.prev, e.next = l, l.tail, nil
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
	l.length++
}

// PushFront inserts an element, which must not be in a list, before all others.
func (l *List[T]) PushFront(e *Element[T]) {
	e.list, e.prev, e.next = l, nil, l.head
	if l.head == nil {
		l.tail = e
	} else {
		l.head.prev = e
	}
	l.head = e
	l.length++
}

func valueOf[T any](e *Element[T]) *T {
	if e == nil {
		return nil
	}
	return e.Value
}
