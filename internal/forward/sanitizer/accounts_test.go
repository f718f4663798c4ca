package sanitizer_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/sanitizer"
)

// Guards against a mistake in one account that lets a stranger in, gives an account an advantage, takes the other
// accounts out of force, or shows a key in the log.
func TestAccountsWithUnusableValues(t *testing.T) {
	good := matcher.Account{Name: "good", Keys: []string{"good-key"}, Rate: 4, Burst: 2, Priority: 1, HasPriority: true}
	for _, c := range []struct {
		name     string
		account  matcher.Account
		want     []matcher.Account // besides the good one
		problems int
	}{
		{"usable", matcher.Account{Name: "a", Keys: []string{"k"}}, []matcher.Account{{Name: "a", Keys: []string{"k"}}}, 0},
		{"without keys", matcher.Account{Name: "a"}, []matcher.Account{{Name: "a"}}, 0},
		{"without a name", matcher.Account{Keys: []string{"k"}}, nil, 1},
		{"line break in the name", matcher.Account{Name: "a\r\nX: y", Keys: []string{"k"}}, nil, 1},
		{"control character in the name", matcher.Account{Name: "a\x7f", Keys: []string{"k"}}, nil, 1},
		{"space around the name", matcher.Account{Name: " a", Keys: []string{"k"}}, nil, 1},
		{"name that is no text", matcher.Account{Name: "a\xff", Keys: []string{"k"}}, nil, 1},
		{"huge name", matcher.Account{Name: strings.Repeat("a", 1<<20), Keys: []string{"k"}}, nil, 1},
		{
			"empty key",
			matcher.Account{Name: "a", Keys: []string{"", "k"}},
			[]matcher.Account{{Name: "a", Keys: []string{"k"}}},
			1,
		},
		{
			"huge key",
			matcher.Account{Name: "a", Keys: []string{strings.Repeat("k", 1<<20)}},
			[]matcher.Account{{Name: "a"}},
			1,
		},
		{"key with a space", matcher.Account{Name: "a", Keys: []string{"secret key"}}, []matcher.Account{{Name: "a"}}, 1},
		{
			"negative rate",
			matcher.Account{Name: "a", Rate: -1, Burst: 7},
			[]matcher.Account{{Name: "a", Priority: 1000, HasPriority: true}},
			1,
		},
		{
			"absurd burst",
			matcher.Account{Name: "a", Rate: 1, Burst: math.Inf(1)},
			[]matcher.Account{{Name: "a", Priority: 1000, HasPriority: true}},
			1,
		},
		{
			"rate that is no number",
			matcher.Account{Name: "a", Rate: math.NaN()},
			[]matcher.Account{{Name: "a", Priority: 1000, HasPriority: true}},
			1,
		},
		{
			"negative priority",
			matcher.Account{Name: "a", Priority: -1, HasPriority: true},
			[]matcher.Account{{Name: "a", Priority: 1000, HasPriority: true}},
			1,
		},
		{
			"absurd priority",
			matcher.Account{Name: "a", Priority: math.MaxInt, HasPriority: true},
			[]matcher.Account{{Name: "a", Priority: 1000, HasPriority: true}},
			1,
		},
		{"key twice in one account", matcher.Account{Name: "a", Keys: []string{"k", "k"}}, []matcher.Account{
			{Name: "a", Keys: []string{"k", "k"}},
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			config := matcher.Config{Accounts: []matcher.Account{good, c.account}}
			problems := sanitizer.Sanitize(&config)
			is.Equal(len(problems), c.problems)
			is.Equal(config.Accounts, append([]matcher.Account{good}, c.want...))
			is.True(config.KeysRequired)
			is.True(!strings.Contains(fmt.Sprint(problems), "secret"))
		})
	}
}

// Guards against a key that lets the callers of one account act in the name of another, and against two accounts of one
// name whose callers are refused.
func TestAccountsThatClash(t *testing.T) {
	is := is.New(t)
	config := matcher.Config{Accounts: []matcher.Account{
		{Name: "a", Keys: []string{"secret-shared", "key-a"}, Rate: 1},
		{Name: "b", Keys: []string{"key-b", "secret-shared"}},
		{Name: "c", Keys: []string{"secret-shared"}},
		{Name: "a", Keys: []string{"key-a2"}, Rate: 9},
	}}
	problems := sanitizer.Sanitize(&config)
	is.Equal(len(problems), 3) // the name, and the key twice
	is.True(!strings.Contains(fmt.Sprint(problems), "secret"))
	is.Equal(config.Accounts, []matcher.Account{
		{Name: "a", Keys: []string{"key-a", "key-a2"}, Rate: 1}, {Name: "b", Keys: []string{"key-b"}}, {Name: "c"},
	})
}

// Guards against a configuration that serves strangers because none of its accounts can be used.
func TestKeysStayRequiredWithoutUsableAccount(t *testing.T) {
	is := is.New(t)
	config := matcher.Config{Accounts: []matcher.Account{{Keys: []string{"k"}}}}
	is.Equal(len(sanitizer.Sanitize(&config)), 2)
	is.Equal(len(config.Accounts), 0)
	is.True(matcher.New(config).KeysRequired())
	config = matcher.Config{}
	is.Equal(len(sanitizer.Sanitize(&config)), 0)
	is.True(!matcher.New(config).KeysRequired())
}
