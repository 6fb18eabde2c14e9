package jsonc

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// Locator finds the position of fields in a parsed document.
type Locator struct {
	source []byte
	root   hujson.Value
}

// Errorf returns an error at the position of a field, such as "pools[0].name". If the
// document does not contain the field, the position is that of its nearest parent.
func (l *Locator) Errorf(field, format string, args ...any) *PositionError {
	line, column := l.lineColumn(l.offset(field))
	return &PositionError{Line: line, Column: column, Field: field, Err: errors.Errorf(format, args...)}
}

// offset returns the byte offset of a field's value, or of its nearest parent in the
// document.
func (l *Locator) offset(field string) int {
	pointer := jsonPointer(field)
	for {
		if value := l.root.Find(pointer); value != nil {
			return value.StartOffset
		}
		separator := strings.LastIndexByte(pointer, '/')
		if separator < 0 {
			return 0
		}
		pointer = pointer[:separator]
	}
}

// jsonPointer converts a field such as "pools[0].name" to a JSON pointer, here
// "/pools/0/name".
func jsonPointer(field string) string {
	if field == "" {
		return ""
	}
	replacer := strings.NewReplacer("[", "/", "]", "", ".", "/")
	return "/" + replacer.Replace(field)
}

// lineColumn converts a byte offset to a line and column, both from 1. Offsets
// outside of the source are moved to its start or end.
func (l *Locator) lineColumn(offset int) (line, column int) {
	offset = min(max(offset, 0), len(l.source))
	before := l.source[:offset]
	return bytes.Count(before, []byte{'\n'}) + 1, offset - bytes.LastIndexByte(before, '\n')
}

// findKey returns the offset of the last occurrence of the quoted key that starts at
// or before the given offset, or -1.
func (l *Locator) findKey(key string, offset int) int {
	end := min(offset+len(key)+2, len(l.source))
	return bytes.LastIndex(l.source[:end], []byte(strconv.Quote(key)))
}

// rejectDuplicates returns an error at the first object with two members of the same
// name. encoding/json would accept it silently and use the last member.
func (l *Locator) rejectDuplicates() error {
	var firstDuplicate *PositionError
	for value := range l.root.All() {
		object, ok := value.Value.(*hujson.Object)
		if !ok || firstDuplicate != nil {
			continue
		}
		seen := make(map[string]bool, len(object.Members))
		for _, member := range object.Members {
			name := member.Name.Value.(hujson.Literal).String()
			if seen[name] {
				line, column := l.lineColumn(member.Name.StartOffset)
				firstDuplicate = &PositionError{Line: line, Column: column, Field: name,
					Err: fmt.Errorf("field %q appears twice", name)}
				break
			}
			seen[name] = true
		}
	}
	if firstDuplicate != nil {
		return firstDuplicate
	}
	return nil
}
