package tlsdial

import (
	"bytes"
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

// Sessions are stored when the process shuts down cleanly, so that the next process can
// resume them instead of making full handshakes. That process reads the file and removes it,
// so that no two processes present the same ticket. File format:
//
//	magic and version   5 bytes   "TRSS" 1
//	salt                32 bytes  for the derivation of the key, HKDF-SHA-256 (RFC 5869)
//	nonce               24 bytes
//	ciphertext          the rest  JSON encrypted with XChaCha20-Poly1305; the fields
//	                              before it are the additional authenticated data
//
// A file that is damaged, of another version or encrypted with another key is ignored.
// The only consequence is that the next handshakes are full ones.

const (
	sessionsFile         = "sessions.sealed"
	sessionsMagic        = "TRSS"
	sessionsVersion      = 1
	prefixLen            = len(sessionsMagic) + 1 // magic and version number
	saltLen              = 32
	headerLen            = prefixLen + saltLen + chacha20poly1305.NonceSizeX
	maxSessionsFileBytes = 4 << 20
	minSessionKeyBytes   = 32
	maxSessionKeyBytes   = 4096
	keyDerivationInfo    = "troutusher sessions 1"
	temporarySuffix      = ".new"
	ownerOnlyMode        = 0o600
	groupAndOtherBits    = 0o077
)

// errNotDecryptable reports that the content of a session file cannot be decrypted.
var errNotDecryptable = errors.New("file is damaged or encrypted with another key")

// storedSession is one session in the session file. Destination, Rule and IdentitySum are
// the fields of its tlspolicy.SessionIdentity: the settings that the endpoint was verified
// with.
type storedSession struct {
	Destination int       `json:"dest"`
	Rule        string    `json:"rule"`   // name of the TLS rule that applied to the destination
	IdentitySum []byte    `json:"sum"`    // SHA-256 hash of server name, roots, pins and the relay's certificate
	Until       time.Time `json:"until"`  // when the session expires
	Ticket      []byte    `json:"ticket"` // from the endpoint; presented to it for resumption
	State       []byte    `json:"state"`  // the tls.SessionState, encoded
}

// readSessionKey reads the operator's key file. The file must have minSessionKeyBytes to
// maxSessionKeyBytes, and only its owner may have access to it.
func readSessionKey(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("session key: %w", err)
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, fmt.Errorf("session key: %w", err)
	case !info.Mode().IsRegular():
		return nil, fmt.Errorf("session key: %s: not a regular file", path)
	case info.Mode().Perm()&groupAndOtherBits != 0:
		return nil, fmt.Errorf("session key: %s: mode %04o gives access to users other than the owner, want 0600",
			path, info.Mode().Perm())
	}
	key, err := io.ReadAll(io.LimitReader(f, maxSessionKeyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("session key: %w", err)
	}
	if len(key) < minSessionKeyBytes || len(key) > maxSessionKeyBytes {
		return nil, fmt.Errorf("session key: %s: key has %d bytes, want %d to %d",
			path, len(key), minSessionKeyBytes, maxSessionKeyBytes)
	}
	return key, nil
}

// newAEAD returns the cipher of a session file, with the key derived from key and salt.
func newAEAD(key, salt []byte) (cipher.AEAD, error) {
	derived, err := hkdf.Key(sha256.New, key, salt, keyDerivationInfo, chacha20poly1305.KeySize)
	if err != nil {
		return nil, err
	}
	return chacha20poly1305.NewX(derived)
}

// encryptSessions returns the content of a session file.
func encryptSessions(key []byte, sessions []storedSession) ([]byte, error) {
	plaintext, err := json.Marshal(sessions)
	if err != nil {
		return nil, err
	}
	header := make([]byte, headerLen)
	copy(header, sessionsMagic)
	header[len(sessionsMagic)] = sessionsVersion
	if _, err := rand.Read(header[prefixLen:]); err != nil {
		return nil, err
	}
	aead, err := newAEAD(key, header[prefixLen:prefixLen+saltLen])
	if err != nil {
		return nil, err
	}
	nonce := header[prefixLen+saltLen:]
	return aead.Seal(header, nonce, plaintext, bytes.Clone(header)), nil
}

// decryptSessions returns the sessions in the content of a session file.
func decryptSessions(key, content []byte) ([]storedSession, error) {
	if len(content) < headerLen || string(content[:len(sessionsMagic)]) != sessionsMagic {
		return nil, errNotDecryptable
	}
	if version := content[len(sessionsMagic)]; version != sessionsVersion {
		return nil, fmt.Errorf("file has version %d, want version %d", version, sessionsVersion)
	}
	header := content[:headerLen]
	aead, err := newAEAD(key, header[prefixLen:prefixLen+saltLen])
	if err != nil {
		return nil, err
	}
	plaintext, err := aead.Open(nil, header[prefixLen+saltLen:], content[headerLen:], header)
	if err != nil {
		return nil, errNotDecryptable
	}
	var sessions []storedSession
	if err := json.Unmarshal(plaintext, &sessions); err != nil {
		return nil, errNotDecryptable
	}
	return sessions, nil
}

// SaveSessions stores the sessions in a folder for the next process, if the operator has
// configured a key. An error is only logged: without stored sessions the next process
// makes full handshakes.
func (d *Dialer) SaveSessions(dir string) {
	if d == nil || d.sessionKey == nil {
		return
	}
	if err := d.writeSessions(filepath.Join(dir, sessionsFile), d.exportSessions()); err != nil {
		d.options.Log.Warn("tls: cannot save sessions, the next process makes full handshakes", "err", err)
	}
}

// exportSessions returns the cached sessions that can be serialized, the oldest first.
func (d *Dialer) exportSessions() (sessions []storedSession) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sessions.Each(func(id tlspolicy.SessionIdentity, session *tls.ClientSessionState, until time.Time) {
		ticket, state, err := session.ResumptionState()
		if err != nil || state == nil {
			return
		}
		encoded, err := state.Bytes()
		if err != nil {
			return
		}
		sessions = append(sessions, storedSession{
			Destination: id.Destination,
			Rule:        id.Rule,
			IdentitySum: id.Sum[:],
			Until:       until,
			Ticket:      ticket,
			State:       encoded,
		})
	})
	return sessions
}

