package answer

import (
	"testing"

	"github.com/matryer/is"
)

func TestTokensParsesText(t *testing.T) {
	is := is.New(t)
	tokens := []int{0, 1, VocabularySize - 1, Token("m", "p", 1, 2, 3)}
	got, err := Tokens(Text(tokens))
	is.NoErr(err)
	is.Equal(got, tokens)
	_, err = Tokens(" bababx")
	is.True(err != nil)
	_, err = Tokens(" bab")
	is.True(err != nil)
}

func TestTokenDependsOnEachInput(t *testing.T) {
	is := is.New(t)
	base := Token("m", "p", 1, 1, 0)
	is.Equal(Token("m", "p", 1, 1, 0), base)
	for _, other := range []int{Token("n", "p", 1, 1, 0), Token("m", "q", 1, 1, 0), Token("m", "p", 2, 1, 0), Token("m", "p", 1, 2, 0), Token("m", "p", 1, 1, 1)} {
		is.True(other != base)
	}
}

func TestLengthHasStragglers(t *testing.T) {
	is := is.New(t)
	full := 0
	for seed := range int64(1000) {
		n := Length("m", "p", seed, 100)
		is.True(n >= 1 && n <= 100)
		if n == 100 {
			full++
		}
	}
	is.True(full > 20 && full < 100)
}
