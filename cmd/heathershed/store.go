package main

import (
	"context"
	"fmt"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"heathershed/internal/catalogue"
	"heathershed/internal/platform"
	"heathershed/internal/platform/objectstore"
	"heathershed/internal/platform/resolve"
)

// storeRate bounds the calls a second that one run of the command makes to the
// store.
const storeRate = 50

// openStore returns a client of the platform's object API. It sends nothing
// yet.
func (inv *invocation) openStore() (platform.Store, error) {
	if len(inv.settings.platform) == 0 {
		return nil, usagef("no address of the platform: give -platform or set HEATHERSHED_PLATFORM")
	}
	client, err := objectstore.New(inv.settings.platform)
	if err != nil {
		return nil, err
	}
	return resolve.New(client, resolve.Options{Seed: int64(os.Getpid()), Rate: storeRate, Burst: storeRate}), nil
}

// editor returns the editor of the catalogue in the store.
func (inv *invocation) editor(floor uint64) (*catalogue.Editor, error) {
	store, err := inv.openStore()
	if err != nil {
		return nil, err
	}
	return catalogue.NewEditor(store, catalogue.Options{Floor: floor}), nil
}

// loadDocument returns the catalogue document from the store. If the settings
// name no store, or it can't be reached or read, loadDocument returns the newest
// document that is active at the nodes; partial is then an error that reports
// the partial view.
func (inv *invocation) loadDocument(ctx context.Context) (d *catalogue.Document, partial, err error) {
	if len(inv.settings.platform) > 0 {
		editor, err := inv.editor(0)
		if err != nil {
			return nil, nil, err
		}
		d, err := editor.Load(ctx)
		if err == nil {
			return d, nil, nil
		}
		if len(inv.settings.nodes) == 0 {
			return nil, nil, err
		}
		partial = err
	}
	f, err := inv.discover(ctx)
	if err != nil {
		return nil, nil, errors.CombineErrors(err, partial)
	}
	d, err = f.newestDocument(ctx)
	if err != nil {
		return nil, nil, err
	}
	unseen := append([]string{"the store; this is the newest version active at the nodes"}, f.unseen...)
	if partial != nil {
		unseen[0] = fmt.Sprintf("the store (%s); this is the newest version active at the nodes", errorText(partial))
	}
	return d, &partialError{unseen}, nil
}

// parseVersion parses a version of the catalogue.
func parseVersion(text string) (uint64, error) {
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil || v == 0 {
		return 0, usagef("version %q: want a whole number over 0", text)
	}
	return v, nil
}
