// Package poison identifies requests by their content, so that one that crashes
// the upstreams which run it is known again under another attempt id.
package poison
