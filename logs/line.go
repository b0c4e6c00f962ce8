// Package logs reads the log lines of entry VMs and explains from them alone what became of a
// request, an item or a batch. It does no I/O but reading, and trusts no VM's clock.
package logs

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// maxLine bounds a line, in bytes; a longer one is counted as unread.
const maxLine = 64 << 10

// Line is one event.
type Line struct {
	// Time is by the VM's clock until Align corrects it.
	Time   time.Time
	VM     string
	Event  string
	Fields []Field
}

// Field is one key=value pair of a line.
type Field struct{ Key, Value string }

// Get returns the value of a key, or "".
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Int returns a value as a number; 0 if it is none.
func (l *Line) Int(key string) int64 {
	n, err := strconv.ParseInt(l.Get(key), 10, 64)
	if err != nil {
		return 0 // a line of another release: the caller shows the text as it is
	}
	return n
}

// errNoEvent tells that a line is none of an entry VM's.
var errNoEvent = errors.New("logs: not a line of key=value pairs with time and msg")

// Parse reads one line. What stands before its time, such as a collector's prefix, is skipped.
func Parse(text string) (*Line, error) {
	at := strings.Index(text, "time=")
	if at < 0 || (at > 0 && text[at-1] != ' ') {
		return nil, errNoEvent
	}
	l := &Line{}
	for rest := text[at:]; rest != ""; {
		key, value, tail, err := pair(rest)
		if err != nil {
			return nil, err
		}
		rest = strings.TrimLeft(tail, " ")
		switch key {
		case "time":
			if l.Time, err = time.Parse(time.RFC3339Nano, value); err != nil {
				return nil, fmt.Errorf("logs: %w", err)
			}
		case "msg":
			l.Event = value
		case "node":
			l.VM = value
		case "level", "process":
		default:
			l.Fields = append(l.Fields, Field{key, value})
		}
	}
	if l.Event == "" || l.Time.IsZero() {
		return nil, errNoEvent
	}
	return l, nil
}

// pair takes the first key=value pair off a text.
func pair(text string) (key, value, rest string, err error) {
	key, rest, ok := strings.Cut(text, "=")
	if !ok || key == "" || strings.ContainsAny(key, " \"") {
		return "", "", "", errNoEvent
	}
	if strings.HasPrefix(rest, `"`) {
		quoted, err := strconv.QuotedPrefix(rest)
		if err != nil {
			return "", "", "", fmt.Errorf("logs: value of %s: %w", key, err)
		}
		value, err = strconv.Unquote(quoted)
		return key, value, rest[len(quoted):], err
	}
	value, rest, _ = strings.Cut(rest, " ")
	return key, value, rest, nil
}

// Read reads the lines of one file and counts those that are no events. Lines that name no VM get
// the given one.
func Read(r io.Reader, vm string) (lines []*Line, unread int, err error) {
	in := bufio.NewReaderSize(r, maxLine)
	for {
		text, more, err := in.ReadLine()
		if errors.Is(err, io.EOF) {
			return lines, unread, nil
		}
		if err != nil {
			return lines, unread, fmt.Errorf("logs: reading: %w", err)
		}
		l, perr := Parse(string(text))
		for more && err == nil {
			perr = errNoEvent
			_, more, err = in.ReadLine()
		}
		if perr != nil {
			unread++
			continue
		}
		if l.VM == "" {
			l.VM = vm
		}
		lines = append(lines, l)
	}
}
