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

// Errorf returns an error at the given field, such as "pools[0].name". A field
// that is absent from the document is placed at its nearest present parent.
func (l *Locator) Errorf(field, format string, args ...any) *PositionError {
	line, column := l.lineColumn(l.offset(field))
	return &PositionError{Line: line, Column: column, Field: field, Err: errors.Errorf(format, args...)}
}

// offset returns the byte offset of a field's value or of its nearest parent.
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

// jsonPointer converts "pools[0].name" to the JSON pointer "/pools/0/name".
func jsonPointer(field string) string {
	if field == "" {
		return ""
	}
	replacer := strings.NewReplacer("[", "/", "]", "", ".", "/")
	return "/" + replacer.Replace(field)
}

func (l *Locator) lineColumn(offset int) (line, column int) {
	offset = min(max(offset, 0), len(l.source))
	before := l.source[:offset]
	return bytes.Count(before, []byte{'\n'}) + 1, offset - bytes.LastIndexByte(before, '\n')
}

// findKey returns the offset of the last occurrence of a quoted key at or
// before the given offset, or -1.
func (l *Locator) findKey(key string, offset int) int {
	end := min(offset+len(key)+2, len(l.source))
	return bytes.LastIndex(l.source[:end], []byte(strconv.Quote(key)))
}

// rejectDuplicates reports an object with two members of the same name, which
// encoding/json would accept silently.
func (l *Locator) rejectDuplicates() error {
	var found *PositionError
	for value := range l.root.All() {
		object, ok := value.Value.(*hujson.Object)
		if !ok || found != nil {
			continue
		}
		seen := make(map[string]bool, len(object.Members))
		for _, member := range object.Members {
			name := member.Name.Value.(hujson.Literal).String()
			if seen[name] {
				line, column := l.lineColumn(member.Name.StartOffset)
				found = &PositionError{Line: line, Column: column, Field: name,
					Err: fmt.Errorf("field %q appears twice", name)}
				break
			}
			seen[name] = true
		}
	}
	if found != nil {
		return found
	}
	return nil
}