// writeSessions replaces the session file atomically.
func (d *Dialer) writeSessions(path string, sessions []storedSession) error {
	content, err := encryptSessions(d.sessionKey, sessions)
	if err != nil {
		return err
	}
	if len(content) > maxSessionsFileBytes {
		return fmt.Errorf("session file would have %d bytes, want at most %d", len(content), maxSessionsFileBytes)
	}
	temporaryPath := path + temporarySuffix
	f, err := os.OpenFile(temporaryPath, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, ownerOnlyMode)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporaryPath, path)
	}
	if err != nil {
		_ = os.Remove(temporaryPath) // the first error is returned
	}
	return err
}

// restoreSessions caches the sessions that the previous process stored, and removes the
// session file. If the settings that a session was verified with have changed (its server
// name, roots, pins or the relay's certificate), no handshake looks it up, and it expires.
func (d *Dialer) restoreSessions(dir string) {
	path := filepath.Join(dir, sessionsFile)
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		d.options.Log.Warn("tls: cannot read saved sessions, full handshakes follow", "err", err)
		return
	}
	sessions, err := d.readSessions(f)
	if err != nil {
		d.options.Log.Warn("tls: cannot read saved sessions, full handshakes follow", "file", path, "err", err)
		return
	}
	now := d.options.Clock()
	for i := range sessions {
		d.restoreSession(&sessions[i], now)
	}
	d.options.Log.Info("tls: saved sessions restored", "read", len(sessions), "kept", d.sessions.Len())
}

// readSessions reads a session file, closes it and removes it.
func (d *Dialer) readSessions(f *os.File) ([]storedSession, error) {
	content, err := io.ReadAll(io.LimitReader(f, maxSessionsFileBytes+1))
	_ = f.Close() // it was only read
	if err == nil && len(content) > maxSessionsFileBytes {
		err = fmt.Errorf("file has more than %d bytes", maxSessionsFileBytes)
	}
	// The file is removed before its sessions are used, so that no ticket is presented
	// again after a crash of this process.
	if removeErr := os.Remove(f.Name()); err == nil {
		err = removeErr
	}
	if err != nil {
		return nil, err
	}
	return decryptSessions(d.sessionKey, content)
}

// restoreSession caches one stored session, unless it is malformed, has expired (which
// PutUntil checks) or allows early data. The check for early data is a precaution: this package
// stores no sessions that allow it, because crypto/tls sets EarlyData only on QUIC connections.
func (d *Dialer) restoreSession(stored *storedSession, now time.Time) {
	if len(stored.IdentitySum) != sha256.Size {
		return
	}
	state, err := tls.ParseSessionState(stored.State)
	if err != nil || state.EarlyData {
		return
	}
	session, err := tls.NewResumptionState(stored.Ticket, state)
	if err != nil {
		return
	}
	identity := tlspolicy.SessionIdentity{
		Destination: stored.Destination,
		Rule:        stored.Rule,
		Sum:         [sha256.Size]byte(stored.IdentitySum),
	}
	d.sessions.PutUntil(identity, session, now, stored.Until)
}
