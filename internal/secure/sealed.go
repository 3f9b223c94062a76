package secure

import (
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/crypto/chacha20poly1305"

	"troutusher/internal/tlspolicy"
)

// Sessions that outlast the process: written when it ends as planned, read once
// and removed at the next start, so that no two processes show the same ticket.
//
//	magic and version   5 bytes   "TRSS" 1
//	salt                32 bytes  of the key's derivation, HKDF-SHA-256 (RFC 5869)
//	nonce               24 bytes
//	XChaCha20-Poly1305  the rest, over JSON; all before it is authenticated
//
// A file that is damaged, of another version or under another key is an empty
// cache: full handshakes, and nothing else, follow from that.

const (
	sealedName   = "sessions.sealed"
	sealedMagic  = "TRSS\x01"
	saltLen      = 32
	sealedMost   = 4 << 20
	keyFileLeast = 32
	keyFileMost  = 4096
	sealedInfo   = "troutusher sessions 1"
)

// sealedSession is one session in the file.
type sealedSession struct {
	Dest   int       `json:"dest"`
	Rule   string    `json:"rule"`
	Sum    []byte    `json:"sum"`
	Until  time.Time `json:"until"`
	Ticket []byte    `json:"ticket"`
	State  []byte    `json:"state"`
}

// readKeyFile reads the operator's key: 32 bytes at least, its owner's alone.
func readKeyFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("session key: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, fmt.Errorf("session key: %w", err)
	case !info.Mode().IsRegular():
		return nil, fmt.Errorf("session key: %s: no regular file", path)
	case info.Mode().Perm()&0o077 != 0:
		return nil, fmt.Errorf("session key: %s: mode %04o: others than its owner may use it, want 0600", path, info.Mode().Perm())
	}
	key, err := io.ReadAll(io.LimitReader(f, keyFileMost+1))
	if err != nil {
		return nil, fmt.Errorf("session key: %w", err)
	}
	if len(key) < keyFileLeast || len(key) > keyFileMost {
		return nil, fmt.Errorf("session key: %s: %d bytes, want %d to %d", path, len(key), keyFileLeast, keyFileMost)
	}
	return key, nil
}

func sealer(key, salt []byte) (cipher.AEAD, error) {
	k, err := hkdf.Key(sha256.New, key, salt, sealedInfo, chacha20poly1305.KeySize)
	if err != nil {
		return nil, err
	}
	return chacha20poly1305.NewX(k)
}

// seal makes the file's text.
func seal(key []byte, sessions []sealedSession) ([]byte, error) {
	text, err := json.Marshal(sessions)
	if err != nil {
		return nil, err
	}
	head := make([]byte, len(sealedMagic)+saltLen+chacha20poly1305.NonceSizeX)
	n := copy(head, sealedMagic)
	if _, err := rand.Read(head[n:]); err != nil {
		return nil, err
	}
	aead, err := sealer(key, head[n:n+saltLen])
	if err != nil {
		return nil, err
	}
	return aead.Seal(head, head[n+saltLen:], text, append([]byte{}, head...)), nil
}

var errNotSealed = errors.New("damaged, or sealed under another key")

// unseal reads it.
func unseal(key, file []byte) ([]sealedSession, error) {
	const headLen = len(sealedMagic) + saltLen + chacha20poly1305.NonceSizeX
	switch {
	case len(file) < headLen || string(file[:len(sealedMagic)-1]) != sealedMagic[:len(sealedMagic)-1]:
		return nil, errNotSealed
	case file[len(sealedMagic)-1] != sealedMagic[len(sealedMagic)-1]:
		return nil, fmt.Errorf("version %d is not known here", file[len(sealedMagic)-1])
	}
	head := file[:headLen]
	aead, err := sealer(key, head[len(sealedMagic):len(sealedMagic)+saltLen])
	if err != nil {
		return nil, err
	}
	text, err := aead.Open(nil, head[len(sealedMagic)+saltLen:], file[headLen:], head)
	if err != nil {
		return nil, errNotSealed
	}
	var all []sealedSession
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, errNotSealed
	}
	return all, nil
}

// Save keeps the sessions for the next process, where the operator has named a
// key. Nothing else depends on it: an error is told, and no more.
func (p *Partners) Save(dir string) {
	if p == nil || p.key == nil {
		return
	}
	var all []sealedSession
	p.mu.Lock()
	p.sessions.Each(func(of tlspolicy.Identity, what *tls.ClientSessionState, until time.Time) {
		ticket, state, err := what.ResumptionState()
		if err != nil || state == nil {
			return
		}
		if text, err := state.Bytes(); err == nil {
			all = append(all, sealedSession{of.Dest, of.Rule, of.Sum[:], until, ticket, text})
		}
	})
	p.mu.Unlock()
	if err := p.save(filepath.Join(dir, sealedName), all); err != nil {
		p.o.Log.Warn("tls: sessions are not kept for the next process", "err", err)
	}
}

func (p *Partners) save(path string, all []sealedSession) error {
	text, err := seal(p.key, all)
	if err != nil {
		return err
	}
	if len(text) > sealedMost {
		return fmt.Errorf("%d bytes, %d at most", len(text), sealedMost)
	}
	f, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		os.Remove(path + ".new")
	}
	return err
}

// restore takes up what the process before kept, and removes it. A session whose
// identity has changed since is never asked for, and ends by its time.
func (p *Partners) restore(dir string) {
	path := filepath.Join(dir, sealedName)
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		p.o.Log.Warn("tls: sessions of the process before are not used", "err", err)
		return
	}
	text, err := io.ReadAll(io.LimitReader(f, sealedMost+1))
	f.Close()
	if err == nil && len(text) > sealedMost {
		err = fmt.Errorf("over %d bytes", sealedMost)
	}
	// Gone before it is used: a ticket is shown once, also if this process dies.
	if rerr := os.Remove(path); err == nil {
		err = rerr
	}
	var all []sealedSession
	if err == nil {
		all, err = unseal(p.key, text)
	}
	if err != nil {
		p.o.Log.Warn("tls: sessions of the process before are not used", "file", path, "err", err)
		return
	}
	now := p.o.Clock()
	for _, x := range all {
		if len(x.Sum) != sha256.Size {
			continue
		}
		state, err := tls.ParseSessionState(x.State)
		if err != nil || state.EarlyData { // which is never used: such a session is nothing to us
			continue
		}
		s, err := tls.NewResumptionState(x.Ticket, state)
		if err != nil {
			continue
		}
		p.sessions.Restore(tlspolicy.Identity{Dest: x.Dest, Rule: x.Rule, Sum: [sha256.Size]byte(x.Sum)}, s, now, x.Until)
	}
	p.o.Log.Info("tls: sessions of the process before", "read", len(all), "kept", p.sessions.Len())
}
