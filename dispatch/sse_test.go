package dispatch

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
)

func readAllEvents(r io.Reader) ([]string, error) {
	e := newEventReader(r)
	var out []string
	for {
		data, err := e.next()
		if err != nil {
			return out, err
		}
		out = append(out, string(data))
	}
}

func TestEventsOverAnyChunks(t *testing.T) {
	is := is.New(t)
	const stream = ": comment\r\n\r\ndata: one\r\n\r\nevent: x\ndata: two\ndata:three\n\n\n\ndata: [DONE]\n\n"
	for _, r := range []io.Reader{strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream)), iotest.HalfReader(strings.NewReader(stream))} {
		got, err := readAllEvents(r)
		is.Equal(err, io.EOF)
		is.Equal(got, []string{"one", "two\nthree", "[DONE]"})
	}
	_, err := readAllEvents(strings.NewReader("data: cut"))
	is.Equal(err, io.ErrUnexpectedEOF)
	_, err = readAllEvents(strings.NewReader("data: cut\n"))
	is.Equal(err, io.ErrUnexpectedEOF)
	_, err = readAllEvents(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes+1)))
	is.Equal(err, errEventTooLong)
	_, err = readAllEvents(strings.NewReader(strings.Repeat("data: "+strings.Repeat("x", maxEventBytes/4)+"\n", 5)))
	is.Equal(err, errEventTooLong)
}

func FuzzSSE(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"r\",\"choices\":[{\"text\":\" a\",\"token_ids\":[1],\"offset\":0}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":\"other\"}\r\n\r\n"))
	f.Add([]byte("data: {\"id\":\"r\",\"choices\":[{\"token_ids\":[1,2],\"offset\":5}]}\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e := newEventReader(strings.NewReader(string(raw)))
		s := &stream{run: &completionRun{d: New(Options{}), answer: newAnswer(&Call{})}, placement: &placement{}, id: "r"}
		for {
			data, err := e.next()
			if err != nil {
				return
			}
			if len(data) > maxEventBytes {
				t.Fatalf("event has %d bytes, more than maxEventBytes", len(data))
			}
			if _, err := s.handleEvent(data); err != nil {
				return
			}
			n := 0
			for _, sp := range s.run.answer.spans {
				n += sp.Tokens
			}
			if n != len(s.run.answer.tokens) {
				t.Fatalf("spans cover %d of %d tokens", n, len(s.run.answer.tokens))
			}
		}
	})
}

func chunk(id string, offset int, tokens ...int) *trial.CompletionChunk {
	return &trial.CompletionChunk{ID: id, Boot: "b", WeightVersion: 2, Choices: []trial.CompletionChoice{{TokenIDs: tokens, Offset: offset}}}
}

func TestChunksOfOthersAndGapsAreRefused(t *testing.T) {
	is := is.New(t)
	a := newAnswer(&Call{})
	is.NoErr(a.add("r", "e", "b", chunk("r", 0, 1, 2)))
	is.True(errors.Is(a.add("r", "e", "b", chunk("s", 2, 3)), errWrongRequest))
	is.True(errors.Is(a.add("r", "e", "b", chunk("r", 3, 3)), errMissingTokens))
	is.True(errors.Is(a.add("r", "e", "b", chunk("r", 0, 1, 2)), errMissingTokens)) // a chunk that arrives a second time
	is.True(errors.Is(a.add("r", "e", "c", chunk("r", 2, 3)), errEngineRestarted))
	is.NoErr(a.add("r", "e", "b", chunk("cmpl-r", 2, 3)))
	is.Equal(a.tokens, []int{1, 2, 3})
	is.Equal(a.spans[0].Tokens, 3)
}
