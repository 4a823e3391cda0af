package store

import (
	"context"
	"fmt"
	"time"
)

// Page is a part of a listing, in the order of the keys.
type Page struct {
	Items []Item
	// More is set if keys follow after the last item.
	More bool
	// Revision is the store's revision when the page was read.
	Revision int64
}

// Reader reads all keys under a prefix, page by page. Load pattern: thousands of
// records over a slow link, or a store that loses some answers. A read that
// began again after each failure would never end, so pages that have been read
// are kept and the next call of Read continues after them.
type Reader struct {
	client Client
	prefix string
	// listing holds the pages read so far; after is the last key in it.
	listing Listing
	after   string
}

// pageTimeout bounds the read of one page. A page of 1 MB takes over a second
// on a link of 10 Mbit/s.
const pageTimeout = 3 * time.Second

// NewReader returns a Reader.
func NewReader(client Client, prefix string) *Reader {
	return &Reader{
		client: client,
		prefix: prefix,
	}
}

// Read reads the remaining pages. After an error it may be called again. Pages
// are not one snapshot, so the listing has the revision of the first one.
func (r *Reader) Read(ctx context.Context) (Listing, error) {
	for {
		page, err := r.readPage(ctx)
		if err != nil {
			return Listing{}, err
		}
		if page.More && len(page.Items) == 0 {
			return Listing{}, fmt.Errorf("%w: the page of %q after %q is empty though more keys follow", ErrUnavailable, r.prefix, r.after)
		}
		if r.listing.Revision == 0 {
			r.listing.Revision = page.Revision
		}
		r.listing.Items = append(r.listing.Items, page.Items...)
		if !page.More {
			return r.listing, nil
		}
		r.after = page.Items[len(page.Items)-1].Key
	}
}

func (r *Reader) readPage(ctx context.Context) (Page, error) {
	limited, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return r.client.Page(limited, r.prefix, r.after)
}
