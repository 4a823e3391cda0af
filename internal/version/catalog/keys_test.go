package catalog

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func testCatalog(keys map[string][]string) *Catalog {
	catalog := &Catalog{
		RequiresKeys:  true,
		Organisations: map[string]Organisation{},
	}
	for name := range keys {
		catalog.Organisations[name] = Organisation{
			Name:   name,
			Weight: 1,
		}
	}
	catalog.Keys, _ = NewKeys(keys)
	return catalog
}

// Guards against a key that opens another organisation's jobs, or none of its
// own organisation's.
func TestAuthenticate(t *testing.T) {
	catalog := testCatalog(map[string][]string{
		"paper": {"paper-1", "paper-2", "paper-2", "shared", ""},
		"glass": {"glass-1", "shared"},
		"cloth": nil,
	})
	tests := map[string]struct {
		key  string
		want string
	}{
		"first key": {
			key:  "paper-1",
			want: "paper",
		},
		"second key, listed twice": {
			key:  "paper-2",
			want: "paper",
		},
		"another organisation": {
			key:  "glass-1",
			want: "glass",
		},
		"listed by two": {
			key: "shared",
		},
		"no key": {
			key: "",
		},
		"unknown": {
			key: "paper-3",
		},
		"beginning of a key": {
			key: "paper-",
		},
		"key with more behind it": {
			key: "paper-11",
		},
		"other case": {
			key: "PAPER-1",
		},
		"name instead of key": {
			key: "paper",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			organisation, known := catalog.Authenticate(tt.key)
			assert.Equal(t, tt.want, organisation.Name)
			assert.Equal(t, tt.want != "", known)
		})
	}
	_, ambiguous := NewKeys(map[string][]string{
		"a": {"x", "y"},
		"b": {"x", "z"},
		"c": {"x", "y"},
	})
	assert.Equal(t, 2, ambiguous)
	_, known := (&Catalog{}).Authenticate("")
	assert.False(t, known, "a catalog without organisations knows no key")
}

// A key in a formatted catalog would end up in a log or a trace.
func TestCatalogContainsNoKey(t *testing.T) {
	catalog := testCatalog(map[string][]string{
		"paper": {"paper-secret"},
	})
	text := fmt.Sprintf("%v %+v %#v", *catalog, *catalog, *catalog)
	assert.NotContains(t, text, "secret")
	assert.True(t, strings.Contains(text, "paper"))
}

func BenchmarkAuthenticate(b *testing.B) {
	keys := map[string][]string{}
	for i := range 380 {
		name := "organisation-" + strconv.Itoa(i)
		for n := range 5 {
			keys[name] = append(keys[name], name+"-key-"+strconv.Itoa(n))
		}
	}
	catalog := testCatalog(keys)
	b.ReportAllocs()
	for b.Loop() {
		catalog.Authenticate("organisation-379-key-4")
	}
}
