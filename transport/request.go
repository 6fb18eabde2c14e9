package transport

import (
	"bufio"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// excludedHeaders are the headers, in canonical form, that are hop-by-hop or that
// Attempt.writeTo sets itself. Expect is excluded because the body is sent at once.
var excludedHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Host": true, "Content-Length": true}

// RemoveNamedByConnection removes the headers that the Connection header names.
// They are hop-by-hop and must not be forwarded.
func RemoveNamedByConnection(h http.Header) {
	for _, names := range h["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
}

// validate returns an error if the attempt cannot be written as one well-formed
// HTTP/1.1 request. A line break in a value would allow request smuggling.
func (a *Attempt) validate() error {
	if !isToken(a.Method) {
		return errors.Errorf("method %q is not a token", a.Method)
	}
	if a.URI == "" || strings.ContainsFunc(a.URI, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return errors.Errorf("request URI %q is empty or has spaces or control characters", a.URI)
	}
	if strings.ContainsFunc(a.Host, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return errors.Errorf("host %q has spaces or control characters", a.Host)
	}
	for name, values := range a.Header {
		if !isToken(name) {
			return errors.Errorf("header name %q is not a token", name)
		}
		for _, value := range values {
			if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
				return errors.Errorf("header %s has control characters", name)
			}
		}
	}
	return nil
}

// writeTo writes the request and flushes w. Its error is that of the connection.
func (a *Attempt) writeTo(w *bufio.Writer) error {
	writeAll(w, a.Method, " ", a.URI, " HTTP/1.1\r\nHost: ")
	if a.Host == "" {
		writeAll(w, a.Address, "\r\n")
	} else {
		writeAll(w, a.Host, "\r\n")
	}
	for name, values := range a.Header {
		if excludedHeaders[textproto.CanonicalMIMEHeaderKey(name)] {
			continue
		}
		for _, value := range values {
			writeAll(w, name, ": ", value, "\r\n")
		}
	}
	length := 0
	for _, segment := range a.Body {
		length += len(segment)
	}
	if length > 0 || a.Method == http.MethodPost || a.Method == http.MethodPut || a.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(length), 10))
		writeAll(w, "\r\n")
	}
	writeAll(w, "\r\n")
	for _, segment := range a.Body {
		_, _ = w.Write(segment)
	}
	return w.Flush() // a bufio.Writer keeps its first error
}

func writeAll(w *bufio.Writer, parts ...string) {
	for _, part := range parts {
		_, _ = w.WriteString(part) // Flush returns the error
	}
}

// isToken reports whether s is a token of RFC 9110.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}
