// Package logs parses the log lines of entry VMs and explains from them alone what happened to a request, an item
// or a batch. It only reads, and it corrects the times of VMs whose clocks are off.
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

// maxLineBytes limits the length of a line. A longer one is counted as unread.
const maxLineBytes = 64 << 10

// Line is a log line of an entry VM: one event.
type Line struct {
	// Time is the time by the clock of the VM until Align corrects it.
	Time   time.Time
	VM     string
	Event  string
	Fields []Field
}

// Field is one key=value pair of a line.
type Field struct{ Key, Value string }

// Get returns the value of a key, or "" if the line does not have it.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Int returns the value of a key as an integer, or 0 if it is absent or not an integer.
func (l *Line) Int(key string) int64 {
	n, err := strconv.ParseInt(l.Get(key), 10, 64)
	if err != nil {
		return 0 // possibly the line of another release; callers show the raw text
	}
	return n
}

// errNotEvent is returned for lines that are not log lines of an entry VM.
var errNotEvent = errors.New("logs: not a line of key=value pairs with time and msg")

// Parse parses one line. Text before the time, such as the prefix of a log collector, is ignored.
func Parse(text string) (*Line, error) {
	start := strings.Index(text, "time=")
	if start < 0 || (start > 0 && text[start-1] != ' ') {
		return nil, errNotEvent
	}
	l := &Line{}
	for remaining := text[start:]; remaining != ""; {
		key, value, tail, err := cutPair(remaining)
		if err != nil {
			return nil, err
		}
		remaining = strings.TrimLeft(tail, " ")
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
		return nil, errNotEvent
	}
	return l, nil
}

// cutPair splits text after its first key=value pair. The value may be quoted.
func cutPair(text string) (key, value, remaining string, err error) {
	key, remaining, ok := strings.Cut(text, "=")
	if !ok || key == "" || strings.ContainsAny(key, " \"") {
		return "", "", "", errNotEvent
	}
	if strings.HasPrefix(remaining, `"`) {
		quoted, err := strconv.QuotedPrefix(remaining)
		if err != nil {
			return "", "", "", fmt.Errorf("logs: value of %s: %w", key, err)
		}
		value, err = strconv.Unquote(quoted)
		return key, value, remaining[len(quoted):], err
	}
	value, remaining, _ = strings.Cut(remaining, " ")
	return key, value, remaining, nil
}

// Read reads the lines of one file. It returns the events and the number of other lines. Events without a VM
// name get the given one.
func Read(r io.Reader, vm string) (lines []*Line, unread int, err error) {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, more, err := in.ReadLine()
		if errors.Is(err, io.EOF) {
			return lines, unread, nil
		}
		if err != nil {
			return lines, unread, fmt.Errorf("logs: reading: %w", err)
		}
		l, parseErr := Parse(string(text))
		for more && err == nil {
			parseErr = errNotEvent
			_, more, err = in.ReadLine()
		}
		if parseErr != nil {
			unread++
			continue
		}
		if l.VM == "" {
			l.VM = vm
		}
		lines = append(lines, l)
	}
}
