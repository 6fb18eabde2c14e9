package once

import (
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"
)

// Sizes of the encoded fields of a ticket in bytes.
const (
	macBytes    = 16
	signedBytes = 16 + 8 + 8 // incarnation, serial, expiry
	ticketBytes = signedBytes + macBytes
)

// ticketPrefix identifies the version of the format. The MAC covers it.
const ticketPrefix = "t1."

// TicketLength is the length of the text of a ticket in bytes.
var TicketLength = len(ticketPrefix) + encoding.EncodedLen(ticketBytes)

// encoding uses only characters that are safe in URLs and headers. It is strict, so
// that each value has exactly one text.
var encoding = base64.RawURLEncoding.Strict()

// Ticket is the decoded content of a ticket.
type Ticket struct {
	Incarnation Incarnation
	// Serial is unique among the tickets of the incarnation.
	Serial uint64
	// Expiry is the time from which the ticket can no longer start a request,
	// since the start of its incarnation and in whole milliseconds.
	Expiry time.Duration

	mac [macBytes]byte
}

// Decode decodes the text of a ticket without verifying its MAC, so the ticket may
// be forged. ok is false if the text is malformed.
func Decode(text string) (ticket Ticket, ok bool) {
	rest, found := strings.CutPrefix(text, ticketPrefix)
	if !found || len(text) != TicketLength {
		return Ticket{}, false
	}
	var raw [ticketBytes]byte
	// The decoder skips line breaks, so the decoded length must be checked, too.
	if n, err := encoding.Decode(raw[:], []byte(rest)); err != nil || n != ticketBytes {
		return Ticket{}, false
	}
	millis := binary.BigEndian.Uint64(raw[24:])
	if millis > uint64(maxExpiry/time.Millisecond) {
		return Ticket{}, false
	}
	copy(ticket.Incarnation[:], raw[:])
	ticket.Serial = binary.BigEndian.Uint64(raw[16:])
	ticket.Expiry = time.Duration(millis) * time.Millisecond
	copy(ticket.mac[:], raw[signedBytes:])
	return ticket, true
}

// maxExpiry is the largest time.Duration in whole milliseconds.
const maxExpiry = (1<<63 - 1) / time.Millisecond * time.Millisecond

// signed returns the bytes that the MAC covers in addition to ticketPrefix.
func (t Ticket) signed() [signedBytes]byte {
	var raw [signedBytes]byte
	copy(raw[:], t.Incarnation[:])
	binary.BigEndian.PutUint64(raw[16:], t.Serial)
	binary.BigEndian.PutUint64(raw[24:], uint64(t.Expiry/time.Millisecond))
	return raw
}

// String returns the text of the ticket.
func (t Ticket) String() string {
	var raw [ticketBytes]byte
	signed := t.signed()
	copy(raw[:], signed[:])
	copy(raw[signedBytes:], t.mac[:])
	return ticketPrefix + encoding.EncodeToString(raw[:])
}
