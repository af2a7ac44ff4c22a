package certificate

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// pollInterval is the time between checks of the files for changes.
const pollInterval = time.Second

// Store holds the certificates and authorities of a daemon. Those without a setting are nil.
type Store struct {
	caller            *keyPair
	peer              *keyPair
	peerAuthority     *authority
	targetAuthority   *authority
	platformAuthority *authority

	sources      []source
	fingerprints []fingerprint
}

// Load reads all files that the settings name. The error carries SettingsInvalid and names the key.
func Load(settings api.TLSSettings) (*Store, error) {
	s := &Store{}
	s.caller = s.addPair("tls.caller_certificate", settings.CallerCertificate, settings.CallerKey)
	s.peer = s.addPair("tls.peer_certificate", settings.PeerCertificate, settings.PeerKey)
	s.peerAuthority = s.addAuthority("tls.peer_authority", settings.PeerAuthority)
	s.targetAuthority = s.addAuthority("tls.target_authority", settings.TargetAuthority)
	s.platformAuthority = s.addAuthority("tls.platform_authority", settings.PlatformAuthority)
	for _, src := range s.sources {
		// The fingerprint is taken before the files are loaded, so that the next poll detects a change in between.
		s.fingerprints = append(s.fingerprints, fingerprintOf(src.paths()))
		if err := src.load(); err != nil {
			return nil, result.Errorf(result.SettingsInvalid, "%s: %v", src.key(), err)
		}
	}
	return s, nil
}

func (s *Store) addPair(key, certificateFile, keyFile string) *keyPair {
	if certificateFile == "" {
		return nil
	}
	added := &keyPair{setting: key, certificateFile: certificateFile, keyFile: keyFile}
	s.sources = append(s.sources, added)
	return added
}

func (s *Store) addAuthority(key, file string) *authority {
	if file == "" {
		return nil
	}
	added := &authority{setting: key, file: file}
	s.sources = append(s.sources, added)
	return added
}

// Watch polls the files for changes and reloads those that changed, until ctx ends.
func (s *Store) Watch(ctx context.Context) {
	if len(s.sources) == 0 {
		return
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.reload()
		}
	}
}

// reload loads the files that changed since the last poll. It must not be called concurrently.
func (s *Store) reload() {
	for i, src := range s.sources {
		current := fingerprintOf(src.paths())
		if current == s.fingerprints[i] {
			continue
		}
		s.fingerprints[i] = current
		entry := logrus.WithField(logfield.Key, src.key())
		if err := src.load(); err != nil {
			entry.WithField(logfield.Error, err).Error(logevent.CertificateReloadFailed)
			continue
		}
		entry.Info(logevent.CertificateReloaded)
	}
}
