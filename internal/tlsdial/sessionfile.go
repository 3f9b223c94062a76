package tlsdial

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
	sessionsFile         = "sessions.sealed"
	sessionsMagic        = "TRSS\x01"
	saltLen              = 32
	maxSessionsFileBytes = 4 << 20
	minSessionKeyBytes   = 32
	maxSessionKeyBytes   = 4096
	keyDerivationInfo    = "troutusher sessions 1"
)

// storedSession is one session in the file.
type storedSession struct {
	Destination int       `json:"dest"`
	Rule        string    `json:"rule"`
	IdentitySum []byte    `json:"sum"`
	Until       time.Time `json:"until"`
	Ticket      []byte    `json:"ticket"`
	State       []byte    `json:"state"`
}

// readSessionKey reads the operator's key: 32 bytes at least, its owner's alone.
func readSessionKey(path string) ([]byte, error) {
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
	key, err := io.ReadAll(io.LimitReader(f, maxSessionKeyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("session key: %w", err)
	}
	if len(key) < minSessionKeyBytes || len(key) > maxSessionKeyBytes {
		return nil, fmt.Errorf("session key: %s: %d bytes, want %d to %d", path, len(key), minSessionKeyBytes, maxSessionKeyBytes)
	}
	return key, nil
}

func newAEAD(key, salt []byte) (cipher.AEAD, error) {
	k, err := hkdf.Key(sha256.New, key, salt, keyDerivationInfo, chacha20poly1305.KeySize)
	if err != nil {
		return nil, err
	}
	return chacha20poly1305.NewX(k)
}

// encryptSessions makes the file's text.
func encryptSessions(key []byte, sessions []storedSession) ([]byte, error) {
	text, err := json.Marshal(sessions)
	if err != nil {
		return nil, err
	}
	head := make([]byte, len(sessionsMagic)+saltLen+chacha20poly1305.NonceSizeX)
	n := copy(head, sessionsMagic)
	if _, err := rand.Read(head[n:]); err != nil {
		return nil, err
	}
	aead, err := newAEAD(key, head[n:n+saltLen])
	if err != nil {
		return nil, err
	}
	return aead.Seal(head, head[n+saltLen:], text, append([]byte{}, head...)), nil
}

var errNotDecryptable = errors.New("damaged, or sealed under another key")

// decryptSessions reads it.
func decryptSessions(key, file []byte) ([]storedSession, error) {
	const headLen = len(sessionsMagic) + saltLen + chacha20poly1305.NonceSizeX
	switch {
	case len(file) < headLen || string(file[:len(sessionsMagic)-1]) != sessionsMagic[:len(sessionsMagic)-1]:
		return nil, errNotDecryptable
	case file[len(sessionsMagic)-1] != sessionsMagic[len(sessionsMagic)-1]:
		return nil, fmt.Errorf("version %d is not known here", file[len(sessionsMagic)-1])
	}
	head := file[:headLen]
	aead, err := newAEAD(key, head[len(sessionsMagic):len(sessionsMagic)+saltLen])
	if err != nil {
		return nil, err
	}
	text, err := aead.Open(nil, head[len(sessionsMagic)+saltLen:], file[headLen:], head)
	if err != nil {
		return nil, errNotDecryptable
	}
	var all []storedSession
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, errNotDecryptable
	}
	return all, nil
}

// SaveSessions keeps the sessions for the next process, where the operator has named a
// key. Nothing else depends on it: an error is told, and no more.
func (p *Dialer) SaveSessions(dir string) {
	if p == nil || p.sessionKey == nil {
		return
	}
	var all []storedSession
	p.mu.Lock()
	p.sessions.Each(func(of tlspolicy.SessionIdentity, what *tls.ClientSessionState, until time.Time) {
		ticket, state, err := what.ResumptionState()
		if err != nil || state == nil {
			return
		}
		if text, err := state.Bytes(); err == nil {
			all = append(all, storedSession{of.Destination, of.Rule, of.Sum[:], until, ticket, text})
		}
	})
	p.mu.Unlock()
	if err := p.writeSessions(filepath.Join(dir, sessionsFile), all); err != nil {
		p.options.Log.Warn("tls: sessions are not kept for the next process", "err", err)
	}
}

func (p *Dialer) writeSessions(path string, all []storedSession) error {
	text, err := encryptSessions(p.sessionKey, all)
	if err != nil {
		return err
	}
	if len(text) > maxSessionsFileBytes {
		return fmt.Errorf("%d bytes, %d at most", len(text), maxSessionsFileBytes)
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

// restoreSessions takes up what the process before kept, and removes it. A session whose
// identity has changed since is never asked for, and ends by its time.
func (p *Dialer) restoreSessions(dir string) {
	path := filepath.Join(dir, sessionsFile)
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		p.options.Log.Warn("tls: sessions of the process before are not used", "err", err)
		return
	}
	text, err := io.ReadAll(io.LimitReader(f, maxSessionsFileBytes+1))
	f.Close()
	if err == nil && len(text) > maxSessionsFileBytes {
		err = fmt.Errorf("over %d bytes", maxSessionsFileBytes)
	}
	// Gone before it is used: a ticket is shown once, also if this process dies.
	if rerr := os.Remove(path); err == nil {
		err = rerr
	}
	var all []storedSession
	if err == nil {
		all, err = decryptSessions(p.sessionKey, text)
	}
	if err != nil {
		p.options.Log.Warn("tls: sessions of the process before are not used", "file", path, "err", err)
		return
	}
	now := p.options.Clock()
	for _, x := range all {
		if len(x.IdentitySum) != sha256.Size {
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
		p.sessions.PutUntil(tlspolicy.SessionIdentity{Destination: x.Destination, Rule: x.Rule, Sum: [sha256.Size]byte(x.IdentitySum)}, s, now, x.Until)
	}
	p.options.Log.Info("tls: sessions of the process before", "read", len(all), "kept", p.sessions.Len())
}
