package etcd

import (
	"fmt"
	"strings"
)

// Folders under the prefix.
const (
	EndpointsFolder = "endpoints"
	PartnersFolder  = "partners"
	DrainsFolder    = "drains"
)

// maxTextLength bounds ids, addresses and the prefix, in bytes.
const maxTextLength = 256

// root is what all keys under a prefix begin with.
func root(prefix string) string { return strings.TrimSuffix(prefix, "/") + "/" }

// Key is the key of a name in a folder.
func Key(prefix, folder, name string) string { return root(prefix) + folder + "/" + name }

// FolderPrefix is what all keys of a folder begin with.
func FolderPrefix(prefix, folder string) string { return Key(prefix, folder, "") }

// RangeEnd is the first key behind all that begin with a prefix.
func RangeEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return "\x00" // to the end of all keys
}

// splitKey is the folder and the name of a key; ok is false for a key that is not of the
// layout.
func splitKey(prefix, key string) (folder, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, root(prefix))
	if !ok {
		return "", "", false
	}
	folder, name, ok = strings.Cut(rest, "/")
	if !ok || folder != EndpointsFolder && folder != PartnersFolder && folder != DrainsFolder {
		return "", "", false
	}
	return folder, name, true
}

// CheckID returns an error that names what is wrong with an endpoint's id, or nil.
func CheckID(id string) error {
	if id == "" || len(id) > maxTextLength {
		return fmt.Errorf("an id of %d bytes", len(id))
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' || id[i] == '/' {
			return fmt.Errorf("id %.40q", id)
		}
	}
	return nil
}
