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

// maxTextLength is the maximum length, in bytes, of the prefix and of the text fields of a
// value.
const maxTextLength = 256

// root returns the prefix with one slash at its end: the beginning of all keys under it.
func root(prefix string) string { return strings.TrimSuffix(prefix, "/") + "/" }

// Key returns the key of a name in a folder.
func Key(prefix, folder, name string) string { return root(prefix) + folder + "/" + name }

// FolderPrefix returns the prefix of all keys in a folder.
func FolderPrefix(prefix, folder string) string { return Key(prefix, folder, "") }

// RangeEnd returns the first key after all keys that begin with a prefix. It is the exclusive
// end of a range request for these keys.
func RangeEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return "\x00" // in etcd's API: up to the last key of all
}

// splitKey splits a key into its folder and name. ok is false if the key is not under the
// prefix or not in one of the known folders.
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

// CheckID returns an error if the id of an endpoint is not valid.
func CheckID(id string) error {
	if id == "" || len(id) > maxTextLength {
		return fmt.Errorf("id is %d bytes long, want 1 to %d", len(id), maxTextLength)
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' || id[i] == '/' {
			return fmt.Errorf("id %.40q contains a space, a slash or a character that is not printable ASCII", id)
		}
	}
	return nil
}
